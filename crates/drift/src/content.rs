//! Digests of a client's rules.
//!
//! The rules are hashed field by field, with a presence byte before each limit, so that the same value in
//! different limits (`hold_for: 5` and `validity: 5`) gives different digests. The digest thus does not
//! depend on how [`heronroute_rules::RuleLimits`] is serialized: an encoding that left out unset limits would
//! make such rules equal under postcard, and an altered rule would pass as unchanged.

use crate::Digest;
use heronroute_rules::{Rule, RuleLimits};
use sha2::{Digest as _, Sha256};

/// Returns the digest of the rules, independent of their order. The version is not part of it.
pub fn digest(rules: &[Rule]) -> Digest {
    let mut hash = Sha256::new();
    hash.update(b"heronroute rules 1");
    hash_rules(&mut hash, rules);
    hash.finalize().into()
}

/// Returns the expected answer to a challenge: a digest over the nonce, the version and the rules.
pub fn proof(nonce: &Digest, version: u64, rules: &[Rule]) -> Digest {
    let mut hash = Sha256::new();
    hash.update(b"heronroute proof 1");
    hash.update(nonce);
    hash.update(version.to_be_bytes());
    hash_rules(&mut hash, rules);
    hash.finalize().into()
}

fn hash_rules(hash: &mut Sha256, rules: &[Rule]) {
    let mut sorted: Vec<&Rule> = rules.iter().collect();
    sorted.sort_by(|a, b| (&a.name, &a.class, &a.to, &a.key).cmp(&(&b.name, &b.class, &b.to, &b.key)));
    hash.update((sorted.len() as u64).to_be_bytes());
    for rule in sorted {
        for text in [&rule.name, &rule.class, &rule.to, &rule.key] {
            hash.update((text.len() as u64).to_be_bytes());
            hash.update(text.as_bytes());
        }
        // The struct is destructured so that adding a limit without hashing it here fails to compile.
        let RuleLimits {
            answer_for,
            remember,
            remembered,
            hold_for,
            hold_count,
            hold_octets,
            trails,
            validity,
            release,
        } = &rule.limits;
        let spans = [answer_for, remember, hold_for, validity].map(|span| span.map(|s| s as u64));
        let counts = [remembered, hold_count, hold_octets, trails, release].map(|count| *count);
        for figure in spans.into_iter().chain(counts) {
            hash.update([u8::from(figure.is_some())]);
            hash.update(figure.unwrap_or(0).to_be_bytes());
        }
    }
}

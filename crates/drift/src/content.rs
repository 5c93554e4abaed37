//! Digests of a client's rules.
//!
//! Written out field by field, with a mark for each field that is set. The serde form of [`Figures`] leaves out what is not
//! set, so that under postcard `hold_for: 5` and `validity: 5` are the same octets: a digest over it would call an altered
//! rule the same.

use crate::Digest;
use heronroute_rules::{Rule, RuleLimits};
use sha2::{Digest as _, Sha256};

/// The digest of rules, whatever the order they stand in. The version is not part of it.
pub fn digest(rules: &[Rule]) -> Digest {
    let mut hash = Sha256::new();
    hash.update(b"heronroute rules 1");
    feed(&mut hash, rules);
    hash.finalize().into()
}

/// What a member answers to a challenge: over the nonce and the rules, version included.
pub fn proof(nonce: &Digest, version: u64, rules: &[Rule]) -> Digest {
    let mut hash = Sha256::new();
    hash.update(b"heronroute proof 1");
    hash.update(nonce);
    hash.update(version.to_be_bytes());
    feed(&mut hash, rules);
    hash.finalize().into()
}

fn feed(hash: &mut Sha256, rules: &[Rule]) {
    let mut sorted: Vec<&Rule> = rules.iter().collect();
    sorted.sort_by(|a, b| (&a.name, &a.class, &a.to, &a.key).cmp(&(&b.name, &b.class, &b.to, &b.key)));
    hash.update((sorted.len() as u64).to_be_bytes());
    for rule in sorted {
        for text in [&rule.name, &rule.class, &rule.to, &rule.key] {
            hash.update((text.len() as u64).to_be_bytes());
            hash.update(text.as_bytes());
        }
        // Taken apart by name: a figure that is added later fails to build here instead of going unseen.
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

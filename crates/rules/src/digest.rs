//! Digests for comparing the rules that members apply with the approved ones.

use crate::field::Field;
use crate::model::{Plan, Rule, RuleSet};
use sha2::{Digest as _, Sha256};

/// A SHA-256 digest.
pub type Digest = [u8; 32];

/// Returns the digest of a client's rules and plan. It does not depend on the order of the rules or on the
/// version: after a rollback to the same content the digest is the same, and versions are compared
/// separately.
pub fn digest(set: &RuleSet, plan: &Plan) -> Digest {
    let mut hash = Sha256::new();
    hash.update(b"heronroute rules 1");
    hash_rules(&mut hash, &set.rules);
    hash_plan(&mut hash, plan);
    hash.finalize().into()
}

/// Returns the digest of rules alone.
pub fn rules_digest(rules: &[Rule]) -> Digest {
    let mut hash = Sha256::new();
    hash.update(b"heronroute rules only 1");
    hash_rules(&mut hash, rules);
    hash.finalize().into()
}

/// Returns the digest of a plan, which identifies it in [`crate::Command::Plan`].
pub fn plan_digest(plan: &Plan) -> Digest {
    let mut hash = Sha256::new();
    hash.update(b"heronroute plan 1");
    hash_plan(&mut hash, plan);
    hash.finalize().into()
}

/// Returns the digest of all clients: name, version and [`digest`] of each, in the order of the names.
pub fn all_clients_digest<'a>(clients: impl IntoIterator<Item = (&'a str, u64, Digest)>) -> Digest {
    let mut hash = Sha256::new();
    hash.update(b"heronroute clients 1");
    for (client, version, digest) in clients {
        hash_text(&mut hash, client);
        hash.update(version.to_be_bytes());
        hash.update(digest);
    }
    hash.finalize().into()
}

/// Returns the digest of a list of parts. Each part is preceded by its length, so that no two lists hash
/// alike.
pub(crate) fn digest_parts(kind: &str, parts: &[&[u8]]) -> Digest {
    let mut hash = Sha256::new();
    hash_text(&mut hash, kind);
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

fn hash_rules(hash: &mut Sha256, rules: &[Rule]) {
    let mut order: Vec<&Rule> = rules.iter().collect();
    order.sort_by_key(|r| (&r.name, &r.to, &r.class, &r.key));
    hash.update((order.len() as u64).to_be_bytes());
    for rule in order {
        for part in [&rule.name, &rule.class, &rule.to, &rule.key] {
            hash_text(hash, part);
        }
        hash_limits(hash, &rule.limits);
    }
}

fn hash_plan(hash: &mut Sha256, plan: &Plan) {
    hash_text(hash, &plan.name);
    hash.update((plan.rules as u64).to_be_bytes());
    for list in [&plan.classes, &plan.prefixes] {
        let mut list: Vec<&String> = list.iter().collect();
        list.sort_unstable();
        hash.update((list.len() as u64).to_be_bytes());
        list.into_iter().for_each(|each| hash_text(hash, each));
    }
    hash_limits(hash, &plan.most);
    hash.update(plan.changes_an_hour.to_be_bytes());
    hash.update([u8::from(plan.approval)]);
    hash.update(plan.grace.to_be_bytes());
}

fn hash_limits(hash: &mut Sha256, limits: &crate::RuleLimits) {
    for field in Field::ALL {
        match field.raw(limits) {
            Some(value) => {
                hash.update([1]);
                hash.update(value.to_be_bytes());
            }
            None => hash.update([0]),
        }
    }
}

fn hash_text(hash: &mut Sha256, text: &str) {
    hash.update((text.len() as u64).to_be_bytes());
    hash.update(text);
}

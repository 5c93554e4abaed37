//! Lookups compared with a reference implementation.

mod common;

use common::*;
use heronroute_rules::table::{matches, specificity};
use heronroute_rules::{EffectiveLimits, Field, Rule, RuleLimits, Table};
use proptest::prelude::*;
use std::time::Instant;

/// Sorts all matching rules and takes each limit from the first one that sets it.
fn reference_lookup(rules: &[Rule], class: &str, to: &[u8], key: &[u8]) -> EffectiveLimits {
    let mut matching: Vec<(usize, &Rule)> =
        rules.iter().enumerate().filter(|(_, r)| matches(r, class, to, key)).collect();
    matching.sort_by_key(|(at, rule)| (std::cmp::Reverse(specificity(rule)), *at));
    let mut out =
        EffectiveLimits { rule: matching.first().map(|(at, _)| *at as u16), ..EffectiveLimits::default() };
    for field in Field::ALL {
        if let Some((at, rule)) = matching.iter().find(|(_, r)| field.get(&r.limits).is_some()) {
            field.set(&mut out.limits, field.get(&rule.limits));
            out.from[field as usize] = Some(*at as u16);
        }
    }
    out
}

proptest! {
    #![proptest_config(cases(400))]

    #[test]
    fn lookups_match_the_reference(
        mut rules in prop::collection::vec(any_rule(), 0..20), class in "(A|B|C)?", to in "[012]{0,5}", key in "[xyz]{0,3}",
    ) {
        let mut seen = std::collections::BTreeSet::new();
        rules.retain(|r| seen.insert((r.to.clone(), r.class.clone(), r.key.clone())));
        let found = Table::new(&rules).lookup(&class, to.as_bytes(), key.as_bytes());
        let expected = reference_lookup(&rules, &class, to.as_bytes(), key.as_bytes());
        prop_assert_eq!(&found, &expected);
        // A table of some fields returns the same values for these, and none for the others.
        for fields in [&Field::ALL[..4], &Field::ALL[4..]] {
            let partial = Table::of(&rules, fields).lookup(&class, to.as_bytes(), key.as_bytes());
            for field in Field::ALL {
                let expected = if fields.contains(&field) { (field.get(&found.limits), found.by(field)) } else { (None, None) };
                prop_assert_eq!((field.get(&partial.limits), partial.by(field)), expected);
            }
        }
    }
}

#[test]
fn the_most_specific_rule_wins_field_by_field() {
    let wide_rule = Rule { class: String::new(), ..rule("wide", "0", 5) };
    let mut narrow_rule = rule("near", "000001", 7);
    narrow_rule.limits.release = Some(3);
    let keyed = Rule {
        name: "keyed".into(),
        key: "k".into(),
        limits: RuleLimits { hold_for: Some(9), ..RuleLimits::default() },
        ..narrow_rule.clone()
    };
    let table = Table::new(&[wide_rule, narrow_rule, keyed]);
    let at = |class: &str, to: &str, key: &str| {
        let found = table.lookup(class, to.as_bytes(), key.as_bytes());
        (
            found.limits.hold_for,
            found.limits.release,
            found.rule.and_then(|r| table.name(r)).unwrap_or("").to_string(),
        )
    };
    assert_eq!(at("RESP", "00000155", "k1"), (Some(9), Some(3), "keyed".into()));
    assert_eq!(at("RESP", "00000155", ""), (Some(7), Some(3), "near".into()));
    assert_eq!(at("OTHER", "00000155", "k1"), (Some(5), None, "wide".into()));
    assert_eq!(at("RESP", "1", ""), (None, None, String::new()));
}

/// With `HERONROUTE_LONG=1` in release mode:
/// `cargo test --release -p heronroute-rules --test table -- --nocapture`.
#[test]
fn lookup_cost_does_not_grow_with_1000_rules() {
    if std::env::var("HERONROUTE_LONG").is_err() {
        return;
    }
    let prefix = |i: u64| format!("000001{:04}", i.wrapping_mul(7_919) % 10_000);
    let mut best = Vec::new();
    for count in [0u64, 1, 10, 100, 1_000] {
        let rules: Vec<Rule> = (0..count).map(|i| rule(&format!("r{i}"), &prefix(i), 60 * MINUTE)).collect();
        let table = Table::new(&rules);
        // Every address matches one of the rules, in no particular order.
        let address =
            |i: u64| format!("{}{:02}", prefix(i.wrapping_mul(0x9E37_79B9) % count.max(1)), i % 100);
        let addresses: Vec<String> = (0..10_000).map(address).collect();
        assert!(
            count == 0 || addresses.iter().all(|to| table.lookup("RESP", to.as_bytes(), b"").rule.is_some())
        );
        let mut least = f64::MAX;
        for _ in 0..50 {
            let start = Instant::now();
            for to in &addresses {
                std::hint::black_box(table.lookup("RESP", to.as_bytes(), b"key"));
            }
            least = least.min(start.elapsed().as_nanos() as f64 / addresses.len() as f64);
        }
        println!("{count} rules: {least:.1} ns per lookup");
        best.push(least);
    }
    assert!(best[4] < best[1] * 3.0, "{best:?}");
}

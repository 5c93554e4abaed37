//! Fixed and random rules and plans for tests. They use few letters, so that rules often overlap.
#![allow(dead_code)]

use heronroute_rules::{Field, Plan, Rule, RuleLimits};
use proptest::prelude::*;

pub const MINUTE: i64 = 60_000_000;

pub fn rule(name: &str, to: &str, hold_for: i64) -> Rule {
    let limits = RuleLimits { hold_for: Some(hold_for), ..RuleLimits::default() };
    Rule { name: name.into(), class: "RESP".into(), to: to.into(), key: String::new(), limits }
}

pub fn counting_rule(name: &str, to: &str, hold_count: u64) -> Rule {
    let limits = RuleLimits { hold_count: Some(hold_count), ..RuleLimits::default() };
    Rule { limits, ..rule(name, to, 0) }
}

pub fn plan() -> Plan {
    Plan {
        name: "small".into(),
        rules: 4,
        classes: vec!["RESP".into()],
        prefixes: vec!["000001".into()],
        most: RuleLimits {
            answer_for: Some(10 * MINUTE),
            remember: Some(10 * MINUTE),
            remembered: Some(1_000),
            hold_for: Some(60 * MINUTE),
            hold_count: Some(1_000),
            hold_octets: Some(1 << 20),
            trails: Some(1_000),
            validity: Some(60 * MINUTE),
            release: Some(20),
        },
        changes_an_hour: 20,
        approval: false,
        grace: 10 * MINUTE,
    }
}

/// Limits from a small range, most of them left out.
fn limits(top: u64) -> impl Strategy<Value = RuleLimits> {
    let some = prop::option::weighted(0.3, 1..=top);
    prop::collection::vec(some, Field::COUNT).prop_map(|values| {
        let mut limits = RuleLimits::default();
        Field::ALL.into_iter().zip(values).for_each(|(field, value)| field.set(&mut limits, value));
        limits
    })
}

pub fn any_rule() -> impl Strategy<Value = Rule> {
    ("[a-f]", "(A|B)?", "[01]{0,3}", "[xy]{0,2}", limits(6)).prop_map(|(name, class, to, key, limits)| Rule {
        name,
        class,
        to,
        key,
        limits,
    })
}

pub fn any_rules() -> impl Strategy<Value = Vec<Rule>> {
    prop::collection::vec(any_rule(), 0..8)
}

/// Returns rules with some of them changed, added or removed, as by an editor.
pub fn apply_edits(rules: &[Rule], edits: Vec<(Rule, bool)>) -> Vec<Rule> {
    let mut rules = rules.to_vec();
    for (edit, stays) in edits {
        rules.retain(|r| r.name != edit.name);
        rules.extend(stays.then_some(edit));
    }
    rules
}

pub fn edits() -> impl Strategy<Value = Vec<(Rule, bool)>> {
    prop::collection::vec((any_rule(), prop::bool::weighted(0.7)), 0..3)
}

/// Returns rules that a plan allows: those that `check` names are removed until it finds nothing.
pub fn valid_rules(mut rules: Vec<Rule>, plan: &Plan) -> Vec<Rule> {
    loop {
        let findings = heronroute_rules::check::check(&rules, plan);
        let Some(first) = findings.list.first() else { return rules };
        let at = rules.iter().rposition(|r| r.name == first.rule);
        rules.remove(at.unwrap_or(rules.len() - 1));
    }
}

pub fn any_plan() -> impl Strategy<Value = Plan> {
    let most = prop::collection::vec(prop::option::weighted(0.9, 1..12u64), Field::COUNT);
    let lists = (
        prop::sample::subsequence(vec!["A", "B", ""], 0..=3),
        prop::sample::subsequence(vec!["0", "1", "01"], 0..=2),
    );
    (most, 0..8usize, lists, any::<bool>(), 0..5i64, 0..40u32).prop_map(
        |(most, rules, lists, approval, grace, rate)| {
            let mut limits = RuleLimits::default();
            Field::ALL.into_iter().zip(most).for_each(|(field, value)| field.set(&mut limits, value));
            let list = |l: Vec<&str>| l.into_iter().map(String::from).collect();
            Plan {
                name: "any".into(),
                rules,
                classes: list(lists.0),
                prefixes: list(lists.1),
                most: limits,
                changes_an_hour: rate,
                approval,
                grace,
            }
        },
    )
}

pub fn unlimited_plan() -> Plan {
    let mut most = RuleLimits::default();
    Field::ALL.into_iter().for_each(|field| field.set(&mut most, Some(1 << 40)));
    Plan { most, rules: 1_024, changes_an_hour: 1_000, ..Plan::default() }
}

/// Runs the same cases each time; with `HERONROUTE_LONG=1`, 50 times as many.
pub fn cases(cases: u32) -> ProptestConfig {
    let cases = if std::env::var("HERONROUTE_LONG").is_ok() { cases * 50 } else { cases };
    let rng_seed = prop::test_runner::RngSeed::Fixed(34);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

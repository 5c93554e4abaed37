//! Findings on conflicting and redundant rules, compared with an exhaustive search over messages from a small
//! alphabet.

mod common;

use common::{any_rules, cases, unlimited_plan};
use heronroute_rules::check::{Cut, check, cut};
use heronroute_rules::table::{matches, specificity};
use heronroute_rules::{Field, Rule};
use proptest::prelude::*;

/// All messages that rules from `any_rules` treat differently, including letters and a class that no rule
/// has.
fn messages() -> Vec<(&'static str, String, String)> {
    let words = |letters: &[&str], most: usize| {
        let mut all = vec![String::new()];
        let mut last = all.clone();
        for _ in 0..most {
            last = last.iter().flat_map(|w| letters.iter().map(move |l| format!("{w}{l}"))).collect();
            all.extend(last.clone());
        }
        all
    };
    let (to, keys) = (words(&["0", "1"], 3), words(&["x", "y"], 2));
    let all = ["A", "B", "C"].into_iter().flat_map(|class| to.iter().map(move |to| (class, to)));
    all.flat_map(|(class, to)| keys.iter().map(move |key| (class, format!("{to}9"), format!("{key}z"))))
        .collect()
}

/// Returns the rule that sets a limit for a message, by looking at all rules.
fn setter<'a>(
    rules: &[&'a Rule],
    field: Field,
    (class, to, key): &(&str, String, String),
) -> Option<&'a Rule> {
    let sets =
        |r: &&&Rule| field.get(&r.limits).is_some() && matches(r, class, to.as_bytes(), key.as_bytes());
    rules.iter().filter(sets).max_by_key(|r| specificity(r)).copied()
}

/// Returns a message for which a rule makes a difference, if any: another limit, or one that is counted
/// separately.
fn affected_message<'a>(
    all: &'a [(&'static str, String, String)],
    rules: &[Rule],
    at: usize,
) -> Option<&'a (&'static str, String, String)> {
    let with: Vec<&Rule> = rules.iter().collect();
    let without: Vec<&Rule> = rules.iter().enumerate().filter(|(i, _)| *i != at).map(|(_, r)| r).collect();
    all.iter().find(|message| {
        Field::ALL.into_iter().any(|field| {
            let (a, b) = (setter(&with, field, message), setter(&without, field, message));
            let value = |r: Option<&Rule>| r.and_then(|r| field.get(&r.limits));
            value(a) != value(b) || (field.is_summed() && a.map(|r| &r.name) != b.map(|r| &r.name))
        })
    })
}

/// Returns the names of the rules whose finding contains a word.
fn found(rules: &[Rule], word: &str) -> Vec<String> {
    let findings = check(rules, &unlimited_plan());
    findings.list.into_iter().filter(|f| f.why.contains(word)).map(|f| f.rule).collect()
}

/// Rules with unique names and one or two limits, most of which overlap.
fn overlapping_rules() -> impl Strategy<Value = Vec<Rule>> {
    prop_oneof![rules_over("(A|B)?", "[01]{0,2}", "[xy]{0,1}"), rules_over("A?", "0{0,2}", "x?")]
}

fn rules_over(class: &'static str, to: &'static str, key: &'static str) -> impl Strategy<Value = Vec<Rule>> {
    let one = (class, to, key, 1..3i64, prop::option::weighted(0.1, 1..3u64));
    prop::collection::vec(one, 1..9).prop_map(|all| {
        let rule =
            |(i, (class, to, key, hold, count)): (usize, (String, String, String, i64, Option<u64>))| {
                let mut rule = Rule { name: format!("r{i}"), class, to, key, ..Rule::default() };
                (rule.limits.hold_for, rule.limits.hold_count) = (Some(hold), count);
                rule
            };
        all.into_iter().enumerate().map(rule).collect()
    })
}

fn with_unique_names(rules: Vec<Rule>) -> Vec<Rule> {
    let sets = |r: &Rule| Field::ALL.iter().any(|f| f.get(&r.limits).is_some());
    let rules = rules.into_iter().filter(sets).enumerate();
    rules.map(|(i, r)| Rule { name: format!("r{i}"), ..r }).collect()
}

fn same_match(a: &Rule, b: &Rule) -> bool {
    a.to == b.to && a.class == b.class && a.key == b.key
}

fn check_findings(rules: &[Rule]) -> Result<(), TestCaseError> {
    let all = messages();
    let duplicates: Vec<&Rule> = rules
        .iter()
        .enumerate()
        .filter(|(i, r)| rules[..*i].iter().any(|o| same_match(o, r)))
        .map(|(_, r)| r)
        .collect();
    // Every rule, or its duplicate, is the most specific one for some message.
    for rule in rules {
        let all_rules: Vec<&Rule> = rules.iter().collect();
        let first = all.iter().any(|(class, to, key)| {
            let fits = |r: &&&Rule| matches(r, class, to.as_bytes(), key.as_bytes());
            all_rules.iter().filter(fits).max_by_key(|r| specificity(r)).is_some_and(|r| same_match(r, rule))
        });
        prop_assert!(first, "{} is never the most specific", rule.name);
    }
    let reported: Vec<String> = [found(rules, "same match"), found(rules, "contradicts")].concat();
    for rule in rules {
        let is_duplicate = duplicates.iter().any(|t| t.name == rule.name);
        prop_assert_eq!(is_duplicate, reported.contains(&rule.name), "{} has a duplicate", rule.name);
    }
    // Two rules with the same match that set a limit differently contradict each other.
    for (i, rule) in rules.iter().enumerate() {
        let Some(before) = rules[..i].iter().rev().find(|o| same_match(o, rule)) else { continue };
        let contradicts = Field::ALL
            .into_iter()
            .any(|f| f.get(&before.limits).zip(f.get(&rule.limits)).is_some_and(|(a, b)| a != b));
        prop_assert_eq!(contradicts, found(rules, "contradicts").contains(&rule.name), "{}", rule.name);
    }
    if duplicates.is_empty() {
        let redundant = found(rules, "holds already");
        for (at, rule) in rules.iter().enumerate() {
            let affected = affected_message(&all, rules, at);
            let found = redundant.contains(&rule.name);
            prop_assert_eq!(found, affected.is_none(), "{} {:?}", &rule.name, affected);
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(cases(240))]

    /// All duplicates, contradictions and redundant rules are found, and nothing else.
    #[test]
    fn findings_match_an_exhaustive_search(rules in any_rules()) {
        check_findings(&with_unique_names(rules))?;
    }

    /// A lowered plan makes limits equal; removing all redundant rules at once changes nothing.
    #[test]
    fn removing_redundant_rules_together_changes_nothing(rules in overlapping_rules(), most in 1..3u64) {
        let durations_only = rules.into_iter().map(|mut r| { r.limits.hold_count = None; r });
        let mut rules: Vec<Rule> = Vec::new();
        durations_only.for_each(|r| if !rules.iter().any(|o| same_match(o, &r)) { rules.push(r) });
        let mut plan = unlimited_plan();
        Field::HoldFor.set(&mut plan.most, Some(most));
        let cut = cut(&Cut { rules: rules.clone(), ..Cut::default() }, &plan).rules;
        prop_assert!(check(&cut, &plan).is_empty());
        let (before, after): (Vec<&Rule>, Vec<&Rule>) = (rules.iter().collect(), cut.iter().collect());
        for message in messages() {
            let value = |of: &[&Rule]| setter(of, Field::HoldFor, &message).and_then(|r| Field::HoldFor.get(&r.limits));
            prop_assert_eq!(value(&before).map(|v| v.min(most)), value(&after), "{:?}", message);
        }
    }

    #[test]
    fn findings_on_overlapping_rules_match_an_exhaustive_search(rules in overlapping_rules()) {
        check_findings(&rules)?;
        let mut without_duplicates: Vec<Rule> = Vec::new();
        rules.into_iter().for_each(|r| if !without_duplicates.iter().any(|o| same_match(o, &r)) { without_duplicates.push(r) });
        check_findings(&without_duplicates)?;
    }
}

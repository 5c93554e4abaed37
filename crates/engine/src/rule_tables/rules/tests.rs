//! Tests of the compiled rules.

use super::*;

#[test]
fn each_field_is_in_exactly_one_table() {
    for field in Field::ALL {
        assert!(SUBMISSION_FIELDS.contains(&field) != HELD_FIELDS.contains(&field), "{}", field.name());
    }
}

#[test]
fn rules_are_read_back_from_each_table() {
    let limits = RuleLimits {
        hold_count: Some(5),
        remembered: Some(6),
        release: Some(7),
        validity: Some(8),
        ..RuleLimits::default()
    };
    let rule = |name: &str, to: &str| Rule {
        name: name.into(),
        to: to.into(),
        limits: limits.clone(),
        ..Rule::default()
    };
    let set = RuleSet { version: 3, rules: vec![rule("a", ""), rule("b", "1")] };
    let mut rules = ClientRules::new(&set, Arc::new(Plan::default()), Turn::default(), None);
    let parts: Vec<u32> = rules.rule_parts.iter().map(|p| p.part).collect();
    let rooms = |count| {
        parts
            .iter()
            .map(|p| (*p, PartitionLimits { count, ..PartitionLimits::default() }))
            .collect::<Vec<_>>()
    };
    assert_eq!(rules.read_back(&rooms(Some(5)), |_| Some(6)), set);
    let mut other = set.clone();
    other.rules.iter_mut().for_each(|r| r.limits.hold_count = Some(4));
    assert_eq!(rules.read_back(&rooms(Some(4)), |_| Some(6)), other, "the room comes from the store");
    other.rules.iter_mut().for_each(|r| r.limits.remembered = None);
    assert_eq!(rules.read_back(&rooms(Some(4)), |_| None), other, "the name limit comes from the name table");
    rules.paces.remove(&parts[1]);
    other.rules[1].limits.release = None;
    assert_eq!(rules.read_back(&rooms(Some(4)), |_| None), other);
    // A rule of the same name keeps its part; one that comes back gets another.
    let one = RuleSet { version: 4, rules: vec![rule("b", "")] };
    let next = ClientRules::new(&one, Arc::new(Plan::default()), Turn::default(), Some(&rules));
    assert_eq!(next.rule_parts[0].part, parts[1]);
    let back = ClientRules::new(&set, Arc::new(Plan::default()), Turn::default(), Some(&next));
    assert!(!parts.contains(&back.rule_parts[0].part) && back.rule_parts[1].part == parts[1]);
}

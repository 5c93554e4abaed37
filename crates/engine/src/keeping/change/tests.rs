//! Tests of the changes of rules.

use super::*;

#[test]
fn only_what_keeps_less_is_named() {
    let set = |to: &str, limits: RuleLimits| RuleSet {
        version: 1,
        rules: vec![Rule { name: "r".into(), to: to.into(), limits, ..Rule::default() }],
    };
    let none = RuleSet::default();
    let hold = |n| RuleLimits { hold_count: Some(n), ..RuleLimits::default() };
    let brief =
        RuleLimits { validity: Some(1), release: Some(1), remember: Some(1), ..RuleLimits::default() };
    let common = hold(10);
    for (before, after, field) in [
        (&none, &set("", hold(10)), None),
        (&none, &set("", hold(9)), Some("hold_count")),
        (&set("", hold(9)), &set("", hold(12)), None),
        (&set("", hold(12)), &set("", hold(11)), Some("hold_count")),
        (&set("", hold(5)), &none, Some("hold_count")),
        (&set("", hold(5)), &set("1", hold(5)), Some("hold_count")),
        (&set("", hold(5)), &set("", hold(5)), None),
        (&none, &set("", brief), None),
    ] {
        assert_eq!(destroys(before, after, &common).map(|d| d.1), field, "{before:?} {after:?}");
    }
}

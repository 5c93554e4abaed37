//! Tests of the fence over rules.

use super::*;
use crate::keeping::rules::FENCED as PARTS;
use heronroute_rules::{Plan, Rule};

fn set(limits: RuleLimits) -> RuleSet {
    RuleSet { version: 1, rules: vec![Rule { name: "r".into(), limits, ..Rule::default() }] }
}

fn all(n: i64) -> RuleLimits {
    let m = n as u64;
    RuleLimits {
        answer_for: Some(n),
        remember: Some(n),
        remembered: Some(m),
        hold_for: Some(n),
        hold_count: Some(m),
        hold_octets: Some(m),
        trails: Some(m),
        validity: Some(n),
        release: Some(m),
    }
}

#[test]
fn each_figure_of_a_message_is_the_stricter_and_counts_with_its_rule() {
    let common = RuleLimits::default();
    let of = |applied: RuleLimits, approved: RuleLimits| {
        let applied = Rules::new(&set(applied), Arc::new(Plan::default()), Turn::default(), None);
        let mut fence = Fence::default();
        let (has, _) = fence.set(Arc::new(set(approved)), Turn::default());
        let (mine, theirs) = (applied.places[0].part, has[0].0);
        assert!(mine < PARTS && theirs >= PARTS);
        let (approved, at) = (fence.stands().unwrap(), ("RESP", "1", ""));
        let keep = Strict::at_hand_in(Some(&applied), approved, &common, at);
        (keep, Strict::later(Some(&applied), approved, &common, at), mine, theirs)
    };
    let (keep, parts, _, theirs) = of(all(9), all(5));
    assert_eq!((keep.validity, keep.answer_for, keep.names), (Some(5), 5, theirs));
    assert_eq!(keep.remember, Some(9), "a name is new no earlier than either says");
    assert_eq!(parts, Parts { age: theirs, count: theirs, octets: theirs, trails: theirs });
    let (keep, parts, mine, _) = of(all(5), all(9));
    assert_eq!((keep.validity, keep.answer_for, keep.names), (Some(5), 5, mine));
    assert_eq!(keep.remember, Some(9));
    assert_eq!(parts, Parts { age: mine, count: mine, octets: mine, trails: mine });
    // Each by itself.
    let (_, parts, mine, theirs) =
        of(RuleLimits { hold_for: Some(9), ..all(5) }, RuleLimits { hold_for: Some(5), ..all(9) });
    assert_eq!(parts, Parts { age: theirs, count: mine, octets: mine, trails: mine });
}

#[test]
fn a_rule_of_one_name_keeps_its_part_from_fence_to_fence() {
    let mut fence = Fence::default();
    let first = fence.set(Arc::new(set(all(5))), Turn::default()).0[0].0;
    fence.under = None;
    assert!(fence.stands().is_none() && fence.stands_mut().is_none());
    assert_eq!(fence.set(Arc::new(set(all(6))), Turn::default()).0[0].0, first);
    let mut other = set(all(7));
    other.rules[0].name = "s".into();
    let (has, gone) = fence.set(Arc::new(other), Turn::default());
    assert_eq!((has[0].0 != first, gone), (true, vec![first]));
    assert!(fence.parts.contains(&first), "something may still count there");
}

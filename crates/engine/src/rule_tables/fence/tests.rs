//! Tests of the fence over rules.

use super::*;
use crate::rule_tables::rules::FIRST_FENCED_PART;
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
fn each_figure_is_the_stricter_one_and_counts_in_the_part_of_its_rule() {
    let common = RuleLimits::default();
    let of = |applied: RuleLimits, approved: RuleLimits| {
        let applied = ClientRules::new(&set(applied), Arc::new(Plan::default()), Turn::default(), None);
        let mut fence = Fence::default();
        let (has, _) = fence.set(Arc::new(set(approved)), Turn::default());
        let (applied_part, approved_part) = (applied.rule_parts[0].part, has[0].0);
        assert!(applied_part < FIRST_FENCED_PART && approved_part >= FIRST_FENCED_PART);
        let (approved, at) = (fence.active_rules().unwrap(), ("RESP", "1", ""));
        let keep = StricterRules::at_submission(Some(&applied), approved, &common, at);
        (keep, StricterRules::while_held(Some(&applied), approved, &common, at), applied_part, approved_part)
    };
    let (keep, parts, _, approved_part) = of(all(9), all(5));
    assert_eq!((keep.validity, keep.answer_for, keep.names_part), (Some(5), 5, approved_part));
    assert_eq!(keep.remember, Some(9), "a name counts as new no earlier than either rule says");
    assert_eq!(
        parts,
        MessagePartitions {
            age: approved_part,
            count: approved_part,
            octets: approved_part,
            trails: approved_part
        }
    );
    let (keep, parts, applied_part, _) = of(all(5), all(9));
    assert_eq!((keep.validity, keep.answer_for, keep.names_part), (Some(5), 5, applied_part));
    assert_eq!(keep.remember, Some(9));
    assert_eq!(
        parts,
        MessagePartitions {
            age: applied_part,
            count: applied_part,
            octets: applied_part,
            trails: applied_part
        }
    );
    // Each figure is compared on its own.
    let (_, parts, applied_part, approved_part) =
        of(RuleLimits { hold_for: Some(9), ..all(5) }, RuleLimits { hold_for: Some(5), ..all(9) });
    assert_eq!(
        parts,
        MessagePartitions {
            age: approved_part,
            count: applied_part,
            octets: applied_part,
            trails: applied_part
        }
    );
}

#[test]
fn a_rule_keeps_its_part_when_the_fence_is_set_again() {
    let mut fence = Fence::default();
    let first = fence.set(Arc::new(set(all(5))), Turn::default()).0[0].0;
    fence.approved = None;
    assert!(fence.active_rules().is_none() && fence.active_rules_mut().is_none());
    assert_eq!(fence.set(Arc::new(set(all(6))), Turn::default()).0[0].0, first);
    let mut other = set(all(7));
    other.rules[0].name = "s".into();
    let (has, gone) = fence.set(Arc::new(other), Turn::default());
    assert_eq!((has[0].0 != first, gone), (true, vec![first]));
    assert!(fence.parts.contains(&first), "messages may still count in that part");
}

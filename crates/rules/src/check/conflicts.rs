//! Checks of rules against each other.
//!
//! A rule that matches everything another rule matches is always the less specific one, so no single rule can
//! make another unreachable. What is found are two rules with the same match, and rules that change nothing.

use super::{Finding, Findings};
use crate::field::Field;
use crate::model::Rule;
use crate::table::{matches, specificity};
use std::collections::BTreeMap;

pub(super) fn check(rules: &[Rule], out: &mut Findings) {
    let mut seen: BTreeMap<(&str, &str, &str), &Rule> = BTreeMap::new();
    let mut duplicates = false;
    for rule in rules {
        let Some(first) = seen.insert((&rule.to, &rule.class, &rule.key), rule) else { continue };
        duplicates = true;
        let differs = Field::ALL.into_iter().find(|f| match (f.get(&first.limits), f.get(&rule.limits)) {
            (Some(a), Some(b)) => a != b,
            _ => false,
        });
        let (field, why) = match differs {
            Some(f) => (f.name(), format!("it contradicts \"{}\", which has the same match", first.name)),
            None => ("", format!("it has the same match as \"{}\": one of them is enough", first.name)),
        };
        out.push(Finding::new(&rule.name, field, "", "", &why));
    }
    if duplicates {
        return;
    }
    for Redundant { rule, by, .. } in redundant_rules(rules) {
        let why = format!("all it sets holds already by \"{by}\"");
        out.push(Finding::new(&rule.name, "", "", "", &why));
    }
}

/// The number of comparisons, for all rules of a client together, that look for a rule hidden behind others.
/// When they are used up, a rule is not reported as redundant.
const MAX_COMPARISONS: usize = 1 << 20;

/// A rule whose removal would change nothing.
pub(super) struct Redundant<'a> {
    pub rule: &'a Rule,
    /// A wider rule that sets the same.
    pub by: &'a str,
    /// Whether no rule between the two sets anything else. If one does, it is hidden behind others, and of
    /// two such redundant rules each may be what hides that one from the other.
    pub direct: bool,
}

/// Returns the rules whose removal, one at a time, would change nothing. A rule that sets a count, a size or
/// a rate is never redundant: it has them to itself, apart from those of the wider rule.
pub(super) fn redundant_rules(rules: &[Rule]) -> Vec<Redundant<'_>> {
    let mut by_specificity: Vec<&Rule> = rules.iter().collect();
    by_specificity.sort_by_key(|r| std::cmp::Reverse(specificity(r)));
    let (mut out, mut comparisons_left) = (Vec::new(), MAX_COMPARISONS);
    for (i, rule) in by_specificity.iter().enumerate() {
        let (mut by, mut direct) = ("", true);
        let mut set_by_wider_rule = |field: Field| {
            let Some(value) = field.get(&rule.limits) else { return true };
            if field.is_summed() {
                return false;
            }
            for next in by_specificity.iter().skip(i + 1).filter(|next| overlaps(next, rule)) {
                match field.get(&next.limits) {
                    Some(other) if other == value && contains(next, rule) => {
                        by = &next.name;
                        return true;
                    }
                    Some(other) if other != value => {
                        if !is_hidden(&by_specificity, i, next, (field, value), &mut comparisons_left) {
                            return false;
                        }
                        direct = false;
                    }
                    _ => {}
                }
            }
            false
        };
        if Field::ALL.into_iter().all(&mut set_by_wider_rule) && !by.is_empty() {
            out.push(Redundant { rule, by, direct });
        }
    }
    out
}

/// Returns whether, without the rule at `at`, no message that matches both it and `next` gets its limit from
/// `next`: a third rule either precedes the rule, or is between the two with the rule's own value. Checking
/// the widest such message is enough, since a rule that matches it matches them all.
fn is_hidden(
    by_specificity: &[&Rule],
    at: usize,
    next: &Rule,
    (field, value): (Field, u64),
    comparisons_left: &mut usize,
) -> bool {
    let Some(rule) = by_specificity.get(at) else { return false };
    let longer = |a: &'_ str, b: &'_ str| if a.len() < b.len() { b.to_owned() } else { a.to_owned() };
    let (class, to, key) =
        (longer(&rule.class, &next.class), longer(&rule.to, &next.to), longer(&rule.key, &next.key));
    for (i, other) in by_specificity.iter().enumerate().filter(|(i, _)| *i != at) {
        if *comparisons_left == 0 {
            return false;
        }
        *comparisons_left -= 1;
        let Some(has) = field.get(&other.limits) else { continue };
        if matches(other, &class, to.as_bytes(), key.as_bytes()) {
            return i < at || has == value;
        }
    }
    false
}

/// Returns whether some message matches both rules.
pub(super) fn overlaps(a: &Rule, b: &Rule) -> bool {
    let either = |a: &str, b: &str| a.starts_with(b) || b.starts_with(a);
    let class = a.class.is_empty() || b.class.is_empty() || a.class == b.class;
    class && either(&a.to, &b.to) && either(&a.key, &b.key)
}

/// Returns whether every message that matches `inner` matches `outer`.
pub(super) fn contains(outer: &Rule, inner: &Rule) -> bool {
    (outer.class.is_empty() || outer.class == inner.class)
        && inner.to.starts_with(&outer.to)
        && inner.key.starts_with(&outer.key)
}

//! Rules among each other.
//!
//! A rule that matches all that another matches is always the less specific one, so that no single other rule can keep a
//! rule from ever being asked; what is found is two with one match, and a rule that only says again what holds without it.

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
        let differs = Field::ALL.into_iter().find(|f| match (f.get(&first.figures), f.get(&rule.figures)) {
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

/// Rules looked at, for all of a client's together, to see whether one is hidden behind others. A rule for which that is not
/// enough is not said to be swallowed.
const MAX_COMPARISONS: usize = 1 << 20;

/// A rule without which nothing would change.
pub(super) struct Redundant<'a> {
    pub rule: &'a Rule,
    /// A wider rule that says the same.
    pub by: &'a str,
    /// Nothing between the two says otherwise; else what does is hidden behind yet others, and one of two such rules may be
    /// what hides it from the other.
    pub direct: bool,
}

/// Rules without which nothing would change, each by itself. One that sets a count, octets or a pace never is: it has them
/// for itself, beside the wider rule's.
pub(super) fn redundant_rules(rules: &[Rule]) -> Vec<Redundant<'_>> {
    let mut order: Vec<&Rule> = rules.iter().collect();
    order.sort_by_key(|r| std::cmp::Reverse(specificity(r)));
    let (mut out, mut comparisons_left) = (Vec::new(), MAX_COMPARISONS);
    for (i, rule) in order.iter().enumerate() {
        let (mut by, mut direct) = ("", true);
        let mut is_given = |field: Field| {
            let Some(value) = field.get(&rule.figures) else { return true };
            if field.is_summed() {
                return false;
            }
            for next in order.iter().skip(i + 1).filter(|next| overlaps(next, rule)) {
                match field.get(&next.figures) {
                    Some(other) if other == value && contains(next, rule) => {
                        by = &next.name;
                        return true;
                    }
                    Some(other) if other != value => {
                        if !is_hidden(&order, i, next, (field, value), &mut comparisons_left) {
                            return false;
                        }
                        direct = false;
                    }
                    _ => {}
                }
            }
            false
        };
        if Field::ALL.into_iter().all(&mut is_given) && !by.is_empty() {
            out.push(Redundant { rule, by, direct });
        }
    }
    out
}

/// Without the rule at a place, no message that matches both it and `next` gets its figure from `next`: a third rule stands
/// before the rule, or between the two with the rule's own value. It is enough to look at the widest such message, as what
/// matches that matches them all.
fn is_hidden(
    order: &[&Rule],
    at: usize,
    next: &Rule,
    (field, value): (Field, u64),
    comparisons_left: &mut usize,
) -> bool {
    let Some(rule) = order.get(at) else { return false };
    let longer = |a: &'_ str, b: &'_ str| if a.len() < b.len() { b.to_owned() } else { a.to_owned() };
    let (class, to, key) =
        (longer(&rule.class, &next.class), longer(&rule.to, &next.to), longer(&rule.key, &next.key));
    for (i, other) in order.iter().enumerate().filter(|(i, _)| *i != at) {
        if *comparisons_left == 0 {
            return false;
        }
        *comparisons_left -= 1;
        let Some(has) = field.get(&other.figures) else { continue };
        if matches(other, &class, to.as_bytes(), key.as_bytes()) {
            return i < at || has == value;
        }
    }
    false
}

/// Some message matches both.
pub(super) fn overlaps(a: &Rule, b: &Rule) -> bool {
    let either = |a: &str, b: &str| a.starts_with(b) || b.starts_with(a);
    let class = a.class.is_empty() || b.class.is_empty() || a.class == b.class;
    class && either(&a.to, &b.to) && either(&a.key, &b.key)
}

/// Every message that matches `inner` matches `outer`.
pub(super) fn contains(outer: &Rule, inner: &Rule) -> bool {
    (outer.class.is_empty() || outer.class == inner.class)
        && inner.to.starts_with(&outer.to)
        && inner.key.starts_with(&outer.key)
}

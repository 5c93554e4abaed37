//! Cutting rules to a plan, with the same result on every member, and restoring them when the plan allows
//! more again.

use super::conflicts::redundant_rules;
use super::octets;
use super::plan::within_scope;
use crate::field::Field;
use crate::limits;
use crate::model::{Plan, Rule, RuleLimits};
use std::collections::{BTreeMap, BTreeSet};

/// The number of passes that remove redundant rules. Any that remain make the client's next change fail its
/// check until the client removes them.
const MAX_PASSES: usize = 32;

/// The result of cutting rules to a plan.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    /// The rules in effect, sorted by name; [`super::check`] finds nothing wrong with them.
    pub rules: Vec<Rule>,
    /// The original form of those rules whose limits were lowered.
    pub reduced: Vec<Rule>,
    /// The original form of rules that were removed.
    pub removed: Vec<Rule>,
}

/// Cuts the rules in effect (`current.rules`) to a plan. In the order of their names, rules with another
/// class or prefix are removed, then those beyond the maximum number. Each limit is lowered to the plan's
/// maximum, and if a sum is too great, all its parts are lowered in proportion. The original form of rules
/// cut earlier is kept.
pub fn cut(current: &Cut, plan: &Plan) -> Cut {
    let mut order: Vec<&Rule> = current.rules.iter().collect();
    order.sort_by_key(|r| &r.name);
    let mut rules: Vec<Rule> = Vec::new();
    for rule in order {
        if within_scope(rule, plan) && rules.len() < plan.rules {
            let mut lower = rule.clone();
            lower_to_plan(&mut lower.limits, plan);
            rules.push(lower);
        }
    }
    for field in Field::ALL.into_iter().filter(|f| f.is_summed()) {
        scale_to_plan(&mut rules, field, plan);
    }
    rules.retain(sets_any);
    classify(rules, current)
}

/// Restores what was cut as far as the plan has room: first lowered limits, then removed rules, each in
/// order. No rule in effect becomes smaller.
pub fn restore(current: &Cut, plan: &Plan) -> Cut {
    let mut rules = current.rules.clone();
    let originals: BTreeMap<&str, &Rule> = current.reduced.iter().map(|r| (r.name.as_str(), r)).collect();
    let mut room_left: BTreeMap<Field, u128> = BTreeMap::new();
    for field in Field::ALL.into_iter().filter(|f| f.is_summed()) {
        let most = field.get(&plan.most).map_or(0, u128::from);
        room_left.insert(field, most.saturating_sub(sum(&rules, field)));
    }
    for rule in &mut rules {
        if let Some(original) = originals.get(rule.name.as_str()) {
            raise_towards(&mut rule.limits, &original.limits, plan, &mut room_left);
        }
    }
    for original in &current.removed {
        let mut rule = original.clone();
        lower_to_plan(&mut rule.limits, plan);
        let within_limits = rules.len() < plan.rules.min(limits::MAX_RULES)
            && octets(&rules) + octets(std::slice::from_ref(original)) <= limits::MAX_RULES_BYTES;
        let need = |f: &Field| value_or_zero(*f, &rule.limits);
        let room = Field::ALL.iter().all(|f| room_left.get(f).is_none_or(|room_left| need(f) <= *room_left));
        if within_limits && room && within_scope(&rule, plan) && sets_any(&rule) && !conflicts(&rules, &rule)
        {
            room_left
                .iter_mut()
                .for_each(|(f, room_left)| *room_left -= value_or_zero(*f, &rule.limits).min(*room_left));
            rules.push(rule);
        }
    }
    classify(rules, current)
}

/// Splits the known rules into those in effect, reduced and removed.
fn classify(mut rules: Vec<Rule>, current: &Cut) -> Cut {
    // Lowering can make durations equal and rules thereby redundant. Such rules would make the client's next
    // change fail, since rules are checked as a whole; removing them changes nothing.
    for _ in 0..MAX_PASSES {
        let found = redundant_rules(&rules);
        let mut gone: BTreeSet<String> =
            found.iter().filter(|s| s.direct).map(|s| s.rule.name.clone()).collect();
        if gone.is_empty() {
            // One at a time: with the first one gone, the next may no longer be redundant.
            gone.extend(found.first().map(|s| s.rule.name.clone()));
        }
        if gone.is_empty() {
            break;
        }
        rules.retain(|r| !gone.contains(&r.name));
    }
    rules.sort_by(|a, b| a.name.cmp(&b.name));
    let mut known: BTreeMap<&str, &Rule> = BTreeMap::new();
    let all = current.reduced.iter().chain(&current.rules).chain(&current.removed);
    all.for_each(|r| _ = known.entry(&r.name).or_insert(r));
    let mut result = Cut { rules, ..Cut::default() };
    for rule in &result.rules {
        if let Some(original) = known.remove(rule.name.as_str())
            && original != rule
        {
            result.reduced.push(original.clone());
        }
    }
    // The rules removed last come first; the oldest are dropped when there are too many.
    let latest = current.rules.iter().chain(&current.removed);
    for rule in latest.filter_map(|r| known.remove(r.name.as_str())) {
        result.removed.push(rule.clone());
    }
    while result.removed.len() > limits::MAX_RULES || octets(&result.removed) > limits::MAX_RULES_BYTES {
        let half = result.removed.len() / 2;
        result.removed.truncate(half);
    }
    result
}

/// Lowers each limit to the plan's maximum. Limits that the plan does not name, and those that would become
/// an invalid zero, are left out.
fn lower_to_plan(limits: &mut RuleLimits, plan: &Plan) {
    for field in Field::ALL {
        let value = field.get(limits).zip(field.get(&plan.most)).map(|(value, most)| value.min(most));
        field.set(limits, value.filter(|v| *v > 0 || !field.requires_nonzero()));
    }
}

/// Lowers a limit of all rules in proportion, rounding down, until the sum is within the plan.
fn scale_to_plan(rules: &mut [Rule], field: Field, plan: &Plan) {
    let sum = sum(rules, field);
    let Some(most) = field.get(&plan.most).map(u128::from).filter(|most| sum > *most) else { return };
    for rule in rules {
        let part = field.get(&rule.limits).map(|v| u64::try_from(u128::from(v) * most / sum).unwrap_or(0));
        // A rate of zero would hold messages forever, so the limit is left out and the settings' default
        // applies.
        field.set(&mut rule.limits, part.filter(|v| *v > 0 || !field.requires_nonzero()));
    }
}

fn raise_towards(
    current: &mut RuleLimits,
    original: &RuleLimits,
    plan: &Plan,
    room_left: &mut BTreeMap<Field, u128>,
) {
    for field in Field::ALL {
        let (Some(want), Some(most)) = (field.get(original), field.get(&plan.most)) else { continue };
        let have = field.get(current);
        let mut value = want.min(most);
        if let Some(room_left) = room_left.get_mut(&field) {
            let room = u128::from(have.unwrap_or(0)) + *room_left;
            value = value.min(u64::try_from(room).unwrap_or(u64::MAX));
            if have.is_none_or(|have| value > have) {
                *room_left -= u128::from(value.saturating_sub(have.unwrap_or(0))).min(*room_left);
            }
        }
        if have.map_or(value > 0 || want == 0, |have| value > have) {
            field.set(current, Some(value));
        }
    }
}

fn sets_any(rule: &Rule) -> bool {
    Field::ALL.iter().any(|f| f.get(&rule.limits).is_some())
}

fn sum(rules: &[Rule], field: Field) -> u128 {
    rules.iter().map(|r| value_or_zero(field, &r.limits)).sum()
}

fn value_or_zero(field: Field, limits: &RuleLimits) -> u128 {
    field.get(limits).map_or(0, u128::from)
}

/// Returns whether another rule has the same name or the same match.
fn conflicts(rules: &[Rule], rule: &Rule) -> bool {
    rules
        .iter()
        .any(|r| r.name == rule.name || (r.to == rule.to && r.class == rule.class && r.key == rule.key))
}

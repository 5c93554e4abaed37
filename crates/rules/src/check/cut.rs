//! Rules cut to a plan, the same on every member, and brought back when there is room again.

use super::conflicts::redundant_rules;
use super::octets;
use super::plan::within_scope;
use crate::field::Field;
use crate::limits;
use crate::model::{Figures, Plan, Rule};
use std::collections::{BTreeMap, BTreeSet};

/// How often it is looked for rules that say nothing new; what would be left stands in the way of the client's next change
/// until it takes it out.
const MAX_PASSES: usize = 32;

/// What a plan leaves of rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    /// What holds, by name. [`super::check`] finds nothing wrong with it.
    pub rules: Vec<Rule>,
    /// Of these, the ones that were made smaller, as they were wanted.
    pub reduced: Vec<Rule>,
    /// What does not hold at all, as it was wanted.
    pub removed: Vec<Rule>,
}

/// Cuts rules that hold (`now.rules`) to a plan: in the order of their names, those of another class or prefix go out,
/// then those beyond the number of rules; each figure is lowered to the plan's, and where a sum is too great, all in
/// proportion. What was cut before stays known as it was wanted.
pub fn cut(current: &Cut, plan: &Plan) -> Cut {
    let mut order: Vec<&Rule> = current.rules.iter().collect();
    order.sort_by_key(|r| &r.name);
    let mut rules: Vec<Rule> = Vec::new();
    for rule in order {
        if within_scope(rule, plan) && rules.len() < plan.rules {
            let mut lower = rule.clone();
            lower_to_plan(&mut lower.figures, plan);
            rules.push(lower);
        }
    }
    for field in Field::ALL.into_iter().filter(|f| f.is_summed()) {
        scale_to_plan(&mut rules, field, plan);
    }
    rules.retain(sets_any);
    classify(rules, current)
}

/// Brings back what was cut, as far as the plan has room: first what is smaller than it was wanted, then what went out,
/// each in order. Nothing that holds becomes smaller by it.
pub fn restore(current: &Cut, plan: &Plan) -> Cut {
    let mut rules = current.rules.clone();
    let wanted: BTreeMap<&str, &Rule> = current.reduced.iter().map(|r| (r.name.as_str(), r)).collect();
    let mut left: BTreeMap<Field, u128> = BTreeMap::new();
    for field in Field::ALL.into_iter().filter(|f| f.is_summed()) {
        let most = field.get(&plan.most).map_or(0, u128::from);
        left.insert(field, most.saturating_sub(sum(&rules, field)));
    }
    for rule in &mut rules {
        if let Some(wanted_rule) = wanted.get(rule.name.as_str()) {
            raise_towards(&mut rule.figures, &wanted_rule.figures, plan, &mut left);
        }
    }
    for wanted_rule in &current.removed {
        let mut rule = wanted_rule.clone();
        lower_to_plan(&mut rule.figures, plan);
        let within_limits = rules.len() < plan.rules.min(limits::MAX_RULES)
            && octets(&rules) + octets(std::slice::from_ref(wanted_rule)) <= limits::SET_OCTETS;
        let need = |f: &Field| value_or_zero(*f, &rule.figures);
        let room = Field::ALL.iter().all(|f| left.get(f).is_none_or(|left| need(f) <= *left));
        if within_limits && room && within_scope(&rule, plan) && sets_any(&rule) && !conflicts(&rules, &rule)
        {
            left.iter_mut().for_each(|(f, left)| *left -= value_or_zero(*f, &rule.figures).min(*left));
            rules.push(rule);
        }
    }
    classify(rules, current)
}

/// Sorts out which of the rules known so far hold whole, smaller or not at all.
fn classify(mut rules: Vec<Rule>, current: &Cut) -> Cut {
    // Lowering makes spans equal, and so rules that say nothing new. They would stand in the way of the client's next
    // change, which is checked as a whole; without them nothing changes.
    for _ in 0..MAX_PASSES {
        let found = redundant_rules(&rules);
        let mut gone: BTreeSet<String> =
            found.iter().filter(|s| s.direct).map(|s| s.rule.name.clone()).collect();
        if gone.is_empty() {
            // One by one: with the first of them gone, the next may have become what makes a difference.
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
    let mut done = Cut { rules, ..Cut::default() };
    for rule in &done.rules {
        if let Some(wanted_rule) = known.remove(rule.name.as_str())
            && wanted_rule != rule
        {
            done.reduced.push(wanted_rule.clone());
        }
    }
    // What went out latest comes first; what went out long ago is given up when there is too much of it.
    let latest = current.rules.iter().chain(&current.removed);
    for rule in latest.filter_map(|r| known.remove(r.name.as_str())) {
        done.removed.push(rule.clone());
    }
    while done.removed.len() > limits::MAX_RULES || octets(&done.removed) > limits::SET_OCTETS {
        let half = done.removed.len() / 2;
        done.removed.truncate(half);
    }
    done
}

/// Each figure lowered to the plan's; those that the plan does not name, or of which nothing is left, are left out.
fn lower_to_plan(figures: &mut Figures, plan: &Plan) {
    for field in Field::ALL {
        let value = field.get(figures).zip(field.get(&plan.most)).map(|(value, most)| value.min(most));
        field.set(figures, value.filter(|v| *v > 0 || !field.requires_nonzero()));
    }
}

/// Lowers a figure of all rules in proportion, rounding down, until the sum is within the plan.
fn scale_to_plan(rules: &mut [Rule], field: Field, plan: &Plan) {
    let sum = sum(rules, field);
    let Some(most) = field.get(&plan.most).map(u128::from).filter(|most| sum > *most) else { return };
    for rule in rules {
        let part = field.get(&rule.figures).map(|v| u64::try_from(u128::from(v) * most / sum).unwrap_or(0));
        // A pace of nought would hold messages for ever: the settings' default holds instead.
        field.set(&mut rule.figures, part.filter(|v| *v > 0 || !field.requires_nonzero()));
    }
}

fn raise_towards(
    current: &mut Figures,
    wanted_rule: &Figures,
    plan: &Plan,
    left: &mut BTreeMap<Field, u128>,
) {
    for field in Field::ALL {
        let (Some(want), Some(most)) = (field.get(wanted_rule), field.get(&plan.most)) else { continue };
        let have = field.get(current);
        let mut value = want.min(most);
        if let Some(left) = left.get_mut(&field) {
            let room = u128::from(have.unwrap_or(0)) + *left;
            value = value.min(u64::try_from(room).unwrap_or(u64::MAX));
            if have.is_none_or(|have| value > have) {
                *left -= u128::from(value.saturating_sub(have.unwrap_or(0))).min(*left);
            }
        }
        if have.map_or(value > 0 || want == 0, |have| value > have) {
            field.set(current, Some(value));
        }
    }
}

fn sets_any(rule: &Rule) -> bool {
    Field::ALL.iter().any(|f| f.get(&rule.figures).is_some())
}

fn sum(rules: &[Rule], field: Field) -> u128 {
    rules.iter().map(|r| value_or_zero(field, &r.figures)).sum()
}

fn value_or_zero(field: Field, figures: &Figures) -> u128 {
    field.get(figures).map_or(0, u128::from)
}

/// Same name or same match.
fn conflicts(rules: &[Rule], rule: &Rule) -> bool {
    rules
        .iter()
        .any(|r| r.name == rule.name || (r.to == rule.to && r.class == rule.class && r.key == rule.key))
}

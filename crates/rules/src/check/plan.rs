//! Checks of rules against a plan.

use super::{Finding, Findings};
use crate::field::Field;
use crate::limits;
use crate::model::{Plan, Rule};

pub(super) fn check(rules: &[Rule], plan: &Plan, out: &mut Findings) {
    if rules.len() > plan.rules {
        let most = plan.rules.to_string();
        out.push(Finding::new("", "rules", &most, &most, &format!("there are {} rules", rules.len())));
    }
    for rule in rules {
        if !allowed_class(rule, plan) {
            let list = plan.classes.join(", ");
            let fits = plan.classes.first().map_or("", String::as_str);
            let why = "the plan has no such class, so that the rule could match what is beyond it";
            out.push(Finding::new(&rule.name, "class", &list, fits, why));
        }
        if !allowed_prefix(rule, plan) {
            let list = plan.prefixes.join(", ");
            // If the rule is only too wide, the smallest correction is the plan's prefix that extends it.
            let inside = plan.prefixes.iter().find(|p| p.starts_with(&rule.to)).or(plan.prefixes.first());
            let why = "the plan has no such prefix, so that the rule could match what is beyond it";
            out.push(Finding::new(&rule.name, "to", &list, inside.map_or("", String::as_str), why));
        }
    }
    Field::ALL.into_iter().for_each(|field| check_field(rules, plan, field, out));
}

fn check_field(rules: &[Rule], plan: &Plan, field: Field, out: &mut Findings) {
    let most = field.get(&plan.most);
    let mut left = most.unwrap_or(0);
    for rule in rules {
        let Some(value) = field.get(&rule.limits) else { continue };
        let Some(most) = most else {
            let why = "the plan does not let it be set";
            out.push(Finding::new(&rule.name, field.name(), "none", "leave it out", why));
            continue;
        };
        let shown = field.format(most);
        if value > most {
            let why = format!("the plan has {shown} at most, the rule {}", field.format(value));
            out.push(Finding::new(&rule.name, field.name(), &shown, &shown, &why));
        } else if field.is_summed() && value > left {
            let why =
                format!("all rules together may have {shown}, of which {} are left here", field.format(left));
            out.push(Finding::new(&rule.name, field.name(), &shown, &field.format(left), &why));
        }
        left = left.saturating_sub(value);
    }
}

/// Returns whether class and prefix are within the plan.
pub(super) fn within_scope(rule: &Rule, plan: &Plan) -> bool {
    allowed_class(rule, plan) && allowed_prefix(rule, plan)
}

fn allowed_class(rule: &Rule, plan: &Plan) -> bool {
    plan.classes.is_empty() || plan.classes.contains(&rule.class)
}

fn allowed_prefix(rule: &Rule, plan: &Plan) -> bool {
    plan.prefixes.is_empty() || plan.prefixes.iter().any(|p| rule.to.starts_with(p))
}

/// Returns whether `new` allows everything that `old` allows.
pub fn covers(new: &Plan, old: &Plan) -> bool {
    let classes = new.classes.is_empty()
        || (!old.classes.is_empty() && old.classes.iter().all(|c| new.classes.contains(c)));
    let under = |p: &String| new.prefixes.iter().any(|q| p.starts_with(q));
    let prefixes = new.prefixes.is_empty() || (!old.prefixes.is_empty() && old.prefixes.iter().all(under));
    let figure = |f: &Field| match (f.get(&new.most), f.get(&old.most)) {
        (new, Some(old)) => new.is_some_and(|new| new >= old),
        (_, None) => true,
    };
    new.rules >= old.rules && classes && prefixes && Field::ALL.iter().all(figure)
}

/// Returns whether the plan itself is within the bounds. A plan that is not counts as one that can't be read.
pub(crate) fn is_usable(plan: &Plan) -> bool {
    let bounded = |list: &[String], count: usize, most: usize| {
        list.len() <= count && list.iter().all(|t| t.len() <= most)
    };
    plan.name.len() <= limits::MAX_CLIENT_NAME_BYTES
        && plan.grace >= 0
        && bounded(&plan.classes, limits::MAX_PLAN_CLASSES, limits::MAX_CLASS_BYTES)
        && bounded(&plan.prefixes, limits::MAX_PLAN_PREFIXES, limits::MAX_ADDRESS_PREFIX_BYTES)
        && Field::ALL.iter().all(|f| f.raw(&plan.most).is_none_or(|v| v >= 0))
}

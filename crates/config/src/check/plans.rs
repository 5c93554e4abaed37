//! Validates the plans, which limit the rules that clients define, and their assignment to clients.

use super::checker::Checker;
use super::receivers::is_prefix;
use crate::raw;
use heronroute::Micros;
use heronroute_rules::{Plan, RuleLimits};
use std::collections::BTreeSet;

const MAX_RULES: u32 = 10_000;
const MAX_COUNT: u32 = 1 << 24;
const MAX_BYTES: u64 = 1 << 40;

pub fn plans(
    check: &mut Checker,
    plans: &[raw::Plan],
    clients: &[raw::Client],
    classes: &[raw::Class],
) -> Vec<Plan> {
    let mut names = BTreeSet::new();
    let mut list = Vec::with_capacity(plans.len());
    for (i, plan) in plans.iter().enumerate() {
        let at = format!("plan[{i}]");
        check.name(&format!("{at}.name"), &plan.name, 64, &mut names);
        // Without an operator, changes would wait for approval forever.
        if plan.approval && !clients.iter().any(|k| k.operator) {
            check.report(
                &format!("{at}.approval"),
                "no client of this file is an operator that could approve changes",
            );
        }
        list.push(check_plan(check, &at, plan, classes));
    }
    for (i, k) in clients.iter().enumerate() {
        if !k.plan.is_empty() && !plans.iter().any(|plan| plan.name == k.plan) {
            check.report(
                &format!("client[{i}].plan"),
                format!("\"{}\" is none of the plans of this file", k.plan),
            );
        }
    }
    list
}

fn check_plan(check: &mut Checker, at: &str, plan: &raw::Plan, classes: &[raw::Class]) -> Plan {
    let path = |field: &str| format!("{at}.{field}");
    let mut seen = BTreeSet::new();
    for (n, class) in plan.class.iter().enumerate() {
        if !classes.iter().any(|k| k.name == *class) {
            check.report(
                &path(&format!("class[{n}]")),
                format!("\"{class}\" is none of the classes of this file"),
            );
        } else if !seen.insert(class) {
            check.report(&path(&format!("class[{n}]")), format!("\"{class}\" is used more than once"));
        }
    }
    let mut prefixes = BTreeSet::new();
    for (n, prefix) in plan.prefix.iter().enumerate() {
        if !is_prefix(prefix) {
            check.report(
                &path(&format!("prefix[{n}]")),
                format!("\"{prefix}\" is not a prefix: at most 20 printable ASCII characters"),
            );
        } else if !prefixes.insert(prefix) {
            check.report(&path(&format!("prefix[{n}]")), format!("\"{prefix}\" is used more than once"));
        }
    }
    Plan {
        name: plan.name.clone(),
        rules: check.count(&path("rules"), plan.rules, 16, MAX_RULES) as usize,
        classes: plan.class.clone(),
        prefixes: plan.prefix.clone(),
        most: limits(check, at, plan),
        changes_an_hour: check.count(&path("changes_an_hour"), plan.changes_an_hour, 20, 100_000),
        approval: plan.approval,
        grace: check.duration(&path("grace"), &plan.grace, 86_400_000_000, 0),
    }
}

fn limits(check: &mut Checker, at: &str, plan: &raw::Plan) -> RuleLimits {
    let octets = check.size(&format!("{at}.hold_octets"), &plan.hold_octets, 0, 1);
    if octets > MAX_BYTES {
        check.report(
            &format!("{at}.hold_octets"),
            format!("\"{}\" is too large: at most 1024GiB", plan.hold_octets),
        );
    }
    let mut duration = |field: &str, text: &str| -> Option<Micros> {
        let duration = check.duration(&format!("{at}.{field}"), text, 0, 1_000);
        (!text.is_empty()).then_some(duration)
    };
    let (answer_for, remember) =
        (duration("answer_for", &plan.answer_for), duration("remember", &plan.remember));
    let (hold_for, validity) = (duration("hold_for", &plan.hold_for), duration("validity", &plan.validity));
    let mut count = |field: &str, value: u32, max: u32| {
        let count = check.count(&format!("{at}.{field}"), value, 0, max);
        (count > 0).then_some(u64::from(count))
    };
    RuleLimits {
        answer_for,
        remember,
        remembered: count("remembered", plan.remembered, MAX_COUNT),
        hold_for,
        hold_count: count("hold_count", plan.hold_count, MAX_COUNT),
        hold_octets: (octets > 0).then_some(octets),
        trails: count("trails", plan.trails, MAX_COUNT),
        validity,
        release: count("release", plan.release, 1_000_000),
    }
}

//! Plans within which clients keep rules of their own, and which client has which.

use super::collect::Check;
use super::receivers::is_prefix;
use crate::raw;
use heronroute::Micros;
use heronroute_rules::{Plan, RuleLimits};
use std::collections::BTreeSet;

const MOST_RULES: u32 = 10_000;
const MOST_COUNT: u32 = 1 << 24;
const MOST_OCTETS: u64 = 1 << 40;

pub fn plans(
    c: &mut Check,
    plans: &[raw::Plan],
    clients: &[raw::Client],
    classes: &[raw::Class],
) -> Vec<Plan> {
    let mut names = BTreeSet::new();
    let mut list = Vec::with_capacity(plans.len());
    for (i, p) in plans.iter().enumerate() {
        let at = format!("plan[{i}]");
        c.name(&format!("{at}.name"), &p.name, 64, &mut names);
        // Guards against changes that wait for good.
        if p.approval && !clients.iter().any(|k| k.operator) {
            c.say(&format!("{at}.approval"), "no client of this file is an operator, who could approve");
        }
        list.push(plan(c, &at, p, classes));
    }
    for (i, k) in clients.iter().enumerate() {
        if !k.plan.is_empty() && !plans.iter().any(|p| p.name == k.plan) {
            c.say(&format!("client[{i}].plan"), format!("\"{}\" is none of the plans of this file", k.plan));
        }
    }
    list
}

fn plan(c: &mut Check, at: &str, p: &raw::Plan, classes: &[raw::Class]) -> Plan {
    let path = |field: &str| format!("{at}.{field}");
    let mut seen = BTreeSet::new();
    for (n, class) in p.class.iter().enumerate() {
        if !classes.iter().any(|k| k.name == *class) {
            c.say(&path(&format!("class[{n}]")), format!("\"{class}\" is none of the classes of this file"));
        } else if !seen.insert(class) {
            c.say(&path(&format!("class[{n}]")), format!("\"{class}\" was named before"));
        }
    }
    let mut prefixes = BTreeSet::new();
    for (n, prefix) in p.prefix.iter().enumerate() {
        if !is_prefix(prefix) {
            c.say(
                &path(&format!("prefix[{n}]")),
                format!("\"{prefix}\" is no prefix: at most 20 printable ASCII characters"),
            );
        } else if !prefixes.insert(prefix) {
            c.say(&path(&format!("prefix[{n}]")), format!("\"{prefix}\" was named before"));
        }
    }
    Plan {
        name: p.name.clone(),
        rules: c.count(&path("rules"), p.rules, 16, MOST_RULES) as usize,
        classes: p.class.clone(),
        prefixes: p.prefix.clone(),
        most: limits(c, at, p),
        changes_an_hour: c.count(&path("changes_an_hour"), p.changes_an_hour, 20, 100_000),
        approval: p.approval,
        grace: c.span(&path("grace"), &p.grace, 86_400_000_000, 0),
    }
}

fn limits(c: &mut Check, at: &str, p: &raw::Plan) -> RuleLimits {
    let octets = c.size(&format!("{at}.hold_octets"), &p.hold_octets, 0, 1);
    if octets > MOST_OCTETS {
        c.say(&format!("{at}.hold_octets"), format!("\"{}\" is too large: at most 1024GiB", p.hold_octets));
    }
    let mut span = |field: &str, text: &str| -> Option<Micros> {
        let span = c.span(&format!("{at}.{field}"), text, 0, 1_000);
        (!text.is_empty()).then_some(span)
    };
    let (answer_for, remember) = (span("answer_for", &p.answer_for), span("remember", &p.remember));
    let (hold_for, validity) = (span("hold_for", &p.hold_for), span("validity", &p.validity));
    let mut count = |field: &str, value: u32, most: u32| {
        let count = c.count(&format!("{at}.{field}"), value, 0, most);
        (count > 0).then_some(u64::from(count))
    };
    RuleLimits {
        answer_for,
        remember,
        remembered: count("remembered", p.remembered, MOST_COUNT),
        hold_for,
        hold_count: count("hold_count", p.hold_count, MOST_COUNT),
        hold_octets: (octets > 0).then_some(octets),
        trails: count("trails", p.trails, MOST_COUNT),
        validity,
        release: count("release", p.release, 1_000_000),
    }
}

//! Clients and the classes of their messages.

use super::collect::Check;
use super::types::ClientConfig;
use crate::raw;
use heronroute::{ClassSettings, DedupScope, Effect, Settings, TenantSettings};
use std::collections::BTreeSet;

pub fn clients(c: &mut Check, clients: &[raw::Client], settings: &mut Settings) -> Vec<ClientConfig> {
    let mut seen = BTreeSet::new();
    let list = clients.iter().enumerate().map(|(i, k)| {
        let path = |field: &str| format!("client[{i}].{field}");
        c.name(&path("system_id"), &k.system_id, 15, &mut seen);
        c.name(&path("password"), &k.password, 8, &mut BTreeSet::new());
        let quota = c.figure(&path("quota"), k.quota, 0.0, 1e9);
        settings.tenants.push(TenantSettings { quota });
        let rate = c.figure(&path("rate"), k.rate, f64::INFINITY, 1e9);
        let burst = if k.burst == 0 { rate.max(1.0) } else { f64::from(k.burst) };
        let weight = c.figure(&path("weight"), k.weight, 1.0, 1e3);
        ClientConfig {
            system_id: k.system_id.clone(),
            password: k.password.clone(),
            rate,
            burst,
            weight,
            plan: Some(k.plan.clone()).filter(|p| !p.is_empty()),
            operator: k.operator,
        }
    });
    let list: Vec<ClientConfig> = list.collect();
    if list.is_empty() {
        c.say("client", "no client is named: at least one");
    }
    list
}

pub fn classes(c: &mut Check, classes: &[raw::Class], settings: &mut Settings) -> Vec<String> {
    let mut seen = BTreeSet::new();
    for (i, k) in classes.iter().enumerate() {
        let path = |field: &str| format!("class[{i}].{field}");
        c.name(&path("name"), &k.name, 5, &mut seen);
        let effect = match k.effect.as_str() {
            "free" => Effect::Free,
            "guarded" => Effect::Guarded,
            "single_shot" | "" => Effect::SingleShot,
            other => {
                c.say(
                    &path("effect"),
                    format!("\"{other}\" is no effect: \"free\", \"guarded\" or \"single_shot\""),
                );
                Effect::SingleShot
            }
        };
        let group = match k.group.as_str() {
            "" | "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            "endpoint" => DedupScope::Endpoint,
            other => {
                c.say(&path("group"), format!("\"{other}\" is no group: \"all\", \"zone\" or \"endpoint\""));
                DedupScope::All
            }
        };
        if effect == Effect::Guarded && k.window.is_empty() {
            c.say(&path("window"), "a guarded class needs the span in which receivers drop repeats");
        }
        let deadline = c.span(&path("deadline"), &k.deadline, 30_000_000, 1_000);
        let aim = c.span(&path("aim"), &k.aim, deadline.min(2_000_000), 0);
        if aim > deadline {
            c.say(&path("aim"), "the aim lies after the deadline");
        }
        settings.classes.push(ClassSettings {
            aim,
            deadline,
            effect,
            group,
            window: c.span(&path("window"), &k.window, 0, 0),
            ordered: k.ordered,
            worth: c.figure(&path("worth"), k.worth, 1.0, 1e6),
            late_share: c.figure(&path("late_share"), k.late_share, 0.0, 1.0),
        });
    }
    if classes.is_empty() {
        c.say("class", "no class is named: at least one");
    }
    classes.iter().map(|k| k.name.clone()).collect()
}

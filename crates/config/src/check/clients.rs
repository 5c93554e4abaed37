//! Validates clients and the classes of their messages.

use super::checker::Checker;
use super::types::ClientConfig;
use crate::raw;
use heronroute::{ClassSettings, DedupScope, Effect, Settings, TenantSettings};
use std::collections::BTreeSet;

pub fn clients(check: &mut Checker, clients: &[raw::Client], settings: &mut Settings) -> Vec<ClientConfig> {
    let mut seen = BTreeSet::new();
    let list = clients.iter().enumerate().map(|(i, client)| {
        let path = |field: &str| format!("client[{i}].{field}");
        check.name(&path("system_id"), &client.system_id, 15, &mut seen);
        check.name(&path("password"), &client.password, 8, &mut BTreeSet::new());
        let quota = check.number(&path("quota"), client.quota, 0.0, 1e9);
        settings.tenants.push(TenantSettings { quota });
        let rate = check.number(&path("rate"), client.rate, f64::INFINITY, 1e9);
        let burst = if client.burst == 0 { rate.max(1.0) } else { f64::from(client.burst) };
        let weight = check.number(&path("weight"), client.weight, 1.0, 1e3);
        ClientConfig {
            system_id: client.system_id.clone(),
            password: client.password.clone(),
            rate,
            burst,
            weight,
            plan: Some(client.plan.clone()).filter(|p| !p.is_empty()),
            operator: client.operator,
        }
    });
    let list: Vec<ClientConfig> = list.collect();
    if list.is_empty() {
        check.report("client", "no client is given: at least one is required");
    }
    list
}

pub fn classes(check: &mut Checker, classes: &[raw::Class], settings: &mut Settings) -> Vec<String> {
    let mut seen = BTreeSet::new();
    for (i, class) in classes.iter().enumerate() {
        let path = |field: &str| format!("class[{i}].{field}");
        check.name(&path("name"), &class.name, 5, &mut seen);
        let effect = match class.effect.as_str() {
            "free" => Effect::Free,
            "guarded" => Effect::Guarded,
            "single_shot" | "" => Effect::SingleShot,
            other => {
                check.report(
                    &path("effect"),
                    format!("\"{other}\" is not an effect: \"free\", \"guarded\" or \"single_shot\""),
                );
                Effect::SingleShot
            }
        };
        let group = match class.group.as_str() {
            "" | "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            "endpoint" => DedupScope::Endpoint,
            other => {
                check.report(
                    &path("group"),
                    format!("\"{other}\" is not a group: \"all\", \"zone\" or \"endpoint\""),
                );
                DedupScope::All
            }
        };
        if effect == Effect::Guarded && class.window.is_empty() {
            check.report(
                &path("window"),
                "a guarded class needs the period in which receivers drop duplicates",
            );
        }
        let deadline = check.duration(&path("deadline"), &class.deadline, 30_000_000, 1_000);
        let aim = check.duration(&path("aim"), &class.aim, deadline.min(2_000_000), 0);
        if aim > deadline {
            check.report(&path("aim"), "the aim is later than the deadline");
        }
        settings.classes.push(ClassSettings {
            aim,
            deadline,
            effect,
            group,
            window: check.duration(&path("window"), &class.window, 0, 0),
            ordered: class.ordered,
            worth: check.number(&path("worth"), class.worth, 1.0, 1e6),
            late_share: check.number(&path("late_share"), class.late_share, 0.0, 1.0),
        });
    }
    if classes.is_empty() {
        check.report("class", "no class is given: at least one is required");
    }
    classes.iter().map(|class| class.name.clone()).collect()
}

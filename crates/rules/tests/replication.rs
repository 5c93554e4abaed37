//! Random commands in random order: the same state on every member, within all bounds, and one content per
//! version number.

mod common;

use common::*;
use heronroute_rules::check::{check, plan_violations};
use heronroute_rules::digest::{plan_digest, rules_digest};
use heronroute_rules::registry::{Viewer, merge};
use heronroute_rules::{Command, Plan, Registry, Reply, Rule, RuleSet, limits};
use proptest::prelude::*;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Action {
    Submit { client: u8, request: u8, versions_ago: u64, rules: Vec<Rule>, fit_to_plan: bool },
    Approve { client: u8, versions_ago: u64 },
    Refuse { client: u8, versions_ago: u64 },
    RollBack { client: u8, versions_ago: u64, request: u8 },
    Plan { client: u8, plan: Box<Plan> },
    Unreadable { client: u8 },
    Drop { client: u8 },
    Tick,
}

fn action() -> impl Strategy<Value = Action> {
    let client = 0..3u8;
    let submit = (client.clone(), any::<u8>(), 0..3u64, any_rules(), prop::bool::weighted(0.9));
    let version = (client.clone(), 0..4u64);
    prop_oneof![
        8 => submit.prop_map(|(client, request, versions_ago, rules, fit_to_plan)| Action::Submit { client, request, versions_ago, rules, fit_to_plan }),
        3 => version.clone().prop_map(|(client, versions_ago)| Action::Approve { client, versions_ago }),
        1 => version.clone().prop_map(|(client, versions_ago)| Action::Refuse { client, versions_ago }),
        2 => (version, any::<u8>()).prop_map(|((client, versions_ago), request)| Action::RollBack { client, versions_ago, request }),
        3 => (client.clone(), any_plan()).prop_map(|(client, plan)| Action::Plan { client, plan: Box::new(plan) }),
        1 => client.clone().prop_map(|client| Action::Unreadable { client }),
        1 => client.prop_map(|client| Action::Drop { client }),
        2 => Just(Action::Tick),
    ]
}

/// Makes a command from an action. Versions are counted back from the desired one, and rules are mostly
/// fitted to the plan, so that many commands succeed.
fn command(registry: &Registry, plans: &BTreeMap<String, Plan>, action: Action) -> Command {
    let name = |client: u8| format!("c{client}");
    let current_version = |client: u8| registry.desired(&name(client)).map_or(0, |d| d.set.version);
    let version_ago =
        |client: u8, versions_ago: u64| (current_version(client) + 1).saturating_sub(versions_ago);
    match action {
        Action::Submit { client, request, versions_ago, rules, fit_to_plan } => {
            let plan = plans.get(&name(client)).cloned().unwrap_or_default();
            let rules = if fit_to_plan { valid_rules(rules, &plan) } else { rules };
            let base = current_version(client).saturating_sub(versions_ago);
            Command::Submit { request: [request; 32], client: name(client), base, rules }
        }
        Action::Approve { client, versions_ago } => {
            let own = Viewer { client: &name(client), operator: true };
            let waits = registry.view(own, &name(client)).and_then(|v| v.waiting.first().copied());
            Command::Approve {
                client: name(client),
                version: waits.unwrap_or(version_ago(client, versions_ago)),
                by: "ops".into(),
            }
        }
        Action::Refuse { client, versions_ago } => Command::Refuse {
            client: name(client),
            version: version_ago(client, versions_ago),
            by: "o".into(),
            why: "w".into(),
        },
        Action::RollBack { client, versions_ago, request } => Command::RollBack {
            client: name(client),
            version: version_ago(client, versions_ago),
            request: [request; 32],
        },
        Action::Plan { client, plan } => {
            let digest = plan_digest(&plan);
            Command::Plan { client: name(client), plan: Some(plan), digest }
        }
        Action::Unreadable { client } => Command::Plan { client: name(client), plan: None, digest: [0; 32] },
        Action::Drop { client } => Command::Drop { client: name(client) },
        Action::Tick => Command::Tick,
    }
}

proptest! {
    #![proptest_config(cases(48))]

    #[test]
    fn all_members_reach_the_same_state(
        actions in prop::collection::vec((action(), 0..3i64), 1..50), restart_at in any::<prop::sample::Index>(),
    ) {
        let (mut first, mut second) = (Registry::new(), Registry::new());
        let (mut plans, mut wall, mut plan_set_at) = (BTreeMap::<String, Plan>::new(), 0, BTreeMap::new());
        let mut contents: BTreeMap<(String, u64), [u8; 32]> = BTreeMap::new();
        let restart = restart_at.index(actions.len());
        for (step, (action, elapsed)) in actions.into_iter().enumerate() {
            wall += elapsed;
            let command = command(&first, &plans, action);
            let command = Command::unpack(&command.pack()).expect("encodes and decodes");
            if let Command::Plan { client, plan: Some(plan), .. } = &command {
                plans.insert(client.clone(), (**plan).clone());
                plan_set_at.insert(client.clone(), wall);
            }
            if let Command::Drop { client } = &command {
                plans.remove(client);
            }
            let predicted = first.preview(wall, &command);
            let before = command.client().and_then(|c| first.desired(c));
            let out = first.apply(wall, &command);
            prop_assert_eq!(&out, &second.apply(wall, &command));
            prop_assert_eq!(&out.reply, &predicted.reply);
            // A member that restarts from its snapshot continues like the others.
            if step == restart {
                second = Registry::restore(&second.snapshot()).expect("its own");
            }
            prop_assert_eq!(&first, &second);
            for changed in &out.changed {
                let RuleSet { version, rules } = &*changed.set;
                let content = rules_digest(rules);
                let known = contents.entry((changed.client.clone(), *version)).or_insert(content);
                prop_assert_eq!(*known, content, "one content per version number");
            }
            // The same command repeated at once has no further effect.
            if let Command::Submit { .. } | Command::RollBack { .. } = &command
                && let Reply::Approved { version } | Reply::Waiting { version } = &out.reply
            {
                let mut again = first.clone();
                let reply = again.apply(wall, &command);
                prop_assert_eq!(reply.changed.len(), 0);
                prop_assert_eq!(&reply.reply, &out.reply);
                let was = before.map_or(0, |d| d.set.version);
                prop_assert!(*version >= was || out.changed.is_empty());
            }
            for (client, plan) in &plans {
                let set = first.desired(client).expect("has a plan").set;
                let waits = first.view(Viewer { client, operator: false }, client).expect("own");
                prop_assert!(waits.waiting.len() <= limits::MAX_WAITING_VERSIONS && waits.versions.len() <= 36);
                let notices = first.notices(client);
                let unread = notices.iter().any(|n| n.why.contains("can't be read"));
                if !plan_violations(&set.rules, plan).is_empty() && !unread {
                    // Rules exceed the plan only within the grace period, and the owner is notified.
                    prop_assert!(wall < plan_set_at[client] + plan.grace);
                    prop_assert!(notices.iter().any(|n| n.until.is_some()));
                } else if !unread {
                    prop_assert!(check(&set.rules, plan).is_empty());
                }
            }
        }
    }

    #[test]
    fn a_merge_keeps_the_changes_of_both_editors(base in any_rules(), first in edits(), second in edits()) {
        let named = |rules: Vec<Rule>| -> BTreeMap<String, Rule> {
            rules.into_iter().map(|r| (r.name.clone(), r)).collect()
        };
        let (first, second) = (named(apply_edits(&base, first)), named(apply_edits(&base, second)));
        let base = named(base);
        let list = |rules: &BTreeMap<String, Rule>| rules.values().cloned().collect::<Vec<_>>();
        let merged = merge(&list(&base), &list(&first), &list(&second));
        let other = merge(&list(&base), &list(&second), &list(&first));
        prop_assert_eq!(&merged, &other, "the same in either order");
        let touched = |by: &BTreeMap<String, Rule>, name: &str| by.get(name) != base.get(name);
        let names: Vec<&str> = ["a", "b", "c", "d", "e", "f"].to_vec();
        let both: Vec<String> = names.iter()
            .filter(|n| touched(&first, n) && touched(&second, n) && first.get(**n) != second.get(**n))
            .map(|n| n.to_string()).collect();
        match merged {
            Err(rules) => prop_assert_eq!(rules, both),
            Ok(merged) => {
                prop_assert!(both.is_empty());
                let merged = named(merged);
                for name in names {
                    let from = if touched(&first, name) { &first } else { &second };
                    prop_assert_eq!(merged.get(name), from.get(name));
                }
            }
        }
    }

    #[test]
    fn arbitrary_bytes_are_rejected_or_applied_without_panic(mut body in prop::collection::vec(any::<u8>(), 0..120), kind in 0..8u8) {
        body.insert(0, kind);
        if let Some(command) = Command::unpack(&body) {
            let mut registry = Registry::new();
            registry.apply(0, &Command::Plan { client: "c".into(), plan: Some(Box::new(unlimited_plan())), digest: [0; 32] });
            registry.apply(i64::MAX, &command);
            registry.apply(i64::MIN, &command);
        }
    }
}

//! Edits of recent and older versions, repeated requests and rollbacks, compared with a simple model: a list
//! of versions and the times of changes.

mod common;

use common::*;
use heronroute_rules::digest::plan_digest;
use heronroute_rules::{Command, Plan, Registry, Reply, Rule};
use proptest::prelude::*;
use std::collections::BTreeMap;

const HOUR: i64 = 60 * MINUTE;
/// Rules by name, with their hold time in minutes. No two of them match the same message.
type RuleMinutes = BTreeMap<u8, i64>;

#[derive(Clone, Debug)]
enum Action {
    /// Edits the version `ago` versions before the last one: these rules are changed, or removed if the time
    /// is 0.
    Edit {
        ago: usize,
        edits: Vec<(u8, i64)>,
    },
    /// Repeats the request `ago` requests before the last one.
    Repeat {
        ago: usize,
    },
    RollBack {
        ago: usize,
    },
    Wait {
        minutes: i64,
    },
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => (0..4usize, prop::collection::vec((0..4u8, 0..4i64), 1..3)).prop_map(|(ago, edits)| Action::Edit { ago, edits }),
        2 => (0..12usize).prop_map(|ago| Action::Repeat { ago }),
        1 => (0..6usize).prop_map(|ago| Action::RollBack { ago }),
        1 => (1..40i64).prop_map(|minutes| Action::Wait { minutes }),
    ]
}

fn rules(set: &RuleMinutes) -> Vec<Rule> {
    set.iter()
        .map(|(name, minutes)| rule(&format!("r{name}"), &format!("000001{name}"), minutes * MINUTE))
        .collect()
}

struct Model {
    versions: Vec<RuleMinutes>,
    changes: Vec<i64>,
}

impl Model {
    /// Returns the merge of the last version with an edit of `base`, or the rules that both changed in
    /// different ways.
    fn merged(&self, base: usize, mine: &RuleMinutes) -> Result<RuleMinutes, Vec<String>> {
        let (from, now) = (&self.versions[base], self.versions.last().unwrap());
        let (mut out, mut conflicting) = (RuleMinutes::new(), Vec::new());
        for name in 0..4 {
            let (base_value, their_value, my_value) = (from.get(&name), now.get(&name), mine.get(&name));
            if base_value != their_value && base_value != my_value && their_value != my_value {
                conflicting.push(format!("r{name}"));
            }
            out.extend(
                (if base_value == my_value { their_value } else { my_value }).map(|minutes| (name, *minutes)),
            );
        }
        if conflicting.is_empty() { Ok(out) } else { Err(conflicting) }
    }

    /// Adds a version unless nothing changed; returns none if the hour has no changes left.
    fn add(&mut self, now: i64, most: usize, set: RuleMinutes) -> Option<u64> {
        if self.versions.last() != Some(&set) {
            if self.changes.iter().filter(|at| **at > now - HOUR).count() >= most {
                return None;
            }
            self.changes.push(now);
            self.versions.push(set);
        }
        Some(self.versions.len() as u64 - 1)
    }
}

proptest! {
    #![proptest_config(cases(256))]

    #[test]
    fn edits_repeats_and_rollbacks_match_a_simple_model(actions in prop::collection::vec(action(), 1..60)) {
        let plan = Plan { changes_an_hour: 9, ..plan() };
        let digest = plan_digest(&plan);
        let mut registry = Registry::new();
        registry.apply(0, &Command::Plan { client: "c".into(), plan: Some(Box::new(plan)), digest });
        let mut model = Model { versions: vec![RuleMinutes::new()], changes: Vec::new() };
        let mut now = HOUR;
        // The requests that created a version, with their answers.
        let mut answered: Vec<(Command, Reply)> = Vec::new();
        for (step, action) in actions.into_iter().enumerate() {
            let last = model.versions.len() - 1;
            let request = [step as u8; 32];
            let (command, expected) = match action {
                Action::Wait { minutes } => {
                    now += minutes * MINUTE;
                    continue;
                }
                Action::Repeat { ago } => {
                    let Some((command, reply)) = answered.iter().rev().nth(ago).cloned() else { continue };
                    prop_assert_eq!(registry.apply(now, &command).reply, reply, "the same request creates no further version");
                    continue;
                }
                Action::Edit { ago, edits } => {
                    let base = last.saturating_sub(ago);
                    let mut mine = model.versions[base].clone();
                    for (name, minutes) in edits {
                        mine.remove(&name);
                        mine.extend((minutes > 0).then_some((name, minutes)));
                    }
                    let command = Command::Submit { request, client: "c".into(), base: base as u64, rules: rules(&mine) };
                    (command, model.merged(base, &mine))
                }
                Action::RollBack { ago } => {
                    let version = last.saturating_sub(ago).max(1);
                    let command = Command::RollBack { client: "c".into(), version: version as u64, request };
                    let Some(set) = model.versions.get(version) else {
                        prop_assert_eq!(registry.apply(now, &command).reply, Reply::Unknown);
                        continue;
                    };
                    (command, Ok(set.clone()))
                }
            };
            let reply = registry.apply(now, &command).reply;
            match expected {
                Err(conflicting) => match &reply {
                    Reply::Conflict { version, rules, .. } => {
                        prop_assert_eq!((*version, rules), (last as u64, &conflicting), "the conflicting rules are named");
                    }
                    other => prop_assert!(false, "{:?} although both changed {:?}", other, conflicting),
                },
                Ok(set) => match model.add(now, 9, set) {
                    Some(version) => prop_assert_eq!(&reply, &Reply::Approved { version }),
                    None => prop_assert_eq!(reply.state(), "refused", "no changes left in the hour"),
                },
            }
            if model.versions.len() - 1 > last {
                answered.push((command, reply));
            }
            let desired = registry.desired("c").expect("known").set;
            prop_assert_eq!(desired.version as usize, model.versions.len() - 1);
            prop_assert_eq!(&desired.rules, &rules(model.versions.last().unwrap()));
        }
    }
}

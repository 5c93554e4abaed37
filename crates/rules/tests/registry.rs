//! Scenarios of edits, decisions and changes of plans.

mod common;

use common::*;
use heronroute_rules::digest::plan_digest;
use heronroute_rules::registry::{SnapshotError, Viewer, rollback_request_id};
use heronroute_rules::{Command, Field, Outcome, Plan, Registry, Reply, Rule, digest, limits};

/// A registry with a clock and a request counter.
#[derive(Default)]
struct TestRegistry {
    registry: Registry,
    wall: i64,
    requests: u64,
}

impl TestRegistry {
    fn new(plan: &Plan) -> Self {
        let mut harness = TestRegistry::default();
        harness.plan(Some(plan));
        harness
    }

    fn apply(&mut self, command: &Command) -> Outcome {
        self.registry.apply(self.wall, command)
    }

    fn plan(&mut self, plan: Option<&Plan>) -> Outcome {
        let digest = plan.map(plan_digest).unwrap_or_default();
        self.apply(&Command::Plan { client: "c".into(), plan: plan.cloned().map(Box::new), digest })
    }

    fn submit(&mut self, base: u64, rules: &[Rule]) -> Outcome {
        self.requests += 1;
        self.apply(&submit(self.requests as u8, base, rules))
    }

    fn roll_back(&mut self, version: u64) -> Reply {
        let current = self.registry.desired("c").expect("known").set.version;
        let request = rollback_request_id("c", version, current);
        self.apply(&Command::RollBack { client: "c".into(), version, request }).reply
    }

    fn approve(&mut self, version: u64) -> Reply {
        self.apply(&Command::Approve { client: "c".into(), version, by: "ops".into() }).reply
    }

    fn refuse(&mut self, version: u64) -> Reply {
        let why = "no".into();
        self.apply(&Command::Refuse { client: "c".into(), version, by: "ops".into(), why }).reply
    }

    fn desired(&self) -> (u64, Vec<Rule>) {
        let set = self.registry.desired("c").expect("known").set;
        (set.version, set.rules.clone())
    }
}

fn submit(request: u8, base: u64, rules: &[Rule]) -> Command {
    Command::Submit { request: [request; 32], client: "c".into(), base, rules: rules.to_vec() }
}

fn approved(version: u64) -> Reply {
    Reply::Approved { version }
}

fn a(hold: i64) -> Rule {
    rule("a", "0000011", hold * MINUTE)
}

fn b(hold: i64) -> Rule {
    rule("b", "0000012", hold * MINUTE)
}

#[test]
fn concurrent_edits_are_merged_or_reported_as_conflict() {
    let mut harness = TestRegistry::new(&plan());
    assert_eq!(harness.submit(0, &[a(1), b(1)]).reply, approved(1));
    assert_eq!(harness.submit(1, &[a(2), b(1)]).reply, approved(2));
    assert_eq!(harness.submit(1, &[a(1), b(3)]).reply, approved(3), "the other rule was changed");
    assert_eq!(harness.desired(), (3, vec![a(2), b(3)]));
    let Reply::Conflict { version: 3, rules, .. } = harness.submit(1, &[a(9), b(1)]).reply else {
        panic!("conflict")
    };
    assert_eq!(rules, ["a"]);
    assert_eq!(
        harness.submit(2, &[a(2)]).reply,
        Reply::Conflict {
            version: 3,
            rules: vec!["b".into()],
            why: "changed since version 2; begin again from version 3".into(),
        }
    );
    // Each edit is valid by itself, but together they exceed the plan.
    assert_eq!(harness.submit(3, &[counting_rule("c", "0000013", 600)]).reply, approved(4));
    let Reply::Conflict { rules, .. } =
        harness.submit(3, &[a(2), b(3), counting_rule("d", "0000014", 600)]).reply
    else {
        panic!("conflict")
    };
    assert_eq!(rules, ["d"]);
    let Reply::Conflict { why, .. } = harness.submit(77, &[a(2)]).reply else { panic!("conflict") };
    assert_eq!(why, "version 77 is not kept");
}

#[test]
fn the_same_request_makes_one_version() {
    let mut harness = TestRegistry::new(&plan());
    let first = submit(1, 0, &[a(1)]);
    assert_eq!([harness.apply(&first).reply, harness.apply(&first).reply], [approved(1), approved(1)]);
    assert_eq!(harness.desired(), (1, vec![a(1)]));
    let other = submit(1, 0, &[a(5)]);
    assert_eq!(harness.apply(&other).reply.state(), "refused", "the name belongs to another request");
}

#[test]
fn a_repeated_request_gets_the_same_answer_after_later_versions() {
    let mut harness = TestRegistry::new(&Plan { changes_an_hour: 200, ..plan() });
    let first = submit(200, 0, &[a(1)]);
    assert_eq!(harness.apply(&first).reply, approved(1));
    for version in 1..40 {
        assert_eq!(harness.submit(version, &[a(version as i64 + 1)]).reply, approved(version + 1));
    }
    assert_eq!(harness.apply(&first).reply, approved(1), "although version 1 is no longer kept");
    assert_eq!(harness.desired().0, 40);
}

#[test]
fn plans_with_approval_need_an_operator() {
    let mut harness = TestRegistry::new(&Plan { approval: true, ..plan() });
    let first = submit(9, 0, &[a(1), b(1)]);
    assert_eq!(harness.apply(&first).reply, Reply::Waiting { version: 1 });
    assert_eq!(harness.desired(), (0, vec![]), "nothing is in effect before it is approved");
    assert_eq!(harness.submit(0, &[a(1), b(1)]).reply, Reply::Waiting { version: 1 }, "the same draft again");
    assert_eq!(
        [harness.approve(1), harness.approve(1), harness.refuse(1)],
        [approved(1), approved(1), approved(1)]
    );
    assert_eq!(harness.apply(&first).reply, approved(1));
    // Two versions waiting on one base: the second is merged under a new number, the third conflicts.
    for (version, rules) in [(2, [a(2), b(1)]), (3, [a(1), b(3)]), (4, [a(4), b(1)])] {
        assert_eq!(harness.submit(1, &rules).reply, Reply::Waiting { version });
    }
    assert_eq!(harness.registry.waiting(9), [("c", 2), ("c", 3), ("c", 4)]);
    assert_eq!(
        [harness.approve(2), harness.approve(3), harness.approve(3)],
        [approved(2), approved(5), approved(5)]
    );
    assert_eq!(harness.desired(), (5, vec![a(2), b(3)]));
    let Reply::Conflict { version: 5, rules, .. } = harness.approve(4) else { panic!("conflict") };
    assert_eq!((rules, harness.approve(4).state()), (vec!["a".to_string()], "refused"));
    assert_eq!(harness.submit(5, &[b(9)]).reply, Reply::Waiting { version: 6 });
    assert_eq!([harness.refuse(6).state(), harness.approve(6).state()], ["refused"; 2]);
    assert_eq!([harness.approve(66), harness.refuse(0)], [Reply::Unknown, Reply::Unknown]);
    // What the plan allowed at submission is checked again at approval.
    assert_eq!(harness.submit(5, &[b(50)]).reply, Reply::Waiting { version: 7 });
    let mut lower = Plan { approval: true, ..plan() };
    lower.most.hold_for = Some(40 * MINUTE);
    harness.plan(Some(&lower));
    assert_eq!((harness.approve(7).state(), harness.desired().0), ("refused", 5));
}

#[test]
fn the_base_of_a_waiting_version_is_kept() {
    let (mut with_approval, mut without_approval) = (Plan { changes_an_hour: 200, ..plan() }, plan());
    (with_approval.approval, without_approval.changes_an_hour) = (true, 200);
    let mut harness = TestRegistry::new(&without_approval);
    harness.submit(0, &[a(1), b(1)]);
    harness.plan(Some(&with_approval));
    assert_eq!(harness.submit(1, &[a(1), b(7)]).reply, Reply::Waiting { version: 2 });
    harness.plan(Some(&without_approval));
    let mut base = 1;
    for hold in 2..40 {
        let Reply::Approved { version } = harness.submit(base, &[a(hold), b(1)]).reply else {
            panic!("approved")
        };
        base = version;
    }
    assert_eq!(harness.approve(2), approved(base + 1));
    assert_eq!(harness.desired().1, [a(39), b(7)]);
}

#[test]
fn the_registry_clock_never_goes_back() {
    let mut harness = TestRegistry::new(&plan());
    harness.submit(0, &[a(50)]);
    let mut lower = plan();
    lower.most.hold_for = Some(MINUTE);
    harness.wall = 100 * MINUTE;
    harness.plan(Some(&plan()));
    harness.wall = 0;
    harness.plan(Some(&lower));
    assert_eq!(harness.registry.due(), Some(110 * MINUTE), "a clock that goes back cuts nothing early");
}

/// With `HERONROUTE_LONG=1`: full registries, and the cost of a large rule set.
#[test]
fn a_full_registry_refuses_and_large_sets_cost_little() {
    if std::env::var("HERONROUTE_LONG").is_err() {
        return;
    }
    let mut registry = Registry::new();
    let large = |salt: usize| -> Vec<Rule> {
        let one = |i: usize| rule(&format!("{i:0>120}"), &format!("{i:060}"), 1 + (salt * 200 + i) as i64);
        (0..150)
            .map(one)
            .map(|r| Rule { name: format!("{:0>32}", &r.name[100..]), key: format!("{salt:0>100}"), ..r })
            .collect()
    };
    let mut states = std::collections::BTreeMap::new();
    for client in (0..150).map(|i| format!("c{i}")) {
        registry.apply(
            0,
            &Command::Plan {
                client: client.clone(),
                plan: Some(Box::new(unlimited_plan())),
                digest: [0; 32],
            },
        );
        for version in 0..16 {
            let request = [version as u8; 32];
            let rules = large(version as usize);
            let reply = registry
                .apply(0, &Command::Submit { request, client: client.clone(), base: version, rules })
                .reply;
            *states.entry(reply.state()).or_insert(0) += 1;
            assert!(registry.bytes() <= limits::MAX_TOTAL_BYTES);
        }
    }
    println!("{states:?}, {} bytes, snapshot {}", registry.bytes(), registry.snapshot().len());
    assert!(states.contains_key("refused") && registry.bytes() > limits::MAX_TOTAL_BYTES / 2);
    assert_eq!(Registry::restore(&registry.snapshot()), Ok(registry));

    let rules: Vec<Rule> =
        (0..1_000).map(|i| rule(&format!("r{i}"), &format!("000001{i:03}"), i + 1)).collect();
    let start = std::time::Instant::now();
    assert!(heronroute_rules::check::check(&rules, &unlimited_plan()).is_empty());
    println!("check of 1,000 rules: {:?}", start.elapsed());
    let mut harness = TestRegistry::new(&unlimited_plan());
    let start = std::time::Instant::now();
    assert_eq!(harness.submit(0, &rules).reply, approved(1));
    println!("submission of 1,000 rules: {:?}", start.elapsed());
}

#[test]
fn a_rollback_is_a_new_version() {
    let mut harness = TestRegistry::new(&plan());
    harness.submit(0, &[a(1)]);
    harness.submit(1, &[a(2)]);
    assert_eq!([harness.roll_back(1), harness.roll_back(1)], [approved(3), approved(3)]);
    assert_eq!(harness.desired(), (3, vec![a(1)]));
    assert_eq!([harness.roll_back(9), harness.roll_back(0)], [Reply::Unknown, Reply::Unknown]);
}

#[test]
fn a_lowered_plan_cuts_after_its_grace_and_a_raised_plan_restores() {
    let whole = [a(50), b(30), counting_rule("c", "0000013", 800), counting_rule("d", "0000014", 200)];
    let mut harness = TestRegistry::new(&plan());
    harness.submit(0, &whole);
    let mut lower = Plan { rules: 3, ..plan() };
    (lower.most.hold_for, lower.most.hold_count) = (Some(40 * MINUTE), Some(500));
    harness.wall = 100;
    harness.plan(Some(&lower));
    assert_eq!(harness.desired().0, 1, "still within the grace period");
    let notices = |harness: &TestRegistry| {
        let notices = harness.registry.notices("c");
        notices.into_iter().map(|n| (n.rule, n.field, n.until)).collect::<Vec<_>>()
    };
    let until = Some(100 + 10 * MINUTE);
    let named = [("", "rules"), ("a", "hold_for"), ("c", "hold_count"), ("d", "hold_count")];
    assert_eq!(notices(&harness), named.map(|(rule, field)| (rule.into(), field.into(), until)));
    assert_eq!(harness.registry.due(), until);
    harness.wall = 99 + 10 * MINUTE;
    assert_eq!(harness.apply(&Command::Tick).changed, []);
    harness.wall += 1;
    let changed = harness.apply(&Command::Tick).changed;
    assert_eq!((changed.len(), changed[0].destroys, changed[0].set.version), (1, true, 2));
    assert_eq!(harness.desired(), (2, vec![a(40), b(30), counting_rule("c", "0000013", 500)]));
    assert_eq!(harness.registry.due(), None);
    // An edit of one rule does not affect the wanted form of the others.
    assert_eq!(harness.submit(2, &[a(40), b(20), counting_rule("c", "0000013", 500)]).reply, approved(3));
    let back = harness.plan(Some(&plan())).changed;
    assert_eq!((back.len(), back[0].destroys), (1, true), "rule d replaces a default that is not known here");
    let [a, _, c, d] = whole;
    assert_eq!(harness.desired(), (4, vec![a, b(20), c, d]));
    assert_eq!(harness.registry.notices("c"), []);
}

#[test]
fn new_violations_get_the_whole_grace() {
    let lower = |hold: i64, trails: u64| {
        let mut lower = plan();
        (lower.most.hold_for, lower.most.trails) = (Some(hold * MINUTE), Some(trails));
        lower
    };
    let mut harness = TestRegistry::new(&plan());
    harness.submit(0, &[a(50)]);
    harness.plan(Some(&lower(40, 10)));
    harness.wall = 5 * MINUTE;
    harness.plan(Some(&lower(40, 20)));
    assert_eq!(harness.registry.due(), Some(10 * MINUTE), "raising another limit does not extend the grace");
    harness.plan(Some(&lower(30, 20)));
    assert_eq!(harness.registry.due(), Some(15 * MINUTE));
    harness.plan(Some(&plan()));
    assert_eq!((harness.registry.due(), harness.desired().0), (None, 1), "allowed again before it was cut");
}

#[test]
fn an_unreadable_plan_keeps_approved_rules() {
    let mut harness = TestRegistry::new(&plan());
    harness.submit(0, &[a(50)]);
    let mut lower = plan();
    lower.most.hold_for = Some(MINUTE);
    harness.plan(Some(&lower));
    harness.plan(None);
    harness.wall = 60 * MINUTE;
    assert_eq!((harness.registry.due(), harness.apply(&Command::Tick).changed), (None, vec![]));
    assert_eq!(harness.desired(), (1, vec![a(50)]));
    assert_eq!(
        harness.submit(1, &[a(1)]).reply.state(),
        "refused",
        "nothing is approved without a readable plan"
    );
    let long = Plan { classes: vec!["x".repeat(33)], ..plan() };
    harness.plan(Some(&long));
    assert_eq!(harness.desired().1, [a(50)], "a plan out of bounds cuts nothing either");
    harness.plan(Some(&lower));
    assert_eq!(harness.desired(), (2, vec![a(1)]), "the grace period is over");
}

#[test]
fn change_rate_and_numbers_of_versions_are_bounded() {
    let mut harness = TestRegistry::new(&Plan { changes_an_hour: 2, ..plan() });
    harness.submit(0, &[a(1)]);
    harness.wall = MINUTE;
    harness.submit(1, &[a(2)]);
    let Reply::Refused { findings, .. } = harness.submit(2, &[a(3)]).reply else { panic!("rate") };
    assert_eq!((findings.list[0].field.as_str(), findings.list[0].plan.as_str()), ("changes_an_hour", "2"));
    assert_eq!(harness.submit(2, &[a(2)]).reply, approved(2), "a submission without a change does not count");
    harness.wall = 60 * MINUTE - 1;
    assert_eq!(harness.submit(2, &[a(3)]).reply.state(), "refused");
    harness.wall = 60 * MINUTE;
    assert_eq!(harness.submit(2, &[a(3)]).reply, approved(3), "an hour after the first change");

    let mut harness = TestRegistry::new(&Plan { changes_an_hour: 9_000, ..plan() });
    for version in 0..100 {
        harness.submit(version, &[a(version as i64 % 50 + 1)]);
    }
    let own = Viewer { client: "c", operator: false };
    assert_eq!(harness.registry.view(own, "c").expect("own").versions.len(), limits::MAX_VERSIONS);
    let mut harness = TestRegistry::new(&Plan { approval: true, changes_an_hour: 9_000, ..plan() });
    let states: Vec<&str> = (1..=9).map(|hold| harness.submit(0, &[a(hold)]).reply.state()).collect();
    assert_eq!(states.iter().filter(|s| **s == "waiting").count(), limits::MAX_WAITING_VERSIONS);
}

#[test]
fn clients_are_bounded_and_version_numbers_are_never_reused() {
    let mut registry = Registry::new();
    let plan_for =
        |i: usize| Command::Plan { client: format!("c{i}"), plan: Some(Box::new(plan())), digest: [1; 32] };
    (0..limits::MAX_CLIENTS).for_each(|i| assert_eq!(registry.apply(0, &plan_for(i)).reply, Reply::Done));
    assert_eq!(registry.apply(0, &plan_for(limits::MAX_CLIENTS)).reply.state(), "refused");
    let rules = vec![a(1)];
    registry
        .apply(0, &Command::Submit { request: [1; 32], client: "c7".into(), base: 0, rules: rules.clone() });
    let dropped = registry.apply(0, &Command::Drop { client: "c7".into() }).changed;
    assert_eq!((dropped[0].set.version, dropped[0].set.rules.len(), dropped[0].destroys), (2, 0, true));
    assert_eq!(
        registry.apply(0, &plan_for(limits::MAX_CLIENTS)).reply,
        Reply::Done,
        "replaces the dropped client"
    );
    assert_eq!((registry.len(), registry.desired("c7")), (limits::MAX_CLIENTS, None));
    registry.apply(0, &Command::Drop { client: "c8".into() });
    registry.apply(0, &plan_for(7));
    let again = Command::Submit { request: [1; 32], client: "c7".into(), base: 0, rules };
    assert_eq!(registry.apply(0, &again).reply, approved(3));
}

#[test]
fn a_returning_client_continues_its_version_numbers() {
    let mut harness = TestRegistry::new(&plan());
    harness.submit(0, &[a(1)]);
    harness.apply(&Command::Drop { client: "c".into() });
    assert_eq!(harness.submit(0, &[a(1)]).reply.state(), "refused");
    harness.plan(Some(&plan()));
    assert_eq!(harness.submit(2, &[a(1)]).reply, approved(3));
}

#[test]
fn other_clients_and_unknown_clients_look_alike() {
    let mut harness = TestRegistry::new(&plan());
    harness.submit(0, &[a(1)]);
    let (own, other) = (Viewer { client: "c", operator: false }, Viewer { client: "d", operator: false });
    let ops = Viewer { client: "ops", operator: true };
    assert_eq!(harness.registry.view(other, "c"), harness.registry.view(other, "nobody"));
    assert_eq!(harness.registry.view(own, "c"), harness.registry.view(ops, "c"));
    assert_eq!(harness.registry.view(other, "d").map(|v| v.set.version), Some(0), "its own view exists");
    let approve = |by: &str| Command::Approve { client: "c".into(), version: 1, by: by.into() };
    let is_permitted = |viewer, command: &Command| Registry::is_permitted(viewer, command);
    assert!(
        is_permitted(ops, &approve("ops"))
            && !is_permitted(ops, &approve("other"))
            && !is_permitted(own, &approve("c"))
    );
    assert!(
        is_permitted(own, &submit(1, 0, &[]))
            && !is_permitted(other, &submit(1, 0, &[]))
            && !is_permitted(ops, &submit(1, 0, &[]))
    );
    assert!(!is_permitted(ops, &Command::Tick));
}

#[test]
fn a_preview_changes_nothing_and_predicts_the_outcome() {
    let mut harness = TestRegistry::new(&plan());
    let before = harness.registry.clone();
    let predicted = harness.registry.preview(5, &submit(1, 0, &[a(1)]));
    assert_eq!(harness.registry, before);
    harness.wall = 5;
    assert_eq!(harness.submit(0, &[a(1)]), predicted);
}

#[test]
fn a_damaged_snapshot_is_rejected() {
    let mut harness = TestRegistry::new(&plan());
    harness.submit(0, &[a(1)]);
    let good = harness.registry.snapshot();
    assert_eq!(Registry::restore(&good).as_ref(), Ok(&harness.registry));
    assert_eq!(Registry::restore(&[]), Err(SnapshotError::UnknownFormat));
    for at in 0..good.len() {
        let mut bad = good.clone();
        bad[at] ^= 0x10;
        assert!(Registry::restore(&bad).is_err(), "byte {at}");
        assert!(Registry::restore(&good[..at]).is_err(), "cut off at {at}");
    }
    // With a valid checksum, but a state that no commands lead to.
    use sha2::Digest as _;
    let mut accepted = 0;
    for at in 40..good.len() {
        let mut body = good[40..].to_vec();
        body[at - 40] ^= 0x11;
        let sum = sha2::Sha256::digest(&body);
        if let Ok(other) = Registry::restore(&[&good[..8], &sum[..], &body].concat()) {
            assert_ne!(other, harness.registry);
            accepted += 1;
        }
    }
    assert!(accepted < good.len(), "some are rejected for their contents: {accepted} of {}", good.len());
}

#[test]
fn digests_depend_on_content_only() {
    let set = |version, rules: &[Rule]| heronroute_rules::RuleSet { version, rules: rules.to_vec() };
    let one = digest(&set(1, &[a(1), b(2)]), &plan());
    assert_eq!(one, digest(&set(9, &[b(2), a(1)]), &plan()));
    assert_ne!(one, digest(&set(1, &[a(1), b(3)]), &plan()));
    assert_ne!(one, digest(&set(1, &[a(1), b(2)]), &Plan { grace: 0, ..plan() }));
    for field in Field::ALL {
        let mut other = a(1);
        field.set(&mut other.limits, Some(77));
        assert_ne!(one, digest(&set(1, &[other, b(2)]), &plan()), "{}", field.name());
    }
    let moved = Rule { class: "RES".into(), to: format!("P{}", a(1).to), ..a(1) };
    assert_ne!(one, digest(&set(1, &[moved, b(2)]), &plan()), "lengths are part of the digest");
}

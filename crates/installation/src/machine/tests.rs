use super::*;
use crate::waves::PassOver;
use heronroute_fleet::{Entry, Life, Name, Request, Start};
use heronroute_rules::Plan;
use heronroute_rules::RuleSet;
use heronroute_rules::digest::plan_digest;
use std::sync::Arc;

fn entry(index: u64, body: Body) -> Decided {
    let from = Life { name: Name::new("a").unwrap(), start: Start(1) };
    let request = Request { from, number: index };
    Decided { index, entry: Entry { request, wall: 5, body: body.pack() } }
}

fn settings(term: u64, rules: usize) -> Body {
    let plan = Plan { name: "small".into(), rules, ..Plan::default() };
    let digest = plan_digest(&plan);
    let command = Command::Plan { client: "c".into(), plan: Some(Box::new(plan)), digest };
    Body::Settings { term: Term(term), command }
}

#[test]
fn proposals_of_an_older_term_are_void_also_after_a_restore() {
    let mut machine = Machine::default();
    let rules = |m: &Machine| m.registry().desired("c").unwrap().plan.rules;
    machine.apply(&entry(1, Body::BeginTerm { term: Term(4) }));
    machine.apply(&entry(2, settings(4, 3)));
    machine.apply(&entry(3, Body::BeginTerm { term: Term(6) }));
    assert_eq!(machine.apply(&entry(4, settings(4, 9))), Effect::Nothing);
    assert_eq!(machine.apply(&entry(5, Body::BeginTerm { term: Term(5) })), Effect::Nothing);
    let mut again = Machine::default();
    assert!(again.restore(5, &machine.snapshot()));
    assert_eq!(again.apply(&entry(6, settings(5, 9))), Effect::Nothing);
    assert_eq!((rules(&again), again.index()), (3, 6));
    assert_eq!(
        again.apply(&entry(7, Body::Findings { term: Term(6), saved: vec![1] })),
        Effect::FindingsSaved
    );
    let snapshot = again.snapshot();
    assert!(
        !machine.restore(9, &snapshot[..snapshot.len() / 2]) && machine.index() == 5,
        "half a snapshot is not valid"
    );
}

#[test]
fn fences_change_only_in_the_newest_term_and_survive_a_snapshot() {
    let mut machine = Machine::default();
    let b = Name::new("b").unwrap();
    let fence = |term: u64, is_set| Body::Fence {
        term: Term(term),
        member: Name::new("b").unwrap(),
        client: "c".into(),
        is_set,
    };
    machine.apply(&entry(1, Body::BeginTerm { term: Term(4) }));
    let old = machine.snapshot();
    let set = Effect::Fenced { member: b.clone(), client: "c".into(), is_set: true };
    assert_eq!(machine.apply(&entry(2, fence(4, true))), set);
    assert_eq!(machine.apply(&entry(3, fence(4, true))), Effect::Nothing, "already set");
    machine.apply(&entry(4, Body::BeginTerm { term: Term(6) }));
    assert_eq!(machine.apply(&entry(5, fence(5, false))), Effect::Nothing, "of an older term");
    let mut again = Machine::default();
    assert!(again.restore(5, &machine.snapshot()) && again.fences().is_fenced(&b, "c"));
    let lifted = Effect::Fenced { member: b.clone(), client: "c".into(), is_set: false };
    assert_eq!(again.apply(&entry(6, fence(6, false))), lifted);
    assert!(again.fences().is_empty() && !machine.fences().is_empty());
    // Snapshots from before there were regions, trials or fences: the last fields are missing.
    let regions = postcard::to_stdvec(machine.agreed()).unwrap().len();
    for less in [regions, regions + 1, regions + 2] {
        let before = &old[..old.len() - less];
        assert!(again.restore(7, before) && again.fences().is_empty() && again.index() == 7, "{less}");
    }
    for n in 0..2 * crate::limits::MAX_FENCES {
        again.fences.set(&b, &format!("c{n}"), true);
    }
    assert_eq!(again.fences().len(), crate::limits::MAX_FENCES);
}

/// A rollout with its trial survives a snapshot, and a snapshot from before there were trials is read as one
/// without.
#[test]
fn reports_and_passed_over_members_survive_a_snapshot() {
    let name = |n: &str| Name::new(n).unwrap();
    let mut machine = Machine::default();
    machine.apply(&entry(1, Body::BeginTerm { term: Term(4) }));
    machine.apply(&entry(2, Body::SetWaves { term: Term(4), waves: true }));
    machine.apply(&entry(3, settings(4, 3)));
    let desired = machine.registry().desired("c").unwrap();
    let set = Arc::new(RuleSet { version: desired.set.version + 1, ..(*desired.set).clone() });
    let version = set.version;
    machine.waves.desired_changed(&desired.set, &Desired { set: Arc::clone(&set), ..desired });
    let wave =
        |wave| Wave { client: "c".into(), version, first: name("a"), wave, without: Default::default() };
    assert!(machine.waves.start_wave(&wave(0), Baseline::default(), &set));
    let pass = |wave, member: &str, next: Option<&str>| PassOver {
        client: "c".into(),
        version,
        wave,
        members: [name(member)].into(),
        next: next.map(name),
    };
    let before = machine.snapshot();
    assert!(!machine.waves.pass_over(&pass(1, "a", Some("b")), &set), "that wave has not started");
    assert!(!machine.waves.pass_over(&pass(0, "a", None), &set), "no replacement is named");
    assert!(machine.waves.pass_over(&pass(0, "a", Some("b")), &set));
    assert!(!machine.waves.pass_over(&pass(0, "a", Some("c")), &set), "passed over already");
    assert!(machine.waves.record_reports("c", version, [name("b")].into()));
    assert!(!machine.waves.record_reports("c", version, [name("b")].into()), "recorded already");
    assert!(!machine.waves.pass_over(&pass(0, "b", Some("c")), &set), "it reported");
    let mut again = Machine::default();
    assert!(again.restore(4, &machine.snapshot()));
    let (one, other) = (machine.waves.of("c").unwrap(), again.waves.of("c").unwrap());
    assert!(one == other && one.trial.passes == (1, 1) && one.first == Some(name("b")), "{other:?}");
    let zones = Zones::from([(name("a"), "x".into()), (name("b"), "x".into()), (name("z"), "y".into())]);
    let waves_of = ["a", "b", "z"].map(|n| other.wave_of(&name(n), &zones));
    assert_eq!(
        waves_of,
        [Some(0), Some(0), Some(2)],
        "members that may apply the version stay in the first wave"
    );
    // The last fields are missing: an empty map is one byte there, this one has one client.
    let trials = postcard::to_stdvec(&again.waves.trials()).unwrap().len();
    let trials = trials + postcard::to_stdvec(again.agreed()).unwrap().len();
    let snapshot = again.snapshot();
    assert!(again.restore(5, &snapshot[..snapshot.len() - trials]));
    assert_eq!(again.waves.of("c").unwrap().trial, Default::default());
    assert!(again.restore(6, &before) && again.waves.of("c").unwrap().trial.passes == (0, 0));
}

//! How far a version goes by the log's entries alone.

use heronroute_fleet::{Decided, Entry, Life, Name, Request, Start, Term};
use heronroute_installation::machine::{Body, Effect, Machine};
use heronroute_installation::waves::{Halt, MAX_ROLLOUTS, Wave, Zones};
use heronroute_rules::digest::plan_digest;
use heronroute_rules::registry::Command;
use heronroute_rules::{Plan, Rule, RuleLimits};
use std::collections::BTreeSet;

const S: i64 = 1_000_000;

fn name(at: usize) -> Name {
    Name::new(&format!("m{at}")).unwrap()
}

/// m0, m3 are one zone; m1, m4 and m2, m5 others.
fn zones() -> Zones {
    (0..6).map(|at| (name(at), format!("z{}", at % 3))).collect()
}

/// The log, and a machine that has read it.
struct Log {
    machine: Machine,
    index: u64,
    wall: i64,
}

impl Log {
    fn new() -> Self {
        let mut log = Log { machine: Machine::default(), index: 0, wall: 1_000 * S };
        log.add(Body::BeginTerm { term: Term(3) });
        log.add(Body::SetWaves { term: Term(3), waves: true });
        log.plan("c", 100);
        log
    }

    fn add(&mut self, body: Body) -> Effect {
        self.index += 1;
        self.wall += 1_000;
        let from = Life { name: name(0), start: Start(1) };
        let request = Request { from, number: self.index };
        let entry = Entry { request, wall: self.wall, body: body.pack() };
        self.machine.apply(&Decided { index: self.index, entry })
    }

    fn plan(&mut self, client: &str, hold: u64) {
        let most = RuleLimits { hold_count: Some(hold), ..RuleLimits::default() };
        let plan =
            Plan { name: "p".into(), rules: 4, most, changes_an_hour: 9, grace: 5 * S, ..Plan::default() };
        let digest = plan_digest(&plan);
        let command = Command::Plan { client: client.into(), plan: Some(Box::new(plan)), digest };
        self.add(Body::Settings { term: Term(3), command });
    }

    fn submit(&mut self, client: &str, base: u64, hold: u64) {
        let limits = RuleLimits { hold_count: Some(hold), ..RuleLimits::default() };
        let rules = vec![Rule { name: "r".into(), to: "1".into(), limits, ..Rule::default() }];
        let request = [u8::try_from(hold % 251).unwrap(); 32];
        self.add(Body::Rules(Command::Submit { request, client: client.into(), base, rules }));
    }

    fn wave(&mut self, version: u64, first: usize, wave: usize) -> Effect {
        let wave = Wave { client: "c".into(), version, first: name(first), wave, without: BTreeSet::new() };
        self.add(Body::StartWaveWithoutBaseline { term: Term(3), wave })
    }

    fn halt(&mut self, term: u64, version: u64, back: bool) -> Effect {
        let halt = Halt { client: "c".into(), version, why: "it is late".into(), back };
        self.add(Body::Halt { term: Term(term), halt })
    }

    fn target(&self, client: &str) -> Vec<u64> {
        let of = |at| self.machine.target(client, &name(at), &zones()).unwrap().set.version;
        (0..6).map(of).collect()
    }
}

#[test]
fn a_version_is_meant_for_the_waves_that_left_and_each_leaves_once() {
    let mut log = Log::new();
    log.submit("c", 0, 50);
    assert_eq!(log.target("c"), [0; 6], "none has left");
    assert!(matches!(log.wave(1, 4, 0), Effect::RolloutsChanged { .. }));
    assert_eq!(log.target("c"), [0, 0, 0, 0, 1, 0], "the first is the one that the entry names");
    assert_eq!(log.wave(1, 0, 0), Effect::Nothing, "it left before");
    assert_eq!(log.wave(2, 0, 1), Effect::Nothing, "no such version");
    log.wave(1, 0, 1);
    assert_eq!(log.target("c"), [0, 1, 0, 0, 1, 0], "its zone, whatever is named now");
    log.wave(1, 0, 2);
    assert_eq!(log.target("c"), [1; 6]);
    assert!(log.machine.waves().of("c").is_some(), "watched until all are in line");
    log.add(Body::FinishRollout { term: Term(3), client: "c".into(), version: 1 });
    assert!(log.machine.waves().of("c").is_none());
    // One of an older term does nothing.
    log.submit("c", 1, 60);
    let wave = Wave { client: "c".into(), version: 2, first: name(0), wave: 2, without: BTreeSet::new() };
    assert_eq!(log.add(Body::StartWaveWithoutBaseline { term: Term(2), wave }), Effect::Nothing);
    assert_eq!(log.target("c"), [1; 6]);
}

#[test]
fn a_stop_goes_back_once_and_to_what_all_had() {
    let mut log = Log::new();
    log.submit("c", 0, 50);
    log.wave(1, 0, 2);
    log.add(Body::FinishRollout { term: Term(3), client: "c".into(), version: 1 });
    log.submit("c", 1, 60);
    log.wave(2, 0, 0);
    // Two versions on their way: neither was in line everywhere.
    log.submit("c", 2, 70);
    log.wave(3, 5, 0);
    assert_eq!(log.target("c"), [3, 1, 1, 1, 1, 1], "the same first one again");
    assert!(matches!(log.halt(3, 3, true), Effect::RolloutsChanged { changed, .. } if changed.len() == 1));
    let back = log.machine.registry().desired("c").unwrap().set;
    assert_eq!((back.version, back.rules[0].limits.hold_count), (4, Some(50)));
    assert_eq!(log.target("c"), [4; 6], "for all");
    // Asked for again, by this one or the next in charge, it is done.
    assert_eq!(log.halt(3, 3, true), Effect::Nothing);
    assert_eq!(log.halt(4, 3, true), Effect::Nothing);
    assert_eq!(log.halt(3, 4, true), Effect::Nothing, "there is no rollout of it");
    assert_eq!(log.machine.registry().desired("c").unwrap().set.version, 4);
    assert_eq!(log.machine.waves().stop("c").unwrap().back, 4);
}

#[test]
fn one_that_stays_stopped_has_no_further_wave() {
    let mut log = Log::new();
    log.submit("c", 0, 50);
    log.wave(1, 0, 0);
    log.halt(3, 1, false);
    log.add(Body::BeginTerm { term: Term(9) });
    let wave = Wave { client: "c".into(), version: 1, first: name(0), wave: 2, without: BTreeSet::new() };
    assert_eq!(log.add(Body::StartWaveWithoutBaseline { term: Term(9), wave }), Effect::Nothing);
    assert_eq!(log.halt(9, 1, true), Effect::Nothing, "it was stopped once");
    assert_eq!(log.target("c"), [1, 0, 0, 0, 0, 0]);
    let done = Body::FinishRollout { term: Term(9), client: "c".into(), version: 1 };
    assert_eq!(log.add(done), Effect::Nothing);
}

#[test]
fn going_back_is_not_refused_for_the_rate_of_changes() {
    let mut log = Log::new();
    for round in 0..9 {
        log.submit("c", round, 50 + round);
    }
    assert_eq!(log.machine.registry().desired("c").unwrap().set.version, 9, "as many as an hour may have");
    log.wave(9, 0, 0);
    log.halt(3, 9, true);
    let set = log.machine.registry().desired("c").unwrap().set;
    assert_eq!((set.version, set.rules.len()), (10, 0), "nothing was in line everywhere before");
}

#[test]
fn what_a_plan_does_is_for_all() {
    // Cut after its grace.
    let mut log = Log::new();
    log.submit("c", 0, 80);
    log.wave(1, 0, 0);
    log.plan("c", 60);
    assert_eq!(log.target("c"), [1, 0, 0, 0, 0, 0], "in its grace nothing changes");
    log.wall += 10 * S;
    log.add(Body::Rules(Command::Tick));
    assert_eq!(log.target("c"), [2; 6]);
    // What is on its way fits the lower plan, what others are held at does not, and nothing would ever cut it.
    let mut log = Log::new();
    log.submit("c", 0, 80);
    log.wave(1, 0, 2);
    log.add(Body::FinishRollout { term: Term(3), client: "c".into(), version: 1 });
    log.submit("c", 1, 40);
    log.wave(2, 0, 0);
    log.plan("c", 90);
    assert_eq!(log.target("c"), [2, 1, 1, 1, 1, 1]);
    log.plan("c", 60);
    assert_eq!(log.target("c"), [2; 6]);
    // And a client that the settings have no more.
    log.submit("c", 2, 30);
    log.wave(3, 0, 0);
    log.add(Body::Settings { term: Term(3), command: Command::Drop { client: "c".into() } });
    assert_eq!(log.target("c"), [4; 6]);
}

#[test]
fn many_at_once_are_bounded_and_a_state_is_read_again_as_it_was() {
    let mut log = Log::new();
    for client in 0..MAX_ROLLOUTS + 2 {
        log.plan(&format!("d{client:02}"), 100);
        log.submit(&format!("d{client:02}"), 0, 50);
    }
    assert_eq!(log.machine.waves().all().count(), MAX_ROLLOUTS);
    assert_eq!(log.target(&format!("d{:02}", MAX_ROLLOUTS + 1)), [1; 6], "one more is for all at once");
    log.submit("c", 0, 50);
    let mut again = Machine::default();
    assert!(again.restore(log.index, &log.machine.snapshot()));
    assert_eq!(again.waves(), log.machine.waves());
    let octets = log.machine.snapshot();
    assert!(!again.restore(1, &octets[..octets.len() - 9]), "half of one is none");
    // Off, all have what is desired.
    log.add(Body::SetWaves { term: Term(3), waves: false });
    assert_eq!((log.target("d00"), log.machine.waves().all().count()), (vec![1; 6], 0));
    log.submit("d00", 1, 60);
    assert_eq!(log.target("d00"), [2; 6]);
}

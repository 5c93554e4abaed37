//! Random sequences of events from fixed seeds. Every action is checked against the delivery rules.

mod common;
use common::*;
use heronroute::*;
use std::collections::{BTreeMap, BTreeSet};

struct TestRng(u64);

impl TestRng {
    fn next(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % n
    }
}

/// What the test knows of a message.
#[derive(Default)]
struct ExpectedState {
    class: usize,
    dest: i64,
    key: Option<String>,
    accepted_as: u64,
    deadline: Micros,
    closed: bool,
    answers: u32,
    attempts: u32,
    in_flight: BTreeMap<u32, (u32, Micros)>,
    may_run: Option<Micros>,
    /// The zone of the endpoint of the first attempt that may have been executed.
    zone: Option<usize>,
}

/// The conditions of a run, apart from its seed.
#[derive(Clone, Copy, Default)]
struct Scenario {
    /// Whether duplicates of guarded messages are dropped only within a zone, and probes are forbidden.
    zones: bool,
    /// Whether the sender has to subscribe to a directory that fails at times, and itself stalls at times.
    stalls: bool,
}

fn run(seed: u64, scenario: Scenario) -> Vec<Action> {
    let mut settings = settings();
    if scenario.zones {
        settings.classes[GUARDED].group = DedupScope::Zone;
        settings.probes = false;
    }
    if scenario.stalls {
        settings.discovery = Discovery::Subscribe;
    }
    let zone_of = |e: u32| if scenario.zones { (e / 4) as usize } else { 0 };
    let mut stalled_until = 0;
    let (slots, most, quantum) = (settings.slots as usize, settings.max_attempts, settings.quantum);
    let classes = settings.classes.clone();
    let mut dispatcher = Dispatcher::new(0, seed, settings).expect("the settings are valid");
    let mut rng = TestRng(seed);
    let mut now = 0;
    let mut expected: BTreeMap<u64, ExpectedState> = BTreeMap::new();
    let mut unlisted: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut waits: BTreeMap<(i64, u32), Micros> = BTreeMap::new();
    let mut pauses: BTreeMap<String, Micros> = BTreeMap::new();
    let mut probing: Vec<u32> = Vec::new();
    let mut all = Vec::new();
    let dest_of = |e: u32| i64::from(e % 4);
    // Destination 3 has separate routes; destination 1 allows batches.
    let kind_of = |dest: i64| [0usize, 1, 0, 2][dest as usize];
    let wait_key = |e: u32| (dest_of(e), if kind_of(dest_of(e)) == 2 { e } else { 0 });
    let list: Vec<EndpointEntry> = (0..8)
        .map(|e| EndpointEntry { zone: zone_of(e), ..entry(e, dest_of(e), kind_of(dest_of(e))) })
        .collect();
    let mut events = vec![Event::DirectoryUpdate { whole: true, entries: list }];
    let mut id = 0;
    for step in 0..1500 {
        for _ in 0..rng.next(3) {
            id += 1;
            let (class, dest) = (rng.next(4) as usize, rng.next(4) as i64);
            let key = (class == ORDERED).then(|| format!("k{}", rng.next(3)));
            let time_left = (1 + rng.next(20) as Micros) * S;
            let t = ExpectedState {
                class,
                dest,
                key: key.clone(),
                accepted_as: id,
                deadline: now + time_left,
                ..ExpectedState::default()
            };
            expected.insert(id, t);
            let (id, dest) = (MsgId(id), DestId(dest));
            events.push(Event::Message { id, class, tenant: 0, key, dest, time_left, again: false });
        }
        let attempts: Vec<(u64, u32)> = expected
            .iter()
            .flat_map(|(id, t)| t.in_flight.keys().map(|a| (*id, *a)).collect::<Vec<_>>())
            .collect();
        for (id, attempt) in attempts {
            if rng.next(8) != 0 {
                continue;
            }
            use Outcome::*;
            let kinds = [Done, Done, Done, Done, Error, Busy, TimedOut, ConnectFailed, Reset, Skipped];
            let outcome = kinds[rng.next(10) as usize];
            let t = expected.get_mut(&id).expect("known");
            let (endpoint, sent) = t.in_flight.remove(&attempt).expect("in flight");
            let wait = if outcome == Busy && rng.next(2) == 0 { 300 * MS } else { 0 };
            if wait > 0 {
                let until = waits.entry(wait_key(endpoint)).or_insert(0);
                *until = (*until).max(now + wait);
            }
            if !outcome.never_ran() && outcome != Done {
                t.may_run = Some(t.may_run.map_or(sent, |m| m.min(sent)));
                t.zone = t.zone.or(Some(zone_of(endpoint)));
                if let (Some(k), true) = (&t.key, outcome != Error) {
                    pauses.insert(k.clone(), now + S);
                }
            }
            let message_closed = t.closed || outcome == Done;
            t.closed |= message_closed;
            let (id, endpoint, elapsed) = (MsgId(id), EndpointId(endpoint), now - sent);
            events.push(Event::Outcome {
                id,
                attempt,
                endpoint,
                outcome,
                message_closed,
                elapsed,
                wait,
                report: None,
            });
        }
        if rng.next(40) == 0 {
            let e = rng.next(8) as u32;
            let mut line = EndpointEntry { zone: zone_of(e), ..entry(e, dest_of(e), kind_of(dest_of(e))) };
            if unlisted.remove(&e).is_none() {
                unlisted.insert(e, now);
                line.status = if rng.next(2) == 0 { Status::Draining } else { Status::Removed };
            }
            events.push(Event::DirectoryUpdate { whole: false, entries: vec![line] });
        }
        for e in std::mem::take(&mut probing) {
            let outcome = if rng.next(2) == 0 { Outcome::Done } else { Outcome::TimedOut };
            events.push(Event::Probed { endpoint: EndpointId(e), outcome, report: None });
        }
        // Events that make no sense must do no harm.
        if rng.next(20) == 0 {
            let (id, endpoint, outcome) = (MsgId(1 << 40), EndpointId(99), Outcome::Busy);
            let (attempt, message_closed, elapsed, wait) = (7, false, -5, Micros::MAX);
            events.push(Event::Outcome {
                id,
                attempt,
                endpoint,
                outcome,
                message_closed,
                elapsed,
                wait,
                report: None,
            });
            events.push(Event::Withdrawn { id });
            events.push(Event::Timer { token: u64::MAX });
            events.push(Event::PeerMessage { from: 9, text: "?".into() });
            let report = Some(LimitReport { remaining: Some(f64::NAN), limit: Some(f64::NAN) });
            events.push(Event::Probed { endpoint, outcome, report });
        }
        let mut actions = Vec::new();
        dispatcher.round(now, &events, &mut actions);
        events.clear();
        let mut calls = BTreeSet::new();
        for a in &actions {
            match a {
                Action::Send { id, endpoint, timeout } => {
                    let is_next = {
                        let t = &expected[&id.0];
                        let before = |o: &&ExpectedState| {
                            o.key == t.key
                                && o.accepted_as < t.accepted_as
                                && (!o.closed || !o.in_flight.is_empty())
                        };
                        t.key.is_none() || expected.values().find(before).is_none()
                    };
                    let t = expected.get_mut(&id.0).expect("only submitted messages are sent");
                    assert!(is_next, "seed {seed} step {step}: an earlier message of the key is open");
                    if let (Some(k), 0) = (&t.key, t.attempts) {
                        assert!(pauses.get(k).is_none_or(|r| now >= *r), "seed {seed}: the key is paused");
                    }
                    assert!(!t.closed && t.in_flight.is_empty(), "seed {seed}: closed, or a second copy");
                    assert_eq!(dest_of(endpoint.0), t.dest);
                    assert!(!unlisted.contains_key(&endpoint.0), "seed {seed}: sent to an unlisted endpoint");
                    assert!(waits.get(&wait_key(endpoint.0)).is_none_or(|w| now >= *w), "seed {seed}: wait");
                    match (classes[t.class].effect, t.may_run) {
                        (Effect::SingleShot, m) => assert!(m.is_none(), "seed {seed}: unsafe repeat"),
                        (Effect::Guarded, Some(m)) => {
                            assert!(now <= m + classes[t.class].window);
                            assert!(
                                !scenario.zones || t.zone == Some(zone_of(endpoint.0)),
                                "seed {seed}: its zone"
                            );
                        }
                        _ => {}
                    }
                    assert!(t.attempts < most && *timeout > 0);
                    t.in_flight.insert(t.attempts, (endpoint.0, now));
                    t.attempts += 1;
                }
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    let t = expected.get_mut(&id.0).expect("known");
                    assert!(!t.closed, "seed {seed}: a second answer");
                    t.closed = true;
                    t.answers += 1;
                    let refused = matches!(a, Action::Refuse { .. });
                    if refused && classes[t.class].effect == Effect::SingleShot {
                        assert!(t.may_run.is_none() && t.in_flight.is_empty(), "seed {seed}: unsafe refusal");
                    }
                }
                Action::Subscribe => assert!(scenario.stalls, "no subscription where changes are pushed"),
                Action::Probe { endpoint } => {
                    assert!(!scenario.zones, "probes are forbidden");
                    assert!(waits.get(&wait_key(endpoint.0)).is_none_or(|w| now >= *w));
                    assert!(!unlisted.contains_key(&endpoint.0));
                    probing.push(endpoint.0);
                }
                Action::Cancel { id, attempt } => assert!(expected[&id.0].attempts > *attempt),
                _ => {}
            }
        }
        for t in expected.values() {
            calls.extend(t.in_flight.values().map(|(e, sent)| (*e, *sent)));
            let late = now >= t.deadline.max(stalled_until);
            assert!(t.closed || !late, "seed {seed} step {step}: unanswered at its deadline");
        }
        assert!(calls.len() <= slots, "seed {seed}: {} calls", calls.len());
        all.extend(actions);
        now += quantum * (1 + rng.next(2) as Micros);
        if scenario.stalls && rng.next(60) == 0 {
            now += (1 + rng.next(20) as Micros) * 100 * MS;
            stalled_until = now;
            events.push(Event::DirectoryFailed);
        }
    }
    all
}

#[test]
fn the_rules_hold_for_random_events() {
    for seed in 1..=8 {
        run(seed, Scenario::default());
    }
}

#[test]
fn the_rules_hold_with_duplicates_dropped_per_zone_and_without_probes() {
    for seed in 1..=6 {
        run(seed, Scenario { zones: true, ..Scenario::default() });
    }
}

#[test]
fn the_rules_hold_through_stalls_and_directory_failures() {
    for seed in 1..=6 {
        run(seed, Scenario { stalls: true, ..Scenario::default() });
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let scenario = Scenario { zones: true, stalls: true };
    assert_eq!(run(99, scenario), run(99, scenario));
}

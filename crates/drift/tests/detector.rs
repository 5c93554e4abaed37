//! Tests of single rules of the detector: terms, lives, sequence numbers, freshness, plans, snapshots and
//! challenges.

mod sim;

use heronroute_drift::report::Echo;
use heronroute_drift::*;
use heronroute_fleet::{Life, Name, Standing, Start, Term};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sim::{Event, Fault, S, World, name};

struct Rig {
    detector: Detector,
    reporter: Reporter,
    life: Life,
}

const DIGEST: Digest = [4; 32];

impl Rig {
    fn new() -> Self {
        let life = Life { name: name(1), start: Start(5) };
        let mut config = Config::new(Name::new("a").unwrap(), [3; 32]);
        // Challenges are disabled, since nothing answers them here.
        config.challenge_every = Micros::MAX / 4;
        let mut detector = Detector::new(config);
        detector.members(0, &life, "north", Standing::Alive);
        let mut rig = Rig { detector, reporter: Reporter::new(life.clone()), life };
        rig.approve(0, "c", 1, DIGEST, None);
        rig.reporter.live("c", 1, DIGEST, None);
        rig.detector.term(0, Term(2), true);
        rig
    }

    fn approve(&mut self, at: Micros, client: &str, version: u64, digest: Digest, uncut: Option<Digest>) {
        let desired = Desired { client: client.into(), version, digest, at, uncut };
        self.detector.desired(at, &desired);
    }

    fn outputs(&mut self) -> Vec<Output> {
        std::iter::from_fn(|| self.detector.poll()).collect()
    }

    /// Sends a report, handles its acknowledgement and sends another report, every 2 s until a time.
    fn report_until(&mut self, from: Micros, until: Micros) -> Vec<Output> {
        let mut all = Vec::new();
        let mut now = from;
        while now <= until {
            for _ in 0..2 {
                let report = self.reporter.report(Health::default());
                self.detector.term(now, Term(2), true);
                self.detector.report(now, &report);
                self.detector.tick(now);
                let outputs = self.outputs();
                for output in &outputs {
                    if let Output::Ack(ack) = output {
                        self.reporter.handle_ack(ack);
                    }
                }
                all.extend(outputs);
            }
            now += 2 * S;
        }
        all
    }

    fn verdict(&self, now: Micros) -> Verdict {
        self.detector.verdict(now, &self.life.name).unwrap()
    }
}

#[test]
fn only_reports_with_a_fresh_echo_count() {
    let mut rig = Rig::new();
    let first = rig.reporter.report(Health::default());
    rig.detector.report(S, &first);
    assert_eq!(rig.verdict(S), Verdict::NotReporting, "the time of writing is unknown");
    rig.report_until(S, S);
    assert_eq!(rig.verdict(S), Verdict::InLine);
    // A report written at 2 s that is queued until 13 s proves nothing about 13 s.
    let late = rig.reporter.report(Health::default());
    rig.detector.term(9 * S, Term(2), true);
    assert_eq!(rig.verdict(11 * S), Verdict::InLine);
    assert_eq!(rig.verdict(11 * S + 1), Verdict::NotReporting, "also without a tick");
    rig.detector.report(13 * S, &late);
    assert_eq!(rig.verdict(13 * S), Verdict::NotReporting);
    // Nor does a report with an echo that the leader never sent.
    let mut ahead = rig.reporter.report(Health::default());
    ahead.echo = Some(Echo { term: Term(2), at: 900 * S });
    rig.detector.report(14 * S, &ahead);
    assert_eq!(rig.verdict(14 * S), Verdict::NotReporting);
}

#[test]
fn reports_with_an_older_life_or_number_or_from_unknown_members_are_dropped() {
    let mut rig = Rig::new();
    rig.report_until(0, 4 * S);
    let mut other = Reporter::new(Life { name: name(1), start: Start(4) });
    other.live("c", 7, DIGEST, None);
    rig.detector.report(4 * S, &other.report(Health::default()));
    let mut again = rig.reporter.report(Health::default());
    again.number = 1;
    again.root = [1; 32];
    rig.detector.report(4 * S, &again);
    rig.detector
        .report(4 * S, &Reporter::new(Life { name: name(9), start: Start(1) }).report(Health::default()));
    rig.detector.members(4 * S, &Life { name: name(1), start: Start(4) }, "north", Standing::Dead);
    let dropped = rig.detector.dropped();
    assert_eq!((dropped.older_life, dropped.older_number, dropped.unknown_member), (2, 1, 1));
    assert_eq!(rig.verdict(4 * S), Verdict::InLine);
    // No reports have been received from a later life yet.
    rig.detector.members(4 * S, &Life { name: name(1), start: Start(6) }, "north", Standing::Alive);
    assert_eq!(rig.verdict(4 * S), Verdict::NotReporting);
}

#[test]
fn a_report_of_a_greater_term_ends_leadership() {
    let mut rig = Rig::new();
    rig.report_until(0, 4 * S);
    rig.outputs();
    let mut report = rig.reporter.report(Health::default());
    report.term = Term(3);
    rig.detector.report(4 * S, &report);
    assert_eq!(rig.outputs(), [Output::Superseded(Term(3))]);
    assert!(!rig.detector.is_leading(4 * S));
    // A confirmation of its own older term does not restore its leadership.
    rig.detector.term(5 * S, Term(2), true);
    rig.detector.tick(60 * S);
    assert_eq!((rig.outputs().len(), rig.verdict(5 * S)), (0, Verdict::NotReporting));
    rig.detector.term(5 * S, Term(4), true);
    assert!(rig.detector.is_leading(5 * S));
    assert!(accepts(Term(3), Term(3)) && accepts(Term(4), Term(3)));
    assert!(!accepts(Term(2), Term(3)) && !accepts(Term(0), Term(0)));
}

#[test]
fn without_a_majority_no_member_is_reported_in_line() {
    let mut rig = Rig::new();
    rig.report_until(0, 4 * S);
    let view = rig.detector.view(4 * S);
    assert!(
        view.json()
            .starts_with(r#"{"term":2,"known":true,"members":[{"name":"m1","verdict":"in line","version":1"#)
    );
    // The lease has expired, as after a pause or when cut off.
    let view = rig.detector.view(15 * S);
    assert!(!view.known && view.why.is_some());
    assert!(!view.json().contains("in line"), "{}", view.json());
    assert!(
        view.json().contains(r#""verdict":"not heard of","version":1"#)
            && view.json().contains("no majority")
    );
}

#[test]
fn no_orders_are_given_after_the_lease_expired() {
    let mut rig = Rig::new();
    rig.report_until(0, 4 * S);
    rig.reporter.live("c", 1, [9; 32], None);
    rig.report_until(6 * S, 8 * S);
    rig.outputs();
    for now in [19, 60, 600] {
        rig.detector.tick(now * S);
        assert_eq!(rig.outputs(), [], "at {now} s");
        assert_eq!(rig.detector.next(now * S), None);
    }
}

#[test]
fn long_suspected_and_dead_members_are_not_in_line() {
    let mut rig = Rig::new();
    rig.report_until(0, 4 * S);
    rig.detector.members(4 * S, &rig.life.clone(), "north", Standing::Suspect);
    assert_eq!(rig.verdict(4 * S), Verdict::InLine, "a suspicion alone does not count yet");
    rig.report_until(6 * S, 10 * S);
    assert_eq!(rig.verdict(10 * S), Verdict::NotReporting);
    rig.detector.members(10 * S, &rig.life.clone(), "north", Standing::Alive);
    rig.report_until(12 * S, 20 * S);
    assert_eq!(rig.verdict(20 * S), Verdict::InLine);
    rig.detector.members(20 * S, &rig.life.clone(), "north", Standing::Dead);
    assert_eq!(rig.verdict(20 * S), Verdict::NotReporting);
}

#[test]
fn beyond_plan_is_published_after_a_delay_and_altered_at_once() {
    let mut rig = Rig::new();
    rig.report_until(0, 40 * S);
    let cut = [5; 32];
    rig.approve(41 * S, "c", 1, cut, Some(DIGEST));
    rig.report_until(42 * S, 60 * S);
    assert_eq!(rig.verdict(60 * S), Verdict::Converging);
    rig.report_until(62 * S, 80 * S);
    assert_eq!(rig.verdict(80 * S), Verdict::BeyondPlan);
    rig.reporter.live("c", 1, [6; 32], None);
    rig.report_until(82 * S, 86 * S);
    assert_eq!(rig.verdict(86 * S), Verdict::Altered);
    rig.reporter.live("c", 1, cut, None);
    rig.report_until(88 * S, 94 * S);
    assert_eq!(rig.verdict(94 * S), Verdict::InLine);
    // A plan upgrade restores the rules: a member that still applies the narrower ones is late, not altered.
    rig.approve(95 * S, "c", 1, DIGEST, None);
    rig.report_until(96 * S, 130 * S);
    assert_eq!(rig.verdict(130 * S), Verdict::Lagging);
}

#[test]
fn verdicts_distinguish_partly_applied_lagging_ahead_and_unable() {
    let mut rig = Rig::new();
    rig.report_until(0, 4 * S);
    rig.approve(5 * S, "x", 1, DIGEST, None);
    rig.approve(6 * S, "y", 1, DIGEST, None);
    rig.report_until(8 * S, 44 * S);
    assert_eq!(rig.verdict(44 * S), Verdict::Lagging, "neither");
    rig.reporter.live("y", 1, DIGEST, None);
    rig.report_until(46 * S, 52 * S);
    assert_eq!(rig.verdict(52 * S), Verdict::PartlyApplied, "the later approval, but not the earlier one");
    rig.reporter.live("x", 0, content::digest(&[]), Some("the store is full"));
    let outputs = rig.report_until(54 * S, 64 * S);
    assert_eq!(rig.verdict(64 * S), Verdict::CantApply);
    let record =
        |o: &Output| matches!(o, Output::Verdict(r) if r.reason.as_deref() == Some("x: the store is full"));
    assert!(outputs.iter().any(record));
    assert!(
        outputs
            .iter()
            .any(|o| matches!(o, Output::Order(o) if o.act == Action::Fence { client: "x".into() }))
    );
    rig.reporter.live("x", 2, DIGEST, None);
    let outputs = rig.report_until(66 * S, 140 * S);
    assert_eq!(rig.verdict(140 * S), Verdict::Ahead);
    let revert_on_stop = Action::TakeBack { clients: vec!["x".into()] };
    assert!(outputs.iter().any(|o| matches!(o, Output::Order(o) if o.act == revert_on_stop)));
    rig.reporter.live("x", 1, DIGEST, None);
    let outputs = rig.report_until(142 * S, 170 * S);
    assert_eq!(rig.verdict(170 * S), Verdict::InLine);
    assert!(
        outputs.iter().any(|o| matches!(o, Output::Order(o) if o.act == Action::Lift { client: "x".into() }))
    );
}

/// If 200 members are lost at once, the operator is notified of each of them within the total budget.
#[test]
fn actions_for_many_members_respect_the_total_budget() {
    let mut config = Config::new(Name::new("a").unwrap(), [3; 32]);
    // Notifications may be repeated soon; each of the other members still gets its turn first.
    config.repeat_notification_after = 10 * S;
    let mut detector = Detector::new(config.clone());
    for member in 0..200 {
        detector.members(0, &Life { name: name(member), start: Start(1) }, "north", Standing::Dead);
    }
    let mut times = Vec::new();
    for now in (0..90 * S).step_by(50_000) {
        detector.term(now, Term(1), true);
        detector.tick(now);
        while let Some(output) = detector.poll() {
            if let Output::Order(order) = output {
                times.push((now, order.to.name));
            }
        }
    }
    let notified: std::collections::BTreeSet<_> = times.iter().map(|(_, name)| name.clone()).collect();
    assert_eq!(notified.len(), 200);
    for (count, (at, _)) in times.iter().enumerate() {
        let allowed = i64::from(config.total_rate.burst) + (at - times[0].0) / config.total_rate.interval;
        assert!((count as i64) < allowed, "{} actions at {at}, {allowed} are allowed", count + 1);
    }
}

/// A member that reports and answers no challenges is not in line. It is still challenged, and an answer ends
/// this state.
#[test]
fn a_member_that_answers_no_challenge_is_not_in_line() {
    let mut rig = Rig::new();
    rig.detector = Detector::new(Config::new(Name::new("a").unwrap(), [3; 32]));
    rig.detector.members(0, &rig.life.clone(), "north", Standing::Alive);
    let rules = sim::rules((1, 0));
    let digest = content::digest(&rules.rules);
    rig.approve(0, "c", 1, digest, None);
    rig.reporter.live("c", 1, digest, None);
    let first = rig.report_until(0, 60 * S);
    assert!(first.iter().any(|o| matches!(o, Output::Verdict(r) if r.verdict == Verdict::InLine)));
    assert_eq!(rig.verdict(60 * S), Verdict::NotReporting);
    let later = rig.report_until(62 * S, 70 * S);
    let asked =
        later.iter().rev().find_map(|o| if let Output::Challenge(c) = o { Some(c.clone()) } else { None });
    let mut answer = rig.reporter.answer(&asked.unwrap(), &rules).unwrap();
    let nonce = std::mem::take(&mut answer.nonce);
    rig.detector.answer(71 * S, &answer, &rules);
    assert_eq!((rig.detector.challenged(&answer), rig.detector.dropped().invalid_answers), (None, 1));
    answer.nonce = nonce;
    assert_eq!(rig.detector.challenged(&answer), Some("c"));
    rig.detector.answer(71 * S, &answer, &rules);
    rig.detector.tick(75 * S);
    assert_eq!(rig.verdict(75 * S), Verdict::InLine);
}

/// The member is altered all the time, and no delay between actions applies besides its budget.
#[test]
fn actions_for_one_member_respect_its_budget() {
    let mut rig = Rig::new();
    let mut config = Config::new(Name::new("a").unwrap(), [3; 32]);
    (config.first_action_delay, config.max_action_delay) = (1, 1);
    config.challenge_every = Micros::MAX / 4;
    rig.detector = Detector::new(config.clone());
    rig.detector.members(0, &rig.life.clone(), "north", Standing::Alive);
    rig.approve(0, "c", 1, DIGEST, None);
    rig.reporter.live("c", 1, [9; 32], None);
    let outputs = rig.report_until(0, 100 * S);
    let actions = outputs.iter().filter(|output| matches!(output, Output::Order(_))).count() as i64;
    let allowed = i64::from(config.member_rate.burst) + 100 * S / config.member_rate.interval;
    assert!(actions <= allowed && actions >= allowed - 2, "{actions} actions, {allowed} are allowed");
}

/// A takeover preserves the history with its wall times, and merging the histories of both keepers gives the
/// same result in either direction.
#[test]
fn history_survives_a_takeover_and_merges() {
    for seed in 0..10 {
        let mut world = World::new(seed, 4, 5);
        world.schedule(30 * S, Event::Fault(Fault::Alter(1)));
        world.schedule(60 * S, Event::Fault(Fault::TakeOver(true)));
        world.schedule(90 * S, Event::Fault(Fault::Alter(2)));
        world.run(120 * S, |_| {});
        let [first, second] = &world.keepers[..] else { panic!() };
        let seen = |d: &Detector, m: usize| d.history().of(&name(m)).any(|r| r.verdict == Verdict::Altered);
        assert!(seen(&second.detector, 1) && seen(&second.detector, 2));
        assert!(
            second.detector.history().of(&name(1)).any(|r| r.seen_by.as_str() == "k0" && r.term == Term(1))
        );
        assert!(second.detector.history().records().all(|r| r.since >= 1_000 * S));
        let (mut a, mut b) = (first.detector.history().clone(), second.detector.history().clone());
        a.merge(second.detector.history());
        b.merge(first.detector.history());
        assert_eq!(a, b);
        assert_eq!(History::restore(&a.snapshot(usize::MAX)).unwrap(), a);
    }
}

#[test]
fn history_is_bounded_and_independent_of_merge_order() {
    let mut rng = SmallRng::seed_from_u64(4);
    let mut records = |count: usize| -> Vec<Record> {
        let record = |_| Record {
            term: Term(rng.random_range(1..4)),
            since: rng.random_range(0..100_000),
            member: name(rng.random_range(0..200)),
            start: Start(1),
            verdict: Verdict::Lagging,
            client: None,
            version: 1,
            seen_by: name(0),
            reason: Some("x".repeat(500)),
        };
        (0..count).map(record).collect()
    };
    let of = |records: &[Record]| {
        let mut history = History::default();
        records.iter().for_each(|record| history.add(record.clone()));
        history
    };
    let (a, b, c) = (records(6000), records(6000), records(300));
    let mut left = of(&a);
    left.merge(&of(&b));
    left.merge(&of(&c));
    let mut right = of(&c);
    let mut rest = of(&b);
    rest.merge(&of(&a));
    right.merge(&rest);
    assert_eq!(left, right);
    assert_eq!(left.records().count(), history::MAX_RECORDS);
    assert!((0..200).all(|m| left.of(&name(m)).count() <= history::MAX_RECORDS_PER_MEMBER));
    assert!(left.records().all(|r| r.reason.as_ref().unwrap().len() == 200));
    let small = left.snapshot(10_000);
    assert!(small.len() <= 10_000 && small.len() > 9_000);
    let newest = History::restore(&small).unwrap();
    assert_eq!(newest.records().last(), left.records().last());
    for cut in 0..small.len().min(300) {
        let _ = History::restore(&small[..cut]);
    }
}

/// Truncated and corrupted snapshots are rejected or decoded, and cause no panic.
#[test]
fn corrupt_snapshots_are_handled_safely() {
    let mut world = World::new(1, 4, 5);
    world.schedule(30 * S, Event::Fault(Fault::Alter(1)));
    world.run(50 * S, |_| {});
    let saved = world.keepers[0].detector.snapshot(64 * 1024);
    assert!(saved.len() > 100);
    let mut rng = SmallRng::seed_from_u64(2);
    for _ in 0..2000 {
        let mut broken = saved.clone();
        broken.truncate(rng.random_range(0..=saved.len()));
        if !broken.is_empty() {
            let place = rng.random_range(0..broken.len());
            broken[place] = rng.random();
        }
        let _ = world.keepers[1].detector.restore(50 * S, &broken);
    }
}

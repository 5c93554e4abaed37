//! The detector requests to be woken only when there is something to do.

mod sim;

use heronroute_drift::detector::MIN_CHECK_INTERVAL;
use heronroute_drift::{Config, Desired, Detector, Health, Micros, Output, Reporter, Verdict};
use heronroute_fleet::{Life, Name, Standing, Start, Term};
use rand::Rng;
use sim::{Event, S, World, name};

/// A detector that is woken only at the requested times works, and time alone never causes two checks of a
/// member within the minimum interval.
#[test]
fn wake_times_keep_the_minimum_check_interval() {
    for seed in (0..12).chain([7 + 100]) {
        let mut world = World::new(seed, 3 + (seed % 5) as usize, 5 + (seed % 37) as usize);
        world.wake_on_demand = true;
        world.plan_faults(20, 120);
        for _ in 0..world.rng.random_range(1..8) {
            let at = world.rng.random_range(10..120) * S;
            world.schedule(at, Event::Approve);
        }
        let until = 360 * S;
        world.run(until, |_| {});
        for member in 0..world.members.len() {
            assert_eq!(world.verdict(member), Verdict::InLine, "seed {seed}");
        }
        // Expected: some 20 faults with their actions, and a challenge to each member about every 30 s.
        let max_wakes = world.members.len() * (until / S) as usize;
        assert!(
            world.wakes.len() < max_wakes,
            "seed {seed}: {} wakes, {max_wakes} at most",
            world.wakes.len()
        );
    }
}

/// Wakes a detector within a time span whenever it asks for it, and returns the number of wakes.
fn run_wakes(detector: &mut Detector, from: Micros, until: Micros) -> usize {
    let (mut now, mut count) = (from, 0);
    while let Some(next) = detector.next(now).filter(|next| *next <= until) {
        assert!(next >= now + MIN_CHECK_INTERVAL || count == 0, "{next} after {now}");
        now = next;
        count += 1;
        detector.term(now, Term(2), true);
        detector.tick(now);
        while detector.poll().is_some() {}
    }
    count
}

/// Returns a detector of the leader, and the reporter of one member.
fn detector_and_reporter(config: Config) -> (Detector, Reporter) {
    let life = Life { name: name(1), start: Start(5) };
    let mut detector = Detector::new(config);
    detector.members(0, &life, "north", Standing::Alive);
    detector.term(0, Term(2), true);
    (detector, Reporter::new(life))
}

/// Delivers reports with their root but without the changed clients.
fn send_roots(detector: &mut Detector, reporter: &mut Reporter, now: Micros) {
    for _ in 0..2 {
        detector.term(now, Term(2), true);
        let mut report = reporter.report(Health::default());
        report.clients.clear();
        detector.report(now, &report);
        while let Some(output) = detector.poll() {
            if let Output::Ack(ack) = output {
                reporter.handle_ack(&ack);
            }
        }
    }
}

fn config() -> Config {
    Config::new(Name::new("a").unwrap(), [3; 32])
}

/// Guards against a challenge that stays due for ever: without approved rules there is nothing to prove.
#[test]
fn no_challenge_is_due_without_approved_rules() {
    let (mut detector, mut reporter) = detector_and_reporter(config());
    let mut count = 0;
    for turn in 0..30 {
        send_roots(&mut detector, &mut reporter, turn * 2 * S);
        assert_eq!(detector.verdict(turn * 2 * S, &name(1)), Some(Verdict::InLine));
        count += run_wakes(&mut detector, turn * 2 * S, turn * 2 * S + 2 * S - 1);
    }
    assert!(count <= 5, "{count} wakes in an idle minute");
}

/// Guards against requesting a rollout deadline in the past again and again. This happened when a member
/// differed in unknown clients for longer than a rollout takes, and also in a client that was just approved.
#[test]
fn a_time_in_the_past_is_not_requested_again() {
    for approve in [false, true] {
        let (mut detector, mut reporter) =
            detector_and_reporter(Config { challenge_every: Micros::MAX / 4, ..config() });
        // The detector queries the tree, and nothing replies.
        reporter.live("hidden", 1, [7; 32], None);
        let rollout = config().rollout_for;
        let mut count = 0;
        for turn in 0..30 {
            let now = turn * 2 * S;
            if approve && now == rollout - 2 * S {
                let client = "new".to_owned();
                detector.desired(now, &Desired { client, version: 1, digest: [9; 32], at: now, uncut: None });
            }
            send_roots(&mut detector, &mut reporter, now);
            count += run_wakes(&mut detector, now, now + 2 * S - 1);
        }
        assert!(count <= 100, "{count} wakes in a minute, with an approval: {approve}");
    }
}

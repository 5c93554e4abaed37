//! Tests that the members of an installation together keep to a release pace, on a virtual clock.

mod kept;
mod rig;

use heronroute_rules::seam::Fence;
use heronroute_rules::{RuleLimits, Turn};
use kept::{Harness, MS, apply, rule, set};
use std::sync::Arc;

/// Releases a backlog at each node under one shared pace, and returns the sorted arrival times in
/// milliseconds.
fn release_backlogs(members: u32, senders: u32, pace: u64, each: usize, seconds: i64) -> Vec<i64> {
    let limits = RuleLimits { release: Some(pace), ..RuleLimits::default() };
    let mut nodes = Vec::new();
    for place in 0..members {
        for sender in 0..senders {
            let mut harness = Harness::for_sender("held { }", sender as usize);
            let mut apply = apply(1, &[rule("slow", "", limits.clone())], true);
            apply.turn = Turn { place, members, senders };
            let now = harness.now;
            harness.node().apply(now, apply);
            harness.receivers_down = true;
            harness.advance(2);
            for n in 0..each {
                harness.publish(0, &format!("to/10001{n:02}/RESP"), 2);
            }
            // Past the deadline by a different time at each node, so that releases do not begin together.
            harness.advance(1_100 + i64::from(place * 37 + sender * 11) % 500);
            assert_eq!(harness.held_count(0), each);
            harness.receivers_down = false;
            harness.advance(2_000);
            harness.received_bodies.clear();
            nodes.push(harness);
        }
    }
    let mut release_times = Vec::new();
    for harness in &mut nodes {
        harness.publish(0, "held/release", 1);
        let end = harness.now + seconds * 1_000 * MS;
        while harness.now < end {
            harness.advance(10);
            release_times.extend(std::iter::repeat_n(harness.now / MS, harness.received_bodies.len()));
            harness.received_bodies.clear();
        }
    }
    release_times.sort_unstable();
    release_times
}

/// Returns the most releases in any span of `span` milliseconds.
fn max_in_span(release_times: &[i64], span: i64) -> u64 {
    let from = |i: usize| release_times[i..].partition_point(|at| *at < release_times[i] + span) as u64;
    (0..release_times.len()).map(from).max().unwrap_or(0)
}

#[test]
fn members_together_release_at_most_the_pace() {
    for (members, senders, pace, each, seconds) in [(20, 1, 3, 3, 26), (10, 2, 30, 12, 12), (4, 1, 1, 3, 16)]
    {
        let release_times = release_backlogs(members, senders, pace, each, seconds);
        for span in 1..seconds {
            let (most, may) = (max_in_span(&release_times, span * 1_000), pace * (span as u64 + 2));
            assert!(most <= may, "{members} x {senders}: {most} in {span} s at a pace of {pace}");
        }
        // A sender that is not the client's home has no share, so its held messages stay.
        let (all, rate) = (members as usize * each, pace * (seconds as u64 - 2));
        let least = all.min(rate as usize);
        assert!(
            release_times.len() >= least * 9 / 10,
            "{members} x {senders}: {} of {all} released",
            release_times.len()
        );
    }
}

/// Guards against a backlog that never drains: for the second of four members the turns of paces 1 and 2
/// never fall on the same second, and a fence over both must still release at the smaller pace.
#[test]
fn fenced_paces_with_disjoint_turns_release_at_the_smaller_pace() {
    let turn = Turn { place: 1, members: 4, senders: 1 };
    assert!((0..100).map(|s| s * 1_000 * MS).all(|at| turn.rate_share(1, at) * turn.rate_share(2, at) == 0));
    for (applied, approved) in [(1, 2), (2, 1)] {
        let mut harness = Harness::for_sender("held { }", 0);
        let rules = |pace| [rule("slow", "", RuleLimits { release: Some(pace), ..RuleLimits::default() })];
        let apply = heronroute_rules::seam::Apply { turn, ..apply(1, &rules(applied), true) };
        let now = harness.now;
        harness.node().apply(now, apply);
        harness.advance(2);
        let under = Some(Arc::new(set(2, &rules(approved))));
        let now = harness.now;
        harness.node().fence(now, Fence { client: "c".into(), under, turn });
        harness.receivers_down = true;
        for n in 0..4 {
            harness.publish(0, &format!("to/10001{n:02}/RESP"), 2);
        }
        harness.advance(1_500);
        assert_eq!(harness.held_count(0), 4);
        harness.receivers_down = false;
        harness.advance(2_000);
        harness.received_bodies.clear();
        harness.publish(0, "held/release", 1);
        harness.advance(10_000);
        let soon = harness.received_bodies.len();
        assert!((2..=3).contains(&soon), "one in four seconds: {soon} of {applied} and {approved}");
        harness.advance(10_000);
        assert_eq!(harness.received_bodies.len(), 4, "{applied} and {approved}");
    }
}

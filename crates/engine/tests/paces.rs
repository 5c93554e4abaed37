//! A release pace that all members of an installation hold together, on a virtual clock.

mod kept;
mod rig;

use heronroute_rules::seam::Fence;
use heronroute_rules::{RuleLimits, Turn};
use kept::{MS, Rig, apply, rule, set};
use std::sync::Arc;

/// A backlog at each node goes under one pace; gives when messages arrived, in milliseconds.
fn released(members: u32, senders: u32, pace: u64, each: usize, seconds: i64) -> Vec<i64> {
    let limits = RuleLimits { release: Some(pace), ..RuleLimits::default() };
    let mut nodes = Vec::new();
    for place in 0..members {
        for sender in 0..senders {
            let mut r = Rig::at("held { }", sender as usize);
            let mut apply = apply(1, &[rule("slow", "", limits.clone())], true);
            apply.turn = Turn { place, members, senders };
            let now = r.now;
            r.node().apply(now, apply);
            r.down = true;
            r.pass(2);
            for n in 0..each {
                r.hand(0, &format!("to/10001{n:02}/RESP"), 2);
            }
            // Their deadline, and then some, differing: releases do not begin together.
            r.pass(1_100 + i64::from(place * 37 + sender * 11) % 500);
            assert_eq!(r.held(0), each);
            r.down = false;
            r.pass(2_000);
            r.ran.clear();
            nodes.push(r);
        }
    }
    let mut went = Vec::new();
    for r in &mut nodes {
        r.hand(0, "held/release", 1);
        let end = r.now + seconds * 1_000 * MS;
        while r.now < end {
            r.pass(10);
            went.extend(std::iter::repeat_n(r.now / MS, r.ran.len()));
            r.ran.clear();
        }
    }
    went.sort_unstable();
    went
}

/// The most in any span of so many milliseconds.
fn most_in(went: &[i64], span: i64) -> u64 {
    let from = |i: usize| went[i..].partition_point(|at| *at < went[i] + span) as u64;
    (0..went.len()).map(from).max().unwrap_or(0)
}

#[test]
fn members_together_release_no_more_than_the_pace() {
    for (members, senders, pace, each, seconds) in [(20, 1, 3, 3, 26), (10, 2, 30, 12, 12), (4, 1, 1, 3, 16)]
    {
        let went = released(members, senders, pace, each, seconds);
        for span in 1..seconds {
            let (most, may) = (most_in(&went, span * 1_000), pace * (span as u64 + 2));
            assert!(most <= may, "{members} x {senders}: {most} in {span} s at a pace of {pace}");
        }
        // What a sender holds that is not the home, which has no share, stays.
        let (all, rate) = (members as usize * each, pace * (seconds as u64 - 2));
        let least = all.min(rate as usize);
        assert!(went.len() >= least * 9 / 10, "{members} x {senders}: {} went of {all}", went.len());
    }
}

/// Turns of a pace of 1 and of 2 never fall on one second for the second of four members: under a fence over both, what it
/// holds goes all the same, at the smaller pace.
#[test]
fn under_a_fence_two_paces_whose_turns_never_meet_let_go_at_the_smaller_one() {
    let turn = Turn { place: 1, members: 4, senders: 1 };
    assert!((0..100).map(|s| s * 1_000 * MS).all(|at| turn.rate_share(1, at) * turn.rate_share(2, at) == 0));
    for (applied, approved) in [(1, 2), (2, 1)] {
        let mut r = Rig::at("held { }", 0);
        let rules = |pace| [rule("slow", "", RuleLimits { release: Some(pace), ..RuleLimits::default() })];
        let apply = heronroute_rules::seam::Apply { turn, ..apply(1, &rules(applied), true) };
        let now = r.now;
        r.node().apply(now, apply);
        r.pass(2);
        let under = Some(Arc::new(set(2, &rules(approved))));
        let now = r.now;
        r.node().fence(now, Fence { client: "c".into(), under, turn });
        r.down = true;
        for n in 0..4 {
            r.hand(0, &format!("to/10001{n:02}/RESP"), 2);
        }
        r.pass(1_500);
        assert_eq!(r.held(0), 4);
        r.down = false;
        r.pass(2_000);
        r.ran.clear();
        r.hand(0, "held/release", 1);
        r.pass(10_000);
        let soon = r.ran.len();
        assert!((2..=3).contains(&soon), "one in four seconds: {soon} of {applied} and {approved}");
        r.pass(10_000);
        assert_eq!(r.ran.len(), 4, "{applied} and {approved}");
    }
}

//! Tests of the waves of a rollout, of the reasons for a stop, and of a change of the leader.

mod sim;

use heronroute_drift::rollout::{LoggedRollout, Phase, Plan, Progress, Rollout, StopReason};
use heronroute_drift::*;
use heronroute_fleet::Start;
use sim::{Event, Fault, S, World, name};

/// Returns a simulation of 9 members in 3 zones. Version 2 of c0 is approved at 20 s and sent by the rollout
/// only.
fn world(seed: u64, revert_on_stop: bool) -> World {
    let mut world = World::new(seed, 9, 5);
    world.revert_on_stop = revert_on_stop;
    world.run(20 * S, |_| {});
    world.start_rollout("c0");
    world
}

/// Returns a rollout to four members whose first wave has started.
fn first_wave_of_four() -> Rollout {
    let plan = Plan {
        client: "c0".into(),
        version: 2,
        wave_for: 30 * S,
        soak: 10 * S,
        thresholds: Default::default(),
    };
    Rollout::from_log(0, &logged_rollout(plan, 0)).unwrap()
}

fn logged_rollout(plan: Plan, wave: usize) -> LoggedRollout {
    let members = (0..4).map(|m| (name(m), usize::from(m > 0))).collect();
    LoggedRollout {
        plan,
        members,
        meant: Vec::new(),
        wave: Some(wave),
        without: Default::default(),
        heard: Default::default(),
        passes: (0, 0),
        baseline: Default::default(),
        halted: None,
    }
}

fn applied(world: &World) -> usize {
    world.members.iter().filter(|sim_member| sim_member.live["c0"].0 == 2).count()
}

fn assert_no_resends(world: &World) {
    for (at, _, order) in &world.orders {
        assert!(matches!(order.act, Action::TellOperator { .. }), "at {at}: {order:?}");
    }
}

#[test]
fn waves_reach_one_member_then_its_zone_then_all() {
    for seed in 0..20 {
        let mut world = world(seed, false);
        let mut counts = vec![(0, 0)];
        world.run(100 * S, |world| {
            let now = applied(world);
            if counts.last().is_none_or(|(count, _)| *count != now) {
                counts.push((now, world.now));
            }
            // A member not reached yet is in line with the version that it is meant to apply, however long
            // the waves take.
            let wave = world.logged_rollout.as_ref().map_or(9, |logged_rollout| logged_rollout.wave.unwrap());
            for member in 0..9 {
                let reached = world
                    .logged_rollout
                    .as_ref()
                    .is_none_or(|logged_rollout| logged_rollout.members[member].1 <= wave);
                let (verdict, live) = (world.verdict(member), world.members[member].live["c0"].0);
                let line = if reached { 2 } else { 1 };
                assert!(live == line || verdict != Verdict::InLine, "seed {seed}: {member} at {live}");
                if !reached {
                    assert_eq!(verdict, Verdict::InLine, "seed {seed} at {}", world.now);
                }
            }
        });
        let sizes: Vec<usize> = counts.iter().map(|(count, _)| *count).collect();
        assert!(sizes.starts_with(&[0, 1]) && sizes.contains(&3), "seed {seed}: {sizes:?}");
        let waves: Vec<_> = world.rollouts.iter().map(|(_, p)| p.clone()).collect();
        assert_eq!(waves, [Progress::Next { wave: 1 }, Progress::Next { wave: 2 }, Progress::Done]);
        assert!((0..9).all(|member| world.verdict(member) == Verdict::InLine));
        assert_no_resends(&world);
    }
}

#[test]
fn a_late_wave_stops_the_rollout_for_all_other_members() {
    for seed in 0..10 {
        let mut world = world(seed, false);
        // The second wave consists of m3 and m6.
        world.fault(Fault::Stuck(3));
        world.run(200 * S, |_| {});
        let (at, stopped) = world.rollouts.iter().find(|(_, p)| matches!(p, Progress::Stopped(_))).unwrap();
        let why = StopReason::Late { wave: 1, member: name(3), members: 1 };
        assert_eq!(*stopped, Progress::Stopped(why.clone()));
        assert!(why.to_string().contains("wave 2") && why.to_string().contains("m3"));
        assert!(*at < 80 * S, "seed {seed}: {at}");
        assert_eq!(applied(&world), 2, "seed {seed}: the first wave and m6");
        // The version is sent again to the late member, which is meant to have it, and to no other one.
        let to = |order: &Order| order.to.name != name(3);
        assert!(!world.orders.iter().any(|(_, _, order)| to(order)), "seed {seed}");
        let view = world.leader_detector().view(world.now);
        assert_eq!(view.rollouts[0].state, "stopped");
        assert_eq!((world.verdict(1), world.verdict(6)), (Verdict::InLine, Verdict::InLine));
        assert_eq!(world.verdict(3), Verdict::Lagging, "it was reached and does not apply the version");
    }
}

#[test]
fn a_dead_member_of_a_wave_stops_the_rollout() {
    let mut world = world(3, false);
    world.schedule(26 * S, Event::Fault(Fault::Silent(0)));
    world.run(100 * S, |_| {});
    let late =
        |p: &Progress| matches!(p, Progress::Stopped(StopReason::Late { member, .. }) if *member == name(0));
    assert!(world.rollouts.iter().any(|(_, p)| late(p)));
    assert!(applied(&world) <= 3);
}

#[test]
fn refusals_stop_the_rollout_and_revert_it_if_planned() {
    for seed in 0..10 {
        let mut world = world(seed, true);
        world.fail_on_new_version = true;
        world.run(200 * S, |_| {});
        let stopped = world.rollouts.iter().find_map(|(_, p)| match p {
            Progress::Stopped(StopReason::Worse(what)) => Some(what.clone()),
            _ => None,
        });
        assert!(
            stopped.as_ref().is_some_and(|what| what.starts_with("refusals")),
            "seed {seed}: {stopped:?}"
        );
        // Reverted: all members apply version 3 with the old content.
        assert!(world.members.iter().all(|sim_member| sim_member.live["c0"].0 == 3), "seed {seed}");
        assert!((0..9).all(|member| world.verdict(member) == Verdict::InLine));
        assert!(world.leader_detector().rollout_of("c0").is_none());
    }
}

/// If the leader is replaced in the middle of a wave, the new leader continues the rollout without skipping a
/// wave or starting again from the first one.
#[test]
fn a_new_leader_continues_the_rollout() {
    for seed in 0..20 {
        let mut world = world(seed, false);
        let takeover_at = 25 + (seed as i64 % 20);
        world.schedule(takeover_at * S, Event::Fault(Fault::TakeOver(true)));
        world.run(200 * S, |_| {});
        let sent: Vec<usize> = world
            .rollouts
            .iter()
            .filter_map(|(_, p)| if let Progress::Next { wave } = p { Some(*wave) } else { None })
            .collect();
        // The old leader, within its lease, and the new one may both propose a wave; the log accepts it once.
        assert!(sent.starts_with(&[1]) && sent.ends_with(&[2]) && sent.len() <= 3, "seed {seed}: {sent:?}");
        assert_eq!(world.rollouts.last().unwrap().1, Progress::Done, "seed {seed}");
        assert!((0..9).all(|member| world.verdict(member) == Verdict::InLine));
    }
}

/// Memory and failures are compared with those of the members not reached yet, and small samples are ignored.
#[test]
fn health_is_compared_with_unreached_members() {
    let run_from = |base: u64, mine: Health, theirs: Health| {
        let mut rollout = first_wave_of_four();
        for member in 0..4 {
            let memory = if member == 0 { base } else { 100 } << 20;
            let health = Health { refused: 0, failed: 0, memory };
            rollout.report(1, &name(member), Start(1), false, health);
        }
        for member in 0..4 {
            let health = if member == 0 { mine } else { theirs };
            rollout.report(9 * S, &name(member), Start(1), member == 0, health);
        }
        rollout.report(20 * S, &name(0), Start(1), true, mine);
        rollout.tick(30 * S);
        rollout.phase().clone()
    };
    let run = |mine, theirs| run_from(100, mine, theirs);
    let health_with = |failed, memory: u64| Health { refused: 0, failed, memory: memory << 20 };
    let is_worse = |phase: Phase, word: &str| matches!(phase, Phase::Stopped(StopReason::Worse(what)) if what.starts_with(word));
    assert!(is_worse(run(health_with(30, 100), health_with(3, 100)), "failures"));
    assert_eq!(
        run(health_with(30, 100), health_with(29, 100)),
        Phase::Running,
        "all fail alike, so the version is not the cause"
    );
    assert_eq!(run(health_with(15, 100), health_with(0, 100)), Phase::Running, "too few failures to compare");
    assert!(is_worse(run(health_with(0, 150), health_with(0, 105)), "memory"));
    assert_eq!(run(health_with(0, 150), health_with(0, 145)), Phase::Running);
    assert_eq!(
        run_from(0, health_with(0, 100), health_with(0, 100)),
        Phase::Running,
        "its memory was unknown at first"
    );
    // Extreme figures cause no overflow.
    run(health_with(u64::MAX, u64::MAX >> 21), health_with(u64::MAX, 0));
    run(health_with(u64::MAX, 0), health_with(0, u64::MAX >> 21));
}

/// The counts of a member begin at 0 after a restart. Those of its former life are kept, and the difference
/// is never negative.
#[test]
fn a_restart_does_not_hide_failures() {
    let mut rollout = first_wave_of_four();
    let health_with = |failed| Health { refused: 0, failed, memory: 1 << 20 };
    (0..4).for_each(|member| rollout.report(1, &name(member), Start(1), false, health_with(1000)));
    rollout.report(5 * S, &name(0), Start(1), true, health_with(1025));
    rollout.report(9 * S, &name(0), Start(2), true, health_with(1));
    (1..4).for_each(|member| rollout.report(9 * S, &name(member), Start(1), false, health_with(1000)));
    rollout.report(20 * S, &name(0), Start(2), true, health_with(1));
    rollout.tick(30 * S);
    assert!(matches!(rollout.phase(), Phase::Stopped(StopReason::Worse(_))));
}

/// Guards against a version that kills a member right after its first report of it: the next wave waits for a
/// report after the soak time.
#[test]
fn a_member_silent_after_its_first_response_is_late() {
    let reported_at = |times: &[Micros]| {
        let mut rollout = first_wave_of_four();
        let health = Health { refused: 0, failed: 0, memory: 1 << 20 };
        for at in times {
            rollout.report(*at, &name(0), Start(1), true, health);
            rollout.tick(*at);
        }
        rollout
    };
    let mut rollout = reported_at(&[S, 5 * S, 11 * S - 1]);
    assert_eq!(rollout.tick(12 * S), None);
    assert_eq!(rollout.tick(40 * S - 1), None);
    let why = StopReason::Late { wave: 0, member: name(0), members: 1 };
    assert_eq!(rollout.tick(40 * S), Some(Progress::Stopped(why)));
    assert_eq!(reported_at(&[S, 11 * S]).proposal(), Some(&Progress::Next { wave: 1 }));
    assert_eq!(reported_at(&[11 * S]).proposal(), None, "the soak time begins with its first report");
}

/// Returns a rollout to four members whose second wave, of three, started at 0. The `gone` members are lost
/// at 1 s; `word` says whether m1 responded before.
fn second_wave_with_gone(gone: &[usize], word: bool) -> Rollout {
    let mut rollout = first_wave_of_four();
    let plan = rollout.plan().clone();
    let health = Health { refused: 0, failed: 0, memory: 1 << 20 };
    rollout.report(0, &name(0), Start(1), true, health);
    rollout.update(0, &logged_rollout(plan, 1));
    for member in 0..4 {
        if word && member == 1 || !gone.contains(&member) {
            rollout.report(S / 2, &name(member), Start(1), true, health);
        }
    }
    gone.iter().for_each(|member| rollout.member_lost(S, &name(*member)));
    rollout
}

/// Silence is evidence against the version only for members that responded before, or if too many are gone
/// for the remaining ones to show the effect of the version.
#[test]
fn members_without_a_response_are_skipped_while_enough_others_remain() {
    let passed =
        |gone: &[usize]| Progress::Pass { members: gone.iter().map(|member| name(*member)).collect() };
    for gone in [&[1][..], &[1, 2], &[2, 3]] {
        let mut rollout = second_wave_with_gone(gone, false);
        assert_eq!(rollout.tick(5 * S - 1), None, "it may still report");
        assert_eq!(rollout.tick(5 * S), Some(passed(gone)));
        // The wave is not late while the log may still accept the proposal.
        assert_eq!(rollout.tick(40 * S - 1), None);
        assert!(matches!(rollout.tick(40 * S), Some(Progress::Stopped(_))));
    }
    let late = |mut rollout: Rollout| {
        assert_eq!(rollout.tick(40 * S - 1), None);
        matches!(rollout.tick(40 * S), Some(Progress::Stopped(StopReason::Late { wave: 1, .. })))
    };
    assert!(late(second_wave_with_gone(&[1, 2, 3], false)), "three of four");
    assert!(late(second_wave_with_gone(&[1, 2], true)), "one of them responded");
    assert!(late(second_wave_with_gone(&[0], false)), "the first member had responded");
    // A member that returns has to apply the version like all others.
    let mut rollout = second_wave_with_gone(&[1], false);
    rollout.tick(5 * S);
    rollout.record_response(&name(1));
    assert_eq!((rollout.proposal(), rollout.unlogged_responses(6 * S).is_some()), (None, true));
    assert!(late(rollout));
    // A member that returns before the proposal, without a response, is waited for.
    let mut rollout = second_wave_with_gone(&[1], false);
    rollout.report(2 * S, &name(1), Start(1), false, Health { refused: 0, failed: 0, memory: 1 << 20 });
    assert_eq!(rollout.tick(5 * S), None);
    // The same holds for a member whose response to another leader is in the log, which would reject the
    // proposal.
    let mut rollout = second_wave_with_gone(&[1], false);
    rollout.tick(5 * S);
    let mut logged = logged_rollout(rollout.plan().clone(), 1);
    logged.heard.insert(name(1));
    rollout.update(6 * S, &logged);
    assert_eq!(rollout.proposal(), None);
    assert!(late(rollout));
}

/// A response to an earlier leader counts if it is in the log.
#[test]
fn logged_responses_count_as_evidence() {
    for before in [false, true] {
        let mut logged_rollout = logged_rollout(first_wave_of_four().plan().clone(), 0);
        let mut rollout = Rollout::from_log(0, &logged_rollout).unwrap();
        logged_rollout.heard.insert(name(0));
        if before {
            rollout = Rollout::from_log(0, &logged_rollout).unwrap();
        } else {
            rollout.update(S, &logged_rollout);
        }
        rollout.resume(2 * S);
        rollout.member_lost(2 * S, &name(0));
        assert_eq!(rollout.tick(42 * S - 1), None);
        assert!(matches!(rollout.tick(42 * S), Some(Progress::Stopped(StopReason::Late { wave: 0, .. }))));
    }
}

#[test]
fn the_first_member_is_skipped_at_most_twice() {
    let mut rollout = first_wave_of_four();
    let fall_silent = |rollout: &mut Rollout, at| {
        rollout.member_lost(at, &name(0));
        rollout.tick(at + 40 * S)
    };
    assert!(matches!(fall_silent(&mut rollout, S), Some(Progress::Pass { .. })));
    let mut passed = logged_rollout(rollout.plan().clone(), 0);
    // The same member replaces itself here; only the number of skips matters.
    for passes in [1, 2] {
        passed.passes = (passes, passes);
        rollout.update(50 * S, &passed);
        let progress = fall_silent(&mut rollout, 51 * S);
        assert_eq!(matches!(progress, Some(Progress::Pass { .. })), passes == 1, "{progress:?}");
    }
    assert!(matches!(rollout.phase(), Phase::Stopped(StopReason::Late { wave: 0, .. })));
}

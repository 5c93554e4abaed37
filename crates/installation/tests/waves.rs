//! Approved versions go in waves, and stop.

mod rig;
mod rolling;

use heronroute_drift::rollout::Phase;
use heronroute_drift::{Health, Verdict};
use heronroute_installation::seam::Input;
use heronroute_installation::{PlanSetting, RolloutSettings};
use heronroute_rules::Plan;
use rig::engine::Mode;
use rig::node::Folder;
use rig::{MS, S, World, draft, plan};
use rolling::*;
use serde_json::Value;

#[test]
fn one_member_its_zone_and_all_each_after_the_last_was_in_line() {
    let mut world = world(1, 6, RolloutSettings::default());
    let from = world.now;
    assert_eq!(world.submit(4, "oduya", 0, "long", 90).1["version"], 1);
    let mut seen = vec![applied(&world, "oduya")];
    let mut at = vec![from];
    while !world.in_line() || world.now < from + S {
        assert!(world.now < from + 30 * S && world.book.failed.is_none());
        world.run(5 * MS);
        let now = applied(&world, "oduya");
        if seen.last() != Some(&now) {
            seen.push(now);
            at.push(world.now);
        }
        if world.now == from + 500 * MS {
            let told = shown(&mut world, 4);
            assert_eq!((&told["state"], &told["wave"]), (&"running".into(), &1.into()), "{told}");
        }
    }
    let zone = |m: usize| m.is_multiple_of(3);
    let first = seen.iter().position(|s| s[0] == 1).unwrap();
    let second = seen.iter().position(|s| s[3] > 0).unwrap();
    let third = seen.iter().position(|s| s.iter().enumerate().any(|(m, v)| !zone(m) && *v > 0)).unwrap();
    assert!(first < second && second < third, "{seen:?}");
    assert!(at[second] - at[first] >= S && at[third] - at[second] >= S, "each has its soak: {at:?}");
    assert_eq!(seen.last().unwrap(), &vec![1; 6]);
    assert!(world.now - from < 8 * S, "{}", world.now - from);
    world.run(S);
    assert_eq!(shown(&mut world, 2), Value::Null, "nothing is to be told of it any more");
    world.sound();
}

#[test]
fn without_waves_all_apply_at_once() {
    let mut world = world(2, 6, RolloutSettings { waves: false, ..RolloutSettings::default() });
    world.submit(0, "oduya", 0, "long", 90);
    world.run(300 * MS);
    assert_eq!(applied(&world, "oduya"), [1; 6]);
    world.sound();
}

/// The first one's nodes apply nothing: it stops, all have the rules from before, once, and everybody is told why.
#[test]
fn a_wave_that_is_not_in_line_stops_and_goes_back() {
    let mut world = world(3, 6, short());
    world.submit(0, "oduya", 0, "long", 90);
    in_line(&mut world, 30 * S);
    world.nodes[0].engine.mode = Mode::Deaf;
    world.submit(1, "oduya", 1, "long", 45);
    world.run(6 * S);
    assert_eq!(applied(&world, "oduya"), [1; 6], "nobody else got it");
    let back = |w: &World| w.book.machine.registry().desired("oduya").is_some_and(|d| d.set.version == 3);
    let took = world.until(30 * S, back).expect("it goes back");
    assert!(took < 10 * S, "{took}");
    world.nodes[0].engine.mode = Mode::Good;
    in_line(&mut world, 60 * S);
    assert_eq!(applied(&world, "oduya"), [3; 6]);
    let rules = |v: u64| world.book.versions[&("oduya".to_string(), v)].clone();
    assert_eq!(rules(3), rules(1), "the rules from before");
    let told = shown(&mut world, 5);
    assert_eq!((&told["state"], &told["version"], &told["back"]), (&"stopped".into(), &2.into(), &3.into()));
    assert!(told["why"].as_str().unwrap().contains("wave 1 is not in line in time, m000"), "{told}");
    let drift = world.answer(4, "ops", "fleet/drift", "").1;
    assert_eq!(drift["rollouts"][0]["client"], "oduya", "{drift}");
    assert_eq!(drift["rollouts"][0]["why"], told["why"]);
    // What comes after it goes its own way, and there is no more word of the one that stopped.
    assert_eq!(world.submit(2, "oduya", 3, "long", 60).1["version"], 4);
    in_line(&mut world, 60 * S);
    assert_eq!(shown(&mut world, 1), Value::Null);
    world.sound();
}

#[test]
fn one_that_stays_is_told_until_another_version_takes_its_place() {
    let mut world = world(4, 6, RolloutSettings { back: false, ..short() });
    world.submit(0, "oduya", 0, "long", 90);
    in_line(&mut world, 30 * S);
    world.nodes[3].engine.mode = Mode::Unable;
    world.submit(0, "oduya", 1, "long", 60);
    let halted = |w: &World| w.book.machine.waves().of("oduya").is_some_and(|s| s.halted.is_some());
    assert!(world.until(30 * S, halted).is_some(), "it stops");
    world.run(10 * S);
    assert_eq!(applied(&world, "oduya"), [2, 1, 1, 1, 1, 1], "the first one alone");
    let told = shown(&mut world, 4);
    assert_eq!((&told["state"], &told["wave"]), (&"stopped".into(), &2.into()));
    assert!(told["why"].as_str().unwrap().contains("m003"), "{told}");
    // Another one in charge knows of it, and does not go on with it.
    let old = world.leader().unwrap();
    world.kill(old, Folder::Kept);
    world.run(10 * S);
    world.start(old, None);
    world.run(10 * S);
    assert_eq!(wave(&world, "oduya"), Some(1));
    let drift_monitor =
        world.nodes[world.leader().unwrap()].member.as_ref().unwrap().drift_monitor().unwrap();
    let phase = drift_monitor.detector().rollout_of("oduya").unwrap().phase();
    assert!(matches!(phase, Phase::Stopped(why) if why.to_string().contains("m003")), "{phase:?}");
    // One that was not reached is mended as ever, to what it is meant to apply and no further.
    let now = world.now;
    let good = world.nodes[4].clone_tables();
    let lives = world.nodes[4].engine.alter(now, "oduya");
    world.lives(4, lives);
    assert_ne!(world.nodes[4].clone_tables(), good);
    let orders = world.book.orders;
    assert!(world.until(20 * S, |w| w.nodes[4].clone_tables() == good).is_some(), "mended");
    assert!(world.book.orders > orders);
    // The one that was late is sent what it was reached with, and its fence is lifted.
    world.nodes[3].engine.mode = Mode::Good;
    assert!(world.until(60 * S, |w| w.verdict(3) == Some(Verdict::InLine)).is_some());
    world.run(10 * S);
    assert_eq!(applied(&world, "oduya"), [2, 1, 1, 2, 1, 1]);
    assert_eq!(world.submit(5, "oduya", 2, "long", 45).1["version"], 3);
    in_line(&mut world, 60 * S);
    assert_eq!(applied(&world, "oduya"), [3; 6]);
    world.sound();
}

/// All report figures of their own every second; those that apply the version bad ones.
fn sick(world: &mut World, bad: fn(&mut Health, u64)) -> Value {
    world.submit(0, "oduya", 0, "long", 90);
    in_line(world, 30 * S);
    world.submit(1, "oduya", 1, "long", 45);
    let mut healths = [Health { refused: 0, failed: 0, memory: 100 << 20 }; 6];
    for second in 0..15 {
        for (at, health) in healths.iter_mut().enumerate() {
            health.refused += 1;
            if applied(world, "oduya")[at] == 2 {
                bad(health, second);
            }
            let health = *health;
            world.give(at, Input::Health(health));
        }
        world.run(300 * MS);
    }
    let ever = world.book.machine.registry().desired("oduya").unwrap().set.version;
    assert_eq!(ever, 3, "it went back");
    in_line(world, 60 * S);
    assert_eq!(applied(world, "oduya"), [3; 6]);
    shown(world, 5)
}

#[test]
fn a_wave_that_refuses_more_than_those_not_reached_stops_it() {
    let mut world = world(5, 6, RolloutSettings::default());
    let told = sick(&mut world, |health, _| health.refused += 40);
    assert!(told["why"].as_str().unwrap().starts_with("refusals: "), "{told}");
}

#[test]
fn a_wave_that_takes_more_memory_than_those_not_reached_stops_it() {
    let mut world = world(6, 6, RolloutSettings::default());
    let told = sick(&mut world, |health, _| health.memory += 30 << 20);
    assert!(told["why"].as_str().unwrap().starts_with("memory: "), "{told}");
}

#[test]
fn a_wave_that_fails_more_than_those_not_reached_stops_it() {
    let mut world = world(7, 6, RolloutSettings::default());
    let told = sick(&mut world, |health, _| health.failed += 30);
    assert!(told["why"].as_str().unwrap().starts_with("failures: "), "{told}");
}

/// A first version ever goes back to no rules, as a version.
#[test]
fn the_first_version_ever_goes_back_to_none() {
    let mut world = world(11, 6, short());
    world.nodes[0].engine.mode = Mode::Deaf;
    world.submit(0, "banda", 0, "long", 90);
    world.run(15 * S);
    world.nodes[0].engine.mode = Mode::Good;
    in_line(&mut world, 60 * S);
    let set = &world.book.machine.registry().desired("banda").unwrap().set;
    assert_eq!((set.version, set.rules.len()), (2, 0));
    world.sound();
}

#[test]
fn a_newer_version_takes_the_place_of_one_under_way() {
    let mut world = world(12, 6, RolloutSettings::default());
    world.submit(0, "oduya", 0, "long", 90);
    world.run(500 * MS);
    assert_eq!(applied(&world, "oduya").iter().sum::<u64>(), 1, "the first one has it");
    world.submit(1, "oduya", 1, "long", 45);
    world.run(200 * MS);
    let (first, others) = (applied(&world, "oduya")[0], applied(&world, "oduya")[1..].to_vec());
    assert!((first, others) == (2, vec![0; 5]), "it begins with the same one");
    in_line(&mut world, 30 * S);
    assert_eq!(applied(&world, "oduya"), [2; 6]);
}

/// A plan that is lowered in the middle of a rollout holds for all at once, whether or not their wave came.
#[test]
fn what_a_plan_cuts_does_not_wait_for_waves() {
    let mut world =
        world(13, 6, RolloutSettings { soak: 600 * S, wave_for: 600 * S, ..RolloutSettings::default() });
    world.submit(0, "oduya", 0, "long", 900);
    world.run(S);
    assert_eq!(applied(&world, "oduya").iter().sum::<u64>(), 1);
    let low = Plan { grace: 2 * S, ..(*plan("low", 90)).clone() };
    let mut clients = rig::clients();
    clients.get_mut("oduya").unwrap().plan = PlanSetting::Plan(low.into());
    (0..6).for_each(|at| world.give(at, Input::Clients(clients.clone())));
    world.run(6 * S);
    assert_eq!(applied(&world, "oduya"), [2; 6]);
    let held =
        |at: usize| world.nodes[at].engine.at_home("oduya").unwrap().rules[0].limits.hold_count.unwrap();
    assert_eq!((0..6).map(held).sum::<u64>(), 90);
    // What fits the lower plan while that from before does not, reaches those who wait at once as well.
    world.submit(0, "banda", 0, "long", 900);
    world.run(S);
    world.sound();
}

/// A version that an operator approves goes in waves, and one that is asked for again is the same.
#[test]
fn an_operators_approval_and_a_repeat_change_nothing_of_it() {
    let mut world = world(14, 6, RolloutSettings::default());
    world.submit(0, "chike", 0, "slow", 90);
    assert_eq!(world.answer(1, "ops", "rules/approve/chike/1", "").0, "approved");
    world.run(500 * MS);
    assert_eq!(applied(&world, "chike"), [1, 0, 0, 0, 0, 0]);
    let body = draft(0, &[("slow", 90)]);
    assert_eq!(world.answer(3, "chike", "rules/submit", &body).1["version"], 1);
    in_line(&mut world, 30 * S);
    assert_eq!(applied(&world, "chike"), [1; 6]);
}

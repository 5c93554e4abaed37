//! Members that die, or come and go, as a version reaches them: whose silence is evidence against it, and whose is not.

mod rig;
mod rolling;

use heronroute_drift::Health;
use heronroute_installation::RolloutSettings;
use heronroute_installation::seam::Input;
use rand::Rng;
use rig::node::Folder;
use rig::{MS, S, World};
use rolling::*;

/// Version 1 of 7 members, 5 of them keepers, is in line; m000, m003 and m006 are a zone. m000 is in charge, or m004.
fn seven(seed: u64, leads: bool, rollout: RolloutSettings) -> World {
    let mut world = World::new(seed, 7, 5);
    world.nodes.iter_mut().for_each(|node| (node.hasty, node.rollout) = (true, rollout));
    let mut world = world.begun();
    in_line(&mut world, 30 * S);
    if leads {
        // Nobody else reaches a majority for a while.
        (1..5).for_each(|a| (1..a).for_each(|b| world.cut(a, b)));
        assert!(world.until(30 * S, |w| w.leader() == Some(0)).is_some());
        world.heal();
        in_line(&mut world, 60 * S);
    }
    assert_eq!(world.leader(), Some(if leads { 0 } else { 4 }));
    assert_eq!(world.submit(5, "oduya", 0, "long", 90).1["version"], 1);
    in_line(&mut world, 30 * S);
    world
}

fn version(world: &World) -> u64 {
    world.book.machine.registry().desired("oduya").unwrap().set.version
}

fn why(world: &World) -> String {
    world.book.machine.waves().stop("oduya").map(|stop| stop.why.clone()).unwrap_or_default()
}

fn over(world: &World) -> bool {
    !world.book.machine.waves().running() && world.leader().is_some()
}

fn heard(world: &World) -> usize {
    world.book.machine.waves().of("oduya").map_or(0, |spread| spread.trial.heard.len())
}

/// Waits in small steps.
fn step_until(world: &mut World, what: &str, done: impl Fn(&World) -> bool) {
    let end = world.now + 30 * S;
    while !done(world) {
        assert!(world.now < end && world.book.failed.is_none(), "{what}: {:?}", world.book.failed);
        world.run(MS / 5);
    }
}

#[test]
fn a_first_member_that_died_unnoticed_is_no_evidence() {
    for leads in [false, true] {
        for back in [2 * S, 30 * S] {
            let mut world = seven(1, leads, RolloutSettings::default());
            world.kill(0, Folder::Kept);
            // Where it was in charge, its death is known before another one is.
            let submitted = |w: &mut World| w.submit(5, "oduya", 1, "long", 45).1["version"] == 2;
            while !submitted(&mut world) {
                assert!(world.now < 90 * S);
                world.run(200 * MS);
            }
            let from = world.now;
            world.run(back);
            world.start(0, None);
            in_line(&mut world, 60 * S);
            assert_eq!((version(&world), why(&world)), (2, String::new()), "{leads} {back}");
            assert_eq!(applied(&world, "oduya"), [2; 7]);
            let took = world.now - from;
            assert!(took < back + 25 * S, "{leads} {back}: {took}");
        }
    }
}

/// It is passed over within seconds, and another one of its zone is the first.
#[test]
fn its_zone_comes_next_all_the_same() {
    let mut world = seven(2, false, RolloutSettings::default());
    world.kill(0, Folder::Kept);
    assert_eq!(world.submit(5, "oduya", 1, "long", 45).1["version"], 2);
    let from = world.now;
    let second = |w: &World| applied(w, "oduya").contains(&2);
    step_until(&mut world, "a second first", second);
    assert_eq!(applied(&world, "oduya"), [1, 1, 1, 2, 1, 1, 1]);
    assert!((4 * S..8 * S).contains(&(world.now - from)), "{}", world.now - from);
    step_until(&mut world, "its zone", |w| applied(w, "oduya")[6] == 2);
    assert_eq!(applied(&world, "oduya"), [1, 1, 1, 2, 1, 1, 2]);
    assert!(world.until(20 * S, over).is_some());
    assert_eq!((version(&world), why(&world)), (2, String::new()));
    // Gone all the time, it gets what the others have.
    world.start(0, None);
    in_line(&mut world, 60 * S);
    assert_eq!(applied(&world, "oduya"), [2; 7]);
}

/// What it said before it died is known to the next one in charge, also where it was in charge itself.
#[test]
fn one_that_dies_after_its_word_is_evidence_over_a_change_of_the_one_in_charge() {
    for leads in [false, true] {
        let mut world = seven(3, leads, short());
        assert_eq!(world.submit(5, "oduya", 1, "long", 45).1["version"], 2);
        step_until(&mut world, "its word", |w| heard(w) == 1);
        let old = world.leader().unwrap();
        world.kill(0, Folder::Kept);
        if !leads {
            world.kill(old, Folder::Kept);
        }
        let stopped = |w: &World| version(w) == 3;
        assert!(world.until(40 * S, stopped).is_some(), "{leads}: {}", version(&world));
        assert!(why(&world).contains("wave 1 is not in line in time, m000"), "{}", why(&world));
        assert!((1..7).all(|at| applied(&world, "oduya")[at] != 2), "nobody else got it");
        world.start(0, None);
        if !leads {
            world.start(old, None);
        }
        in_line(&mut world, 60 * S);
        assert_eq!(applied(&world, "oduya"), [3; 7]);
    }
}

/// A version that kills before the first word of it reaches three members and no more.
#[test]
fn one_that_kills_at_once_is_undone_after_three() {
    let mut world = seven(4, false, short());
    assert_eq!(world.submit(5, "oduya", 1, "long", 45).1["version"], 2);
    let mut killed = Vec::new();
    let end = world.now + 60 * S;
    while version(&world) == 2 && world.now < end {
        let struck = (0..7).find(|at| world.nodes[*at].up() && applied(&world, "oduya")[*at] == 2);
        if let Some(at) = struck {
            world.kill(at, Folder::Kept);
            killed.push(at);
        }
        world.run(MS / 5);
        // Two keepers may be gone at a time.
        if killed.len() == 3 {
            for at in killed.iter().copied().filter(|at| *at < 5) {
                if world.nodes[at].member.is_none() && world.leader().is_none() {
                    world.start(at, None);
                }
            }
        }
    }
    assert_eq!((version(&world), killed.len()), (3, 3), "{killed:?}");
    assert!(why(&world).contains("not in line in time"), "{}", why(&world));
    (0..7).filter(|at| killed.contains(at)).for_each(|at| {
        if world.nodes[at].member.is_none() {
            world.start(at, None);
        }
    });
    in_line(&mut world, 60 * S);
    assert_eq!(applied(&world, "oduya"), [3; 7]);
}

/// Two of the last wave die just as it leaves: it goes on without them.
#[test]
fn members_of_a_later_wave_that_died_unnoticed_are_passed_over() {
    for step in moments(4, 40) {
        let mut world = seven(50 + step as u64, true, RolloutSettings::default());
        world.submit(6, "oduya", 1, "long", 45);
        let at = 1 + step as usize % 2;
        step_until(&mut world, "the wave before", |w| wave(w, "oduya") == Some(at - 1));
        let rest = world.rng.random_range(900..1200) * MS;
        let all = if at == 1 { vec![6] } else { vec![2, 5] };
        // Just before their wave leaves, or just after.
        let end = world.now + rest;
        while world.now < end && all.iter().all(|one| applied(&world, "oduya")[*one] == 1) {
            world.run(MS);
        }
        let word = all.iter().any(|one| applied(&world, "oduya")[*one] == 2);
        all.iter().for_each(|one| world.kill(*one, Folder::Kept));
        assert!(world.until(60 * S, over).is_some(), "step {step}");
        assert!(word || version(&world) == 2, "step {step}: {}", why(&world));
        all.iter().for_each(|one| world.start(*one, None));
        in_line(&mut world, 60 * S);
        assert_eq!(applied(&world, "oduya"), vec![version(&world); 7]);
    }
}

/// The zone that a version got to keeps it, though the first member of the next version is passed over with all of that zone.
#[test]
fn a_zone_that_was_reached_is_not_meant_to_go_back() {
    let mut world = seven(5, false, RolloutSettings { soak: 4 * S, ..RolloutSettings::default() });
    world.submit(5, "oduya", 1, "long", 45);
    step_until(&mut world, "the zone", |w| [3, 6].iter().all(|at| applied(w, "oduya")[*at] == 2));
    [0, 3, 6].iter().for_each(|at| world.kill(*at, Folder::Kept));
    assert_eq!(world.submit(5, "oduya", 2, "long", 60).1["version"], 3);
    step_until(&mut world, "one that stands in", |w| [1, 2].iter().any(|at| applied(w, "oduya")[*at] == 3));
    [3, 6].iter().for_each(|at| world.start(*at, None));
    let end = world.now + 20 * S;
    while world.now < end {
        world.run(20 * MS);
        assert!(
            [0, 3, 6].iter().all(|at| applied(&world, "oduya")[*at] >= 2),
            "{:?}",
            applied(&world, "oduya")
        );
    }
    world.start(0, None);
    in_line(&mut world, 60 * S);
    assert_eq!((applied(&world, "oduya"), why(&world)), (vec![3; 7], String::new()));
}

/// The first member, and whoever is in charge, come and go at any moment of the first wave. Whatever came of the version, all
/// have the same in the end; and where the first member went before it had the version, that was not undone.
#[test]
fn a_first_member_that_flaps_leaves_all_with_one_version() {
    let (mut undone, mut through) = (0, 0);
    for step in moments(6, 150) {
        let mut world = seven(100 + step as u64, step % 3 == 0, short());
        let leader = world.leader().unwrap();
        let kept = world.rng.random_bool(0.5);
        world.submit(5, "oduya", 1, "long", 45);
        let soon = world.rng.random_range(0..40_000);
        world.run(soon);
        let (mut had, mut up) = (false, true);
        for _ in 0..world.rng.random_range(1..4) {
            had |= applied(&world, "oduya")[0] == 2;
            world.kill(0, Folder::Kept);
            up = false;
            if !kept && leader != 0 && world.nodes[leader].up() {
                world.kill(leader, Folder::Kept);
            }
            let span = world.rng.random_range(10..7_000) * MS;
            world.run(span);
            if world.rng.random_bool(0.6) {
                world.start(0, None);
                up = true;
                let span = world.rng.random_range(1..2_000) * MS;
                world.run(span);
            }
            if !up {
                break;
            }
        }
        world.run(25 * S);
        had |= up;
        world.sound();
        for at in [0, leader] {
            if world.nodes[at].member.is_none() {
                world.start(at, None);
            }
        }
        in_line(&mut world, 90 * S);
        assert_eq!(applied(&world, "oduya"), vec![version(&world); 7], "step {step}");
        match version(&world) {
            2 => through += 1,
            _ => undone += 1,
        }
        assert!(had || version(&world) == 2, "step {step}: {}", why(&world));
    }
    println!("{through} went through, {undone} undone");
    assert!(through > 0);
}

/// The one in charge dies in the last wave: the next one compares with what the log has of those that were not reached.
fn sick_in_the_last_wave(seed: u64, bad: fn(&mut Health, bool)) -> String {
    let mut world = seven(seed, false, RolloutSettings { soak: 4 * S, ..RolloutSettings::default() });
    world.submit(6, "oduya", 1, "long", 45);
    let mut healths = [Health { refused: 0, failed: 0, memory: 100 << 20 }; 7];
    let mut old = None;
    for _ in 0..200 {
        let last = wave(&world, "oduya") == Some(2);
        for (at, health) in healths.iter_mut().enumerate() {
            health.refused += 1;
            if last {
                bad(health, old.is_none());
            }
            let health = *health;
            world.give(at, Input::Health(health));
        }
        if last && old.is_none() {
            old = world.leader();
            world.run(10 * MS);
            old.iter().for_each(|at| world.kill(*at, Folder::Kept));
        }
        world.run(250 * MS);
        if let Some(at) = old.filter(|at| world.nodes[*at].member.is_none() && world.leader().is_some()) {
            world.start(at, None);
        }
        if over(&world) {
            break;
        }
    }
    assert!(old.is_some(), "the last wave did not leave: {}", why(&world));
    in_line(&mut world, 60 * S);
    assert_eq!(version(&world), if why(&world).is_empty() { 2 } else { 3 });
    why(&world)
}

#[test]
fn the_last_wave_of_another_one_in_charge_is_compared() {
    let told = sick_in_the_last_wave(6, |health, _| health.refused += 20);
    assert!(told.starts_with("refusals: "), "{told}");
    // Once, right after the wave left: whoever came into charge later sees no growth of its own.
    let told = sick_in_the_last_wave(7, |health, first| health.memory += if first { 60 << 20 } else { 0 });
    assert!(told.starts_with("memory: "), "{told}");
    assert_eq!(sick_in_the_last_wave(8, |_, _| {}), "");
}

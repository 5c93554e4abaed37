//! Members die, are paused or cut off in the middle of waves.

mod rig;
mod rolling;

use heronroute_installation::RolloutSettings;
use rig::node::Folder;
use rig::{MS, S, World};
use rolling::*;
use serde_json::Value;

/// The one in charge dies at any moment of a rollout: the next one goes on from what the log has, and no wave is left out.
#[test]
fn the_one_in_charge_dies_between_waves() {
    for step in moments(3, 12) {
        let mut world = world(step as u64, 6, RolloutSettings::default());
        let old = world.leader().unwrap();
        world.submit((old + 1) % 6, "oduya", 0, "long", 90);
        world.run((1 + step * 5) * 100 * MS);
        let before = wave(&world, "oduya");
        world.kill(old, Folder::Kept);
        let mut waves = vec![before];
        for _ in 0..60 {
            world.run(100 * MS);
            let now = wave(&world, "oduya");
            if now.is_some() && waves.last() != Some(&now) {
                waves.push(now);
            }
        }
        assert!(waves.is_sorted(), "step {step}: {waves:?}");
        world.start(old, None);
        in_line(&mut world, 60 * S);
        world.run(S);
        // It came back in time: its version has reached all, without a word of a stop.
        assert_eq!(applied(&world, "oduya"), [1; 6], "step {step}");
        assert_eq!(shown(&mut world, 3), Value::Null, "step {step}");
        world.sound();
    }
}

/// The one in charge is cut off from a wave in its middle: it is late, or the next one in charge goes on; never both, and
/// once the cut is healed all are in line with one version.
#[test]
fn link_cut_in_the_middle_of_a_wave() {
    let (mut stopped, mut through) = (0, 0);
    for step in moments(5, 24) {
        let mut world = world(step as u64, 6, short());
        let leader = world.leader().unwrap();
        world.submit(5, "oduya", 0, "long", 90);
        in_line(&mut world, 30 * S);
        world.submit(5, "oduya", 1, "long", 45);
        world.run(step * 300 * MS);
        match step % 3 {
            // The wave's members, the one in charge, and one that says nothing to the one in charge but to all others.
            0 => world.split(&[0, 3]),
            1 => world.split(&[leader]),
            _ => world.cut(leader, if leader == 0 { 3 } else { 0 }),
        }
        world.run(15 * S);
        world.sound();
        let version = world.book.machine.registry().desired("oduya").unwrap().set.version;
        let stop = world.book.machine.waves().stop("oduya").cloned();
        assert!(!world.book.machine.waves().running(), "step {step}: held up");
        match version {
            2 => through += 1,
            3 => {
                stopped += 1;
                assert!(stop.unwrap().why.contains("not in line in time"));
            }
            _ => panic!("step {step}: version {version}"),
        }
        world.heal();
        in_line(&mut world, 60 * S);
        assert_eq!(applied(&world, "oduya"), vec![version; 6], "step {step}");
    }
    assert!(stopped > 0 && through > 0, "{stopped} stopped, {through} went through");
}

/// Members that are gone when their wave leaves are not waited for, whichever wave it is, nor is the whole of a wave.
#[test]
fn members_that_are_gone_hold_nothing_up() {
    for gone in [vec![0], vec![3], vec![0, 3], vec![4, 5]] {
        let mut world = world(9, 6, RolloutSettings::default());
        gone.iter().for_each(|at| world.kill(*at, Folder::Kept));
        world.run(12 * S);
        world.submit(1, "oduya", 0, "long", 90);
        let from = world.now;
        let over = |w: &World| w.book.machine.waves().of("oduya").is_none();
        assert!(world.until(20 * S, over).is_some(), "{gone:?}");
        assert!(world.now - from < 10 * S, "{gone:?}: {}", world.now - from);
        let live = applied(&world, "oduya");
        assert!((0..6).all(|at| live[at] == u64::from(!gone.contains(&at))), "{gone:?}: {live:?}");
        gone.iter().for_each(|at| world.start(*at, None));
        in_line(&mut world, 60 * S);
        assert_eq!(applied(&world, "oduya"), [1; 6]);
    }
}

/// The only member of a wave is paused when it leaves, before any word: it is passed over, and nothing waits for it for ever.
#[test]
fn a_wave_whose_only_member_is_paused_goes_on_without_it() {
    let mut world = world(10, 6, short());
    let leader = world.leader().unwrap();
    let paused = usize::from(leader == 0);
    if paused == 1 {
        world.kill(0, Folder::Kept);
        world.run(12 * S);
    }
    world.pause(paused);
    world.submit(5, "oduya", 0, "long", 90);
    world.run(20 * S);
    assert!(!world.book.machine.waves().running(), "{:?}", world.book.machine.waves());
    world.resume(paused);
    if paused == 1 {
        world.start(0, None);
    }
    in_line(&mut world, 60 * S);
    assert_eq!(applied(&world, "oduya"), [1; 6]);
    world.sound();
}

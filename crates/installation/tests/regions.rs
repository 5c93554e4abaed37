//! Whole members in two regions: a death, a return, a sleep beyond the right.

mod rig;

use rig::node::Folder;
use rig::{S, World};

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 5, 3);
    world.nodes.iter_mut().for_each(|node| node.regions = true);
    let mut world = world.begun();
    assert!(world.until(30 * S, World::righted).is_some(), "some have no right");
    world
}

#[test]
fn the_dead_are_taken_over_and_come_back_fenced() {
    for seed in 0..3 {
        let mut world = world(seed);
        let name = world.nodes[4].life.name.clone();
        world.kill(4, Folder::Kept);
        let done = |w: &World| w.book.machine.agreed().takeover(&name).is_some_and(|takeover| takeover.done);
        let took = world.until(12 * S, done);
        assert!(took.is_some_and(|took| took > 4 * S), "taken over after {took:?}");
        assert!(world.until(S, |w| w.book.taken_up > 0).is_some(), "the partner's nodes are not told");
        world.start(4, None);
        assert!(world.until(10 * S, World::righted).is_some(), "the new life has no right");
        world.sound();
    }
}

#[test]
fn one_back_at_once_is_not_taken_over_and_one_that_slept_begins_anew() {
    let mut world = world(7);
    let name = world.nodes[4].life.name.clone();
    world.kill(4, Folder::Kept);
    world.run(S);
    world.start(4, None);
    world.run(15 * S);
    assert_eq!(world.book.machine.agreed().takeover(&name), None);
    let start = world.nodes[4].life.start;
    world.pause(4);
    world.run(15 * S);
    assert!(world.book.machine.agreed().is_gone(&name), "it sleeps and is not taken over");
    world.resume(4);
    assert!(world.until(15 * S, World::righted).is_some(), "awake, it has no right");
    assert!(world.nodes[4].life.start > start, "the life that was taken over goes on");
    world.sound();
}

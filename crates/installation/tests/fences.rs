//! Fences: set, kept over restarts, lifted by the one in charge.

mod rig;

use heronroute_drift::Verdict;
use rig::engine::Mode;
use rig::node::Folder;
use rig::{S, World};

/// A member that can't apply version 2, and is fenced for it.
fn fenced(seed: u64) -> (World, usize) {
    fenced_in(World::new(seed, 4, 3))
}

fn fenced_in(mut world: World) -> (World, usize) {
    world.nodes.iter_mut().for_each(|node| (node.hasty, node.rollout.waves) = (true, false));
    let mut world = world.begun();
    assert!(world.until(30 * S, World::in_line).is_some(), "not in line after the start");
    world.submit(0, "oduya", 0, "long", 30);
    world.run(S);
    let at = (world.leader().unwrap() + 1) % 4;
    world.nodes[at].engine.mode = Mode::Unable;
    world.submit(0, "oduya", 1, "long", 10);
    let took = world.until(30 * S, |w| !w.nodes[at].engine.fences.is_empty());
    world.sound();
    assert!(took.is_some(), "not fenced: {:?}", world.verdict(at));
    (world, at)
}

fn under(world: &World, at: usize) -> Option<u64> {
    world.nodes[at].engine.fences.get("oduya").map(|set| set.version)
}

fn is_fenced(world: &World, at: usize) -> bool {
    world.book.machine.fences().is_fenced(&world.peers[at].name, "oduya")
}

fn lifted(world: &mut World, at: usize) {
    world.nodes[at].engine.mode = Mode::Good;
    let done = |w: &World| w.in_line() && !is_fenced(w, at) && w.nodes[at].engine.fences.is_empty();
    let took = world.until(240 * S, done);
    world.sound();
    assert!(took.is_some(), "not lifted: {:?}, in the log {}", world.verdict(at), is_fenced(world, at));
}

#[test]
fn a_fence_is_told_with_what_is_approved_and_follows_it() {
    let (mut world, at) = fenced(1);
    assert_eq!((under(&world, at), is_fenced(&world, at)), (Some(2), true));
    assert_eq!(world.nodes[at].engine.at_home("oduya").unwrap().version, 1, "what applies stays");
    assert!((0..4).filter(|other| *other != at).all(|o| world.nodes[o].engine.fences.is_empty()));
    world.submit(0, "oduya", 2, "long", 5);
    world.run(S);
    assert_eq!(under(&world, at), Some(3), "the newest that is approved");
    lifted(&mut world, at);
    assert_eq!(world.nodes[at].engine.at_home("oduya").unwrap().version, 3);
}

#[test]
fn a_fence_stands_over_restarts_of_the_member_and_of_the_one_in_charge() {
    for seed in 0..4 {
        let (mut world, at) = fenced(seed);
        // It can apply again, and what keeps version 2 out is the fence alone.
        let other = (0..4).find(|o| *o != at && Some(*o) != world.leader()).unwrap();
        if seed % 2 == 0 {
            let leader = world.leader().unwrap();
            world.kill(leader, Folder::Kept);
            world.run(S);
            world.start(leader, None);
            world.run(5 * S);
            assert!(is_fenced(&world, at), "forgotten by a new one in charge");
            assert!(under(&world, at).is_some());
        }
        // With the folder or without: a member that is no keeper has nothing of the log on its disk.
        world.kill(at, if seed < 2 { Folder::Kept } else { Folder::Empty });
        world.run(S);
        world.start(at, None);
        let told = world.until(10 * S, |w| under(w, at) == Some(2));
        world.sound();
        assert!(told.is_some(), "seed {seed}: forgotten by the member");
        assert_eq!(
            world.nodes[at].engine.at_home("oduya").unwrap().version,
            1,
            "nothing came before the fence"
        );
        assert_eq!(world.verdict(other), Some(Verdict::InLine));
        lifted(&mut world, at);
    }
}

#[test]
fn all_restarted_at_once_know_of_a_fence() {
    let (mut world, at) = fenced(7);
    (0..4).for_each(|node| world.kill(node, Folder::Kept));
    world.run(S);
    (0..4).for_each(|node| world.start(node, None));
    let told = world.until(30 * S, |w| under(w, at) == Some(2));
    world.sound();
    assert!(told.is_some() && is_fenced(&world, at), "forgotten");
    lifted(&mut world, at);
}

/// The entry that set it is in no log any more: the state that is learnt as a whole has it.
#[test]
fn a_fence_is_learnt_with_the_state_where_its_entry_is_gone() {
    for keeper in [true, false] {
        let mut world = World::new(11, 4, 3);
        world.nodes.iter_mut().for_each(|node| node.short = true);
        let (mut world, at) = fenced_in(world);
        for n in 0..20 {
            world.submit(0, "banda", n, "long", 30 + n);
        }
        let at = if keeper { at } else { 3 };
        let leader = world.leader().unwrap();
        if !keeper {
            // A second one, at the member that is no keeper.
            world.nodes[3].engine.mode = Mode::Unable;
            world.submit(0, "oduya", 2, "long", 5);
            assert!(world.until(30 * S, |w| !w.nodes[3].engine.fences.is_empty()).is_some());
            for n in 20..40 {
                world.submit(0, "banda", n, "long", 30 + n);
            }
        }
        let version = under(&world, at);
        world.kill(at, Folder::Empty);
        world.run(S);
        world.start(at, None);
        let told = world.until(10 * S, |w| version.is_some() && under(w, at) == version);
        world.sound();
        assert!(told.is_some(), "forgotten at {at}, {leader} in charge");
        // Whoever takes over has learnt it as well.
        world.kill(leader, Folder::Empty);
        world.run(S);
        world.start(leader, None);
        world.run(5 * S);
        for node in 0..4 {
            world.nodes[node].engine.mode = Mode::Good;
        }
        lifted(&mut world, at);
    }
}

/// The node outlives a life of its member: a fence that was lifted meanwhile is lifted there too.
#[test]
fn a_node_is_told_of_a_fence_that_was_lifted_while_its_member_was_away() {
    let (mut world, at) = fenced(9);
    let left = world.nodes[at].engine.fences.clone();
    lifted(&mut world, at);
    world.kill(at, Folder::Kept);
    world.nodes[at].engine.fences = left;
    world.start(at, None);
    let told = world.until(10 * S, |w| w.nodes[at].engine.fences.is_empty());
    world.sound();
    assert!(told.is_some(), "fenced for ever");
}

/// What is approved is not meant for a member before its wave leaves: a fence is over what is meant for it, as all else is.
#[test]
fn a_fence_follows_what_a_rollout_means_for_its_member() {
    let mut world = World::new(6, 4, 3);
    world.nodes.iter_mut().for_each(|node| node.hasty = true);
    let mut world = world.begun();
    assert!(world.until(30 * S, World::in_line).is_some(), "not in line after the start");
    world.submit(0, "oduya", 0, "long", 30);
    let all = |w: &World| w.in_line() && !w.book.machine.waves().running();
    assert!(world.until(30 * S, all).is_some(), "version 1 is with all");
    let spread = |w: &World| w.book.machine.waves().of("oduya").cloned();
    world.submit(0, "oduya", 1, "long", 20);
    assert!(world.until(10 * S, |w| spread(w).is_some_and(|s| s.wave == Some(0))).is_some());
    let first = spread(&world).unwrap().first.unwrap();
    let at = (0..4).rev().find(|at| world.peers[*at].name != first).unwrap();
    world.nodes[at].engine.mode = Mode::Unable;
    let fenced = world.until(30 * S, |w| under(w, at).is_some());
    assert!(fenced.is_some(), "not fenced: {:?}", world.verdict(at));
    assert_eq!(under(&world, at), Some(2), "its wave has left");
    let back = world.until(60 * S, |w| w.book.machine.waves().stop("oduya").is_some());
    assert!(back.is_some(), "it can't be in line, so the rollout goes back");
    world.run(S);
    assert_eq!(under(&world, at), Some(3), "what goes back is for all at once");
    world.submit(0, "oduya", 3, "long", 10);
    assert!(world.until(10 * S, |w| spread(w).is_some_and(|s| s.wave == Some(0))).is_some());
    world.run(S / 2);
    assert_eq!(spread(&world).unwrap().wave, Some(0));
    assert_eq!(under(&world, at), Some(3), "version 4 is for the first member alone");
    world.sound();
}

//! The hard cases, each by name.

mod rig;

use heronroute_drift::{Action, Order, Verdict};
use heronroute_fleet::{Start, Term};
use heronroute_installation::seam::Input;
use heronroute_installation::wire::{Piece, Wire};
use heronroute_installation::{Condition, PlanSetting};
use heronroute_rules::{Plan, RuleLimits};
use rig::engine::Mode;
use rig::node::Folder;
use rig::{MS, S, World, draft, plan};

fn world(seed: u64, members: usize) -> World {
    let mut world = World::new(seed, members, 3);
    world.nodes.iter_mut().for_each(|node| node.hasty = true);
    let mut world = world.begun();
    assert!(world.until(30 * S, World::in_line).is_some(), "not in line after the start");
    world.sound();
    world
}

fn in_line(world: &mut World, within: i64) {
    let took = world.until(within, World::in_line);
    world.sound();
    assert!(took.is_some(), "not in line within {} s", within / S);
}

fn condition(world: &World, at: usize) -> Condition {
    world.nodes[at].member.as_ref().unwrap().condition()
}

#[test]
fn link_cut_in_the_middle_of_an_approval() {
    let mut lost = 0;
    for step in 0..12 {
        let mut world = world(step, 3);
        let leader = world.leader().unwrap();
        let editor = (leader + 1) % 3;
        let body = draft(0, &[("long", 30)]);
        let first = world.ask(editor, "oduya", "rules/submit", &body);
        world.run(step as i64 * 1_500);
        world.split(&[if step % 2 == 0 { editor } else { leader }]);
        world.run(4 * S);
        let told = world.asks[first].told.as_ref().expect("an answer, whatever it is").1.state;
        assert!(["approved", "no majority"].contains(&told), "{told}");
        lost += u64::from(told != "approved");
        world.heal();
        world.run(3 * S);
        let (state, again) = world.submit((leader + 2) % 3, "oduya", 0, "long", 30);
        assert_eq!(
            (state, again["version"].as_u64()),
            ("approved", Some(1)),
            "asked again it is one version"
        );
        in_line(&mut world, 60 * S);
    }
    assert!(lost > 0, "no cut came in the middle");
}

#[test]
fn the_one_in_charge_paused_for_a_minute_then_awake() {
    let mut world = world(2, 3);
    let old = world.leader().unwrap();
    let clock = |w: &World, at: usize| w.nodes[at].clock(w.now);
    let term =
        |w: &World, at: usize| w.nodes[at].member.as_ref().unwrap().in_charge(clock(w, at)).map(|c| c.term);
    let before = term(&world, old).unwrap();
    world.pause(old);
    world.run(10 * S);
    let other = (old + 1) % 3;
    assert_eq!(world.submit(other, "oduya", 0, "long", 30).0, "approved");
    // Something to be acted on, that the one who slept knows of in its term.
    world.nodes[other].engine.mode = Mode::Deaf;
    world.run(50 * S);
    let new = world.leader().unwrap();
    assert!(new != old && term(&world, new).unwrap() > before);
    world.resume(old);
    assert_eq!(term(&world, old), None, "its lease was over before it woke");
    assert_eq!(world.submit(old, "oduya", 0, "late", 5).0, "no majority", "nothing is heard yet");
    world.run(2 * S);
    assert_eq!(condition(&world, old), Condition::Suspected, "the others took it for dead, and it says so");
    assert_eq!(world.leader(), Some(new));
    world.nodes[other].engine.mode = Mode::Good;
    in_line(&mut world, 120 * S);
}

#[test]
fn a_hears_b_and_b_does_not_hear_a() {
    for seed in 0..3 {
        let mut world = world(seed, 3);
        let leader = world.leader().unwrap();
        let other = (leader + 1) % 3;
        let (from, to) = if seed % 2 == 0 { (leader, other) } else { (other, leader) };
        world.cut_way(from, to);
        world.run(10 * S);
        let third = 3 - from - to;
        assert_eq!(world.submit(third, "oduya", 0, "long", 30).0, "approved", "two of three hear each other");
        for at in 0..3 {
            let (state, _) = world.submit(at, "banda", 0, "long", 30);
            assert!(["approved", "no majority"].contains(&state), "{state}");
        }
        world.heal();
        in_line(&mut world, 60 * S);
    }
}

#[test]
fn the_chain_a_b_c() {
    let mut world = world(5, 3);
    let leader = world.leader().unwrap();
    // The one in charge is at an end of the chain.
    world.cut(leader, (leader + 1) % 3);
    world.run(5 * S);
    for (at, name) in [(0, "a"), (1, "b"), (2, "c")] {
        let (state, told) = world.submit(at, "oduya", at as u64, name, 30 + at as u64);
        assert!(["approved", "conflict"].contains(&state), "{state} at {at}: {told}");
    }
    assert!(world.until(10 * S, World::applied).is_some(), "all three apply over the chain");
    world.heal();
    in_line(&mut world, 60 * S);
}

#[test]
fn a_member_restored_from_an_old_folder() {
    for at in 0..4 {
        let mut world = world(6, 4);
        world.submit(0, "oduya", 0, "long", 30);
        world.run(S);
        world.nodes[at].save();
        assert_eq!(world.submit(1, "oduya", 1, "long", 90).0, "approved");
        assert!(world.until(5 * S, World::applied).is_some());
        world.kill(at, Folder::Old);
        world.run(2 * S);
        let old = world.nodes[at].clone_tables();
        world.start(at, None);
        // Until it knows what holds it applies nothing older; the book looks at each Apply.
        world.run(20 * S);
        assert!(world.applied());
        assert_eq!(world.nodes[at].clone_tables(), old);
        assert_eq!(world.submit(at, "oduya", 2, "more", 5).1["version"].as_u64(), Some(3));
        in_line(&mut world, 60 * S);
    }
}

#[test]
fn an_old_folder_that_reaches_nobody_lets_nothing_go() {
    let mut world = world(8, 3);
    world.submit(0, "oduya", 0, "long", 30);
    world.run(S);
    world.nodes[2].save();
    world.submit(1, "oduya", 1, "long", 90);
    assert!(world.until(5 * S, World::applied).is_some());
    let held = world.nodes[2].clone_tables();
    world.split(&[2]);
    world.kill(2, Folder::Old);
    world.start(2, None);
    world.run(20 * S);
    assert_eq!(world.nodes[2].clone_tables(), held, "version 1 would let go of what version 2 keeps");
    assert_eq!(condition(&world, 2), Condition::Alone);
    world.heal();
    in_line(&mut world, 60 * S);
}

#[test]
fn an_empty_keeper() {
    let mut world = world(9, 3);
    world.submit(0, "oduya", 0, "long", 30);
    for at in 0..3 {
        world.kill(at, Folder::Empty);
        world.run(S);
        world.start(at, None);
        let empty = |w: &World| condition(w, at) == Condition::EmptyDisk;
        assert!(world.until(5 * S, empty).is_some(), "it does not know yet what was decided");
        assert_eq!(world.submit((at + 1) % 3, "oduya", at as u64 + 1, "long", 40 + at as u64).0, "approved");
        let settled = |w: &World| condition(w, at) == Condition::Majority;
        assert!(world.until(15 * S, settled).is_some(), "{:?}", condition(&world, at));
        let known = world.nodes[at].member.as_ref().unwrap().registry().desired("oduya");
        assert!(known.is_some_and(|d| d.set.version > at as u64), "all from before its own entry");
        world.run(15 * S);
    }
    assert_eq!(world.book.machine.registry().desired("oduya").unwrap().set.version, 4);
    in_line(&mut world, 60 * S);
}

#[test]
fn both_editors_on_two_sides_of_a_cut() {
    let mut world = world(10, 3);
    let leader = world.leader().unwrap();
    world.split(&[leader]);
    world.run(5 * S);
    let mine = draft(0, &[("mine", 30)]);
    let (state, _) = world.answer(leader, "oduya", "rules/submit", &mine);
    assert_eq!(state, "no majority");
    assert_eq!(world.submit((leader + 1) % 3, "oduya", 0, "theirs", 40).0, "approved");
    world.heal();
    world.run(4 * S);
    // Asked again: joined with what was approved meanwhile, as it touches another rule.
    let (state, told) = world.answer(leader, "oduya", "rules/submit", &mine);
    assert_eq!((state, told["version"].as_u64()), ("approved", Some(2)));
    let (state, _) = world.submit(leader, "oduya", 0, "theirs", 50);
    assert_eq!(state, "conflict");
    assert_eq!(world.book.machine.registry().desired("oduya").unwrap().set.rules.len(), 2);
    in_line(&mut world, 60 * S);
}

#[test]
fn a_plan_lowered_during_a_cut() {
    let mut world = world(11, 3);
    world.submit(0, "oduya", 0, "long", 600);
    assert!(world.until(5 * S, World::applied).is_some());
    world.split(&[2]);
    let low = Plan {
        most: RuleLimits { hold_count: Some(90), ..plan("low", 90).most.clone() },
        ..(*plan("low", 90)).clone()
    };
    for at in 0..3 {
        world.nodes[at].clients.get_mut("oduya").unwrap().plan = PlanSetting::Plan(low.clone().into());
    }
    for at in 0..2 {
        world.kill(at, Folder::Kept);
        world.start(at, None);
        world.run(8 * S);
    }
    let (_, shown) = world.answer(0, "oduya", "rules/show", "");
    assert!(!shown["notices"].as_array().unwrap().is_empty(), "its owner is told: {shown}");
    world.run(15 * S);
    let held = |w: &World, at: usize| {
        w.nodes[at].engine.at_home("oduya").unwrap().rules[0].limits.hold_count.unwrap()
    };
    assert_eq!((held(&world, 0), held(&world, 2)), (30, 200), "cut on one side, as it was on the other");
    world.kill(2, Folder::Kept);
    world.heal();
    world.start(2, None);
    in_line(&mut world, 60 * S);
    assert_eq!((0..3).map(|at| held(&world, at)).sum::<u64>(), 90);
}

#[test]
fn a_rule_altered_on_one_members_disk() {
    let mut world = world(12, 3);
    world.submit(0, "oduya", 0, "long", 30);
    in_line(&mut world, 10 * S);
    let now = world.now;
    let at = (world.leader().unwrap() + 1) % 3;
    let lives = world.nodes[at].engine.alter(now, "oduya");
    world.lives(at, lives);
    let seen = world.until(10 * S, |w| w.verdict(at) == Some(Verdict::Altered)).expect("seen");
    assert!(seen < 5 * S, "{seen}");
    let mended = world.until(60 * S, World::applied).expect("sent again");
    assert!(world.book.orders > 0, "mended by an order after {mended}");
    in_line(&mut world, 60 * S);
}

#[test]
fn a_member_that_reports_and_applies_nothing() {
    for (mode, verdict) in [
        (Mode::Deaf, Verdict::Lagging),
        (Mode::Half, Verdict::PartlyApplied),
        (Mode::Unable, Verdict::CantApply),
        (Mode::Hung, Verdict::NotReporting),
    ] {
        let mut world = World::with(13, 3, 3, 2);
        world.nodes.iter_mut().for_each(|node| node.hasty = true);
        let mut world = world.begun();
        in_line(&mut world, 30 * S);
        let at = (world.leader().unwrap() + 1) % 3;
        world.nodes[at].engine.mode = mode;
        world.submit(0, "oduya", 0, "long", 30);
        let seen = world.until(40 * S, |w| w.verdict(at) == Some(verdict));
        world.sound();
        assert!(seen.is_some(), "{mode:?}: {:?}", world.verdict(at));
        if mode == Mode::Half {
            let leader = world.leader().unwrap();
            let (_, told) = world.answer(leader, "ops", "fleet/drift", "");
            let name = world.peers[at].name.as_str();
            let line = told["members"].as_array().unwrap().iter().find(|l| l["name"] == name).unwrap();
            let partly = &line["partly"];
            assert_eq!((partly["senders"].as_u64(), partly["of"].as_u64()), (Some(1), Some(2)), "{line}");
            let age = world.nodes[at].wall(world.now) - partly["since"].as_i64().unwrap();
            assert!((2 * S..40 * S).contains(&age), "since they differ, not since that was called so: {age}");
            assert!(line["reason"].as_str().unwrap().contains("1 of 2 senders"), "{line}");
        }
        world.run(30 * S);
        assert_ne!(world.verdict(at), Some(Verdict::InLine), "{mode:?}");
        world.nodes[at].engine.mode = Mode::Good;
        in_line(&mut world, 120 * S);
    }
}

#[test]
fn all_restarted_at_once() {
    for seed in 0..4 {
        let mut world = world(seed, 4);
        world.submit(3, "oduya", 0, "long", 30);
        let open = world.ask(3, "banda", "rules/submit", &draft(0, &[("long", 30)]));
        world.run(seed as i64 * 2 * MS);
        (0..4).for_each(|at| world.kill(at, Folder::Kept));
        world.run(S);
        (0..4).for_each(|at| world.start(at, None));
        in_line(&mut world, 60 * S);
        assert_eq!(world.book.machine.registry().desired("oduya").unwrap().set.version, 1);
        let told = world.asks[open].told.as_ref().map(|(_, told)| told.state);
        let (state, again) = world.submit(0, "banda", 0, "long", 30);
        assert_eq!((state, again["version"].as_u64()), ("approved", Some(1)), "first answered {told:?}");
    }
}

#[test]
fn orders_of_an_older_term_from_another_or_too_late_are_refused() {
    let mut world = world(14, 4);
    let leader = world.leader().unwrap();
    let at = 3;
    let node = &world.nodes[at];
    let (to, clock) = (node.life.clone(), node.clock(world.now));
    let term = node.member.as_ref().unwrap().replicas().term();
    let order = |term: u64, answers: i64| {
        let act = Action::SendAgain { clients: vec!["oduya".into()] };
        let order = Order { term: Term(term), to: to.clone(), act };
        Wire::Drift(vec![Piece::Order { order, answers }]).pack().unwrap()
    };
    let give = |world: &mut World, peer: usize, payload: Vec<u8>| {
        world.give(at, Input::Message { peer, payload });
        let counts = world.nodes[at].member.as_ref().unwrap().counts();
        (counts.orders_refused, counts.orders_late)
    };
    assert_eq!(give(&mut world, leader, order(term.0 - 1, clock)), (1, 0), "an older term");
    assert_eq!(give(&mut world, leader, order(0, clock)), (2, 0), "no term");
    assert_eq!(give(&mut world, (leader + 1) % 3, order(term.0, clock)), (3, 0), "not the one in charge");
    assert_eq!(give(&mut world, leader, order(term.0, clock - 6 * S)), (3, 1), "it lay in a queue");
    assert_eq!(give(&mut world, leader, order(term.0, clock + S)), (3, 2), "it answers what was not said");
    assert_eq!(give(&mut world, leader, order(term.0, clock)), (3, 2), "one that counts");
    let clock = world.nodes[at].clock(world.now);
    let order = Order { term, to: to.clone(), act: Action::Fence { client: "oduya".into() } };
    let fence = Wire::Drift(vec![Piece::Order { order, answers: clock }]).pack().unwrap();
    assert_eq!(give(&mut world, leader, fence), (4, 2), "a fence comes by the log, or a restart forgets it");
}

/// A member that is told to begin anew forgets what its clients have asked of it: each hears so at once, in the words for
/// what may be decided yet, and asked again after it is one version.
#[test]
fn questions_that_are_open_when_a_member_begins_anew_are_answered_at_once() {
    let mut world = world(15, 3);
    let leader = world.leader().unwrap();
    let at = (leader + 1) % 3;
    // What it asks is heard, and no answer comes back in time.
    (0..3).filter(|other| *other != at).for_each(|other| world.cut_way(other, at));
    let body = draft(0, &[("long", 30)]);
    let request = world.ask(at, "oduya", "rules/submit", &body);
    let question = world.ask(at, "ops", "fleet/drift", "");
    world.run(20 * MS);
    assert!(world.asks[request].told.is_none() && world.asks[question].told.is_none(), "both wait");
    let now = world.now;
    let start = world.nodes[at].life.start;
    world.give(at, Input::Outlived(Start(start.0 + 1)));
    assert!(world.nodes[at].member.is_none(), "it begins anew");
    let told = |w: &World, ask: usize| w.asks[ask].told.clone().expect("answered");
    let (when, answer) = told(&world, request);
    assert_eq!((when, answer.state), (now, "no majority"));
    let (when, answer) = told(&world, question);
    assert_eq!(when, now);
    assert!(
        answer.text.contains(r#""known":false"#) && answer.text.contains(r#""majority":false"#),
        "{answer:?}"
    );
    world.heal();
    in_line(&mut world, 60 * S);
    assert!(world.nodes[at].life.start > start);
    let (state, again) = world.submit(at, "oduya", 0, "long", 30);
    assert_eq!((state, again["version"].as_u64()), ("approved", Some(1)), "asked again it is one version");
}

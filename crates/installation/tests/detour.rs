//! Links cut for some pairs only: what is said of drift goes through a third member, and what comes that way counts no more
//! than it should.

mod rig;

use heronroute_drift::{Action, Order, Verdict};
use heronroute_fleet::{Life, Start, Term};
use heronroute_installation::Counts;
use heronroute_installation::limits;
use heronroute_installation::seam::{Input, Output};
use heronroute_installation::wire::{Piece, Wire};
use rig::node::Folder;
use rig::{MS, S, World};

/// From a cut, noticed by both ends, until all are in line with what was approved meanwhile, in three waves.
const WITHIN: i64 = 15 * S;

fn world(seed: u64, members: usize) -> World {
    let mut world = World::new(seed, members, 3).begun();
    assert!(world.until(30 * S, World::in_line).is_some());
    world
}

fn counts(world: &World, at: usize) -> Counts {
    world.nodes[at].member.as_ref().unwrap().counts()
}

fn relayed(world: &World) -> u64 {
    (0..world.nodes.len()).filter(|at| world.nodes[*at].up()).map(|at| counts(world, at).relayed).sum()
}

/// Edits pass at all members and all come in line; each is told so, and `rules/check` hears all.
fn goes_on(world: &mut World, say: &str) {
    for at in 0..world.nodes.len() {
        let base = world.book.machine.registry().desired("oduya").unwrap().set.version;
        let (state, told) = world.submit(at, "oduya", base, "long", 30 + at as u64);
        assert_eq!(state, "approved", "{say}, at {at}: {told}");
    }
    let took = world.until(WITHIN, World::in_line);
    world.sound();
    assert!(
        took.is_some(),
        "{say}: {:?}",
        (0..world.nodes.len()).map(|at| world.verdict(at)).collect::<Vec<_>>()
    );
    for at in 0..world.nodes.len() {
        let (_, told) = world.answer(at, "ops", "fleet/drift", "");
        let rows = told["members"].as_array().unwrap();
        let line = |row: &serde_json::Value| row["verdict"] == "in line";
        assert!(rows.len() == world.nodes.len() && rows.iter().all(line), "{say}, at {at}: {told}");
        let (_, told) = world.answer(at, "banda", "rules/check", &rig::draft(0, &[("one", 10)]));
        assert_eq!(told["members heard"], world.nodes.len(), "{say}, at {at}: {told}");
    }
}

#[test]
fn in_a_chain_all_are_in_line_whoever_is_in_charge() {
    for seed in 0..6 {
        // At an end.
        let mut w = world(seed, 3);
        let leader = w.leader().unwrap();
        w.cut(leader, (leader + 1 + seed as usize % 2) % 3);
        w.run(S);
        goes_on(&mut w, "at an end");
        assert!(relayed(&w) > 0, "nothing went through the member between");
        // In the middle.
        let mut w = world(seed, 3);
        let leader = w.leader().unwrap();
        w.cut((leader + 1) % 3, (leader + 2) % 3);
        w.run(S);
        goes_on(&mut w, "in the middle");
    }
}

#[test]
fn where_one_is_heard_and_does_not_hear_all_are_in_line() {
    for seed in 0..6 {
        let mut w = world(seed, 3);
        let leader = w.leader().unwrap();
        let other = (leader + 1 + seed as usize / 2 % 2) % 3;
        let (from, to) = if seed % 2 == 0 { (leader, other) } else { (other, leader) };
        w.cut_heard(from, to, 4 * S);
        goes_on(&mut w, "one way");
    }
}

/// A member in line at the far end of the chain, the one in charge at the other, and the one between.
fn chain(seed: u64, members: usize) -> (World, usize, usize) {
    let mut w = world(seed, members);
    assert_eq!(w.submit(0, "oduya", 0, "long", 30).0, "approved");
    assert!(w.until(WITHIN, World::in_line).is_some());
    // The one in charge stays so where another keeper is between.
    let leader = w.leader().unwrap();
    let far = if members > 3 { 3 } else { (leader + 1) % 3 };
    w.cut(leader, far);
    assert!(w.until(WITHIN, |w| w.now % S < 50 * MS && w.in_line()).is_some());
    w.run(10 * S);
    let leader = w.leader().unwrap();
    assert!(members > 3 || leader != (0..3).find(|at| *at != far && *at != leader).unwrap());
    (w, leader, far)
}

#[test]
fn an_order_goes_through_and_what_is_late_or_doubled_does_not_set_it_back() {
    let (mut w, leader, far) = chain(3, 4);
    assert_eq!(w.verdict(far), Some(Verdict::InLine));
    // Reports of before are heard again and again.
    let life = w.nodes[far].life.clone();
    let carrier = (0..3).find(|at| *at != leader).unwrap();
    let mut old = None;
    let report = |w: &World| heronroute_drift::Report {
        life: w.nodes[far].life.clone(),
        number: 1,
        term: Term(0),
        root: [0; 32],
        clients: Vec::new(),
        health: Default::default(),
        echo: None,
    };
    let now = w.now;
    let lives = w.nodes[far].engine.alter(now, "oduya");
    w.lives(far, lives);
    let from = w.now;
    while w.now < from + 20 * S {
        let wire = old.get_or_insert_with(|| {
            let wire = Wire::Drift(vec![Piece::Report { report: report(&w), sent: 1 }]);
            let to = w.nodes[leader].life.clone();
            Wire::Relayed { from: life.clone(), to, payload: &wire.pack().unwrap() }.pack().unwrap()
        });
        let payload = wire.clone();
        w.give(leader, Input::Message { peer: carrier, payload });
        w.run(20 * MS);
        if w.verdict(far) == Some(Verdict::InLine) && w.now > from + 3 * S && w.book.orders > 0 {
            break;
        }
    }
    w.sound();
    assert!(w.book.orders > 0, "nothing was ordered");
    assert_eq!((w.verdict(far), counts(&w, far).orders_late), (Some(Verdict::InLine), 0));
}

#[test]
fn in_a_ring_of_four_nothing_goes_round() {
    let mut w = world(5, 4);
    w.cut(0, 2);
    w.cut(1, 3);
    w.run(S);
    goes_on(&mut w, "in a ring");
    w.run(5 * S);
    let before = relayed(&w);
    w.run(10 * S);
    // One report every 2 s and a word back.
    let in_ten = relayed(&w) - before;
    assert!((5..=20).contains(&in_ten), "{in_ten} were carried in 10 s");
}

#[test]
fn where_a_carrier_dies_or_keeps_still_another_takes_its_place() {
    for dies in [true, false] {
        let (mut w, leader, far) = chain(7, 5);
        let before: Vec<u64> = (0..5).map(|at| counts(&w, at).relayed).collect();
        w.run(5 * S);
        let carrier = (0..5).find(|at| counts(&w, *at).relayed > before[*at]).expect("somebody carries");
        match dies {
            true => w.kill(carrier, Folder::Kept),
            // Its links stand.
            false => w.pause(carrier),
        }
        w.run(12 * S);
        for _ in 0..20 {
            w.run(S);
            // The one that died may have been a keeper; another may be in charge now.
            assert_eq!(
                w.verdict(far),
                Some(Verdict::InLine),
                "carrier {carrier}, dies: {dies}, leader {leader}"
            );
        }
        w.sound();
    }
}

/// The far end's first two neighbours have no link to the one in charge either, and say so: it is not silent long enough to be
/// called so.
#[test]
fn where_a_neighbour_has_no_link_either_the_next_one_is_tried_at_once() {
    let mut w = World::new(13, 6, 5).begun();
    assert!(w.until(30 * S, World::in_line).is_some());
    let leader = w.leader().unwrap();
    let others: Vec<usize> = (0..5).filter(|at| *at != leader).collect();
    // Of those that are left to it only the last keeper leads on.
    [others[0], others[1], 5].iter().for_each(|at| w.cut(leader, *at));
    w.cut(5, others[2]);
    for _ in 0..150 {
        w.run(100 * MS);
        w.sound();
        assert_eq!((w.leader(), w.verdict(5)), (Some(leader), Some(Verdict::InLine)), "at {} ms", w.now / MS);
    }
    assert!(counts(&w, others[3]).relayed > 0);
}

#[test]
fn a_flood_is_dropped_and_counted_and_delays_nothing_of_the_carrier() {
    let (mut w, leader, far) = chain(9, 4);
    let carrier = (0..3).find(|at| *at != leader).unwrap();
    let flooder = (0..3).find(|at| *at != leader && *at != carrier).unwrap();
    let to = w.nodes[far].life.clone();
    let payload = Wire::Relay { to, payload: &[7; 40] }.pack().unwrap();
    let before = counts(&w, carrier);
    let mut handed = 0;
    for _ in 0..10 * limits::MAX_RELAYED_PER_SECOND {
        let now = w.now;
        let said = w.nodes[carrier].handle(now, Input::Message { peer: flooder, payload: payload.clone() });
        handed += said.iter().filter(|o| matches!(o, Output::Send { peer, .. } if *peer == far)).count();
    }
    let after = counts(&w, carrier);
    assert!(handed <= limits::MAX_RELAYED_PER_SECOND as usize + 8, "{handed} were handed on");
    assert_eq!(after.overloaded - before.overloaded, 9 * u64::from(limits::MAX_RELAYED_PER_SECOND));
    w.run(10 * S);
    assert!(w.in_line(), "and others are carried as before");
}

/// What a member does with something that was handed on to it.
fn given(w: &mut World, at: usize, peer: usize, from: &Life, to: &Life, wire: &Wire) -> (Counts, Counts) {
    let before = counts(w, at);
    let payload = Wire::Relayed { from: from.clone(), to: to.clone(), payload: &wire.pack().unwrap() };
    let payload = payload.pack().unwrap();
    w.give(at, Input::Message { peer, payload });
    (before, counts(w, at))
}

#[test]
fn what_is_carried_counts_for_this_life_of_that_life_and_by_the_log_alone() {
    let (mut w, leader, far) = chain(11, 4);
    let carrier = (0..3).find(|at| *at != leader).unwrap();
    let (own, boss) = (w.nodes[far].life.clone(), w.nodes[leader].life.clone());
    let clock = w.nodes[far].clock(w.now);
    let term = w.nodes[far].member.as_ref().unwrap().replicas().term();
    let order = |term: Term, answers: i64| {
        let order = Order { term, to: own.clone(), act: Action::SendAgain { clients: vec!["oduya".into()] } };
        Wire::Drift(vec![Piece::Order { order, answers }])
    };
    let earlier = |life: &Life| Life { start: Start(life.start.0 - 1), ..life.clone() };
    let fresh = order(term, clock);
    let (a, b) = given(&mut w, far, carrier, &boss, &own, &fresh);
    assert_eq!(a, b, "taken");
    let (a, b) = given(&mut w, far, carrier, &boss, &earlier(&own), &fresh);
    assert_eq!(b.misrouted, a.misrouted + 1, "it was for an earlier life");
    let (a, b) = given(&mut w, far, carrier, &boss, &own, &order(term, clock - 6 * S));
    assert_eq!(b.orders_late, a.orders_late + 1);
    let (a, b) = given(&mut w, far, carrier, &boss, &own, &order(Term(u64::MAX), clock));
    assert_eq!(b.orders_refused, a.orders_refused + 1, "a carrier names a term that the log does not know");
    let middle = w.nodes[carrier].life.clone();
    let (a, b) = given(&mut w, far, carrier, &middle, &own, &fresh);
    assert_eq!(b.misrouted, a.misrouted + 1, "a carrier speaks for itself over its own link");
    let (a, b) = given(&mut w, far, carrier, &boss, &own, &order(term, clock));
    assert_eq!(a, b, "and the one in charge is heard as before");
    for never in
        [Wire::Gossip(&[1]), Wire::Agreement(&[1]), Wire::Log(&[1]), Wire::NoRoute { to: own.name.clone() }]
    {
        let (a, b) = given(&mut w, far, carrier, &boss, &own, &never);
        assert_eq!(b.undecodable, a.undecodable + 1, "{never:?}");
    }
    // To the one in charge: a report of another life than the carrier names.
    let report = heronroute_drift::Reporter::new(earlier(&own)).report(Default::default());
    let report = Wire::Drift(vec![Piece::Report { report, sent: clock }]);
    let (a, b) = given(&mut w, leader, carrier, &own, &boss, &report);
    assert_eq!(b.misrouted, a.misrouted + 1);
    // And what is to be carried: to the sender itself, to the carrier, to nobody.
    for to in [
        boss.clone(),
        w.nodes[carrier].life.clone(),
        Life { name: heronroute_fleet::Name::new("x").unwrap(), start: Start(1) },
    ] {
        let payload = Wire::Relay { to, payload: &[1] }.pack().unwrap();
        let before = counts(&w, carrier);
        w.give(carrier, Input::Message { peer: leader, payload });
        assert_eq!(counts(&w, carrier).misrouted, before.misrouted + 1);
    }
    w.run(S);
    w.sound();
}

//! The table "While they disagree or are cut off" of `docs/fleet.md`, walked row by row: each condition is brought about, and
//! what the member does then is held against [`Condition::allows`] and against the page's words.

mod rig;

use heronroute_drift::{Action, Order};
use heronroute_fleet::Start;
use heronroute_installation::Condition;
use heronroute_installation::condition::ConditionFacts;
use heronroute_installation::seam::Input;
use heronroute_installation::wire::{Piece, Wire};
use rig::node::Folder;
use rig::{S, World};

/// A member in this condition; `None` where the world below has none.
fn bring(condition: Condition) -> (World, usize) {
    let mut world = World::new(21, 4, 3).begun();
    assert!(world.until(30 * S, World::in_line).is_some());
    assert_eq!(world.submit(0, "oduya", 0, "long", 30).0, "approved");
    assert!(world.until(10 * S, World::in_line).is_some());
    let leader = world.leader().unwrap();
    let at = (leader + 1) % 3;
    match condition {
        Condition::Majority => {}
        Condition::Minority => {
            // It reaches one that is no keeper.
            world.split(&[at, 3]);
            world.run(3 * S);
        }
        Condition::Alone => {
            world.split(&[at]);
            world.run(3 * S);
        }
        Condition::Suspected => {
            world.pause(at);
            world.run(8 * S);
            world.resume(at);
            world.run(2 * S);
        }
        Condition::Awake => {
            world.pause(at);
            world.run(5 * S);
            world.nodes[at].waiting.clear();
            world.resume(at);
        }
        Condition::OldDisk | Condition::EmptyDisk => {
            world.kill(at, if condition == Condition::OldDisk { Folder::Kept } else { Folder::Empty });
            world.run(S);
            world.start(at, None);
            let reached = |w: &World| w.nodes[at].member.as_ref().unwrap().condition() == condition;
            while !reached(&world) && world.book.failed.is_none() {
                world.step();
            }
        }
        Condition::Outlived => world.give(at, Input::Outlived(Start(u64::MAX))),
    }
    (world, at)
}

#[test]
fn each_row_is_what_a_member_does() {
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/fleet.md")).unwrap();
    for condition in Condition::ALL {
        let (mut world, at) = bring(condition);
        let say = format!("{condition:?}");
        let allows = condition.allows();
        if condition == Condition::Outlived {
            // It ends, and begins anew above the start that was heard of; there is none above the greatest.
            assert!(world.nodes[at].member.is_none(), "{say}: this life is over");
            continue;
        }
        let member = world.nodes[at].member.as_ref().unwrap();
        if condition != Condition::Awake {
            assert_eq!(member.condition(), condition, "{say}");
        }
        let (life, term) = (world.nodes[at].life.clone(), member.replicas().term());
        // Delivering goes on: what the nodes apply is untouched by any of it.
        assert!(!world.nodes[at].engine.at_home("oduya").unwrap().rules.is_empty());
        // Edits: taken, or turned away at once. First, as one that just woke has to know it before it reads anything.
        let ask = world.ask(at, "banda", "rules/submit", &rig::draft(0, &[("one", 10)]));
        let at_once = world.asks[ask].told.as_ref().map(|(_, told)| told.state);
        match allows.edits {
            true => assert_ne!(at_once, Some("no majority"), "{say}"),
            false => assert_eq!(at_once, Some("no majority"), "{say}"),
        }
        let member = world.nodes[at].member.as_ref().unwrap();
        assert_eq!(member.condition(), condition, "{say}");
        // What it says of itself.
        let ask = world.ask(at, "plain", "fleet/members", "");
        let told = world.asks[ask].told.clone().expect("at once").1.text;
        assert!(told.contains(&format!(r#""condition":"{}""#, condition.word())), "{say}: {told}");
        assert!(told.contains(&format!(r#""majority":{}"#, allows.edits)), "{say}: {told}");
        assert!(page.contains(&format!("| {} |", condition.word())), "{say} is not in docs/fleet.md");
        let ask = world.ask(at, "oduya", "rules/show", "");
        let told = world.asks[ask].told.clone().expect("at once").1.text;
        assert_eq!(told.contains(r#""certain":false"#), !allows.certain, "{say}: {told}");
        // An order of the one in charge.
        let clock = world.nodes[at].clock(world.now);
        let order = Order { term, to: life, act: Action::SendAgain { clients: vec!["oduya".into()] } };
        let wire = Wire::Drift(vec![Piece::Order { order, answers: clock }]);
        let leader =
            world.nodes[at].member.as_ref().unwrap().replicas().leader().map(|(_, life)| life.name.clone());
        if let Some(leader) = leader {
            let peer = world.peers.iter().position(|p| p.name == leader).unwrap();
            let refused = |w: &World| w.nodes[at].member.as_ref().unwrap().counts().orders_refused;
            let before = refused(&world);
            world.give(at, Input::Message { peer, payload: wire.pack().unwrap() });
            assert_eq!(refused(&world) > before, !allows.obeys, "{say}");
        }
        assert!(world.nodes[at].member.as_ref().unwrap().in_charge(clock).is_none() || allows.leads, "{say}");
        world.sound();
    }
}

#[test]
fn of_several_the_one_that_allows_least_holds() {
    let count = |c: Condition| {
        let a = c.allows();
        [a.edits, a.certain, a.applies, a.obeys, a.leads, a.reports, a.agrees].iter().filter(|b| **b).count()
    };
    for bits in 0..128u32 {
        let bit = |n: u32| bits >> n & 1 == 1;
        let facts = ConditionFacts {
            majority: bit(0),
            linked: bit(1),
            stale: bit(2),
            suspected: bit(3),
            settled: bit(4),
            disk: bit(5),
            outlived: bit(6),
        };
        let condition = Condition::of(facts);
        let allows = condition.allows();
        assert!(!allows.edits || facts.majority && !facts.outlived, "{facts:?}");
        assert!(!allows.leads || facts.majority && facts.settled && !facts.outlived, "{facts:?}");
        assert!(
            !allows.obeys || facts.majority && facts.settled && !(facts.stale && facts.linked),
            "{facts:?}"
        );
        let fewer = Condition::of(ConditionFacts { majority: false, ..facts });
        assert!(count(fewer) <= count(condition).max(count(Condition::Minority)), "{facts:?}");
        let over = Condition::of(ConditionFacts { outlived: true, ..facts });
        assert!(count(over) <= count(condition), "{facts:?}");
    }
}

/// The page's columns, by hand: the code's table must not be what it is held against alone.
#[test]
fn the_code_allows_what_the_page_says() {
    let yes_no = |condition: Condition| {
        let a = condition.allows();
        [a.edits, a.certain, a.applies, a.obeys, a.leads, a.reports, a.agrees]
            .map(|b| if b { 'y' } else { 'n' })
    };
    let text = |condition: Condition| yes_no(condition).iter().collect::<String>();
    for (condition, row) in [
        (Condition::Majority, "yyyyyyy"),
        (Condition::Minority, "nnynnyy"),
        (Condition::Alone, "nnynnny"),
        (Condition::Suspected, "yyyyyyy"),
        (Condition::Awake, "nnynnny"),
        (Condition::OldDisk, "ynnnnyy"),
        (Condition::EmptyDisk, "ynnnnyy"),
        (Condition::Outlived, "nnnnnnn"),
    ] {
        assert_eq!(text(condition), row, "{condition:?}");
    }
}

//! Which log entries are void, and which lives are granted a lease.

use heronroute_fleet::{Life, Name, Start, Term};
use heronroute_region::agreed::{Command, Effect, RegionLogState};
use heronroute_region::rights::{Ask, LeaseGranter, Tuning};
use heronroute_region::{List, Place, Region};

fn life(name: &str, start: u64) -> Life {
    Life { name: Name::new(name).unwrap(), start: Start(start) }
}

fn agreed() -> RegionLogState {
    let place =
        |(name, region)| Place { name: Name::new(name).unwrap(), region: Region(Name::new(region).unwrap()) };
    let places = [("a", "north"), ("b", "north"), ("c", "south"), ("d", "south")].map(place);
    let mut agreed = RegionLogState::default();
    let list = List::of(1, places).unwrap();
    assert_eq!(agreed.apply(&Command::List { term: Term(1), list: list.clone() }), Effect::List);
    assert_eq!(agreed.apply(&Command::List { term: Term(2), list }), Effect::Nothing, "not a later one");
    ["a", "b", "c", "d"].iter().for_each(|name| agreed.life_seen(&life(name, 1)));
    agreed
}

fn take_over_command(of: Life, by: &str) -> Command {
    Command::TakeOver { term: Term(1), of, by: Name::new(by).unwrap() }
}

fn taken_over_command(of: Life, by: &str) -> Command {
    Command::TakenOver { of, by: Name::new(by).unwrap(), upto: vec![7, 3] }
}

#[test]
fn a_takeover_is_void_after_a_later_start_within_one_region_or_if_assigned_to_another() {
    let mut agreed = agreed();
    assert_eq!(agreed.apply(&take_over_command(life("a", 1), "b")), Effect::Nothing, "of the same region");
    let copies = Command::Copies { of: life("b", 1), by: vec![Name::new("d").unwrap()] };
    agreed.apply(&copies);
    assert_eq!(agreed.apply(&take_over_command(life("b", 1), "c")), Effect::Nothing, "it has no copy");
    agreed.life_seen(&life("b", 2));
    assert_eq!(agreed.apply(&take_over_command(life("b", 1), "d")), Effect::Nothing, "it is back");
    assert!(matches!(agreed.apply(&take_over_command(life("a", 1), "c")), Effect::TakeOver { .. }));
    assert_eq!(agreed.apply(&take_over_command(life("a", 1), "d")), Effect::Nothing, "c lives");
    assert_eq!(agreed.apply(&taken_over_command(life("a", 1), "d")), Effect::Nothing, "it is c's");
    agreed.apply(&take_over_command(life("c", 1), "b"));
    assert_eq!(
        agreed.apply(&taken_over_command(life("a", 1), "c")),
        Effect::Nothing,
        "c was taken over itself"
    );
    let before = Some(Name::new("c").unwrap());
    let again = agreed.apply(&take_over_command(life("a", 1), "d"));
    assert_eq!(again, Effect::TakeOver { of: life("a", 1), by: Name::new("d").unwrap(), before });
    assert!(matches!(agreed.apply(&taken_over_command(life("a", 1), "d")), Effect::TakenOver { .. }));
    assert_eq!(agreed.upto(&Name::new("a").unwrap()), [7, 3]);
    assert!(!agreed.may_hold_lease(&life("a", 1)) && agreed.is_gone(&Name::new("a").unwrap()));
    agreed.life_seen(&life("a", 2));
    assert!(agreed.may_hold_lease(&life("a", 2)));
    let octets = postcard::to_stdvec(&agreed).unwrap();
    assert_eq!(postcard::from_bytes::<RegionLogState>(&octets).unwrap(), agreed);
}

#[test]
fn a_leader_grants_no_lease_before_reading_its_terms_beginning_nor_beyond_its_own_lease() {
    let agreed = agreed();
    let ask = Ask { life: life("a", 1), asked: 5 };
    let mut giver = LeaseGranter::new(Tuning::default());
    giver.set_leading_term(10, Some(Term(4)), Term(3));
    assert_eq!(giver.ask(10, &agreed, &ask), None, "what the term before it decided was not read");
    giver.set_leading_term(20, Some(Term(4)), Term(4));
    assert!(giver.ask(20, &agreed, &ask).is_some());
    let older = Ask { life: life("a", 0), asked: 5 };
    assert_eq!(giver.ask(20, &agreed, &older), None);
    giver.set_leading_term(30, None, Term(4));
    assert_eq!(giver.ask(30, &agreed, &ask), None);
    // After a gap it waits one full lease again, also for the leases that it granted itself.
    let wait = Tuning::default().held_for();
    giver.set_leading_term(40, Some(Term(4)), Term(4));
    assert!(
        !giver.all_expired(40 + wait - 1, &ask.life.name) && giver.all_expired(40 + wait, &ask.life.name)
    );
    giver.refuse(&ask.life, &Name::new("c").unwrap());
    assert_eq!(giver.ask(50, &agreed, &ask), None, "its take-over is on its way");
}

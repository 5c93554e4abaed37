//! What a keeper that learns makes of a snapshot and of decided slots that others tell it.

use crate::liars::Stage;
use crate::node::Shelf;
use crate::world::{MS, fast};
use heronroute_fleet::replicas::applied_state::AppliedState;
use heronroute_fleet::replicas::item::Item;
use heronroute_fleet::replicas::log::Log;
use heronroute_fleet::replicas::record::Record;
use heronroute_fleet::replicas::state::State;
use heronroute_fleet::replicas::wire::{LogMessage, LogPosition, LogStatus, ReplicaMessage};
use heronroute_fleet::replicas::{Lane, Participation, Tuning};
use heronroute_fleet::{Entry, Life, Name, Request, Start, Term};
use omnipaxos::ballot_leader_election::Ballot;

const LED: Ballot = Ballot { config_id: 1, n: 5, priority: 0, pid: 2 };

fn charge(n: u64) -> Item {
    Item::Leadership { term: Term(n), life: Life { name: Name::new("m1").unwrap(), start: Start(1) } }
}

/// Keeper 1 of three, which starts with five slots taken in a ballot and none known to be decided.
fn took() -> Stage {
    let tuning = Tuning { startup_wait: 1000 * MS, ..fast() };
    let mut first = Stage::on(Shelf::default(), 3, tuning);
    first.hears();
    let shelf = Shelf::default();
    let mut log = Log::open(shelf.clone(), first.group, 1, 3).unwrap();
    let put = Record::Put(0, (0..5).map(charge).collect());
    let records = [Record::Voting(0), Record::Promise(LED), put, Record::Accepted(LED)];
    records.into_iter().for_each(|record| log.write(record));
    assert!(log.commit());
    drop(log);
    let mut s = Stage::on(shelf, 3, tuning);
    s.hears();
    s
}

fn told(s: &mut Stage, told: LogMessage) -> State {
    let bytes = postcard::to_stdvec(&(s.group, told)).unwrap();
    let name = s.peers[1].name.clone();
    s.m.handle(s.now, &name, Lane::Log, &bytes);
    s.hears();
    Log::open(s.shelf.clone(), s.group, 1, 3).unwrap().state().clone()
}

fn tip(decided: u64) -> LogStatus {
    LogStatus { decided, majority: true, bypassed: false, ballot: Some(LED), echo: 0 }
}

fn snapshot(slot: u64) -> Vec<u8> {
    let mut applied_state = AppliedState::default();
    (0..slot).for_each(|n| _ = applied_state.apply(&charge(n)));
    postcard::to_stdvec(&(applied_state, vec![1u8, 2, 3], [0u8; 32])).unwrap()
}

/// Behind a snapshot within the log the rest stays what it was taken as: a majority may rest on it. One that reaches its end leaves
/// nothing of the ballot, and `omnipaxos` would take two logs of one ballot for beginnings of one.
#[test]
fn a_snapshot_to_the_log_s_end_or_beyond_leaves_nothing_of_its_ballot() {
    for (slot, end, kept) in [(2, 5, true), (4, 5, true), (5, 5, false), (7, 7, false)] {
        let bytes = snapshot(slot);
        let total = bytes.len() as u64;
        let state = told(&mut took(), LogMessage::Part { slot, total, at: 0, bytes, tip: tip(slot) });
        assert_eq!((state.decided, state.base_slot, state.end()), (slot, slot, end));
        assert_eq!(state.accepted.map(|b| b.n), Some(if kept { LED.n } else { 0 }), "{slot}");
    }
}

/// One that can't be read, or is of another slot than it says, is not stored: the keeper would not start again.
#[test]
fn a_snapshot_that_can_not_be_read_is_not_kept() {
    for bytes in [vec![0xff; 9], snapshot(3)] {
        let total = bytes.len() as u64;
        let state = told(&mut took(), LogMessage::Part { slot: 7, total, at: 0, bytes, tip: tip(7) });
        assert_eq!((state.decided, state.base_slot, state.end()), (0, 0, 5));
        assert_eq!(state.accepted, Some(LED));
    }
}

/// Decided slots that the log has as they are change nothing of what it was taken in; any other does.
#[test]
fn learnt_slots_leave_the_log_s_ballot_where_they_are_its_own() {
    for (items, end, kept) in [(0..3, 5, true), (0..5, 5, true), (0..6, 6, false), (1..2, 1, false)]
        .map(|(r, e, k)| (r.map(charge).collect::<Vec<_>>(), e, k))
    {
        let decided = items.len() as u64;
        let state = told(&mut took(), LogMessage::Items { from: 0, items, tip: tip(decided) });
        assert_eq!((state.decided, state.end()), (decided, end));
        assert_eq!(state.accepted.map(|b| b.n), Some(if kept { LED.n } else { 0 }));
    }
}

/// A keeper that lacks much stays out of agreement while the one that has it goes on telling it, and no longer.
#[test]
fn a_keeper_catches_up_for_as_long_as_its_teller_tells() {
    for (teller, stays) in [(2, true), (3, false)] {
        let mut s = Stage::new(3);
        s.hears();
        (2..4).for_each(|pid| s.says(pid, ReplicaMessage::Hello(LogPosition::default())));
        s.hears();
        s.says(2, ReplicaMessage::Behind(1000));
        for slot in 0..90 {
            let name = s.peers[teller - 1].name.clone();
            let items = LogMessage::Items { from: slot, items: vec![charge(slot)], tip: tip(1000) };
            let bytes = postcard::to_stdvec(&(s.group, items)).unwrap();
            s.m.handle(s.now, &name, Lane::Log, &bytes);
            s.hears();
            if slot < 30 {
                assert_eq!(*s.m.standing(), Participation::CatchingUp, "{slot} of keeper {teller}");
            }
        }
        assert_eq!(*s.m.standing() == Participation::CatchingUp, stays, "told by keeper {teller}");
    }
}

/// What is asked for and stands in the snapshot is no longer under way; what stands behind it is.
#[test]
fn a_snapshot_closes_the_requests_before_it() {
    let request = |number| Request { from: Life { name: Name::new("a").unwrap(), start: Start(1) }, number };
    let asked = |number| Item::Asked(Entry { request: request(number), wall: 0, body: Vec::new() });
    let mut state = State::new(3);
    assert!(state.apply(Record::Put(0, (0..4).map(asked).collect())));
    assert!(state.apply(Record::Install(2, Vec::new())));
    let open: Vec<bool> = (0..4).map(|number| state.is_open(&request(number))).collect();
    assert_eq!(open, [false, false, true, true]);
}

//! A keeper that came with a log, and what the others say of theirs: which heads count, and what follows from them.

use crate::liars::Stage;
use crate::node::Shelf;
use crate::world::{MS, fast};
use heronroute_fleet::replicas::chain;
use heronroute_fleet::replicas::item::Item;
use heronroute_fleet::replicas::log::Log;
use heronroute_fleet::replicas::record::{Mark, Record};
use heronroute_fleet::replicas::state::State;
use heronroute_fleet::replicas::wire::{LogPosition, ReplicaMessage};
use heronroute_fleet::replicas::{Participation, Tuning};
use heronroute_fleet::{Life, Name, Start, Term};
use omnipaxos::ballot_leader_election::Ballot;

const HELD: u64 = 3;
const LED: Ballot = Ballot { config_id: 1, n: 5, priority: 0, pid: 2 };

fn charge(n: u64) -> Item {
    Item::Leadership { term: Term(n), life: Life { name: Name::new("m1").unwrap(), start: Start(1) } }
}

/// Keeper 1 of these many, which starts with three slots decided, and voted.
fn holds(count: usize) -> Stage {
    let tuning = Tuning { startup_wait: 100 * MS, ..fast() };
    let mut first = Stage::on(Shelf::default(), count, tuning);
    first.hears();
    let shelf = Shelf::default();
    let mut log = Log::open(shelf.clone(), first.group, 1, count).unwrap();
    log.write(Record::Voting(0));
    log.write(Record::Put(0, (0..HELD).map(charge).collect()));
    log.write(Record::Decided(HELD));
    assert!(log.commit());
    drop(log);
    let mut s = Stage::on(shelf, count, tuning);
    s.hears();
    s
}

fn on_disk(s: &Stage) -> State {
    Log::open(s.shelf.clone(), s.group, 1, s.peers.len()).unwrap().state().clone()
}

/// What a keeper says whose log is the same up to `at`, and has `decided` slots.
fn same(s: &Stage, decided: u64, at: u64) -> LogPosition {
    LogPosition { decided, end: decided, at, head: on_disk(s).head(at), ask: false }
}

fn other() -> LogPosition {
    LogPosition { decided: HELD, end: HELD, at: HELD, head: Some([7; 32]), ask: false }
}

fn tells(s: &mut Stage, pid: u64, spot: LogPosition) {
    s.says(pid, ReplicaMessage::Hello(spot));
    (0..4).for_each(|_| _ = s.hears());
}

/// One of five has the same log and lets it in: nobody has another, and nothing is given up.
#[test]
fn let_in_by_one_with_the_same_log_it_keeps_its_own() {
    let mut s = holds(5);
    let spot = same(&s, HELD, HELD);
    tells(&mut s, 2, spot);
    let nonce = s.m.nonce();
    s.says(2, ReplicaMessage::Admit { nonce, slot: 1, ballot: LED });
    (0..4).for_each(|_| _ = s.hears());
    assert_eq!((on_disk(&s).decided, s.m.standing()), (HELD, &Participation::Starting));
    // One that has another lets it in, or is heard beside one that does.
    tells(&mut s, 3, other());
    assert_eq!((on_disk(&s).decided, s.m.standing()), (0, &Participation::Altered));
}

/// Another log is counted and warned of once for each keeper; as many as leave no majority for this one shut it out.
#[test]
fn another_log_is_counted_once_and_gives_this_one_up_where_no_majority_can_have_it() {
    let mut s = holds(5);
    for pid in [2, 2, 3] {
        tells(&mut s, pid, other());
    }
    assert_eq!((s.m.counts().differ, on_disk(&s).decided), (2, HELD), "three may still have this one's");
    tells(&mut s, 4, other());
    assert_eq!((s.m.counts().differ, on_disk(&s).decided), (3, 0));
}

/// A head of a place where the two agree whatever they hold says nothing.
#[test]
fn a_head_short_of_what_both_hold_does_not_count() {
    let mut s = holds(3);
    for at in 0..HELD {
        let spot = same(&s, HELD, at);
        tells(&mut s, 2, spot);
        assert_eq!(*s.m.standing(), Participation::Starting, "at {at}");
    }
    let spot = same(&s, HELD, HELD);
    tells(&mut s, 2, spot);
    assert_eq!(*s.m.standing(), Participation::Voting);
    // Nor beyond it, nor where the other holds less.
    let mut s = holds(3);
    let spot = same(&s, 1, HELD);
    tells(&mut s, 2, spot);
    assert_eq!(*s.m.standing(), Participation::Starting);
    let spot = same(&s, 1, 1);
    tells(&mut s, 2, spot);
    assert_eq!(*s.m.standing(), Participation::Voting);
}

/// Asked for how its log stands it says so once, up to where the other's goes, and does not ask back.
#[test]
fn asked_it_tells_the_head_of_where_both_are() {
    let mut s = holds(3);
    let heads = on_disk(&s);
    for (decided, at) in [(1, 1), (2, 2), (HELD, HELD), (9, HELD)] {
        for ask in [false, true] {
            s.says(2, ReplicaMessage::Hello(LogPosition { decided, end: decided, at: 0, head: None, ask }));
            let said: Vec<LogPosition> = s
                .hears()
                .into_iter()
                .filter_map(|(to, _, said)| match said {
                    ReplicaMessage::Hello(spot) if to == 2 && !spot.ask => Some(spot),
                    _ => None,
                })
                .collect();
            let spot = LogPosition { decided: HELD, end: HELD, at, head: heads.head(at), ask: false };
            if ask {
                assert_eq!(said.last(), Some(&spot), "{decided}");
            } else {
                assert!(said.len() <= 1, "only to a life heard first: {said:?}");
            }
        }
    }
}

/// Given up, nothing of the life before is said: neither its marks nor what it had seen of others.
#[test]
fn what_is_given_up_is_said_no_more() {
    let mut s = holds(3);
    s.mark = on_disk(&s).mark();
    s.says(3, ReplicaMessage::Hello(other()));
    s.says_as(2, ReplicaMessage::Hello(other()), |h| h.seen[2].mark = Mark { epoch: 0, writes: 50 });
    (0..4).for_each(|_| _ = s.hears());
    assert_eq!(*s.m.standing(), Participation::Altered);
    let state = on_disk(&s);
    assert!(!state.voting && state.promise.is_none() && state.end() == 0);
    s.says(2, ReplicaMessage::Hello(LogPosition { ask: true, ..other() }));
    let said = s.hears();
    let head = said.iter().find(|(to, _, _)| *to == 2).map(|(_, head, _)| head.clone()).unwrap();
    assert!(!head.voting);
    assert_eq!(head.opened, Mark::default());
}

fn of(items: impl IntoIterator<Item = u64>) -> State {
    let mut state = State::new(3);
    assert!(state.apply(Record::Put(0, items.into_iter().map(charge).collect())));
    state
}

/// One item altered, two that changed places, or one more: every head from there on is another, and none before.
#[test]
fn a_head_stands_for_all_items_before_it() {
    let (true_one, heads) = (of(0..5), |s: &State| (0..6).map(|slot| s.head(slot)).collect::<Vec<_>>());
    let held = heads(&true_one);
    assert!(held.iter().take(6).all(Option::is_some) && true_one.head(6).is_none());
    for altered in 0..5 {
        let other = heads(&of((0..5).map(|n| if n == altered { 9 } else { n })));
        for slot in 0..6 {
            assert_eq!(other[slot] == held[slot], slot as u64 <= altered, "{altered} altered, slot {slot}");
        }
    }
    assert_ne!(of([1, 0, 2, 3, 4]).head(5), held[5], "another order");
    // The same whether the items came at once, are still kept from the beginning, or were written anew.
    let mut state = of(0..3);
    assert!(state.apply(Record::Trim(2)) && state.apply(Record::Put(3, vec![charge(3), charge(4)])));
    assert_eq!(heads(&state)[2..], held[2..]);
    assert_eq!(state.head(1), None);
    let mut anew = State::new(3);
    assert!(state.full_records(7, 1).into_iter().all(|record| anew.apply(record)));
    assert_eq!(heads(&anew), heads(&state));
}

/// A snapshot over items that were taken behind it: what is kept of them rests on the snapshot's head, not on the log's own.
#[test]
fn what_is_kept_behind_a_snapshot_rests_on_its_head() {
    let mut state = of(0..4);
    let root = [7; 32];
    assert!(state.apply(Record::Install(2, Vec::new())) && state.apply(Record::Root(root)));
    let third = chain::next(&root, &charge(2));
    assert_eq!(state.head(2), Some(root));
    assert_eq!((state.head(3), state.head(4)), (Some(third), Some(chain::next(&third, &charge(3)))));
}

/// Whoever has heard of another log says that it does not vote until it is known whose is the majority's: what it promised may be
/// of a log that nobody else has.
#[test]
fn beside_another_log_it_says_that_it_does_not_vote() {
    let says = |s: &mut Stage| {
        s.says(5, ReplicaMessage::Hello(LogPosition { decided: 9, end: 9, at: 9, head: None, ask: true }));
        let said = s.hears();
        said.iter().find(|(to, _, _)| *to == 5).map(|(_, head, _)| head.voting).unwrap()
    };
    let mut s = holds(5);
    let spot = same(&s, HELD, HELD);
    tells(&mut s, 2, spot);
    assert!(says(&mut s), "nobody has another");
    tells(&mut s, 3, other());
    assert!(!says(&mut s));
    let spot = same(&s, HELD, HELD);
    tells(&mut s, 4, spot);
    assert!(says(&mut s), "three have this one's");
}

//! Guards of the keepers' parts, each by itself: what does not fit is refused, what is old gives way, what is full says so.

use crate::node::Shelf;
use crate::world::{MS, SECOND, World, fast};
use heronroute_fleet::replicas::applied_state::AppliedState;
use heronroute_fleet::replicas::item::Item;
use heronroute_fleet::replicas::learn::{Learn, LearnOutcome, serve};
use heronroute_fleet::replicas::log::{Log, LogError};
use heronroute_fleet::replicas::pending_requests::PendingRequests;
use heronroute_fleet::replicas::record::{HEADER_BYTES, Mark, Record};
use heronroute_fleet::replicas::state::State;
use heronroute_fleet::replicas::store::SharedLog;
use heronroute_fleet::replicas::tuning::{
    MAX_MESSAGE_BYTES, MAX_PENDING, MAX_SNAPSHOT_BYTES, MAX_UNDECIDED_BYTES, PIECE_BYTES,
};
use heronroute_fleet::replicas::wire::{LogMessage, LogStatus, pack, unpack};
use heronroute_fleet::replicas::{Answer, Lane, Tuning};
use heronroute_fleet::{Entry, Life, Name, Request, Start, Term};
use heronroute_journal::Storage as _;
use heronroute_journal::disk::Faults;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::Storage as _;

fn leader(n: u64) -> Item {
    Item::Leadership { term: Term(n), life: Life { name: Name::new("a").unwrap(), start: Start(1) } }
}

fn entry(number: u64, size: usize) -> Entry {
    let from = Life { name: Name::new("m9").unwrap(), start: Start(1) };
    Entry { request: Request { from, number }, wall: 0, body: vec![7; size] }
}

fn ballot(n: u32) -> Ballot {
    Ballot::with(1, n, 0, 2)
}

/// Slots 2 to 5 are kept, those before 4 are decided, ballot 9 is promised.
fn state() -> State {
    let mut state = State::new(3);
    let records = [
        Record::Put(0, (0..6).map(leader).collect()),
        Record::Decided(4),
        Record::Trim(2),
        Record::Promise(ballot(9)),
    ];
    assert!(records.into_iter().all(|record| state.apply(record)));
    state
}

#[test]
fn a_state_takes_no_place_that_it_does_not_have() {
    assert!(!state().apply(Record::Put(1, vec![leader(1)])), "below what is kept");
    assert!(!state().apply(Record::Put(7, vec![leader(1)])), "a hole");
    assert!(!state().apply(Record::Trim(7)));
    assert!(state().range(1, 3).is_empty() && state().range(4, 7).is_empty());
    let mut state = state();
    assert!(state.apply(Record::Install(3, vec![1])));
    assert_eq!((state.decided, state.end()), (4, 6), "what was decided beyond it stays so");
    assert!(state.apply(Record::Accepted(ballot(9))) && state.apply(Record::Lost));
    assert_eq!((state.end(), state.accepted, state.promise), (4, None, Some(ballot(9))));
}

#[test]
fn marks_readmissions_and_ballots_only_rise() {
    let mut state = state();
    state.writes = 5;
    assert_eq!(state.mark(), Mark::default(), "of one that does not vote nothing binds");
    assert!(state.apply(Record::Voting(1)));
    assert_eq!(state.mark(), Mark { epoch: 1, writes: 5 });
    let readmit = || vec![Item::Readmit { pid: 2, nonce: 1 }];
    assert!(state.apply(Record::Put(6, readmit())) && state.apply(Record::Put(5, readmit())));
    assert_eq!(state.epochs, [0, 7, 0], "the greatest that this log ever had");
    assert!(state.follow(Some(ballot(8))).is_empty() && state.follow(None).is_empty());
    assert_eq!(state.follow(Some(ballot(10))), [Record::Promise(ballot(10))]);
    let own = Ballot::with(1, 0, 0, 1);
    let known = state.learn_records(2, vec![leader(2)], None, own);
    assert_eq!(known, [Record::Decided(4)], "nothing decided is taken back by one that knows less");
    let other = state.learn_records(4, vec![leader(77)], None, own);
    assert!(other.contains(&Record::Accepted(own)), "no longer the log of the ballot that it was taken in");
    let mut applied_state = AppliedState::default();
    applied_state.apply(&leader(5));
    applied_state.apply(&leader(3));
    assert_eq!(applied_state.leader.map(|(term, _)| term), Some(Term(5)));
}

#[test]
fn agreement_takes_nothing_decided_back_and_promises_nobody() {
    let mut log = Log::open(Shelf::default(), 7, 1, 3).unwrap();
    log.write(Record::Put(0, (0..6).map(leader).collect()));
    log.write(Record::Decided(4));
    let mut shared = SharedLog::new(log);
    shared.set_decided_idx(2).unwrap();
    shared.set_promise(Ballot::default()).unwrap();
    assert_eq!((shared.get_decided_idx().unwrap(), shared.get_promise().unwrap()), (4, None));
    shared.set_decided_idx(5).unwrap();
    assert_eq!(shared.get_decided_idx().unwrap(), 5);
}

#[test]
fn a_commit_left_out_one_that_does_not_fit_and_none_after_a_failure() {
    let mut shelf = Shelf::default();
    let mut log = Log::open(shelf.clone(), 7, 1, 3).unwrap();
    let mut ends = Vec::new();
    for n in 1..4 {
        log.write(Record::Promise(ballot(n)));
        assert!(log.commit());
        ends.push(shelf.read("agreed").unwrap().len());
    }
    let whole = shelf.read("agreed").unwrap();
    let with = |bytes: &[u8]| {
        let mut shelf = Shelf::default();
        shelf.create("agreed").unwrap();
        shelf.append("agreed", bytes).unwrap();
        Log::open(shelf, 7, 1, 3).map(|log| log.state().promise)
    };
    assert!(matches!(with(&whole), Ok(Some(b)) if b.n == 3));
    assert!(matches!(with(&[&whole[..ends[0]], &whole[ends[1]..]].concat()), Err(LogError::Broken(_))));
    // A frame that is whole, and says what can't be.
    let mut frame = Vec::new();
    let payload = postcard::to_stdvec(&Record::Trim(99)).unwrap();
    heronroute_fleet::replicas::record::write(4, &payload, &mut frame);
    assert_eq!(frame.len(), HEADER_BYTES + payload.len());
    assert!(matches!(with(&[&whole[..], &frame].concat()), Err(LogError::Broken(_))));
    // The disk is well again; what it holds is not known any more.
    let steps = shelf.disk().steps;
    shelf.disk.lock().unwrap().faults = Faults { sync: steps + 2, ..Faults::default() };
    log.write(Record::Promise(ballot(4)));
    assert!(!log.commit() && log.failed().is_some());
    shelf.disk.lock().unwrap().faults = Faults::default();
    let steps = shelf.disk().steps;
    log.write(Record::Promise(ballot(5)));
    assert!(!log.has_pending() && !log.commit());
    assert_eq!((shelf.disk().steps, log.state().promise.map(|b| b.n)), (steps, Some(4)));
    shelf.sync("agreed").unwrap();
}

fn tip(decided: u64, majority: bool, echo: i64) -> LogStatus {
    LogStatus { decided, majority, bypassed: false, ballot: None, echo }
}

fn part(slot: u64, total: u64, at: u64, bytes: &[u8]) -> LogMessage {
    LogMessage::Part { slot, total, at, bytes: bytes.to_vec(), tip: tip(9, true, 0) }
}

#[test]
fn what_is_learnt_comes_in_order_bounded_and_newest_word_first() {
    let mut learn = Learn::new(3, 0);
    let none = |echo, majority| LogMessage::Items { from: 9, items: vec![], tip: tip(9, majority, echo) };
    learn.hear(10, 2, 9, none(100, true));
    assert_eq!(learn.with_majority(10, 50), None, "it answers what was not asked yet");
    learn.hear(10, 2, 9, none(5, true));
    learn.hear(10, 2, 9, none(3, false));
    assert_eq!(learn.with_majority(10, 50), Some(2), "an older word came late");
    let items = LogMessage::Items { from: 8, items: vec![leader(1)], tip: tip(9, true, 5) };
    assert_eq!(learn.hear(10, 2, 7, items), LearnOutcome::Nothing, "another place than was asked for");
    let big = MAX_SNAPSHOT_BYTES as u64 * 2 + 1;
    for wrong in [part(7, 1, 0, b"x"), part(9, big, 0, b"x"), part(9, 0, 0, b"")] {
        assert_eq!(learn.hear(10, 2, 7, wrong), LearnOutcome::Nothing);
    }
    let mut learn = Learn::new(3, 0);
    assert_eq!(learn.hear(10, 2, 7, part(9, 4, 0, b"ab")), LearnOutcome::Nothing);
    assert_eq!(learn.hear(10, 2, 7, part(9, 4, 0, b"ab")), LearnOutcome::Nothing, "the same part again");
    assert_eq!(learn.hear(10, 2, 7, part(9, 4, 2, b"cd")), LearnOutcome::Snapshot(9, b"abcd".to_vec()));
    learn.hear(10, 2, 7, part(9, 4, 0, b"ab"));
    learn.hear(10, 2, 7, part(10, 4, 0, b"ef"));
    assert_eq!(learn.hear(10, 2, 7, part(10, 4, 2, b"gh")), LearnOutcome::Snapshot(10, b"efgh".to_vec()));
}

#[test]
fn what_is_served_is_bounded_and_begins_anew_for_another_snapshot() {
    let mut state = State::new(3);
    let items = (0..6).map(|n| Item::Asked(entry(n, 40_000))).collect();
    let base = Record::Base(2, (0..10).collect());
    for record in [Record::Put(0, items), Record::Decided(6), base] {
        assert!(state.apply(record));
    }
    let LogMessage::Items { items, .. } = serve(&state, 0, None, tip(6, true, 0)) else { panic!() };
    assert!(!items.is_empty() && items.iter().map(Item::bytes).sum::<u64>() <= PIECE_BYTES as u64);
    assert!(state.apply(Record::Trim(2)));
    for (asked, at) in [(None, 0), (Some((2, 4)), 4), (Some((1, 4)), 0), (Some((2, 10)), 0)] {
        let LogMessage::Part { at: served, bytes, .. } = serve(&state, 0, asked, tip(6, true, 0)) else {
            panic!()
        };
        assert_eq!((served, bytes.len() as u64), (at, 10 - at), "{asked:?}");
    }
}

#[test]
fn too_many_too_long_and_more_than_a_message() {
    let mut pending_requests = PendingRequests::default();
    assert!((0..MAX_PENDING as u64).all(|n| pending_requests.take(entry(n, 1), 9)));
    assert!(!pending_requests.take(entry(99, 1), 9) && pending_requests.take(entry(0, 1), 9));
    let refuse = LogMessage::Refuse { request: entry(1, 0).request, busy: true };
    let mut bytes = pack(&refuse).unwrap();
    assert_eq!(unpack::<LogMessage>(&bytes), Some(refuse));
    bytes.push(0);
    assert_eq!(unpack::<LogMessage>(&bytes), None, "something behind it");
    let long = part(9, 1, 0, &vec![0; MAX_MESSAGE_BYTES]);
    assert!(pack(&long).is_none() && unpack::<LogMessage>(&postcard::to_stdvec(&long).unwrap()).is_none());
}

fn begun(seed: u64, replicas: usize, tuning: Tuning) -> World {
    let mut w = World::new(seed, replicas, 1, tuning);
    w.settle_down(6 * SECOND);
    w
}

fn bytes(w: &World, i: usize) -> u64 {
    w.nodes[i].member.as_ref().unwrap().sizes().0
}

#[test]
fn a_leader_takes_a_request_once_and_only_so_much_that_is_not_decided() {
    let mut w = begun(30, 3, fast());
    let leader = w.in_charge().unwrap();
    (0..4).for_each(|i| w.cut_link(leader, i));
    let before = bytes(&w, leader);
    w.ask_new(leader, 1_000);
    w.run(w.now + 600 * MS);
    let one = bytes(&w, leader) - before;
    assert!((1_000..2_000).contains(&one), "it was sent on twice more, and stands once: {one}");
    let mut w = begun(31, 3, fast());
    let leader = w.in_charge().unwrap();
    (0..4).for_each(|i| w.cut_link(leader, i));
    let count = MAX_UNDECIDED_BYTES as usize / 40_000 + 3;
    let asked: Vec<_> = (0..count).map(|_| w.ask_new(leader, 40_000)).collect();
    let busy = asked.iter().filter(|r| w.answers.get(r) == Some(&Answer::Busy)).count();
    assert!((1..=3).contains(&busy), "{busy} of {count}");
    let long = w.ask_new(leader, 70_000);
    assert_eq!(w.answers.get(&long), Some(&Answer::Long));
}

#[test]
fn what_another_asks_is_looked_at_before_it_is_sent_on() {
    let mut w = begun(32, 3, fast());
    let leader = w.in_charge().unwrap();
    let follower = (leader + 1) % 3;
    let digest = w.digest();
    let ask = |w: &mut World, i: usize, from: &Name, digest: u32, entry: Entry, hops: u8| {
        let clock = w.nodes[i].clock(w.now);
        let bytes = postcard::to_stdvec(&(digest, LogMessage::Ask { entry, hops })).unwrap();
        let m = w.nodes[i].member.as_mut().unwrap();
        let before = m.counts();
        m.handle(clock, from, Lane::Log, &bytes);
        let after = m.counts();
        w.settle(i);
        w.run(w.now + 300 * MS);
        (after.refused - before.refused, after.foreign - before.foreign, w.history.len())
    };
    let (learner, stranger) = (w.peers[3].name.clone(), Name::new("m8").unwrap());
    assert_eq!(ask(&mut w, leader, &stranger, digest, entry(1, 5), 0), (1, 0, 0), "not in the settings");
    assert_eq!(ask(&mut w, leader, &learner, digest, entry(1, 70_000), 0), (1, 0, 0), "too long");
    assert_eq!(
        ask(&mut w, leader, &learner, digest ^ 1, entry(1, 5), 0),
        (0, 1, 0),
        "another installation's"
    );
    assert_eq!(ask(&mut w, follower, &learner, digest, entry(1, 5), 2), (0, 0, 0), "sent on often enough");
    assert_eq!(ask(&mut w, follower, &learner, digest, entry(1, 5), 1), (0, 0, 1));
    let before = bytes(&w, leader);
    assert_eq!(ask(&mut w, leader, &learner, digest, entry(1, 5), 0), (0, 0, 1));
    assert_eq!(bytes(&w, leader), before, "decided before: it does not go into the log again");
}

/// One that only learns is no part of a majority, however well it is heard.
#[test]
fn a_keeper_that_does_not_vote_is_no_majority() {
    let mut w = begun(33, 3, Tuning { readmit: false, ..fast() });
    let leader = w.in_charge().unwrap();
    let (x, other) = ((leader + 1) % 3, (leader + 2) % 3);
    w.kill(x);
    w.wipe(x);
    w.start(x);
    w.run(w.now + 4 * SECOND);
    w.kill(other);
    w.run(w.now + 2 * SECOND);
    let asked = w.ask_new(leader, 10);
    assert_eq!(w.answers.get(&asked), Some(&Answer::NoMajority), "{}", w.tell());
    assert!(!w.nodes[leader].member.as_ref().unwrap().majority(w.nodes[leader].clock(w.now)));
}

#[test]
fn a_keeper_alone_whose_disk_failed_is_not_in_charge() {
    let mut w = begun(34, 1, fast());
    assert_eq!(w.in_charge(), Some(0));
    w.halts_are_expected = true;
    let steps = w.nodes[0].shelf.disk().steps;
    w.nodes[0].shelf.disk.lock().unwrap().faults.sync = steps + 2;
    w.ask_new(0, 10);
    w.run(w.now + SECOND);
    assert_eq!(w.in_charge(), None);
    assert!(w.history.is_empty());
}

//! Each bound of `check.rs`, one by one: a message that is right is taken, and with one figure out of its bound it is not.

use heronroute_fleet::replicas::check::{Verdict, check};
use heronroute_fleet::replicas::item::Item;
use heronroute_fleet::replicas::record::Record;
use heronroute_fleet::replicas::state::State;
use heronroute_fleet::replicas::tuning::MAX_SYNC_BYTES;
use heronroute_fleet::{Entry, Life, Name, Request, Start, Term};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::messages::ballot_leader_election::{
    BLEMessage, HeartbeatMsg, HeartbeatReply, HeartbeatRequest,
};
use omnipaxos::messages::sequence_paxos::*;
use omnipaxos::storage::StopSign;
use omnipaxos::util::{LogSync, SequenceNumber};

/// Keeper 1 of three judges what 2 says.
const OWN: u64 = 1;
const FROM: u64 = 2;
/// A place and a ballot that can't be.
const FAR: usize = 1 << 46;
const HIGH: u32 = 1 << 30;

fn item(n: u64) -> Item {
    Item::Leadership { term: Term(n), life: Life { name: Name::new("a").unwrap(), start: Start(1) } }
}

/// Slots 2 to 5 are kept, those before 4 are decided.
fn state() -> State {
    let mut state = State::new(3);
    for record in [Record::Put(0, (0..6).map(item).collect()), Record::Decided(4), Record::Trim(2)] {
        assert!(state.apply(record));
    }
    state
}

fn of(pid: u64) -> Ballot {
    Ballot::with(1, 7, 0, pid)
}

/// Ballots that nobody can have; with `theirs`, also ones that the sender can't have.
fn wrong(pid: u64, theirs: bool) -> Vec<Ballot> {
    let mut all = vec![
        Ballot::with(1, HIGH, 0, pid),
        Ballot::with(1, 7, 1, pid),
        Ballot::with(1, 7, 0, 4),
        Ballot::with(2, 7, 0, pid),
    ];
    if theirs {
        all.extend([Ballot::with(1, 7, 0, 3), Ballot::with(0, 7, 0, pid)]);
    }
    all
}

fn paxos(msg: PaxosMsg<Item>) -> Message<Item> {
    Message::SequencePaxos(PaxosMessage { from: FROM, to: OWN, msg })
}

fn judged(mut message: Message<Item>, leads: bool) -> Verdict {
    check(&mut message, FROM, OWN, 3, &state(), leads)
}

fn takes(message: Message<Item>) {
    let say = format!("{message:?}");
    assert_eq!(judged(message, false), Verdict::Take, "{say}");
}

fn drops(message: Message<Item>) {
    let say = format!("{message:?}");
    assert_eq!(judged(message, false), Verdict::Drop, "{say}");
}

fn sync(sync_idx: usize, items: std::ops::Range<u64>) -> LogSync<Item> {
    LogSync { decided_snapshot: None, suffix: items.map(item).collect(), sync_idx, stopsign: None }
}

#[test]
fn only_what_the_link_s_keeper_says_to_this_one() {
    let request = || HeartbeatMsg::Request(HeartbeatRequest { round: 1 });
    for (from, to, verdict) in [(FROM, OWN, Verdict::Take), (3, OWN, Verdict::Drop), (FROM, 3, Verdict::Drop)]
    {
        let beat = Message::BLE(BLEMessage { from, to, msg: request() });
        assert_eq!(judged(beat, false), verdict, "from {from} to {to}");
        let msg = PaxosMsg::NotAccepted(NotAccepted { n: of(3) });
        let paxos = Message::SequencePaxos(PaxosMessage { from, to, msg });
        assert_eq!(judged(paxos, false), verdict, "from {from} to {to}");
    }
}

#[test]
fn heartbeats() {
    let reply = |ballot, leader| {
        let msg = HeartbeatMsg::Reply(HeartbeatReply { round: 1, ballot, leader, happy: true });
        Message::BLE(BLEMessage { from: FROM, to: OWN, msg })
    };
    takes(reply(of(FROM), of(3)));
    takes(reply(of(FROM), Ballot::default()));
    wrong(FROM, true).into_iter().for_each(|b| drops(reply(b, of(3))));
    wrong(3, false).into_iter().for_each(|b| drops(reply(of(FROM), b)));
}

#[test]
fn ballots_asked_for_and_refused() {
    takes(paxos(PaxosMsg::PrepareReq(PrepareReq { n: of(3) })));
    takes(paxos(PaxosMsg::NotAccepted(NotAccepted { n: of(3) })));
    for n in wrong(3, false) {
        drops(paxos(PaxosMsg::PrepareReq(PrepareReq { n })));
        drops(paxos(PaxosMsg::NotAccepted(NotAccepted { n })));
    }
}

#[test]
fn prepare() {
    let prepare = |n, n_accepted, decided_idx, accepted_idx| {
        paxos(PaxosMsg::Prepare(Prepare { n, decided_idx, n_accepted, accepted_idx }))
    };
    takes(prepare(of(FROM), of(3), 4, 4));
    takes(prepare(of(FROM), Ballot::default(), 2, FAR - 1));
    wrong(FROM, true).into_iter().for_each(|n| drops(prepare(n, of(3), 4, 5)));
    wrong(3, false).into_iter().for_each(|n| drops(prepare(of(FROM), n, 4, 5)));
    drops(prepare(of(FROM), of(3), 5, 4));
    drops(prepare(of(FROM), of(3), 4, FAR));
    assert_eq!(judged(prepare(of(FROM), of(3), 1, 4), false), Verdict::Behind, "trimmed here");
}

#[test]
fn promise() {
    let promise = |n, n_accepted, decided_idx, accepted_idx, log_sync| {
        paxos(PaxosMsg::Promise(Promise { n, n_accepted, decided_idx, accepted_idx, log_sync }))
    };
    takes(promise(of(OWN), of(3), 4, 4, None));
    takes(promise(of(OWN), of(3), 8, 8, Some(sync(4, 4..8))));
    wrong(OWN, true).into_iter().for_each(|n| drops(promise(n, of(3), 4, 5, None)));
    wrong(3, false).into_iter().for_each(|n| drops(promise(of(OWN), n, 4, 5, None)));
    drops(promise(of(OWN), of(3), 5, 4, None));
    drops(promise(of(OWN), of(3), 4, FAR, None));
    // Decided beyond what is here and what it brings.
    takes(promise(of(OWN), of(3), 6, 9, None));
    drops(promise(of(OWN), of(3), 7, 9, None));
    drops(promise(of(OWN), of(3), 9, 9, Some(sync(4, 4..8))));
    drops(promise(of(OWN), of(3), 6, 9, Some(sync(7, 7..9))));
    assert_eq!(judged(promise(of(OWN), of(3), 1, 4, None), false), Verdict::Behind, "trimmed here");
    // One that comes again where this keeper leads already: its log is not looked at.
    let mut again = promise(of(OWN), of(3), 9, 9, Some(sync(7, 7..9)));
    assert_eq!(check(&mut again, FROM, OWN, 3, &state(), true), Verdict::Take);
    let Message::SequencePaxos(PaxosMessage { msg: PaxosMsg::Promise(again), .. }) = again else { panic!() };
    assert!(again.log_sync.is_none());
}

#[test]
fn what_is_to_be_accepted() {
    let accept = |n, session: usize, counter: usize, decided_idx, log_sync| {
        let seq_num = SequenceNumber { session: session as u64, counter: counter as u64 };
        paxos(PaxosMsg::AcceptSync(AcceptSync { n, seq_num, decided_idx, log_sync }))
    };
    takes(accept(of(FROM), FAR - 1, FAR - 1, 8, sync(4, 4..8)));
    takes(accept(of(FROM), 1, 1, 4, sync(6, 6..8)));
    wrong(FROM, true).into_iter().for_each(|n| drops(accept(n, 1, 1, 4, sync(4, 4..8))));
    drops(accept(of(FROM), FAR, 1, 4, sync(4, 4..8)));
    drops(accept(of(FROM), 1, FAR, 4, sync(4, 4..8)));
    drops(accept(of(FROM), 1, 1, 9, sync(4, 4..8)));
    drops(accept(of(FROM), 1, 1, 4, sync(7, 7..8)));
    // It would end before what is decided here.
    drops(accept(of(FROM), 1, 1, 3, sync(2, 2..3)));
    let stop = StopSign { next_config: Default::default(), metadata: None };
    drops(accept(of(FROM), 1, 1, 4, LogSync { stopsign: Some(stop), ..sync(4, 4..8) }));
    let snapshot = LogSync {
        decided_snapshot: Some(omnipaxos::storage::SnapshotType::Complete(omnipaxos::storage::NoSnapshot)),
        ..sync(4, 4..8)
    };
    drops(accept(of(FROM), 1, 1, 4, snapshot));
}

/// What is decided here is never written over, whatever a part of a log that begins before it says of it.
#[test]
fn what_is_decided_is_cut_from_a_part_of_a_log() {
    let seq_num = SequenceNumber { session: 1, counter: 1 };
    let other = LogSync { suffix: (2..8).map(|n| item(n + 100)).collect(), ..sync(2, 0..0) };
    let mut message =
        paxos(PaxosMsg::AcceptSync(AcceptSync { n: of(FROM), seq_num, decided_idx: 4, log_sync: other }));
    assert_eq!(check(&mut message, FROM, OWN, 3, &state(), false), Verdict::Take);
    let Message::SequencePaxos(PaxosMessage { msg: PaxosMsg::AcceptSync(accept), .. }) = message else {
        panic!()
    };
    assert_eq!((accept.log_sync.sync_idx, accept.log_sync.suffix.len()), (4, 4));
    assert_eq!(accept.log_sync.suffix[0], item(104));
}

#[test]
fn accepted_and_decided() {
    let decide = |n, counter: usize, decided_idx| {
        let seq_num = SequenceNumber { session: 1, counter: counter as u64 };
        [
            paxos(PaxosMsg::AcceptDecide(AcceptDecide { n, seq_num, decided_idx, entries: vec![] })),
            paxos(PaxosMsg::Decide(Decide { n, seq_num, decided_idx })),
        ]
    };
    decide(of(FROM), FAR - 1, FAR - 1).into_iter().for_each(takes);
    wrong(FROM, true).into_iter().flat_map(|n| decide(n, 1, 1)).for_each(drops);
    decide(of(FROM), FAR, 1).into_iter().for_each(drops);
    decide(of(FROM), 1, FAR).into_iter().for_each(drops);
    let accepted = |n, accepted_idx| paxos(PaxosMsg::Accepted(Accepted { n, accepted_idx }));
    takes(accepted(of(OWN), 6));
    drops(accepted(of(OWN), 7));
    wrong(OWN, true).into_iter().for_each(|n| drops(accepted(n, 6)));
}

#[test]
fn what_is_not_used_here() {
    drops(paxos(PaxosMsg::ProposalForward(vec![item(1)])));
    drops(paxos(PaxosMsg::Compaction(Compaction::Trim(1))));
    let stop = || StopSign { next_config: Default::default(), metadata: None };
    drops(paxos(PaxosMsg::ForwardStopSign(stop())));
    let seq_num = SequenceNumber { session: 1, counter: 1 };
    drops(paxos(PaxosMsg::AcceptStopSign(AcceptStopSign { seq_num, n: of(FROM), ss: stop() })));
}

/// A peer that lacks more than one message may bring is told to learn it.
#[test]
fn one_that_lacks_too_much_is_sent_to_learn() {
    let big = |number| {
        let from = Life { name: Name::new("a").unwrap(), start: Start(1) };
        Item::Asked(Entry { request: Request { from, number }, wall: 0, body: vec![0; 40_000] })
    };
    let mut state = State::new(3);
    let count = MAX_SYNC_BYTES / 40_000 + 2;
    assert!(state.apply(Record::Put(0, (0..count).map(big).collect())));
    let prepare = |decided_idx| {
        paxos(PaxosMsg::Prepare(Prepare {
            n: of(FROM),
            decided_idx,
            n_accepted: of(3),
            accepted_idx: decided_idx,
        }))
    };
    let promise = |decided_idx| {
        let (n, n_accepted, accepted_idx) = (of(OWN), of(3), decided_idx);
        paxos(PaxosMsg::Promise(Promise { n, n_accepted, decided_idx, accepted_idx, log_sync: None }))
    };
    for (lacks, verdict) in [(0, Verdict::Behind), (count as usize - 1, Verdict::Take)] {
        assert_eq!(check(&mut prepare(lacks), FROM, OWN, 3, &state, false), verdict);
        assert_eq!(check(&mut promise(lacks), FROM, OWN, 3, &state, false), verdict);
    }
}

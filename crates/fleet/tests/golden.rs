//! The octets of one of each message, record and item. Where one changes, raise the number that stands beside it
//! ([`VERSION`] of what is said, [`FORMAT`] of what is kept) and write the new octets here.

use heronroute_fleet::frames::{FrameType, Head as FrameHead, seal};
use heronroute_fleet::key::Key;
use heronroute_fleet::link::hello::VERSION;
use heronroute_fleet::link::{Link, Roster};
use heronroute_fleet::replicas::item::Item;
use heronroute_fleet::replicas::record::{FORMAT, Mark, Record, Seen, write};
use heronroute_fleet::replicas::wire::{Head, LogMessage, LogPosition, LogStatus, ReplicaMessage};
use heronroute_fleet::{Entry, Kind, Life, Name, Peer, Request, Start, Term};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::messages::ballot_leader_election::{
    BLEMessage, HeartbeatMsg, HeartbeatReply, HeartbeatRequest,
};
use omnipaxos::messages::sequence_paxos::*;
use omnipaxos::util::{LogSync, SequenceNumber};
use serde::Serialize;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn line<T: Serialize>(what: &str, value: T) -> String {
    format!("{what} {}\n", hex(&postcard::to_stdvec(&value).unwrap()))
}

fn life() -> Life {
    Life { name: Name::new("ab").unwrap(), start: Start(300) }
}

fn entry() -> Entry {
    Entry { request: Request { from: life(), number: 5 }, wall: -2, body: vec![1, 2] }
}

fn items() -> Vec<Item> {
    vec![
        Item::Asked(entry()),
        Item::Leadership { term: Term(258), life: life() },
        Item::Readmit { pid: 2, nonce: 9 },
    ]
}

const BALLOT: Ballot = Ballot { config_id: 1, n: 4, priority: 0, pid: 3 };

fn mark() -> Mark {
    Mark { epoch: 6, writes: 7 }
}

fn seen() -> Vec<Seen> {
    vec![Seen { mark: mark(), nonce: 8 }]
}

fn kept() -> String {
    let records = [
        Record::Owner { group: 70_000, pid: 2 },
        Record::Promise(BALLOT),
        Record::Accepted(BALLOT),
        Record::Decided(3),
        Record::Put(1, items()),
        Record::Trim(2),
        Record::Base(4, vec![5]),
        Record::Install(6, vec![7]),
        Record::Seen(seen()),
        Record::Epochs(vec![1, 2]),
        Record::Voting(3),
        Record::Lost,
        Record::Place(4),
        Record::Root([9; 32]),
    ];
    let mut frame = Vec::new();
    write(1, &[2, 3], &mut frame);
    let records = records.iter().map(|r| line("record", r)).collect::<String>();
    records + &format!("frame {}\n", hex(&frame))
}

fn paxos() -> Vec<PaxosMsg<Item>> {
    let n = BALLOT;
    let seq_num = SequenceNumber { session: 1, counter: 2 };
    let log_sync = LogSync { decided_snapshot: None, suffix: items(), sync_idx: 3, stopsign: None };
    vec![
        PaxosMsg::PrepareReq(PrepareReq { n }),
        PaxosMsg::Prepare(Prepare { n, decided_idx: 1, n_accepted: n, accepted_idx: 2 }),
        PaxosMsg::Promise(Promise {
            n,
            n_accepted: n,
            decided_idx: 1,
            accepted_idx: 2,
            log_sync: Some(log_sync.clone()),
        }),
        PaxosMsg::AcceptSync(AcceptSync { n, seq_num, decided_idx: 1, log_sync }),
        PaxosMsg::AcceptDecide(AcceptDecide { n, seq_num, decided_idx: 1, entries: items() }),
        PaxosMsg::Decide(Decide { n, seq_num, decided_idx: 1 }),
        PaxosMsg::Accepted(Accepted { n, accepted_idx: 2 }),
        PaxosMsg::NotAccepted(NotAccepted { n }),
    ]
}

fn said() -> String {
    let head = Head {
        group: 1,
        start: Start(2),
        nonce: 3,
        to: 4,
        number: 5,
        voting: true,
        opened: mark(),
        mark: mark(),
        seen: seen(),
        epochs: vec![6],
        sent: 7,
        echo: 8,
    };
    let ble = |msg| ReplicaMessage::Paxos(Message::BLE(BLEMessage { from: 1, to: 2, msg }));
    let mut all = vec![
        ReplicaMessage::Hello(LogPosition { decided: 1, end: 2, at: 3, head: Some([4; 32]), ask: true }),
        ReplicaMessage::Gap,
        ReplicaMessage::Behind(1),
        ble(HeartbeatMsg::Request(HeartbeatRequest { round: 3 })),
        ble(HeartbeatMsg::Reply(HeartbeatReply { round: 3, ballot: BALLOT, leader: BALLOT, happy: true })),
        ReplicaMessage::Renew { term: Term(1), sent: 2, held: true },
        ReplicaMessage::Grant { term: Term(1), sent: 2 },
        ReplicaMessage::Admit { nonce: 1, slot: 2, ballot: BALLOT },
    ];
    let paxos = paxos().into_iter().map(|msg| PaxosMessage { from: 1, to: 2, msg });
    all.extend(paxos.map(|m| ReplicaMessage::Paxos(Message::SequencePaxos(m))));
    let tip = LogStatus { decided: 1, majority: true, bypassed: false, ballot: Some(BALLOT), echo: 2 };
    let told = [
        LogMessage::Pull { from: 1, part: Some((2, 3)), sent: 4 },
        LogMessage::Items { from: 1, items: items(), tip },
        LogMessage::Part { slot: 1, total: 2, at: 3, bytes: vec![4], tip },
        LogMessage::Ask { entry: entry(), hops: 1 },
        LogMessage::Refuse { request: entry().request, busy: true },
    ];
    let mut frame = Vec::new();
    let key = Key::read(&"0123456789abcdef".repeat(4)).unwrap();
    let whats = [FrameType::Hello, FrameType::Alive].into_iter();
    for what in whats.chain(Kind::ALL.map(FrameType::Message)).chain(Kind::ALL.map(FrameType::Piece)) {
        seal(&mut frame, &key, &[], FrameHead { what, number: 300 }, &[1]);
    }
    let member = |name: &str| Peer {
        name: Name::new(name).unwrap(),
        zone: "z".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        keeper: true,
    };
    let roster = Roster::new("oduya", life(), key, &[member("ab"), member("c")]).unwrap();
    let hello = Link::dial(0, &roster, &member("c").name, [5; 32]);
    format!("hello {}\n", hex(hello.pending()))
        + &line("head", head)
        + &all.iter().map(|s| line("said", s)).collect::<String>()
        + &told.iter().map(|t| line("told", t)).collect::<String>()
        + &format!("frames {}\n", hex(&frame))
}

fn same(number: u32, written: u32, now: &str, golden: &str) {
    assert_eq!(number, written, "raised: write the octets of {number} here\n{now}");
    let differ = now.lines().zip(golden.lines()).find(|(now, golden)| now != golden);
    assert!(
        now == golden,
        "octets changed and the number {number} was not raised; first {differ:?}; all as they are:\n{now}"
    );
}

#[test]
fn what_is_kept_has_the_octets_of_its_format() {
    same(u32::from(FORMAT), 2, &kept(), include_str!("golden/kept.txt"));
}

#[test]
fn what_is_said_has_the_octets_of_its_version() {
    same(VERSION, 3, &said(), include_str!("golden/said.txt"));
}

//! A leader, and a keeper that was a candidate above its ballot and asks to be prepared.

use crate::liars::{Stage, promise};
use heronroute_fleet::Micros;
use heronroute_fleet::replicas::Tuning;
use heronroute_fleet::replicas::wire::ReplicaMessage;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::messages::ballot_leader_election::{BLEMessage, HeartbeatMsg};
use omnipaxos::messages::sequence_paxos::*;

/// Keeper 1 leads, 2 follows and grants or not, 3 asks all the while from above. When it began to prepare anew.
fn raises(grants: bool) -> Vec<Micros> {
    let mut s = Stage::new(3);
    let mut led = s.candidate();
    s.paxos(2, promise(led));
    let mut raised = Vec::new();
    for _ in 0..200 {
        for (to, _, said) in s.hears() {
            match said {
                ReplicaMessage::Renew { term, sent, .. } if to == 2 && grants => {
                    s.says(2, ReplicaMessage::Grant { term, sent })
                }
                ReplicaMessage::Paxos(Message::BLE(BLEMessage { msg: HeartbeatMsg::Request(r), .. })) => {
                    s.heartbeat(to, r.round, Ballot::with(1, 0, 0, to), led, true);
                }
                ReplicaMessage::Paxos(Message::SequencePaxos(PaxosMessage {
                    msg: PaxosMsg::Prepare(p),
                    ..
                })) if to == 2 && p.n > led => {
                    led = p.n;
                    raised.push(s.now);
                    s.paxos(2, promise(led));
                }
                _ => {}
            }
        }
        s.paxos(3, PaxosMsg::PrepareReq(PrepareReq { n: Ballot::with(1, 1000, 0, 3) }));
    }
    raised
}

/// It leads on in a greater ballot, once in a time: each costs the others a round of promises.
#[test]
fn one_that_asks_from_above_raises_the_ballot_once_in_a_time() {
    let raised = raises(true);
    let fresh = Tuning::default().fresh;
    assert!(raised.len() > 3, "{raised:?}");
    assert!(raised.windows(2).all(|two| two[1] - two[0] >= fresh), "{raised:?}");
}

/// Where no majority has granted the lead, the one that asks may be right: nothing is raised against it.
#[test]
fn without_a_majority_that_follows_nothing_is_raised() {
    assert_eq!(raises(false), []);
}

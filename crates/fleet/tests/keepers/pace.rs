//! When a keeper speaks to the others, and when and whom it asks for the log.

use crate::heads::stage;
use crate::world::{MS, fast};
use heronroute_fleet::replicas::learn::Learn;
use heronroute_fleet::replicas::wire::{LogMessage, ReplicaMessage};
use heronroute_fleet::replicas::{Lane, Output};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::messages::ballot_leader_election::{BLEMessage, HeartbeatMsg};
use omnipaxos::messages::sequence_paxos::*;

#[test]
fn a_round_of_heartbeats_is_so_many_ticks_long() {
    let mut s = stage();
    let beat = |said: &ReplicaMessage| {
        matches!(said, ReplicaMessage::Paxos(Message::BLE(BLEMessage { msg: HeartbeatMsg::Request(_), .. })))
    };
    let ticks: Vec<u64> =
        (0..40).filter(|_| s.hears().iter().any(|(to, _, said)| *to == 2 && beat(said))).collect();
    assert!(ticks.len() > 5 && ticks.windows(2).all(|two| two[1] - two[0] == fast().election), "{ticks:?}");
}

/// Wherever it begins and however often it turns, a keeper that is due asks another and never itself.
#[test]
fn a_keeper_that_learns_always_asks_another() {
    for (seed, own) in (0..6).flat_map(|seed| [(seed, 1), (seed, 2), (seed, 3)]) {
        let mut learn = Learn::new(3, seed);
        for round in 0..6 {
            let (asked, _) = learn.ask(round * 500 * MS, 0, Some(own), 500 * MS).expect("it is due");
            assert!(asked != own && (1..=3).contains(&asked), "seed {seed}, keeper {own} asks {asked}");
        }
    }
}

/// Whoever follows a leader that has fallen silent asks the others, though it hears nothing that would tell it the time.
#[test]
fn one_whose_leader_is_silent_asks_for_the_log() {
    let mut s = stage();
    let n = Ballot::with(1, 5, 0, 2);
    s.paxos(
        2,
        PaxosMsg::Prepare(Prepare { n, decided_idx: 0, n_accepted: Ballot::default(), accepted_idx: 0 }),
    );
    let mut asks = |ticks: i64| {
        let mut asked = 0;
        for _ in 0..ticks {
            s.now += 50 * MS;
            s.m.tick(s.now);
            s.m.flush(s.now);
            while let Some(output) = s.m.poll() {
                if let Output::Send { lane: Lane::Log, bytes, .. } = output {
                    let (_, told) = postcard::from_bytes::<(u32, LogMessage)>(&bytes).unwrap();
                    asked += usize::from(matches!(told, LogMessage::Pull { .. }));
                }
            }
        }
        asked
    };
    let fresh = fast().fresh / (50 * MS);
    assert_eq!(asks(fresh - 4), 0, "it answers yet");
    assert!(asks(20) > 0);
}

//! Links of members over any transport: what one clause asks holds in memory, cut to single octets, and on sockets.

mod link_rig;

use heronroute_fleet::Kind;
use heronroute_fleet::frames::{FrameType, Head, seal};
use heronroute_fleet::key::Key;
use heronroute_fleet::link::hello::VERSION;
use heronroute_fleet::link::redial::MAX_DELAY;
use heronroute_fleet::link::{
    Conn, HANDSHAKE_TIMEOUT, IDLE_TIMEOUT, Link, Output, Reason, Switch, VERSION_REPORT_INTERVAL,
};
use heronroute_fleet::queue::{MAX_LATEST_MESSAGES, MAX_ORDERED_BYTES};
use link_rig::*;
use std::cell::RefCell;
use std::rc::Rc;

fn world<T: Transport>(transport: T, count: usize) -> World<T> {
    let mut w = World::new(transport, (0..count).map(|n| settings(n, count, 1)).collect());
    w.pass(SECOND / 2);
    w
}

fn linked<T: Transport>(w: &mut World<T>) -> bool {
    let n = w.members.len();
    (0..n).all(|a| (0..n).all(|b| a == b || w.switch(a).linked(b)))
}

fn order_is_kept_and_nothing_altered(transport: impl Transport) {
    let mut w = world(transport, 3);
    assert!(linked(&mut w));
    let payload = |n: usize| (0..n * 37 % 900).map(|i| (i * n) as u8).collect::<Vec<u8>>();
    for n in 0..200 {
        w.send(0, 1, if n % 2 == 0 { Kind::Agreement } else { Kind::Log }, &payload(n));
        w.send(2, 1, Kind::Log, &payload(n + 7));
    }
    // Far longer than a frame.
    let long: Vec<u8> = (0..300_000_u32).map(|i| (i ^ i >> 8) as u8).collect();
    w.send(1, 0, Kind::Log, &long);
    w.pump();
    let wanted = |from: usize| (from..200).step_by(2).map(payload).collect::<Vec<_>>();
    assert_eq!(w.heard(1, 0, Kind::Agreement), wanted(0));
    assert_eq!(w.heard(1, 0, Kind::Log), wanted(1));
    assert_eq!(w.heard(1, 2, Kind::Log), (7..207).map(payload).collect::<Vec<_>>());
    assert_eq!(w.heard(0, 1, Kind::Log), [long]);
}

fn a_link_at_rest_stands(transport: impl Transport) {
    let mut w = world(transport, 2);
    w.pass(30 * SECOND);
    assert!(linked(&mut w) && w.told[0].unlinked.is_empty() && w.told[0].linked.len() == 1);
}

fn another_key_or_installation_is_dropped_and_counted(transport: impl Transport) {
    let mut all: Vec<_> = (0..4).map(|n| settings(n, 4, 1)).collect();
    all[1].key = Key::read(OTHER_KEY).unwrap();
    all[2].installation = "other".into();
    let mut w = World::new(transport, all);
    w.pass(10 * SECOND);
    for wrong in [1, 2] {
        assert!((0..4).all(|n| n == wrong || !w.switch(wrong).linked(n)), "{wrong}");
    }
    assert!(w.switch(0).linked(3) && w.switch(3).linked(0));
    // 0 dials both and is thrown out; they dial 3, which throws out.
    assert!(w.ended(3, Reason::Forged) > 0 && w.ended(3, Reason::Foreign) > 0);
    assert!(w.ended(1, Reason::Forged) > 0 && w.ended(2, Reason::Foreign) > 0);
    assert!(w.told.iter().all(|t| t.messages.is_empty()));
}

fn half_a_frame_then_silence_ends_the_link(transport: impl Transport) {
    let mut w = world(transport, 2);
    let before = w.now;
    // From now on 20 octets of the next frame get through, and the connection stays open.
    let left = Rc::new(RefCell::new(20));
    w.tap = Some(Box::new(move |from, _, mut octets| {
        if from == 0 {
            let keep = octets.len().min(*left.borrow());
            octets.truncate(keep);
            *left.borrow_mut() -= keep;
        }
        octets
    }));
    w.send(0, 1, Kind::Log, &[1; 500]);
    w.pass(IDLE_TIMEOUT - SECOND / 2);
    assert!(w.told[1].unlinked.is_empty() && w.heard(1, 0, Kind::Log).is_empty());
    w.pass(SECOND / 2);
    assert_eq!((w.ended(1, Reason::Silent), w.told[1].unlinked.len()), (1, 1));
    assert!(w.now - before <= IDLE_TIMEOUT);
    w.tap = None;
    w.pass(10 * SECOND);
    assert!(linked(&mut w), "it comes back by itself");
}

fn a_slow_peer_costs_the_others_nothing(transport: impl Transport) {
    let mut w = world(transport, 3);
    w.paused.insert(2);
    let piece = vec![5; 60_000];
    for n in 0..400_u32 {
        w.send(0, 2, Kind::Log, &piece);
        w.send(0, 2, Kind::Gossip, &n.to_be_bytes());
        w.send(0, 1, Kind::Log, &n.to_be_bytes());
        assert!(w.switch(0).held(2) <= MAX_ORDERED_BYTES + 2 * 65_536, "{n}: {}", w.switch(0).held(2));
        w.pump();
    }
    assert_eq!(w.heard(1, 0, Kind::Log).len(), 400);
    assert_eq!(w.ended(0, Reason::Full), 1, "what can't be left out has the link begin anew");
    assert!(w.switch(0).linked(1) && !w.switch(0).linked(2));
    w.paused.clear();
    w.pass(20 * SECOND);
    assert!(linked(&mut w));
}

fn a_later_life_takes_the_place_of_the_earlier(transport: impl Transport) {
    for who in [0, 1] {
        let mut w = World::new(Memory::new(4_096), (0..2).map(|n| settings(n, 2, 5)).collect());
        w.pass(SECOND / 2);
        // It died in silence, and is back before anybody noticed: only the other one's end still stands.
        w.tap = None;
        let (other, gone) = (1 - who, w.members[who].take());
        w.restart(who, settings(who, 2, 6));
        if who == 1 {
            // Its dialler notices by the silence.
            w.kill(1);
            w.restart(1, settings(1, 2, 6));
        }
        w.pass(8 * SECOND);
        assert!(linked(&mut w), "{who}");
        assert_eq!(w.told[other].linked.last().unwrap().1, life(who, 6));
        drop(gone);
        // Restored from an old folder: it is not let in, and knows why.
        w.kill(who);
        w.restart(who, settings(who, 2, 3));
        let before = w.told[other].linked.len();
        w.pass(10 * SECOND);
        assert_eq!(w.told[other].linked.len(), before, "{who}: not taken for the one that lived");
        assert_eq!(w.told[who].outlived.first().map(|s| s.0), Some(6));
        assert!(w.ended(who, Reason::Outlived) > 0);
    }
    _ = transport;
}

fn strangers_are_bounded_and_end(transport: impl Transport) {
    let mut w = world(transport, 3);
    let mut pipes = Vec::new();
    for _ in 0..40 {
        pipes.push(w.stranger(1).0);
        w.pump();
    }
    // Two links, and sixteen that said nothing.
    assert_eq!(w.switch(1).conns(), 2 + 16);
    assert_eq!(w.ended(1, Reason::Crowded), 24);
    // A length beyond what a stranger may have held for him, none at all, and noise.
    for octets in [&[0, 0, 4, 1][..], &[0xFF; 4], &[0, 0, 0, 3], b"GET / HTTP/1.1\r\n\r\n"] {
        let pipe = w.stranger(1).0;
        let n = w.transport.put(pipe, 0, octets);
        assert_eq!(n, octets.len());
        w.pump();
    }
    assert_eq!(w.ended(1, Reason::Length), 4);
    w.pass(HANDSHAKE_TIMEOUT);
    assert_eq!(w.switch(1).conns(), 2);
    assert!(linked(&mut w));
}

macro_rules! over_each_transport {
    ($($clause:ident),* $(,)?) => {
        mod memory { $(#[test] fn $clause() { super::$clause(super::Memory::new(usize::MAX)); })* }
        mod by_seven_octets { $(#[test] fn $clause() { super::$clause(super::Memory::new(7)); })* }
        mod sockets { $(#[test] fn $clause() { super::$clause(super::Tcp::default()); })* }
    };
}

over_each_transport!(
    order_is_kept_and_nothing_altered,
    a_link_at_rest_stands,
    another_key_or_installation_is_dropped_and_counted,
    half_a_frame_then_silence_ends_the_link,
    a_slow_peer_costs_the_others_nothing,
    strangers_are_bounded_and_end,
);

#[test]
fn a_later_life_replaces_and_an_earlier_is_refused() {
    a_later_life_takes_the_place_of_the_earlier(Memory::new(usize::MAX));
}

#[test]
fn of_states_the_newest_reach_a_peer_that_was_slow() {
    let mut transport = Memory::new(usize::MAX);
    transport.room = 10_000;
    let mut w = world(transport, 2);
    w.paused.insert(1);
    for n in 0..1_000_u32 {
        let mut state = vec![0; 500];
        state[..4].copy_from_slice(&n.to_be_bytes());
        w.send(0, 1, Kind::Gossip, &state);
        w.pump();
    }
    w.paused.clear();
    w.pump();
    let heard: Vec<u32> =
        w.heard(1, 0, Kind::Gossip).iter().map(|p| u32::from_be_bytes(p[..4].try_into().unwrap())).collect();
    assert!(heard.len() < 100 && heard.is_sorted(), "{heard:?}");
    assert_eq!(heard[heard.len() - MAX_LATEST_MESSAGES..], (992..1_000).collect::<Vec<u32>>());
    assert_eq!(w.switch(0).stats().given_up as usize + heard.len(), 1_000);
}

#[test]
fn a_paused_member_is_dropped_in_time_and_comes_back() {
    let mut w = world(Memory::new(usize::MAX), 3);
    w.paused.insert(1);
    w.pass(IDLE_TIMEOUT);
    assert!(!w.switch(0).linked(1) && !w.switch(2).linked(1) && w.switch(0).linked(2));
    w.pass(60 * SECOND);
    w.paused.clear();
    w.pass(12 * SECOND);
    assert!(linked(&mut w));
}

#[test]
fn dialling_is_spread_by_seed_and_capped() {
    let times = |seed: u64| {
        let mut mine = settings(0, 2, 1);
        mine.seed = seed;
        let mut w = World::new(Memory::new(usize::MAX), vec![mine, settings(1, 2, 1)]);
        w.members[1] = None;
        w.pass(60 * SECOND);
        w.told[0].dialled.clone()
    };
    let (a, b) = (times(1), times(2));
    assert!(a != b && a == times(1));
    assert!((12..40).contains(&a.len()), "{a:?}");
    assert!(a.windows(2).all(|t| t[1] - t[0] <= 5 * SECOND), "{a:?}");
}

/// A switch of member 1 and, by hand, connections that processes under the name of member 0 made to it.
struct Door {
    switch: Switch,
    seen: Vec<Output>,
}

impl Door {
    fn knock(&mut self, start: u64, nonce: u8) -> (Conn, Link) {
        (self.switch.accepted(0), Link::dial(0, &roster(0, start), &name(1), [nonce; 32]))
    }

    /// What the link has to say goes in, and what the switch answers comes back.
    fn say(&mut self, start: u64, (conn, link): &mut (Conn, Link)) {
        let octets = link.pending().to_vec();
        link.wrote(0, octets.len());
        self.switch.received(0, *conn, &octets);
        let answer = self.switch.pending(*conn).to_vec();
        self.switch.wrote(0, *conn, answer.len());
        link.receive(0, &roster(0, start), &answer, &mut Vec::new());
        self.seen.extend(self.switch.outputs());
    }
}

#[test]
fn of_two_connections_under_one_name_one_survives() {
    let mut door = Door { switch: Switch::new(0, settings(1, 3, 1)).unwrap(), seen: Vec::new() };
    // Both said hello before either was proved; the later life is proved first.
    let (mut old, mut new) = (door.knock(3, 1), door.knock(6, 2));
    door.say(3, &mut old);
    door.say(6, &mut new);
    door.say(6, &mut new);
    door.say(3, &mut old);
    assert!(door.seen.contains(&Output::Linked { peer: 0, life: life(0, 6) }));
    assert!(!door.seen.contains(&Output::Linked { peer: 0, life: life(0, 3) }), "an earlier life is refused");
    assert!(door.seen.contains(&Output::Drop(old.0)) && door.switch.stats().ended[&Reason::Stale] == 1);
    // The same life dialled again, before its old connection was known to be gone here.
    door.seen.clear();
    let mut again = door.knock(6, 3);
    door.say(6, &mut again);
    door.say(6, &mut again);
    let (why, peer) = (Reason::Replaced, 0);
    let wanted =
        [Output::Drop(new.0), Output::Unlinked { peer, why }, Output::Linked { peer, life: life(0, 6) }];
    let seen: Vec<_> =
        door.seen.iter().filter(|o| !matches!(o, Output::Write(_) | Output::Connect { .. })).collect();
    assert_eq!(seen, wanted.iter().collect::<Vec<_>>());
    assert_eq!(door.switch.conns(), 1);
}

#[test]
fn of_two_members_the_lower_name_dials() {
    let w = world(Memory::new(usize::MAX), 3);
    let dials: Vec<usize> = w.told.iter().map(|t| t.dialled.len()).collect();
    assert_eq!(dials, [2, 1, 0]);
}

/// Members of two versions: both know it by the other's number, say so once in a while with a count, and dial at the slowest pace.
#[test]
fn another_version_is_refused_told_with_both_numbers_and_dialled_slowly() {
    // The answerer does not look at the dialler's number, or refuses it and says its own.
    for refuses in [false, true] {
        let mut w = World::new(Memory::new(usize::MAX), (0..2).map(|n| settings(n, 2, 1)).collect());
        w.tap = Some(Box::new(move |from, _, mut octets| {
            // Behind length and head, a hello's version.
            if (from == 1 || refuses) && octets.len() > 6 && octets[4] == 0 {
                octets[6] = VERSION as u8 + 7;
            }
            octets
        }));
        w.pass(20 * SECOND);
        let dialled = w.told[0].dialled.clone();
        assert!((4..10).contains(&dialled.len()), "{dialled:?}");
        assert!(dialled.windows(2).all(|d| d[1] - d[0] >= MAX_DELAY / 2), "{dialled:?}");
        for n in if refuses { 0..2 } else { 0..1 } {
            assert_eq!(w.told[n].versions, [(VERSION + 7, 1)]);
            assert_eq!(w.ended(n, Reason::Version), dialled.len() as u64);
        }
        assert_eq!((w.told[0].linked.len(), w.told[1].linked.len()), (0, 0));
        w.pass(VERSION_REPORT_INTERVAL);
        let told = w.told[0].versions.clone();
        assert_eq!(told.len(), 2, "once a minute: {told:?}");
        assert!(told[1].1 > 10, "{told:?}");
        // Mended, it is linked at the next dial.
        w.tap = None;
        w.pass(MAX_DELAY);
        assert_eq!((w.told[0].linked.len(), w.told[1].linked.len()), (1, 1));
    }
}

/// The dialler learns it though the answerer can't say more than its number; who goes on talking is not listened to.
#[test]
fn a_dialler_of_another_version_hears_the_answerer_s_number_and_is_held_no_longer_than_a_stranger() {
    let mut w = World::new(Memory::new(usize::MAX), vec![settings(1, 2, 1)]);
    let (pipe, conn) = w.stranger(0);
    let mut hello = Vec::new();
    let payload = postcard::to_stdvec(&(VERSION + 1, "whatever comes then")).unwrap();
    seal(
        &mut hello,
        &Key::read(OTHER_KEY).unwrap(),
        &[],
        Head { what: FrameType::Hello, number: 0 },
        &payload,
    );
    w.transport.put(pipe, 0, &hello);
    w.pump();
    let answer = w.transport.take(pipe, 0);
    assert_eq!(answer[6..answer.len() - 32], [VERSION as u8]);
    w.transport.put(pipe, 0, &vec![7; 100_000]);
    w.pump();
    let now = w.now;
    assert_eq!(w.switch(0).conns(), 1);
    w.switch(0).received(now, conn, &[0; 10]);
    w.pass(HANDSHAKE_TIMEOUT);
    assert_eq!((w.switch(0).conns(), w.ended(0, Reason::Version)), (0, 1));
}

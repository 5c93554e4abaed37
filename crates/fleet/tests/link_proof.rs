//! What a link lets through: nothing altered, kept from before, sent back, left out, or made by someone without the key.

mod link_rig;

use heronroute_fleet::Kind;
use heronroute_fleet::frames::{MAX_FRAME_BYTES, MAX_HELLO_BYTES};
use heronroute_fleet::link::{HANDSHAKE_TIMEOUT, IDLE_TIMEOUT, KEEPALIVE_INTERVAL, Link, LinkEvent, Reason};
use link_rig::{life, name, roster};
use proptest::prelude::*;

type Sent = Vec<(Kind, Vec<u8>)>;

/// Octets of each way, in the order in which they were written, from a link that stood.
struct Record {
    dialler: Vec<Vec<u8>>,
    answerer: Vec<Vec<u8>>,
    sent: Sent,
}

fn drain(link: &mut Link) -> Vec<u8> {
    let octets = link.pending().to_vec();
    link.wrote(0, octets.len());
    octets
}

/// Feeds octets to a link; its events.
fn feed(link: &mut Link, me: usize, octets: &[u8]) -> Vec<LinkEvent> {
    let mut events = Vec::new();
    link.receive(0, &roster(me, 1), octets, &mut events);
    events
}

fn dialler(nonce: u8) -> Link {
    Link::dial(0, &roster(0, 1), &name(1), [nonce; 32])
}

fn answerer(nonce: u8) -> Link {
    Link::answer(0, [nonce; 32])
}

/// Two links, 0 that dialled 1, and what went over.
fn record() -> (Record, Link, Link) {
    let (mut a, mut b) = (dialler(1), answerer(2));
    let mut record = Record { dialler: Vec::new(), answerer: Vec::new(), sent: Vec::new() };
    record.dialler.push(drain(&mut a));
    assert!(feed(&mut b, 1, &record.dialler[0]).is_empty(), "a hello alone proves nothing");
    record.answerer.push(drain(&mut b));
    assert_eq!(feed(&mut a, 0, &record.answerer[0]), [LinkEvent::Up { life: life(1, 1) }]);
    record.dialler.push(drain(&mut a));
    assert_eq!(feed(&mut b, 1, &record.dialler[1]), [LinkEvent::Up { life: life(0, 1) }]);
    for (n, kind) in Kind::ALL.into_iter().enumerate() {
        let payload = vec![n as u8; 5 + n * 9];
        a.send(0, kind, payload.clone(), &mut Vec::new());
        record.dialler.push(drain(&mut a));
        record.sent.push((kind, payload));
        b.send(0, kind, vec![0xB0; 7], &mut Vec::new());
        record.answerer.push(drain(&mut b));
    }
    (record, a, b)
}

fn messages(events: &[LinkEvent]) -> Sent {
    let one = |e: &LinkEvent| match e {
        LinkEvent::Message { kind, payload } => Some((*kind, payload.clone())),
        _ => None,
    };
    events.iter().filter_map(one).collect()
}

#[test]
fn no_flipped_bit_is_ever_delivered() {
    let (record, _, _) = record();
    let whole: Vec<u8> = record.dialler.concat();
    let lengths: Vec<usize> = record.dialler.iter().map(Vec::len).collect();
    let mut link = answerer(2);
    assert_eq!(messages(&feed(&mut link, 1, &whole)), record.sent, "unaltered, all of it comes");
    for at in 0..whole.len() {
        // The frame in which it falls, and the messages before it.
        let (mut frame, mut end) = (0, lengths[0]);
        while at >= end {
            frame += 1;
            end += lengths[frame];
        }
        for bit in 0..8 {
            let mut octets = whole.clone();
            octets[at] ^= 1 << bit;
            let mut link = answerer(2);
            let events = feed(&mut link, 1, &octets);
            assert_eq!(messages(&events), record.sent[..frame.saturating_sub(2)], "octet {at} bit {bit}");
            let over = matches!(events.last(), Some(LinkEvent::Over(_)));
            // A length made greater waits for octets that don't come: the silence ends it.
            let mut late = Vec::new();
            link.tick(HANDSHAKE_TIMEOUT.max(IDLE_TIMEOUT), &mut late);
            assert!(over || matches!(late.last(), Some(LinkEvent::Over(_))), "octet {at} bit {bit}");
        }
    }
    // The other way: a hello 2 that was altered proves nobody.
    for at in 0..record.answerer[0].len() {
        let mut octets = record.answerer[0].clone();
        octets[at] ^= 1;
        let up = feed(&mut dialler(1), 0, &octets).iter().any(|e| matches!(e, LinkEvent::Up { .. }));
        assert!(!up, "octet {at}");
    }
}

#[test]
fn what_was_said_on_an_older_connection_proves_nothing() {
    let (record, _, _) = record();
    let mut link = answerer(3);
    assert_eq!(feed(&mut link, 1, &record.dialler.concat()), [LinkEvent::Over(Reason::Forged)]);
    let mut link = dialler(4);
    assert_eq!(feed(&mut link, 0, &record.answerer.concat()), [LinkEvent::Over(Reason::Forged)]);
}

#[test]
fn what_comes_back_to_its_sender_is_refused() {
    let (record, mut a, mut b) = record();
    assert_eq!(feed(&mut a, 0, &record.dialler[4]), [LinkEvent::Over(Reason::Forged)]);
    assert_eq!(feed(&mut b, 1, &record.answerer[3]), [LinkEvent::Over(Reason::Forged)]);
    // A hello too: to the one who dialled, and to the same member's door.
    let mut link = dialler(1);
    let hello = drain(&mut link);
    assert_eq!(feed(&mut link, 0, &hello), [LinkEvent::Over(Reason::Forged)]);
    assert_eq!(feed(&mut answerer(9), 0, &hello), [LinkEvent::Over(Reason::Namesake)]);
}

#[test]
fn a_member_is_not_taken_for_another() {
    // 0 dials 1, and 2 is found there.
    let (mut a, mut c) = (dialler(1), answerer(2));
    assert_eq!(feed(&mut c, 2, &drain(&mut a)), [LinkEvent::Over(Reason::Misplaced)]);
    // 2 answers all the same, as the one it is, to a hello of its own finding.
    let mut other = Link::dial(0, &roster(0, 1), &name(2), [1; 32]);
    feed(&mut c, 2, &[]);
    let mut c = answerer(2);
    feed(&mut c, 2, &drain(&mut other));
    assert_eq!(feed(&mut a, 0, &drain(&mut c)), [LinkEvent::Over(Reason::Forged)]);
    // The one with the greater name does not dial.
    let mut wrong = Link::dial(0, &roster(2, 1), &name(1), [1; 32]);
    assert_eq!(feed(&mut answerer(2), 1, &drain(&mut wrong)), [LinkEvent::Over(Reason::Misplaced)]);
}

#[test]
fn a_frame_that_came_twice_is_dropped_and_a_missing_one_ends_the_link() {
    let (record, mut a, mut b) = record();
    assert_eq!(messages(&feed(&mut b, 1, &record.dialler[2..].concat())), record.sent);
    assert!(feed(&mut b, 1, &record.dialler[3]).is_empty());
    assert_eq!(b.duplicates(), 1);
    a.send(0, Kind::Log, vec![1], &mut Vec::new());
    drain(&mut a);
    a.send(0, Kind::Log, vec![2], &mut Vec::new());
    assert_eq!(feed(&mut b, 1, &drain(&mut a)), [LinkEvent::Over(Reason::Gap)]);
}

#[test]
fn a_frame_kept_from_before_is_no_sign_of_life() {
    let (record, _, mut b) = record();
    feed(&mut b, 1, &record.dialler[2..].concat());
    let mut events = Vec::new();
    for at in 1..=IDLE_TIMEOUT / KEEPALIVE_INTERVAL {
        b.receive(at * KEEPALIVE_INTERVAL - 1, &roster(1, 1), &record.dialler[3], &mut events);
        b.tick(at * KEEPALIVE_INTERVAL, &mut events);
    }
    assert_eq!(events, [LinkEvent::Over(Reason::Silent)]);
}

#[test]
fn a_length_too_great_ends_it_before_anything_is_held() {
    let (_, _, mut b) = record();
    let beyond = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    assert_eq!(feed(&mut b, 1, &beyond), [LinkEvent::Over(Reason::Length)]);
    assert_eq!(b.held(), 0);
    let beyond = (MAX_HELLO_BYTES as u32 + 1).to_be_bytes();
    assert_eq!(feed(&mut answerer(1), 1, &beyond), [LinkEvent::Over(Reason::Length)]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Noise, at any place in a link's life and cut anyhow, delivers nothing and breaks nothing.
    #[test]
    fn noise_is_never_delivered(
        noise in proptest::collection::vec(any::<u8>(), 1..600),
        frames in 0_usize..7,
        cut in 1_usize..600,
        framed in any::<bool>(),
    ) {
        let (record, _, _) = record();
        let mut link = answerer(2);
        let good = feed(&mut link, 1, &record.dialler[..frames.min(record.dialler.len())].concat());
        let mut octets = if framed { (noise.len() as u32).to_be_bytes().to_vec() } else { Vec::new() };
        octets.extend_from_slice(&noise);
        let mut events = Vec::new();
        for piece in octets.chunks(cut) {
            events.extend(feed(&mut link, 1, piece));
        }
        prop_assert!(messages(&events).is_empty());
        let up = events.iter().any(|e| matches!(e, LinkEvent::Up { .. }));
        prop_assert!(!up);
        prop_assert_eq!(messages(&good), &record.sent[..frames.saturating_sub(2).min(record.sent.len())]);
    }

    /// However a stream is cut, the same comes of it.
    #[test]
    fn cuts_change_nothing(cuts in proptest::collection::vec(1_usize..200, 1..40)) {
        let (record, _, _) = record();
        let whole = record.dialler.concat();
        let (mut link, mut events, mut rest) = (answerer(2), Vec::new(), whole.as_slice());
        for cut in cuts.into_iter().cycle() {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            events.extend(feed(&mut link, 1, piece));
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(messages(&events), record.sent);
    }
}

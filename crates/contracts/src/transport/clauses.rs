//! What holds of each transport.

use super::Transport;
use super::world::{SECOND, World, settings};
use crate::ensure;
use crate::random::SeededRandom;
use crate::suite::Clause;
use heronroute_fleet::Kind;
use heronroute_fleet::key::Key;
use heronroute_fleet::link::{IDLE_TIMEOUT, Reason};
use heronroute_fleet::queue::{MAX_LATEST_MESSAGES, MAX_ORDERED_BYTES};

type Of<'a> = &'a dyn Transport;

/// What holds of each transport between members.
pub const CLAUSES: &[Clause<dyn Transport>] = &[
    Clause { name: "agreement and log come in order, none left out", run: in_order },
    Clause { name: "what comes is what was sent, of any kind and length", run: unaltered },
    Clause { name: "a link at rest stands", run: rest },
    Clause { name: "who has another key is not heard, and counted", run: other_key },
    Clause { name: "another installation is not heard, and counted", run: other_installation },
    Clause { name: "what was altered on its way is not heard, and counted", run: altered },
    Clause { name: "what was kept from before proves nothing, and is counted", run: replayed },
    Clause { name: "what comes back to its sender is not heard, and counted", run: reflected },
    Clause { name: "what comes twice is heard once, and counted", run: duplicates },
    Clause { name: "silence ends a link within four seconds", run: silence },
    Clause { name: "half a frame is no sign of life", run: half },
    Clause { name: "of states the newest reach a slow peer, none after a newer one", run: newest },
    Clause { name: "a slow peer costs the others nothing", run: slow },
    Clause { name: "what waits for a peer is bounded", run: bounded },
    Clause { name: "what can't be left out and has no room ends the link", run: full },
];

/// A payload that is told from all others of its clause.
fn text(n: u32, length: usize) -> Vec<u8> {
    let mut octets = n.to_be_bytes().to_vec();
    octets.resize(length.max(4), n as u8);
    octets
}

fn number(payload: &[u8]) -> u32 {
    payload.first_chunk().map_or(u32::MAX, |n| u32::from_be_bytes(*n))
}

fn numbers(payloads: &[Vec<u8>]) -> Vec<u32> {
    payloads.iter().map(|p| number(p)).collect()
}

fn in_order(t: Of) -> Result<(), String> {
    let mut w = World::linked(t, 3)?;
    for n in 0..60 {
        for (way, kind) in [((0, 1), Kind::Agreement), ((0, 1), Kind::Log), ((2, 1), Kind::Log)] {
            w.send(way, kind, &text(n, n as usize * 13 % 400));
        }
        if n % 7 == 0 {
            w.pump()?;
        }
    }
    w.pump()?;
    for (way, kind) in [((0, 1), Kind::Agreement), ((0, 1), Kind::Log), ((2, 1), Kind::Log)] {
        let got = numbers(&w.said(way, kind));
        ensure!(got == (0..60).collect::<Vec<_>>(), "{way:?} {kind:?}: {got:?}");
    }
    Ok(())
}

fn unaltered(t: Of) -> Result<(), String> {
    let mut w = World::linked(t, 2)?;
    let mut random = SeededRandom::new(1);
    // Nothing, less than a frame, and more than a frame carries.
    for length in [0, 1, 700, 90_000] {
        for kind in Kind::ALL {
            let (there, back) = (random.octets(length), random.octets(length / 2));
            w.send((0, 1), kind, &there);
            w.send((1, 0), kind, &back);
            w.pump()?;
            for (way, sent) in [((0, 1), &there), ((1, 0), &back)] {
                let got = w.said(way, kind).pop();
                ensure!(got.as_ref() == Some(sent), "{kind:?} of {length} octets, {way:?}");
            }
        }
    }
    ensure!(w.heard.iter().all(|h| h.len() == 4 * Kind::COUNT), "more or less came than was sent");
    Ok(())
}

fn rest(t: Of) -> Result<(), String> {
    let mut w = World::linked(t, 2)?;
    w.pass(30 * SECOND)?;
    ensure!(w.links.iter().all(|l| l.len() == 1), "links came and went: {:?}", w.links);
    Ok(())
}

/// Of three members one is wrong: it is linked with nobody and heard by nobody; the others are linked.
fn left_out(
    t: Of,
    wrong: usize,
    why: Reason,
    spoil: fn(&mut heronroute_fleet::link::Settings),
) -> Result<(), String> {
    let mut all: Vec<_> = (0..3).map(|n| settings(n, 3)).collect();
    spoil(&mut all[wrong]);
    let mut w = World::new(t, all)?;
    w.pass(3 * SECOND)?;
    for n in 0..3 {
        w.send((wrong, n), Kind::Log, b"let me in");
    }
    w.pass(SECOND)?;
    let others: Vec<usize> = (0..3).filter(|n| *n != wrong).collect();
    let linked = others.iter().find(|n| w.stands(**n, wrong) || w.stands(wrong, **n));
    ensure!(linked.is_none(), "it is linked with {linked:?}");
    ensure!(w.heard.iter().all(Vec::is_empty), "it was heard");
    ensure!(w.stands(others[0], others[1]), "the others are not linked");
    let counted: u64 = others.iter().map(|n| w.ended(*n, why)).sum();
    ensure!(counted > 0, "it is not counted by those it dialled");
    Ok(())
}

fn other_key(t: Of) -> Result<(), String> {
    const OTHER: &str = "60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752";
    left_out(t, 0, Reason::Forged, |s| s.key = Key::read(OTHER).expect("a key"))
}

fn other_installation(t: Of) -> Result<(), String> {
    left_out(t, 0, Reason::Foreign, |s| s.installation = "other".into())
}

fn altered(t: Of) -> Result<(), String> {
    // In the head, in the payload, in the tag.
    for (at, bit) in [(4_usize, 0), (20, 7), (78, 3)] {
        let mut w = World::linked(t, 2)?;
        let mut passed = 0;
        w.tap = Some(Box::new(move |way, octets| {
            if way == (0, 1) {
                if let Some(octet) = at.checked_sub(passed).and_then(|at| octets.get_mut(at)) {
                    *octet ^= 1 << bit;
                }
                passed += octets.len();
            }
        }));
        w.send((0, 1), Kind::Log, &text(1, 40));
        w.pump()?;
        ensure!(w.heard[1].is_empty(), "bit {bit} of octet {at}: it was heard");
        ensure!(!w.stands(1, 0), "bit {bit} of octet {at}: the link stands");
        ensure!(w.ended(1, Reason::Forged) == 1, "it is not counted as forged");
    }
    Ok(())
}

fn replayed(t: Of) -> Result<(), String> {
    let mut w = World::linked(t, 2)?;
    w.send((0, 1), Kind::Log, &text(1, 40));
    w.pump()?;
    let (heard, links) = (w.heard[1].len(), w.links[1].len());
    let before = w.record.get(&(0, 1)).cloned().unwrap_or_default();
    w.stranger(1, &before)?;
    ensure!(w.heard[1].len() == heard, "it was heard again");
    ensure!(w.links[1].len() == links && w.stands(1, 0), "it counts as another link: {:?}", w.links[1]);
    ensure!(w.ended(1, Reason::Forged) == 1, "it is not counted as forged");
    Ok(())
}

fn reflected(t: Of) -> Result<(), String> {
    let mut w = World::linked(t, 2)?;
    let before = w.record.get(&(0, 1)).map_or(0, Vec::len);
    w.send((0, 1), Kind::Log, &text(1, 40));
    w.pump()?;
    let own = w.record.get(&(0, 1)).and_then(|r| r.get(before..)).unwrap_or_default().to_vec();
    w.inject((1, 0), &own)?;
    ensure!(w.heard[0].is_empty(), "it heard itself: {:?}", w.heard[0]);
    ensure!(w.ended(0, Reason::Forged) == 1 && !w.stands(0, 1), "it is not counted as forged");
    Ok(())
}

fn duplicates(t: Of) -> Result<(), String> {
    let mut w = World::linked(t, 2)?;
    let before = w.record.get(&(0, 1)).map_or(0, Vec::len);
    w.send((0, 1), Kind::Log, &text(1, 40));
    w.pump()?;
    let again = w.record.get(&(0, 1)).and_then(|r| r.get(before..)).unwrap_or_default().to_vec();
    w.inject((0, 1), &again)?;
    w.send((0, 1), Kind::Log, &text(2, 40));
    w.pump()?;
    let got = numbers(&w.said((0, 1), Kind::Log));
    ensure!(got == [1, 2], "{got:?}");
    ensure!(w.members[1].stats().duplicates == 1, "{} are counted", w.members[1].stats().duplicates);
    Ok(())
}

/// When the link to a peer was last told to be gone.
fn gone(w: &World, at: usize, peer: usize) -> Option<i64> {
    w.links[at].iter().find(|l| l.0 == peer && !l.2).map(|l| l.1)
}

fn silence(t: Of) -> Result<(), String> {
    for (from, to) in [(0, 1), (1, 0)] {
        let mut w = World::linked(t, 3)?;
        w.pass(5 * SECOND)?;
        let since = w.now;
        w.hold((from, to));
        w.pass(2 * SECOND)?;
        ensure!(gone(&w, to, from).is_none(), "{to} gave up {from} after less than two seconds");
        w.pass(2 * SECOND)?;
        let at = gone(&w, to, from).ok_or(format!("{from} is silent, and {to} holds on to it"))?;
        ensure!(at - since <= IDLE_TIMEOUT, "it took {} µs", at - since);
        ensure!(w.stands(to, 2) && w.stands(from, 2), "another link ended too");
    }
    Ok(())
}

fn half(t: Of) -> Result<(), String> {
    let mut w = World::linked(t, 2)?;
    w.pass(5 * SECOND)?;
    let since = w.now;
    // Nothing of what 0 says comes, but an octet of a frame each half second.
    w.tap = Some(Box::new(|way, octets| {
        if way == (0, 1) {
            octets.clear();
        }
    }));
    for octet in [0, 0, 0, 100, 1, 2, 3, 4, 5] {
        w.tap = None;
        if w.stands(1, 0) {
            w.inject((0, 1), &[octet])?;
        }
        w.tap = Some(Box::new(|way, octets| {
            if way == (0, 1) {
                octets.clear();
            }
        }));
        w.pass(SECOND / 2)?;
    }
    let at = gone(&w, 1, 0).ok_or("octet by octet a link is held")?;
    ensure!(at - since <= IDLE_TIMEOUT + SECOND / 2, "it took {} µs", at - since);
    ensure!(w.heard[1].is_empty(), "something was heard");
    Ok(())
}

fn newest(t: Of) -> Result<(), String> {
    let mut w = World::linked(t, 2)?;
    for kind in [Kind::Gossip, Kind::Drift] {
        w.paused.insert(1);
        for n in 0..200 {
            w.send((0, 1), kind, &text(n, 4_000));
            if n % 10 == 0 {
                w.pump()?;
            }
        }
        w.paused.clear();
        w.pump()?;
        let got = numbers(&w.said((0, 1), kind));
        ensure!(got.is_sorted(), "{kind:?}: an older one after a newer one: {got:?}");
        let wanted: Vec<u32> = (200 - MAX_LATEST_MESSAGES as u32..200).collect();
        ensure!(got.ends_with(&wanted), "{kind:?}: the newest are not among {got:?}");
        ensure!(got.len() < 100, "{kind:?}: {} old ones were sent to one that was slow", got.len());
    }
    let (heard, given_up) = (w.heard[1].len() as u64, w.members[0].stats().given_up);
    ensure!(heard + given_up == 400, "{heard} came, {given_up} are counted as given up");
    Ok(())
}

fn slow(t: Of) -> Result<(), String> {
    let mut w = World::linked(t, 3)?;
    w.paused.insert(2);
    for n in 0..100 {
        w.send((0, 2), Kind::Agreement, &text(n, 30_000));
        w.send((0, 1), Kind::Drift, &text(n, 40));
        w.pump()?;
        let got = w.said((0, 1), Kind::Drift).len() as u32;
        ensure!(got == n + 1, "{got} of {} came at once while another is slow", n + 1);
    }
    ensure!(w.stands(0, 1) && w.stands(1, 0), "the link to the one that is not slow ended");
    Ok(())
}

fn bounded(t: Of) -> Result<(), String> {
    let mut w = World::linked(t, 2)?;
    w.paused.insert(1);
    let most = MAX_ORDERED_BYTES + MAX_ORDERED_BYTES / 2;
    for n in 0..500 {
        let kind = if n % 2 == 0 { Kind::Gossip } else { Kind::Drift };
        w.send((0, 1), kind, &text(n, 40_000));
        w.send((0, 1), Kind::Agreement, &text(n, 20_000));
        let held = w.members[0].held(1);
        ensure!(held <= most, "{held} octets wait for one peer");
    }
    Ok(())
}

fn full(t: Of) -> Result<(), String> {
    let mut w = World::linked(t, 2)?;
    w.paused.insert(1);
    for n in 0..MAX_ORDERED_BYTES as u32 / 60_000 + 8 {
        w.send((0, 1), Kind::Log, &text(n, 60_000));
    }
    w.pump()?;
    ensure!(w.ended(0, Reason::Full) == 1, "the link goes on, or its end is not counted");
    ensure!(!w.stands(0, 1), "its end is not told");
    w.paused.clear();
    w.pass(15 * SECOND)?;
    ensure!(w.stands(0, 1) && w.stands(1, 0), "it does not come back");
    Ok(())
}

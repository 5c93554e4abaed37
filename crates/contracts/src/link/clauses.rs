//! The clauses that every link keeps.

use super::connection::Connection;
use super::{CallOutcome, Receiver, calls, copies, ends};
use crate::ensure;
use crate::random::SeededRandom;
use crate::suite::Clause;
use heronroute_engine::Micros;
use heronroute_engine::link::LinkEvent;
use std::collections::BTreeSet;

/// The clauses.
pub const CLAUSES: &[Clause<dyn Receiver>] = &[
    Clause { name: "it is ready once, and not before the receiver is", run: ready },
    Clause { name: "each call is answered as itself, once", run: calls::as_itself },
    Clause { name: "each message of a call is answered", run: calls::several },
    Clause { name: "an answer tells how it ended", run: calls::how },
    Clause { name: "answers in any split are the same", run: split },
    Clause { name: "what began to leave is never called unsent, what did not always", run: calls::begun },
    Clause { name: "what never left can be taken back, and the rest stands", run: calls::taken_back },
    Clause { name: "what was taken back is not answered", run: calls::nothing_out },
    Clause { name: "an answer that nobody waits for is passed over", run: calls::forgotten },
    Clause { name: "a copy of an answer proves nothing of the next call", run: copies::of_the_call_before },
    Clause { name: "whatever follows a copy, it delivers nothing", run: copies::of_a_delivery },
    Clause { name: "an answer that comes a call late proves nothing", run: copies::late_by_one },
    Clause { name: "what ends a message says so", run: ends::certain },
    Clause { name: "what ends a message says so in doubt too", run: ends::in_doubt },
    Clause { name: "what ends a message says so where it breaks off", run: ends::broken_off },
    Clause { name: "what ends a message says so where it lay unread", run: ends::unread },
    Clause { name: "a wait is announced whoever's answer it comes with", run: ends::late_wait },
    Clause { name: "an answer to nothing answers nothing", run: unrequested_answer },
    Clause { name: "an answer of another kind is no delivery", run: mismatch },
    Clause { name: "a probe is answered as one", run: probe },
    Clause { name: "an end delivers nothing", run: end },
    Clause { name: "no octets make it panic or answer twice", run: noise },
    Clause { name: "nothing happens before its time, and acting on time moves it on", run: times },
];

fn ready(r: &dyn Receiver) -> Result<(), String> {
    let mut connection = Connection::new(r);
    let count =
        |connection: &Connection<'_>| connection.events.iter().filter(|e| **e == LinkEvent::Ready).count();
    let sent = connection.flush();
    if let Some(greeting) = r.opening_reply(&sent) {
        ensure!(count(&connection) == 0, "ready before the receiver has said anything");
        connection.receive(&greeting);
    }
    ensure!(count(&connection) == 1, "ready {} times: {:?}", count(&connection), connection.events);
    for call in 1..=2 {
        connection.call(call, 1);
        let sent = connection.flush();
        connection.answer(&sent, CallOutcome::Done);
    }
    ensure!(count(&connection) == 1, "ready {} times: {:?}", count(&connection), connection.events);
    Ok(())
}

fn split(r: &dyn Receiver) -> Result<(), String> {
    let play = |pieces: Option<(usize, u64)>| -> Result<_, String> {
        let mut connection = Connection::ready(r)?;
        for (call, how) in
            [(1, CallOutcome::Done), (2, CallOutcome::Busy(2_000_000)), (3, CallOutcome::Error)]
        {
            connection.call(call, 1);
            let octets = r.answers(&connection.flush(), how).concat();
            match pieces {
                None => connection.receive(&octets),
                Some((most, seed)) => SeededRandom::new(seed)
                    .pieces(&octets, most)
                    .into_iter()
                    .for_each(|p| connection.receive(p)),
            }
            // A connection may be spent by an answer that is known before its end.
            if !connection.usable() {
                connection.events.retain(|e| {
                    matches!(e, LinkEvent::Answered { .. } | LinkEvent::AnsweredUnconfirmed { .. })
                });
                let mut next = Connection::ready(r)?;
                next.events = connection.events;
                connection = next;
            }
        }
        Ok(connection.answered())
    };
    let whole = play(None)?;
    ensure!(whole.len() == 3, "three calls: {whole:?}");
    for seed in 0..24 {
        let most = [1, 2, 7, 30][seed as usize % 4];
        let other = play(Some((most, seed)))?;
        ensure!(other == whole, "pieces of up to {most}: {other:?}\ninstead of {whole:?}");
    }
    Ok(())
}

fn unrequested_answer(r: &dyn Receiver) -> Result<(), String> {
    let mut connection = Connection::ready(r)?;
    connection.receive(&r.unrequested_answer());
    let spoke = connection.events.iter().any(|e| {
        matches!(e, LinkEvent::Answered { .. } | LinkEvent::AnsweredUnconfirmed { .. } | LinkEvent::Probed(_))
    });
    ensure!(!spoke, "{:?}", connection.events);
    if connection.usable() {
        connection.call(1, 1);
        let sent = connection.flush();
        connection.answer(&sent, CallOutcome::Done);
        ensure!(connection.done() == [(1, 0)], "the call behind it: {:?}", connection.events);
    }
    Ok(())
}

fn mismatch(r: &dyn Receiver) -> Result<(), String> {
    let mut connection = Connection::ready(r)?;
    connection.call(1, 1);
    let sent = connection.flush();
    if let Some(octets) = r.mismatch(&sent) {
        connection.receive(&octets);
        ensure!(connection.done().is_empty(), "{:?}", connection.events);
    }
    Ok(())
}

fn probe(r: &dyn Receiver) -> Result<(), String> {
    let mut connection = Connection::ready(r)?;
    connection.link.probe(connection.now, &mut connection.stream);
    let sent = connection.flush();
    ensure!(!sent.is_empty(), "a probe says nothing");
    connection.answer(&sent, CallOutcome::Done);
    let probed = connection.events.iter().filter(|e| matches!(e, LinkEvent::Probed(_))).count();
    ensure!(probed == 1 && connection.answered().is_empty(), "{:?}", connection.events);
    connection.call(1, 1);
    let sent = connection.flush();
    connection.answer(&sent, CallOutcome::Done);
    ensure!(connection.done() == [(1, 0)], "the call behind it: {:?}", connection.events);
    Ok(())
}

fn end(r: &dyn Receiver) -> Result<(), String> {
    for calls in 0..=r.max_open_calls().min(2) as u64 {
        let mut connection = Connection::ready(r)?;
        for call in 1..=calls {
            connection.call(call, 1);
        }
        connection.flush();
        connection.link.ended(connection.now, &mut connection.events);
        ensure!(connection.is_unusable(), "with {calls} calls out: {:?}", connection.events);
        ensure!(connection.done().is_empty(), "with {calls} calls out: {:?}", connection.events);
    }
    Ok(())
}

fn noise(r: &dyn Receiver) -> Result<(), String> {
    for seed in 0..400 {
        let mut random = SeededRandom::new(seed);
        let mut connection = Connection::ready(r)?;
        let calls = 1 + random.below(r.max_open_calls().min(3)) as u64;
        for call in 1..=calls {
            let messages = 1 + random.below(r.batch().min(3));
            connection.call(call, messages);
        }
        let sent = connection.flush();
        let how = [CallOutcome::Done, CallOutcome::Busy(1_000), CallOutcome::Error][random.below(3)];
        let good = r.answers(&sent, how).concat();
        let octets = match seed % 5 {
            0 => {
                let length = random.below(200);
                random.octets(length)
            }
            1 => [&good[..], &good].concat(),
            _ => random.spoil(&good),
        };
        for piece in random.pieces(&octets, 50) {
            connection.receive(piece);
        }
        connection.link.ended(connection.now, &mut connection.events);
        let answered = connection.answered();
        let apart: BTreeSet<(u64, usize)> = answered.iter().map(|a| (a.0, a.1)).collect();
        ensure!(apart.len() == answered.len(), "seed {seed}: answered twice: {answered:?}");
        ensure!(apart.iter().all(|a| (1..=calls).contains(&a.0)), "seed {seed}: no such call: {answered:?}");
    }
    Ok(())
}

fn times(r: &dyn Receiver) -> Result<(), String> {
    let mut probing = Connection::ready(r)?;
    probing.link.probe(probing.now, &mut probing.stream);
    for mut connection in [Connection::new(r), Connection::ready(r)?, probing] {
        for _ in 0..20 {
            let wake = connection.link.wake();
            if wake == Micros::MAX || connection.is_unusable() {
                break;
            }
            let (events, out) = (connection.events.len(), connection.stream.out.len());
            if connection.now < wake - 1 {
                connection.link.tick(wake - 1, &mut connection.stream, &mut connection.events);
                ensure!(connection.events.len() == events, "before its time: {:?}", connection.events);
                ensure!(connection.stream.out.len() == out, "it says something before its time");
            }
            connection.now = wake.max(connection.now);
            connection.link.tick(connection.now, &mut connection.stream, &mut connection.events);
            ensure!(
                connection.is_unusable() || connection.link.wake() > connection.now,
                "its time was over and still is"
            );
        }
    }
    Ok(())
}

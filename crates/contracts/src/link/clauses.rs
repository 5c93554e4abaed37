//! What holds of each link.

use super::wire::Wire;
use super::{How, Receiver, calls, copies};
use crate::dice::Dice;
use crate::ensure;
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
    Clause { name: "an answer that comes a call late proves nothing", run: copies::late_by_one },
    Clause { name: "an answer to nothing answers nothing", run: stray },
    Clause { name: "an answer of another kind is no delivery", run: mismatch },
    Clause { name: "a probe is answered as one", run: probe },
    Clause { name: "an end delivers nothing", run: end },
    Clause { name: "no octets make it panic or answer twice", run: noise },
    Clause { name: "nothing happens before its time, and acting on time moves it on", run: times },
];

fn ready(r: &dyn Receiver) -> Result<(), String> {
    let mut w = Wire::new(r);
    let count = |w: &Wire<'_>| w.events.iter().filter(|e| **e == LinkEvent::Ready).count();
    let sent = w.flush();
    if let Some(greeting) = r.greet(&sent) {
        ensure!(count(&w) == 0, "ready before the receiver has said anything");
        w.hear(&greeting);
    }
    ensure!(count(&w) == 1, "ready {} times: {:?}", count(&w), w.events);
    for call in 1..=2 {
        w.call(call, 1);
        let sent = w.flush();
        w.answer(&sent, How::Done);
    }
    ensure!(count(&w) == 1, "ready {} times: {:?}", count(&w), w.events);
    Ok(())
}

fn split(r: &dyn Receiver) -> Result<(), String> {
    let play = |pieces: Option<(usize, u64)>| -> Result<_, String> {
        let mut w = Wire::ready(r)?;
        for (call, how) in [(1, How::Done), (2, How::Busy(2_000_000)), (3, How::Error)] {
            w.call(call, 1);
            let octets = r.answers(&w.flush(), how).concat();
            match pieces {
                None => w.hear(&octets),
                Some((most, seed)) => {
                    Dice::new(seed).pieces(&octets, most).into_iter().for_each(|p| w.hear(p))
                }
            }
            // A connection may be spent by an answer that is known before its end.
            if !w.usable() {
                w.events.retain(|e| {
                    matches!(e, LinkEvent::Answered { .. } | LinkEvent::AnsweredUnconfirmed { .. })
                });
                let mut next = Wire::ready(r)?;
                next.events = w.events;
                w = next;
            }
        }
        Ok(w.answered())
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

fn stray(r: &dyn Receiver) -> Result<(), String> {
    let mut w = Wire::ready(r)?;
    w.hear(&r.stray());
    let spoke = w.events.iter().any(|e| {
        matches!(e, LinkEvent::Answered { .. } | LinkEvent::AnsweredUnconfirmed { .. } | LinkEvent::Probed(_))
    });
    ensure!(!spoke, "{:?}", w.events);
    if w.usable() {
        w.call(1, 1);
        let sent = w.flush();
        w.answer(&sent, How::Done);
        ensure!(w.done() == [(1, 0)], "the call behind it: {:?}", w.events);
    }
    Ok(())
}

fn mismatch(r: &dyn Receiver) -> Result<(), String> {
    let mut w = Wire::ready(r)?;
    w.call(1, 1);
    let sent = w.flush();
    if let Some(octets) = r.mismatch(&sent) {
        w.hear(&octets);
        ensure!(w.done().is_empty(), "{:?}", w.events);
    }
    Ok(())
}

fn probe(r: &dyn Receiver) -> Result<(), String> {
    let mut w = Wire::ready(r)?;
    w.link.probe(w.now, &mut w.stream);
    let sent = w.flush();
    ensure!(!sent.is_empty(), "a probe says nothing");
    w.answer(&sent, How::Done);
    let probed = w.events.iter().filter(|e| matches!(e, LinkEvent::Probed(_))).count();
    ensure!(probed == 1 && w.answered().is_empty(), "{:?}", w.events);
    w.call(1, 1);
    let sent = w.flush();
    w.answer(&sent, How::Done);
    ensure!(w.done() == [(1, 0)], "the call behind it: {:?}", w.events);
    Ok(())
}

fn end(r: &dyn Receiver) -> Result<(), String> {
    for calls in 0..=r.at_once().min(2) as u64 {
        let mut w = Wire::ready(r)?;
        for call in 1..=calls {
            w.call(call, 1);
        }
        w.flush();
        w.link.ended(w.now, &mut w.events);
        ensure!(w.over(), "with {calls} calls out: {:?}", w.events);
        ensure!(w.done().is_empty(), "with {calls} calls out: {:?}", w.events);
    }
    Ok(())
}

fn noise(r: &dyn Receiver) -> Result<(), String> {
    for seed in 0..400 {
        let mut dice = Dice::new(seed);
        let mut w = Wire::ready(r)?;
        let calls = 1 + dice.below(r.at_once().min(3)) as u64;
        for call in 1..=calls {
            let messages = 1 + dice.below(r.batch().min(3));
            w.call(call, messages);
        }
        let sent = w.flush();
        let how = [How::Done, How::Busy(1_000), How::Error][dice.below(3)];
        let good = r.answers(&sent, how).concat();
        let octets = match seed % 5 {
            0 => {
                let length = dice.below(200);
                dice.octets(length)
            }
            1 => [&good[..], &good].concat(),
            _ => dice.spoil(&good),
        };
        for piece in dice.pieces(&octets, 50) {
            w.hear(piece);
        }
        w.link.ended(w.now, &mut w.events);
        let answered = w.answered();
        let apart: BTreeSet<(u64, usize)> = answered.iter().map(|a| (a.0, a.1)).collect();
        ensure!(apart.len() == answered.len(), "seed {seed}: answered twice: {answered:?}");
        ensure!(apart.iter().all(|a| (1..=calls).contains(&a.0)), "seed {seed}: no such call: {answered:?}");
    }
    Ok(())
}

fn times(r: &dyn Receiver) -> Result<(), String> {
    let mut probing = Wire::ready(r)?;
    probing.link.probe(probing.now, &mut probing.stream);
    for mut w in [Wire::new(r), Wire::ready(r)?, probing] {
        for _ in 0..20 {
            let wake = w.link.wake();
            if wake == Micros::MAX || w.over() {
                break;
            }
            let (events, out) = (w.events.len(), w.stream.out.len());
            if w.now < wake - 1 {
                w.link.tick(wake - 1, &mut w.stream, &mut w.events);
                ensure!(w.events.len() == events, "before its time: {:?}", w.events);
                ensure!(w.stream.out.len() == out, "it says something before its time");
            }
            w.now = wake.max(w.now);
            w.link.tick(w.now, &mut w.stream, &mut w.events);
            ensure!(w.over() || w.link.wake() > w.now, "its time was over and still is");
        }
    }
    Ok(())
}

//! What holds of calls on a link: their place in the stream, and whose an answer is.

use super::wire::Wire;
use super::{How, Receiver};
use crate::ensure;
use heronroute::Outcome;
use heronroute_engine::calls::{CallEnd, outcome_without_answer};
use heronroute_engine::link::LinkEvent;

pub fn as_itself(r: &dyn Receiver) -> Result<(), String> {
    let mut w = Wire::ready(r)?;
    let calls = [11, 5, 7, 3];
    for some in calls.chunks(r.at_once()) {
        for call in some {
            w.call(*call, 1);
        }
        let sent = w.flush();
        let mut answers = r.answers(&sent, How::Done);
        ensure!(answers.len() == some.len(), "{} calls, the receiver saw {}", some.len(), answers.len());
        if r.reorders() {
            answers.reverse();
        }
        for (n, octets) in answers.iter().enumerate() {
            let before = w.answered().len();
            w.hear(octets);
            let call = if r.reorders() { some[some.len() - 1 - n] } else { some[n] };
            let new: Vec<u64> = w.answered()[before..].iter().map(|a| a.0).collect();
            ensure!(new == [call], "the answer to {call} is taken for {new:?}");
        }
    }
    ensure!(w.done().len() == calls.len(), "{:?}", w.events);
    Ok(())
}

pub fn several(r: &dyn Receiver) -> Result<(), String> {
    let messages = r.batch().min(3);
    let mut w = Wire::ready(r)?;
    let ranges = w.call(1, messages);
    ensure!(ranges.len() == messages, "{messages} messages, {} places", ranges.len());
    let sent = w.flush();
    w.answer(&sent, How::Done);
    let wanted: Vec<(u64, usize)> = (0..messages).map(|part| (1, part)).collect();
    ensure!(w.done() == wanted && w.answered().len() == messages, "{:?}", w.events);
    Ok(())
}

pub fn how(r: &dyn Receiver) -> Result<(), String> {
    for (how, outcome, wait, over) in [
        (How::Done, Outcome::Done, 0, true),
        (How::Busy(2_000_000), Outcome::Busy, 2_000_000, false),
        (How::Busy(0), Outcome::Busy, 0, false),
        (How::Error, Outcome::Error, 0, false),
    ] {
        let mut w = Wire::ready(r)?;
        w.call(1, 1);
        let sent = w.flush();
        w.answer(&sent, how);
        let answered = w.answered();
        ensure!(answered.len() == 1, "{how:?}: {:?}", w.events);
        let reply = answered[0].2;
        ensure!((reply.outcome, reply.wait, reply.over) == (outcome, wait, over), "{how:?}: {reply:?}");
    }
    Ok(())
}

/// What an end proves is told from how much of the stream the system took.
pub fn begun(r: &dyn Receiver) -> Result<(), String> {
    for k in [0, 1, 2, 15, 16, 40, usize::MAX] {
        let mut w = Wire::ready(r)?;
        if r.at_once() > 1 {
            w.call(1, 1);
            w.flush();
        } else {
            w.call(1, 1);
            let sent = w.flush();
            w.answer(&sent, How::Done);
        }
        let ranges = w.call(2, 1);
        ensure!(ranges.len() == 1 && !w.stream.out.is_empty(), "a message without a place: {ranges:?}");
        w.stream.wrote(k);
        let begun = ranges[0].0 < w.stream.sent;
        let unsent = outcome_without_answer(CallEnd::Closed, begun).never_ran();
        ensure!(unsent == (k == 0), "{k} octets of it left, and it is called unsent: {unsent}");
        ensure!(
            ranges[0].1 == w.stream.position(),
            "it ends at {}, not at {}",
            w.stream.position(),
            ranges[0].1
        );
    }
    Ok(())
}

pub fn taken_back(r: &dyn Receiver) -> Result<(), String> {
    let mut w = Wire::ready(r)?;
    let first = r.at_once() > 1;
    if first {
        w.call(1, 1);
    }
    let (from, to) = w.call(2, 1).first().copied().ok_or("a message without a place")?;
    ensure!(w.stream.withdraw(from, to), "it can't be taken back");
    w.link.forget(2, 0, true);
    w.call(3, 1);
    let sent = w.flush();
    w.answer(&sent, How::Done);
    let wanted: &[(u64, usize)] = if first { &[(1, 0), (3, 0)] } else { &[(3, 0)] };
    ensure!(w.done() == wanted && w.answered().len() == wanted.len(), "{:?}", w.events);
    Ok(())
}

/// Where a call was taken back nothing is out: what comes then is no answer of it.
pub fn nothing_out(r: &dyn Receiver) -> Result<(), String> {
    let mut w = Wire::ready(r)?;
    let (from, to) = w.call(2, 1).first().copied().ok_or("a message without a place")?;
    ensure!(w.stream.withdraw(from, to), "it can't be taken back");
    w.link.forget(2, 0, true);
    w.hear(&r.stray());
    let spoke = w.events.iter().any(|e| {
        matches!(e, LinkEvent::Answered { .. } | LinkEvent::AnsweredUnconfirmed { .. } | LinkEvent::Probed(_))
    });
    ensure!(!spoke, "{:?}", w.events);
    Ok(())
}

pub fn forgotten(r: &dyn Receiver) -> Result<(), String> {
    let mut w = Wire::ready(r)?;
    w.call(1, 1);
    let sent = w.flush();
    w.link.forget(1, 0, false);
    w.answer(&sent, How::Done);
    ensure!(w.answered().is_empty(), "{:?}", w.events);
    if w.usable() {
        w.call(2, 1);
        let sent = w.flush();
        w.answer(&sent, How::Done);
        ensure!(w.done() == [(2, 0)], "the call behind it: {:?}", w.events);
    }
    Ok(())
}

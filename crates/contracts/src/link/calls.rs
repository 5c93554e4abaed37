//! Clauses about calls on a link: their position in the stream, and the attribution of answers.

use super::connection::Connection;
use super::{CallOutcome, Receiver};
use crate::ensure;
use heronroute::{Finality, Outcome};
use heronroute_engine::calls::{CallEnd, outcome_without_answer};
use heronroute_engine::link::LinkEvent;

pub fn as_itself(r: &dyn Receiver) -> Result<(), String> {
    let mut connection = Connection::ready(r)?;
    let calls = [11, 5, 7, 3];
    for some in calls.chunks(r.max_open_calls()) {
        for call in some {
            connection.call(*call, 1);
        }
        let sent = connection.flush();
        let mut answers = r.answers(&sent, CallOutcome::Done);
        ensure!(answers.len() == some.len(), "{} calls, the receiver saw {}", some.len(), answers.len());
        if r.may_reorder() {
            answers.reverse();
        }
        for (n, octets) in answers.iter().enumerate() {
            let before = connection.answered().len();
            connection.receive(octets);
            let call = if r.may_reorder() { some[some.len() - 1 - n] } else { some[n] };
            let new: Vec<u64> = connection.answered()[before..].iter().map(|a| a.0).collect();
            ensure!(new == [call], "the answer to {call} is taken for {new:?}");
        }
    }
    ensure!(connection.done().len() == calls.len(), "{:?}", connection.events);
    Ok(())
}

pub fn several(r: &dyn Receiver) -> Result<(), String> {
    let messages = r.batch().min(3);
    let mut connection = Connection::ready(r)?;
    let ranges = connection.call(1, messages);
    ensure!(ranges.len() == messages, "{messages} messages, {} places", ranges.len());
    let sent = connection.flush();
    connection.answer(&sent, CallOutcome::Done);
    let wanted: Vec<(u64, usize)> = (0..messages).map(|part| (1, part)).collect();
    ensure!(
        connection.done() == wanted && connection.answered().len() == messages,
        "{:?}",
        connection.events
    );
    Ok(())
}

pub fn how(r: &dyn Receiver) -> Result<(), String> {
    for (how, outcome, wait, finality) in [
        (CallOutcome::Done, Outcome::Done, 0, Finality::Over),
        (CallOutcome::Busy(2_000_000), Outcome::Busy, 2_000_000, Finality::Open),
        (CallOutcome::Busy(0), Outcome::Busy, 0, Finality::Open),
        (CallOutcome::Error, Outcome::Error, 0, Finality::Open),
    ] {
        let mut connection = Connection::ready(r)?;
        connection.call(1, 1);
        let sent = connection.flush();
        connection.answer(&sent, how);
        let answered = connection.answered();
        ensure!(answered.len() == 1, "{how:?}: {:?}", connection.events);
        let reply = answered[0].2;
        ensure!(
            (reply.outcome, reply.wait, reply.finality) == (outcome, wait, finality),
            "{how:?}: {reply:?}"
        );
    }
    Ok(())
}

/// Whether a call has begun follows from how many bytes of the stream were written.
pub fn begun(r: &dyn Receiver) -> Result<(), String> {
    for k in [0, 1, 2, 15, 16, 40, usize::MAX] {
        let mut connection = Connection::ready(r)?;
        if r.max_open_calls() > 1 {
            connection.call(1, 1);
            connection.flush();
        } else {
            connection.call(1, 1);
            let sent = connection.flush();
            connection.answer(&sent, CallOutcome::Done);
        }
        let ranges = connection.call(2, 1);
        ensure!(
            ranges.len() == 1 && !connection.stream.out.is_empty(),
            "a message without a place: {ranges:?}"
        );
        connection.stream.wrote(k);
        let begun = ranges[0].0 < connection.stream.sent;
        let unsent = outcome_without_answer(CallEnd::Closed, begun).never_ran();
        ensure!(unsent == (k == 0), "{k} octets of it left, and it is called unsent: {unsent}");
        ensure!(
            ranges[0].1 == connection.stream.position(),
            "it ends at {}, not at {}",
            connection.stream.position(),
            ranges[0].1
        );
    }
    Ok(())
}

pub fn taken_back(r: &dyn Receiver) -> Result<(), String> {
    let mut connection = Connection::ready(r)?;
    let first = r.max_open_calls() > 1;
    if first {
        connection.call(1, 1);
    }
    let (from, to) = connection.call(2, 1).first().copied().ok_or("a message without a place")?;
    ensure!(connection.stream.withdraw(from, to), "it can't be taken back");
    connection.link.forget(2, 0, true);
    connection.call(3, 1);
    let sent = connection.flush();
    connection.answer(&sent, CallOutcome::Done);
    let wanted: &[(u64, usize)] = if first { &[(1, 0), (3, 0)] } else { &[(3, 0)] };
    ensure!(
        connection.done() == wanted && connection.answered().len() == wanted.len(),
        "{:?}",
        connection.events
    );
    Ok(())
}

/// Once a call is withdrawn no call is open, so that nothing answers it.
pub fn nothing_out(r: &dyn Receiver) -> Result<(), String> {
    let mut connection = Connection::ready(r)?;
    let (from, to) = connection.call(2, 1).first().copied().ok_or("a message without a place")?;
    ensure!(connection.stream.withdraw(from, to), "it can't be taken back");
    connection.link.forget(2, 0, true);
    connection.receive(&r.unrequested_answer());
    let spoke = connection.events.iter().any(|e| {
        matches!(e, LinkEvent::Answered { .. } | LinkEvent::AnsweredUnconfirmed { .. } | LinkEvent::Probed(_))
    });
    ensure!(!spoke, "{:?}", connection.events);
    Ok(())
}

pub fn forgotten(r: &dyn Receiver) -> Result<(), String> {
    let mut connection = Connection::ready(r)?;
    connection.call(1, 1);
    let sent = connection.flush();
    connection.link.forget(1, 0, false);
    connection.answer(&sent, CallOutcome::Done);
    ensure!(connection.answered().is_empty(), "{:?}", connection.events);
    if connection.usable() {
        connection.call(2, 1);
        let sent = connection.flush();
        connection.answer(&sent, CallOutcome::Done);
        ensure!(connection.done() == [(2, 0)], "the call behind it: {:?}", connection.events);
    }
    Ok(())
}

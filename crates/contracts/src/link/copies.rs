//! Clauses about second copies of answers.

use super::connection::Connection;
use super::{CallOutcome, Receiver};
use crate::ensure;
use heronroute::Outcome;
use heronroute_engine::Micros;
use heronroute_engine::link::LinkEvent;

/// Longer than any timer of a link.
const LONG: Micros = 60_000_000;
/// For a link whose time is always over.
const MAX_TICKS: usize = 100;

/// Whether the link says for certain how a call ended.
fn is_certain(connection: &Connection<'_>, call: u64) -> bool {
    connection.events.iter().any(|e| matches!(e, LinkEvent::Answered { call: c, .. } if *c == call))
}

/// Lets a time pass that no link's own timers outlast.
fn wait(connection: &mut Connection<'_>) {
    let end = connection.now + LONG;
    for _ in 0..MAX_TICKS {
        if connection.is_unusable() || connection.link.wake() > end {
            break;
        }
        connection.now = connection.link.wake().max(connection.now);
        connection.link.tick(connection.now, &mut connection.stream, &mut connection.events);
    }
    connection.now = end;
}

/// A copy of the answer to the first call comes once the second one is written. No time makes it that call's answer.
pub fn of_the_call_before(r: &dyn Receiver) -> Result<(), String> {
    for how in [CallOutcome::Done, CallOutcome::Busy(0), CallOutcome::Busy(2_000_000), CallOutcome::Error] {
        let mut connection = Connection::ready(r)?;
        connection.call(1, 1);
        let answers = r.answers(&connection.flush(), how);
        answers.iter().for_each(|octets| connection.receive(octets));
        if !connection.usable() {
            continue;
        }
        connection.call(2, 1);
        connection.flush();
        answers.iter().for_each(|octets| connection.receive(octets));
        ensure!(
            !is_certain(&connection, 2),
            "{how:?}: a copy is taken for the next call's answer: {:?}",
            connection.events
        );
        wait(&mut connection);
        ensure!(
            !is_certain(&connection, 2),
            "{how:?}: a copy is taken for it after a while: {:?}",
            connection.events
        );
    }
    Ok(())
}

/// A copy of a delivery's answer comes once the second call is written, which is not delivered, and then whatever may
/// follow: none of it makes the second call a delivery.
pub fn of_a_delivery(r: &dyn Receiver) -> Result<(), String> {
    for follows in [Some(CallOutcome::Busy(0)), Some(CallOutcome::Error), None] {
        let mut connection = Connection::ready(r)?;
        connection.call(1, 1);
        let copy = r.answers(&connection.flush(), CallOutcome::Done);
        copy.iter().for_each(|octets| connection.receive(octets));
        if !connection.usable() {
            continue;
        }
        connection.call(2, 1);
        let sent = connection.flush();
        copy.iter().for_each(|octets| connection.receive(octets));
        if let Some(how) = follows {
            r.answers(&sent, how).iter().for_each(|octets| connection.receive(octets));
        }
        wait(&mut connection);
        connection.link.ended(connection.now, &mut connection.events);
        let delivers = |event: &LinkEvent| matches!(event, LinkEvent::Answered { call: 2, reply, .. } if reply.outcome == Outcome::Done);
        ensure!(!connection.events.iter().any(delivers), "{follows:?}: {:?}", connection.events);
    }
    Ok(())
}

/// A copy was taken for the answer to the second call, so that the second's own comes as the third is out.
pub fn late_by_one(r: &dyn Receiver) -> Result<(), String> {
    let mut connection = Connection::ready(r)?;
    connection.call(1, 1);
    let copy = r.answers(&connection.flush(), CallOutcome::Done);
    copy.iter().for_each(|octets| connection.receive(octets));
    connection.call(2, 1);
    let own = r.answers(&connection.flush(), CallOutcome::Busy(0));
    copy.iter().for_each(|octets| connection.receive(octets));
    wait(&mut connection);
    if !connection.usable() || r.may_reorder() {
        return Ok(());
    }
    connection.call(3, 1);
    connection.flush();
    own.iter().for_each(|octets| connection.receive(octets));
    ensure!(
        !is_certain(&connection, 3),
        "the answer to the second call is taken for the third's: {:?}",
        connection.events
    );
    Ok(())
}

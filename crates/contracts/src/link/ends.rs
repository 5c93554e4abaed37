//! Clauses about answers that end a message for good, and about announced waits, whomever they belong to.

use super::connection::Connection;
use super::{CallOutcome, Receiver};
use crate::ensure;
use heronroute::Finality;
use heronroute_engine::Micros;
use heronroute_engine::link::LinkEvent;

/// The answers that end a message, and what they say.
const ENDS: [(CallOutcome, Finality); 2] =
    [(CallOutcome::Gone, Finality::Over), (CallOutcome::Exhausted, Finality::Exhausted)];

fn ensure_ended(
    connection: &Connection<'_>,
    call: u64,
    messages: usize,
    wanted: Finality,
) -> Result<(), String> {
    let answered: Vec<Finality> =
        connection.answered().into_iter().filter(|a| a.0 == call).map(|a| a.2.finality).collect();
    ensure!(answered == vec![wanted; messages], "{wanted:?} is read as {answered:?}");
    Ok(())
}

/// Each message of a call that is answered so may not be sent again.
pub fn certain(r: &dyn Receiver) -> Result<(), String> {
    for (how, wanted) in ENDS.into_iter().filter(|_| r.can_end_messages()) {
        for messages in [1, r.batch()] {
            let mut connection = Connection::ready(r)?;
            connection.call(1, messages);
            let sent = connection.flush();
            connection.answer(&sent, how);
            ensure_ended(&connection, 1, messages, wanted)?;
        }
    }
    Ok(())
}

/// The same where an earlier answer on the connection came twice, so that this one may be another call's.
pub fn in_doubt(r: &dyn Receiver) -> Result<(), String> {
    for (how, wanted) in ENDS.into_iter().filter(|_| r.can_end_messages()) {
        let mut connection = Connection::ready(r)?;
        for call in 1..=2 {
            connection.call(call, 1);
            let sent = connection.flush();
            connection.answer(&sent, CallOutcome::Done);
        }
        if !connection.usable() {
            continue;
        }
        connection.call(3, 1);
        let sent = connection.flush();
        connection.answer(&sent, how);
        ensure_ended(&connection, 3, 1, wanted)?;
    }
    Ok(())
}

/// The same where the connection ends behind the answer's status line.
pub fn broken_off(r: &dyn Receiver) -> Result<(), String> {
    for (how, wanted) in ENDS.into_iter().filter(|_| r.can_end_messages()) {
        let mut connection = Connection::ready(r)?;
        connection.call(1, 1);
        let answer = r.answers(&connection.flush(), how).concat();
        let line = answer.iter().position(|octet| *octet == b'\n').map_or(0, |at| at + 1);
        connection.receive(&answer[..line]);
        let so_far = connection.link.finality_so_far(0);
        ensure!(so_far == wanted, "{wanted:?} is read as {so_far:?} where it breaks off");
    }
    Ok(())
}

/// The same where the answer lies unread as this side closes the connection.
pub fn unread(r: &dyn Receiver) -> Result<(), String> {
    for (how, wanted) in ENDS.into_iter().filter(|_| r.can_end_messages()) {
        for messages in [1, r.batch()] {
            let mut connection = Connection::ready(r)?;
            connection.call(1, messages);
            let answer = r.answers(&connection.flush(), how).concat();
            let found = connection.link.read_unhandled(&answer).map(|answers| answers.finality);
            ensure!(found == Some(wanted), "{wanted:?} is read as {found:?} where it lay unread");
        }
    }
    Ok(())
}

/// A copy was taken for a call's answer, and its own announces a wait.
pub fn late_wait(r: &dyn Receiver) -> Result<(), String> {
    const WAIT: Micros = 2_000_000;
    let mut connection = Connection::ready(r)?;
    connection.call(1, 1);
    let copy = r.answers(&connection.flush(), CallOutcome::Done).concat();
    connection.receive(&copy);
    connection.call(2, 1);
    let own = r.answers(&connection.flush(), CallOutcome::Busy(WAIT)).concat();
    connection.receive(&copy);
    if !connection.usable() || r.may_reorder() {
        return Ok(());
    }
    connection.receive(&own);
    ensure!(connection.events.contains(&LinkEvent::WaitAnnounced(WAIT)), "{:?}", connection.events);
    Ok(())
}

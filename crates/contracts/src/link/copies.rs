//! What holds of second copies of answers.

use super::wire::Wire;
use super::{How, Receiver};
use crate::ensure;
use heronroute_engine::Micros;
use heronroute_engine::link::LinkEvent;

/// Longer than any timer of a link.
const LONG: Micros = 60_000_000;
/// For a link whose time is always over.
const MAX_TICKS: usize = 100;

/// Whether the link says for certain how a call ended.
fn is_certain(w: &Wire<'_>, call: u64) -> bool {
    w.events.iter().any(|e| matches!(e, LinkEvent::Answered { call: c, .. } if *c == call))
}

/// Lets a time pass that no link's own timers outlast.
fn wait(w: &mut Wire<'_>) {
    let end = w.now + LONG;
    for _ in 0..MAX_TICKS {
        if w.over() || w.link.wake() > end {
            break;
        }
        w.now = w.link.wake().max(w.now);
        w.link.tick(w.now, &mut w.stream, &mut w.events);
    }
    w.now = end;
}

/// A copy of the answer to the first call comes once the second one is written. No time makes it that call's answer.
pub fn of_the_call_before(r: &dyn Receiver) -> Result<(), String> {
    for how in [How::Busy(0), How::Busy(2_000_000), How::Error] {
        let mut w = Wire::ready(r)?;
        w.call(1, 1);
        let answers = r.answers(&w.flush(), how);
        answers.iter().for_each(|octets| w.hear(octets));
        if !w.usable() {
            continue;
        }
        w.call(2, 1);
        w.flush();
        answers.iter().for_each(|octets| w.hear(octets));
        ensure!(!is_certain(&w, 2), "{how:?}: a copy is taken for the next call's answer: {:?}", w.events);
        wait(&mut w);
        ensure!(!is_certain(&w, 2), "{how:?}: a copy is taken for it after a while: {:?}", w.events);
    }
    Ok(())
}

/// A copy was taken for the answer to the second call, so that the second's own comes as the third is out.
pub fn late_by_one(r: &dyn Receiver) -> Result<(), String> {
    let mut w = Wire::ready(r)?;
    w.call(1, 1);
    let copy = r.answers(&w.flush(), How::Done);
    copy.iter().for_each(|octets| w.hear(octets));
    w.call(2, 1);
    let own = r.answers(&w.flush(), How::Busy(0));
    copy.iter().for_each(|octets| w.hear(octets));
    wait(&mut w);
    if !w.usable() || r.reorders() {
        return Ok(());
    }
    w.call(3, 1);
    w.flush();
    own.iter().for_each(|octets| w.hear(octets));
    ensure!(!is_certain(&w, 3), "the answer to the second call is taken for the third's: {:?}", w.events);
    Ok(())
}

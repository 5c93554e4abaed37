//! What becomes of a message after a restart. Free of I/O.
//!
//! An attempt that was about to leave and has no outcome may have run: power may have gone between the sending and
//! the record. Nothing else is guessed.

use crate::Micros;
use heronroute::Effect;
use heronroute_journal::Open;
use heronroute_journal::entry::Intent;

/// The decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Resume {
    /// Its answer stands and is owed to its client.
    Answered,
    /// It goes on, with its first attempt that may have run.
    GoesOn(Option<Intent>),
    /// It is answered at once: it may have taken effect and may not be repeated, or its time is up.
    Over {
        /// Whether it may have run.
        may_run: bool,
    },
}

/// Decides for one message. `class`: its effect and window, where the class is still known; `now` is the time of
/// day.
pub fn resume(open: &Open, class: Option<(Effect, Micros)>, now: Micros) -> Resume {
    if open.answer.is_some() {
        return Resume::Answered;
    }
    let ran = open.may_run.clone().or(open.out.clone());
    let may_run = ran.is_some();
    let Some((effect, window)) = class else { return Resume::Over { may_run } };
    // What was refused from the start is never sent.
    if now >= open.accepted.deadline || open.accepted.refused {
        return Resume::Over { may_run };
    }
    match (effect, &ran) {
        (Effect::SingleShot, Some(_)) => Resume::Over { may_run },
        // Time down counts: the receiver's memory of the key does not stand still.
        (Effect::Guarded, Some(i)) if now >= i.at + window => Resume::Over { may_run },
        _ => Resume::GoesOn(ran),
    }
}

#[cfg(test)]
mod tests;

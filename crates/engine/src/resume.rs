//! Decides what happens to a message after a restart. Free of I/O.
//!
//! An attempt that was about to be sent and has no outcome may have run, as power may have failed between the
//! sending and the record. Nothing else is assumed.

use crate::Micros;
use heronroute::Effect;
use heronroute_journal::Open;
use heronroute_journal::entry::Intent;

/// What happens to a message after a restart.
#[derive(Clone, Debug, PartialEq)]
pub enum Resume {
    /// Its answer is final and owed to its client.
    Answered,
    /// It continues. Holds the first attempt that may have run.
    Continue(Option<Intent>),
    /// It is answered at once: it may have taken effect and may not be repeated, or its time is up.
    Fail {
        /// Whether it may have run.
        may_run: bool,
    },
}

/// Decides for one message. `class` is its effect and window, if the class is still known; `now` is the time
/// of day.
pub fn resume(open: &Open, class: Option<(Effect, Micros)>, now: Micros) -> Resume {
    if open.answer.is_some() {
        return Resume::Answered;
    }
    let ran = open.may_run.clone().or(open.out.clone());
    let may_run = ran.is_some();
    let Some((effect, window)) = class else { return Resume::Fail { may_run } };
    // A message refused from the start is never sent.
    if now >= open.accepted.deadline || open.accepted.refused {
        return Resume::Fail { may_run };
    }
    match (effect, &ran) {
        (Effect::SingleShot, Some(_)) => Resume::Fail { may_run },
        // The time of the outage counts, as the receiver goes on forgetting the key meanwhile.
        (Effect::Guarded, Some(i)) if now >= i.at + window => Resume::Fail { may_run },
        _ => Resume::Continue(ran),
    }
}

#[cfg(test)]
mod tests;

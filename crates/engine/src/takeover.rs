//! Decides what is known of a dead member's message when another member takes it over. Free of I/O.
//!
//! The copy of a journal ends where the link did. A message that had to be in both regions was copied before
//! its first attempt, and each attempt was copied before it was sent, so its copy is complete. The copy of
//! any other message may lack the last attempts. Unless such a message may be repeated anyway, it counts as
//! one that may have run at any time since it was accepted.

use heronroute::Effect;
use heronroute_journal::Open;
use heronroute_journal::entry::Intent;

/// Returns a message as the member that takes it over has to treat it. `effect` is that of its class, if the
/// class is known.
pub fn as_taken_over(open: Open, effect: Option<Effect>) -> Open {
    let ran = open.may_run.or(open.out);
    let sure =
        open.accepted.both || effect == Some(Effect::Free) || open.accepted.refused || open.answer.is_some();
    let since = Intent { id: open.accepted.id, endpoint: String::new(), at: open.accepted.taken };
    // The window of a guarded message counts from the earliest moment at which it may have run.
    let may_run = if sure { ran } else { Some(since) };
    Open { attempts: open.attempts.max(u32::from(may_run.is_some())), may_run, out: None, ..open }
}

#[cfg(test)]
mod tests;

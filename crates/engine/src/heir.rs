//! What of a dead member's message is known to the one that takes it over. Free of I/O.
//!
//! The copy of a journal ends where the link did. A message that was to be in both regions was there before it was attempted, and
//! so was each attempt before it left: what the copy says of it is all that was done. Of any other the last attempts may be
//! lacking: it may have run at any time since it was accepted, but for one that may be repeated anyway.

use heronroute::Effect;
use heronroute_journal::Open;
use heronroute_journal::entry::Intent;

/// The message as its heir has to take it. `effect`: that of its class, where the class is known.
pub fn heir(open: Open, effect: Option<Effect>) -> Open {
    let ran = open.may_run.or(open.out);
    let sure =
        open.accepted.both || effect == Some(Effect::Free) || open.accepted.refused || open.answer.is_some();
    let since = Intent { id: open.accepted.id, endpoint: String::new(), at: open.accepted.taken };
    // The window of a guarded one counts from the earliest moment at which it may have run.
    let may_run = if sure { ran } else { Some(since) };
    Open { attempts: open.attempts.max(u32::from(may_run.is_some())), may_run, out: None, ..open }
}

#[cfg(test)]
mod tests;

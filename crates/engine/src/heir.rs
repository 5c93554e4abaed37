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
mod tests {
    use super::*;
    use heronroute_journal::entry::{Accepted, Answer};

    #[test]
    fn what_the_copy_may_lack_may_have_run() {
        let at = |at| Intent { id: 1, endpoint: "e".into(), at };
        let open = |both, out: Option<Intent>| Open {
            accepted: Accepted { id: 1, taken: 500, both, ..Accepted::default() },
            attempts: u32::from(out.is_some()),
            may_run: None,
            out,
            answer: None,
        };
        let ran =
            |both, out: Option<i64>, effect| heir(open(both, out.map(at)), effect).may_run.map(|i| i.at);
        for effect in [Some(Effect::Guarded), Some(Effect::SingleShot), None] {
            assert_eq!(ran(false, None, effect), Some(500), "an attempt may be lacking");
            assert_eq!(ran(false, Some(700), effect), Some(500), "an earlier one too");
            assert_eq!((ran(true, None, effect), ran(true, Some(700), effect)), (None, Some(700)));
        }
        assert_eq!(
            (ran(false, None, Some(Effect::Free)), ran(false, Some(7), Some(Effect::Free))),
            (None, Some(7))
        );
        let answered = Open { answer: Some(Answer::default()), ..open(false, None) };
        assert_eq!(heir(answered, None).may_run, None, "its answer stands");
    }
}

//! Whether a message that ended undelivered may be handed in again.
//!
//! Guards against a second effect: what may have run is only sent again where its receivers drop the repeat, or where
//! the owner of the destination says that it did not run. Times are times of day; where the clock was set back, so
//! that an attempt seems to lie ahead, a receiver's memory is taken to be over.

use crate::Micros;

/// What a second delivery would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No harm.
    Free,
    /// Receivers drop it within this span of the first.
    Guarded(Micros),
    /// It takes effect again.
    SingleShot,
}

/// What is known of the message.
#[derive(Clone, Copy, Debug)]
pub struct Past {
    /// What a second delivery would do.
    pub effect: Effect,
    /// When the first attempt began that may have taken effect.
    pub may_have_run: Option<Micros>,
    /// It was delivered, after all.
    pub delivered: bool,
    /// A hand-in of it is under way.
    pub under_way: bool,
    /// The owner of its destination said that it did not run, at this time; it counts for attempts before that.
    pub not_seen: Option<Micros>,
}

/// What is asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ask {
    /// The owner knows that it will take effect, perhaps for the second time.
    pub new_effect: bool,
    /// It may wait so long before it is sent.
    pub patience: Micros,
}

/// Why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It was delivered.
    Delivered,
    /// A hand-in of it is under way already.
    UnderWay,
    /// It may have run, and a repeat would take effect again: the destination's owner must say that it did not.
    MayHaveRun,
    /// Receivers may not remember it any more: it can go only as a new effect, by the owner's word.
    WindowOver,
}

/// The decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It goes again under its identity. It must leave by this time, and is answered undelivered again where it can't:
    /// guards against the receivers' memory ending while it waits.
    Again {
        /// See above.
        leave_by: Micros,
    },
    /// It goes as a new effect, under a new identity: receivers must not take it for the old one.
    NewEffect {
        /// It is given up then.
        leave_by: Micros,
    },
    /// It does not go.
    Refused(Refusal),
}

/// Decides.
pub fn decide(now: Micros, past: Past, ask: Ask) -> Decision {
    if past.delivered {
        return Decision::Refused(Refusal::Delivered);
    }
    if past.under_way {
        return Decision::Refused(Refusal::UnderWay);
    }
    let patience = now.saturating_add(ask.patience.max(0));
    // A word about what was not seen counts for what went before it.
    let ran = past.may_have_run.filter(|at| past.not_seen.is_none_or(|said| *at >= said));
    let Some(ran) = ran else { return Decision::Again { leave_by: patience } };
    match past.effect {
        Effect::Free => Decision::Again { leave_by: patience },
        Effect::Guarded(window) if ran <= now && now < ran.saturating_add(window) => {
            Decision::Again { leave_by: patience.min(ran.saturating_add(window)) }
        }
        Effect::Guarded(_) if ask.new_effect => Decision::NewEffect { leave_by: patience },
        Effect::Guarded(_) => Decision::Refused(Refusal::WindowOver),
        // For these no word of the sender's owner is enough: it is the receiver that would pay twice.
        Effect::SingleShot => Decision::Refused(Refusal::MayHaveRun),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const PAST: Past = Past {
        effect: Effect::SingleShot,
        may_have_run: Some(100),
        delivered: false,
        under_way: false,
        not_seen: None,
    };
    const ASK: Ask = Ask { new_effect: false, patience: 1_000 };

    #[test]
    fn each_case_of_the_rule() {
        let never = Past { may_have_run: None, ..PAST };
        assert_eq!(decide(500, never, ASK), Decision::Again { leave_by: 1_500 });
        assert_eq!(decide(500, PAST, ASK), Decision::Refused(Refusal::MayHaveRun));
        let sure = Ask { new_effect: true, ..ASK };
        assert_eq!(
            decide(500, PAST, sure),
            Decision::Refused(Refusal::MayHaveRun),
            "not by the owner's word"
        );
        let said = Past { not_seen: Some(400), ..PAST };
        assert_eq!(decide(500, said, ASK), Decision::Again { leave_by: 1_500 });
        let before = Past { not_seen: Some(90), ..PAST };
        assert_eq!(decide(500, before, ASK), Decision::Refused(Refusal::MayHaveRun), "said before it ran");
        let guarded = Past { effect: Effect::Guarded(600), ..PAST };
        assert_eq!(decide(500, guarded, ASK), Decision::Again { leave_by: 700 }, "while receivers remember");
        assert_eq!(decide(700, guarded, ASK), Decision::Refused(Refusal::WindowOver));
        assert_eq!(decide(700, guarded, sure), Decision::NewEffect { leave_by: 1_700 });
        assert_eq!(
            decide(50, guarded, ASK),
            Decision::Refused(Refusal::WindowOver),
            "the clock was set back"
        );
        assert_eq!(decide(500, Past { under_way: true, ..never }, ASK), Decision::Refused(Refusal::UnderWay));
        assert_eq!(
            decide(500, Past { delivered: true, ..never }, ASK),
            Decision::Refused(Refusal::Delivered)
        );
    }

    proptest! {
        /// Whatever is known and asked: an unsafe message that may have run goes only after the word of its
        /// destination's owner, and a guarded one under its identity only while it is remembered.
        #[test]
        fn nothing_takes_effect_twice(
            now in 0i64..10_000, ran in 0i64..10_000, window in 0i64..5_000, said in prop::option::of(0i64..10_000),
            single: bool, new_effect: bool, patience in -5i64..9_000,
        ) {
            let effect = if single { Effect::SingleShot } else { Effect::Guarded(window) };
            let past = Past { effect, may_have_run: Some(ran), not_seen: said, ..PAST };
            let proved = said.is_some_and(|s| s > ran);
            match decide(now, past, Ask { new_effect, patience }) {
                Decision::Again { leave_by } => {
                    prop_assert!(proved || (!single && ran <= now && leave_by <= ran + window));
                }
                Decision::NewEffect { .. } => prop_assert!(!single && new_effect),
                Decision::Refused(_) => prop_assert!(!proved),
            }
        }
    }
}

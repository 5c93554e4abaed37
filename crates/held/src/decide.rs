//! Decides whether an undelivered message may be resubmitted.
//!
//! A second effect must be avoided: a message that may have taken effect is sent again only where its
//! receivers drop the repeat, or where the owner of the destination states that it did not take effect. Times
//! are times of day; where the clock was set back, so that an attempt seems to lie in the future, the
//! receivers' memory is taken to have expired.

use crate::Micros;

/// The effect of a second delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A second delivery is harmless.
    Free,
    /// Receivers drop a second delivery within this time of the first.
    Guarded(Micros),
    /// A second delivery takes effect again.
    SingleShot,
}

/// What is known of a message.
#[derive(Clone, Copy, Debug)]
pub struct DeliveryHistory {
    /// The effect of a second delivery.
    pub effect: Effect,
    /// When the first attempt began that may have taken effect.
    pub may_have_run: Option<Micros>,
    /// The message was delivered after all.
    pub delivered: bool,
    /// A resubmission of it is under way.
    pub under_way: bool,
    /// When the destination's owner stated that the message was not received there; this covers attempts
    /// before that time.
    pub not_received_at: Option<Micros>,
}

/// A request to resubmit a message.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ask {
    /// The owner accepts that the message may take effect a second time.
    pub new_effect: bool,
    /// The longest time that the message may wait to be sent.
    pub patience: Micros,
}

/// Why a message may not be resubmitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The message was delivered.
    Delivered,
    /// A resubmission is already under way.
    UnderWay,
    /// The message may have taken effect, and a repeat would take effect again: the destination's owner must
    /// state that it was not received.
    MayHaveRun,
    /// Receivers may no longer recognise a repeat: the message can be sent only as a new effect, if its owner
    /// asks for that.
    WindowOver,
}

/// The decision on a resubmission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The message is sent again under its identity. It must be sent by `leave_by` and otherwise ends
    /// undelivered again, so that it is not sent after the receivers' memory has expired.
    Again {
        /// The latest time to send it.
        leave_by: Micros,
    },
    /// The message is sent as a new effect under a new identity, so that receivers don't take it for the old
    /// one.
    NewEffect {
        /// The time at which it expires.
        leave_by: Micros,
    },
    /// The message is not sent.
    Refused(Refusal),
}

/// Decides whether a message may be resubmitted, and until when it must be sent.
pub fn decide(now: Micros, past: DeliveryHistory, ask: Ask) -> Decision {
    if past.delivered {
        return Decision::Refused(Refusal::Delivered);
    }
    if past.under_way {
        return Decision::Refused(Refusal::UnderWay);
    }
    let patience = now.saturating_add(ask.patience.max(0));
    // The statement covers attempts that began before it.
    let ran = past.may_have_run.filter(|at| past.not_received_at.is_none_or(|stated| *at >= stated));
    let Some(ran) = ran else { return Decision::Again { leave_by: patience } };
    match past.effect {
        Effect::Free => Decision::Again { leave_by: patience },
        Effect::Guarded(window) if ran <= now && now < ran.saturating_add(window) => {
            Decision::Again { leave_by: patience.min(ran.saturating_add(window)) }
        }
        Effect::Guarded(_) if ask.new_effect => Decision::NewEffect { leave_by: patience },
        Effect::Guarded(_) => Decision::Refused(Refusal::WindowOver),
        // A request by the client is not enough here: the second effect would hit the receiver.
        Effect::SingleShot => Decision::Refused(Refusal::MayHaveRun),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const PAST: DeliveryHistory = DeliveryHistory {
        effect: Effect::SingleShot,
        may_have_run: Some(100),
        delivered: false,
        under_way: false,
        not_received_at: None,
    };
    const ASK: Ask = Ask { new_effect: false, patience: 1_000 };

    #[test]
    fn decides_each_case() {
        let never_ran = DeliveryHistory { may_have_run: None, ..PAST };
        assert_eq!(decide(500, never_ran, ASK), Decision::Again { leave_by: 1_500 });
        assert_eq!(decide(500, PAST, ASK), Decision::Refused(Refusal::MayHaveRun));
        let accepts_repeat = Ask { new_effect: true, ..ASK };
        assert_eq!(
            decide(500, PAST, accepts_repeat),
            Decision::Refused(Refusal::MayHaveRun),
            "not at the client's request"
        );
        let stated_after = DeliveryHistory { not_received_at: Some(400), ..PAST };
        assert_eq!(decide(500, stated_after, ASK), Decision::Again { leave_by: 1_500 });
        let stated_before = DeliveryHistory { not_received_at: Some(90), ..PAST };
        assert_eq!(
            decide(500, stated_before, ASK),
            Decision::Refused(Refusal::MayHaveRun),
            "the statement precedes the attempt"
        );
        let guarded = DeliveryHistory { effect: Effect::Guarded(600), ..PAST };
        assert_eq!(decide(500, guarded, ASK), Decision::Again { leave_by: 700 }, "while receivers remember");
        assert_eq!(decide(700, guarded, ASK), Decision::Refused(Refusal::WindowOver));
        assert_eq!(decide(700, guarded, accepts_repeat), Decision::NewEffect { leave_by: 1_700 });
        assert_eq!(
            decide(50, guarded, ASK),
            Decision::Refused(Refusal::WindowOver),
            "the clock was set back"
        );
        assert_eq!(
            decide(500, DeliveryHistory { under_way: true, ..never_ran }, ASK),
            Decision::Refused(Refusal::UnderWay)
        );
        assert_eq!(
            decide(500, DeliveryHistory { delivered: true, ..never_ran }, ASK),
            Decision::Refused(Refusal::Delivered)
        );
    }

    proptest! {
        /// A single-shot message that may have taken effect is sent only after the statement of its
        /// destination's owner, and a guarded one under its identity only while receivers remember it.
        #[test]
        fn no_message_takes_effect_twice_unasked(
            now in 0i64..10_000, ran in 0i64..10_000, window in 0i64..5_000, stated in prop::option::of(0i64..10_000),
            single: bool, new_effect: bool, patience in -5i64..9_000,
        ) {
            let effect = if single { Effect::SingleShot } else { Effect::Guarded(window) };
            let past = DeliveryHistory { effect, may_have_run: Some(ran), not_received_at: stated, ..PAST };
            let proved = stated.is_some_and(|s| s > ran);
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

//! Whether a message may be sent again after an attempt, and which end a message without further attempts is
//! owed. Both are decided only here.

use crate::interface::{ClassSettings, DedupScope, Effect, Outcome};

/// Whether a message may be sent again, by what is known of its attempts. A later value is stricter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Finality {
    /// It may, as far as its class, its time and its attempts allow.
    #[default]
    Open,
    /// It may not, because its attempts are used up. Its end is still owed.
    Exhausted,
    /// It may not, because it was delivered, or its endpoint considers it finished.
    Over,
}

/// How an attempt ended, as far as its answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The outcome.
    pub outcome: Outcome,
    /// Whether the message may be sent again.
    pub finality: Finality,
}

impl AttemptEnd {
    /// Returns the end of an attempt whose answer, other than a delivery, may belong to another call, so that
    /// its own call may still be out. The message is never sent again where a certain answer would end it.
    #[must_use]
    pub fn in_doubt(self) -> Self {
        let outcome = match self.finality {
            Finality::Open if self.outcome.never_ran() => Outcome::UnprovenBusy,
            Finality::Open => self.outcome,
            // Says nothing of the endpoint's health.
            Finality::Exhausted | Finality::Over => Outcome::Cancelled,
        };
        AttemptEnd { outcome, ..self }
    }
}

/// The end that is reported of a message which was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UndeliveredEnd {
    /// It failed. Its client does not submit it again.
    Failed,
    /// Its client may submit it again as a new message.
    Returned,
}

/// Returns the end that is owed to a message that may not be sent again.
pub fn undelivered_end(finality: Finality, class: &ClassSettings, may_have_run: bool) -> UndeliveredEnd {
    match finality {
        Finality::Exhausted if may_be_returned(class, may_have_run) => UndeliveredEnd::Returned,
        _ => UndeliveredEnd::Failed,
    }
}

/// Returns whether a client may be told that submitting its message again does no harm.
pub fn may_be_returned(class: &ClassSettings, may_have_run: bool) -> bool {
    match class.effect {
        Effect::Free => true,
        Effect::Guarded => !may_have_run || class.group == DedupScope::All,
        Effect::SingleShot => !may_have_run,
    }
}

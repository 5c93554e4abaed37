//! Counts of what would be dropped if rules were applied.

use serde::{Deserialize, Serialize};

/// The numbers of items that would be dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossCounts {
    /// Names; a message submitted again under one of them would have an uncertain outcome.
    pub names: u64,
    /// Answers that could no longer be repeated.
    pub answers: u64,
    /// Undelivered messages.
    pub messages: u64,
    /// The total size of these messages in bytes.
    pub octets: u64,
    /// Trails of messages that are not held.
    pub trails: u64,
    /// Whether the counts are lower bounds, because not everything was examined.
    pub at_least: bool,
}

impl LossCounts {
    /// Returns the sum of the counts of two senders or members.
    pub fn and(self, other: LossCounts) -> LossCounts {
        LossCounts {
            names: self.names.saturating_add(other.names),
            answers: self.answers.saturating_add(other.answers),
            messages: self.messages.saturating_add(other.messages),
            octets: self.octets.saturating_add(other.octets),
            trails: self.trails.saturating_add(other.trails),
            at_least: self.at_least || other.at_least,
        }
    }
}

//! Compares the rules that members really apply with the approved ones.
//!
//! [`content`] computes digests of a client's rules, and [`tree`] holds them in a hash tree, so that the cost
//! of a report depends on what changed. A member's [`reporter`] writes the reports ([`report`]). The
//! [`detector`] runs at the leader and gives each member a verdict, with its start time, the observer and the
//! term. [`actions`] chooses corrective actions within a budget. [`rollout`] watches a version that is
//! distributed to the members in waves. [`history`] preserves the verdicts when the leader changes.
//!
//! The crate decides what counts as fresh, lagging, altered or beyond the plan, and whether a rollout
//! continues or stops. It performs no I/O, reads no clock and applies no rules itself, and it never reports a
//! member as in line without a fresh report from it.

#![forbid(unsafe_code)]

pub mod actions;
pub mod content;
pub mod detector;
pub mod history;
mod random;
pub mod report;
pub mod reporter;
pub mod rollout;
pub mod tree;
pub mod view;

pub use actions::{Action, Order, accepts};
pub use detector::{Config, Desired, Detector, Output};
pub use history::{History, Record};
pub use report::{
    Ack, AppliedRules, Ask, Challenge, ChallengeAnswer, Digest, Health, PartlyApplied, Report, TreeNode,
    TreeReply, Verdict,
};
pub use reporter::Reporter;
pub use rollout::{LoggedRollout, Plan as RolloutPlan, Progress, Rollout};
pub use tree::Tree;

/// A time in microseconds, on the caller's clock or, where a field says `wall`, since 1970 UTC.
pub type Micros = i64;

/// The longest client name in bytes; reports about longer ones are ignored.
pub const MAX_CLIENT_NAME_BYTES: usize = 64;

/// The number of characters of a reason that are kept.
pub const MAX_REASON_CHARS: usize = 200;

/// Truncates a text to [`MAX_REASON_CHARS`]. Members send these texts, so their length is not under our
/// control.
pub(crate) fn truncate_reason(text: &str) -> String {
    text.chars().take(MAX_REASON_CHARS).collect()
}

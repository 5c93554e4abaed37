//! The outcome of a command.

use crate::check::{Finding, Findings};
use crate::model::{Plan, RuleSet};
use std::sync::Arc;

/// The outcome of one command: the answer, and what is to be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The answer to the requester.
    pub reply: Reply,
    /// The new desired state of each client whose state changed. These may include other clients, whose due
    /// cuts are made along with any command.
    pub changed: Vec<Desired>,
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The version is in effect, or was until a later one replaced it.
    Approved {
        /// The version's number.
        version: u64,
    },
    /// The version waits for an operator.
    Waiting {
        /// The version's number.
        version: u64,
    },
    /// The version is refused.
    Refused {
        /// The version's number, if it has one.
        version: Option<u64>,
        /// The reasons.
        findings: Findings,
    },
    /// Another edit conflicts with this one.
    Conflict {
        /// The version in effect, from which to start again.
        version: u64,
        /// The rules that both edits changed.
        rules: Vec<String>,
        /// The reason in words.
        why: String,
    },
    /// No such client or version, or the requester may not see it. The answer is the same for both.
    Unknown,
    /// A plan, a drop or a tick was applied.
    Done,
}

impl Reply {
    /// Returns the state as one word, for the log and the `state` property.
    pub fn state(&self) -> &'static str {
        match self {
            Reply::Approved { .. } => "approved",
            Reply::Waiting { .. } => "waiting",
            Reply::Refused { .. } => "refused",
            Reply::Conflict { .. } => "conflict",
            Reply::Unknown => "unknown",
            Reply::Done => "done",
        }
    }

    pub(super) fn refused(field: &str, plan: &str, fits: &str, why: &str) -> Reply {
        let findings = Findings::one(Finding::new("", field, plan, fits, why));
        Reply::Refused { version: None, findings }
    }
}

/// The desired state of a client, to be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Desired {
    /// The client's system_id.
    pub client: String,
    /// The rules with their version.
    pub set: Arc<RuleSet>,
    /// The plan in effect; for a dropped client, one that allows nothing.
    pub plan: Arc<Plan>,
    /// Whether applying it may drop kept data, compared with the previous desired state. Only a member that
    /// is certain of the approval may apply it.
    pub destroys: bool,
    /// Whether the version was created by a plan (a cut or a restore) or by dropping the client, not by a
    /// request.
    pub by_plan: bool,
}

//! Messages about rules between a sender's node and its process. They are defined in this crate so that the
//! engine does not depend on how the process gets an answer.

use crate::check::LossCounts;
use crate::share::Turn;
use crate::{Plan, RuleSet};
use std::sync::Arc;

/// Identifies a request by sender, connection and the front's own number; returned with the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The index of the sender in its process.
    pub sender: usize,
    /// The connection.
    pub conn: u64,
    /// The number that the front gave to the request.
    pub token: u32,
}

/// A client's request: a topic and its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// Returned with the answer.
    pub token: Token,
    /// The system_id of the client that asks.
    pub client: String,
    /// The levels of the topic: `rules`, `show`; `fleet`, `members`; ...
    pub words: Vec<String>,
    /// The body: JSON, or empty.
    pub body: Vec<u8>,
}

/// The answer to a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// The token of the request.
    pub token: Token,
    /// The answer as JSON.
    pub text: String,
    /// One word for the log and the `state` property: `approved`, `waiting`, `refused`, `conflict`, `no
    /// majority`, `busy`, `shown`, `unknown`.
    pub state: &'static str,
}

/// A client's rules and plan, to be applied as a whole by every node of the process, between two rounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Apply {
    /// The client's system_id.
    pub client: String,
    /// The rules in effect, with this member's share of counts and sizes. The client's home has the whole
    /// share, the other senders have an empty one ([`crate::share`]).
    pub set: Arc<RuleSet>,
    /// This member's turn in release rates.
    pub turn: Turn,
    /// The plan in effect.
    pub plan: Arc<Plan>,
    /// Whether changes that drop kept data (a shorter retention time, a smaller store) may be applied,
    /// because their approval is certain.
    pub certain: bool,
}

/// Fences off a client's changes at this member, or lifts the fence. The nodes' tables do not change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The client's system_id.
    pub client: String,
    /// The approved rules, with this member's share. Incoming messages are subject to the stricter of these
    /// and the applied rules ([`crate::strict`]). None: the fence is lifted.
    pub under: Option<Arc<RuleSet>>,
    /// This member's turn in release rates.
    pub turn: Turn,
}

/// The rules that a node applies for a client, read back from its live tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Live {
    /// The index of the sender in its process.
    pub sender: usize,
    /// The client's system_id.
    pub client: String,
    /// The rules read back from the tables; the version is the last one that was applied as a whole.
    pub set: RuleSet,
    /// The turn in release rates that the node uses.
    pub turn: Turn,
    /// The reason why the last rules could not be applied.
    pub trouble: Option<String>,
}

/// Asks a sender what its live tables would drop under a version. Nothing is changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DryRun {
    /// Identifies the question; returned with the answer.
    pub number: u64,
    /// The client's system_id.
    pub client: String,
    /// The rules, with this member's share of counts and sizes.
    pub set: Arc<RuleSet>,
    /// As in [`Apply::turn`]. It tells a sender whether the share is its own.
    pub turn: Turn,
}

/// The answer of a sender to a dry run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DryRunResult {
    /// The number of the question.
    pub number: u64,
    /// The index of the sender in its process.
    pub sender: usize,
    /// What would be dropped if the rules were applied now.
    pub would: LossCounts,
}

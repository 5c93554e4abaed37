//! Messages between the members and the leader about the rules that a member applies, as read from its live
//! tables.

use crate::Micros;
use crate::tree::Path;
use heronroute_fleet::{Life, Term};
use serde::{Deserialize, Serialize};

/// A SHA-256 digest of applied rules.
pub type Digest = [u8; 32];

/// The maximum number of clients in one report; the others follow in the next report or are queried.
pub const MAX_CLIENTS_PER_REPORT: usize = 64;

/// A report of a member: the root of its tree and the clients that changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The reporting member and its start.
    pub life: Life,
    /// The sequence number within this start of the member; reports with an older number are dropped.
    pub number: u64,
    /// The term of the last order that the member accepted.
    pub term: Term,
    /// The root digest over all clients.
    pub root: Digest,
    /// The changed clients, at most [`MAX_CLIENTS_PER_REPORT`].
    pub clients: Vec<AppliedRules>,
    /// The health figures of the member.
    pub health: Health,
    /// The echo of the last acknowledgement that the member received. It proves that the report was written
    /// after that acknowledgement was sent, however long the report was queued on the way.
    pub echo: Option<Echo>,
}

/// Health figures of a member. The counts increase for as long as the member runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The number of messages refused since the member started.
    pub refused: u64,
    /// The number of messages that failed permanently since the member started.
    pub failed: u64,
    /// The memory in use, in bytes.
    pub memory: u64,
}

/// A time on the leader's clock that the member sends back to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The term of the leader.
    pub term: Term,
    /// The time on the leader's clock, in microseconds.
    pub at: Micros,
}

/// The leader's acknowledgement of a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The member whose report is acknowledged.
    pub to: Life,
    /// The number of the report.
    pub number: u64,
    /// The value to be sent back with the next report.
    pub echo: Echo,
}

/// A query for one node of a member's tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The queried member.
    pub to: Life,
    /// The term of the leader that asks.
    pub term: Term,
    /// The position of the node.
    pub path: Path,
}

/// The reply to a [`Ask`]: one node. The detector verifies each node against the digest above it, down
/// from the root, so that a node cannot be forged on its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeReply {
    /// The replying member.
    pub life: Life,
    /// The sequence number, shared with the reports.
    pub number: u64,
    /// The root digest at the time of the reply.
    pub root: Digest,
    /// The position of the node.
    pub path: Path,
    /// The node.
    pub node: TreeNode,
}

/// A node of a tree as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TreeNode {
    /// The digests of the [`crate::tree::FAN_OUT`] children.
    Branch(Vec<Digest>),
    /// The clients in order of name, at most [`crate::tree::MAX_BUCKET_CLIENTS`].
    Bucket(Vec<AppliedRules>),
}

/// Asks a member to prove what it really applies for one client. The answer is a digest over the nonce and
/// the live rules, which cannot be derived from the reported digests or from the order that was sent earlier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// The challenged member.
    pub to: Life,
    /// The term of the leader that asks.
    pub term: Term,
    /// A nonce that was never used before.
    pub nonce: Digest,
    /// The client.
    pub client: String,
}

/// The answer to a [`Challenge`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChallengeAnswer {
    /// The answering member.
    pub life: Life,
    /// The nonce of the challenge.
    pub nonce: Digest,
    /// [`crate::content::proof`] over the nonce and the rules in the live tables.
    pub proof: Digest,
}

/// The rules that a member applies for one client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedRules {
    /// The client's system_id.
    pub client: String,
    /// The version that the member claims to apply; 0 if none.
    pub version: u64,
    /// The digest of the rules in the live tables.
    pub digest: Digest,
    /// The reason why the member cannot apply the rules that it was sent.
    pub problem: Option<String>,
    /// Set if the member's senders do not all apply the same rules.
    pub partly: Option<PartlyApplied>,
}

/// The progress of a member whose senders differ in what they apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartlyApplied {
    /// The number of senders that apply the version.
    pub senders: u32,
    /// The total number of senders.
    pub of: u32,
    /// The time from which they differ, by the member's time of day, in microseconds.
    pub since: Micros,
}

/// The detector's verdict on a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The member applies what was approved, by a recent report.
    #[serde(rename = "in line")]
    InLine,
    /// The member does not apply it yet, and the time for a rollout is not over.
    #[serde(rename = "converging")]
    Converging,
    /// The member applies an older version after the time for a rollout is over.
    #[serde(rename = "lagging")]
    Lagging,
    /// The member applies a version that is not approved yet.
    #[serde(rename = "ahead")]
    Ahead,
    /// The member applies the approved version with different content.
    #[serde(rename = "altered")]
    Altered,
    /// The rules of only some clients, or only some of the member's senders, are up to date.
    #[serde(rename = "partly applied")]
    PartlyApplied,
    /// The member reports that it cannot apply the rules, with a reason.
    #[serde(rename = "can't apply")]
    CantApply,
    /// The member applies rules beyond the client's plan.
    #[serde(rename = "beyond plan")]
    BeyondPlan,
    /// There is no fresh report.
    #[serde(rename = "not heard of")]
    NotReporting,
}

impl Verdict {
    /// All verdicts.
    pub const ALL: [Verdict; 9] = [
        Verdict::InLine,
        Verdict::Converging,
        Verdict::Lagging,
        Verdict::Ahead,
        Verdict::Altered,
        Verdict::PartlyApplied,
        Verdict::CantApply,
        Verdict::BeyondPlan,
        Verdict::NotReporting,
    ];

    /// Returns the text used in `fleet/drift`.
    pub fn word(self) -> &'static str {
        match self {
            Verdict::InLine => "in line",
            Verdict::Converging => "converging",
            Verdict::Lagging => "lagging",
            Verdict::Ahead => "ahead",
            Verdict::Altered => "altered",
            Verdict::PartlyApplied => "partly applied",
            Verdict::CantApply => "can't apply",
            Verdict::BeyondPlan => "beyond plan",
            Verdict::NotReporting => "not heard of",
        }
    }
}

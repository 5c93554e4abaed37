//! The inputs and outputs of the detector.

use crate::Micros;
use crate::actions::Order;
use crate::history::Record;
use crate::report::{Ack, Ask, Challenge, Digest};
use crate::rollout::Progress;
use heronroute_fleet::Term;

/// The approved version of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Desired {
    /// The client.
    pub client: String,
    /// The version; 0 if the client has no rules any more.
    pub version: u64,
    /// The digest of the content as it is to be applied, within the client's plan
    /// ([`crate::content::digest`]).
    pub digest: Digest,
    /// The time of the approval, on the caller's clock.
    pub at: Micros,
    /// The digest of the approved content before it was cut to the plan, if the plan restricts it. A member
    /// that applies this content is beyond the plan.
    pub uncut: Option<Digest>,
}

/// An output of the detector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A verdict changed; it should be logged.
    Verdict(Record),
    /// An order to be executed; see [`crate::accepts`].
    Order(Order),
    /// An acknowledgement for the member.
    Ack(Ack),
    /// A query for the member.
    Ask(Ask),
    /// A challenge for the member.
    Challenge(Challenge),
    /// A proposal for a client's rollout.
    Rollout {
        /// The term of the leader.
        term: Term,
        /// The client.
        client: String,
        /// The version that is rolled out.
        version: u64,
        /// The proposed log entry.
        progress: Progress,
    },
    /// A member accepted an order of a greater term: this keeper is no longer the leader.
    Superseded(Term),
}

/// The counts of dropped inputs and outputs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// From a former start of the member.
    pub older_life: u64,
    /// With an outdated number.
    pub older_number: u64,
    /// From an unknown member.
    pub unknown_member: u64,
    /// While this keeper was not the leader.
    pub not_leader: u64,
    /// Replies and answers that do not match a query, the digest above the node, or a challenge.
    pub invalid_answers: u64,
    /// For lack of space.
    pub no_room: u64,
}

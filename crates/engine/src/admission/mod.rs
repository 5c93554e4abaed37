//! The client side, the same for all fronts: which clients are admitted, which messages are accepted, and
//! where answers go.

mod admit;
mod delivery;
mod fronts;
mod open_messages;
mod replies;
mod submit;

use crate::Micros;
pub(crate) use crate::front::RejectReason;
use crate::ids::ConnId;
use crate::mailboxes::MailboxId;
use crate::rule_tables::rules::RuleTerms;
use heronroute::DestId;
pub(crate) use open_messages::message_bytes;

/// Where a message comes from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Origin {
    /// The connection of the request; `None` for a message submitted on behalf of a disconnected client.
    pub conn: Option<ConnId>,
    /// The front's number for the request.
    pub token: u32,
    /// The client that submitted it.
    pub client: usize,
    /// The mailbox for its answer.
    pub mailbox: MailboxId,
}

/// The terms on which a message is accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms {
    /// The index of its class.
    pub(crate) class: usize,
    /// The destination that its address belongs to.
    pub(crate) dest: DestId,
    /// The time after which the message expires.
    pub(crate) time_left: Micros,
    /// What the client's own rules say about the message.
    pub(crate) keep: RuleTerms,
}

/// Compares two strings without stopping at the first difference, so that the time taken does not reveal
/// where they differ.
pub(crate) fn constant_time_eq(a: &str, b: &str) -> bool {
    let (a, b) = (a.as_bytes(), b.as_bytes());
    a.len() == b.len() && a.iter().zip(b).fold(0, |d, (x, y)| d | (x ^ y)) == 0
}

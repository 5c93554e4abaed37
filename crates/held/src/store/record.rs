//! The record of one message in the store.

use crate::Micros;

/// The record of a message: its trail, and the message itself where it is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageRecord {
    /// The index of the client that submitted the message.
    pub client: u32,
    /// The destination of the message.
    pub destination: i64,
    /// The index of its class.
    pub class: u32,
    /// The digest of its key; 0 for none.
    pub key: u64,
    /// The encoded trail.
    pub trail: Box<[u8]>,
    /// The message as it was submitted, where it is held.
    pub message: Option<Box<[u8]>>,
    /// Whether a resubmission is under way.
    pub under_way: bool,
    /// Whether an operator keeps it from being dropped or resubmitted.
    pub kept: bool,
    /// When the destination's owner stated that the message was not received.
    pub not_received_at: Option<Micros>,
}

impl MessageRecord {
    /// The bytes that the record counts for.
    pub(crate) fn size(&self) -> u64 {
        (self.trail.len() + self.message.as_ref().map_or(0, |m| m.len()) + 64) as u64
    }
}

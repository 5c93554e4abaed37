//! Messages between holders and the allocator.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// A holder's request for a share. It reports the use and returns what is not needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The index of the member, from 0.
    pub member: u32,
    /// The incarnation of the member.
    pub incarnation: u64,
    /// The number of the request within the incarnation, from 1.
    pub request_number: u64,
    /// When the request was sent, by the holder's clock; returned in the grant.
    pub sent_at: Micros,
    /// The term of the grant in use; 0: none.
    pub term: u64,
    /// The number of the grant in use. Older grants are never used again.
    pub grant_number: u64,
    /// How much of the lease of that grant the holder keeps; the rest is returned.
    pub kept: u64,
    /// The amount in use.
    pub used: u64,
    /// The whole share that is wanted, including the floor.
    pub wanted: u64,
}

/// The allocator's answer. It replaces all earlier grants to the incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The index of the member.
    pub member: u32,
    /// The incarnation of the member.
    pub incarnation: u64,
    /// The allocator's term.
    pub term: u64,
    /// The number of the grant within the term, from 1.
    pub grant_number: u64,
    /// From [`ShareRequest::sent_at`].
    pub request_sent_at: Micros,
    /// The part of the share without an end, until another grant changes it.
    pub floor: u64,
    /// The part on top of the floor, until the lease ends.
    pub leased: u64,
}

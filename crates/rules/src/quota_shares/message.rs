//! What holders and the lender say to each other.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// A holder asks for its part, tells its use and gives back what it does not use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The member's place, from 0.
    pub member: u32,
    /// Which life of it.
    pub incarnation: u64,
    /// Counts the life's asks, from 1.
    pub request_number: u64,
    /// When it was asked, by the holder's clock; comes back in the grant.
    pub sent_at: Micros,
    /// The term of the grant that it goes by; 0 for none.
    pub term: u64,
    /// The number of that grant. Older ones are never gone by again.
    pub grant_number: u64,
    /// How much of what that grant lent it still holds; the rest is given back.
    pub kept: u64,
    /// How much is used.
    pub used: u64,
    /// The whole part it wants, floor and all.
    pub wanted: u64,
}

/// The lender's answer, which takes the place of all earlier grants to that life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// To the member at this place.
    pub member: u32,
    /// To this life of it.
    pub incarnation: u64,
    /// The lender's term.
    pub term: u64,
    /// Counts the term's grants, from 1.
    pub grant_number: u64,
    /// From [`Ask::asked`].
    pub request_sent_at: Micros,
    /// Had without end, until another grant says otherwise.
    pub floor: u64,
    /// Had on top of it while the lease lasts.
    pub leased: u64,
}

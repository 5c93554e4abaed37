//! Leases: until when a life may begin attempts and report final answers.
//!
//! A life requests a lease from the leader periodically; the lease lasts [`Tuning::span`] from when the
//! life *requested* it, on its own clock. The leader counts the same duration from when it *granted* the
//! lease, on its own clock, plus the allowed drift, and proposes no takeover of the life before that time.
//!
//! The following holds while no clock runs more than [`Tuning::drift`] thousandths faster than another and
//! each clock keeps running while its process is paused (see `heronroute_fleet::lease`), whatever the delay
//! or loss of messages and whatever the wall clocks do:
//!
//! - A lease expires at its holder before it expires at its granter, because it was requested before it was
//!   granted.
//! - A life that the log has taken over holds no lease. The leader of the takeover's term had seen the end
//!   of all leases that it had granted to the life itself, and of those of earlier leaders: their last one
//!   was granted before its own term was, and it waited one full lease since. From the proposal on it
//!   grants that life none. A later leader grants none before it has read the beginning of its own term in
//!   the log; a takeover behind that entry is void, and one before it was read. A late grant of an earlier
//!   leader counts from when it was requested, and so has expired.
//! - A life that the log does not know, or of which it knows a later start, is granted none; and a takeover
//!   behind the first entry of a later start is void ([`crate::agreed`]). So a life that requests a lease
//!   has read every takeover of the lives before it.
//!
//! This does not cover an action that begins within the lease and ends after it. Therefore the lease is
//! checked where the bytes are written.

mod dead_members;
mod granter;
mod lease_holder;
mod members_without_lease;
mod tuning;

pub use dead_members::DeadMembers;
pub use granter::LeaseGranter;
pub use lease_holder::LeaseHolder;
pub use members_without_lease::MembersWithoutLease;
pub use tuning::Tuning;

use crate::Micros;
use heronroute_fleet::{Life, Term};
use serde::{Deserialize, Serialize};

/// A life's request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The life.
    pub life: Life,
    /// When it was requested, on the life's own clock; repeated in the grant.
    pub asked: Micros,
}

/// The grant of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The leader's term.
    pub term: Term,
    /// The life that gets the lease.
    pub to: Life,
    /// When the lease was requested, on the life's own clock; the lease counts from then on.
    pub asked: Micros,
    /// The members whose work others do, because none of them can hold a lease.
    pub out: MembersWithoutLease,
}

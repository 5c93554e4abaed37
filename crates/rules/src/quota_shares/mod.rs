//! A quota of a plan that all members share: each member holds a share by lease and returns what it does not
//! use.
//!
//! A [`QuotaHolder`] (on every member) knows its share, when it ends and how much of it is in use. A
//! [`QuotaAllocator`] (on the leader, for one term) grants what is certainly free. A share consists of a
//! *floor*, which every member always has and never returns, and of what is *leased* on top of it until the
//! lease ends.
//!
//! Guaranteed, as long as no clock runs more than [`Tuning::drift_permille`] faster than another and no two
//! members are leaders at the same time (`crates/fleet/src/lease.rs`): the sum of all shares never exceeds
//! the quota. A lowered quota takes effect once the leases granted under the greater one have ended; members
//! not yet notified keep their older floors, and these count.
//!
//! Not guaranteed: the sum of what is *in use* may exceed the quota. Nothing kept is dropped because a share
//! shrank, so what a member kept on a share whose lease ended stays, in addition to what others keep on that
//! share by then.

mod allocator;
mod holder;
mod message;

pub use allocator::QuotaAllocator;
pub use holder::{LeaseExpired, QuotaHolder, TickOutput};
pub use message::{ShareGrant, ShareRequest};

use crate::Micros;

/// The parameters of leasing; the same on all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// How long a holder relies on a lease, by its own clock, from when it sent the request.
    pub lease: Micros,
    /// By how many thousandths one clock may run faster than another.
    pub drift_permille: i64,
    /// The time between two requests of a holder.
    pub request_interval: Micros,
    /// The time between two requests of a holder whose share is too small or much too large.
    pub urgent_interval: Micros,
    /// The thousandths of the quota that are never leased: the floors of all members together.
    pub floor_permille: u64,
    /// The thousandths of its use that a holder wants in addition, to have room until its request is
    /// answered.
    pub headroom_permille: u64,
}

impl Tuning {
    /// Returns how long a lease counts at the allocator that granted it.
    fn allocator_lease(&self) -> Micros {
        self.lease.saturating_add(self.lease.saturating_mul(self.drift_permille) / 1000).saturating_add(1)
    }
}

/// Returns `permille` thousandths of a value.
fn permille_of(value: u64, permille: u64) -> u64 {
    u64::try_from(u128::from(value) * u128::from(permille) / 1000).unwrap_or(u64::MAX)
}

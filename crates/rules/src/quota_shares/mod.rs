//! A plan's figure held by all members together: each holds a part of it by lease and lends what it does not use.
//!
//! A [`Holder`] (every member) knows its part, until when it has it and how much of it is used. A [`Lender`] (the member
//! in charge, for a term) hands out what is surely free. A part is a *floor*, which all members have at once and nobody
//! lends, and what was *lent* on top of it, which ends with its lease.
//!
//! What holds while no clock runs more than [`Tuning::drift`] thousandths faster than another, and no two lenders are in
//! charge at one time (`crates/fleet/src/lease.rs`): the sum of all parts never passes the figure. A lowered figure
//! binds once the leases given under the greater one are over; members that were not told yet keep their older floors,
//! and these count.
//!
//! What does not hold: the sum of what is *kept* may pass the figure. Nothing kept is let go because a part shrank,
//! so what a member kept on a part whose lease ended stays, beside what others keep on that part by then.

mod allocator;
mod holder;
mod message;

pub use allocator::QuotaAllocator;
pub use holder::{LeaseExpired, QuotaHolder, TickOutput};
pub use message::{ShareGrant, ShareRequest};

use crate::Micros;

/// How parts are lent; the same on all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// How long a holder counts on what it was lent, by its clock, from when it asked.
    pub lease: Micros,
    /// By how many thousandths one clock may run faster than another.
    pub drift_permille: i64,
    /// A holder asks again so long after it last asked.
    pub request_interval: Micros,
    /// One whose part does not do asks again after so long already.
    pub urgent_interval: Micros,
    /// Thousandths of the figure that are never lent: the floors of all members together.
    pub floor_permille: u64,
    /// Thousandths of its use that a holder wants on top, to grow into until it is answered.
    pub headroom_permille: u64,
}

impl Tuning {
    /// For how long a lease counts at the one that gave it.
    fn allocator_lease(&self) -> Micros {
        self.lease.saturating_add(self.lease.saturating_mul(self.drift_permille) / 1000).saturating_add(1)
    }
}

/// So many thousandths of a value.
fn permille_of(value: u64, permille: u64) -> u64 {
    u64::try_from(u128::from(value) * u128::from(permille) / 1000).unwrap_or(u64::MAX)
}

//! The time at which a message was accepted, as encoded in its identity.

use crate::Micros;

/// The number of low bits of an identity that are not part of its time.
pub(super) const TIME_SHIFT: u32 = 6;

/// Returns the lowest identity of a time.
pub(super) fn first_id(at: Micros) -> u64 {
    u64::try_from(at).unwrap_or(0) << TIME_SHIFT
}

/// Returns the time at which a message was accepted.
pub(crate) fn taken(id: u64) -> Micros {
    (id >> TIME_SHIFT) as Micros
}

//! Another process that uses this member's own name.

use super::member_id::MemberId;
use crate::Micros;

/// A process that takes precedence over this one under the same name.
pub(super) struct NameClaim {
    pub who: MemberId,
    pub since: Micros,
    /// The time at which it was last reported alive.
    pub alive: Micros,
    pub conflict_reported: bool,
    pub behind_reported: bool,
}

//! Another process under the own name.

use super::member_id::MemberId;
use crate::Micros;

/// A process that holds the own name before this one does.
pub(super) struct NameClaim {
    pub who: MemberId,
    pub since: Micros,
    /// When it was last said to live.
    pub alive: Micros,
    pub twin: bool,
    pub behind: bool,
}

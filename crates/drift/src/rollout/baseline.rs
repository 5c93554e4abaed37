//! The figures that a wave is compared with, stored in the log so that they survive a change of the leader.

use super::health::HealthTotals;
use heronroute_fleet::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum number of members whose memory is stored. For members beyond it, growth counts from their
/// first report to the next leader.
pub const MAX_BASELINE_MEMBERS: usize = 512;

/// The baseline that is logged with a wave: about 10 bytes per member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Baseline {
    /// The latest health of the members not yet reached, since the last wave leaves no member to compare
    /// with.
    pub(crate) control: HealthTotals,
    /// The memory in use by each member when the wave started, in MiB.
    memory: BTreeMap<Name, u32>,
}

impl Baseline {
    /// Creates a baseline from the members' last reported memory in bytes; 0 means that it was not reported.
    pub(crate) fn new<'a>(control: HealthTotals, memory: impl Iterator<Item = (&'a Name, u64)>) -> Self {
        let mib = |bytes: u64| u32::try_from(bytes >> 20).unwrap_or(u32::MAX);
        let known = memory.filter(|(_, bytes)| *bytes > 0).take(MAX_BASELINE_MEMBERS);
        Baseline { control, memory: known.map(|(name, bytes)| (name.clone(), mib(bytes))).collect() }
    }

    /// Returns whether the baseline is within its limits.
    pub fn sound(&self) -> bool {
        self.memory.len() <= MAX_BASELINE_MEMBERS
    }

    /// Returns a member's memory when the wave started, in bytes.
    pub(crate) fn memory(&self, name: &Name) -> Option<u64> {
        self.memory.get(name).map(|mib| u64::from(*mib) << 20)
    }
}

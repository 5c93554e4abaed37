//! Tracks the members that responded since their wave started, and those that are gone without a response.

use super::Reach;
use crate::Micros;
use heronroute_fleet::Name;
use std::collections::BTreeSet;

/// The maximum number of skips per wave. A version that kills members before their first response thus
/// reaches three first members at most.
pub const MOST_PASSES: usize = 2;

/// The time after the start of a wave or term before a member may be skipped: long enough for two reports and
/// for detecting a death.
pub const PATIENCE: Micros = 5_000_000;

/// A report that was written this long after the start of the wave counts as a response whatever it says,
/// since the version was delivered in the meantime.
pub const WORD: Micros = 1_000_000;

/// The maximum number of members whose response is logged; the silence of others counts as evidence with the
/// current leader only.
pub const MOST_HEARD: usize = 512;

/// The minimum time between two log entries about responses while some members have not responded yet.
const BETWEEN: Micros = 500_000;

/// The responses and losses among the members that are waited for, in the current wave and those before.
#[derive(Clone, Debug, Default)]
pub(super) struct Passing {
    /// The members that responded to this leader or, according to the log, to an earlier one.
    heard: BTreeSet<Name>,
    /// Those of them that are not logged yet.
    unlogged: BTreeSet<Name>,
    /// The members that are gone without a response.
    gone: BTreeSet<Name>,
    /// The number of skips: in all waves, and in the current wave.
    passes: (usize, usize),
    /// The time of the current proposal to skip members.
    since: Option<Micros>,
    /// The time at which responses were last logged.
    told: Option<Micros>,
}

impl Passing {
    pub(super) fn new(reach: &Reach) -> Self {
        Passing { heard: reach.heard.clone(), passes: reach.passes, ..Passing::default() }
    }

    /// Returns the number of skips in all waves.
    pub(super) fn total(&self) -> usize {
        self.passes.0
    }

    /// Handles the start of a wave, or its continuation without some members.
    pub(super) fn left(&mut self, now: Micros, reach: &Reach) {
        (self.passes, self.since, self.told) = (reach.passes, None, Some(now));
        // Members that are skipped now are not proposed again.
        self.gone.retain(|name| !reach.without.contains(name));
    }

    /// Handles the responses found in the log.
    pub(super) fn logged(&mut self, now: Micros, heard: &BTreeSet<Name>) {
        let before = self.unlogged.len();
        self.unlogged.retain(|name| !heard.contains(name));
        for name in heard {
            self.gone.remove(name);
            self.heard.insert(name.clone());
        }
        if self.unlogged.len() < before {
            self.told = Some(now);
        }
    }

    /// Handles the start of this member's leadership: it has to detect losses itself.
    pub(super) fn resume(&mut self) {
        self.gone.clear();
        (self.since, self.told) = (None, None);
    }

    /// Records a response of a member. Returns true if it is the first one.
    pub(super) fn word(&mut self, member: &Name) -> bool {
        self.gone.remove(member);
        let new = self.heard.insert(member.clone());
        if new && self.heard.len() <= MOST_HEARD {
            self.unlogged.insert(member.clone());
        }
        new
    }

    /// Handles a report of a member that seemed to be gone.
    pub(super) fn back(&mut self, member: &Name) {
        self.gone.remove(member);
    }

    /// Handles the loss or silence of a member that is waited for.
    pub(super) fn gone(&mut self, member: &Name) {
        if !self.heard.contains(member) {
            self.gone.insert(member.clone());
        }
    }

    /// Returns whether the missing members of a wave may be skipped: none of them responded, the limit is not
    /// reached, and other members remain that show the effect of the version. `awaited` is the number of
    /// members that are waited for, in this wave and those before.
    pub(super) fn allows(&self, wave: usize, missing: usize, awaited: usize) -> bool {
        let gone = self.gone.len();
        let few = wave == 0 || gone == 1 || gone * 2 <= awaited;
        gone > 0 && gone == missing && few && self.passes.1 < MOST_PASSES
    }

    /// Starts a proposal to skip the members that are gone, and returns them.
    pub(super) fn wish(&mut self, now: Micros) -> BTreeSet<Name> {
        self.since = Some(now);
        self.gone.clone()
    }

    /// Returns the deadline of a wave, extended while a proposal to skip members is pending.
    pub(super) fn late(&self, late: Micros) -> Micros {
        self.since.map_or(late, |since| since.saturating_add(PATIENCE).max(late))
    }

    /// Returns the members whose response should be logged now: at once if `soon`, otherwise at most once per
    /// [`MIN_LOG_INTERVAL`].
    pub(super) fn news(&self, now: Micros, soon: bool) -> Option<BTreeSet<Name>> {
        let due = soon || self.told.is_none_or(|told| now >= told.saturating_add(BETWEEN));
        (due && !self.unlogged.is_empty()).then(|| self.unlogged.clone())
    }
}

//! Tracks the members that responded since their wave started, and those that are gone without a response.

use super::LoggedRollout;
use crate::Micros;
use heronroute_fleet::Name;
use std::collections::BTreeSet;

/// The maximum number of skips per wave. A version that kills members before their first response thus
/// reaches three first members at most.
pub const MAX_SKIPS_PER_WAVE: usize = 2;

/// The time after the start of a wave or term before a member may be skipped: long enough for two reports and
/// for detecting a death.
pub const SKIP_DELAY: Micros = 5_000_000;

/// A report that was written this long after the start of the wave counts as a response whatever it says,
/// since the version was delivered in the meantime.
pub const DELIVERY_ASSUMED_AFTER: Micros = 1_000_000;

/// The maximum number of members whose response is logged; the silence of others counts as evidence with the
/// current leader only.
pub const MAX_LOGGED_RESPONSES: usize = 512;

/// The minimum time between two log entries about responses while some members have not responded yet.
const MIN_LOG_INTERVAL: Micros = 500_000;

/// The responses and losses among the members that are waited for, in the current wave and those before.
#[derive(Clone, Debug, Default)]
pub(super) struct SkipTracker {
    /// The members that responded to this leader or, according to the log, to an earlier one.
    responded: BTreeSet<Name>,
    /// Those of them that are not logged yet.
    unlogged: BTreeSet<Name>,
    /// The members that are gone without a response.
    gone: BTreeSet<Name>,
    /// The number of skips: in all waves, and in the current wave.
    counts: (usize, usize),
    /// The time of the current proposal to skip members.
    proposed_at: Option<Micros>,
    /// The time at which responses were last logged.
    last_logged: Option<Micros>,
}

impl SkipTracker {
    pub(super) fn new(logged_rollout: &LoggedRollout) -> Self {
        SkipTracker {
            responded: logged_rollout.heard.clone(),
            counts: logged_rollout.passes,
            ..SkipTracker::default()
        }
    }

    /// Returns the number of skips in all waves.
    pub(super) fn total(&self) -> usize {
        self.counts.0
    }

    /// Handles the start of a wave, or its continuation without some members.
    pub(super) fn wave_started(&mut self, now: Micros, logged_rollout: &LoggedRollout) {
        (self.counts, self.proposed_at, self.last_logged) = (logged_rollout.passes, None, Some(now));
        // Members that are skipped now are not proposed again.
        self.gone.retain(|name| !logged_rollout.without.contains(name));
    }

    /// Handles the responses found in the log.
    pub(super) fn record_logged(&mut self, now: Micros, heard: &BTreeSet<Name>) {
        let before = self.unlogged.len();
        self.unlogged.retain(|name| !heard.contains(name));
        for name in heard {
            self.gone.remove(name);
            self.responded.insert(name.clone());
        }
        if self.unlogged.len() < before {
            self.last_logged = Some(now);
        }
    }

    /// Handles the start of this member's leadership: it has to detect losses itself.
    pub(super) fn resume(&mut self) {
        self.gone.clear();
        (self.proposed_at, self.last_logged) = (None, None);
    }

    /// Records a response of a member. Returns true if it is the first one.
    pub(super) fn record_response(&mut self, member: &Name) -> bool {
        self.gone.remove(member);
        let new = self.responded.insert(member.clone());
        if new && self.responded.len() <= MAX_LOGGED_RESPONSES {
            self.unlogged.insert(member.clone());
        }
        new
    }

    /// Handles a report of a member that seemed to be gone.
    pub(super) fn member_returned(&mut self, member: &Name) {
        self.gone.remove(member);
    }

    /// Handles the loss or silence of a member that is waited for.
    pub(super) fn member_gone(&mut self, member: &Name) {
        if !self.responded.contains(member) {
            self.gone.insert(member.clone());
        }
    }

    /// Returns whether the missing members of a wave may be skipped: none of them responded, the limit is not
    /// reached, and other members remain that show the effect of the version. `awaited` is the number of
    /// members that are waited for, in this wave and those before.
    pub(super) fn may_skip(&self, wave: usize, missing: usize, awaited: usize) -> bool {
        let gone = self.gone.len();
        let enough_remain = wave == 0 || gone == 1 || gone * 2 <= awaited;
        gone > 0 && gone == missing && enough_remain && self.counts.1 < MAX_SKIPS_PER_WAVE
    }

    /// Starts a proposal to skip the members that are gone, and returns them.
    pub(super) fn propose(&mut self, now: Micros) -> BTreeSet<Name> {
        self.proposed_at = Some(now);
        self.gone.clone()
    }

    /// Returns the deadline of a wave, extended while a proposal to skip members is pending.
    pub(super) fn extend_deadline(&self, deadline: Micros) -> Micros {
        self.proposed_at.map_or(deadline, |proposed| proposed.saturating_add(SKIP_DELAY).max(deadline))
    }

    /// Returns the members whose response should be logged now: at once if `soon`, otherwise at most once per
    /// [`MIN_LOG_INTERVAL`].
    pub(super) fn due_for_log(&self, now: Micros, soon: bool) -> Option<BTreeSet<Name>> {
        let due =
            soon || self.last_logged.is_none_or(|logged| now >= logged.saturating_add(MIN_LOG_INTERVAL));
        (due && !self.unlogged.is_empty()).then(|| self.unlogged.clone())
    }
}

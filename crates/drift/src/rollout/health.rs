//! Compares the health of the members with the new version with that of the members without it.

use crate::Micros;
use crate::report::Health;
use heronroute_fleet::Start;
use serde::{Deserialize, Serialize};

/// The thresholds from which the health with a new version counts as worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthThresholds {
    /// The number of refused or failed messages that the reached members must have seen before their rate is
    /// compared.
    pub min_events: u64,
    /// Their rate is worse if it exceeds the rate of the others by this percentage.
    pub rate_percent: u64,
    /// The average growth of the reached members in bytes before their memory is compared.
    pub min_growth_bytes: u64,
    /// Their memory is worse if it grew more than that of the others by this percentage of its former size.
    pub memory_percent: u64,
}

impl Default for HealthThresholds {
    fn default() -> Self {
        HealthThresholds { min_events: 20, rate_percent: 100, min_growth_bytes: 8 << 20, memory_percent: 20 }
    }
}

/// The change of a member's health since a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HealthTracker {
    start: Start,
    since: Micros,
    base: Health,
    last: Health,
    last_at: Micros,
    /// The refused and failed messages of starts that ended since then.
    earlier: (u64, u64),
}

impl HealthTracker {
    pub(crate) fn new(now: Micros, start: Start, health: Health) -> Self {
        HealthTracker { start, since: now, base: health, last: health, last_at: now, earlier: (0, 0) }
    }

    pub(crate) fn report(&mut self, now: Micros, start: Start, health: Health) {
        if start != self.start {
            // The counts begin at 0 after a restart; those of the earlier start are kept.
            self.earlier = (self.refused(), self.failed());
            self.start = start;
            self.base.refused = 0;
            self.base.failed = 0;
        }
        if self.base.memory == 0 {
            // The memory was not reported before, as after a start; without this it would seem to grow from
            // nothing.
            self.base.memory = health.memory;
        }
        self.last = health;
        self.last_at = now;
    }

    /// Sets the memory from which growth counts, as an earlier leader logged it.
    pub(crate) fn with_base_memory(mut self, bytes: Option<u64>) -> Self {
        self.base.memory = bytes.unwrap_or(self.base.memory);
        self
    }

    /// Restarts the measurement at the last report.
    pub(crate) fn rebase(&mut self, now: Micros) {
        *self = HealthTracker::new(now, self.start, self.last);
    }

    fn refused(&self) -> u64 {
        self.earlier.0.saturating_add(self.last.refused.saturating_sub(self.base.refused))
    }

    fn failed(&self) -> u64 {
        self.earlier.1.saturating_add(self.last.failed.saturating_sub(self.base.failed))
    }
}

/// The sum over several members. It is also logged as a part of the baseline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HealthTotals {
    members: u64,
    /// The observed time, summed over the members, in microseconds.
    time: u64,
    refused: u64,
    failed: u64,
    memory_base: u64,
    memory_now: u64,
}

impl HealthTotals {
    pub(crate) fn of<'a>(members: impl Iterator<Item = &'a HealthTracker>) -> Self {
        let mut totals = HealthTotals::default();
        for tracker in members.filter(|tracker| tracker.last_at > tracker.since) {
            totals.members += 1;
            totals.time =
                totals.time.saturating_add(tracker.last_at.saturating_sub(tracker.since).unsigned_abs());
            totals.refused = totals.refused.saturating_add(tracker.refused());
            totals.failed = totals.failed.saturating_add(tracker.failed());
            totals.memory_base = totals.memory_base.saturating_add(tracker.base.memory);
            totals.memory_now = totals.memory_now.saturating_add(tracker.last.memory);
        }
        totals
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.members == 0
    }

    /// Describes the first figure that is worse than that of `others`, if there is one.
    pub(crate) fn worse_figure(
        &self,
        others: &HealthTotals,
        thresholds: &HealthThresholds,
    ) -> Option<String> {
        if self.is_empty() || others.is_empty() {
            return None;
        }
        let counts = [("refusals", self.refused, others.refused), ("failures", self.failed, others.failed)];
        for (what, mine, theirs) in counts {
            // mine/time > theirs/time × (1 + percent), without a division.
            let own_scaled = u128::from(mine).saturating_mul(others.time.into()).saturating_mul(100);
            let others_scaled = u128::from(theirs)
                .saturating_mul(self.time.into())
                .saturating_mul(100 + u128::from(thresholds.rate_percent));
            if mine >= thresholds.min_events && own_scaled > others_scaled {
                let (reached, rest) = (self.hourly_per_member(mine), others.hourly_per_member(theirs));
                return Some(format!(
                    "{what}: {reached} an hour a member where it is applied, {rest} where it is not yet"
                ));
            }
        }
        let grown = self.memory_now.saturating_sub(self.memory_base) / self.members;
        let (mine, theirs) = (self.growth_percent(), others.growth_percent());
        if grown >= thresholds.min_growth_bytes
            && mine > theirs.saturating_add(i128::from(thresholds.memory_percent))
        {
            return Some(format!("memory: {mine:+}% where it is applied, {theirs:+}% where it is not yet"));
        }
        None
    }

    fn hourly_per_member(&self, events: u64) -> u128 {
        u128::from(events) * 3_600_000_000 / u128::from(self.time.max(1))
    }

    fn growth_percent(&self) -> i128 {
        let (base, now) = (i128::from(self.memory_base.max(1)), i128::from(self.memory_now));
        (now - base) * 100 / base
    }
}

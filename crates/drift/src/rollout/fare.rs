//! Compares the health of the members with the new version with that of the members without it.

use crate::Micros;
use crate::report::Health;
use heronroute_fleet::Start;
use serde::{Deserialize, Serialize};

/// The thresholds from which the health with a new version counts as worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Worse {
    /// The number of refused or failed messages that the reached members must have seen before their rate is
    /// compared.
    pub least: u64,
    /// Their rate is worse if it exceeds the rate of the others by this percentage.
    pub rate_percent: u64,
    /// The average growth of the reached members in bytes before their memory is compared.
    pub least_octets: u64,
    /// Their memory is worse if it grew more than that of the others by this percentage of its former size.
    pub memory_percent: u64,
}

impl Default for Worse {
    fn default() -> Self {
        Worse { least: 20, rate_percent: 100, least_octets: 8 << 20, memory_percent: 20 }
    }
}

/// The change of a member's health since a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Since {
    start: Start,
    at: Micros,
    base: Health,
    last: Health,
    last_at: Micros,
    /// The refused and failed messages of starts that ended since then.
    before: (u64, u64),
}

impl Since {
    pub(crate) fn new(now: Micros, start: Start, health: Health) -> Self {
        Since { start, at: now, base: health, last: health, last_at: now, before: (0, 0) }
    }

    pub(crate) fn report(&mut self, now: Micros, start: Start, health: Health) {
        if start != self.start {
            // The counts begin at 0 after a restart; those of the earlier start are kept.
            self.before = (self.refused(), self.failed());
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
    pub(crate) fn grown_from(mut self, octets: Option<u64>) -> Self {
        self.base.memory = octets.unwrap_or(self.base.memory);
        self
    }

    /// Restarts the measurement at the last report.
    pub(crate) fn rebase(&mut self, now: Micros) {
        *self = Since::new(now, self.start, self.last);
    }

    fn refused(&self) -> u64 {
        self.before.0.saturating_add(self.last.refused.saturating_sub(self.base.refused))
    }

    fn failed(&self) -> u64 {
        self.before.1.saturating_add(self.last.failed.saturating_sub(self.base.failed))
    }
}

/// The sum over several members. It is also logged as a part of the baseline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sum {
    members: u64,
    /// The observed time, summed over the members, in microseconds.
    time: u64,
    refused: u64,
    failed: u64,
    memory_base: u64,
    memory_now: u64,
}

impl Sum {
    pub(crate) fn of<'a>(members: impl Iterator<Item = &'a Since>) -> Self {
        let mut sum = Sum::default();
        for one in members.filter(|one| one.last_at > one.at) {
            sum.members += 1;
            sum.time = sum.time.saturating_add(one.last_at.saturating_sub(one.at).unsigned_abs());
            sum.refused = sum.refused.saturating_add(one.refused());
            sum.failed = sum.failed.saturating_add(one.failed());
            sum.memory_base = sum.memory_base.saturating_add(one.base.memory);
            sum.memory_now = sum.memory_now.saturating_add(one.last.memory);
        }
        sum
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.members == 0
    }

    /// Describes the first figure that is worse than that of `others`, if there is one.
    pub(crate) fn worse_than(&self, others: &Sum, worse: &Worse) -> Option<String> {
        if self.is_empty() || others.is_empty() {
            return None;
        }
        let counts = [("refusals", self.refused, others.refused), ("failures", self.failed, others.failed)];
        for (what, mine, theirs) in counts {
            // mine/time > theirs/time × (1 + percent), without a division.
            let left = u128::from(mine).saturating_mul(others.time.into()).saturating_mul(100);
            let right = u128::from(theirs)
                .saturating_mul(self.time.into())
                .saturating_mul(100 + u128::from(worse.rate_percent));
            if mine >= worse.least && left > right {
                let (reached, rest) = (self.hourly(mine), others.hourly(theirs));
                return Some(format!(
                    "{what}: {reached} an hour a member where it is applied, {rest} where it is not yet"
                ));
            }
        }
        let grown = self.memory_now.saturating_sub(self.memory_base) / self.members;
        let (mine, theirs) = (self.growth(), others.growth());
        if grown >= worse.least_octets && mine > theirs.saturating_add(i128::from(worse.memory_percent)) {
            return Some(format!("memory: {mine:+}% where it is applied, {theirs:+}% where it is not yet"));
        }
        None
    }

    fn hourly(&self, events: u64) -> u128 {
        u128::from(events) * 3_600_000_000 / u128::from(self.time.max(1))
    }

    fn growth(&self) -> i128 {
        let (base, now) = (i128::from(self.memory_base.max(1)), i128::from(self.memory_now));
        (now - base) * 100 / base
    }
}

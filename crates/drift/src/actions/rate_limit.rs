//! Token buckets as a generic cell rate algorithm (ITU-T I.371), which stores one time instead of a count and
//! a time.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// A rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    /// The maximum number of actions in a burst.
    pub burst: u32,
    /// The time in microseconds after which one more action is allowed.
    pub interval: Micros,
}

/// A token bucket that starts full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenBucket {
    /// The time at which the bucket is full again.
    full_at: Option<Micros>,
}

impl TokenBucket {
    /// Returns the time from which the next action is allowed.
    pub fn ready(&self, rate: RateLimit) -> Micros {
        let burst_span = rate.interval.max(1).saturating_mul(i64::from(rate.burst.max(1)) - 1);
        self.full_at.map_or(Micros::MIN, |full| full.saturating_sub(burst_span))
    }

    /// Takes one token, even if none is available.
    pub fn take(&mut self, now: Micros, rate: RateLimit) {
        let start = self.full_at.map_or(now, |full| full.max(now));
        self.full_at = Some(start.saturating_add(rate.interval.max(1)));
    }
}

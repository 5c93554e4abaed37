//! Tracks how long the oldest entry that is not durable at the partner has waited.

use crate::Micros;
use std::collections::VecDeque;

/// The number of distinct write times that are kept per allowed lag.
const SAMPLES_PER_LIMIT: i64 = 16;

/// Samples of the journal's position and the time of writing. Once the oldest is late, newer ones are not
/// needed.
#[derive(Debug, Default)]
pub struct Lag {
    samples: VecDeque<(u64, Micros)>,
}

impl Lag {
    /// Records that the entries before `next` are written now. `most` is the allowed lag.
    pub fn record_written(&mut self, now: Micros, next: u64, most: Micros) {
        let is_full = self.samples.len() as i64 > 2 * SAMPLES_PER_LIMIT;
        match self.samples.back_mut() {
            // Written at nearly the same time: merged into the latest sample.
            Some((number, at)) if now < *at + most / SAMPLES_PER_LIMIT => *number = next,
            _ if is_full => {}
            _ => self.samples.push_back((next, now)),
        }
    }

    /// Records that the entries before `next` are durable at the partner.
    pub fn acked(&mut self, next: u64) {
        while self.samples.front().is_some_and(|(number, _)| *number <= next) {
            self.samples.pop_front();
        }
    }

    /// Returns the time since which the oldest entry waits.
    pub fn since(&self) -> Option<Micros> {
        self.samples.front().map(|(_, at)| *at)
    }
}

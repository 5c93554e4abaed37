//! Estimates from traffic: how often events occur, and how long calls take.

use crate::{interface::Micros, state::Latency, state::Rate};

/// Weight of a new latency sample once there are many.
const LATENCY_GAIN: f64 = 0.04;
/// Assumed p99 latency in microseconds before the first sample.
const DEFAULT_P99: f64 = 2e6;
/// Silence beyond this multiple of the p99 latency is a symptom of failure.
const SILENCE_P99_FACTOR: f64 = 1.5;
/// Silence shorter than this, in microseconds, is never a symptom.
pub(super) const MIN_SILENCE: f64 = 4e5;

impl Rate {
    pub(super) fn new(now: Micros, time_constant: f64) -> Self {
        Rate { created_at: now, updated_at: now, value: 0.0, time_constant }
    }
    /// Counts one event.
    pub(super) fn add(&mut self, now: Micros) {
        self.value = self.value * (-((now - self.updated_at) as f64) / self.time_constant).exp()
            + 1e6 / self.time_constant;
        self.updated_at = now;
    }
    /// Returns the rate in events per second.
    pub(super) fn get(&self, now: Micros) -> f64 {
        let age = (now - self.created_at).max(1_000_000) as f64;
        self.value * (-((now - self.updated_at) as f64) / self.time_constant).exp()
            / (1.0 - (-age / self.time_constant).exp())
    }
}

impl Latency {
    pub(super) fn add(&mut self, elapsed: Micros) {
        let sample = elapsed.max(1_000) as f64;
        self.recent = if self.samples == 0.0 { sample } else { self.recent + 0.3 * (sample - self.recent) };
        // A slow period widens the distribution only gradually: pools are sized by the latency in good
        // health.
        let log = if self.samples < 8.0 { sample.ln() } else { sample.ln().min(self.p99().ln() + 0.7) };
        let gain = (1.0 / (self.samples + 1.0)).max(LATENCY_GAIN);
        let difference = log - self.log_mean;
        self.log_mean += gain * difference;
        self.log_variance = (1.0 - gain) * (self.log_variance + gain * difference * difference);
        self.samples += 1.0;
    }
    /// Returns the 99th percentile in microseconds.
    pub(crate) fn p99(&self) -> f64 {
        let estimate =
            (self.log_mean + 2.33 * self.log_variance.sqrt()).exp() * (1.0 + 3.0 / (self.samples + 1.0));
        if self.samples == 0.0 { DEFAULT_P99 } else { estimate }
    }
    /// Returns the mean in microseconds.
    pub(crate) fn mean(&self) -> f64 {
        if self.samples == 0.0 { DEFAULT_P99 / 4.0 } else { (self.log_mean + self.log_variance / 2.0).exp() }
    }
    /// Returns whether recent calls took longer than usual.
    pub(super) fn slow(&self) -> bool {
        self.samples > 0.0 && self.recent > self.p99()
    }
    /// Returns how long a call may stay unanswered, in microseconds, before that is a symptom of failure.
    pub(super) fn silence(&self) -> f64 {
        (SILENCE_P99_FACTOR * self.p99()).max(2.0 * self.recent).max(MIN_SILENCE)
    }
}

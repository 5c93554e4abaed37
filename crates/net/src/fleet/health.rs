//! Measures the health of this process, for the member in charge. That member compares the members that a
//! rollout has reached with those that it has not.

use heronroute_engine::stats::Stats;
use heronroute_fleet::Micros;
use heronroute_installation::seam::Health;
use std::sync::{Arc, Mutex};

#[cfg(test)]
mod tests;

/// The minimum interval between two samples.
const SAMPLE_INTERVAL: Micros = 1_000_000;

/// Samples the senders' counts and the memory of the process.
#[derive(Default)]
pub struct HealthSampler {
    senders: Vec<Arc<Mutex<Stats>>>,
    next_sample: Micros,
}

impl HealthSampler {
    /// Creates a sampler of these senders' counts.
    pub fn new(senders: Vec<Arc<Mutex<Stats>>>) -> Self {
        HealthSampler { senders, next_sample: Micros::MIN }
    }

    /// Returns a new sample, at most once a second, and none without senders.
    pub fn sample(&mut self, now: Micros) -> Option<Health> {
        if now < self.next_sample || self.senders.is_empty() {
            return None;
        }
        self.next_sample = now.saturating_add(SAMPLE_INTERVAL);
        let mut total = Stats::default();
        self.senders.iter().filter_map(|sender| sender.lock().ok()).for_each(|sender| total.add(&sender));
        let process_status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        Some(health(&total, &process_status))
    }
}

/// Returns the messages that were refused, those that ended undelivered, and the resident memory in bytes.
/// The memory is 0, which is never compared, if the system does not report it.
fn health(stats: &Stats, process_status: &str) -> Health {
    let [_, rejected, undeliverable, unknown, expired, _] = stats.answers;
    Health {
        refused: stats.refused_rate + stats.refused_room + stats.refused_other,
        failed: rejected + undeliverable + unknown + expired,
        memory: resident_memory(process_status).unwrap_or(0),
    }
}

fn resident_memory(process_status: &str) -> Option<u64> {
    let line = process_status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()?.checked_mul(1024)
}

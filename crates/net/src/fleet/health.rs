//! How this process fares, for the member in charge: it holds those that a rollout has reached against those that it has not.

use heronroute_engine::stats::Stats;
use heronroute_fleet::Micros;
use heronroute_installation::seam::Health;
use std::sync::{Arc, Mutex};

#[cfg(test)]
mod tests;

/// It is looked at no more often than this.
const EVERY: Micros = 1_000_000;

/// Senders' counts, and the process's memory.
#[derive(Default)]
pub struct Pulse {
    senders: Vec<Arc<Mutex<Stats>>>,
    next: Micros,
}

impl Pulse {
    /// Of these senders.
    pub fn new(senders: Vec<Arc<Mutex<Stats>>>) -> Self {
        Pulse { senders, next: Micros::MIN }
    }

    /// How it fares, once a second at most.
    pub fn feel(&mut self, now: Micros) -> Option<Health> {
        if now < self.next || self.senders.is_empty() {
            return None;
        }
        self.next = now.saturating_add(EVERY);
        let mut all = Stats::default();
        self.senders.iter().filter_map(|sender| sender.lock().ok()).for_each(|sender| all.add(&sender));
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        Some(health(&all, &status))
    }
}

/// Turned away, ended without being delivered, and resident octets. Memory is 0, which is never compared, where the system
/// does not tell it.
fn health(stats: &Stats, status: &str) -> Health {
    let [_, rejected, undeliverable, unknown, expired, _] = stats.answers;
    Health {
        refused: stats.refused_rate + stats.refused_room + stats.refused_other,
        failed: rejected + undeliverable + unknown + expired,
        memory: resident(status).unwrap_or(0),
    }
}

fn resident(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()?.checked_mul(1024)
}

//! How much is read from a client's connections in one turn of the event loop. Performs no I/O.
//!
//! Read budgets prevent one client's flood from taking the sender's time from the other clients, on any
//! number of connections and any front. While several clients are active, a client with more than three times
//! the requests of the others (by weight, on average) is read in smaller pieces, which shrink with the number
//! of its requests.
//!
//! Floods are detected with a sketch of bounded size. It never misses a client with much traffic, and
//! overestimates one with little traffic only by a known error. The lower bound is used, so that no client is
//! limited because of the sketch's error.

use crate::Micros;
use heronroute_fair::{HeavyParty, TrafficSketch};
use std::collections::BTreeMap;

/// The maximum number of bytes read from one connection in a turn.
pub const MAX_READ: usize = 64 * 1024;
/// The minimum number of bytes read from one connection in a turn.
pub const MIN_READ: usize = 2 * 1024;
/// The number of counters in the sketch.
const SKETCH_COUNTERS: usize = 256;
/// The interval at which the budgets are recomputed.
const REFRESH_INTERVAL: Micros = 250_000;
/// The number of requests below which no client is limited.
const MIN_REQUESTS: u64 = 200;
/// A client with more than this multiple of the others' requests is limited.
const FLOOD_RATIO: f64 = 3.0;

/// The read budget of each client.
#[derive(Debug)]
pub struct ReadBudgets {
    sketch: TrafficSketch<usize>,
    /// The clients that are limited, with their bytes per turn.
    limited: BTreeMap<usize, usize>,
    next_refresh: Micros,
}

impl ReadBudgets {
    /// Creates budgets that limit no client.
    pub fn new(now: Micros) -> Self {
        ReadBudgets {
            sketch: TrafficSketch::new(SKETCH_COUNTERS),
            limited: BTreeMap::new(),
            next_refresh: now + REFRESH_INTERVAL,
        }
    }

    /// Counts a client's request.
    pub fn count(&mut self, now: Micros, client: usize, weight: impl Fn(usize) -> f64) {
        self.sketch.add(client);
        if now >= self.next_refresh {
            self.next_refresh = now + REFRESH_INTERVAL;
            self.refresh(weight);
        }
    }

    fn refresh(&mut self, weight: impl Fn(usize) -> f64) {
        self.limited.clear();
        let total = self.sketch.total();
        if total >= MIN_REQUESTS {
            // Clients with at least a hundredth of the traffic are active. A single active client is not
            // limited.
            let active = self.sketch.heavy_parties(0.01);
            let weight_of = |h: &HeavyParty<usize>| weight(h.party).max(1e-9);
            let weights: f64 = active.iter().map(weight_of).sum();
            let requests: f64 = active.iter().map(|h| h.most as f64).sum();
            for h in active.iter().filter(|_| active.len() > 1) {
                let others = (requests - h.most as f64).max(1.0) / (weights - weight_of(h)).max(1e-9);
                let ratio = h.least as f64 / weight_of(h) / others;
                if ratio > FLOOD_RATIO {
                    // The square, because the others' turns come no more often than this client's turn ends.
                    let bytes = (MAX_READ as f64 / (ratio * ratio)) as usize;
                    self.limited.insert(h.party, bytes.clamp(MIN_READ, MAX_READ));
                }
            }
        }
        self.sketch.halve();
    }

    /// Returns the maximum number of bytes to read from one of a client's connections in a turn.
    pub fn bytes_per_turn(&self, client: usize) -> usize {
        self.limited.get(&client).copied().unwrap_or(MAX_READ)
    }

    /// Returns the number of clients that are limited.
    pub fn limited(&self) -> usize {
        self.limited.len()
    }
}

#[cfg(test)]
mod tests;

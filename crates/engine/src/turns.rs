//! How much is read from a client's connections in one turn of the sender. Free of I/O.
//!
//! Guards against one client's flood, on however many connections and whatever front, taking the sender's time from
//! others: while several are active, those with more than three times the requests of the others (by weight, on
//! average) are read in smaller pieces, by how far they are above that. Who they are is found by a sketch of bounded size, which never misses one
//! with much traffic and may take one with little for more by a known error only; the lower bound is used, so that
//! nobody is held back for the sketch's error.

use crate::Micros;
use heronroute_fair::{Heavy, Sketch};
use std::collections::BTreeMap;

/// Octets read from one connection in a turn, at most and at least.
pub const MOST: usize = 64 * 1024;
/// See [`MOST`].
pub const LEAST: usize = 2 * 1024;
/// Counters of the sketch.
const COUNTERS: usize = 256;
/// How often the parts are worked out anew.
const EVERY: Micros = 250_000;
/// Requests below which nobody is held back.
const FEW: u64 = 200;
/// So many times the others' requests are too many.
const OVER: f64 = 3.0;

/// Who is read how much.
#[derive(Debug)]
pub struct Turns {
    sketch: Sketch<usize>,
    /// Clients that are held back, with the octets of a turn.
    held: BTreeMap<usize, usize>,
    next: Micros,
}

impl Turns {
    /// Nobody is held back at first.
    pub fn new(now: Micros) -> Self {
        Turns { sketch: Sketch::new(COUNTERS), held: BTreeMap::new(), next: now + EVERY }
    }

    /// A client's request.
    pub fn count(&mut self, now: Micros, client: usize, weight: impl Fn(usize) -> f64) {
        self.sketch.add(client);
        if now >= self.next {
            self.next = now + EVERY;
            self.weigh(weight);
        }
    }

    fn weigh(&mut self, weight: impl Fn(usize) -> f64) {
        self.held.clear();
        let total = self.sketch.total();
        if total >= FEW {
            // Those with at least a hundredth of the traffic are active; of a lone one nothing is taken.
            let active = self.sketch.heavy(0.01);
            let due = |h: &Heavy<usize>| weight(h.party).max(1e-9);
            let weights: f64 = active.iter().map(due).sum();
            let requests: f64 = active.iter().map(|h| h.most as f64).sum();
            for h in active.iter().filter(|_| active.len() > 1) {
                let others = (requests - h.most as f64).max(1.0) / (weights - due(h)).max(1e-9);
                let over = h.least as f64 / due(h) / others;
                if over > OVER {
                    // By the square, as the others' turns come no oftener than this one ends.
                    let octets = (MOST as f64 / (over * over)) as usize;
                    self.held.insert(h.party, octets.clamp(LEAST, MOST));
                }
            }
        }
        self.sketch.fade();
    }

    /// Octets to be read from one of a client's connections in a turn.
    pub fn octets(&self, client: usize) -> usize {
        self.held.get(&client).copied().unwrap_or(MOST)
    }

    /// Clients held back.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_read_in_small_pieces_while_others_are_there() {
        let mut t = Turns::new(0);
        for i in 0..4_000 {
            t.count(i * 100, if i % 3 == 0 { 1 } else { 0 }, |_| 1.0);
        }
        assert_eq!((t.octets(0), t.octets(1)), (MOST, MOST), "twice the other's is no flood");
        let mut t = Turns::new(0);
        for i in 0..40_000 {
            let who = if i % 20 < 14 { 0 } else { 1 + (i % 20 - 14) as usize };
            t.count(i * 100, who, |_| 1.0);
        }
        assert_eq!(t.octets(0), LEAST, "70 % beside six with 5 % each");
        assert!((1..7).all(|c| t.octets(c) == MOST));
        // The same with a weight that is due it.
        let mut t = Turns::new(0);
        (0..40_000).for_each(|i| {
            let who = if i % 20 < 14 { 0 } else { 1 + (i % 20 - 14) as usize };
            t.count(i * 100, who, |c| if c == 0 { 14.0 } else { 1.0 });
        });
        assert_eq!(t.held(), 0);
        // Alone.
        let mut t = Turns::new(0);
        (0..40_000).for_each(|i| t.count(i * 100, 0, |_| 1.0));
        assert_eq!(t.held(), 0);
    }
}

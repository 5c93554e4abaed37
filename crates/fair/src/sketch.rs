//! Finds the parties with the most traffic in bounded memory: Space-Saving (Metwally, Agrawal and El Abbadi,
//! 2005), with decaying counts.
//!
//! With `n` counters, a party's count is too high by at most the total divided by `n`, and never too low;
//! every party with more than that share of the total has a counter. The cost of an event is logarithmic in
//! the number of counters and doesn't depend on the number of parties.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// A party with much traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeavyParty<K> {
    /// The party.
    pub party: K,
    /// The upper bound of its count.
    pub most: u64,
    /// The lower bound of its count.
    pub least: u64,
}

#[derive(Clone, Copy, Debug)]
struct Counter {
    count: u64,
    error: u64,
}

/// A sketch of event counts by party.
#[derive(Clone, Debug)]
pub struct TrafficSketch<K> {
    room: usize,
    counters: HashMap<K, Counter>,
    /// The parties by count, smallest first.
    order: BTreeSet<(u64, K)>,
    total: u64,
}

impl<K: Ord + Hash + Copy> TrafficSketch<K> {
    /// Returns an empty sketch with the given number of counters.
    pub fn new(counters: usize) -> Self {
        let room = counters.max(1);
        TrafficSketch { room, counters: HashMap::with_capacity(room), order: BTreeSet::new(), total: 0 }
    }

    /// Returns the decayed total number of events.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the maximum error of a count.
    pub fn error(&self) -> u64 {
        self.total / self.room as u64
    }

    /// Counts an event of a party.
    pub fn add(&mut self, party: K) {
        self.total += 1;
        if let Some(c) = self.counters.get_mut(&party) {
            self.order.remove(&(c.count, party));
            c.count += 1;
            self.order.insert((c.count, party));
            return;
        }
        let mut least = 0;
        if self.counters.len() >= self.room {
            // The counter with the smallest count is reused; the new party may have had as many uncounted
            // events.
            let Some((count, gone)) = self.order.pop_first() else { return };
            self.counters.remove(&gone);
            least = count;
        }
        self.counters.insert(party, Counter { count: least + 1, error: least });
        self.order.insert((least + 1, party));
    }

    /// Returns the lower and the upper bound of a party's count.
    pub fn count(&self, party: &K) -> (u64, u64) {
        match self.counters.get(party) {
            Some(c) => (c.count - c.error, c.count),
            None if self.counters.len() < self.room => (0, 0),
            None => (0, self.order.first().map_or(0, |(n, _)| *n)),
        }
    }

    /// Halves all counts, so that older events count less. To be called at regular intervals.
    pub fn halve(&mut self) {
        self.total /= 2;
        self.counters.retain(|_, c| {
            (c.count, c.error) = (c.count / 2, c.error / 2);
            c.count > 0
        });
        self.order = self.counters.iter().map(|(p, c)| (c.count, *p)).collect();
    }

    /// Returns the parties that may have more than a share of the total, largest first.
    pub fn heavy_parties(&self, share: f64) -> Vec<HeavyParty<K>> {
        let threshold = (self.total as f64 * share) as u64;
        let above = self.order.iter().rev().take_while(|(count, _)| *count > threshold);
        above
            .map(|(count, party)| {
                let error = self.counters.get(party).map_or(0, |c| c.error);
                HeavyParty { party: *party, most: *count, least: count - error }
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_are_within_the_bound_and_no_heavy_party_is_missed() {
        let mut state = 1u64;
        let mut random_below = move |n: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            (state >> 11) % n
        };
        let (mut sketch, mut exact) = (TrafficSketch::new(200), HashMap::new());
        for _ in 0..200_000 {
            // A fifth of the events come from five parties, the rest from 20,000.
            let party = if random_below(5) == 0 { random_below(5) } else { 5 + random_below(20_000) };
            sketch.add(party);
            *exact.entry(party).or_insert(0u64) += 1;
        }
        for (party, count) in &exact {
            let (least, most) = sketch.count(party);
            assert!(least <= *count && *count <= most, "{party}: {least} {count} {most}");
            assert!(most <= count + sketch.error());
        }
        let parties: Vec<u64> = sketch.heavy_parties(0.02).into_iter().map(|h| h.party).collect();
        assert!((0..5).all(|p| parties.contains(&p)), "{parties:?}");
        assert!(parties.len() <= 8, "too many other parties: {parties:?}");
        sketch.halve();
        assert_eq!(sketch.total(), 100_000);
        assert!(sketch.heavy_parties(0.02).len() >= 5);
    }
}

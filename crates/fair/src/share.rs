//! Limits how much of a shared queue a party may hold.
//!
//! Dynamic thresholds (Choudhury and Hahne, 1998): a party may hold its weight times a multiple of the places
//! that are currently free. The number of parties need not be known. With a multiple of two, one flooding
//! party leaves a third of the queue free, many parties get equal parts, and there is always something free
//! for a new one. The cost of a decision doesn't depend on the number of parties.
//!
//! This keeps a flood from one client from filling the queue for all. While the queue is nearly empty it
//! restricts nobody: the thresholds are then larger than the queue.

/// The places that a party holds, and its weight.
#[derive(Clone, Copy, Debug)]
pub struct PartyUsage {
    /// The number of places held.
    pub held: usize,
    /// The weight of the party; the default is 1.
    pub weight: f64,
    /// Whether the party was refused last and has not fallen well below its threshold since.
    pub shedding: bool,
}

/// A refused party is admitted again below this share of its threshold, so that it doesn't flap at the
/// threshold.
const READMISSION_SHARE: f64 = 0.8;

/// The shares of a shared queue.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// The total number of places.
    pub room: usize,
    /// The multiple of the free places that a party of weight 1 may hold.
    pub multiple: f64,
}

impl Share {
    /// Returns the shares of a queue of `room` places with the default multiple.
    pub fn new(room: usize) -> Self {
        Share { room, multiple: 2.0 }
    }

    /// Returns how many places a party may hold while `total` are held by all. Messages of higher worth have
    /// a higher threshold, so that those of the least worth are refused first.
    pub fn threshold(&self, total: usize, weight: f64, worth: f64) -> f64 {
        let free = self.room.saturating_sub(total) as f64;
        self.multiple * weight.max(0.0) * worth.clamp(0.1, 10.0) * free
    }

    /// Returns whether a party may take one more place. `worth` is that of its message; the default is 1.
    pub fn admits(&self, total: usize, party: PartyUsage, worth: f64) -> bool {
        let threshold = self.threshold(total, party.weight, worth);
        let limit = if party.shedding { READMISSION_SHARE * threshold } else { threshold };
        total < self.room && (party.held as f64) < limit
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Lets each party take all that it may while held places are released in turn; returns what each holds
    /// in the end.
    fn flood(room: usize, weights: &[f64], worths: &[f64]) -> Vec<usize> {
        let share = Share::new(room);
        let mut held = vec![0usize; weights.len()];
        for round in 0..room * 8 {
            let done = round % weights.len();
            held[done] = held[done].saturating_sub(1);
            for i in (0..weights.len()).chain(0..weights.len()) {
                let total = held.iter().sum();
                let party = PartyUsage { held: held[i], weight: weights[i], shedding: false };
                held[i] += usize::from(share.admits(total, party, worths[i]));
            }
        }
        held
    }

    #[test]
    fn one_party_leaves_a_third_free_and_many_share_evenly() {
        let one = flood(900, &[1.0], &[1.0])[0];
        assert!((598..=600).contains(&one), "a third stays free for new parties: {one}");
        let two = flood(1_000, &[1.0, 1.0], &[1.0, 1.0]);
        assert!(two.iter().all(|h| (398..=402).contains(h)), "{two:?}");
        let weighted = flood(1_000, &[3.0, 1.0], &[1.0, 1.0]);
        assert!((2.8..3.2).contains(&(weighted[0] as f64 / weighted[1] as f64)), "{weighted:?}");
        let worth = flood(1_000, &[1.0, 1.0], &[2.0, 1.0]);
        assert!(worth[0] > worth[1], "{worth:?}");
        let many = flood(1_000, &[1.0; 20], &[1.0; 20]);
        assert!(many.iter().all(|h| (44..=52).contains(h)), "{many:?}");
    }

    #[test]
    fn a_refused_party_is_admitted_again_only_well_below_its_threshold() {
        let share = Share::new(900);
        let at = |held, shedding| share.admits(held, PartyUsage { held, weight: 1.0, shedding }, 1.0);
        assert!(at(599, false) && !at(600, false));
        assert!(!at(599, true) && at(500, true), "below four fifths of its threshold");
    }
}

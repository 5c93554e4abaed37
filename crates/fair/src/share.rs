//! How far a party may fill a shared room.
//!
//! Dynamic thresholds (Choudhury and Hahne, 1998): a party may hold its weight times a multiple of what is free just
//! now. Nobody needs to know who is there: with one flooding party a third of the room stays free at a multiple of
//! two, with many each gets an equal part, and there is always something free for one that comes new. The cost of
//! a decision is the same however many parties there are.
//!
//! Guards against one client's flood filling the room of all. Harms nobody while the room is nearly empty: then the
//! thresholds lie above it.

/// What a party holds, and what it is due.
#[derive(Clone, Copy, Debug)]
pub struct Holding {
    /// Places that it holds.
    pub held: usize,
    /// Its weight; 1 is usual.
    pub weight: f64,
    /// It was refused last and has not fallen well below its threshold since.
    pub shedding: bool,
}

/// A refused party is let in again below this share of its threshold, so that it doesn't flap at the edge.
const BACK: f64 = 0.8;

/// A shared room.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// Places in all.
    pub room: usize,
    /// A party may hold this multiple of what is free, times its weight.
    pub multiple: f64,
}

impl Share {
    /// A room with the usual multiple.
    pub fn new(room: usize) -> Self {
        Share { room, multiple: 2.0 }
    }

    /// Places that a party of a weight may hold while so many are held in all. A message of more worth than the
    /// usual has a higher threshold, so that what is worth least is turned away first.
    pub fn threshold(&self, total: usize, weight: f64, worth: f64) -> f64 {
        let free = self.room.saturating_sub(total) as f64;
        self.multiple * weight.max(0.0) * worth.clamp(0.1, 10.0) * free
    }

    /// Whether a party may take one more place; `worth`: of what it brings, 1 is usual. Gives whether it is shedding
    /// from now on.
    pub fn admits(&self, total: usize, party: Holding, worth: f64) -> bool {
        let threshold = self.threshold(total, party.weight, worth);
        let mark = if party.shedding { BACK * threshold } else { threshold };
        total < self.room && (party.held as f64) < mark
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Parties that each want all, while what is held is worked off in turn; gives what they hold in the end.
    fn flood(room: usize, weights: &[f64], worths: &[f64]) -> Vec<usize> {
        let share = Share::new(room);
        let mut held = vec![0usize; weights.len()];
        for round in 0..room * 8 {
            let done = round % weights.len();
            held[done] = held[done].saturating_sub(1);
            for i in (0..weights.len()).chain(0..weights.len()) {
                let total = held.iter().sum();
                let party = Holding { held: held[i], weight: weights[i], shedding: false };
                held[i] += usize::from(share.admits(total, party, worths[i]));
            }
        }
        held
    }

    #[test]
    fn a_flood_leaves_room_and_many_share_evenly() {
        let one = flood(900, &[1.0], &[1.0])[0];
        assert!((598..=600).contains(&one), "a third stays free for those who come: {one}");
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
    fn a_party_that_shed_comes_back_only_well_below() {
        let share = Share::new(900);
        let at = |held, shedding| share.admits(held, Holding { held, weight: 1.0, shedding }, 1.0);
        assert!(at(599, false) && !at(600, false));
        assert!(!at(599, true) && at(500, true), "below four fifths of its threshold");
    }
}

//! Whether a sender takes on more, as far as its journal goes. Free of I/O.
//!
//! Guards against a disk that is slow or fills up turning into loss: what is accepted must still be answered, and
//! answers need room and time in the journal too. So acceptance stops early, and starts again only well below the
//! mark, so that it doesn't flap.

use crate::log::Usage;

/// Marks.
#[derive(Clone, Copy, Debug)]
pub struct Marks {
    /// Octets on disk at most.
    pub most_disk: u64,
    /// Octets kept free for each open message: its attempts, outcomes and answer.
    pub reserve: u64,
    /// An entry may wait so long to become durable, in microseconds.
    pub most_lag: i64,
}

/// Decides, with memory of its last word.
#[derive(Clone, Copy, Debug)]
pub struct Shed {
    marks: Marks,
    shedding: bool,
}

/// Acceptance starts again below this share of a mark.
const BACK: f64 = 0.7;

impl Shed {
    /// Takes on everything at first.
    pub fn new(marks: Marks) -> Self {
        Shed { marks, shedding: false }
    }

    /// Whether to refuse now. `coming`: octets that acceptance itself would take, of this one and of others that stand in no
    /// entry yet; guards against a large one that is taken on and finds no room. `lag`: how long the oldest entry has waited
    /// to become durable.
    pub fn refuses(&mut self, usage: Usage, open: usize, coming: u64, lag: i64) -> bool {
        let needed = usage.octets + (open as u64 * self.marks.reserve).saturating_add(coming);
        let full = needed as f64 / self.marks.most_disk.max(1) as f64;
        let slow = lag as f64 / self.marks.most_lag.max(1) as f64;
        let mark = if self.shedding { BACK } else { 1.0 };
        self.shedding = full >= mark || slow >= mark;
        self.shedding
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn stops_early_and_does_not_flap() {
        let mut s = Shed::new(Marks { most_disk: 1_000, reserve: 10, most_lag: 100 });
        let at = |octets| Usage { octets, ..Usage::default() };
        assert!(!s.refuses(at(500), 49, 9, 0));
        assert!(s.refuses(at(500), 49, 10, 0), "it would not fit itself");
        let mut s = Shed::new(s.marks);
        assert!(s.refuses(at(500), 50, 0, 0), "what is open needs the rest");
        assert!(s.refuses(at(700), 0, 0, 0), "not before it is well below");
        assert!(!s.refuses(at(699), 0, 0, 0));
        assert!(s.refuses(at(0), 0, 0, 100), "too slow");
        assert!(s.refuses(at(0), 0, 0, 70));
        assert!(!s.refuses(at(0), 0, 0, 69));
    }
}

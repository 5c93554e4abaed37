//! How fast a backlog that is handed in again is let go.
//!
//! What is let go is an ordinary message again: pools, told waits, cold returns and admission all hold it as any other.
//! Guards against a backlog that fills the hold ahead of live traffic: it is let go at a pace that begins low, grows
//! with each span in which what went came through soon and falls by half where a twentieth did not come through, a
//! quarter was slow, or live traffic was refused for room; never more than a part of the room is out.

use crate::Micros;

/// Figures of a release.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Messages a second at first, and at least.
    pub least: f64,
    /// Messages a second at most.
    pub most: f64,
    /// Of what is let go so much may be without an answer at once.
    pub out: usize,
    /// The pace is reconsidered after this.
    pub span: Micros,
    /// What is let go should be answered within this: longer, and it stands before live traffic.
    pub patience: Micros,
}

/// A release under way.
#[derive(Clone, Debug)]
pub struct Release {
    pace: Pace,
    rate: f64,
    tokens: f64,
    filled: Micros,
    out: usize,
    /// In the span: let go and delivered, turned away or undelivered again, live traffic refused.
    went: usize,
    failed: usize,
    slow: usize,
    crowded: bool,
    next: Micros,
}

impl Release {
    /// A release that begins now.
    pub fn new(now: Micros, pace: Pace) -> Self {
        Release {
            pace,
            rate: pace.least,
            tokens: 1.0,
            filled: now,
            out: 0,
            went: 0,
            failed: 0,
            slow: 0,
            crowded: false,
            next: now + pace.span,
        }
    }

    /// Messages a second just now.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// How many may be let go now; each is to be told with [`Release::let_go`].
    pub fn may(&mut self, now: Micros) -> usize {
        if now >= self.next {
            self.reconsider(now);
        }
        let grown = (now - self.filled).max(0) as f64 / 1e6 * self.rate;
        self.filled = self.filled.max(now);
        // Not more than a tenth of a second's worth at once.
        self.tokens = (self.tokens + grown).min((self.rate / 10.0).max(1.0));
        (self.tokens as usize).min(self.pace.out.saturating_sub(self.out))
    }

    fn reconsider(&mut self, now: Micros) {
        self.next = now + self.pace.span;
        let bad = self.crowded
            || self.failed * 20 > self.went + self.failed
            || self.slow * 4 > self.went + self.failed;
        // Growth only on proof: a span in which something went and came through.
        if bad {
            self.rate /= 2.0;
        } else if self.went > 0 {
            self.rate *= 1.25;
        }
        self.rate = self.rate.clamp(self.pace.least, self.pace.most);
        (self.went, self.failed, self.slow, self.crowded) = (0, 0, 0, false);
    }

    /// One was let go.
    pub fn let_go(&mut self) {
        self.tokens -= 1.0;
        self.out += 1;
    }

    /// One of those has its answer, so long after it was let go.
    pub fn answered(&mut self, delivered: bool, took: Micros) {
        self.slow += usize::from(took > self.pace.patience);
        self.out = self.out.saturating_sub(1);
        if delivered {
            self.went += 1;
        } else {
            self.failed += 1;
        }
    }

    /// Live traffic was refused for want of room.
    pub fn crowded(&mut self) {
        self.crowded = true;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PACE: Pace = Pace { least: 10.0, most: 10_000.0, out: 200, span: 1_000_000, patience: 250_000 };

    /// A destination that takes so many a second, with the rest turned away; gives seconds until `n` are delivered and
    /// the most that was turned away in a second.
    fn empty(n: usize, capacity: usize) -> (usize, usize) {
        let mut r = Release::new(0, PACE);
        let (mut done, mut worst) = (0, 0);
        for second in 0..10_000 {
            let (mut taken, mut turned) = (0, 0);
            for tick in 0..1_000 {
                let now = second * 1_000_000 + tick * 1_000;
                for _ in 0..r.may(now as i64) {
                    r.let_go();
                    let ok = taken < capacity * (tick + 1) / 1_000 + 1;
                    taken += usize::from(ok);
                    turned += usize::from(!ok);
                    done += usize::from(ok);
                    r.answered(ok, 20_000);
                }
            }
            worst = worst.max(turned);
            if done >= n {
                return (second + 1, worst);
            }
        }
        panic!("never emptied");
    }

    #[test]
    fn a_backlog_empties_near_capacity_without_pushing_over() {
        let (seconds, turned) = empty(100_000, 500);
        // 200 seconds at full capacity; a ramp from 10 a second, and the swings of a pace that feels its way.
        assert!((200..340).contains(&seconds), "{seconds}");
        assert!(turned <= 250, "never twice its capacity: {turned}");
    }

    #[test]
    fn live_traffic_goes_first_and_what_is_out_is_bounded() {
        let mut r = Release::new(0, PACE);
        let mut now = 0;
        for _ in 0..40 {
            now += 1_000_000;
            for _ in 0..r.may(now) {
                r.let_go();
                r.answered(true, 20_000);
            }
        }
        let before = r.rate();
        r.crowded();
        r.may(now + 1_000_000);
        assert!(r.rate() <= before / 2.0);
        let mut r = Release::new(0, Pace { least: 1e6, most: 1e6, ..PACE });
        let n = r.may(1_000_000);
        (0..n).for_each(|_| r.let_go());
        assert_eq!((n, r.may(2_000_000)), (200, 0));
    }
}

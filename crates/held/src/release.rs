//! Paces the release of a backlog that is resubmitted.
//!
//! A released message is an ordinary message again: pools, waits requested by receivers, warm-up and
//! admission limit it like any other. The pace keeps a backlog from filling the queues ahead of live traffic.
//! It begins low, grows after each interval in which released messages were delivered in time, and halves
//! where one in tdeliveredy was not delivered, one in four was slow, or live traffic was refused for want of
//! space. The number of released messages without an answer is bounded.

use crate::Micros;

/// The settings of a release.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The initial and lowest rate, in messages a second.
    pub least: f64,
    /// The highest rate, in messages a second.
    pub most: f64,
    /// The maximum number of released messages without an answer.
    pub out: usize,
    /// The interval after which the rate is adjusted.
    pub span: Micros,
    /// The time within which a released message should be answered; a longer one shows that the backlog
    /// delays live traffic.
    pub patience: Micros,
}

/// A release in progress.
#[derive(Clone, Debug)]
pub struct Release {
    pace: Pace,
    rate: f64,
    tokens: f64,
    filled: Micros,
    out: usize,
    /// Counts of the current interval: messages delivered, messages refused or undelivered again, slow
    /// answers, and whether live traffic was refused.
    delivered: usize,
    failed: usize,
    slow: usize,
    crowded: bool,
    next: Micros,
}

impl Release {
    /// Starts a release.
    pub fn new(now: Micros, pace: Pace) -> Self {
        Release {
            pace,
            rate: pace.least,
            tokens: 1.0,
            filled: now,
            out: 0,
            delivered: 0,
            failed: 0,
            slow: 0,
            crowded: false,
            next: now + pace.span,
        }
    }

    /// Returns the current rate, in messages a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns how many messages may be released now. Each release must be recorded.
    pub fn may(&mut self, now: Micros) -> usize {
        if now >= self.next {
            self.adjust_rate(now);
        }
        let grown = (now - self.filled).max(0) as f64 / 1e6 * self.rate;
        self.filled = self.filled.max(now);
        // At most a tenth of a second's worth at once.
        self.tokens = (self.tokens + grown).min((self.rate / 10.0).max(1.0));
        (self.tokens as usize).min(self.pace.out.saturating_sub(self.out))
    }

    fn adjust_rate(&mut self, now: Micros) {
        self.next = now + self.pace.span;
        let bad = self.crowded
            || self.failed * 20 > self.delivered + self.failed
            || self.slow * 4 > self.delivered + self.failed;
        // The rate grows only if messages were delivered in the interval.
        if bad {
            self.rate /= 2.0;
        } else if self.delivered > 0 {
            self.rate *= 1.25;
        }
        self.rate = self.rate.clamp(self.pace.least, self.pace.most);
        (self.delivered, self.failed, self.slow, self.crowded) = (0, 0, 0, false);
    }

    /// Records that a message was released.
    pub fn count_release(&mut self) {
        self.tokens -= 1.0;
        self.out += 1;
    }

    /// Records that a released message was answered, and how long after its release.
    pub fn answered(&mut self, delivered: bool, took: Micros) {
        self.slow += usize::from(took > self.pace.patience);
        self.out = self.out.saturating_sub(1);
        if delivered {
            self.delivered += 1;
        } else {
            self.failed += 1;
        }
    }

    /// Records that live traffic was refused for want of space.
    pub fn crowded(&mut self) {
        self.crowded = true;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PACE: Pace = Pace { least: 10.0, most: 10_000.0, out: 200, span: 1_000_000, patience: 250_000 };

    /// Runs a release to a destination that accepts `capacity` messages a second and refuses the rest;
    /// returns the seconds until `n` are delivered and the most refusals in a second.
    fn run_backlog(n: usize, capacity: usize) -> (usize, usize) {
        let mut r = Release::new(0, PACE);
        let (mut done, mut worst) = (0, 0);
        for second in 0..10_000 {
            let (mut taken, mut turned) = (0, 0);
            for tick in 0..1_000 {
                let now = second * 1_000_000 + tick * 1_000;
                for _ in 0..r.may(now as i64) {
                    r.count_release();
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
    fn backlog_drains_near_capacity_without_overload() {
        let (seconds, turned) = run_backlog(100_000, 500);
        // 200 seconds at full capacity, plus the ramp from 10 a second and the swings of the rate.
        assert!((200..340).contains(&seconds), "{seconds}");
        assert!(turned <= 250, "more than half its capacity was refused: {turned}");
    }

    #[test]
    fn rate_halves_when_live_traffic_is_refused_and_unanswered_messages_are_bounded() {
        let mut r = Release::new(0, PACE);
        let mut now = 0;
        for _ in 0..40 {
            now += 1_000_000;
            for _ in 0..r.may(now) {
                r.count_release();
                r.answered(true, 20_000);
            }
        }
        let before = r.rate();
        r.crowded();
        r.may(now + 1_000_000);
        assert!(r.rate() <= before / 2.0);
        let mut r = Release::new(0, Pace { least: 1e6, most: 1e6, ..PACE });
        let n = r.may(1_000_000);
        (0..n).for_each(|_| r.count_release());
        assert_eq!((n, r.may(2_000_000)), (200, 0));
    }
}

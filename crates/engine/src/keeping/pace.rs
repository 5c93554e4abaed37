//! Releases in any second, at most: this member's part of what all of them together may.

use crate::Micros;
use heronroute_rules::Turn;
use std::collections::VecDeque;

/// Times are kept for so many at most; a higher pace is held to this one. It is the most that a release ever has.
const MOST: u64 = 10_000;
const SECOND: Micros = 1_000_000;

/// The last second's releases under one rule.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    /// In a second at most, of all members together.
    pub whole: u64,
    went: VecDeque<Micros>,
}

impl Pace {
    /// Whether one may go now, which is at this time of day, by the turn of this process. In no second of the day
    /// goes more than the member's part of it, so that the members together keep to the pace; and in no second from any
    /// moment on, so that what is left of one is not let go at once with what the next one has.
    pub(crate) fn may(&mut self, now: Micros, wall: Micros, turn: Turn) -> bool {
        self.in_a_second(now) < turn.rate_share(self.whole, wall).min(MOST)
    }

    /// Whether one may go by two paces at once. Each has its own turns, and those may never fall on one second: the smaller
    /// pace is held to its turns, the larger one to its part of a second, rounded up.
    pub(crate) fn may_by_both(
        now: Micros,
        wall: Micros,
        applied: (&mut Pace, Turn),
        approved: (&mut Pace, Turn),
    ) -> bool {
        let smaller = approved.0.whole < applied.0.whole;
        let (strict, loose) = if smaller { (approved, applied) } else { (applied, approved) };
        let ((strict, turn), (loose, other)) = (strict, loose);
        let members = u64::from(other.members.max(1));
        strict.may(now, wall, turn) && loose.in_a_second(now) < loose.whole.div_ceil(members).min(MOST)
    }

    fn in_a_second(&mut self, now: Micros) -> u64 {
        while self.went.front().is_some_and(|at| *at <= now - SECOND) {
            self.went.pop_front();
        }
        self.went.len() as u64
    }

    /// One went.
    pub(crate) fn went(&mut self, now: Micros) {
        self.went.push_back(now);
    }
}

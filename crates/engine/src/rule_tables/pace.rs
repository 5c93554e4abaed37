//! Limits releases in any second to this member's part of what all members together may release.

use crate::Micros;
use heronroute_rules::Turn;
use std::collections::VecDeque;

/// The most release times that are stored. A higher pace is limited to this one, which is the most that a
/// release ever has.
const MAX_RELEASES: u64 = 10_000;
const SECOND: Micros = 1_000_000;

/// The releases of the last second under one rule.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    /// The most releases in a second, of all members together.
    pub fleet_limit: u64,
    released: VecDeque<Micros>,
}

impl Pace {
    /// Returns whether a release is allowed now, at the time of day `wall`, by this process's turn. In no
    /// second of the day are there more releases than the member's part of it, so that the members together
    /// keep to the pace. In no second from any moment on are there more either, so that what is left of one
    /// second is not used at once with what the next one allows.
    pub(crate) fn allows(&mut self, now: Micros, wall: Micros, turn: Turn) -> bool {
        self.in_last_second(now) < turn.rate_share(self.fleet_limit, wall).min(MAX_RELEASES)
    }

    /// Returns whether two paces together allow a release. Each pace has its own turns, which may never fall
    /// on the same second, so the smaller pace is held to its turns and the larger one to its part of a
    /// second, rounded up.
    pub(crate) fn both_allow(
        now: Micros,
        wall: Micros,
        applied: (&mut Pace, Turn),
        approved: (&mut Pace, Turn),
    ) -> bool {
        let smaller = approved.0.fleet_limit < applied.0.fleet_limit;
        let (strict, loose) = if smaller { (approved, applied) } else { (applied, approved) };
        let ((strict, turn), (loose, loose_turn)) = (strict, loose);
        let members = u64::from(loose_turn.members.max(1));
        strict.allows(now, wall, turn)
            && loose.in_last_second(now) < loose.fleet_limit.div_ceil(members).min(MAX_RELEASES)
    }

    fn in_last_second(&mut self, now: Micros) -> u64 {
        while self.released.front().is_some_and(|at| *at <= now - SECOND) {
            self.released.pop_front();
        }
        self.released.len() as u64
    }

    /// Counts a release.
    pub(crate) fn record(&mut self, now: Micros) {
        self.released.push_back(now);
    }
}

//! Versions of a list that arrives in increments: which lists are applied, and what is requested next.
//! Performs no I/O.

use crate::Micros;
use heronroute_platform::catalog::List;

/// Lists older than the current one are ignored for this long: received entries stay valid, and an agent that
/// has fallen behind, or another agent, catches up. If older lists still arrive after that, the version
/// numbers have started over, and the whole list is requested and applied. Including the attempts this stays
/// below the 4 s after which a move counts.
const BEHIND: Micros = 3_000_000;
/// The delay before the whole list is requested after an unreadable part of a change, or after the whole list
/// could not be fetched; a watch runs in between. Without the request, changes could be lost for good. The
/// delay avoids endless requests for an endpoint that stays unreadable; a whole list is applied as it is.
const WHOLE_AFTER: Micros = 1_000_000;
/// The number of consecutive watches with an unreadable list after which the whole list is requested.
const UNREADABLE: u32 = 2;
/// What to request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The whole list.
    Whole,
    /// The changes after a version.
    Since(u64),
}

/// The version of the current list, and the requests it needs.
#[derive(Debug, Default)]
pub struct Versions {
    at_hand: u64,
    /// The time from which the whole list is requested, because the changes after the current version are not
    /// enough.
    whole_due: Option<Micros>,
    /// The number of consecutive watches with an unreadable list.
    unreadable: u32,
    /// The time since which all received lists are older than the current one.
    behind: Option<Micros>,
}

impl Versions {
    /// Sets the version of a list that is known from before.
    pub fn known(&mut self, version: u64) {
        self.at_hand = version;
    }

    /// Returns whether a list is to be applied. A list older than the current one is not.
    pub fn take(&mut self, now: Micros, list: &List) -> bool {
        if list.version < self.at_hand {
            tracing::warn!(version = list.version, at_hand = self.at_hand, "an old list changes nothing");
            self.behind.get_or_insert(now);
            return false;
        }
        if list.passed_over > 0 {
            tracing::warn!(lines = list.passed_over, "lines of the list could not be read");
        }
        if list.passed_over > 0 && !list.full {
            self.whole_due.get_or_insert(now + WHOLE_AFTER);
        }
        (self.at_hand, self.behind, self.unreadable) = (list.version, None, 0);
        true
    }

    /// Handles a watch that returned an unreadable list.
    pub fn unreadable(&mut self, now: Micros) {
        // Otherwise unreadable changes would be requested forever.
        self.unreadable += 1;
        if self.unreadable >= UNREADABLE {
            self.whole_due.get_or_insert(now);
        }
    }

    /// Handles the arrival of the whole list.
    pub fn whole_told(&mut self) {
        self.whole_due = None;
    }

    /// Handles a failed request for the whole list.
    pub fn whole_failed(&mut self, now: Micros) {
        self.whole_due = Some(now + WHOLE_AFTER);
    }

    fn began_anew(&self) -> Micros {
        self.behind.map_or(Micros::MAX, |since| since + BEHIND)
    }

    /// Returns the time at which a request other than one for changes is due.
    pub fn due(&self) -> Micros {
        self.began_anew().min(self.whole_due.unwrap_or(Micros::MAX))
    }

    /// Returns what to request.
    pub fn ask(&mut self, now: Micros) -> Ask {
        if now >= self.began_anew() {
            tracing::warn!(at_hand = self.at_hand, "discovery's numbers began anew");
            (self.at_hand, self.behind, self.whole_due) = (0, None, Some(now));
        }
        match self.whole_due {
            Some(at) if at <= now => Ask::Whole,
            _ => Ask::Since(self.at_hand),
        }
    }

    /// Returns the version after which a watch that follows the whole list asks for changes.
    pub fn since(&self) -> u64 {
        self.at_hand
    }
}

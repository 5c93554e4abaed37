//! The versions of a list that is told in parts: which of them are taken, and what is asked for next. Free of I/O.

use crate::Micros;
use heronroute_platform::catalog::List;

/// Lists older than the one at hand take nothing back for so long: what was told stays told, and an agent that has fallen
/// behind or another one comes up to it. Beyond, the numbers began anew, and the whole list is asked for and believed;
/// with the attempts this stays under the 4 s after which a move counts.
const BEHIND: Micros = 3_000_000;
/// Behind changes that can't be read in part, and behind a whole list that was not to be had, the whole list is asked for
/// after this; a watch has its turn in between. Guards against changes that are lost for good, and against questions
/// without end for an endpoint that stays unreadable: a whole list stands as it is.
const WHOLE_AFTER: Micros = 1_000_000;
/// Watches in a row that tell what is no list before the whole list is asked for.
const UNREADABLE: u32 = 2;
/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The whole list.
    Whole,
    /// What changes after a version.
    Since(u64),
}

/// The version at hand, and what it lacks.
#[derive(Debug, Default)]
pub struct Versions {
    at_hand: u64,
    /// From then on the whole list is asked for: what changes after the version at hand is not enough.
    whole_due: Option<Micros>,
    /// Watches in a row that told what is no list.
    unreadable: u32,
    /// Since then lists are older than the one at hand.
    behind: Option<Micros>,
}

impl Versions {
    /// The version of a list that is known from before.
    pub fn known(&mut self, version: u64) {
        self.at_hand = version;
    }

    /// Whether a list is to be taken: not one that is older than the one at hand.
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

    /// A watch told what is no list.
    pub fn unreadable(&mut self, now: Micros) {
        // Guards against changes that are asked for, and can't be read, for ever.
        self.unreadable += 1;
        if self.unreadable >= UNREADABLE {
            self.whole_due.get_or_insert(now);
        }
    }

    /// The whole list was told.
    pub fn whole_told(&mut self) {
        self.whole_due = None;
    }

    /// The whole list was asked for, and not to be had.
    pub fn whole_failed(&mut self, now: Micros) {
        self.whole_due = Some(now + WHOLE_AFTER);
    }

    fn began_anew(&self) -> Micros {
        self.behind.map_or(Micros::MAX, |since| since + BEHIND)
    }

    /// When another question is due than the one for what changes.
    pub fn due(&self) -> Micros {
        self.began_anew().min(self.whole_due.unwrap_or(Micros::MAX))
    }

    /// What to ask for.
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

    /// What a watch behind the whole list asks for.
    pub fn since(&self) -> u64 {
        self.at_hand
    }
}

//! Versions of a list that arrives in increments: which lists are applied, and what is requested next.
//! Performs no I/O.

use crate::Micros;
use heronroute_platform::catalog::List;

/// Lists older than the current one are ignored for this long: received entries stay valid, and an agent that
/// has fallen behind, or another agent, catches up. If older lists still arrive after that, the version
/// numbers have started over, and the whole list is requested and applied. Including the attempts this stays
/// below the 4 s after which a move counts.
const OLDER_LISTS_TIMEOUT: Micros = 3_000_000;
/// The delay before the whole list is requested after an unreadable part of a change, or after the whole list
/// could not be fetched; a watch runs in between. Without the request, changes could be lost for good. The
/// delay avoids endless requests for an endpoint that stays unreadable; a whole list is applied as it is.
const WHOLE_LIST_DELAY: Micros = 1_000_000;
/// The number of consecutive watches with an unreadable list after which the whole list is requested.
const MAX_UNREADABLE_WATCHES: u32 = 2;

/// What to request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// The whole list.
    Whole,
    /// The changes after a version.
    ChangesSince(u64),
}

/// The version of the current list, and the requests it needs.
#[derive(Debug, Default)]
pub struct Versions {
    current: u64,
    /// The time from which the whole list is requested, because the changes after the current version are not
    /// enough.
    whole_list_due: Option<Micros>,
    /// The number of consecutive watches with an unreadable list.
    unreadable_watches: u32,
    /// The time since which all received lists are older than the current one.
    older_since: Option<Micros>,
}

impl Versions {
    /// Sets the version of a list that is known from before.
    pub fn restore(&mut self, version: u64) {
        self.current = version;
    }

    /// Returns whether a list is to be applied. A list older than the current one is not.
    pub fn accept(&mut self, now: Micros, list: &List) -> bool {
        if list.version < self.current {
            tracing::warn!(
                version = list.version,
                at_hand = self.current,
                "ignoring a list that is older than the current one"
            );
            self.older_since.get_or_insert(now);
            return false;
        }
        if list.unreadable_entries > 0 {
            tracing::warn!(lines = list.unreadable_entries, "ignoring unreadable lines of the list");
        }
        if list.unreadable_entries > 0 && !list.full {
            self.whole_list_due.get_or_insert(now + WHOLE_LIST_DELAY);
        }
        (self.current, self.older_since, self.unreadable_watches) = (list.version, None, 0);
        true
    }

    /// Handles a watch that returned an unreadable list.
    pub fn record_unreadable(&mut self, now: Micros) {
        // Otherwise unreadable changes would be requested forever.
        self.unreadable_watches += 1;
        if self.unreadable_watches >= MAX_UNREADABLE_WATCHES {
            self.whole_list_due.get_or_insert(now);
        }
    }

    /// Handles the arrival of the whole list.
    pub fn whole_list_received(&mut self) {
        self.whole_list_due = None;
    }

    /// Handles a failed request for the whole list.
    pub fn whole_list_failed(&mut self, now: Micros) {
        self.whole_list_due = Some(now + WHOLE_LIST_DELAY);
    }

    fn restart_assumed_at(&self) -> Micros {
        self.older_since.map_or(Micros::MAX, |since| since + OLDER_LISTS_TIMEOUT)
    }

    /// Returns the time at which a request other than one for changes is due.
    pub fn next_request_at(&self) -> Micros {
        self.restart_assumed_at().min(self.whole_list_due.unwrap_or(Micros::MAX))
    }

    /// Returns what to request.
    pub fn next_request(&mut self, now: Micros) -> ListRequest {
        if now >= self.restart_assumed_at() {
            tracing::warn!(at_hand = self.current, "the version numbers of discovery started over");
            (self.current, self.older_since, self.whole_list_due) = (0, None, Some(now));
        }
        match self.whole_list_due {
            Some(at) if at <= now => ListRequest::Whole,
            _ => ListRequest::ChangesSince(self.current),
        }
    }

    /// Returns the version after which a watch that follows the whole list asks for changes.
    pub fn current(&self) -> u64 {
        self.current
    }
}

//! Requests of this member that wait for an answer.

use super::tuning::MAX_PENDING;
use crate::Micros;
use crate::entry::{Entry, Request};
use std::collections::BTreeMap;

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Decided, at this index.
    Decided(u64),
    /// There is no majority, or none could be reached in time to decide it. It may still be decided later; a
    /// repetition is the same request.
    NoMajority,
    /// Too many requests are pending. Nothing was done; the request may be repeated.
    Busy,
    /// The body is too long for an entry.
    Long,
    /// The request is of an older life, or so far below this life's highest number that it is no longer known
    /// whether it was decided. It won't be decided (again).
    Superseded,
}

#[derive(Clone, Debug)]
struct PendingRequest {
    entry: Entry,
    until: Micros,
    next_send: Micros,
}

/// The pending requests, at most [`MAX_PENDING`].
#[derive(Clone, Debug, Default)]
pub struct PendingRequests {
    pending: BTreeMap<Request, PendingRequest>,
}

impl PendingRequests {
    /// Adds a request. Returns false when too many are pending.
    pub fn take(&mut self, entry: Entry, until: Micros) -> bool {
        let full = self.pending.len() >= MAX_PENDING && !self.pending.contains_key(&entry.request);
        if !full {
            self.pending.entry(entry.request.clone()).or_insert(PendingRequest {
                entry,
                until,
                next_send: Micros::MIN,
            });
        }
        !full
    }

    /// Removes an answered request. Returns whether it was pending.
    pub fn done(&mut self, request: &Request) -> bool {
        self.pending.remove(request).is_some()
    }

    /// Returns all pending requests.
    pub fn requests(&self) -> Vec<Request> {
        self.pending.keys().cloned().collect()
    }

    /// Returns the entries to be sent now; each is sent again after `every`.
    pub fn due(&mut self, now: Micros, every: Micros) -> Vec<Entry> {
        let due = self.pending.values_mut().filter(|p| p.next_send <= now);
        due.map(|p| {
            p.next_send = now.saturating_add(every);
            p.entry.clone()
        })
        .collect()
    }

    /// Removes and returns the requests whose time is over, or all of them.
    pub fn over(&mut self, now: Micros, all: bool) -> Vec<Request> {
        let over = self.pending.extract_if(.., |_, p| all || p.until <= now);
        over.map(|(request, _)| request).collect()
    }
}

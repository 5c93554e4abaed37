//! Requests of this member that wait for their answer.

use super::tuning::MOST_PENDING;
use crate::Micros;
use crate::entry::{Entry, Request};
use std::collections::BTreeMap;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Decided, at this place.
    Decided(u64),
    /// There is no majority, or none could be got to decide it in time. It may be decided yet; asked again, it is
    /// the same request.
    NoMajority,
    /// Too much waits. Nothing was done; it may be asked again.
    Busy,
    /// Its body is longer than an entry's may be.
    Long,
    /// Of an older life, or so far behind this life's highest number that it is not known any more whether it was
    /// decided. It will not be decided (again).
    Superseded,
}

#[derive(Clone, Debug)]
struct PendingRequest {
    entry: Entry,
    until: Micros,
    next_send: Micros,
}

/// The requests; [`MOST_PENDING`] at most.
#[derive(Clone, Debug, Default)]
pub struct Asks {
    pending: BTreeMap<Request, PendingRequest>,
}

impl Asks {
    /// Takes a request. False where too many wait.
    pub fn take(&mut self, entry: Entry, until: Micros) -> bool {
        let full = self.pending.len() >= MOST_PENDING && !self.pending.contains_key(&entry.request);
        if !full {
            self.pending.entry(entry.request.clone()).or_insert(PendingRequest {
                entry,
                until,
                next_send: Micros::MIN,
            });
        }
        !full
    }

    /// It is answered.
    pub fn done(&mut self, request: &Request) -> bool {
        self.pending.remove(request).is_some()
    }

    /// All of them.
    pub fn requests(&self) -> Vec<Request> {
        self.pending.keys().cloned().collect()
    }

    /// Those to be sent on now; each again after `every`.
    pub fn due(&mut self, now: Micros, every: Micros) -> Vec<Entry> {
        let due = self.pending.values_mut().filter(|p| p.next_send <= now);
        due.map(|p| {
            p.next_send = now.saturating_add(every);
            p.entry.clone()
        })
        .collect()
    }

    /// Those whose time is over, or all.
    pub fn over(&mut self, now: Micros, all: bool) -> Vec<Request> {
        let over = self.pending.extract_if(.., |_, p| all || p.until <= now);
        over.map(|(request, _)| request).collect()
    }
}

//! A ring of the latest requests of a session, which its client may send again after a lost connection.
//!
//! Acknowledgements are sent in the order of the requests, so the requests without an acknowledgement are the
//! last ones sent, at most one window. A ring of one window is therefore sufficient. A client that had more
//! requests outstanding gets [`Verdict::Unsure`]; its repeats are never taken for new requests.

use crate::Verdict;
use std::collections::VecDeque;

/// The properties that identify a request within a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKey {
    /// The protocol's number of the request; reused once the request is complete.
    pub packet: u16,
    /// The digest of the request. It distinguishes two requests with the same number where the second never
    /// arrived the first time.
    pub digest: u64,
    /// Whether the client marked the request as possibly sent before.
    pub again: bool,
}

/// The latest requests of a session.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecentRequests {
    ring: VecDeque<(u16, u64, u64)>,
    room: usize,
    has_dropped: bool,
}

impl RecentRequests {
    /// Returns an empty ring for a session with at most `room` outstanding requests.
    pub fn new(room: usize) -> Self {
        RecentRequests { ring: VecDeque::new(), room: room.max(1), has_dropped: false }
    }

    /// Returns an empty ring for a session of which earlier requests are, or may be, forgotten.
    pub fn restored(room: usize, has_dropped: bool) -> Self {
        RecentRequests { has_dropped, ..RecentRequests::new(room) }
    }

    /// Returns whether a request was submitted before in this session.
    pub fn find(&self, handle: RequestKey) -> Verdict {
        if !handle.again {
            return Verdict::New;
        }
        // Only the latest request with this number counts; earlier ones are complete.
        match self.ring.iter().rev().find(|(packet, ..)| *packet == handle.packet) {
            Some((_, digest, id)) if *digest == handle.digest => Verdict::Same(*id),
            Some(_) => Verdict::New,
            None if self.has_dropped => Verdict::Unsure,
            None => Verdict::New,
        }
    }

    /// Records that a request was accepted as message `id`.
    pub fn add(&mut self, handle: RequestKey, id: u64) {
        self.ring.push_back((handle.packet, handle.digest, id));
        while self.ring.len() > self.room {
            self.ring.pop_front();
            self.has_dropped = true;
        }
    }

    /// Returns the recorded requests (number, digest and message), oldest first.
    pub fn all(&self) -> impl Iterator<Item = (u16, u64, u64)> + '_ {
        self.ring.iter().copied()
    }

    /// Returns the number of recorded requests.
    pub fn len(&self) -> usize {
        self.ring.len()
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_repeat_is_recognised_by_number_and_digest() {
        let h = |packet, digest, again| RequestKey { packet, digest, again };
        let mut r = RecentRequests::new(2);
        r.add(h(1, 10, false), 100);
        assert_eq!(r.find(h(1, 10, true)), Verdict::Same(100));
        assert_eq!(r.find(h(1, 10, false)), Verdict::New, "the client says it is new");
        assert_eq!(r.find(h(1, 11, true)), Verdict::New, "another message, whose first copy never arrived");
        assert_eq!(r.find(h(2, 10, true)), Verdict::New, "nothing was dropped yet");
        r.add(h(1, 11, false), 101);
        assert_eq!(
            r.find(h(1, 10, true)),
            Verdict::New,
            "the number was reused: the first request is complete"
        );
        r.add(h(2, 12, false), 102);
        assert_eq!(r.find(h(3, 10, true)), Verdict::Unsure, "it may be one of those dropped");
        assert_eq!(r.find(h(2, 12, true)), Verdict::Same(102));
        assert_eq!(r.len(), 2);
    }
}

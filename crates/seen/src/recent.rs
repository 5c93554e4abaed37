//! What a session's client may send once more after its connection was lost: a ring of its latest requests.
//!
//! Acknowledgements go out in the order of the requests, so what a client has not heard is the end of what it sent,
//! at most as long as its window. A ring of one window is therefore all that is needed; a client that had more out
//! than that is told so ([`Verdict::Unsure`]), never taken for new.

use crate::Verdict;
use std::collections::VecDeque;

/// What marks a request of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle {
    /// The protocol's own number; used again once its request is over.
    pub packet: u16,
    /// A digest of what was sent: tells two requests under the same number apart, where the second never arrived
    /// the first time.
    pub digest: u64,
    /// The client says that it may have sent it before.
    pub again: bool,
}

/// The latest requests of a session.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recent {
    ring: VecDeque<(u16, u64, u64)>,
    room: usize,
    forgot: bool,
}

impl Recent {
    /// For a session with so many requests out at once.
    pub fn new(room: usize) -> Self {
        Recent { ring: VecDeque::new(), room: room.max(1), forgot: false }
    }

    /// Whether a request was handed in before in this session.
    pub fn find(&self, handle: Handle) -> Verdict {
        if !handle.again {
            return Verdict::New;
        }
        // The latest under this number counts; earlier ones are over.
        match self.ring.iter().rev().find(|(packet, ..)| *packet == handle.packet) {
            Some((_, digest, id)) if *digest == handle.digest => Verdict::Same(*id),
            Some(_) => Verdict::New,
            None if self.forgot => Verdict::Unsure,
            None => Verdict::New,
        }
    }

    /// A request was taken on as this message.
    pub fn add(&mut self, handle: Handle, id: u64) {
        self.ring.push_back((handle.packet, handle.digest, id));
        while self.ring.len() > self.room {
            self.ring.pop_front();
            self.forgot = true;
        }
    }

    /// All that is remembered, oldest first.
    pub fn all(&self) -> impl Iterator<Item = (u16, u64, u64)> + '_ {
        self.ring.iter().copied()
    }

    /// Requests remembered.
    pub fn len(&self) -> usize {
        self.ring.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_sent_again_is_the_same_only_where_all_fits() {
        let h = |packet, digest, again| Handle { packet, digest, again };
        let mut r = Recent::new(2);
        r.add(h(1, 10, false), 100);
        assert_eq!(r.find(h(1, 10, true)), Verdict::Same(100));
        assert_eq!(r.find(h(1, 10, false)), Verdict::New, "the client says it is new");
        assert_eq!(r.find(h(1, 11, true)), Verdict::New, "another message that never came the first time");
        assert_eq!(r.find(h(2, 10, true)), Verdict::New, "nothing was forgotten yet");
        r.add(h(1, 11, false), 101);
        assert_eq!(r.find(h(1, 10, true)), Verdict::New, "the number was used again: the first is over");
        r.add(h(2, 12, false), 102);
        assert_eq!(r.find(h(3, 10, true)), Verdict::Unsure, "it may have been among the forgotten");
        assert_eq!(r.find(h(2, 12, true)), Verdict::Same(102));
        assert_eq!(r.len(), 2);
    }
}

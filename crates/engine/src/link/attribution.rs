//! Attribution of answers to calls on an HTTP/1.1 connection whose answers do not name their call.
//!
//! An endpoint may write an answer twice. A second copy that arrives after the next call has been sent looks
//! like that call's answer; the call's own answer then follows as a surplus. Two properties tell them apart:
//! a copy equals an answer that was received on this connection before, and another answer follows a copy. An
//! answer that equals an earlier one therefore stays unconfirmed until nothing has followed it for a while.

use crate::Micros;
use heronroute_platform::call::Identity;
use std::collections::VecDeque;

/// The time without further bytes after which an unconfirmed answer is confirmed.
pub const CONFIRMATION: Micros = 400_000;
/// The maximum number of different answers remembered for each connection.
const REMEMBERED: usize = 16;

/// How certain it is that an answer belongs to the open call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attributed {
    /// The answer belongs to the open call.
    Surely,
    /// The answer may be a copy of an earlier one.
    Doubtfully,
    /// This answer differs from the unconfirmed one before it, so that it may be the answer to the previous
    /// call.
    Shifted,
}

/// The history of answers on one connection.
#[derive(Debug, Default)]
pub struct Attribution {
    /// Digests of the answers that name no call, with the latest at the end.
    earlier: VecDeque<u64>,
    /// The time until which a further answer may turn out to be the own answer of the call that got an
    /// unconfirmed one.
    doubtful_until: Option<Micros>,
    /// Whether the unconfirmed answers differ from one another.
    is_shifted: bool,
}

impl Attribution {
    /// Attributes an answer that has arrived.
    pub fn attribute(&mut self, now: Micros, identity: Identity) -> Attributed {
        let unsettled = self.is_unsettled(now);
        let digest = match identity {
            Identity::Named => return Attributed::Surely,
            Identity::Closing if unsettled => return Attributed::Shifted,
            Identity::Closing => return Attributed::Surely,
            Identity::Plain(digest) => digest,
        };
        let shifted = unsettled && !self.repeats_the_last(digest);
        let doubtful = unsettled || self.earlier.contains(&digest);
        self.earlier.retain(|earlier| *earlier != digest);
        self.earlier.push_back(digest);
        if self.earlier.len() > REMEMBERED {
            self.earlier.pop_front();
        }
        if doubtful {
            self.doubtful_until = Some(now + CONFIRMATION);
            self.is_shifted = shifted || (unsettled && self.is_shifted);
        }
        match (doubtful, shifted) {
            (false, _) => Attributed::Surely,
            (true, false) => Attributed::Doubtfully,
            (true, true) => Attributed::Shifted,
        }
    }

    /// Returns the time until which the last unconfirmed answer may be contradicted, if there was one.
    pub fn unsettled_until(&self) -> Option<Micros> {
        self.doubtful_until
    }

    /// Returns whether the last unconfirmed answer may still be contradicted.
    pub fn is_unsettled(&self, now: Micros) -> bool {
        self.doubtful_until.is_some_and(|until| now < until)
    }

    /// Returns whether a surplus answer, received with no call in flight, has no effect. It has none if it
    /// equals all unconfirmed answers, because then it does not matter which of them is the copy.
    pub fn changes_nothing(&self, digest: u64) -> bool {
        !self.is_shifted && self.repeats_the_last(digest)
    }

    fn repeats_the_last(&self, digest: u64) -> bool {
        self.earlier.back() == Some(&digest)
    }

    /// Returns whether an answer arrived of which a copy may still follow.
    pub fn expects_copies(&self) -> bool {
        !self.earlier.is_empty()
    }
}

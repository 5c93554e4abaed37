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
pub const CONFIRMATION_DELAY: Micros = 400_000;
/// The maximum number of different answers remembered for each connection.
const MAX_DIGESTS: usize = 16;

/// How certain it is that an answer belongs to the open call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// The answer belongs to the open call.
    Certain,
    /// The answer may be a copy of an earlier one.
    Unconfirmed,
    /// This answer differs from the unconfirmed one before it, so that it may be the answer to the previous
    /// call.
    Shifted,
}

/// The history of answers on one connection.
#[derive(Debug, Default)]
pub struct AnswerHistory {
    /// Digests of the answers that name no call, with the latest at the end.
    recent_digests: VecDeque<u64>,
    /// The time until which a further answer may turn out to be the own answer of the call that got an
    /// unconfirmed one.
    unconfirmed_until: Option<Micros>,
    /// Whether the unconfirmed answers differ from one another.
    answers_differ: bool,
}

impl AnswerHistory {
    /// Attributes an answer that has arrived.
    pub fn attribute(&mut self, now: Micros, identity: Identity) -> Certainty {
        let pending = self.has_unconfirmed(now);
        let digest = match identity {
            Identity::Named => return Certainty::Certain,
            Identity::Closing if pending => return Certainty::Shifted,
            Identity::Closing => return Certainty::Certain,
            Identity::Plain(digest) => digest,
        };
        let differs = pending && !self.equals_last(digest);
        let unconfirmed = pending || self.recent_digests.contains(&digest);
        self.recent_digests.retain(|known| *known != digest);
        self.recent_digests.push_back(digest);
        if self.recent_digests.len() > MAX_DIGESTS {
            self.recent_digests.pop_front();
        }
        if unconfirmed {
            self.unconfirmed_until = Some(now + CONFIRMATION_DELAY);
            self.answers_differ = differs || (pending && self.answers_differ);
        }
        match (unconfirmed, differs) {
            (false, _) => Certainty::Certain,
            (true, false) => Certainty::Unconfirmed,
            (true, true) => Certainty::Shifted,
        }
    }

    /// Returns the time until which the last unconfirmed answer may be contradicted, if there was one.
    pub fn unconfirmed_until(&self) -> Option<Micros> {
        self.unconfirmed_until
    }

    /// Returns whether the last unconfirmed answer may still be contradicted.
    pub fn has_unconfirmed(&self, now: Micros) -> bool {
        self.unconfirmed_until.is_some_and(|until| now < until)
    }

    /// Returns whether a surplus answer, received with no call in flight, has no effect. It has none if it
    /// equals all unconfirmed answers, because then it does not matter which of them is the copy.
    pub fn is_harmless_surplus(&self, digest: u64) -> bool {
        !self.answers_differ && self.equals_last(digest)
    }

    fn equals_last(&self, digest: u64) -> bool {
        self.recent_digests.back() == Some(&digest)
    }

    /// Returns whether an answer arrived of which a copy may still follow.
    pub fn expects_copies(&self) -> bool {
        !self.recent_digests.is_empty()
    }
}

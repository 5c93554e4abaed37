//! Attribution of answers to calls on an HTTP/1.1 connection whose answers do not name their call.
//!
//! An endpoint may write an answer twice. A second copy that arrives after the next call has been sent looks
//! like that call's answer; the call's own answer then follows as a surplus, or is taken for the answer to
//! the call after it, and so on for as long as the connection is used. How long to wait for a surplus is
//! unknown, because a call may run for any time. So an answer is certain only if it can be no copy, and no
//! answer before it could have been one.

use crate::Micros;
use heronroute_platform::call::Identity;
use std::collections::HashSet;

/// The time without further bytes after which an unconfirmed delivery is reported. It proves nothing.
pub const CONFIRMATION_DELAY: Micros = 400_000;
/// The maximum time for the rest of an answer that has begun and belongs to no open call. It may end an earlier call's message,
/// or tell a wait.
const REST_TIMEOUT: Micros = 1_000_000;
/// The maximum number of different answers remembered for each connection. It takes no calls after that.
const MAX_DIGESTS: usize = 512;

/// How certain it is that an answer belongs to the open call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// The answer belongs to the open call.
    Certain,
    /// The answer belongs to the open call, and so every earlier one on the connection to its own.
    ConfirmsEarlier,
    /// The answer may be a copy of an earlier one, or the answer to an earlier call.
    Unconfirmed,
    /// This answer differs from the unconfirmed one just before it, so that it may be the answer to the
    /// previous call.
    Shifted,
}

/// The history of answers on one connection.
#[derive(Debug, Default)]
pub struct AnswerHistory {
    /// Digests of all answers.
    digests: HashSet<u64>,
    /// The digest of the last answer that names no call.
    last_plain: Option<u64>,
    /// Whether an answer may have been a copy, so that each later one may be the answer to an earlier call.
    may_be_shifted: bool,
    /// The time until which what follows is used to tell which call an unconfirmed answer belonged to.
    unconfirmed_until: Option<Micros>,
    /// Whether the unconfirmed answers differ from one another.
    answers_differ: bool,
    /// The time until which the rest of an answer is awaited that belongs to no open call.
    rest_until: Option<Micros>,
}

impl AnswerHistory {
    /// Attributes an answer that has arrived. It has no identity if it was not read completely.
    pub fn attribute(&mut self, now: Micros, identity: Option<Identity>) -> Certainty {
        let pending = self.has_unconfirmed(now);
        let is_first = self.digests.is_empty();
        let (certain, digest) = match identity {
            Some(Identity::Named(digest)) => {
                let confirms = self.digests.insert(digest);
                self.may_be_shifted &= !confirms;
                (confirms, None)
            }
            Some(Identity::Plain(digest)) => {
                (self.digests.insert(digest) && !self.may_be_shifted, Some(digest))
            }
            Some(Identity::Closing) => (!self.may_be_shifted, None),
            None => (is_first, None),
        };
        let named = matches!(identity, Some(Identity::Named(_)));
        let differs = pending && digest.is_none_or(|digest| self.last_plain != Some(digest));
        self.last_plain = digest.or(self.last_plain);
        if certain {
            return if named { Certainty::ConfirmsEarlier } else { Certainty::Certain };
        }
        self.may_be_shifted = true;
        self.unconfirmed_until = Some(now + CONFIRMATION_DELAY);
        self.answers_differ = differs || (pending && self.answers_differ);
        if differs { Certainty::Shifted } else { Certainty::Unconfirmed }
    }

    /// Records that an answer has begun which belongs to no open call. If it may be an earlier call's own, returns the time
    /// until which its rest is awaited, and until which it may tell which calls the unconfirmed answers belonged to.
    pub fn await_rest(&mut self, now: Micros) -> Option<Micros> {
        if !self.may_be_shifted {
            return None;
        }
        let until = *self.rest_until.get_or_insert(now + REST_TIMEOUT);
        self.unconfirmed_until = self.unconfirmed_until.max(Some(until));
        Some(until)
    }

    /// Returns whether no further answer can be remembered.
    pub fn is_full(&self) -> bool {
        self.digests.len() >= MAX_DIGESTS
    }

    /// Returns the time until which bytes may tell which call the last unconfirmed answer belonged to, if
    /// there was one.
    pub fn unconfirmed_until(&self) -> Option<Micros> {
        self.unconfirmed_until
    }

    /// Returns whether that time is not over.
    pub fn has_unconfirmed(&self, now: Micros) -> bool {
        self.unconfirmed_until.is_some_and(|until| now < until)
    }

    /// Returns whether a surplus answer, received with no call in flight, has no effect. It has none if it
    /// equals all unconfirmed answers, because then it does not matter which of them is the copy.
    pub fn is_harmless_surplus(&self, digest: u64) -> bool {
        !self.answers_differ && self.last_plain == Some(digest)
    }

    /// Returns whether an answer arrived of which a copy may still follow.
    pub fn expects_copies(&self) -> bool {
        !self.digests.is_empty()
    }
}

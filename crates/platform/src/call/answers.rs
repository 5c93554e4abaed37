//! Parses the answers on one connection from bytes as they arrive.

use super::outcome::{MessageOutcome, message_outcomes, names_its_call, seconds_to_micros};
use heronroute::{Micros, Outcome};
use heronroute_http::{Message, ParseError, Reader, Side};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The maximum size of an answer's body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// An event that the bytes received on a connection cause for the call in flight.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvent {
    /// The call, or the probe, is answered.
    Answered {
        /// The outcome of each message, in the order of the call; one entry for a probe.
        outcomes: Vec<MessageOutcome>,
        /// The connection can't be used any more.
        unusable: bool,
    },
    /// An answer has begun, and its head demands a wait before the next call.
    RetryAfter(Micros),
    /// The connection can't be used any more, for this reason, and no call was answered.
    Unusable(&'static str),
}

/// The evidence in an answer of which call it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The answer names the messages of its call. A second copy of it has this same digest.
    Named(u64),
    /// The answer names no messages, and closes the connection.
    Closing,
    /// The answer names no messages. A second copy of it has this same digest.
    Plain(u64),
}

impl Identity {
    /// Returns the identity of an answer, which may name the messages of its call.
    pub fn of(answer: &Message, names_messages: bool) -> Self {
        if names_messages {
            return Identity::Named(digest(answer));
        }
        if answer.closes_connection {
            return Identity::Closing;
        }
        Identity::Plain(digest(answer))
    }
}

/// Returns a digest of an answer's status, fields and body.
fn digest(answer: &Message) -> u64 {
    let mut hasher = DefaultHasher::new();
    answer.status().hash(&mut hasher);
    answer.fields.hash(&mut hasher);
    answer.body.hash(&mut hasher);
    hasher.finish()
}

/// Reads answers on one connection, which carries one call at a time.
#[derive(Debug)]
pub struct AnswerReader {
    reader: Reader,
    /// Ids of the messages of the call in flight; empty for a probe.
    in_flight: Option<Vec<String>>,
    /// The wait that the current answer demands has been reported.
    retry_after_reported: bool,
    /// No complete answer has been read on this connection yet.
    is_new: bool,
    /// The identity of the last complete answer.
    identity: Option<Identity>,
    /// An answer with status 200 counts only once it is complete.
    waits_for_complete_answer: bool,
}

impl Default for AnswerReader {
    fn default() -> Self {
        AnswerReader {
            reader: Reader::new(Side::Responses, MAX_BODY_BYTES),
            in_flight: None,
            retry_after_reported: false,
            is_new: true,
            identity: None,
            waits_for_complete_answer: false,
        }
    }
}

impl AnswerReader {
    /// Records that a call with these messages was written, or a probe (no messages).
    pub fn request_sent(&mut self, ids: Vec<String>) {
        self.in_flight = Some(ids);
        self.retry_after_reported = false;
    }

    /// Records that the call was withdrawn before any of its bytes was sent.
    pub fn request_withdrawn(&mut self) {
        self.in_flight = None;
    }

    /// Returns whether a call or a probe is in flight.
    pub fn awaits_answer(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns whether a part of an answer has been received.
    pub fn has_begun(&self) -> bool {
        self.reader.has_partial_message()
    }

    /// Returns whether no complete answer has been read on this connection yet.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Takes the identity of the answer that was reported last, or `None` if that answer was not read
    /// completely, or not as it was written.
    pub fn take_identity(&mut self) -> Option<Identity> {
        self.identity.take()
    }

    /// Sets whether an answer with status 200 counts only once it is complete. Otherwise its status line is
    /// the outcome at once.
    pub fn set_waits_for_complete_answer(&mut self, waits: bool) {
        self.waits_for_complete_answer = waits;
    }

    /// Processes bytes that follow an answer while no call is in flight. Returns the digest of each complete
    /// answer among them.
    ///
    /// # Errors
    /// If the bytes are not an answer.
    pub fn receive_surplus(&mut self, bytes: &[u8]) -> Result<Vec<u64>, ParseError> {
        self.reader.push(bytes);
        let mut digests = Vec::new();
        while let Some(answer) = self.reader.next_message()? {
            digests.push(digest(&answer));
        }
        Ok(digests)
    }

    /// Returns whether an incomplete answer with status 200 to a single message has been received.
    pub fn has_incomplete_200(&self) -> bool {
        let single = self.in_flight.as_ref().is_some_and(|ids| ids.len() == 1);
        single && self.reader.status_so_far() == Some(200)
    }

    /// Takes the status line with status 200 as the outcome although the answer is not complete.
    pub fn accept_incomplete_200(&mut self) -> Option<AnswerEvent> {
        self.has_incomplete_200().then(|| self.delivered_without_end())
    }

    fn delivered_without_end(&mut self) -> AnswerEvent {
        self.in_flight = None;
        let outcomes = vec![MessageOutcome::of(Outcome::Done, self.retry_after())];
        AnswerEvent::Answered { outcomes, unusable: true }
    }

    /// Returns the wait that the head of the current answer demands, or 0.
    fn retry_after(&self) -> Micros {
        self.reader.retry_after_so_far().map_or(0, seconds_to_micros)
    }

    /// Processes received bytes. `closed` means that the endpoint closed its side after them.
    pub fn receive(&mut self, bytes: &[u8], closed: bool) -> Option<AnswerEvent> {
        // Guards against a second copy of an answer that arrives in pieces: a part of it that arrives before
        // the next call would, with the rest, be taken for the answer to that call.
        if self.in_flight.is_none() && !bytes.is_empty() {
            return Some(AnswerEvent::Unusable("unrequested bytes"));
        }
        self.reader.push(bytes);
        if closed {
            self.reader.end();
        }
        loop {
            return match self.reader.next_message() {
                // Interim answers carry no outcome.
                Ok(Some(answer)) if (100..200).contains(&answer.status()) => continue,
                Ok(Some(answer)) => Some(self.complete(&answer, closed)),
                Ok(None) => self.incomplete(closed),
                Err(error) => Some(self.unreadable(error)),
            };
        }
    }

    /// Handles a complete answer.
    fn complete(&mut self, answer: &Message, closed: bool) -> AnswerEvent {
        let Some(ids) = self.in_flight.take() else {
            return AnswerEvent::Unusable("unrequested answer");
        };
        // Guards against a second copy or noise after a good answer: further bytes on this connection belong
        // to no call.
        let mut unusable = answer.closes_connection || closed || self.reader.has_partial_message();
        let closed_at_once = std::mem::take(&mut self.is_new) && answer.closes_connection;
        let named = names_its_call(answer, &ids);
        // Bytes that begin no answer show that this one was not read as it was written.
        let is_intact = !self.reader.is_followed_by_garbage();
        self.identity = is_intact.then(|| Identity::of(answer, named));
        let outcomes = message_outcomes(answer, &ids, closed_at_once);
        // The real answer to this call may still arrive, and would be taken for the answer to the next one.
        unusable |= ids.len() > 1 && answer.status() == 200 && !named;
        AnswerEvent::Answered { outcomes, unusable }
    }

    /// Handles an answer that is not complete yet, or never will be.
    fn incomplete(&mut self, closed: bool) -> Option<AnswerEvent> {
        // Guards against an answer with status 200 that never completes: its message has been delivered all
        // the same.
        if self.has_incomplete_200() && (closed || !self.waits_for_complete_answer) {
            return Some(self.delivered_without_end());
        }
        // Guards against reporting a wait, which applies as soon as the head is read, only with the last byte
        // of the answer, or never if the answer breaks off.
        if !self.retry_after_reported && self.in_flight.is_some() && self.retry_after() > 0 {
            self.retry_after_reported = true;
            return Some(AnswerEvent::RetryAfter(self.retry_after()));
        }
        closed.then_some(AnswerEvent::Unusable("closed by the endpoint"))
    }

    /// Handles an unreadable answer. The request has run, and only the status line may still be valid.
    fn unreadable(&mut self, error: ParseError) -> AnswerEvent {
        let Some(ids) = self.in_flight.take() else { return AnswerEvent::Unusable(error.0) };
        let delivered = ids.len() == 1 && self.reader.status_so_far() == Some(200);
        let outcome = if delivered { Outcome::Done } else { Outcome::Error };
        let outcomes = vec![MessageOutcome::of(outcome, self.retry_after()); ids.len().max(1)];
        AnswerEvent::Answered { outcomes, unusable: true }
    }
}

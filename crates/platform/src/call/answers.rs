//! Parses the answers on one connection from bytes as they arrive.

use super::outcome::{
    MessageOutcome, ended_in_batch, finality_in_partial_batch, finality_of_status, message_outcomes,
    names_its_call, seconds_to_micros, strictest_in_batch, unreadable_outcomes,
};
use heronroute::{Finality, Micros, Outcome};
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

/// Answers that arrived while no call was in flight.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LateAnswers {
    /// The digest of each complete one.
    pub digests: Vec<u64>,
    /// Whether all bytes can be parts of answers.
    pub readable: bool,
    /// Whether a message may be sent again, if any of them was its call's own.
    pub finality: Finality,
    /// The messages that they name as ones that may not be sent again.
    pub ended: Vec<(String, Finality)>,
    /// The part of `finality` that is due to answers which name no messages.
    pub unnamed_finality: Finality,
    /// The longest wait that one of them demands, or 0.
    pub retry_after: Micros,
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
    /// The last answer could not be read to its end.
    is_broken: bool,
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
            is_broken: false,
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

    /// Returns how many bytes of memory are held of what was received.
    pub fn held_bytes(&self) -> usize {
        self.reader.held_bytes()
    }

    /// Returns whether a call or a probe is in flight.
    pub fn awaits_answer(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns whether bytes have been received that follow the last answer.
    pub fn has_late_bytes(&self) -> bool {
        !self.is_broken && self.reader.has_partial_message()
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

    /// Processes bytes that belong to no call in flight, such as those that follow an answer.
    pub fn receive_late(&mut self, bytes: &[u8]) -> LateAnswers {
        self.reader.push(bytes);
        let mut late = LateAnswers { readable: true, ..LateAnswers::default() };
        loop {
            match self.reader.next_message() {
                Ok(Some(answer)) => late.add(&answer),
                Ok(None) => break,
                Err(_) => {
                    (late.readable, self.is_broken) = (false, true);
                    break;
                }
            }
        }
        self.add_rest(&mut late);
        late.retry_after = late.retry_after.max(self.retry_after());
        late
    }

    fn add_rest(&self, late: &mut LateAnswers) {
        let finality = self.finality_of_rest();
        if self.reader.status_so_far() == Some(200) {
            late.add_ended(ended_in_batch(self.reader.body_so_far()));
        } else {
            late.add_unnamed(finality);
        }
        late.finality = late.finality.max(finality);
    }

    /// Returns whether a message may be sent again, if what has arrived since the last complete answer is the
    /// beginning of its call's own answer.
    pub fn finality_of_rest(&self) -> Finality {
        match self.reader.status_so_far() {
            Some(200) => strictest_in_batch(self.reader.body_so_far()),
            Some(status) => finality_of_status(status),
            // It may be any answer.
            None if self.has_late_bytes() => Finality::Over,
            None => Finality::Open,
        }
    }

    /// Returns whether a message of the call in flight may be sent again, by the incomplete answer that has been
    /// received. `index` is the message's position in the call.
    pub fn finality_so_far(&self, index: usize) -> Finality {
        let Some(ids) = &self.in_flight else { return Finality::Open };
        match self.reader.status_so_far() {
            Some(200) if ids.len() > 1 => {
                let finalities = finality_in_partial_batch(self.reader.body_so_far(), ids);
                finalities.get(index).copied().unwrap_or_default()
            }
            status => status.map_or(Finality::Open, finality_of_status),
        }
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
        self.is_broken = true;
        let outcomes = unreadable_outcomes(self.reader.status_so_far(), ids.len(), self.retry_after());
        AnswerEvent::Answered { outcomes, unusable: true }
    }
}

impl LateAnswers {
    /// Returns whether the message with this id may be sent again, if any of the answers was its call's own.
    pub fn finality_of(&self, id: &str) -> Finality {
        let named = self.ended.iter().filter(|(other, _)| other == id).map(|(_, finality)| *finality).max();
        self.unnamed_finality.max(named.unwrap_or_default())
    }

    fn add(&mut self, answer: &Message) {
        self.digests.push(digest(answer));
        match answer.status() {
            200 => self.add_ended(ended_in_batch(&answer.body)),
            status => self.add_unnamed(finality_of_status(status)),
        }
        self.retry_after = self.retry_after.max(answer.retry_after().map_or(0, seconds_to_micros));
    }

    fn add_ended(&mut self, ended: Vec<(String, Finality)>) {
        let strictest = ended.iter().map(|(_, finality)| *finality).max();
        self.finality = self.finality.max(strictest.unwrap_or_default());
        self.ended.extend(ended);
    }

    fn add_unnamed(&mut self, finality: Finality) {
        self.unnamed_finality = self.unnamed_finality.max(finality);
        self.finality = self.finality.max(finality);
    }
}

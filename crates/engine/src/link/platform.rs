//! The platform's endpoints: one call at a time on each connection. `heronroute_platform::call` defines what
//! an answer proves.

use super::attribution::{AnswerHistory, CONFIRMATION_DELAY, Certainty};
use super::{Link, LinkEvent, OutboundMessage, Reply};
use crate::Micros;
use crate::stream::Stream;
use heronroute::{Finality, Outcome};
use heronroute_http::write_request;
use heronroute_platform::call::{
    AnswerEvent, AnswerReader, Identity, LateAnswers, MessageOutcome, OutgoingMessage, write_call,
};
use std::cmp::Reverse;

/// A connection to one of the platform's endpoints.
#[derive(Debug)]
pub struct PlatformLink {
    host: String,
    answer_reader: AnswerReader,
    /// Recognizes answers that may be copies of earlier ones.
    answer_history: AnswerHistory,
    /// How long to wait for the end of an answer with status 200 that has begun where a copy may arrive.
    answer_end_deadline: Option<Micros>,
    /// The number of the open call and the indices of its messages. None for a probe.
    open_call: Option<(u64, Vec<usize>)>,
    /// The start position of the last request in the stream.
    request_start: u64,
}

impl PlatformLink {
    pub fn new(host: String) -> Self {
        PlatformLink {
            host,
            answer_reader: AnswerReader::default(),
            answer_history: AnswerHistory::default(),
            answer_end_deadline: None,
            open_call: None,
            request_start: 0,
        }
    }

    /// Turns an event of the answer reader into link events.
    fn handle_answer_event(&mut self, now: Micros, event: Option<AnswerEvent>, events: &mut Vec<LinkEvent>) {
        match event {
            Some(AnswerEvent::Answered { outcomes, unusable }) => {
                self.answer_end_deadline = None;
                if unusable {
                    events.push(LinkEvent::NoMoreCalls);
                }
                self.handle_answer(now, outcomes, events);
            }
            Some(AnswerEvent::RetryAfter(wait)) => events.push(LinkEvent::WaitAnnounced(wait)),
            Some(AnswerEvent::Unusable(why)) => events.push(LinkEvent::Unusable(why)),
            None if self.answer_reader.has_incomplete_200() => {
                self.answer_end_deadline.get_or_insert(now + CONFIRMATION_DELAY);
            }
            None => {}
        }
    }

    fn handle_answer(&mut self, now: Micros, mut outcomes: Vec<MessageOutcome>, events: &mut Vec<LinkEvent>) {
        let identity = self.answer_reader.take_identity();
        let certainty = self.answer_history.attribute(now, identity);
        match certainty {
            Certainty::ConfirmsEarlier => events.push(LinkEvent::EarlierConfirmed),
            Certainty::Shifted => events.push(LinkEvent::PauseUntilConfirmed),
            Certainty::Certain | Certainty::Unconfirmed => {}
        }
        // A second refusal on a connection could be a copy of the first.
        let refused = outcomes.iter().any(|message| message.outcome != Outcome::Done);
        let named = matches!(identity, Some(Identity::Named(_)));
        if self.answer_history.is_full() || (refused && !named) {
            events.push(LinkEvent::NoMoreCalls);
        }
        let unconfirmed = matches!(certainty, Certainty::Unconfirmed | Certainty::Shifted);
        if !unconfirmed {
            return self.push_replies(&outcomes, false, events);
        }
        let finality = strictest_refusal(&outcomes);
        if finality != Finality::Open {
            // It may be the own answer of an earlier call.
            events.push(LinkEvent::Contradicted(finality));
        }
        let late = self.answer_reader.has_late_bytes().then(|| self.answer_reader.receive_late(b""));
        if let Some(late) = &late {
            let may_change =
                |message: &MessageOutcome| message.outcome != Outcome::Done || !self.is_repeat(late);
            let messages = outcomes.iter_mut().filter(|message| may_change(message));
            messages.for_each(|message| *message = message.or_later(late.finality));
        }
        self.push_replies(&outcomes, true, events);
        if let Some(late) = late {
            self.handle_late_answers(now, &late, events);
        }
    }

    /// Passes the outcomes of the open call, or of a probe, on.
    fn push_replies(&mut self, outcomes: &[MessageOutcome], unconfirmed: bool, events: &mut Vec<LinkEvent>) {
        let reply = |message: &MessageOutcome| Reply {
            outcome: message.outcome,
            wait: message.retry_after,
            finality: message.finality,
            report: None,
        };
        let Some((call, parts)) = self.open_call.take() else {
            return events.extend(outcomes.first().map(|message| LinkEvent::Probed(reply(message))));
        };
        for (part, message) in parts.into_iter().zip(outcomes) {
            let reply = reply(message);
            events.push(if unconfirmed {
                LinkEvent::AnsweredUnconfirmed { call, part, reply }
            } else {
                LinkEvent::Answered { call, part, reply }
            });
        }
    }

    /// Handles bytes that belong to no open call. After an unconfirmed answer they show which call it
    /// belonged to: a repeat of the same answer has no effect, and any other answer is the call's own.
    fn receive_late(&mut self, now: Micros, bytes: &[u8], events: &mut Vec<LinkEvent>) {
        tracing::debug!(now, octets = bytes.len(), "received bytes that answer no open call");
        let late = self.answer_reader.receive_late(bytes);
        self.handle_late_answers(now, &late, events);
    }

    fn handle_late_answers(&mut self, now: Micros, late: &LateAnswers, events: &mut Vec<LinkEvent>) {
        if late.retry_after > 0 {
            events.push(LinkEvent::WaitAnnounced(late.retry_after));
        }
        let has_begun = late.readable && late.digests.is_empty() && self.answer_reader.has_late_bytes();
        if has_begun && let Some(until) = self.answer_history.await_rest(now) {
            return events.push(LinkEvent::AwaitRest(until));
        }
        if !self.answer_history.has_unconfirmed(now) {
            return events.push(LinkEvent::Unusable("received bytes without an open request"));
        }
        if self.is_repeat(late) {
            return events.push(LinkEvent::NoMoreCalls);
        }
        Self::close_contradicted(late.finality, events);
    }

    /// Returns whether late answers only repeat the unconfirmed ones, as far as they have arrived.
    fn is_repeat(&self, late: &LateAnswers) -> bool {
        late.readable && late.digests.iter().all(|digest| self.answer_history.is_harmless_surplus(*digest))
    }

    /// Handles bytes that arrived before all of the request was sent, so that nothing can have answered it.
    fn receive_premature(&mut self, bytes: &[u8], events: &mut Vec<LinkEvent>) {
        let late = self.answer_reader.receive_late(bytes);
        if late.retry_after > 0 {
            events.push(LinkEvent::WaitAnnounced(late.retry_after));
        }
        Self::close_contradicted(late.finality, events);
    }

    /// Ends the use of the connection, because an answer to an earlier call arrived.
    fn close_contradicted(finality: Finality, events: &mut Vec<LinkEvent>) {
        events.push(LinkEvent::Contradicted(finality));
        events.push(LinkEvent::Unusable("received an answer to an earlier call"));
    }

    /// Returns whether part of the request is unsent, so that nothing can have answered it.
    fn is_partly_written(&self, stream: &Stream) -> bool {
        self.answer_reader.awaits_answer() && !stream.out.is_empty()
    }
}

/// Returns the strictest finality of the messages that were not delivered.
fn strictest_refusal(outcomes: &[MessageOutcome]) -> Finality {
    let refusals = outcomes.iter().filter(|message| message.outcome != Outcome::Done);
    refusals.map(|message| message.finality).max().unwrap_or_default()
}

impl Link for PlatformLink {
    fn open(&mut self, _: Micros, _: &mut Stream, events: &mut Vec<LinkEvent>) {
        events.push(LinkEvent::Ready);
    }

    fn send(
        &mut self,
        _: Micros,
        call: u64,
        messages: &[OutboundMessage<'_>],
        stream: &mut Stream,
    ) -> Vec<(u64, u64)> {
        let start = stream.position();
        self.request_start = start;
        let mut messages: Vec<&OutboundMessage<'_>> = messages.iter().collect();
        // The message that is waited for longest comes first, and its wait is the call's. An endpoint may
        // measure the time of a late answer by the message that is named first, and the answer would then
        // count for none of the call's messages.
        messages.sort_by_key(|c| Reverse(c.wait));
        // Any key is sent; only guarded classes have one.
        let items: Vec<OutgoingMessage<'_>> = messages
            .iter()
            .map(|c| OutgoingMessage {
                id: &c.id,
                key: c.submission.key.as_deref(),
                body: &c.submission.body,
            })
            .collect();
        let wait = messages.first().map_or(0, |c| c.wait);
        write_call(&items, wait, &self.host, &mut stream.out);
        self.answer_reader.request_sent(messages.iter().map(|c| c.id.clone()).collect());
        self.open_call = Some((call, messages.iter().map(|c| c.part).collect()));
        vec![(start, stream.position()); messages.len()]
    }

    fn probe(&mut self, _: Micros, stream: &mut Stream) {
        self.request_start = stream.position();
        write_request("GET", "/ping", &self.host, &[], b"", &mut stream.out);
        self.answer_reader.request_sent(Vec::new());
        self.open_call = None;
    }

    fn receive(&mut self, now: Micros, bytes: &[u8], stream: &mut Stream, events: &mut Vec<LinkEvent>) {
        // A second copy of an earlier answer would be taken for the answer to this call, of which not
        // everything has been sent.
        let premature = self.is_request_unsent(stream)
            || (self.is_partly_written(stream) && !self.answer_reader.is_new());
        if premature {
            return self.receive_premature(bytes, events);
        }
        if !self.answer_reader.awaits_answer() {
            return self.receive_late(now, bytes, events);
        }
        self.answer_reader.set_waits_for_complete_answer(self.answer_history.expects_copies());
        // What answers a call before all of it was sent leaves the rest of it to be sent.
        let partly_written = self.is_partly_written(stream);
        if partly_written {
            events.push(LinkEvent::NoMoreCalls);
        }
        let event = self.answer_reader.receive(bytes, false);
        self.handle_answer_event(now, event, events);
        if partly_written && !self.answer_reader.awaits_answer() {
            events.push(LinkEvent::Unusable("answered before the call was sent"));
        }
    }

    fn ended(&mut self, now: Micros, events: &mut Vec<LinkEvent>) {
        let event = self.answer_reader.receive(b"", true);
        self.handle_answer_event(now, event, events);
    }

    fn forget(&mut self, _: u64, _: usize, unsent: bool) {
        if unsent {
            self.open_call = None;
            self.answer_reader.request_withdrawn();
        }
    }

    fn is_request_unsent(&self, stream: &Stream) -> bool {
        stream.sent <= self.request_start && stream.position() > self.request_start
    }

    fn close(&mut self, _: Micros, _: &mut Stream) {}

    // The rest of an abandoned call must not be sent while its message goes elsewhere, or it could run twice.
    fn discard_unsent(&mut self, stream: &mut Stream) {
        stream.out.clear();
    }

    fn finality_so_far(&self, part: usize) -> Finality {
        let parts = self.open_call.iter().flat_map(|(_, parts)| parts);
        let index = parts.clone().position(|other| *other == part);
        index.map_or(Finality::Open, |index| self.answer_reader.finality_so_far(index))
    }

    fn finality_of_earlier(&self) -> Finality {
        self.answer_reader.finality_of_rest()
    }

    fn read_unhandled(&mut self, bytes: &[u8]) -> Option<LateAnswers> {
        Some(self.answer_reader.receive_late(bytes))
    }

    fn unconfirmed_until(&self) -> Option<Micros> {
        self.answer_history.unconfirmed_until()
    }

    fn held_bytes(&self) -> usize {
        self.answer_reader.held_bytes()
    }

    fn wake(&self) -> Micros {
        self.answer_end_deadline.unwrap_or(Micros::MAX)
    }

    fn tick(&mut self, now: Micros, _: &mut Stream, events: &mut Vec<LinkEvent>) {
        if self.answer_end_deadline.is_some_and(|until| until <= now) {
            self.answer_end_deadline = None;
            let event = self.answer_reader.accept_incomplete_200();
            self.handle_answer_event(now, event, events);
        }
    }
}

//! The platform's endpoints: one call at a time on each connection. `heronroute_platform::call` defines what
//! an answer proves.

use super::attribution::{Attributed, Attribution, CONFIRMATION};
use super::{Cargo, Link, LinkEvent, Reply};
use crate::Micros;
use crate::stream::Stream;
use heronroute_http::write_request;
use heronroute_platform::call::{AnswerEvent, AnswerReader, MessageOutcome, OutgoingMessage, write_call};
use std::cmp::Reverse;

/// A connection to one of the platform's endpoints.
#[derive(Debug)]
pub struct PlatformLink {
    host: String,
    answers: AnswerReader,
    /// Recognizes answers that may be copies of earlier ones.
    attribution: Attribution,
    /// How long to wait for the end of an answer with status 200 that has begun where a copy may arrive.
    end_awaited_until: Option<Micros>,
    /// The number of the open call and the indices of its messages. None for a probe.
    out: Option<(u64, Vec<usize>)>,
    /// The start position of the last request in the stream.
    from: u64,
}

impl PlatformLink {
    pub fn new(host: String) -> Self {
        PlatformLink {
            host,
            answers: AnswerReader::default(),
            attribution: Attribution::default(),
            end_awaited_until: None,
            out: None,
            from: 0,
        }
    }

    /// Turns an event of the answer reader into link events.
    fn pass_on(&mut self, now: Micros, event: Option<AnswerEvent>, events: &mut Vec<LinkEvent>) {
        match event {
            Some(AnswerEvent::Answered { outcomes, unusable }) => {
                self.end_awaited_until = None;
                if unusable {
                    events.push(LinkEvent::Spent);
                }
                let identity = self.answers.take_identity();
                let attributed = identity.map(|i| self.attribution.attribute(now, i));
                let attributed = attributed.unwrap_or(Attributed::Surely);
                if attributed == Attributed::Shifted {
                    events.push(LinkEvent::Rests);
                }
                let doubtful = attributed != Attributed::Surely;
                self.pass_on_outcomes(&outcomes, doubtful, events);
                if doubtful && self.answers.has_begun() {
                    self.receive_surplus(now, b"", events);
                }
            }
            Some(AnswerEvent::RetryAfter(wait)) => events.push(LinkEvent::Waits(wait)),
            Some(AnswerEvent::Unusable(why)) => events.push(LinkEvent::Over(why)),
            None if self.answers.has_begun_200() => {
                self.end_awaited_until.get_or_insert(now + CONFIRMATION);
            }
            None => {}
        }
    }

    fn pass_on_outcomes(&mut self, outcomes: &[MessageOutcome], doubtful: bool, events: &mut Vec<LinkEvent>) {
        let reply = |message: &MessageOutcome| Reply {
            outcome: message.outcome,
            wait: message.retry_after,
            over: message.is_final,
            report: None,
        };
        let Some((call, parts)) = self.out.take() else {
            return events.extend(outcomes.first().map(|message| LinkEvent::Probed(reply(message))));
        };
        for (part, message) in parts.into_iter().zip(outcomes) {
            let reply = reply(message);
            events.push(if doubtful {
                LinkEvent::AnsweredDoubtfully { call, part, reply }
            } else {
                LinkEvent::Answered { call, part, reply }
            });
        }
    }

    /// Handles bytes that belong to no open call. After an unconfirmed answer they show which call it
    /// belonged to: a repeat of the same answer has no effect, and any other answer is the call's own.
    fn receive_surplus(&mut self, now: Micros, octets: &[u8], events: &mut Vec<LinkEvent>) {
        tracing::debug!(now, octets = octets.len(), "octets behind a doubtful answer");
        if !self.attribution.is_unsettled(now) {
            return events.push(LinkEvent::Over("octets that nobody asked for"));
        }
        match self.answers.receive_surplus(octets) {
            Ok(digests) if digests.iter().all(|d| self.attribution.changes_nothing(*d)) => {
                events.push(LinkEvent::Spent);
            }
            _ => self.end_contradicted(now, events),
        }
    }

    /// Ends the use of the connection, because an answer to an earlier call arrived.
    fn end_contradicted(&mut self, now: Micros, events: &mut Vec<LinkEvent>) {
        if self.attribution.is_unsettled(now) {
            events.push(LinkEvent::Contradicted);
        }
        events.push(LinkEvent::Over("an answer to an earlier call"));
    }

    /// Returns whether part of the request is unsent, so that nothing can have answered it.
    fn is_partly_written(&self, stream: &Stream) -> bool {
        self.answers.awaits_answer() && !stream.out.is_empty()
    }
}

impl Link for PlatformLink {
    fn open(&mut self, _: Micros, _: &mut Stream, events: &mut Vec<LinkEvent>) {
        events.push(LinkEvent::Ready);
    }

    fn send(&mut self, _: Micros, call: u64, cargo: &[Cargo<'_>], stream: &mut Stream) -> Vec<(u64, u64)> {
        let from = stream.position();
        self.from = from;
        let mut cargo: Vec<&Cargo<'_>> = cargo.iter().collect();
        // The message that is waited for longest comes first, and its wait is the call's. An endpoint may
        // measure the time of a late answer by the message that is named first, and the answer would then
        // count for none of the call's messages.
        cargo.sort_by_key(|c| Reverse(c.wait));
        // Any key is sent; only guarded classes have one.
        let items: Vec<OutgoingMessage<'_>> = cargo
            .iter()
            .map(|c| OutgoingMessage {
                id: &c.id,
                key: c.submission.key.as_deref(),
                body: &c.submission.body,
            })
            .collect();
        let wait = cargo.first().map_or(0, |c| c.wait);
        write_call(&items, wait, &self.host, &mut stream.out);
        self.answers.request_sent(cargo.iter().map(|c| c.id.clone()).collect());
        self.out = Some((call, cargo.iter().map(|c| c.part).collect()));
        vec![(from, stream.position()); cargo.len()]
    }

    fn probe(&mut self, _: Micros, stream: &mut Stream) {
        self.from = stream.position();
        write_request("GET", "/ping", &self.host, &[], b"", &mut stream.out);
        self.answers.request_sent(Vec::new());
        self.out = None;
    }

    fn receive(&mut self, now: Micros, octets: &[u8], stream: &mut Stream, events: &mut Vec<LinkEvent>) {
        // A second copy of an earlier answer would be taken for the answer to this call, of which not
        // everything has been sent.
        let early = self.unbegun(stream) || (self.is_partly_written(stream) && !self.answers.is_new());
        if early {
            return self.end_contradicted(now, events);
        }
        if !self.answers.awaits_answer() && self.attribution.is_unsettled(now) {
            return self.receive_surplus(now, octets, events);
        }
        self.answers.wait_for_the_end(self.attribution.expects_copies());
        let event = self.answers.receive(octets, false);
        self.pass_on(now, event, events);
    }

    fn ended(&mut self, now: Micros, events: &mut Vec<LinkEvent>) {
        let event = self.answers.receive(b"", true);
        self.pass_on(now, event, events);
    }

    fn forget(&mut self, _: u64, _: usize, unsent: bool) {
        if unsent {
            self.out = None;
            self.answers.request_withdrawn();
        }
    }

    fn unbegun(&self, stream: &Stream) -> bool {
        stream.sent <= self.from && stream.position() > self.from
    }

    fn close(&mut self, _: Micros, _: &mut Stream) {}

    // The rest of an abandoned call must not be sent while its message goes elsewhere, or it could run twice.
    fn discard_unsent(&mut self, stream: &mut Stream) {
        stream.out.clear();
    }

    fn unsettled_until(&self) -> Option<Micros> {
        self.attribution.unsettled_until()
    }

    fn wake(&self) -> Micros {
        self.end_awaited_until.unwrap_or(Micros::MAX)
    }

    fn tick(&mut self, now: Micros, _: &mut Stream, events: &mut Vec<LinkEvent>) {
        if self.end_awaited_until.is_some_and(|until| until <= now) {
            self.end_awaited_until = None;
            let event = self.answers.give_up_the_end();
            self.pass_on(now, event, events);
        }
    }
}

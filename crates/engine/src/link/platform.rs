//! Endpoints of the platform: one call at a time on a connection. What an answer proves stands in
//! `heronroute_platform::call`.

use super::{Cargo, Link, LinkEvent, Reply};
use crate::Micros;
use crate::stream::Stream;
use heronroute_http::write_request;
use heronroute_platform::call::{AnswerEvent, AnswerReader, MessageOutcome, OutgoingMessage, write_call};
use std::cmp::Reverse;

/// One connection.
#[derive(Debug)]
pub struct PlatformLink {
    host: String,
    answers: AnswerReader,
    /// The call that is out and the places of its messages; none for a probe.
    out: Option<(u64, Vec<usize>)>,
    /// Where what was asked last begins in the stream.
    from: u64,
}

impl PlatformLink {
    pub fn new(host: String) -> Self {
        PlatformLink { host, answers: AnswerReader::default(), out: None, from: 0 }
    }

    fn heard(&mut self, heard: Option<AnswerEvent>, events: &mut Vec<LinkEvent>) {
        match heard {
            Some(AnswerEvent::Answered { outcomes, unusable }) => {
                if unusable {
                    events.push(LinkEvent::Spent);
                }
                let reply = |message: &MessageOutcome| Reply {
                    outcome: message.outcome,
                    wait: message.retry_after,
                    over: message.is_final,
                    report: None,
                };
                match self.out.take() {
                    Some((call, parts)) => {
                        let each = parts.into_iter().zip(&outcomes);
                        events.extend(each.map(|(part, message)| LinkEvent::Answered {
                            call,
                            part,
                            reply: reply(message),
                        }));
                    }
                    None => events.extend(outcomes.first().map(|message| LinkEvent::Probed(reply(message)))),
                }
            }
            Some(AnswerEvent::RetryAfter(wait)) => events.push(LinkEvent::Waits(wait)),
            Some(AnswerEvent::Unusable(why)) => events.push(LinkEvent::Over(why)),
            None => {}
        }
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
        // Guards against messages lost with the first of their call: an endpoint may time its late
        // answer to a call by the message that is named first, and then it counts for none of them. So the first is the one
        // that is waited for longest, whose wait is the call's.
        cargo.sort_by_key(|c| Reverse(c.wait));
        // Any key is passed on; only guarded classes have one.
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

    fn receive(&mut self, _: Micros, octets: &[u8], stream: &mut Stream, events: &mut Vec<LinkEvent>) {
        // Guards against a second copy of an earlier answer, which would be taken for this call's: none of it has left.
        if self.unbegun(stream) {
            return events.push(LinkEvent::Over("an answer to what was not sent yet"));
        }
        let heard = self.answers.receive(octets, false);
        self.heard(heard, events);
    }

    fn ended(&mut self, events: &mut Vec<LinkEvent>) {
        let heard = self.answers.receive(b"", true);
        self.heard(heard, events);
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

    // Guards against a second copy: the rest of an abandoned call must not leave while its message goes elsewhere.
    fn discard_unsent(&mut self, stream: &mut Stream) {
        stream.out.clear();
    }

    fn wake(&self) -> Micros {
        Micros::MAX
    }

    fn tick(&mut self, _: Micros, _: &mut Stream, _: &mut Vec<LinkEvent>) {}
}

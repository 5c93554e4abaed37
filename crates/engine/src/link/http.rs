//! Receivers that speak HTTP/1.1. A call is a POST; a 2xx status means done; 429 and 503 mean that the
//! receiver rejected the call without processing it, and may announce a wait (Retry-After, in seconds). The
//! RateLimit fields are the limit report, and a GET of the probe path is the probe. Guarded messages carry an
//! Idempotency-Key. A call of several messages has a protobuf body (`heronroute_http::Batch`).
//!
//! Responses name no call and arrive in the order of the requests. A response proves nothing if it, or a response
//! before it, may be a second copy of an earlier response (see [`super::attribution`]), whatever its status. As
//! receivers often give every delivery the same response, the link reports a digest of each, by which the sender
//! decides whether a connection carries a second call (see [`crate::answer_variety`]).

use super::attribution::{AnswerHistory, Certainty};
use super::{Link, LinkEvent, OutboundMessage, Reply};
use crate::Micros;
use crate::stream::Stream;
use heronroute::{Finality, LimitReport, Outcome};
use heronroute_config::KindConfig;
use heronroute_http::prost::Message as _;
use heronroute_http::{BATCH_TYPE, Batch, Item, Message, Reader, Side, write_request};
use heronroute_platform::call::Identity;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

const MAX_BODY_BYTES: usize = 1 << 20;

/// What a request is for.
#[derive(Debug)]
enum Request {
    Call { call: u64, parts: Vec<usize> },
    Probe,
}

/// A request without a response.
#[derive(Debug)]
struct OpenRequest {
    request: Request,
    /// Its size in the stream, in bytes.
    length: u64,
}

/// A connection to a receiver that speaks HTTP/1.1.
#[derive(Debug)]
pub struct HttpLink {
    reader: Reader,
    host: String,
    user_agent: String,
    path: String,
    probe_path: String,
    /// Whether calls have a protobuf body that can contain several messages.
    batches: bool,
    /// Requests without a response, in the order in which they were sent. Responses arrive in the same order.
    open_requests: VecDeque<OpenRequest>,
    /// Recognizes responses that may be copies of earlier ones.
    answer_history: AnswerHistory,
    closed: bool,
}

impl HttpLink {
    pub fn new(kind: &KindConfig, host: String, sender: usize) -> Self {
        HttpLink {
            reader: Reader::new(Side::Responses, MAX_BODY_BYTES),
            host,
            user_agent: format!("heronroute (sender-{sender})"),
            path: kind.path.clone(),
            probe_path: kind.probe_path.clone(),
            batches: kind.batch > 1,
            open_requests: VecDeque::new(),
            answer_history: AnswerHistory::default(),
            closed: false,
        }
    }

    fn end_use(&mut self, why: &'static str, events: &mut Vec<LinkEvent>) {
        self.closed = true;
        events.push(LinkEvent::Unusable(why));
    }

    /// Handles the complete responses that were read. `unsent` is the number of bytes in the stream that were
    /// not sent.
    fn handle_responses(&mut self, now: Micros, unsent: u64, events: &mut Vec<LinkEvent>) {
        while !self.closed {
            match self.reader.next_message() {
                Ok(Some(response)) if (100..200).contains(&response.status()) => {}
                Ok(Some(_)) if !self.is_oldest_request_sent(unsent) => {
                    self.end_use("received a response before its request was sent", events);
                }
                Ok(Some(response)) => self.handle_response(now, &response, events),
                Ok(None) => break,
                Err(e) => self.end_use(e.0, events),
            }
        }
    }

    /// Returns whether all of the oldest open request was sent. Nothing can answer it before.
    fn is_oldest_request_sent(&self, unsent: u64) -> bool {
        unsent == 0 || unsent <= self.open_requests.iter().skip(1).map(|open| open.length).sum()
    }

    fn handle_response(&mut self, now: Micros, response: &Message, events: &mut Vec<LinkEvent>) {
        let Some(OpenRequest { request, .. }) = self.open_requests.pop_front() else {
            let wait = reply(response).wait;
            if wait > 0 {
                events.push(LinkEvent::WaitAnnounced(wait));
            }
            // It is unknown which request the next response would belong to.
            return self.end_use("received a response without an open request", events);
        };
        let reply = reply(response);
        let certain = self.is_certain(now, response);
        if !certain {
            events.push(LinkEvent::RefusalsUnproven);
        }
        // A second refusal on a connection could be a copy of the first, and what follows a response in doubt is in
        // doubt too.
        if !certain || reply.outcome != Outcome::Done || self.answer_history.is_full() {
            events.push(LinkEvent::NoMoreCalls);
        }
        match request {
            Request::Call { call, parts } => {
                if reply.outcome == Outcome::Done {
                    events.push(LinkEvent::DeliveryDigest(delivery_digest(response)));
                }
                events.extend(parts.into_iter().map(|part| answered(call, part, reply, certain)));
            }
            Request::Probe => events.push(LinkEvent::Probed(reply)),
        }
        if response.closes_connection {
            self.end_use("the receiver closes the connection", events);
        }
    }

    /// Records a response, and returns whether it certainly belongs to the oldest open request.
    fn is_certain(&mut self, now: Micros, response: &Message) -> bool {
        let certainty = self.answer_history.attribute(now, Some(Identity::of(response, false)));
        matches!(certainty, Certainty::Certain | Certainty::ConfirmsEarlier)
    }
}

fn answered(call: u64, part: usize, reply: Reply, certain: bool) -> LinkEvent {
    if certain {
        LinkEvent::Answered { call, part, reply }
    } else {
        LinkEvent::AnsweredUnconfirmed { call, part, reply }
    }
}

/// Returns a digest of a response without its date, which differs only between responses of different seconds.
fn delivery_digest(response: &Message) -> u64 {
    let mut hasher = DefaultHasher::new();
    response.status().hash(&mut hasher);
    response.fields.iter().filter(|(name, _)| name != "date").for_each(|field| field.hash(&mut hasher));
    response.body.hash(&mut hasher);
    hasher.finish()
}

fn reply(response: &Message) -> Reply {
    let outcome = match response.status() {
        200..300 => Outcome::Done,
        429 | 503 => Outcome::Busy,
        _ => Outcome::Error,
    };
    let wait = response.retry_after().map_or(0, |s| (s * 1e6) as Micros);
    Reply {
        outcome,
        wait: if outcome == Outcome::Busy { wait } else { 0 },
        finality: if outcome == Outcome::Done { Finality::Over } else { Finality::Open },
        report: report(response),
    }
}

/// Reads `RateLimit-Limit`, `RateLimit-Remaining` and the window of `RateLimit-Policy` (`100;w=1`).
fn report(response: &Message) -> Option<LimitReport> {
    let number = |name: &str| {
        let value = response.field(name)?.split([',', ';']).next()?.trim().parse::<f64>().ok()?;
        (value.is_finite() && value >= 0.0).then_some(value)
    };
    let limit = number("ratelimit-limit").or_else(|| number("ratelimit-policy"));
    let remaining = number("ratelimit-remaining");
    let window = response.field("ratelimit-policy").and_then(|p| {
        let w = p.split(';').find_map(|part| part.trim().strip_prefix("w="))?;
        w.trim().parse::<f64>().ok().filter(|w| *w > 0.0)
    });
    let share =
        remaining.zip(limit).filter(|(_, limit)| *limit > 0.0).map(|(remaining, limit)| remaining / limit);
    let rate = limit.zip(window).map(|(limit, window)| limit / window);
    (share.is_some() || rate.is_some()).then_some(LimitReport { remaining: share, limit: rate })
}

impl Link for HttpLink {
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
        if self.batches || messages.len() != 1 {
            let item = |c: &OutboundMessage<'_>| Item {
                id: c.id.clone(),
                class: c.class.to_string(),
                source: c.submission.source.clone(),
                destination: c.submission.destination.clone(),
                key: c.submission.key.clone().unwrap_or_default(),
                body: c.submission.body.clone(),
            };
            let body = Batch { message: messages.iter().map(item).collect() }.encode_to_vec();
            let fields = [("content-type", BATCH_TYPE), ("user-agent", &self.user_agent)];
            write_request("POST", &self.path, &self.host, &fields, &body, &mut stream.out);
        } else {
            let message = &messages[0];
            let submission = message.submission;
            let mut fields = vec![
                ("user-agent", self.user_agent.as_str()),
                ("content-type", "application/octet-stream"),
                ("message-id", &message.id),
                ("message-class", message.class),
                ("source-address", &submission.source),
                ("destination-address", &submission.destination),
            ];
            if let Some(key) = &submission.key {
                fields.push(("message-key", key));
            }
            if message.guarded {
                fields.push(("idempotency-key", &message.id));
            }
            write_request("POST", &self.path, &self.host, &fields, &submission.body, &mut stream.out);
        }
        let end = stream.position();
        let request = Request::Call { call, parts: messages.iter().map(|c| c.part).collect() };
        self.open_requests.push_back(OpenRequest { request, length: end - start });
        vec![(start, end); messages.len()]
    }

    fn probe(&mut self, _: Micros, stream: &mut Stream) {
        let start = stream.position();
        write_request(
            "GET",
            &self.probe_path,
            &self.host,
            &[("user-agent", &self.user_agent)],
            b"",
            &mut stream.out,
        );
        let length = stream.position() - start;
        self.open_requests.push_back(OpenRequest { request: Request::Probe, length });
    }

    fn receive(&mut self, now: Micros, bytes: &[u8], stream: &mut Stream, events: &mut Vec<LinkEvent>) {
        let unsent = stream.out.len() as u64;
        self.reader.push(bytes);
        self.handle_responses(now, unsent, events);
        if self.closed || !self.reader.has_partial_message() {
            return;
        }
        // The beginning of a second copy would be taken, together with its rest, for the answer to the next
        // call.
        if self.open_requests.is_empty() || !self.is_oldest_request_sent(unsent) {
            self.end_use("received bytes without an open request", events);
        }
    }

    fn ended(&mut self, now: Micros, events: &mut Vec<LinkEvent>) {
        self.reader.end();
        self.handle_responses(now, 0, events);
        if !self.closed {
            self.end_use("closed by the receiver", events);
        }
    }

    fn forget(&mut self, call: u64, part: usize, unsent: bool) {
        let is_call = |open: &OpenRequest| matches!(open.request, Request::Call { call: c, .. } if c == call);
        if unsent {
            return self.open_requests.retain(|open| !is_call(open));
        }
        let open = self.open_requests.iter_mut().find(|open| is_call(open));
        if let Some(OpenRequest { request: Request::Call { parts, .. }, .. }) = open {
            parts.retain(|p| *p != part);
        }
    }

    fn close(&mut self, _: Micros, _: &mut Stream) {}

    // The rest of an abandoned call must not be sent while its message goes elsewhere, or it could run twice.
    fn discard_unsent(&mut self, stream: &mut Stream) {
        stream.out.clear();
    }

    fn wake(&self) -> Micros {
        Micros::MAX
    }

    fn tick(&mut self, _: Micros, _: &mut Stream, _: &mut Vec<LinkEvent>) {}
}

#[cfg(test)]
mod tests;

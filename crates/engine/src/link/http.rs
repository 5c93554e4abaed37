//! Receivers that speak HTTP/1.1. A call is a POST; a 2xx status means done; 429 and 503 mean that the
//! receiver rejected the call without processing it, and may announce a wait (Retry-After, in seconds). The
//! RateLimit fields are the limit report, and a GET of the probe path is the probe. Guarded messages carry an
//! Idempotency-Key. A call of several messages has a protobuf body (`heronroute_http::Batch`).

use super::{Link, LinkEvent, OutboundMessage, Reply};
use crate::Micros;
use crate::stream::Stream;
use heronroute::{LimitReport, Outcome};
use heronroute_config::KindConfig;
use heronroute_http::prost::Message as _;
use heronroute_http::{BATCH_TYPE, Batch, Item, Message, Reader, Side, write_request};
use std::collections::VecDeque;

const MAX_BODY_BYTES: usize = 1 << 20;

/// An open request on the connection.
#[derive(Debug)]
enum Request {
    Call { call: u64, parts: Vec<usize> },
    Probe,
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
    open_requests: VecDeque<Request>,
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
            closed: false,
        }
    }

    fn handle_responses(&mut self, events: &mut Vec<LinkEvent>) {
        while !self.closed {
            match self.reader.next_message() {
                Ok(Some(response)) if (100..200).contains(&response.status()) => {}
                Ok(Some(response)) => self.handle_response(&response, events),
                Ok(None) => break,
                Err(e) => {
                    self.closed = true;
                    events.push(LinkEvent::Unusable(e.0));
                }
            }
        }
    }

    fn handle_response(&mut self, response: &Message, events: &mut Vec<LinkEvent>) {
        let reply = reply(response);
        match self.open_requests.pop_front() {
            Some(Request::Call { call, parts }) => {
                for part in parts {
                    events.push(LinkEvent::Answered { call, part, reply });
                }
            }
            Some(Request::Probe) => events.push(LinkEvent::Probed(reply)),
            None => {
                // There is no open request, so it is unknown which request the next response would belong to.
                self.closed = true;
                return events.push(LinkEvent::Unusable("received a response without an open request"));
            }
        }
        if response.closes_connection {
            self.closed = true;
            events.push(LinkEvent::Unusable("the receiver closes the connection"));
        }
    }
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
        over: outcome == Outcome::Done,
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
        self.open_requests
            .push_back(Request::Call { call, parts: messages.iter().map(|c| c.part).collect() });
        vec![(start, stream.position()); messages.len()]
    }

    fn probe(&mut self, _: Micros, stream: &mut Stream) {
        write_request(
            "GET",
            &self.probe_path,
            &self.host,
            &[("user-agent", &self.user_agent)],
            b"",
            &mut stream.out,
        );
        self.open_requests.push_back(Request::Probe);
    }

    fn receive(&mut self, _: Micros, bytes: &[u8], _: &mut Stream, events: &mut Vec<LinkEvent>) {
        self.reader.push(bytes);
        self.handle_responses(events);
        // The beginning of a second copy would be taken, together with its rest, for the answer to the next
        // call.
        if !self.closed && self.open_requests.is_empty() && self.reader.has_partial_message() {
            self.closed = true;
            events.push(LinkEvent::Unusable("received bytes without an open request"));
        }
    }

    fn ended(&mut self, _: Micros, events: &mut Vec<LinkEvent>) {
        self.reader.end();
        self.handle_responses(events);
        if !self.closed {
            self.closed = true;
            events.push(LinkEvent::Unusable("closed by the receiver"));
        }
    }

    fn forget(&mut self, call: u64, part: usize, unsent: bool) {
        let is_call = |request: &Request| matches!(request, Request::Call { call: c, .. } if *c == call);
        if unsent {
            self.open_requests.retain(|request| !is_call(request));
        } else if let Some(Request::Call { parts, .. }) =
            self.open_requests.iter_mut().find(|request| is_call(request))
        {
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

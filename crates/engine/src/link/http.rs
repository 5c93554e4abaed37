//! Receivers that speak HTTP/1.1. A call is a POST; a 2xx status means done; 429 and 503 mean that the
//! receiver rejected the call without processing it, and may announce a wait (Retry-After, in seconds). The
//! RateLimit fields are the limit report, and a GET of the probe path is the probe. Guarded messages carry an
//! Idempotency-Key. A call of several messages has a protobuf body (`heronroute_http::Batch`).

use super::{Cargo, Link, LinkEvent, Reply};
use crate::Micros;
use crate::stream::Stream;
use heronroute::{Outcome, Report};
use heronroute_config::KindConfig;
use heronroute_http::prost::Message as _;
use heronroute_http::{BATCH_TYPE, Batch, Item, Message, Reader, Side, write_request};
use std::collections::VecDeque;

const MOST_BODY: usize = 1 << 20;

#[derive(Debug)]
enum Asked {
    Call { call: u64, parts: Vec<usize> },
    Probe,
}

#[derive(Debug)]
pub struct HttpLink {
    reader: Reader,
    host: String,
    agent: String,
    path: String,
    probe_path: String,
    batches: bool,
    /// Requests without a response, in the order in which they were sent. Responses arrive in the same order.
    asked: VecDeque<Asked>,
    over: bool,
}

impl HttpLink {
    pub fn new(kind: &KindConfig, host: String, sender: usize) -> Self {
        HttpLink {
            reader: Reader::new(Side::Responses, MOST_BODY),
            host,
            agent: format!("heronroute (sender-{sender})"),
            path: kind.path.clone(),
            probe_path: kind.probe_path.clone(),
            batches: kind.batch > 1,
            asked: VecDeque::new(),
            over: false,
        }
    }

    fn pass_on(&mut self, events: &mut Vec<LinkEvent>) {
        while !self.over {
            match self.reader.next_message() {
                Ok(Some(m)) if (100..200).contains(&m.status()) => {}
                Ok(Some(m)) => self.take(&m, events),
                Ok(None) => break,
                Err(e) => {
                    self.over = true;
                    events.push(LinkEvent::Over(e.0));
                }
            }
        }
    }

    fn take(&mut self, m: &Message, events: &mut Vec<LinkEvent>) {
        let reply = reply(m);
        match self.asked.pop_front() {
            Some(Asked::Call { call, parts }) => {
                for part in parts {
                    events.push(LinkEvent::Answered { call, part, reply });
                }
            }
            Some(Asked::Probe) => events.push(LinkEvent::Probed(reply)),
            None => {
                // There is no open request, so it is unknown which request the next response would belong to.
                self.over = true;
                return events.push(LinkEvent::Over("a response that nobody asked for"));
            }
        }
        if m.last {
            self.over = true;
            events.push(LinkEvent::Over("the receiver closes"));
        }
    }
}

fn reply(m: &Message) -> Reply {
    let outcome = match m.status() {
        200..300 => Outcome::Done,
        429 | 503 => Outcome::Busy,
        _ => Outcome::Error,
    };
    let wait = m.retry_after().map_or(0, |s| (s * 1e6) as Micros);
    Reply {
        outcome,
        wait: if outcome == Outcome::Busy { wait } else { 0 },
        over: outcome == Outcome::Done,
        report: report(m),
    }
}

/// Reads `RateLimit-Limit`, `RateLimit-Remaining` and the window of `RateLimit-Policy` (`100;w=1`).
fn report(m: &Message) -> Option<Report> {
    let figure = |name: &str| {
        let value = m.field(name)?.split([',', ';']).next()?.trim().parse::<f64>().ok()?;
        (value.is_finite() && value >= 0.0).then_some(value)
    };
    let limit = figure("ratelimit-limit").or_else(|| figure("ratelimit-policy"));
    let left = figure("ratelimit-remaining");
    let window = m.field("ratelimit-policy").and_then(|p| {
        let w = p.split(';').find_map(|part| part.trim().strip_prefix("w="))?;
        w.trim().parse::<f64>().ok().filter(|w| *w > 0.0)
    });
    let share = left.zip(limit).filter(|(_, limit)| *limit > 0.0).map(|(left, limit)| left / limit);
    let rate = limit.zip(window).map(|(limit, window)| limit / window);
    (share.is_some() || rate.is_some()).then_some(Report { left: share, limit: rate })
}

impl Link for HttpLink {
    fn open(&mut self, _: Micros, _: &mut Stream, events: &mut Vec<LinkEvent>) {
        events.push(LinkEvent::Ready);
    }

    fn send(&mut self, _: Micros, call: u64, cargo: &[Cargo<'_>], stream: &mut Stream) -> Vec<(u64, u64)> {
        let from = stream.position();
        if self.batches || cargo.len() != 1 {
            let item = |c: &Cargo<'_>| Item {
                id: c.id.clone(),
                class: c.class.to_string(),
                source: c.submission.source.clone(),
                destination: c.submission.destination.clone(),
                key: c.submission.key.clone().unwrap_or_default(),
                body: c.submission.body.clone(),
            };
            let body = Batch { message: cargo.iter().map(item).collect() }.encode_to_vec();
            let fields = [("content-type", BATCH_TYPE), ("user-agent", &self.agent)];
            write_request("POST", &self.path, &self.host, &fields, &body, &mut stream.out);
        } else {
            let c = &cargo[0];
            let s = c.submission;
            let mut fields = vec![
                ("user-agent", self.agent.as_str()),
                ("content-type", "application/octet-stream"),
                ("message-id", &c.id),
                ("message-class", c.class),
                ("source-address", &s.source),
                ("destination-address", &s.destination),
            ];
            if let Some(key) = &s.key {
                fields.push(("message-key", key));
            }
            if c.guarded {
                fields.push(("idempotency-key", &c.id));
            }
            write_request("POST", &self.path, &self.host, &fields, &s.body, &mut stream.out);
        }
        self.asked.push_back(Asked::Call { call, parts: cargo.iter().map(|c| c.part).collect() });
        vec![(from, stream.position()); cargo.len()]
    }

    fn probe(&mut self, _: Micros, stream: &mut Stream) {
        write_request(
            "GET",
            &self.probe_path,
            &self.host,
            &[("user-agent", &self.agent)],
            b"",
            &mut stream.out,
        );
        self.asked.push_back(Asked::Probe);
    }

    fn receive(&mut self, _: Micros, octets: &[u8], _: &mut Stream, events: &mut Vec<LinkEvent>) {
        self.reader.push(octets);
        self.pass_on(events);
        // The beginning of a second copy would be taken, together with its rest, for the answer to the next
        // call.
        if !self.over && self.asked.is_empty() && self.reader.begun() {
            self.over = true;
            events.push(LinkEvent::Over("octets that nobody asked for"));
        }
    }

    fn ended(&mut self, _: Micros, events: &mut Vec<LinkEvent>) {
        self.reader.end();
        self.pass_on(events);
        if !self.over {
            self.over = true;
            events.push(LinkEvent::Over("closed by the receiver"));
        }
    }

    fn forget(&mut self, call: u64, part: usize, unsent: bool) {
        let mine = |a: &Asked| matches!(a, Asked::Call { call: c, .. } if *c == call);
        if unsent {
            self.asked.retain(|a| !mine(a));
        } else if let Some(Asked::Call { parts, .. }) = self.asked.iter_mut().find(|a| mine(a)) {
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

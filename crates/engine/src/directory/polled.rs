//! A client that fetches the directory by HTTP long polling: `GET /endpoints?since=VERSION&wait=MS` returns a
//! listing (protobuf text), at once if something has changed since that version, and otherwise when it does
//! or when the wait is over (204).
//!
//! It performs no I/O. Where the directory pushes changes, the sender follows it from the start; where it
//! must be polled, it is polled only when the decision library asks. If a directory fails, nothing else
//! changes: the last list stays in use.

use super::{ConnectionAction, Directory, DirectoryEvent};
use crate::Micros;
use crate::stream::Stream;
use heronroute_config::{EndpointConfig, Listing, parse_listing, raw, write_listing};
use heronroute_http::{Reader, Side, write_request};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const MAX_LIST_BYTES: usize = 16 << 20;
/// The first delay after a failure. It doubles up to the maximum.
const FIRST_RETRY_DELAY: Micros = 250_000;
const MAX_RETRY_DELAY: Micros = 8_000_000;
/// How long after its own wait time an unanswered poll counts as failed.
const RESPONSE_TIMEOUT: Micros = 5_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No request is due.
    Idle,
    /// A request is due at this time.
    Due(Micros),
    /// A connection is being established, until this time.
    Connecting(Micros),
    /// A poll is waiting for its response, until this time.
    Polling(Micros),
    /// Connected, without an open request.
    Connected,
}

/// A long-polling client of a directory, with the current list.
#[derive(Debug)]
pub struct Polled {
    address: Option<SocketAddr>,
    poll_wait: Micros,
    follow: bool,
    state: State,
    reader: Reader,
    backoff: Micros,
    version: u64,
    /// The current list, stored for the next start.
    endpoints: BTreeMap<String, EndpointConfig>,
}

impl Polled {
    /// Creates a client. If `follow` is set, it polls from the start and again after each response and
    /// failure.
    pub fn new(now: Micros, address: Option<SocketAddr>, poll_wait: Micros, follow: bool) -> Self {
        Polled {
            address,
            poll_wait,
            follow,
            state: if follow && address.is_some() { State::Due(now) } else { State::Idle },
            reader: Reader::new(Side::Responses, MAX_LIST_BYTES),
            backoff: FIRST_RETRY_DELAY,
            version: 0,
            endpoints: BTreeMap::new(),
        }
    }

    fn merge(&mut self, listing: &Listing) {
        if listing.whole {
            self.endpoints.clear();
        }
        for e in &listing.endpoints {
            if e.status == heronroute::Status::Removed {
                self.endpoints.remove(&e.name);
            } else {
                self.endpoints.insert(e.name.clone(), e.clone());
            }
        }
        self.version = listing.version;
    }

    fn send_poll(&mut self, now: Micros, stream: &mut Stream) {
        let target = format!("/endpoints?since={}&wait={}", self.version, self.poll_wait / 1_000);
        write_request("GET", &target, "directory", &[], b"", &mut stream.out);
        self.state = State::Polling(now + self.poll_wait + RESPONSE_TIMEOUT);
    }

    /// Reports a failure. A client that follows the directory retries after a delay that doubles, so that its
    /// requests do not keep an overloaded directory down.
    fn handle_failure(&mut self, now: Micros, why: &str, events: &mut Vec<DirectoryEvent>) {
        self.state = if self.follow { State::Due(now + self.backoff) } else { State::Idle };
        self.backoff = (self.backoff * 2).min(MAX_RETRY_DELAY);
        events.push(DirectoryEvent::Failed(why.to_string()));
    }
}

impl Directory for Polled {
    fn subscribe(&mut self, now: Micros) -> bool {
        match self.state {
            State::Idle | State::Due(_) if self.address.is_some() => self.state = State::Due(now),
            State::Idle => return false,
            _ => {}
        }
        true
    }

    /// Starts with a stored list. It counts as version 0, so that the first response is the whole list.
    fn known(&mut self, listing: &Listing) {
        self.merge(listing);
        self.version = 0;
    }

    fn text(&self) -> Option<String> {
        let status = |s| match s {
            heronroute::Status::Up => "up",
            heronroute::Status::Draining => "draining",
            heronroute::Status::Removed => "removed",
        };
        let row = |e: &EndpointConfig| raw::Endpoint {
            name: e.name.clone(),
            address: e.address.to_string(),
            destination: e.destination as u32,
            kind: e.kind.clone(),
            zone: e.zone.clone(),
            weight: e.weight.unwrap_or(0.0),
            status: status(e.status).to_string(),
        };
        let endpoint = self.endpoints.values().map(row).collect();
        Some(write_listing(&raw::Listing { version: self.version, whole: true, endpoint }))
    }

    fn wake(&self) -> Micros {
        match self.state {
            State::Due(at) | State::Connecting(at) | State::Polling(at) => at,
            State::Idle | State::Connected => Micros::MAX,
        }
    }

    /// Connects when a request is due, and gives up requests that took too long; their connection must then
    /// be dropped.
    fn tick(&mut self, now: Micros, events: &mut Vec<DirectoryEvent>) -> ConnectionAction {
        match (self.state, self.address) {
            (State::Due(at), Some(address)) if at <= now => {
                self.state = State::Connecting(now + RESPONSE_TIMEOUT);
                ConnectionAction::Connect(address)
            }
            (State::Connecting(at) | State::Polling(at), _) if at <= now => {
                self.handle_failure(now, "no response in time", events);
                ConnectionAction::Drop
            }
            _ => ConnectionAction::Nothing,
        }
    }

    fn connected(&mut self, now: Micros, stream: &mut Stream) {
        self.reader = Reader::new(Side::Responses, MAX_LIST_BYTES);
        self.send_poll(now, stream);
    }

    fn receive(
        &mut self,
        now: Micros,
        bytes: &[u8],
        stream: &mut Stream,
        events: &mut Vec<DirectoryEvent>,
    ) -> bool {
        self.reader.push(bytes);
        loop {
            let message = match self.reader.next_message() {
                Ok(Some(message)) => message,
                Ok(None) => return true,
                Err(e) => {
                    self.handle_failure(now, e.0, events);
                    return false;
                }
            };
            match message.status() {
                200 => {
                    let text = String::from_utf8_lossy(&message.body);
                    match parse_listing("directory", &text) {
                        Ok(listing) => {
                            self.merge(&listing);
                            events.push(DirectoryEvent::List(listing));
                        }
                        Err(e) => {
                            self.handle_failure(now, &e.to_string(), events);
                            return false;
                        }
                    }
                }
                204 => {}
                status => {
                    self.handle_failure(now, &format!("status {status}"), events);
                    return false;
                }
            }
            self.backoff = FIRST_RETRY_DELAY;
            if message.closes_connection {
                self.state = State::Due(now);
                return false;
            }
            self.state = State::Connected;
            self.send_poll(now, stream);
        }
    }

    fn ended(&mut self, now: Micros, events: &mut Vec<DirectoryEvent>) {
        if !matches!(self.state, State::Idle | State::Due(_)) {
            self.handle_failure(now, "the connection failed", events);
        }
    }

    fn moved(&mut self, now: Micros, address: SocketAddr) {
        (self.address, self.state) = (Some(address), State::Due(now));
    }
}

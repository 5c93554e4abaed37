//! A client of the platform's discovery: a long-lived watch that receives changes.
//!
//! The discovery agent responds at once. Changes count as reported after 6 s even if it can't deliver them.
//! So a watch without a sign of life (a complete line, which may be empty, or a complete list, but no other
//! bytes) is dropped and opened again, whatever the cause, and the waits in a row stay below 6 s:
//! [`SILENCE_TIMEOUT`], then an attempt with each timeout ([`SHORT_TIMEOUT`], [`LONG_TIMEOUT`]), with the
//! delays between them. While discovery is down, the agent sends nothing, and the last list stays in use.

use super::listing::listing;
use super::versions::{ListRequest, Versions};
use super::{ConnectionAction, Directory, DirectoryEvent};
use crate::Micros;
use crate::stream::Stream;
use heronroute_config::Listing;
use heronroute_http::{Reader, Side};
use heronroute_platform::catalog::List;
use heronroute_platform::watch::{self, Watch, WatchError, WatchEvent};
use std::net::SocketAddr;

/// The delay before the next attempt after a first failure. It doubles up to the maximum.
const FIRST_RETRY_DELAY: Micros = 60_000;
/// The maximum delay. With longer delays, attempts would be too late for changes that discovery reports.
/// While discovery refuses connections there are 2.5 attempts a second, and five in the first second.
const MAX_RETRY_DELAY: Micros = 400_000;
/// The minimum duration of a stable watch. After shorter watches the delay grows up to twice the first one,
/// so that an agent that repeatedly sends its list and closes gets at most nine attempts a second.
const STABLE_AFTER: Micros = 1_000_000;
/// The timeout of an attempt, from the connect to the first sign of life: the agent responds at once.
const SHORT_TIMEOUT: Micros = 600_000;
/// The timeout of an attempt after one that received a response head but nothing complete in time. An agent
/// that starts with the empty line it owes every 2 s, or a slow list, would otherwise never get through.
const LONG_TIMEOUT: Micros = 2_200_000;
/// The maximum time without a sign of life. An empty line arrives every 2 s while nothing changes. On a watch
/// that has gone silent for good, a drain would be noticed too late.
const SILENCE_TIMEOUT: Micros = 2_600_000;
/// The maximum time from the first to the last byte of a list, against a list that trickles in.
const LIST_TIMEOUT: Micros = 1_000_000;

#[derive(Clone, Copy, Debug)]
enum State {
    Due(Micros),
    Connecting {
        until: Micros,
    },
    /// The request was sent, and no sign of life has arrived yet.
    Asked {
        until: Micros,
        since: Micros,
        answered: bool,
    },
    /// The watch is established. `begun` is the time at which an incomplete list began.
    Open {
        since: Micros,
        sign: Micros,
        begun: Option<Micros>,
    },
}

#[derive(Debug)]
enum Request {
    /// A request for the whole list. A watch follows it on the same connection.
    Whole(Reader),
    Watch(Watch),
}

/// A client that watches the platform's list.
#[derive(Debug)]
pub struct Watched {
    address: SocketAddr,
    state: State,
    backoff: Micros,
    /// Whether the next attempt gets the longer timeout.
    use_long_timeout: bool,
    versions: Versions,
    request: Request,
    /// The maximum size of a list, in bytes.
    max_list_bytes: usize,
}

impl Watched {
    /// Creates a client that connects at once, and reads lists of up to `max_list_bytes`.
    pub fn new(now: Micros, address: SocketAddr, max_list_bytes: usize) -> Self {
        Watched {
            address,
            state: State::Due(now),
            backoff: FIRST_RETRY_DELAY,
            use_long_timeout: false,
            versions: Versions::default(),
            request: Request::Watch(Watch::new(max_list_bytes)),
            max_list_bytes,
        }
    }

    fn apply_list(&mut self, now: Micros, list: &List, events: &mut Vec<DirectoryEvent>) {
        if self.versions.accept(now, list) {
            events.push(DirectoryEvent::List(listing(list)));
        }
    }

    fn record_sign_of_life(&mut self, now: Micros) {
        let since = match self.state {
            State::Asked { since, .. } | State::Open { since, .. } => since,
            State::Due(_) | State::Connecting { .. } => now,
        };
        self.state = State::Open { since, sign: now, begun: None };
        self.use_long_timeout = false;
        let max_backoff = if now - since >= STABLE_AFTER { FIRST_RETRY_DELAY } else { 2 * FIRST_RETRY_DELAY };
        self.backoff = self.backoff.min(max_backoff);
    }

    fn handle_watch_event(&mut self, now: Micros, event: WatchEvent, events: &mut Vec<DirectoryEvent>) {
        match event {
            WatchEvent::Head => {
                if let State::Asked { answered, .. } = &mut self.state {
                    *answered = true;
                }
            }
            WatchEvent::EndOfLine => self.record_sign_of_life(now),
            WatchEvent::List(list) => {
                self.record_sign_of_life(now);
                self.apply_list(now, &list, events);
            }
        }
    }

    fn start_watch(&mut self, now: Micros, version: u64, stream: &mut Stream) {
        tracing::debug!(now, version, "starting a watch on the list");
        self.request = Request::Watch(Watch::new(self.max_list_bytes));
        watch::write_watch_request(version, &self.address.to_string(), &mut stream.out);
    }

    /// Returns false if the watch has ended.
    fn receive_watch(&mut self, now: Micros, bytes: &[u8], events: &mut Vec<DirectoryEvent>) -> bool {
        let Request::Watch(watch) = &mut self.request else { return true };
        let mut watch_events = Vec::new();
        let result = watch.receive(bytes, &mut watch_events);
        let has_begun_list = watch.has_begun_list();
        watch_events.into_iter().for_each(|event| self.handle_watch_event(now, event, events));
        if let Err(over) = result {
            tracing::warn!(%over, "the watch on the list ended");
            if matches!(over, WatchError::InvalidList(_)) {
                self.versions.record_unreadable(now);
            }
            return false;
        }
        if let State::Open { begun, .. } = &mut self.state {
            *begun = has_begun_list.then(|| begun.unwrap_or(now));
        }
        true
    }

    /// Handles received bytes of a whole list. Returns false if it can't be read.
    fn receive_whole_list(
        &mut self,
        now: Micros,
        bytes: &[u8],
        stream: &mut Stream,
        events: &mut Vec<DirectoryEvent>,
    ) -> bool {
        let Request::Whole(reader) = &mut self.request else { return true };
        reader.push(bytes);
        let message = match reader.next_message() {
            Ok(None) => return true,
            Ok(Some(message)) => message,
            Err(e) => {
                tracing::warn!(why = e.0, "the whole list can't be read");
                return false;
            }
        };
        let list = match List::read(&message.body) {
            Ok(list) if message.status() == 200 => list,
            Ok(_) => {
                tracing::warn!(status = message.status(), "discovery did not return the whole list");
                return false;
            }
            Err(why) => {
                tracing::warn!(status = message.status(), %why, "the whole list can't be read");
                return false;
            }
        };
        self.versions.whole_list_received();
        self.apply_list(now, &list, events);
        self.start_watch(now, self.versions.current(), stream);
        !message.closes_connection
    }

    /// Handles a missing sign of life, or another request that has become due.
    fn handle_timeout(&mut self, now: Micros) {
        if let State::Asked { answered, .. } = self.state {
            self.use_long_timeout = answered && !self.use_long_timeout;
        }
        // The attempt has already taken its time, so the delay does not grow. When a silent discovery
        // returns, an attempt is then nearly always under way, at 1.5 a second.
        self.schedule_retry(now, FIRST_RETRY_DELAY);
    }

    fn retry_with_backoff(&mut self, now: Micros) {
        if !matches!(self.state, State::Due(_)) {
            self.schedule_retry(now, self.backoff);
            self.backoff = (self.backoff * 2).min(MAX_RETRY_DELAY);
        }
    }

    fn schedule_retry(&mut self, now: Micros, wait: Micros) {
        if !matches!(self.state, State::Due(_)) {
            if matches!(self.request, Request::Whole(_)) {
                self.versions.whole_list_failed(now);
            }
            self.state = State::Due(now + wait);
        }
    }
}

impl Directory for Watched {
    fn known(&mut self, listing: &Listing) {
        self.versions.restore(listing.version);
    }

    fn subscribe(&mut self, _: Micros) -> bool {
        true
    }

    fn text(&self) -> Option<String> {
        None
    }

    fn moved(&mut self, now: Micros, address: SocketAddr) {
        (self.address, self.state, self.backoff) = (address, State::Due(now), FIRST_RETRY_DELAY);
        self.use_long_timeout = false;
    }

    fn wake(&self) -> Micros {
        match self.state {
            State::Due(at) => at,
            State::Connecting { until } | State::Asked { until, .. } => until,
            State::Open { sign, begun, .. } => {
                let list_deadline = begun.map_or(Micros::MAX, |at| at + LIST_TIMEOUT);
                (sign + SILENCE_TIMEOUT).min(list_deadline).min(self.versions.next_request_at())
            }
        }
    }

    fn tick(&mut self, now: Micros, _: &mut Vec<DirectoryEvent>) -> ConnectionAction {
        if now < self.wake() {
            return ConnectionAction::Nothing;
        }
        match self.state {
            State::Due(_) => {
                let timeout = if self.use_long_timeout { LONG_TIMEOUT } else { SHORT_TIMEOUT };
                self.state = State::Connecting { until: now + timeout };
                ConnectionAction::Connect(self.address)
            }
            State::Connecting { .. } | State::Asked { .. } | State::Open { .. } => {
                tracing::debug!(now, state = ?self.state, "giving up the watch on the list");
                self.handle_timeout(now);
                ConnectionAction::Drop
            }
        }
    }

    fn connected(&mut self, now: Micros, stream: &mut Stream) {
        // If no attempt is under way, the timeout of a new one applies.
        let until = match self.state {
            State::Connecting { until } => until,
            _ => now + SHORT_TIMEOUT,
        };
        self.state = State::Asked { until, since: now, answered: false };
        match self.versions.next_request(now) {
            ListRequest::Whole => {
                self.request = Request::Whole(Reader::new(Side::Responses, self.max_list_bytes));
                watch::write_list_request(&self.address.to_string(), &mut stream.out);
            }
            ListRequest::ChangesSince(version) => self.start_watch(now, version, stream),
        }
    }

    fn receive(
        &mut self,
        now: Micros,
        bytes: &[u8],
        stream: &mut Stream,
        events: &mut Vec<DirectoryEvent>,
    ) -> bool {
        tracing::debug!(now, octets = bytes.len(), "received bytes from discovery");
        let usable = match self.request {
            Request::Whole(_) => self.receive_whole_list(now, bytes, stream, events),
            Request::Watch(_) => self.receive_watch(now, bytes, events),
        };
        if !usable {
            self.retry_with_backoff(now);
        }
        usable
    }

    fn ended(&mut self, now: Micros, _: &mut Vec<DirectoryEvent>) {
        self.retry_with_backoff(now);
    }
}

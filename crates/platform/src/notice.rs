//! Notices, which report to the platform how an accepted message ended that was not delivered. Without I/O;
//! the clock is passed in.
//!
//! A notice is pending until the platform has answered with a 2xx status. Repeats are harmless, so notices
//! that are in flight when a connection breaks are sent again. Their number is bounded by the number of open
//! messages: a message stays open until its notice is acknowledged (see the engine).
//!
//! An answer names no request, and may be a second copy of an earlier one. So each request has a connection of
//! its own, whose only answer can belong to no other. The platform's address is on the same machine.

use bytes::BytesMut;
use heronroute::Micros;
use heronroute_http::{ParseError, Reader, Side, write_request};
use serde_json::json;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The maximum number of notices in one request.
const MAX_NOTICES_PER_REQUEST: usize = 200;
/// The timeout of a connection attempt and of an answer, in microseconds. The platform answers at once.
/// Guards against a message that counts as lost because the connection for its notice hung: a message's end
/// must be reported within 300 ms after its deadline, and two attempts may fail in that time.
const MIN_TIMEOUT: Micros = 100_000;
/// After failed attempts, the timeout is this many times the backoff, if that is longer than [`MIN_TIMEOUT`].
/// Guards against endless retries with a platform that is slower than that timeout.
const TIMEOUT_PER_BACKOFF: Micros = 5;
/// The delay after the first failed attempt, in microseconds. It doubles with each further one.
const MIN_BACKOFF: Micros = 10_000;
/// The maximum delay between attempts, in microseconds.
const MAX_BACKOFF: Micros = 200_000;

/// The delay after an acknowledged request, in microseconds. It bounds the number of connections.
const REQUEST_INTERVAL: Micros = 5_000;

/// How an undelivered message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UndeliveredEnd {
    /// The message failed.
    Failed,
    /// The message is returned: the client may safely submit it again after this wait.
    Returned(Micros),
}

/// Converts a wait to whole milliseconds, rounded up, as it is sent to clients and to the platform. Returns
/// `None` if it is 0.
pub fn wait_ms(wait: Micros) -> Option<i64> {
    (wait > 0).then_some((wait + 999) / 1_000)
}

/// Returns the JSON line of a notice.
fn notice_line(id: &str, end: UndeliveredEnd) -> String {
    let mut fields = json!({"id": id, "state": "failed"});
    if let UndeliveredEnd::Returned(wait) = end {
        fields["state"] = json!("returned");
        if let Some(ms) = wait_ms(wait) {
            fields["after_ms"] = json!(ms);
        }
    }
    format!("{fields}\n")
}

/// The state of the connection for notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// There is no connection, and no attempt before this time.
    Disconnected(Micros),
    /// A connection is being opened, with this deadline.
    Connecting(Micros),
    /// The connection is open, and no request is in flight.
    Idle,
    /// A request is in flight, and its answer is due by this time.
    AwaitingAnswer(Micros),
}

/// The pending notices and their connection. `N` identifies a message within the sender.
#[derive(Debug)]
pub struct Notices<N> {
    address: SocketAddr,
    /// Notices that are not sent yet.
    waiting: VecDeque<(N, String)>,
    /// Notices in the request in flight.
    in_flight: VecDeque<(N, String)>,
    state: State,
    backoff: Micros,
    reader: Reader,
}

/// The action that the caller must take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeAction {
    /// No action.
    Nothing,
    /// Open a connection to this address.
    Connect(SocketAddr),
    /// Close the connection.
    Drop,
}

/// Why a connection for notices can't be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoticeError {
    /// The platform refused notices, or sent an answer without a request.
    #[error("notices were answered {0}")]
    Status(u16),
    /// The platform answered before the request was sent.
    #[error("notices were answered before they were sent")]
    Premature,
    /// The answer can't be read.
    #[error(transparent)]
    Parse(#[from] ParseError),
}

impl<N> Notices<N> {
    /// Creates a queue without notices for the platform at this address.
    pub fn new(address: SocketAddr) -> Self {
        Notices {
            address,
            waiting: VecDeque::new(),
            in_flight: VecDeque::new(),
            state: State::Disconnected(0),
            backoff: MIN_BACKOFF,
            reader: Reader::new(Side::Responses, 4_096),
        }
    }

    /// Returns the number of notices that are not acknowledged yet.
    pub fn pending_count(&self) -> usize {
        self.waiting.len() + self.in_flight.len()
    }

    /// Adds a notice.
    pub fn add(&mut self, message: N, id: &str, end: UndeliveredEnd) {
        self.waiting.push_back((message, notice_line(id, end)));
    }

    /// Changes the platform's address. The caller closes the current connection, if there is one. Guards
    /// against sending notices to an address that is about to close.
    pub fn moved(&mut self, now: Micros, address: SocketAddr) {
        self.address = address;
        self.ended(now);
        (self.state, self.backoff) = (State::Disconnected(now), MIN_BACKOFF);
    }

    /// Returns the time at which [`Notices::tick`] must be called next.
    pub fn wake(&self) -> Micros {
        match self.state {
            State::Disconnected(at) if self.pending_count() > 0 => at,
            State::Connecting(at) | State::AwaitingAnswer(at) => at,
            State::Idle if !self.waiting.is_empty() => 0,
            _ => Micros::MAX,
        }
    }

    /// Handles timeouts, and sends pending notices.
    pub fn tick(&mut self, now: Micros, out: &mut BytesMut) -> NoticeAction {
        match self.state {
            State::Disconnected(at) if at <= now && self.pending_count() > 0 => {
                self.state = State::Connecting(now + self.timeout());
                NoticeAction::Connect(self.address)
            }
            State::Connecting(at) | State::AwaitingAnswer(at) if at <= now => {
                self.ended(now);
                NoticeAction::Drop
            }
            State::Idle => {
                self.write(now, out);
                NoticeAction::Nothing
            }
            _ => NoticeAction::Nothing,
        }
    }

    /// Handles an established connection.
    pub fn connected(&mut self, now: Micros, out: &mut BytesMut) {
        self.reader = Reader::new(Side::Responses, 4_096);
        self.state = State::Idle;
        self.write(now, out);
    }

    /// Returns the current timeout of a connection attempt and of an answer.
    fn timeout(&self) -> Micros {
        MIN_TIMEOUT.max(TIMEOUT_PER_BACKOFF * self.backoff)
    }

    /// Sends the next request, if notices are waiting.
    fn write(&mut self, now: Micros, out: &mut BytesMut) {
        let count = self.waiting.len().min(MAX_NOTICES_PER_REQUEST);
        if count == 0 {
            return;
        }
        self.in_flight.extend(self.waiting.drain(..count));
        let body: String = self.in_flight.iter().map(|(_, line)| line.as_str()).collect();
        let host = self.address.to_string();
        write_request(
            "POST",
            "/v1/outcomes",
            &host,
            &[("content-type", "application/json")],
            body.as_bytes(),
            out,
        );
        self.state = State::AwaitingAnswer(now + self.timeout());
    }

    /// Processes received bytes, and returns the messages whose notices were acknowledged. The connection is of
    /// no more use then, and the caller closes it. `out` is what was not sent of the request.
    ///
    /// # Errors
    /// If the connection can't be used any more.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], out: &BytesMut) -> Result<Vec<N>, NoticeError> {
        self.reader.push(bytes);
        loop {
            match self.reader.next_message()? {
                None => return Ok(Vec::new()),
                Some(answer) if (100..200).contains(&answer.status()) => {}
                Some(answer) if (200..300).contains(&answer.status()) => {
                    return self.acknowledge(now, answer.status(), out);
                }
                Some(answer) => return Err(NoticeError::Status(answer.status())),
            }
        }
    }

    fn acknowledge(&mut self, now: Micros, status: u16, out: &BytesMut) -> Result<Vec<N>, NoticeError> {
        if !matches!(self.state, State::AwaitingAnswer(_)) {
            return Err(NoticeError::Status(status));
        }
        if !out.is_empty() {
            return Err(NoticeError::Premature);
        }
        self.state = State::Disconnected(now + REQUEST_INTERVAL);
        self.backoff = MIN_BACKOFF;
        Ok(self.in_flight.drain(..).map(|(message, _)| message).collect())
    }

    /// Returns whether there is no connection.
    pub fn is_disconnected(&self) -> bool {
        matches!(self.state, State::Disconnected(_))
    }

    /// Handles the loss of the connection: notices in flight are pending again.
    pub fn ended(&mut self, now: Micros) {
        while let Some(notice) = self.in_flight.pop_back() {
            self.waiting.push_front(notice);
        }
        if !self.is_disconnected() {
            self.state = State::Disconnected(now + self.backoff);
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Returns the reply to a client whose message was refused at once.
pub fn busy_reply(wait: Micros) -> String {
    wait_ms(wait).map_or("BUSY".to_string(), |ms| format!("BUSY {ms}"))
}

//! The front for platform clients: RESP2, one message per `OUT.ADD`, answered in the order of the requests.
//!
//! Guards against clients that send malformed commands, half a command, or nothing: each receives an error
//! line or its connection is closed within [`REQUEST_TIMEOUT`].
//!
//! Also guards against a client that pipelines hundreds of commands: at most [`MAX_PIPELINED`] are unanswered
//! at a time.

use super::{AdmittedSession, ClientRequest, Delivery, Denied, Front, RejectReason};
use crate::Micros;
use crate::outbox::OwedAnswer;
use bytes::BytesMut;
use heronroute_platform::add::{self, Add};
use heronroute_platform::notice::busy_reply;
use heronroute_resp::{Command, Limits, Reader, write_error, write_simple_string};
use heronroute_smpp::receipt::Answer;
use rusmpp_core::values::MessageState;
use std::collections::VecDeque;

/// Room for a body of 64 KiB and the arguments before it.
const LIMITS: Limits = Limits { args: 8, bytes: 66 * 1024 };
/// The most requests of a connection that are processed before the first is answered.
const MAX_PIPELINED: usize = 32;
/// The time within which a first request, or the rest of a request that has begun, has to arrive.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// The time after which a connection without requests is closed.
const IDLE_TIMEOUT: Micros = 8_000_000;
/// The time within which the rest of a request that has begun has to arrive while the sender shuts down. It
/// is shorter than the time that the sender waits for its last calls.
const SHUTDOWN_TIMEOUT: Micros = 400_000;

/// The connection of a platform client.
#[derive(Debug)]
pub struct RespFront {
    reader: Reader,
    /// Requests whose reply was not written yet, in order, each with its reply once there is one.
    replies: VecDeque<Option<BytesMut>>,
    /// The token of the first of these requests.
    first_token: u32,
    /// When the last request was completed, or the next one began.
    last_activity: Micros,
    /// Whether a complete request has been processed.
    served: bool,
    /// Processing stopped at [`MAX_PIPELINED`]: more complete requests may be buffered.
    batch_limited: bool,
    /// Nothing more is read; the connection ends once all requests are answered.
    closing: bool,
    /// Set while the sender shuts down: the connection ends once it is idle, or at this time.
    shutdown_deadline: Option<Micros>,
}

impl RespFront {
    /// Creates the front for a new connection.
    pub fn new(now: Micros) -> Self {
        let (reader, replies) = (Reader::new(LIMITS), VecDeque::new());
        RespFront {
            reader,
            replies,
            first_token: 0,
            last_activity: now,
            served: false,
            batch_limited: false,
            closing: false,
            shutdown_deadline: None,
        }
    }

    /// Processes buffered requests, as far as there is room, and writes the replies that are ready.
    fn process_commands(&mut self, now: Micros, out: &mut BytesMut, requests: &mut Vec<ClientRequest>) {
        self.batch_limited = true;
        while !self.closing && self.replies.len() < MAX_PIPELINED {
            match self.reader.next_command() {
                Ok(Some(command)) => {
                    self.served = true;
                    self.last_activity = now;
                    self.handle_command(command, requests);
                }
                Ok(None) => {
                    self.batch_limited = false;
                    break;
                }
                Err(e) => {
                    self.queue_reply(|out| write_error(&format!("ERR {}", e.0), out));
                    self.closing = true;
                }
            }
        }
        if self.shutdown_deadline.is_some_and(|at| now >= at) {
            self.refuse_unfinished();
        }
        self.flush_replies(out);
        if self.is_finished() {
            self.closing = true;
            requests.push(ClientRequest::Over(None));
        }
    }

    /// Returns whether more complete requests may be buffered and there is room to process them. Guards
    /// against buffered requests that are never processed although all requests before them are answered.
    /// Nothing is processed once the connection is closing, which guards against a thread that wakes up in an
    /// endless loop.
    fn may_continue(&self) -> bool {
        self.batch_limited && !self.closing && self.replies.len() < MAX_PIPELINED
    }

    /// Returns whether no reply is owed on the connection and nothing more is read from it.
    fn is_finished(&self) -> bool {
        self.replies.is_empty()
            && (self.closing || self.shutdown_deadline.is_some() && !self.reader.has_partial_command())
    }

    /// Refuses the request that has begun, as the sender can't wait for the rest of it. Guards against
    /// closing the connection without an answer while the request's last byte is in transit.
    fn refuse_unfinished(&mut self) {
        if !self.closing && self.reader.has_partial_command() {
            self.queue_reply(|out| write_error("BUSY", out));
        }
        self.closing = true;
    }

    fn handle_command(&mut self, mut command: Command, requests: &mut Vec<ClientRequest>) {
        let name = command.remove(0);
        if name.eq_ignore_ascii_case(add::NAME) {
            match Add::read(command) {
                Ok(add) => {
                    requests.push(ClientRequest::SubmitForTenant {
                        token: self.first_token + self.replies.len() as u32,
                        add: Box::new(add),
                    });
                    self.replies.push_back(None);
                }
                Err(e) => self.queue_reply(|out| write_error(&format!("ERR {e}"), out)),
            }
        } else if name.eq_ignore_ascii_case(b"PING") && command.is_empty() {
            self.queue_reply(|out| write_simple_string("PONG", out));
        } else {
            self.queue_reply(|out| write_error("ERR unknown command", out));
        }
    }

    /// Adds a request whose reply is known.
    fn queue_reply(&mut self, write: impl FnOnce(&mut BytesMut)) {
        let mut text = BytesMut::new();
        write(&mut text);
        self.replies.push_back(Some(text));
    }

    /// Writes the replies that are ready, in the order of the requests.
    fn flush_replies(&mut self, out: &mut BytesMut) {
        while let Some(Some(text)) = self.replies.front() {
            out.extend_from_slice(text);
            self.replies.pop_front();
            self.first_token = self.first_token.wrapping_add(1);
        }
    }

    /// Sets the reply to a request, and writes the replies that are ready. Returns false if the request is
    /// not open.
    fn write_reply(&mut self, token: u32, text: impl FnOnce(&mut BytesMut), out: &mut BytesMut) -> bool {
        let Some(reply) = self.replies.get_mut(token.wrapping_sub(self.first_token) as usize) else {
            return false;
        };
        let mut line = BytesMut::new();
        text(&mut line);
        *reply = Some(line);
        self.flush_replies(out);
        true
    }
}

impl Front for RespFront {
    fn receive(
        &mut self,
        now: Micros,
        _: Micros,
        bytes: &[u8],
        out: &mut BytesMut,
        requests: &mut Vec<ClientRequest>,
    ) {
        if !bytes.is_empty() && !self.reader.has_partial_command() {
            self.last_activity = now;
        }
        self.reader.push(bytes);
        self.process_commands(now, out, requests);
    }

    fn wake(&self) -> Micros {
        if self.is_finished() || self.may_continue() {
            return 0;
        }
        match (self.replies.is_empty(), self.shutdown_deadline) {
            // An answer is pending, and the front can do nothing until it comes.
            (false, _) => Micros::MAX,
            (true, Some(at)) => at,
            (true, None) if self.reader.has_partial_command() || !self.served => {
                self.last_activity + REQUEST_TIMEOUT
            }
            (true, None) => self.last_activity + IDLE_TIMEOUT,
        }
    }

    fn tick(&mut self, now: Micros, out: &mut BytesMut, requests: &mut Vec<ClientRequest>) {
        self.process_commands(now, out, requests);
        if self.replies.is_empty() && !self.closing && !self.may_continue() && now >= self.wake() {
            if self.reader.has_partial_command() {
                write_error("ERR a request that was not finished", out);
            }
            requests.push(ClientRequest::Over(None));
        }
    }

    fn admitted(&mut self, _: Micros, _: u32, _: Result<AdmittedSession, Denied>, _: &mut BytesMut) {}

    fn entered(&self) -> bool {
        false
    }

    fn receives(&self) -> bool {
        false
    }

    fn accepted(&mut self, token: u32, _: &str, out: &mut BytesMut) {
        self.write_reply(token, |out| write_simple_string("OK", out), out);
    }

    fn refused(&mut self, token: u32, reason: RejectReason, out: &mut BytesMut) {
        let text = match reason {
            RejectReason::NotEntered => "ERR unknown tenant",
            RejectReason::Class => "ERR unknown class",
            RejectReason::Address => "ERR unknown destination",
            RejectReason::Time => "ERR no time left",
            RejectReason::Message => "ERR the id is open already",
            RejectReason::TooLate => "ERR an idempotency key is wanted in this class",
            RejectReason::Rate | RejectReason::Share | RejectReason::Room | RejectReason::Unsure => "BUSY",
        };
        self.write_reply(token, |out| write_error(text, out), out);
    }

    fn answered(&mut self, token: u32, _: &str, answer: Answer, out: &mut BytesMut) -> bool {
        let text = match answer {
            Answer::Rejected { retry_after } => busy_reply(retry_after),
            _ => "ERR failed".to_string(),
        };
        self.write_reply(token, |out| write_error(&text, out), out)
    }

    fn queried(&mut self, _: u32, _: &str, _: MessageState, _: Option<Micros>, _: &mut BytesMut) {}

    fn withdrawn(&mut self, _: u32, _: &mut BytesMut) {}

    fn room(&self) -> usize {
        0
    }

    fn deliver(&mut self, _: Micros, _: &OwedAnswer, _: &mut BytesMut) -> Delivery {
        Delivery::NotSubscribed
    }

    fn leave(&mut self, now: Micros, out: &mut BytesMut, requests: &mut Vec<ClientRequest>) {
        self.shutdown_deadline.get_or_insert(now + SHUTDOWN_TIMEOUT);
        self.process_commands(now, out, requests);
    }

    fn listens(&self) -> bool {
        // While the sender shuts down, no further request is read: the client sends what was not read to
        // another sender.
        let may_read = self.shutdown_deadline.is_none() || self.reader.has_partial_command();
        !self.closing
            && may_read
            && self.replies.len() < MAX_PIPELINED
            && self.reader.buffered_bytes() < 2 * LIMITS.bytes
    }

    fn idle_since(&self) -> Option<Micros> {
        (self.replies.is_empty() && !self.reader.has_partial_command()).then_some(self.last_activity)
    }
}

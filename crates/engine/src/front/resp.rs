//! Clients of the platform: RESP2, one `OUT.ADD` a message, answered in the order of the requests.
//!
//! Guards against clients that send malformed commands, half a command, or nothing: each gets an error line or the end
//! of its connection within [`REQUEST_TIMEOUT`].
//!
//! Guards also against a client that pipelines hundreds of commands: at most [`MAX_PIPELINED`] are unanswered at a
//! time.

use super::{Ask, Delivery, Denied, Entered, Front, No};
use crate::Micros;
use crate::outbox::Owed;
use bytes::BytesMut;
use heronroute_platform::add::{self, Add};
use heronroute_platform::notice::busy;
use heronroute_resp::{Command, Limits, Reader, error, simple};
use heronroute_smpp::receipt::Answer;
use rusmpp_core::values::MessageState;
use std::collections::VecDeque;

/// A body of 64 KiB, and what stands before it.
const LIMITS: Limits = Limits { args: 8, octets: 66 * 1024 };
/// Requests of a connection that are processed before the first is answered, at most.
const MAX_PIPELINED: usize = 32;
/// A first request, and the rest of one that has begun, must come within this.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// A connection without a request is closed after this.
const IDLE_TIMEOUT: Micros = 8_000_000;
/// The rest of a request that has begun when the sender ends must come within this. Less than the sender waits for its
/// last calls.
const SHUTDOWN_TIMEOUT: Micros = 400_000;

/// One client's connection.
#[derive(Debug)]
pub struct RespFront {
    reader: Reader,
    /// Requests whose reply was not written yet, in order; with the reply once there is one.
    replies: VecDeque<Option<BytesMut>>,
    /// The token of the first of these requests.
    first_token: u32,
    /// When the last request was complete, or the next one began.
    last_activity: Micros,
    served: bool,
    /// Processing stopped at [`MAX_PIPELINED`]: complete requests may stand behind them.
    batch_limited: bool,
    /// Nothing more is read; the connection ends once all is answered.
    closing: bool,
    /// The sender shuts down: the connection ends once it rests, or at this time.
    shutdown_deadline: Option<Micros>,
}

impl RespFront {
    /// A new connection.
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

    fn process_commands(&mut self, now: Micros, out: &mut BytesMut, asks: &mut Vec<Ask>) {
        self.batch_limited = true;
        while !self.closing && self.replies.len() < MAX_PIPELINED {
            match self.reader.next_command() {
                Ok(Some(command)) => {
                    self.served = true;
                    self.last_activity = now;
                    self.command(command, asks);
                }
                Ok(None) => {
                    self.batch_limited = false;
                    break;
                }
                Err(e) => {
                    self.queue_reply(|out| error(&format!("ERR {}", e.0), out));
                    self.closing = true;
                }
            }
        }
        if self.shutdown_deadline.is_some_and(|at| now >= at) {
            self.refuse_unfinished();
        }
        self.flush_replies(out);
        if self.is_over() {
            self.closing = true;
            asks.push(Ask::Over(None));
        }
    }

    /// Whether complete requests may stand behind those that were processed, and there is room for them. Guards against
    /// a batch that waits although all requests before it are answered. Nothing is processed once the connection is
    /// being closed, which guards against a thread that wakes again without end.
    fn may_continue(&self) -> bool {
        self.batch_limited && !self.closing && self.replies.len() < MAX_PIPELINED
    }

    /// Nothing more is owed on the connection, and nothing more is read from it.
    fn is_over(&self) -> bool {
        self.replies.is_empty() && (self.closing || self.shutdown_deadline.is_some() && !self.reader.begun())
    }

    /// Refuses the request that has begun, as the sender can't wait for the rest of it. Guards against an end without
    /// an answer that crosses the request's last octet.
    fn refuse_unfinished(&mut self) {
        if !self.closing && self.reader.begun() {
            self.queue_reply(|out| error("BUSY", out));
        }
        self.closing = true;
    }

    fn command(&mut self, mut command: Command, asks: &mut Vec<Ask>) {
        let name = command.remove(0);
        if name.eq_ignore_ascii_case(add::NAME) {
            match Add::read(command) {
                Ok(add) => {
                    asks.push(Ask::HandIn {
                        token: self.first_token + self.replies.len() as u32,
                        add: Box::new(add),
                    });
                    self.replies.push_back(None);
                }
                Err(e) => self.queue_reply(|out| error(&format!("ERR {e}"), out)),
            }
        } else if name.eq_ignore_ascii_case(b"PING") && command.is_empty() {
            self.queue_reply(|out| simple("PONG", out));
        } else {
            self.queue_reply(|out| error("ERR unknown command", out));
        }
    }

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

    fn answer(&mut self, token: u32, text: impl FnOnce(&mut BytesMut), out: &mut BytesMut) -> bool {
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
    fn receive(&mut self, now: Micros, _: Micros, octets: &[u8], out: &mut BytesMut, asks: &mut Vec<Ask>) {
        if !octets.is_empty() && !self.reader.begun() {
            self.last_activity = now;
        }
        self.reader.push(octets);
        self.process_commands(now, out, asks);
    }

    fn wake(&self) -> Micros {
        if self.is_over() || self.may_continue() {
            return 0;
        }
        match (self.replies.is_empty(), self.shutdown_deadline) {
            // An answer is awaited, for which nothing can be done now.
            (false, _) => Micros::MAX,
            (true, Some(at)) => at,
            (true, None) if self.reader.begun() || !self.served => self.last_activity + REQUEST_TIMEOUT,
            (true, None) => self.last_activity + IDLE_TIMEOUT,
        }
    }

    fn tick(&mut self, now: Micros, out: &mut BytesMut, asks: &mut Vec<Ask>) {
        self.process_commands(now, out, asks);
        if self.replies.is_empty() && !self.closing && !self.may_continue() && now >= self.wake() {
            if self.reader.begun() {
                error("ERR a request that was not finished", out);
            }
            asks.push(Ask::Over(None));
        }
    }

    fn admitted(&mut self, _: Micros, _: u32, _: Result<Entered, Denied>, _: &mut BytesMut) {}

    fn entered(&self) -> bool {
        false
    }

    fn receives(&self) -> bool {
        false
    }

    fn accepted(&mut self, token: u32, _: &str, out: &mut BytesMut) {
        self.answer(token, |out| simple("OK", out), out);
    }

    fn refused(&mut self, token: u32, no: No, out: &mut BytesMut) {
        let text = match no {
            No::NotEntered => "ERR unknown tenant",
            No::Class => "ERR unknown class",
            No::Address => "ERR unknown destination",
            No::Time => "ERR no time left",
            No::Message => "ERR the id is open already",
            No::TooLate => "ERR an idempotency key is wanted in this class",
            No::Rate | No::Share | No::Room | No::Unsure => "BUSY",
        };
        self.answer(token, |out| error(text, out), out);
    }

    fn answered(&mut self, token: u32, _: &str, answer: Answer, out: &mut BytesMut) -> bool {
        let text = match answer {
            Answer::Rejected { retry_after } => busy(retry_after),
            _ => "ERR failed".to_string(),
        };
        self.answer(token, |out| error(&text, out), out)
    }

    fn queried(&mut self, _: u32, _: &str, _: MessageState, _: Option<Micros>, _: &mut BytesMut) {}

    fn withdrawn(&mut self, _: u32, _: &mut BytesMut) {}

    fn room(&self) -> usize {
        0
    }

    fn deliver(&mut self, _: Micros, _: &Owed, _: &mut BytesMut) -> Delivery {
        Delivery::Unwanted
    }

    fn leave(&mut self, now: Micros, out: &mut BytesMut, asks: &mut Vec<Ask>) {
        self.shutdown_deadline.get_or_insert(now + SHUTDOWN_TIMEOUT);
        self.process_commands(now, out, asks);
    }

    fn listens(&self) -> bool {
        // Of a sender that ends no further request is read: what has not been read is sent again elsewhere.
        let wanted = self.shutdown_deadline.is_none() || self.reader.begun();
        !self.closing
            && wanted
            && self.replies.len() < MAX_PIPELINED
            && self.reader.waiting() < 2 * LIMITS.octets
    }

    fn rests(&self) -> Option<Micros> {
        (self.replies.is_empty() && !self.reader.begun()).then_some(self.last_activity)
    }
}

//! The front for platform clients: RESP2, one message per `OUT.ADD`, answered in the order of the requests.
//!
//! Guards against clients that send malformed commands, half a command, or nothing: each receives an error
//! line or its connection is closed within [`REQUEST_TIMEOUT`]. Also guards against a client that pipelines hundreds of
//! commands: at most [`MAX_PIPELINED`] are unanswered at a time, and none is processed while
//! [`MAX_UNREAD_REPLY_BYTES`] of replies are unread. A large request for which there is no memory is discarded as it arrives, and refused; a small one always fits.

use super::reply_queue::ReplyQueue;
use super::resp_errors::{BUSY, NOT_READ, UNFINISHED, UNKNOWN_COMMAND, error_text};
use super::{AdmittedSession, ClientRequest, Delivery, Denied, Front, RejectReason};
use crate::Micros;
use crate::outbox::OwedAnswer;
use bytes::BytesMut;
use heronroute_platform::add::{self, Add};
use heronroute_platform::notice::busy_reply;
use heronroute_resp::{Command, Limits, Reader, Request, write_error, write_simple_string};
use heronroute_smpp::receipt::Answer;
use rusmpp_core::values::MessageState;

/// Room for a body of 64 KiB and the arguments before it.
const LIMITS: Limits = Limits { args: 8, bytes: 66 * 1024, always_kept: 2 * 1024 };
/// The most bytes read at once, unless the rest of a large argument is awaited.
const READ_BYTES: usize = 4 * 1024;
/// The most bytes of unread replies; no further requests are processed beyond.
const MAX_UNREAD_REPLY_BYTES: usize = 4 * 1024;
/// The memory that a connection takes whose client sends small requests, in bytes.
pub const SMALL_CLIENT_BYTES: usize = READ_BYTES + LIMITS.always_kept;
/// The most requests of a connection that are processed before the first is answered.
const MAX_PIPELINED: usize = 32;
/// The most requests of a connection that can't be read as commands of this protocol; its client speaks another one.
const MAX_UNREADABLE: usize = 256;
/// The time within which a first request, or the rest of one that has begun, has to arrive, and replies have to be read.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// The same while the sender shuts down: shorter than the time that the sender waits for its last calls.
const SHUTDOWN_TIMEOUT: Micros = 400_000;
/// The time after which a connection without requests is closed.
const IDLE_TIMEOUT: Micros = 8_000_000;
/// How long a client waits for its answer. It may have left where its request may have been unread for longer.
const CLIENT_PATIENCE: Micros = 400_000;

/// The connection of a platform client.
#[derive(Debug)]
pub struct RespFront {
    reader: Reader,
    replies: ReplyQueue,
    /// When the last request was completed, or the next one began.
    last_activity: Micros,
    /// Whether a complete request has been processed.
    served: bool,
    /// Processing stopped at [`MAX_PIPELINED`] or for unread replies: more complete requests may be buffered.
    batch_limited: bool,
    /// The number of requests that were no command of this protocol.
    unreadable: usize,
    /// The client has to read its replies first.
    output_full: bool,
    /// How many bytes the arguments of a further request may take.
    input_room: usize,
    /// Since when bytes have been unread all the time, if they have.
    unread_since: Option<Micros>,
    /// Nothing more is read; the connection ends once all requests are answered.
    closing: bool,
    /// While the sender shuts down: the connection ends once idle, or at this time.
    shutdown_deadline: Option<Micros>,
}

impl RespFront {
    /// Creates a front.
    pub fn new(now: Micros) -> Self {
        RespFront {
            reader: Reader::new(LIMITS),
            replies: ReplyQueue::default(),
            last_activity: now,
            served: false,
            batch_limited: false,
            unreadable: 0,
            output_full: false,
            input_room: usize::MAX,
            unread_since: None,
            closing: false,
            shutdown_deadline: None,
        }
    }

    /// Processes buffered requests, as far as there is room, and writes the replies that are ready.
    fn process_commands(&mut self, now: Micros, out: &mut BytesMut, requests: &mut Vec<ClientRequest>) {
        self.batch_limited = true;
        while !self.closing && self.replies.len() < MAX_PIPELINED && out.len() < MAX_UNREAD_REPLY_BYTES {
            match self.reader.next_command(self.input_room) {
                Ok(Some(request)) => {
                    self.served = true;
                    self.last_activity = now;
                    self.handle_request(now, request, requests);
                    self.replies.flush(out);
                }
                Ok(None) => {
                    self.batch_limited = false;
                    break;
                }
                Err(e) => {
                    self.replies.push_reply(|out| write_error(&format!("ERR {}", e.0), out));
                    self.closing = true;
                }
            }
        }
        if self.shutdown_deadline.is_some_and(|at| now >= at) {
            self.refuse_unfinished();
        }
        self.replies.flush(out);
        self.output_full = out.len() >= MAX_UNREAD_REPLY_BYTES;
        if self.is_finished() {
            self.closing = true;
            requests.push(ClientRequest::Over(None));
        }
    }

    /// Returns whether more complete requests may be buffered and there is room to process them. Nothing is processed
    /// once the connection is closing, which guards against a thread that wakes up in an endless loop.
    fn may_continue(&self) -> bool {
        self.batch_limited && !self.closing && !self.output_full && self.replies.len() < MAX_PIPELINED
    }

    fn is_finished(&self) -> bool {
        self.replies.is_empty()
            && (self.closing || self.shutdown_deadline.is_some() && !self.reader.has_partial_command())
    }

    /// Refuses the request that has begun. Guards against a close while the request's last byte is in transit.
    fn refuse_unfinished(&mut self) {
        if !self.closing && self.reader.has_partial_command() {
            self.replies.push_reply(|out| write_error(BUSY, out));
        }
        self.closing = true;
    }

    fn handle_request(&mut self, now: Micros, request: Request, requests: &mut Vec<ClientRequest>) {
        match request {
            Request::Command(command) => self.handle_command(now, command, requests),
            Request::Discarded => self.refuse_at_once(now, "", "there is no memory for it"),
        }
    }

    /// Answers a request that is no command of this protocol. A client that sends many of them is disconnected.
    fn reject(&mut self, error: &str) {
        self.replies.push_reply(|out| write_error(error, out));
        self.unreadable += 1;
        self.closing |= self.unreadable >= MAX_UNREADABLE;
    }

    fn refuse_at_once(&mut self, now: Micros, id: &str, why: &str) {
        tracing::debug!(now, id, why, "refused a request");
        self.replies.push_reply(|out| write_error(BUSY, out));
    }

    /// Returns whether a request that is read now may have arrived so long ago that its client has given it up.
    fn may_be_given_up(&self, now: Micros) -> bool {
        self.unread_since.is_some_and(|since| now - since > CLIENT_PATIENCE)
    }

    fn handle_command(&mut self, now: Micros, mut command: Command, requests: &mut Vec<ClientRequest>) {
        let name = command.remove(0);
        if name.eq_ignore_ascii_case(add::NAME) {
            match Add::read(command) {
                Ok(add) if self.may_be_given_up(now) => {
                    self.refuse_at_once(now, &add.id, "it was unread for long");
                }
                Ok(add) => {
                    let token = self.replies.push_open();
                    requests.push(ClientRequest::SubmitForTenant { token, add: Box::new(add) });
                }
                Err(e) => self.reject(&format!("ERR {e}")),
            }
        } else if name.eq_ignore_ascii_case(b"PING") && command.is_empty() {
            self.replies.push_reply(|out| write_simple_string("PONG", out));
        } else {
            self.reject(UNKNOWN_COMMAND);
        }
    }

    /// Sets the reply to a request, and writes those that are ready. Returns false if the request is not open.
    fn write_reply(&mut self, token: u32, text: impl FnOnce(&mut BytesMut), out: &mut BytesMut) -> bool {
        let was_open = self.replies.set_reply(token, text);
        self.replies.flush(out);
        was_open
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
            (true, None) if self.output_full || self.reader.has_partial_command() || !self.served => {
                self.last_activity + REQUEST_TIMEOUT
            }
            (true, None) => self.last_activity + IDLE_TIMEOUT,
        }
    }

    fn tick(&mut self, now: Micros, out: &mut BytesMut, requests: &mut Vec<ClientRequest>) {
        self.process_commands(now, out, requests);
        if self.replies.is_empty() && !self.closing && !self.may_continue() && now >= self.wake() {
            if self.output_full {
                write_error(NOT_READ, out);
            } else if self.reader.has_partial_command() {
                write_error(UNFINISHED, out);
            }
            requests.push(ClientRequest::Over(None));
        }
    }

    fn admitted(&mut self, _: Micros, _: u32, _: Result<AdmittedSession, Denied>, _: &mut BytesMut) {}

    fn accepted(&mut self, token: u32, _: &str, out: &mut BytesMut) {
        self.write_reply(token, |out| write_simple_string("OK", out), out);
    }

    fn refused(&mut self, token: u32, reason: RejectReason, out: &mut BytesMut) {
        self.write_reply(token, |out| write_error(error_text(reason), out), out);
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
            && !self.output_full
            && self.replies.len() < MAX_PIPELINED
            && self.reader.buffered_bytes() < READ_BYTES
    }

    fn read_quota(&self) -> usize {
        self.reader.missing_bytes().max(READ_BYTES)
    }

    fn held_bytes(&self) -> usize {
        self.reader.held_bytes() + self.replies.held_bytes()
    }

    fn set_input_room(&mut self, bytes: usize) {
        self.input_room = bytes;
    }

    fn set_unread_since(&mut self, since: Option<Micros>) {
        self.unread_since = since;
    }

    fn output_written(&mut self, now: Micros, unwritten: usize) -> bool {
        if self.output_full {
            self.last_activity = now;
        }
        std::mem::replace(&mut self.output_full, unwritten >= MAX_UNREAD_REPLY_BYTES) && !self.output_full
    }

    fn idle_since(&self) -> Option<Micros> {
        let has_begun = self.reader.has_partial_command() || self.unread_since.is_some();
        (self.replies.is_empty() && !has_begun).then_some(self.last_activity)
    }
}

//! Parses bytes into requests or responses.

use crate::MAX_HEAD_BYTES;
use bytes::{Buf, BytesMut};

/// The beginning of each response.
const RESPONSE_PREFIX: &[u8] = b"HTTP/1.";

/// The kind of messages that a stream carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The stream carries requests.
    Requests,
    /// The stream carries responses.
    Responses,
}

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// The start line of a request.
    Request {
        /// The method.
        method: String,
        /// The target, as received.
        target: String,
    },
    /// The start line of a response.
    Response {
        /// The status.
        status: u16,
    },
}

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its start line.
    pub start: Start,
    /// Its header fields in order, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection is closed after this message.
    pub closes_connection: bool,
}

impl Message {
    /// Returns the first header field with this name, which must be in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the wait in `Retry-After`, in seconds; decimals are accepted. A date is ignored, since the
    /// receiver's clock may differ.
    pub fn retry_after(&self) -> Option<f64> {
        let seconds = self.field("retry-after")?.trim().parse::<f64>().ok()?;
        (seconds.is_finite() && seconds >= 0.0).then(|| seconds.min(1e6))
    }

    /// Returns how many bytes of memory the message holds.
    fn held_bytes(&self) -> usize {
        let fields = self.fields.iter().map(|(name, value)| FIELD_BYTES + name.capacity() + value.capacity());
        self.body.capacity() + fields.sum::<usize>()
    }

    /// Returns the status of a response, or 0 for a request.
    pub fn status(&self) -> u16 {
        if let Start::Response { status } = self.start { status } else { 0 }
    }
}

/// Why a stream can't be parsed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ParseError(pub &'static str);

/// The part of a message that is parsed next. `head` is the message so far.
#[derive(Clone, Debug)]
enum State {
    /// The head of the next message.
    Head,
    /// A body with a Content-Length, of which `remaining` bytes are missing.
    FixedLength { head: Message, remaining: usize },
    /// The line with the size of a chunk.
    ChunkSize { head: Message },
    /// A chunk, of which `remaining` bytes are missing, its end of line included.
    Chunk { head: Message, remaining: usize },
    /// The trailer after the last chunk.
    Trailer { head: Message },
    /// A body that extends to the end of the connection.
    UntilClose { head: Message },
}

/// The result of one step of the parser.
enum Step {
    /// The message is complete.
    Complete(Message),
    /// Continue in this state.
    Next(State),
    /// Wait for more bytes in this state.
    Wait(State),
}

/// The size of the buffer that a reader between two messages keeps, in bytes.
const KEPT_BUFFER_BYTES: usize = 1_024;
/// What a header field takes beside its text, in bytes.
const FIELD_BYTES: usize = size_of::<(String, String)>();

/// Splits a stream into messages.
#[derive(Debug)]
pub struct Reader {
    side: Side,
    /// The maximum size of a body, in bytes.
    max_body_bytes: usize,
    buffer: BytesMut,
    state: State,
    /// The stream has ended.
    closed: bool,
    /// The status of the current response, once its head has been read.
    status: Option<u16>,
    /// The wait in the head of the current response, in seconds.
    retry_after_in_head: Option<f64>,
}

impl Reader {
    /// Creates a reader that accepts bodies of up to `max_body_bytes`.
    pub fn new(side: Side, max_body_bytes: usize) -> Self {
        let (buffer, state) = (BytesMut::new(), State::Head);
        Reader { side, max_body_bytes, buffer, state, closed: false, status: None, retry_after_in_head: None }
    }

    /// Appends bytes received from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Records the end of the stream.
    pub fn end(&mut self) {
        self.closed = true;
    }

    /// Returns whether the stream contains bytes of a message that has not been returned yet.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty() || !matches!(self.state, State::Head)
    }

    /// Returns whether what follows the last message can't be the beginning of a response.
    pub fn is_followed_by_garbage(&self) -> bool {
        let length = self.buffer.len().min(RESPONSE_PREFIX.len());
        matches!(self.state, State::Head) && self.buffer[..length] != RESPONSE_PREFIX[..length]
    }

    /// Returns the status of the current response as soon as its start line has arrived, even if the rest is
    /// unreadable.
    pub fn status_so_far(&self) -> Option<u16> {
        self.status.or_else(|| {
            let end = self.buffer.iter().take(MAX_HEAD_BYTES).position(|b| *b == b'\n')?;
            let line = std::str::from_utf8(&self.buffer[..end]).ok()?.trim_end();
            let mut words = line.strip_prefix("HTTP/1.")?.split(' ');
            words.next().filter(|minor| minor.len() == 1)?;
            words.next()?.parse().ok()
        })
    }

    /// Returns the part of the current message's body that has been parsed.
    pub fn body_so_far(&self) -> &[u8] {
        self.head_so_far().map_or(&[], |head| &head.body)
    }

    /// Returns the wait in the current response, in seconds, as soon as its head has arrived, even if its
    /// body is unreadable.
    pub fn retry_after_so_far(&self) -> Option<f64> {
        self.retry_after_in_head
    }

    /// Returns the next message, if it is complete.
    ///
    /// # Errors
    /// If the stream can't be parsed any further.
    pub fn next_message(&mut self) -> Result<Option<Message>, ParseError> {
        let next = self.parse_next();
        if matches!(next, Ok(Some(_))) {
            (self.status, self.retry_after_in_head) = (None, None);
        }
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
        next
    }

    /// Returns how many bytes of memory the reader holds.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity() + self.head_so_far().map_or(0, Message::held_bytes)
    }

    /// Returns the current message as far as it has been parsed, once its head has.
    fn head_so_far(&self) -> Option<&Message> {
        match &self.state {
            State::Head => None,
            State::FixedLength { head, .. }
            | State::ChunkSize { head }
            | State::Chunk { head, .. }
            | State::Trailer { head }
            | State::UntilClose { head } => Some(head),
        }
    }

    fn parse_next(&mut self) -> Result<Option<Message>, ParseError> {
        loop {
            let step = match std::mem::replace(&mut self.state, State::Head) {
                State::Head => self.head()?.map_or(Step::Wait(State::Head), Step::Next),
                State::FixedLength { head, remaining } => self.read_fixed_length(head, remaining),
                State::ChunkSize { head } => self.read_chunk_size(head)?,
                State::Chunk { head, remaining } => self.read_chunk(head, remaining)?,
                State::Trailer { head } => self.read_trailer(head)?,
                State::UntilClose { head } => self.read_until_close(head)?,
            };
            match step {
                Step::Complete(message) => return Ok(Some(message)),
                Step::Next(state) => self.state = state,
                Step::Wait(state) => {
                    self.state = state;
                    return Ok(None);
                }
            }
        }
    }

    fn read_fixed_length(&mut self, mut head: Message, remaining: usize) -> Step {
        let n = remaining.min(self.buffer.len());
        head.body.extend_from_slice(&self.buffer[..n]);
        self.buffer.advance(n);
        if n == remaining {
            Step::Complete(head)
        } else {
            Step::Wait(State::FixedLength { head, remaining: remaining - n })
        }
    }

    fn read_chunk_size(&mut self, head: Message) -> Result<Step, ParseError> {
        let Some(line) = self.take_line()? else { return Ok(Step::Wait(State::ChunkSize { head })) };
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| ParseError("bad chunk size"))?;
        if size > self.max_body_bytes.saturating_sub(head.body.len()) {
            return Err(ParseError("body too large"));
        }
        Ok(Step::Next(match size {
            0 => State::Trailer { head },
            _ => State::Chunk { head, remaining: size + 2 },
        }))
    }

    fn read_chunk(&mut self, mut head: Message, remaining: usize) -> Result<Step, ParseError> {
        // The chunk is read together with the two bytes of its end of line.
        if self.buffer.len() < remaining {
            return Ok(Step::Wait(State::Chunk { head, remaining }));
        }
        if &self.buffer[remaining - 2..remaining] != b"\r\n" {
            return Err(ParseError("missing end of line after a chunk"));
        }
        head.body.extend_from_slice(&self.buffer[..remaining - 2]);
        self.buffer.advance(remaining);
        Ok(Step::Next(State::ChunkSize { head }))
    }

    fn read_trailer(&mut self, head: Message) -> Result<Step, ParseError> {
        Ok(match self.take_line()? {
            Some(line) if line.is_empty() => Step::Complete(head),
            Some(_) => Step::Next(State::Trailer { head }),
            None => Step::Wait(State::Trailer { head }),
        })
    }

    fn read_until_close(&mut self, mut head: Message) -> Result<Step, ParseError> {
        if head.body.len() + self.buffer.len() > self.max_body_bytes {
            return Err(ParseError("body too large"));
        }
        head.body.extend_from_slice(&self.buffer);
        self.buffer.clear();
        Ok(if self.closed { Step::Complete(head) } else { Step::Wait(State::UntilClose { head }) })
    }

    /// Takes a line of the chunked coding, if it is complete.
    fn take_line(&mut self) -> Result<Option<String>, ParseError> {
        let Some(at) = self.buffer.iter().position(|b| *b == b'\n') else {
            return if self.buffer.len() > MAX_HEAD_BYTES {
                Err(ParseError("line too long"))
            } else {
                Ok(None)
            };
        };
        let line = String::from_utf8_lossy(&self.buffer[..at]).trim_end_matches('\r').to_string();
        self.buffer.advance(at + 1);
        Ok(Some(line))
    }

    /// Parses a head, if it is complete, and returns the state in which its body is parsed.
    fn head(&mut self) -> Result<Option<State>, ParseError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let mut fields = [httparse::EMPTY_HEADER; 64];
        let (length, start, minor, fields) = match self.side {
            Side::Requests => {
                let mut request = httparse::Request::new(&mut fields);
                match request.parse(&self.buffer) {
                    Ok(httparse::Status::Complete(n)) => {
                        let method = request.method.unwrap_or_default().to_string();
                        let target = request.path.unwrap_or_default().to_string();
                        (n, Start::Request { method, target }, request.version, owned_fields(request.headers))
                    }
                    Ok(httparse::Status::Partial) => return self.incomplete_head(),
                    Err(_) => return Err(ParseError("not an HTTP request")),
                }
            }
            Side::Responses => {
                let mut response = httparse::Response::new(&mut fields);
                match response.parse(&self.buffer) {
                    Ok(httparse::Status::Complete(n)) => {
                        let status = response.code.unwrap_or(0);
                        (n, Start::Response { status }, response.version, owned_fields(response.headers))
                    }
                    Ok(httparse::Status::Partial) => return self.incomplete_head(),
                    Err(_) => return Err(ParseError("not an HTTP response")),
                }
            }
        };
        self.buffer.advance(length);
        if let Start::Response { status } = start {
            self.status = Some(status);
        }
        let mut head = Message { start, fields, body: Vec::new(), closes_connection: false };
        self.retry_after_in_head = head.retry_after();
        let connection = head.field("connection").unwrap_or_default().to_ascii_lowercase();
        head.closes_connection = connection.split(',').any(|w| w.trim() == "close")
            || (minor == Some(0) && !connection.contains("keep-alive"));
        self.body_state(head).map(Some)
    }

    /// Determines how the body ends, as in RFC 9112, section 6.3.
    fn body_state(&self, mut head: Message) -> Result<State, ParseError> {
        let status = head.status();
        if (100..200).contains(&status) || status == 204 || status == 304 {
            return Ok(State::FixedLength { head, remaining: 0 });
        }
        let lengths: Vec<&str> =
            head.fields.iter().filter(|(n, _)| n == "content-length").map(|(_, v)| v.as_str()).collect();
        if let Some(coding) = head.field("transfer-encoding") {
            // Guards against request smuggling, which uses both at once.
            if !coding.eq_ignore_ascii_case("chunked") || !lengths.is_empty() {
                return Err(ParseError("unsupported transfer coding"));
            }
            return Ok(State::ChunkSize { head });
        }
        match lengths.as_slice() {
            [] if self.side == Side::Responses => {
                head.closes_connection = true;
                Ok(State::UntilClose { head })
            }
            [] => Ok(State::FixedLength { head, remaining: 0 }),
            [first, rest @ ..] => {
                let digits = !first.is_empty() && first.bytes().all(|b| b.is_ascii_digit());
                let remaining =
                    first.parse::<usize>().ok().filter(|_| digits && rest.iter().all(|r| r == first));
                let remaining = remaining.ok_or(ParseError("bad Content-Length"))?;
                if remaining > self.max_body_bytes {
                    return Err(ParseError("body too large"));
                }
                Ok(State::FixedLength { head, remaining })
            }
        }
    }

    /// Handles an incomplete head, which must not become too large.
    fn incomplete_head(&self) -> Result<Option<State>, ParseError> {
        if self.buffer.len() > MAX_HEAD_BYTES { Err(ParseError("head too large")) } else { Ok(None) }
    }
}

/// Copies header fields, with their names in lower case.
fn owned_fields(fields: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let plain = |h: &httparse::Header<'_>| {
        (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).trim().to_string())
    };
    fields.iter().map(plain).collect()
}

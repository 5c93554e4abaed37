//! Parses octets into requests or responses.

use crate::MOST_HEAD;
use bytes::{Buf, BytesMut};

/// The kind of messages on a stream.
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
    /// The connection is closed after it.
    pub last: bool,
}

impl Message {
    /// The first header field with this name, which is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The wait in `Retry-After`, in seconds; decimals are accepted. A date is ignored, as the receiver's clock may differ.
    pub fn retry_after(&self) -> Option<f64> {
        let seconds = self.field("retry-after")?.trim().parse::<f64>().ok()?;
        (seconds.is_finite() && seconds >= 0.0).then(|| seconds.min(1e6))
    }

    /// The status of a response, 0 for requests.
    pub fn status(&self) -> u16 {
        if let Start::Response { status } = self.start { status } else { 0 }
    }
}

/// The stream can't be read any further, for this reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Unreadable(pub &'static str);

#[derive(Clone, Debug)]
enum State {
    Head,
    Sized { head: Message, left: usize },
    ChunkSize { head: Message },
    Chunk { head: Message, left: usize },
    Trailer { head: Message },
    ToEnd { head: Message },
}

/// The result of one step of the parser.
enum Step {
    /// The message is complete.
    Complete(Message),
    /// Go on in this state.
    Next(State),
    /// Wait in this state for more octets.
    Wait(State),
}

/// Splits a stream into messages.
#[derive(Debug)]
pub struct Reader {
    side: Side,
    most_body: usize,
    buffer: BytesMut,
    state: State,
    closed: bool,
    /// The status of the current response, once its head was read.
    status: Option<u16>,
    /// The wait in its head, likewise.
    wait: Option<f64>,
}

impl Reader {
    /// Creates a reader that accepts bodies of up to `most_body` octets.
    pub fn new(side: Side, most_body: usize) -> Self {
        let (buffer, state) = (BytesMut::new(), State::Head);
        Reader { side, most_body, buffer, state, closed: false, status: None, wait: None }
    }

    /// Accepts octets from the stream.
    pub fn push(&mut self, octets: &[u8]) {
        self.buffer.extend_from_slice(octets);
    }

    /// The stream has ended.
    pub fn end(&mut self) {
        self.closed = true;
    }

    /// Whether the stream holds octets of a message that was not returned yet.
    pub fn begun(&self) -> bool {
        !self.buffer.is_empty() || !matches!(self.state, State::Head)
    }

    /// The status of the current response, as soon as its start line has arrived, even if the rest can't be read.
    pub fn status_so_far(&self) -> Option<u16> {
        self.status.or_else(|| {
            let end = self.buffer.iter().take(MOST_HEAD).position(|b| *b == b'\n')?;
            let line = std::str::from_utf8(&self.buffer[..end]).ok()?.trim_end();
            let mut words = line.strip_prefix("HTTP/1.")?.split(' ');
            words.next().filter(|minor| minor.len() == 1)?;
            words.next()?.parse().ok()
        })
    }

    /// The wait in the current response, in seconds, as soon as its head has arrived, even if its body can't be read.
    pub fn wait_so_far(&self) -> Option<f64> {
        self.wait
    }

    /// The next message, if it is complete.
    ///
    /// # Errors
    /// If the stream can't be read any further.
    pub fn next_message(&mut self) -> Result<Option<Message>, Unreadable> {
        let next = self.cut();
        if matches!(next, Ok(Some(_))) {
            (self.status, self.wait) = (None, None);
        }
        next
    }

    fn cut(&mut self) -> Result<Option<Message>, Unreadable> {
        loop {
            let step = match std::mem::replace(&mut self.state, State::Head) {
                State::Head => self.head()?.map_or(Step::Wait(State::Head), Step::Next),
                State::Sized { head, left } => self.sized(head, left),
                State::ChunkSize { head } => self.chunk_size(head)?,
                State::Chunk { head, left } => self.chunk(head, left)?,
                State::Trailer { head } => self.trailer(head)?,
                State::ToEnd { head } => self.until_end(head)?,
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

    fn sized(&mut self, mut head: Message, left: usize) -> Step {
        let n = left.min(self.buffer.len());
        head.body.extend_from_slice(&self.buffer[..n]);
        self.buffer.advance(n);
        if n == left { Step::Complete(head) } else { Step::Wait(State::Sized { head, left: left - n }) }
    }

    fn chunk_size(&mut self, head: Message) -> Result<Step, Unreadable> {
        let Some(line) = self.line()? else { return Ok(Step::Wait(State::ChunkSize { head })) };
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| Unreadable("bad chunk size"))?;
        if size > self.most_body.saturating_sub(head.body.len()) {
            return Err(Unreadable("body too large"));
        }
        Ok(Step::Next(match size {
            0 => State::Trailer { head },
            _ => State::Chunk { head, left: size + 2 },
        }))
    }

    fn chunk(&mut self, mut head: Message, left: usize) -> Result<Step, Unreadable> {
        // The two octets of the end of line are read with the chunk and removed.
        if self.buffer.len() < left {
            return Ok(Step::Wait(State::Chunk { head, left }));
        }
        if &self.buffer[left - 2..left] != b"\r\n" {
            return Err(Unreadable("a chunk without its end"));
        }
        head.body.extend_from_slice(&self.buffer[..left - 2]);
        self.buffer.advance(left);
        Ok(Step::Next(State::ChunkSize { head }))
    }

    fn trailer(&mut self, head: Message) -> Result<Step, Unreadable> {
        Ok(match self.line()? {
            Some(line) if line.is_empty() => Step::Complete(head),
            Some(_) => Step::Next(State::Trailer { head }),
            None => Step::Wait(State::Trailer { head }),
        })
    }

    fn until_end(&mut self, mut head: Message) -> Result<Step, Unreadable> {
        if head.body.len() + self.buffer.len() > self.most_body {
            return Err(Unreadable("body too large"));
        }
        head.body.extend_from_slice(&self.buffer);
        self.buffer.clear();
        Ok(if self.closed { Step::Complete(head) } else { Step::Wait(State::ToEnd { head }) })
    }

    fn line(&mut self) -> Result<Option<String>, Unreadable> {
        let Some(at) = self.buffer.iter().position(|b| *b == b'\n') else {
            return if self.buffer.len() > MOST_HEAD { Err(Unreadable("a line too long")) } else { Ok(None) };
        };
        let line = String::from_utf8_lossy(&self.buffer[..at]).trim_end_matches('\r').to_string();
        self.buffer.advance(at + 1);
        Ok(Some(line))
    }

    fn head(&mut self) -> Result<Option<State>, Unreadable> {
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
                        (n, Start::Request { method, target }, request.version, own(request.headers))
                    }
                    Ok(httparse::Status::Partial) => return self.partial(),
                    Err(_) => return Err(Unreadable("no HTTP request")),
                }
            }
            Side::Responses => {
                let mut response = httparse::Response::new(&mut fields);
                match response.parse(&self.buffer) {
                    Ok(httparse::Status::Complete(n)) => {
                        let status = response.code.unwrap_or(0);
                        (n, Start::Response { status }, response.version, own(response.headers))
                    }
                    Ok(httparse::Status::Partial) => return self.partial(),
                    Err(_) => return Err(Unreadable("no HTTP response")),
                }
            }
        };
        self.buffer.advance(length);
        if let Start::Response { status } = start {
            self.status = Some(status);
        }
        let mut head = Message { start, fields, body: Vec::new(), last: false };
        self.wait = head.retry_after();
        let connection = head.field("connection").unwrap_or_default().to_ascii_lowercase();
        head.last = connection.split(',').any(|w| w.trim() == "close")
            || (minor == Some(0) && !connection.contains("keep-alive"));
        self.framing(head).map(Some)
    }

    /// Determines the length of the body as in RFC 9112, section 6.3.
    fn framing(&self, mut head: Message) -> Result<State, Unreadable> {
        let status = head.status();
        if (100..200).contains(&status) || status == 204 || status == 304 {
            return Ok(State::Sized { head, left: 0 });
        }
        let lengths: Vec<&str> =
            head.fields.iter().filter(|(n, _)| n == "content-length").map(|(_, v)| v.as_str()).collect();
        if let Some(coding) = head.field("transfer-encoding") {
            // Guards against request smuggling, which uses both at once.
            if !coding.eq_ignore_ascii_case("chunked") || !lengths.is_empty() {
                return Err(Unreadable("a transfer coding that is not served"));
            }
            return Ok(State::ChunkSize { head });
        }
        match lengths.as_slice() {
            [] if self.side == Side::Responses => {
                head.last = true;
                Ok(State::ToEnd { head })
            }
            [] => Ok(State::Sized { head, left: 0 }),
            [first, rest @ ..] => {
                let digits = !first.is_empty() && first.bytes().all(|b| b.is_ascii_digit());
                let left = first.parse::<usize>().ok().filter(|_| digits && rest.iter().all(|r| r == first));
                let left = left.ok_or(Unreadable("bad Content-Length"))?;
                if left > self.most_body {
                    return Err(Unreadable("body too large"));
                }
                Ok(State::Sized { head, left })
            }
        }
    }

    fn partial(&self) -> Result<Option<State>, Unreadable> {
        if self.buffer.len() > MOST_HEAD { Err(Unreadable("head too large")) } else { Ok(None) }
    }
}

fn own(fields: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let plain = |h: &httparse::Header<'_>| {
        (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).trim().to_string())
    };
    fields.iter().map(plain).collect()
}

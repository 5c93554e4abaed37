//! A watch of the list of endpoints: an HTTP answer that stays open and carries lists as JSON objects, with
//! empty lines between them.
//!
//! An object may be on one line or be indented over several, and may arrive in pieces of any size (see
//! [`crate::objects`]). Without I/O and without a clock: timeouts are up to the caller.

use crate::catalog::{List, ListError};
use crate::objects::{MAX_OBJECT_BYTES, ObjectSplitter, StreamElement, StreamError};
use bytes::{Buf, BytesMut};

/// The maximum size of a head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum size of a line that declares the size of a chunk, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 64;

/// Writes the request for a watch of changes after a version.
pub fn write_watch_request(version: u64, host: &str, out: &mut BytesMut) {
    let target = format!("/catalog/members?follow=1&since={version}");
    heronroute_http::write_request("GET", &target, host, &[], b"", out);
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The head of the answer was read.
    Head,
    /// An empty line, or the end of the line after a list, was read. It shows that the watch is alive.
    EndOfLine,
    /// A full list or changes were read.
    List(List),
}

/// Why a watch has ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The request was answered with a status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// The answer is not HTTP, or its head is too long.
    #[error("not an HTTP response")]
    Head,
    /// The chunked coding is invalid.
    #[error("invalid chunked coding")]
    Chunk,
    /// The answer is complete.
    #[error("the watch has ended")]
    Ended,
    /// The body is not a sequence of objects.
    #[error("{0}")]
    Stream(StreamError),
    /// An object is not a list.
    #[error("invalid list: {0}")]
    InvalidList(ListError),
}

/// Writes the request for the full list, without a watch.
pub fn write_list_request(host: &str, out: &mut BytesMut) {
    heronroute_http::write_request("GET", "/catalog/members", host, &[], b"", out);
}

/// The position of the parser in the answer.
#[derive(Clone, Copy, Debug)]
enum State {
    /// Reading the head.
    Head,
    /// Reading the line with a chunk's size.
    Size,
    /// Reading a chunk, of which this many bytes remain.
    Chunk(usize),
    /// Reading the end of line after a chunk.
    ChunkEnd,
    /// Reading a body without chunks, which extends to the end of the connection.
    UntilClose,
}

/// Parses the answer to a watch.
#[derive(Debug)]
pub struct Watch {
    state: State,
    buffer: BytesMut,
    splitter: ObjectSplitter,
}

impl Default for Watch {
    fn default() -> Self {
        Watch::new(MAX_OBJECT_BYTES)
    }
}

impl Watch {
    /// Creates a watch whose lists have at most `max_list_bytes` each.
    pub fn new(max_list_bytes: usize) -> Self {
        let splitter = ObjectSplitter::new(max_list_bytes);
        Watch { state: State::Head, buffer: BytesMut::new(), splitter }
    }

    /// Returns whether a list is incomplete.
    pub fn has_begun_list(&self) -> bool {
        self.splitter.has_begun()
    }

    /// Processes received bytes, and appends the events that they complete.
    ///
    /// # Errors
    /// If the watch has ended or can't be parsed any further. `events` then contains the events before that.
    pub fn receive(&mut self, bytes: &[u8], events: &mut Vec<WatchEvent>) -> Result<(), WatchError> {
        self.buffer.extend_from_slice(bytes);
        loop {
            let made_progress = match self.state {
                State::Head => self.head(events)?,
                State::Size => self.size()?,
                State::ChunkEnd => self.chunk_end()?,
                State::Chunk(0) => {
                    self.state = State::ChunkEnd;
                    true
                }
                State::Chunk(remaining) => {
                    let n = remaining.min(self.buffer.len());
                    self.split_body(n, events)?;
                    self.state = State::Chunk(remaining - n);
                    n > 0
                }
                State::UntilClose => {
                    self.split_body(self.buffer.len(), events)?;
                    false
                }
            };
            if !made_progress {
                return Ok(());
            }
        }
    }

    /// Parses the head. Returns whether it is complete.
    fn head(&mut self, events: &mut Vec<WatchEvent>) -> Result<bool, WatchError> {
        let mut fields = [httparse::EMPTY_HEADER; 64];
        let mut head = httparse::Response::new(&mut fields);
        match head.parse(&self.buffer) {
            Ok(httparse::Status::Complete(n)) => {
                if head.code != Some(200) {
                    return Err(WatchError::Status(head.code.unwrap_or(0)));
                }
                let chunked = head.headers.iter().any(|h| {
                    h.name.eq_ignore_ascii_case("transfer-encoding")
                        && h.value.to_ascii_lowercase().ends_with(b"chunked")
                });
                self.state = if chunked { State::Size } else { State::UntilClose };
                self.buffer.advance(n);
                events.push(WatchEvent::Head);
                Ok(true)
            }
            Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_HEAD_BYTES => Ok(false),
            _ => Err(WatchError::Head),
        }
    }

    /// Takes a line of the chunked coding, if it is complete.
    fn line(&mut self) -> Result<Option<String>, WatchError> {
        let Some(end) = self.buffer.iter().take(MAX_SIZE_LINE_BYTES).position(|b| *b == b'\n') else {
            return if self.buffer.len() >= MAX_SIZE_LINE_BYTES { Err(WatchError::Chunk) } else { Ok(None) };
        };
        let line = String::from_utf8_lossy(&self.buffer[..end]).trim().to_string();
        self.buffer.advance(end + 1);
        Ok(Some(line))
    }

    /// Parses the line with a chunk's size. Returns whether it is complete.
    fn size(&mut self) -> Result<bool, WatchError> {
        let Some(line) = self.line()? else { return Ok(false) };
        let size = line.split(';').next().unwrap_or("").trim();
        match usize::from_str_radix(size, 16) {
            Ok(0) => Err(WatchError::Ended),
            Ok(n) => {
                self.state = State::Chunk(n);
                Ok(true)
            }
            Err(_) => Err(WatchError::Chunk),
        }
    }

    /// Parses the end of line after a chunk. Returns whether it is complete.
    fn chunk_end(&mut self) -> Result<bool, WatchError> {
        match self.line()? {
            None => Ok(false),
            Some(line) if line.is_empty() => {
                self.state = State::Size;
                Ok(true)
            }
            Some(_) => Err(WatchError::Chunk),
        }
    }

    /// Passes the next `n` bytes of the body to the splitter, and appends the events that they complete.
    fn split_body(&mut self, n: usize, events: &mut Vec<WatchEvent>) -> Result<(), WatchError> {
        let mut elements = Vec::new();
        let result = self.splitter.push(&self.buffer[..n], &mut elements);
        self.buffer.advance(n);
        for element in elements {
            events.push(match element {
                StreamElement::EndOfLine => WatchEvent::EndOfLine,
                StreamElement::Object(text) => {
                    WatchEvent::List(List::read(&text).map_err(WatchError::InvalidList)?)
                }
            });
        }
        result.map_err(WatchError::Stream)
    }
}

//! A watch: an HTTP answer that stays open and carries lists as JSON objects, with empty lines between them.
//!
//! An object may stand on one line or be indented over several, and may arrive in pieces of any size (see
//! [`crate::objects`]). Without I/O and without a clock: timeouts are up to the caller.

use crate::catalog::{List, Unreadable};
use crate::objects::{Objects, Piece, Spoilt};
use bytes::{Buf, BytesMut};

/// Octets of a head at most.
const MOST_HEAD: usize = 16 * 1024;
/// Octets of a line that declares the size of a chunk, at most.
const MOST_SIZE: usize = 64;

/// Writes the request for a watch on changes after a version.
pub fn ask(version: u64, host: &str, out: &mut BytesMut) {
    let target = format!("/catalog/members?follow=1&since={version}");
    heronroute_http::write_request("GET", &target, host, &[], b"", out);
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// The head of the answer was read.
    Head,
    /// An empty line, or the end of the line after a list. It shows that the watch is alive.
    EndOfLine,
    /// A full list, or changes.
    List(List),
}

/// Why a watch has ended.
#[derive(Debug, thiserror::Error)]
pub enum Over {
    /// The request was answered with a status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// The answer is not HTTP, or its head is too long.
    #[error("no answer that can be read")]
    Head,
    /// The chunked coding is invalid.
    #[error("chunks that can't be told apart")]
    Chunk,
    /// The answer is complete.
    #[error("the watch was ended")]
    Ended,
    /// The body is not a sequence of objects.
    #[error("{0}")]
    Spoilt(Spoilt),
    /// An object is not a list.
    #[error("no list: {0}")]
    Unreadable(Unreadable),
}

/// Writes the request for the full list, which is answered once and without a watch.
pub fn ask_whole(host: &str, out: &mut BytesMut) {
    heronroute_http::write_request("GET", "/catalog/members", host, &[], b"", out);
}

#[derive(Clone, Copy, Debug)]
enum State {
    Head,
    /// Reading the line with a chunk's size.
    Size,
    Chunk(usize),
    /// Reading the end of line after a chunk.
    Behind,
    /// Not chunked: the body extends to the end of the connection.
    Plain,
}

/// Reads the answer to a watch.
#[derive(Debug)]
pub struct Watch {
    state: State,
    buffer: BytesMut,
    objects: Objects,
}

impl Default for Watch {
    fn default() -> Self {
        Watch { state: State::Head, buffer: BytesMut::new(), objects: Objects::default() }
    }
}

impl Watch {
    /// Whether a list is incomplete.
    pub fn has_begun_list(&self) -> bool {
        self.objects.has_begun()
    }

    /// Accepts octets, and appends the events that they complete.
    ///
    /// # Errors
    /// If the watch has ended or can't be read any further. `said` holds the events before that.
    pub fn receive(&mut self, octets: &[u8], said: &mut Vec<Said>) -> Result<(), Over> {
        self.buffer.extend_from_slice(octets);
        loop {
            let goes_on = match self.state {
                State::Head => self.head(said)?,
                State::Size => self.size()?,
                State::Behind => self.behind()?,
                State::Chunk(0) => {
                    self.state = State::Behind;
                    true
                }
                State::Chunk(left) => {
                    let n = left.min(self.buffer.len());
                    self.take(n, said)?;
                    self.state = State::Chunk(left - n);
                    n > 0
                }
                State::Plain => {
                    self.take(self.buffer.len(), said)?;
                    false
                }
            };
            if !goes_on {
                return Ok(());
            }
        }
    }

    /// Reads the head; returns whether it is complete.
    fn head(&mut self, said: &mut Vec<Said>) -> Result<bool, Over> {
        let mut fields = [httparse::EMPTY_HEADER; 64];
        let mut head = httparse::Response::new(&mut fields);
        match head.parse(&self.buffer) {
            Ok(httparse::Status::Complete(n)) => {
                if head.code != Some(200) {
                    return Err(Over::Status(head.code.unwrap_or(0)));
                }
                let chunked = head.headers.iter().any(|h| {
                    h.name.eq_ignore_ascii_case("transfer-encoding")
                        && h.value.to_ascii_lowercase().ends_with(b"chunked")
                });
                self.state = if chunked { State::Size } else { State::Plain };
                self.buffer.advance(n);
                said.push(Said::Head);
                Ok(true)
            }
            Ok(httparse::Status::Partial) if self.buffer.len() <= MOST_HEAD => Ok(false),
            _ => Err(Over::Head),
        }
    }

    /// A line of the chunked coding, if it is complete.
    fn line(&mut self) -> Result<Option<String>, Over> {
        let Some(end) = self.buffer.iter().take(MOST_SIZE).position(|b| *b == b'\n') else {
            return if self.buffer.len() >= MOST_SIZE { Err(Over::Chunk) } else { Ok(None) };
        };
        let line = String::from_utf8_lossy(&self.buffer[..end]).trim().to_string();
        self.buffer.advance(end + 1);
        Ok(Some(line))
    }

    fn size(&mut self) -> Result<bool, Over> {
        let Some(line) = self.line()? else { return Ok(false) };
        let size = line.split(';').next().unwrap_or("").trim();
        match usize::from_str_radix(size, 16) {
            Ok(0) => Err(Over::Ended),
            Ok(n) => {
                self.state = State::Chunk(n);
                Ok(true)
            }
            Err(_) => Err(Over::Chunk),
        }
    }

    fn behind(&mut self) -> Result<bool, Over> {
        match self.line()? {
            None => Ok(false),
            Some(line) if line.is_empty() => {
                self.state = State::Size;
                Ok(true)
            }
            Some(_) => Err(Over::Chunk),
        }
    }

    fn take(&mut self, n: usize, said: &mut Vec<Said>) -> Result<(), Over> {
        let mut pieces = Vec::new();
        let result = self.objects.push(&self.buffer[..n], &mut pieces);
        self.buffer.advance(n);
        for piece in pieces {
            said.push(match piece {
                Piece::EndOfLine => Said::EndOfLine,
                Piece::Object(text) => Said::List(List::read(&text).map_err(Over::Unreadable)?),
            });
        }
        result.map_err(Over::Spoilt)
    }
}

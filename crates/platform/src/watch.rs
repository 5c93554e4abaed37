//! A watch: an answer that stays open and holds lists, one JSON object after another, and empty lines between them.
//!
//! An object may stand on one line or be indented over several, and may come in pieces of any size (see
//! [`crate::objects`]). Free of I/O and of time: how long to wait for what is for its user.

use crate::catalog::{List, Unreadable};
use crate::objects::{Objects, Piece, Spoilt};
use bytes::{Buf, BytesMut};

/// Octets of a head at most.
const MOST_HEAD: usize = 16 * 1024;
/// Octets of a line that declares the size of a chunk.
const MOST_SIZE: usize = 64;

/// Writes the request for a watch on what changes after a version.
pub fn ask(version: u64, host: &str, out: &mut BytesMut) {
    let target = format!("/catalog/members?follow=1&since={version}");
    heronroute_http::write_request("GET", &target, host, &[], b"", out);
}

/// What a watch says.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// The answer has begun.
    Head,
    /// An empty line, or the end of a line behind a list: it lives.
    EndOfLine,
    /// A list, or changes to it.
    List(List),
}

/// Why a watch is over.
#[derive(Debug, thiserror::Error)]
pub enum Over {
    /// The question was answered otherwise than by 200.
    #[error("status {0}")]
    Status(u16),
    /// No HTTP, or a head that is too long.
    #[error("no answer that can be read")]
    Head,
    /// Chunks that can't be told apart.
    #[error("chunks that can't be told apart")]
    Chunk,
    /// The answer came to its end.
    #[error("the watch was ended")]
    Ended,
    /// Octets that are no objects.
    #[error("{0}")]
    Spoilt(Spoilt),
    /// An object that is no list.
    #[error("no list: {0}")]
    Unreadable(Unreadable),
}

/// Writes the request for the whole list, as an answer of its own.
pub fn ask_whole(host: &str, out: &mut BytesMut) {
    heronroute_http::write_request("GET", "/catalog/members", host, &[], b"", out);
}

#[derive(Clone, Copy, Debug)]
enum State {
    Head,
    /// The line with a chunk's size.
    Size,
    Chunk(usize),
    /// The line's end behind a chunk.
    Behind,
    /// Not in chunks: up to the end of the connection.
    Plain,
}

/// Reads the answer.
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
    /// Whether a list has begun that is not whole yet.
    pub fn has_begun_list(&self) -> bool {
        self.objects.has_begun()
    }

    /// Takes octets and gives what they say.
    ///
    /// # Errors
    /// Where the watch is over or can't be read on. What was said before that is in `said`.
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

    /// Whether the head is whole.
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

    /// A line of the chunks' own, where it is whole.
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

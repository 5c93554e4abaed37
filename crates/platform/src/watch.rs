//! A watch: an answer that stays open and holds one JSON object on each line.

use crate::catalog::List;
use bytes::{Buf, BytesMut};

/// Octets of a line at most.
const MOST_LINE: usize = 4 << 20;
/// Octets of a head at most.
const MOST_HEAD: usize = 16 * 1024;
/// Octets of a line that declares the size of a chunk.
const MOST_SIZE: usize = 64;

/// Writes the request for a watch on what changes after a version.
pub fn ask(version: u64, host: &str, out: &mut BytesMut) {
    let target = format!("/catalog/members?follow=1&since={version}");
    heronroute_http::write_request("GET", &target, host, &[], b"", out);
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
    line: Vec<u8>,
}

impl Default for Watch {
    fn default() -> Self {
        Watch { state: State::Head, buffer: BytesMut::new(), line: Vec::new() }
    }
}

impl Watch {
    /// Takes octets and gives the lists in them.
    ///
    /// # Errors
    /// Where the watch is over or can't be read on.
    pub fn receive(&mut self, octets: &[u8], lists: &mut Vec<List>) -> Result<(), String> {
        self.buffer.extend_from_slice(octets);
        loop {
            match self.state {
                State::Head => {
                    let mut fields = [httparse::EMPTY_HEADER; 64];
                    let mut head = httparse::Response::new(&mut fields);
                    match head.parse(&self.buffer) {
                        Ok(httparse::Status::Complete(n)) => {
                            if head.code != Some(200) {
                                return Err(format!("status {}", head.code.unwrap_or(0)));
                            }
                            let chunked = head.headers.iter().any(|h| {
                                h.name.eq_ignore_ascii_case("transfer-encoding")
                                    && h.value.to_ascii_lowercase().ends_with(b"chunked")
                            });
                            self.state = if chunked { State::Size } else { State::Plain };
                            self.buffer.advance(n);
                        }
                        Ok(httparse::Status::Partial) if self.buffer.len() <= MOST_HEAD => return Ok(()),
                        _ => return Err("no answer that can be read".to_string()),
                    }
                }
                State::Size | State::Behind => {
                    let Some(end) = self.buffer.iter().take(MOST_SIZE).position(|b| *b == b'\n') else {
                        let long = self.buffer.len() >= MOST_SIZE;
                        return if long { Err("no size of a chunk".to_string()) } else { Ok(()) };
                    };
                    let line = String::from_utf8_lossy(&self.buffer[..end]).trim().to_string();
                    self.buffer.advance(end + 1);
                    self.state = match self.state {
                        State::Behind if line.is_empty() => State::Size,
                        State::Behind => return Err("a chunk without its end".to_string()),
                        _ => match usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16) {
                            Ok(0) => return Err("the watch was ended".to_string()),
                            Ok(n) => State::Chunk(n),
                            Err(_) => return Err("no size of a chunk".to_string()),
                        },
                    };
                }
                State::Chunk(0) => self.state = State::Behind,
                State::Chunk(left) => {
                    let n = left.min(self.buffer.len());
                    if n == 0 {
                        return Ok(());
                    }
                    self.take(n, lists)?;
                    self.state = State::Chunk(left - n);
                }
                State::Plain => {
                    let n = self.buffer.len();
                    return self.take(n, lists);
                }
            }
        }
    }

    fn take(&mut self, n: usize, lists: &mut Vec<List>) -> Result<(), String> {
        for piece in self.buffer[..n].split_inclusive(|b| *b == b'\n') {
            if self.line.len() + piece.len() > MOST_LINE {
                return Err("a line too long".to_string());
            }
            self.line.extend_from_slice(piece);
            if piece.last() == Some(&b'\n') {
                if !self.line.trim_ascii().is_empty() {
                    lists.push(List::read(&self.line)?);
                }
                self.line.clear();
            }
        }
        self.buffer.advance(n);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_over_chunks_however_split() {
        let body =
            "{\"version\":1,\"full\":true,\"servers\":[]}\n\n{\"version\":2,\"full\":false,\"servers\":[]}\n";
        let (a, b) = body.split_at(20);
        let text = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{a}\r\n{:x};x=1\r\n{b}\r\n",
            a.len(),
            b.len()
        );
        for size in 1..text.len() {
            let (mut w, mut lists) = (Watch::default(), Vec::new());
            for piece in text.as_bytes().chunks(size) {
                w.receive(piece, &mut lists).unwrap();
            }
            assert_eq!(lists.iter().map(|l| l.version).collect::<Vec<_>>(), [1, 2]);
            assert!(w.receive(b"0\r\n\r\n", &mut lists).is_err(), "ended");
        }
        for bad in [
            "HTTP/1.1 503 No\r\n\r\n",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            "x\r\n",
        ] {
            assert!(Watch::default().receive(bad.as_bytes(), &mut Vec::new()).is_err());
        }
    }
}

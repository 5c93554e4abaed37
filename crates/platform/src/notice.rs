//! Notices: how a message that was taken on and is not delivered ends. Free of I/O; the clock is passed in.
//!
//! A notice is owed until the platform has answered 204. Saying one twice does no harm, so what was out when a
//! connection broke is said again. Their number is bounded by what is held: a message is open until its notice was
//! taken (see the engine).

use bytes::BytesMut;
use heronroute::Micros;
use heronroute_http::{Reader, Side, write_request};
use serde_json::json;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Notices in one request.
const MOST: usize = 200;
/// An answer comes at once; one that does not is not waited for longer.
const PATIENCE: Micros = 1_000_000;
const RETRY_FIRST: Micros = 20_000;
const RETRY_MOST: Micros = 1_000_000;

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It failed.
    Failed,
    /// It is handed back; handing it in again does no harm, after this wait.
    Returned(Micros),
}

/// A wait in whole milliseconds, rounded up, as clients and the platform are told it.
pub fn wait_ms(wait: Micros) -> Option<i64> {
    (wait > 0).then_some((wait + 999) / 1_000)
}

fn line(id: &str, end: End) -> String {
    let mut o = json!({"id": id, "state": "failed"});
    if let End::Returned(wait) = end {
        o["state"] = json!("returned");
        if let Some(ms) = wait_ms(wait) {
            o["after_ms"] = json!(ms);
        }
    }
    format!("{o}\n")
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No connection, and none before this.
    Apart(Micros),
    Connecting(Micros),
    Rests,
    /// A request is out, to be answered by then.
    Out(Micros),
}

/// The notices owed, and the connection they go on. `N`: the sender's own number for a message.
#[derive(Debug)]
pub struct Notices<N> {
    address: SocketAddr,
    waiting: VecDeque<(N, String)>,
    out: VecDeque<(N, String)>,
    state: State,
    backoff: Micros,
    reader: Reader,
}

/// What is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    /// Nothing.
    Nothing,
    /// A connection to there.
    Connect(SocketAddr),
    /// The connection is to be given up.
    Drop,
}

impl<N> Notices<N> {
    /// None is owed.
    pub fn new(address: SocketAddr) -> Self {
        Notices {
            address,
            waiting: VecDeque::new(),
            out: VecDeque::new(),
            state: State::Apart(0),
            backoff: RETRY_FIRST,
            reader: Reader::new(Side::Responses, 4_096),
        }
    }

    /// Notices that were not taken yet.
    pub fn owed(&self) -> usize {
        self.waiting.len() + self.out.len()
    }

    /// One more is owed.
    pub fn owe(&mut self, message: N, id: &str, end: End) {
        self.waiting.push_back((message, line(id, end)));
    }

    /// Where they go from now on. The connection at hand, if there is one, is to be given up: guards against notices
    /// that go on to an address which is about to close.
    pub fn moved(&mut self, now: Micros, address: SocketAddr) {
        self.address = address;
        self.ended(now);
        (self.state, self.backoff) = (State::Apart(now), RETRY_FIRST);
    }

    /// When [`Notices::tick`] is next needed.
    pub fn wake(&self) -> Micros {
        match self.state {
            State::Apart(at) if self.owed() > 0 => at,
            State::Connecting(at) | State::Out(at) => at,
            State::Rests if !self.waiting.is_empty() => 0,
            _ => Micros::MAX,
        }
    }

    /// Acts on time, and on what is owed.
    pub fn tick(&mut self, now: Micros, out: &mut BytesMut) -> Want {
        match self.state {
            State::Apart(at) if at <= now && self.owed() > 0 => {
                self.state = State::Connecting(now + PATIENCE);
                Want::Connect(self.address)
            }
            State::Connecting(at) | State::Out(at) if at <= now => {
                self.ended(now);
                Want::Drop
            }
            State::Rests => {
                self.write(now, out);
                Want::Nothing
            }
            _ => Want::Nothing,
        }
    }

    /// The connection stands.
    pub fn connected(&mut self, now: Micros, out: &mut BytesMut) {
        self.reader = Reader::new(Side::Responses, 4_096);
        self.state = State::Rests;
        self.write(now, out);
    }

    fn write(&mut self, now: Micros, out: &mut BytesMut) {
        let n = self.waiting.len().min(MOST);
        if n == 0 {
            return;
        }
        self.out.extend(self.waiting.drain(..n));
        let body: String = self.out.iter().map(|(_, line)| line.as_str()).collect();
        let host = self.address.to_string();
        write_request(
            "POST",
            "/v1/outcomes",
            &host,
            &[("content-type", "application/json")],
            body.as_bytes(),
            out,
        );
        self.state = State::Out(now + PATIENCE);
    }

    /// Octets came. Gives the messages whose notices were taken; an error where the connection is of no more use.
    ///
    /// # Errors
    /// Says why.
    pub fn receive(&mut self, now: Micros, octets: &[u8], out: &mut BytesMut) -> Result<Vec<N>, String> {
        self.reader.push(octets);
        let mut taken = Vec::new();
        loop {
            match self.reader.next_message() {
                Ok(None) => return Ok(taken),
                Ok(Some(m)) if (100..200).contains(&m.status()) => {}
                Ok(Some(m)) if matches!(self.state, State::Out(_)) && (200..300).contains(&m.status()) => {
                    taken.extend(self.out.drain(..).map(|(n, _)| n));
                    (self.state, self.backoff) = (State::Rests, RETRY_FIRST);
                    if m.last {
                        self.state = State::Apart(now);
                        return Ok(taken);
                    }
                    self.write(now, out);
                }
                Ok(Some(m)) => return Err(format!("notices were answered {}", m.status())),
                Err(e) => return Err(e.0.to_string()),
            }
        }
    }

    /// Whether the connection is over after what was heard.
    pub fn apart(&self) -> bool {
        matches!(self.state, State::Apart(_))
    }

    /// The connection is gone: what was out is owed again.
    pub fn ended(&mut self, now: Micros) {
        while let Some(n) = self.out.pop_back() {
            self.waiting.push_front(n);
        }
        if !self.apart() {
            self.state = State::Apart(now + self.backoff);
            self.backoff = (self.backoff * 2).min(RETRY_MOST);
        }
    }
}

/// The answer that a client hears for a message that was refused at once.
pub fn busy(wait: Micros) -> String {
    wait_ms(wait).map_or("BUSY".to_string(), |ms| format!("BUSY {ms}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn owed_until_taken_also_over_a_break_and_a_move() {
        let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let (mut n, mut out) = (Notices::new(at(1)), BytesMut::new());
        assert_eq!(n.wake(), Micros::MAX, "nothing is owed");
        n.owe(1, "a", End::Failed);
        n.owe(2, "b", End::Returned(1_500));
        assert_eq!(n.tick(0, &mut out), Want::Connect(at(1)));
        n.connected(5, &mut out);
        let text = String::from_utf8_lossy(&out).into_owned();
        assert!(text.starts_with("POST /v1/outcomes HTTP/1.1\r\n"));
        assert!(text.contains("{\"id\":\"a\",\"state\":\"failed\"}\n"));
        assert!(text.contains("\"after_ms\":2") && text.contains("\"state\":\"returned\""));
        out.clear();
        n.moved(10, at(2));
        assert_eq!(
            (n.owed(), n.tick(10, &mut out)),
            (2, Want::Connect(at(2))),
            "said again at the new address"
        );
        n.connected(11, &mut out);
        assert!(out.len() > text.len() - 8);
        n.owe(3, "c", End::Failed);
        out.clear();
        let taken = n.receive(12, b"HTTP/1.1 204 No Content\r\n\r\n", &mut out).unwrap();
        assert_eq!((taken, n.owed()), (vec![1, 2], 1));
        assert!(!out.is_empty(), "the next goes on the same connection");
        assert_eq!(n.tick(12 + PATIENCE, &mut out), Want::Drop, "no answer");
        assert_eq!(n.tick(13 + PATIENCE + RETRY_FIRST, &mut out), Want::Connect(at(2)));
        n.connected(14 + PATIENCE, &mut out);
        assert!(n.receive(15, b"HTTP/1.1 400 Bad\r\ncontent-length: 0\r\n\r\n", &mut out).is_err());
        assert_eq!(n.owed(), 1);
    }
}

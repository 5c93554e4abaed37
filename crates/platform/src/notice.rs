//! Notices: how a message that was taken on and is not delivered ends. Free of I/O; the clock is passed in.
//!
//! A notice is owed until the platform has answered 204. Saying one twice does no harm, so what was out when a
//! connection broke is said again. Their number is bounded by what is held: a message is open until its notice was
//! taken (see the engine).

use bytes::BytesMut;
use heronroute::Micros;
use heronroute_http::{Reader, Side, Unreadable, write_request};
use serde_json::json;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Notices in one request.
const MOST: usize = 200;
/// The platform answers at once: a connection or an answer that does not come within this is given up. Guards against a
/// message that counts as lost since the connection for its notice hung: two attempts may fail within the 300 ms in which
/// a message's end must be told after its time is up.
const PATIENCE: Micros = 100_000;
/// After attempts that failed in a row the next one is waited for this many times the pause before it, where that is
/// longer. Guards against asking for ever a platform that is slower than [`PATIENCE`].
const PATIENCE_PER_PAUSE: Micros = 5;
/// The pause after the first attempt that failed; it doubles with each that follows.
const RETRY_FIRST: Micros = 10_000;
/// The longest pause between attempts.
const RETRY_MOST: Micros = 200_000;

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

/// Why a connection for notices can't be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoticeError {
    /// The platform refused notices, or answered without a request.
    #[error("notices were answered {0}")]
    Status(u16),
    /// The answer can't be read.
    #[error(transparent)]
    Unreadable(#[from] Unreadable),
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
                self.state = State::Connecting(now + self.patience());
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

    /// For how long a connection or an answer is waited for.
    fn patience(&self) -> Micros {
        PATIENCE.max(PATIENCE_PER_PAUSE * self.backoff)
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
        self.state = State::Out(now + self.patience());
    }

    /// Octets came. Gives the messages whose notices were taken; an error where the connection is of no more use.
    ///
    /// # Errors
    /// Why the connection can't be used any more.
    pub fn receive(&mut self, now: Micros, octets: &[u8], out: &mut BytesMut) -> Result<Vec<N>, NoticeError> {
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
                Ok(Some(m)) => return Err(NoticeError::Status(m.status())),
                Err(e) => return Err(e.into()),
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

//! The endpoints' side of a connection, which several threads look at. The network may delay what crosses it.

use crate::world::World;
use socket2::SockRef;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(1);

struct State {
    /// None once the endpoint has reset the connection.
    stream: Option<TcpStream>,
    /// What the process has sent and the endpoint does not see yet, with the time at which it does.
    in_transit: VecDeque<(Instant, Vec<u8>)>,
    unread: Vec<u8>,
    /// When the first of the unread octets came.
    unread_since: Option<Instant>,
    /// Whether the process has closed the connection or ended its sending on it, seen or not.
    ended: bool,
    /// Whether a copy of an answer was written, which the process may take for an answer.
    has_copies: bool,
    /// The number of writes.
    writes: usize,
}

impl State {
    /// Reads all that has come, and sees whether the connection has ended.
    fn read(&mut self, delay: Duration) {
        self.receive(delay);
        while let Some((seen_at, octets)) = self.in_transit.pop_front_if(|(at, _)| *at <= Instant::now()) {
            self.unread_since.get_or_insert(seen_at);
            self.unread.extend_from_slice(&octets);
        }
    }

    fn receive(&mut self, delay: Duration) {
        let mut buffer = [0; 8_192];
        let Some(stream) = &mut self.stream else { return };
        while !self.ended {
            match stream.read(&mut buffer) {
                Ok(length @ 1..) => {
                    self.in_transit.push_back((Instant::now() + delay, buffer[..length].to_vec()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Ok(_) | Err(_) => self.ended = true,
            }
        }
    }
}

/// What the endpoint does to a connection.
enum Outgoing {
    Text(String),
    Reset,
}

/// Carries out what an endpoint does, each a while later, and in the end closes the connection.
fn deliver(
    mut stream: TcpStream,
    delay: Duration,
    outgoing: &Receiver<(Instant, Outgoing)>,
    arrived: &AtomicUsize,
) {
    while let Ok((at, action)) = outgoing.recv() {
        sleep((at + delay).saturating_duration_since(Instant::now()));
        match action {
            Outgoing::Text(text) => _ = stream.write_all(text.as_bytes()),
            Outgoing::Reset => return reset(&stream),
        }
        arrived.fetch_add(1, Ordering::SeqCst);
    }
    sleep(delay);
}

fn reset(stream: &TcpStream) {
    _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// A connection from the process.
pub struct Connection {
    state: Mutex<State>,
    /// Held while an answer is written, so that the pieces of two answers don't mix.
    writing: Mutex<()>,
    accepted: Instant,
    /// How long the network takes, each way.
    delay: Duration,
    /// The number of writes that have crossed the network, where it takes time.
    arrived: Arc<AtomicUsize>,
    /// To the thread that writes a while later, where the network takes time.
    outgoing: Option<Sender<(Instant, Outgoing)>>,
}

impl Connection {
    pub fn new(stream: TcpStream, delay: Duration) -> Self {
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        let arrived = Arc::new(AtomicUsize::new(0));
        let outgoing = (!delay.is_zero()).then(|| {
            let (sender, receiver) = channel();
            let (stream, arrived) = (stream.try_clone().unwrap(), arrived.clone());
            spawn(move || deliver(stream, delay, &receiver, &arrived));
            sender
        });
        let state = State {
            stream: Some(stream),
            in_transit: VecDeque::new(),
            unread: Vec::new(),
            unread_since: None,
            ended: false,
            has_copies: false,
            writes: 0,
        };
        Connection {
            state: Mutex::new(state),
            writing: Mutex::new(()),
            accepted: Instant::now(),
            delay,
            arrived,
            outgoing,
        }
    }

    /// The connection in words: how long ago it was accepted, and whether it is open.
    pub fn description(&self) -> String {
        let state = if self.is_open() { "open" } else { "closed" };
        format!("a connection accepted {:?} ago, {state}", self.accepted.elapsed())
    }

    /// Whether the process has neither closed the connection nor ended its sending on it.
    pub fn is_open(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        state.read(self.delay);
        !state.ended
    }

    /// The next request whole, and when its first octet came; none at the end of the connection, or where nothing has
    /// come for as long as an idle connection is kept.
    pub fn next_request(&self, idle: Duration, world: &World) -> Option<(String, Instant)> {
        let idle_until = Instant::now() + idle;
        while !world.is_over() {
            let mut state = self.state.lock().unwrap();
            state.read(self.delay);
            if let Some(length) = request_length(&state.unread) {
                let request: Vec<u8> = state.unread.drain(..length).collect();
                let began = state.unread_since.take().unwrap_or_else(Instant::now);
                if !state.unread.is_empty() {
                    state.unread_since = Some(Instant::now());
                }
                return Some((String::from_utf8_lossy(&request).into_owned(), began));
            }
            let has_all = state.ended && state.in_transit.is_empty();
            if has_all || (state.unread.is_empty() && Instant::now() >= idle_until) {
                return None;
            }
            drop(state);
            sleep(POLL_INTERVAL);
        }
        None
    }

    /// Records that a copy of an answer is written.
    pub fn mark_copied(&self) {
        self.state.lock().unwrap().has_copies = true;
    }

    /// Whether bytes of a further call have come before the answer to the one that was read last, though nothing on the
    /// connection could have been taken for that answer.
    pub fn has_call_behind(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        state.read(self.delay);
        !state.has_copies && !state.unread.is_empty()
    }

    /// Waits until no other answer is being written, and keeps others from it.
    pub fn begin_answer(&self) -> MutexGuard<'_, ()> {
        self.writing.lock().unwrap()
    }

    /// Writes octets, which are few. False where the connection has ended.
    pub fn write(&self, text: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        state.read(self.delay);
        if state.ended {
            return false;
        }
        state.writes += 1;
        if let Some(outgoing) = &self.outgoing {
            return outgoing.send((Instant::now(), Outgoing::Text(text.to_string()))).is_ok();
        }
        state.stream.as_mut().is_some_and(|stream| stream.write_all(text.as_bytes()).is_ok())
    }

    /// Waits until what was written has crossed the network. False if the process has closed the connection before.
    pub fn has_arrived(&self) -> bool {
        let writes = self.state.lock().unwrap().writes;
        while self.outgoing.is_some() && self.arrived.load(Ordering::SeqCst) < writes {
            if !self.is_open() {
                return false;
            }
            sleep(POLL_INTERVAL);
        }
        self.is_open()
    }

    /// Resets the connection: what has not been read is dropped.
    pub fn reset(&self) {
        let mut state = self.state.lock().unwrap();
        state.ended = true;
        let stream = state.stream.take();
        match (&self.outgoing, stream) {
            (Some(outgoing), _) => _ = outgoing.send((Instant::now(), Outgoing::Reset)),
            (None, Some(stream)) => reset(&stream),
            (None, None) => {}
        }
    }

    /// Waits for a span. False as soon as the connection has ended.
    pub fn stays_open_for(&self, span: Duration, world: &World) -> bool {
        let end = Instant::now() + span;
        while Instant::now() < end && !world.is_over() {
            if !self.is_open() {
                return false;
            }
            sleep(POLL_INTERVAL);
        }
        self.is_open()
    }
}

/// The length of the first request, if all of it is there.
fn request_length(octets: &[u8]) -> Option<usize> {
    let head = octets.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&octets[..head]).to_ascii_lowercase();
    let body = text.split("content-length: ").nth(1).and_then(|t| t.split("\r\n").next()?.parse().ok());
    let length = head + body.unwrap_or(0);
    (octets.len() >= length).then_some(length)
}

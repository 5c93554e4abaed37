//! Clients of a run: each submits a few messages at once, on one connection for as long as that stays open, and at times
//! one of them once more under its id.

use crate::alone::out_add_with_body;
use crate::world::Random;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A message's time.
pub const MESSAGE_TIME: Duration = Duration::from_millis(2_500);
/// How long a client waits for its answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// The destinations, by number from 1. The last one takes several messages in a call.
pub const DESTINATIONS: u64 = 3;
/// The most messages that a client submits at once.
const MOST_AT_ONCE: u64 = 4;
/// Of so many rounds, in one a message is submitted once more.
const AGAIN_EVERY: u64 = 8;
/// The messages that a client may submit once more: its latest ones, whose ids are still known.
const LATEST: usize = 20;

/// The response to a request, as its client sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Accepted, at this time.
    Accepted(Instant),
    /// Refused, at this time: submitting the message again is harmless.
    Busy(Instant),
    /// Any other line.
    Other(String),
    /// Nothing in time; the client closed the connection.
    TimedOut,
    /// The connection ended first, at this time, on a connection that was new, or on two one behind the other.
    Closed(Instant),
    /// The client left at this time, before the process can have read the request.
    LeftUnread(Instant),
}

/// What stands in the id of a message with a large body, before the body's size in bytes.
const LARGE_MARK: &str = "-large";
/// Of so many messages one has a large body, in runs that have any.
const LARGE_EVERY: u64 = 3;
/// The sizes of large bodies, in bytes. A body has at most 64 KiB.
const LARGE_BYTES: std::ops::Range<u64> = 1_000..60_000;

/// A submitted message.
#[derive(Clone, Debug)]
pub struct Submitted {
    /// The number of the process that it was submitted to.
    pub process: usize,
    pub id: String,
    pub class: &'static str,
    pub dest: u64,
    pub at: Instant,
    pub response: Response,
    /// The response to the same id, where the message was submitted once more after it had been accepted.
    pub again: Option<Response>,
}

impl Submitted {
    pub fn is_accepted(&self) -> bool {
        matches!(self.response, Response::Accepted(_))
    }
}

/// One client's connection, opened anew where it has ended.
struct Link {
    listen: SocketAddr,
    stream: Option<TcpStream>,
    /// Whether a request has been answered on it.
    is_used: bool,
}

/// The body of a message: bytes that end lines elsewhere, and its id; in a large one as many further bytes as its id says.
pub fn body_of(id: &str) -> String {
    let text = format!("\r\n{{{id}}}\r\n\r\n");
    let large_bytes = id.rsplit_once(LARGE_MARK).and_then(|(_, bytes)| bytes.parse().ok());
    text + &"x".repeat(large_bytes.unwrap_or(0))
}

/// The names and values of a message.
pub fn pairs_of(id: &str, class: &str, dest: u64) -> String {
    format!("c={class},t=t,d={},k=key-{id},dest={dest}", MESSAGE_TIME.as_millis())
}

/// The request that submits a message.
fn request_of(message: &Submitted) -> String {
    let pairs = pairs_of(&message.id, message.class, message.dest);
    out_add_with_body(&message.id, &pairs, &body_of(&message.id))
}

/// Whether a line is `-BUSY` or `-BUSY MS`.
fn is_busy(line: &str) -> bool {
    match line.strip_prefix("-BUSY") {
        Some("") => true,
        Some(wait) => wait.strip_prefix(' ').is_some_and(|wait| wait.parse::<u64>().is_ok()),
        None => false,
    }
}

fn parse_response(line: &str) -> Response {
    match line {
        line if line.starts_with('+') => Response::Accepted(Instant::now()),
        line if is_busy(line) => Response::Busy(Instant::now()),
        line => Response::Other(line.to_string()),
    }
}

impl Link {
    /// Connects where it has to, which may take long.
    fn connect(&mut self) {
        if self.stream.is_none() {
            self.stream = TcpStream::connect(self.listen).ok();
            self.is_used = false;
        }
    }

    /// Submits requests together, and gives when that was, and the response to each, in their order. A connection
    /// that ends before the first answer, and had been used, may have crossed the requests: they are submitted once more.
    fn submit(&mut self, requests: &str, count: usize) -> (Instant, Vec<Response>) {
        let (at, was_used) = (Instant::now(), self.is_used);
        let responses = self.submit_once(requests, count);
        if was_used && matches!(responses[0], Response::Closed(_)) {
            self.connect();
            return (Instant::now(), self.submit_once(requests, count));
        }
        (at, responses)
    }

    fn submit_once(&mut self, requests: &str, count: usize) -> Vec<Response> {
        let Some(stream) = &mut self.stream else { return vec![Response::TimedOut; count] };
        _ = stream.set_nodelay(true);
        _ = stream.set_read_timeout(Some(ANSWER_TIMEOUT));
        let (mut text, mut octets) = (String::new(), [0; 1_024]);
        let mut all: Vec<Response> = Vec::new();
        let mut end = stream.write_all(requests.as_bytes()).err().map(|_| Response::TimedOut);
        while end.is_none() && all.len() < count {
            match stream.read(&mut octets) {
                Ok(length @ 1..) => {
                    text.push_str(&String::from_utf8_lossy(&octets[..length]));
                    all.extend(std::iter::from_fn(|| take_line(&mut text)).map(|line| parse_response(&line)));
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    end = Some(Response::TimedOut);
                }
                Ok(_) | Err(_) => end = Some(Response::Closed(Instant::now())),
            }
        }
        self.is_used |= !all.is_empty();
        if let Some(end) = end {
            self.stream = None;
            all.resize(count, end);
        }
        all
    }
}

/// Takes the first line, if all of it is there.
fn take_line(text: &mut String) -> Option<String> {
    let length = text.find("\r\n")?;
    let line = text[..length].to_string();
    text.drain(..length + "\r\n".len());
    Some(line)
}

/// One client of a process: submits messages until the end of the run.
pub fn client(
    (process, listen): (usize, SocketAddr),
    name: u64,
    seed: u64,
    has_large_bodies: bool,
    stop: &AtomicBool,
    all_messages: &Mutex<Vec<Submitted>>,
) {
    let mut random = Random::new(seed);
    let mut link = Link { listen, stream: None, is_used: false };
    let (mut submitted, mut latest) = (0, Vec::<(usize, Submitted)>::new());
    while !stop.load(Ordering::Relaxed) {
        link.connect();
        let dest = 1 + random.below(DESTINATIONS);
        let count = 1 + random.below(MOST_AT_ONCE) / 2;
        let mut requests = String::new();
        let mut messages = Vec::new();
        for _ in 0..count {
            submitted += 1;
            let class = ["safe", "keyed", "once"][random.below(3) as usize];
            let mut id = format!("c{name}-{submitted}");
            if has_large_bodies && random.one_in(LARGE_EVERY) {
                let bytes = LARGE_BYTES.start + random.below(LARGE_BYTES.end - LARGE_BYTES.start);
                id = format!("{id}{LARGE_MARK}{bytes}");
            }
            let (at, response) = (Instant::now(), Response::TimedOut);
            let message = Submitted { process, id, class, dest, at, response, again: None };
            requests += &request_of(&message);
            messages.push(message);
        }
        let (at, responses) = link.submit(&requests, messages.len());
        messages
            .iter_mut()
            .zip(responses)
            .for_each(|(message, response)| (message.at, message.response) = (at, response));
        let mut all = all_messages.lock().unwrap();
        latest
            .extend(messages.iter().enumerate().map(|(index, message)| (all.len() + index, message.clone())));
        latest.retain(|(_, message)| message.is_accepted());
        latest.drain(..latest.len().saturating_sub(LATEST));
        all.extend(messages);
        drop(all);
        sleep(random.millis(10, 60));
        if random.one_in(AGAIN_EVERY) && !latest.is_empty() {
            let (index, message) = latest.remove(random.below(latest.len() as u64) as usize);
            link.connect();
            let responses = link.submit_once(&request_of(&message), 1);
            all_messages.lock().unwrap()[index].again = responses.into_iter().next();
        }
    }
}

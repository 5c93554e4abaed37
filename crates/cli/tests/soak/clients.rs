//! Clients of a run: each submits a few messages at once, on one connection for as long as that stays open; a crowd rests on
//! connections that say nothing.

use crate::alone::out_add_as;
use crate::world::Random;
use std::io::{Read, Write};
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
/// The connections of a crowd: more than the process has descriptors.
const CROWD: usize = 300;

/// A submitted message.
#[derive(Clone, Debug)]
pub struct Submitted {
    /// The number of the process that it was submitted to.
    pub process: usize,
    pub id: String,
    pub class: &'static str,
    pub at: Instant,
    pub accepted: bool,
}

/// One client's connection, opened anew where it has ended.
struct Link {
    listen: SocketAddr,
    stream: Option<TcpStream>,
}

impl Link {
    /// Connects where it has to, which may take long.
    fn connect(&mut self) {
        if self.stream.is_none() {
            self.stream = TcpStream::connect(self.listen).ok();
        }
    }

    /// Submits requests together, and gives which of them were accepted, in their order.
    fn submit(&mut self, requests: &str, count: usize) -> Vec<bool> {
        let Some(stream) = &mut self.stream else { return vec![false; count] };
        _ = stream.set_nodelay(true);
        _ = stream.set_read_timeout(Some(ANSWER_TIMEOUT));
        let (mut text, mut octets) = (String::new(), [0; 1_024]);
        let mut open = stream.write_all(requests.as_bytes()).is_ok();
        while open && text.matches("\r\n").count() < count {
            match stream.read(&mut octets) {
                Ok(length @ 1..) => text.push_str(&String::from_utf8_lossy(&octets[..length])),
                _ => open = false,
            }
        }
        if !open {
            self.stream = None;
        }
        let whole = text.rsplit_once("\r\n").map_or("", |(whole, _)| whole);
        let mut accepted: Vec<bool> = whole.split("\r\n").map(|line| line.starts_with("+OK")).collect();
        accepted.resize(count, false);
        accepted
    }
}

/// One client of a process: submits messages until the end of the run.
pub fn client(
    (process, listen): (usize, SocketAddr),
    name: u64,
    seed: u64,
    stop: &AtomicBool,
    all: &Mutex<Vec<Submitted>>,
) {
    let mut random = Random::new(seed);
    let mut link = Link { listen, stream: None };
    let mut submitted = 0;
    while !stop.load(Ordering::Relaxed) {
        link.connect();
        let dest = 1 + random.below(DESTINATIONS);
        let count = 1 + random.below(MOST_AT_ONCE) / 2;
        let mut requests = String::new();
        let mut messages = Vec::new();
        for _ in 0..count {
            submitted += 1;
            let class = ["safe", "keyed", "once"][random.below(3) as usize];
            let id = format!("c{name}-{submitted}");
            let pairs = format!("c={class},t=t,d={},k=key-{id},dest={dest}", MESSAGE_TIME.as_millis());
            requests += &out_add_as(&id, &pairs);
            messages.push(Submitted { process, id, class, at: Instant::now(), accepted: false });
        }
        let accepted = link.submit(&requests, messages.len());
        messages.iter_mut().zip(accepted).for_each(|(message, accepted)| message.accepted = accepted);
        all.lock().unwrap().extend(messages);
        sleep(random.millis(10, 60));
    }
}

/// A crowd of idle clients: each connects again once it was closed.
pub fn crowd(listen: SocketAddr, stop: &AtomicBool) {
    let mut idle: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        idle.retain(|stream| {
            !matches!(stream.peek(&mut [0]), Ok(0)) && stream.take_error().is_ok_and(|error| error.is_none())
        });
        while idle.len() < CROWD {
            let Ok(stream) = TcpStream::connect_timeout(&listen, Duration::from_millis(50)) else { break };
            _ = stream.set_nonblocking(true);
            idle.push(stream);
        }
        sleep(Duration::from_millis(20));
    }
}

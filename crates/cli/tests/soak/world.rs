//! What all parts of a run share: the random numbers of its seed, and what was seen of each message outside the process.

use crate::connection::Connection;
use crate::listing::Listing;
use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A small generator, the same for the same seed.
#[derive(Clone)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn below(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % end
    }

    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }

    pub fn micros(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(from + self.below(to - from))
    }

    pub fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

/// What was seen of a message outside the process.
#[derive(Clone, Debug, Default)]
pub struct Trail {
    /// When each call with which it ran, or may have run, was sent.
    pub runs: Vec<Instant>,
    /// When it last ran, or may have run, by a call whose connection the process had not closed before it was read.
    pub last_open_run: Option<Instant>,
    /// The endpoint of each call with it that was read whole, and when its first octet came.
    pub calls: Vec<(usize, Instant)>,
    /// What is wrong with one of those calls by itself.
    pub malformed: Vec<String>,
    /// When an answer that ends it had reached the process: 410, 504, or their states in a list.
    pub ended: Option<Instant>,
    /// Each wait that was told with an answer to it: from when, until when.
    pub waits: Vec<(Instant, Instant)>,
    /// When a call with it came while an earlier one was out on a connection that the process had not closed.
    pub overlaps: Vec<Instant>,
    /// When a 200 was written for it.
    pub delivered: Option<Instant>,
    /// When its first notice came.
    pub noticed: Option<Instant>,
    /// Whether a further call came on the connection of one with it before that was answered.
    pub has_call_behind: bool,
    /// Whether a notice said that submitting it again is harmless.
    pub returned: bool,
    /// Whether a notice said that it failed.
    pub failed: bool,
    /// Notices that can't be read.
    pub bad_notices: Vec<String>,
    /// All that was seen of it, in words.
    pub steps: Vec<String>,
}

/// All that was seen, by the message's id.
#[derive(Default)]
pub struct World {
    pub trails: Mutex<HashMap<String, Trail>>,
    pub listing: Listing,
    /// The connections with a call that is out, by the ids of the call's messages.
    calls_out: Mutex<HashMap<String, Vec<Arc<Connection>>>>,
    /// The ends of the spans in which endpoints hang, by the endpoint's number.
    hung_until: Mutex<HashMap<usize, Instant>>,
    /// The processes whose notices are not acknowledged, as they are about to be killed.
    held_acknowledgements: Mutex<HashSet<usize>>,
    pub over: AtomicBool,
}

impl World {
    pub fn with(&self, id: &str, change: impl FnOnce(&mut Trail)) {
        change(self.trails.lock().unwrap().entry(id.to_string()).or_default());
    }

    pub fn step(&self, ids: &[String], text: &str) {
        let at = Instant::now();
        for id in ids {
            self.with(id, |trail| trail.steps.push(format!("{at:?} {text}")));
        }
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Lets discovery read a process's notices without acknowledging them, from just before it is killed until it is.
    pub fn hold_acknowledgements(&self, process: usize, held: bool) {
        let mut all = self.held_acknowledgements.lock().unwrap();
        if held {
            all.insert(process);
        } else {
            all.remove(&process);
        }
    }

    pub fn wait_while_acknowledgements_are_held(&self, process: usize) {
        while !self.is_over() && self.held_acknowledgements.lock().unwrap().contains(&process) {
            sleep(Duration::from_millis(2));
        }
    }

    /// Lets an endpoint hang for a span: it neither runs nor answers calls.
    pub fn hang(&self, endpoint: usize, span: Duration) {
        self.hung_until.lock().unwrap().insert(endpoint, Instant::now() + span);
    }

    pub fn is_hung(&self, endpoint: usize) -> bool {
        self.hung_until.lock().unwrap().get(&endpoint).is_some_and(|until| Instant::now() < *until)
    }

    /// Records that a call was read whole, and whether another one with the same message is out. One that was given up
    /// before it was read is not. Returns whether the connection is open.
    pub fn call_began(&self, ids: &[String], connection: &Arc<Connection>) -> bool {
        if !connection.is_open() {
            return false;
        }
        let mut calls_out = self.calls_out.lock().unwrap();
        for id in ids {
            let earlier = calls_out.entry(id.clone()).or_default();
            if earlier.iter().any(|other| !Arc::ptr_eq(other, connection) && other.is_open()) {
                self.with(id, |trail| trail.overlaps.push(Instant::now()));
            }
            earlier.push(connection.clone());
        }
        true
    }

    /// Records that a call is answered, or that its connection has ended.
    pub fn call_ended(&self, ids: &[String], connection: &Arc<Connection>) {
        let mut calls_out = self.calls_out.lock().unwrap();
        for id in ids {
            calls_out.entry(id.clone()).or_default().retain(|other| !Arc::ptr_eq(other, connection));
        }
    }
}

/// Listens at an address, and serves each connection on a thread of its own.
pub fn serve(
    address: Ipv4Addr,
    world: &Arc<World>,
    serve: impl Fn(TcpStream, u64) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((address, 0)).unwrap();
    let at = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    let (world, serve) = (world.clone(), Arc::new(serve));
    spawn(move || {
        let mut count = 0;
        while !world.is_over() {
            let Ok((stream, _)) = listener.accept() else {
                sleep(Duration::from_millis(2));
                continue;
            };
            count += 1;
            let serve = serve.clone();
            spawn(move || serve(stream, count));
        }
    });
    at
}

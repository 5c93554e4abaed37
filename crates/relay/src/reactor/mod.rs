//! The relay's thread: one poll for all links and their connections.

mod link;
mod pair;

use crate::Micros;
use crate::fault::{Door, Flow, Shape, Way};
use crate::relay::{LinkCounts, LinkSpec};
use link::Listening;
pub(crate) use link::mix;
use mio::{Events, Interest, Poll, Token, Waker};
use pair::{After, Pair};
use slab::Slab;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Something to do on the thread.
pub(crate) type Job = Box<dyn FnOnce(&mut Reactor) + Send>;

const WAKER: Token = Token(0);
/// How long a listener waits when the system had no descriptor for a connection.
const PAUSE: Micros = 20_000;

/// What a timer is for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Pair(usize),
    Listener(usize),
}

pub(crate) struct Reactor {
    poll: Poll,
    jobs: Receiver<Job>,
    began: Instant,
    seed: u64,
    links: Vec<Listening>,
    pairs: Slab<Pair>,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    /// What one read takes; one for all.
    buffer: Vec<u8>,
    stopped: bool,
}

/// Tokens: 0 the waker; odd ones a listener; even ones a side of a connection.
fn listener_token(link: usize) -> Token {
    Token(2 * link + 1)
}

fn side_token(pair: usize, side: usize) -> Token {
    Token(2 * (2 * pair + side) + 2)
}

impl Reactor {
    pub fn new(seed: u64, jobs: Receiver<Job>) -> io::Result<(Self, Waker)> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKER)?;
        let (links, pairs, timers) = (Vec::new(), Slab::new(), BinaryHeap::new());
        let (began, buffer) = (Instant::now(), vec![0; 64 * 1024]);
        Ok((Reactor { poll, jobs, began, seed, links, pairs, timers, buffer, stopped: false }, waker))
    }

    fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// Until it is stopped or its poll fails.
    pub fn run(&mut self) {
        let mut events = Events::with_capacity(1024);
        while !self.stopped {
            let now = self.now();
            let wait =
                self.timers.peek().map(|Reverse((at, _))| Duration::from_micros(at.saturating_sub(now)));
            if let Err(e) = self.poll.poll(&mut events, wait)
                && e.kind() != io::ErrorKind::Interrupted
            {
                return;
            }
            for event in &events {
                self.event(event);
            }
            while let Ok(job) = self.jobs.try_recv() {
                job(self);
            }
            let now = self.now();
            while let Some(Reverse((at, timer))) = self.timers.peek().copied()
                && at <= now
            {
                self.timers.pop();
                match timer {
                    Timer::Listener(link) => self.accept(link),
                    Timer::Pair(key) => {
                        // An earlier one may have taken its place, and the key another connection's: looked at, not counted.
                        if self.pairs.get(key).is_some_and(|p| p.wake == Some(at)) {
                            self.pump(key);
                        }
                    }
                }
            }
        }
    }

    pub fn stop(&mut self) {
        self.stopped = true;
        for (_, pair) in &mut self.pairs {
            pair.reset();
        }
        self.pairs.clear();
        self.links.clear();
    }

    fn event(&mut self, event: &mio::event::Event) {
        let token = event.token();
        if token == WAKER {
            return;
        }
        if token.0 % 2 == 1 {
            return self.accept(token.0 / 2);
        }
        let (key, side) = ((token.0 - 2) / 4, (token.0 - 2) / 2 % 2);
        let Some(pair) = self.pairs.get_mut(key) else { return };
        pair.ready(
            side,
            event.is_readable() || event.is_read_closed() || event.is_error(),
            event.is_writable(),
        );
        self.pump(key);
    }

    pub fn add(&mut self, spec: LinkSpec) -> io::Result<(usize, SocketAddr)> {
        let index = self.links.len();
        let mut link = Listening::new(spec)?;
        link.open(self.poll.registry(), listener_token(index))?;
        let at = link.address();
        self.links.push(link);
        Ok((index, at))
    }

    fn accept(&mut self, index: usize) {
        while let Some(link) = self.links.get_mut(index) {
            let stream = match link.accept() {
                Ok(Some(stream)) => stream,
                Ok(None) => return,
                Err(_) => {
                    // Out of descriptors: the readiness that was told once is not told again.
                    let at = self.now() + PAUSE;
                    return self.timers.push(Reverse((at, Timer::Listener(index))));
                }
            };
            if link.door == Door::Reset {
                link.counts.reset += 1;
                pair::reset(stream);
                continue;
            }
            let seeds = link.seeds(self.seed, index);
            let pair = Pair::new(index, stream, &link.spec, link.shapes, seeds, link.counts.accepted);
            let key = self.pairs.insert(pair);
            if let Some(oldest) = link.entered(key) {
                self.remove(oldest, true);
            }
            if let Some(pair) = self.pairs.get_mut(key)
                && let Some(stream) = pair.stream(0)
                && self.poll.registry().register(stream, side_token(key, 0), both()).is_err()
            {
                self.remove(key, true);
                continue;
            }
            self.pump(key);
        }
    }

    /// Moves what can move.
    fn pump(&mut self, key: usize) {
        let now = self.now();
        let Some(pair) = self.pairs.get_mut(key) else { return };
        let Some(link) = self.links.get_mut(pair.link) else { return };
        if pair.waits()
            && link.lets_in()
            && !pair.dial(link.spec.to, |stream| {
                self.poll.registry().register(stream, side_token(key, 1), both())
            })
        {
            link.counts.failed += 1;
            return self.remove(key, true);
        }
        let after = pair.pump(now, &mut self.buffer);
        link.counts.reached += u64::from(std::mem::take(&mut pair.reached));
        match after {
            After::Goes(wake) => {
                if wake.is_some() && wake != pair.wake {
                    self.timers.extend(wake.map(|at| Reverse((at, Timer::Pair(key)))));
                }
                pair.wake = wake;
            }
            After::Failed => {
                link.counts.failed += 1;
                self.remove(key, true);
            }
            After::Closed => self.remove(key, false),
            After::Reset => self.remove(key, true),
        }
    }

    fn remove(&mut self, key: usize, reset: bool) {
        let Some(mut pair) = self.pairs.try_remove(key) else { return };
        if reset {
            pair.reset();
        }
        if let Some(link) = self.links.get_mut(pair.link) {
            link.left(pair.serial, pair.counts());
        }
    }

    pub fn set(&mut self, index: usize, way: Way, shape: Shape) {
        let now = self.now();
        let Some(link) = self.links.get_mut(index) else { return };
        link.shapes[way.index()] = shape;
        for key in link.keys() {
            if let Some(pair) = self.pairs.get_mut(key) {
                pair.lanes[way.index()].set(now, shape);
            }
            self.pump(key);
        }
    }

    pub fn door(&mut self, index: usize, door: Door) -> io::Result<()> {
        let Some(link) = self.links.get_mut(index) else { return Ok(()) };
        link.door = door;
        if door == Door::Refused {
            link.shut();
            return Ok(());
        }
        link.open(self.poll.registry(), listener_token(index))?;
        for key in link.keys() {
            self.pump(key);
        }
        Ok(())
    }

    pub fn end_all(&mut self, index: usize, reset: bool) {
        let Some(link) = self.links.get_mut(index) else { return };
        let keys = link.keys();
        if reset {
            link.counts.reset += keys.len() as u64;
        }
        for key in keys {
            self.remove(key, reset);
        }
    }

    pub fn counts(&mut self, index: usize) -> LinkCounts {
        let Some(link) = self.links.get_mut(index) else { return LinkCounts::default() };
        let mut counts = link.counts;
        for key in link.keys() {
            if let Some(pair) = self.pairs.get(key) {
                counts.open += 1;
                counts.ways.iter_mut().zip(pair.counts()).for_each(|(all, one)| *all += one);
            }
        }
        counts
    }
}

fn both() -> Interest {
    Interest::READABLE | Interest::WRITABLE
}

/// Whether a connection can be made: a handshake needs both ways.
fn handshake(shapes: &[Shape; 2]) -> bool {
    shapes.iter().all(|s| matches!(s.flow, Flow::Pass | Flow::Half))
}

//! The door: accepts clients, hears who they are, and brings each to its home among the senders.

use crate::clock::Clock;
use crate::reactor::Command;
use crate::socket::{Progress, read_some};
use heronroute_engine::front::Speaks;
use heronroute_engine::home::home;
use heronroute_mqtt::peek::user_name;
use heronroute_smpp::server::peek_system_id;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;

const LISTENER: Token = Token(0);
const WAKE: Token = Token(1);
const FIRST: usize = 2;
/// Connections that have not said who they are: beyond these the oldest go.
const MOST_UNKNOWN: usize = 1_024;
/// Octets in which a first command must say who sent it; the rest of the turn goes along.
const FIRST_READ: usize = 4_096;

/// A way to a sender's thread.
#[derive(Clone)]
pub struct Way {
    pub commands: Sender<Command>,
    pub waker: Arc<Waker>,
}

impl Way {
    pub fn tell(&self, command: Command) -> bool {
        self.commands.send(command).is_ok() && self.waker.wake().is_ok()
    }
}

struct Unknown {
    stream: TcpStream,
    octets: Vec<u8>,
}

/// The door's thread: one for each front.
pub struct Door {
    speaks: Speaks,
    listener: TcpListener,
    poll: Poll,
    ways: Vec<Way>,
    unknown: BTreeMap<usize, Unknown>,
    /// When each must have said who it is, oldest first.
    due: VecDeque<(i64, usize)>,
    next: usize,
    init: i64,
    clock: Clock,
    closing: Arc<AtomicBool>,
}

impl Door {
    pub fn new(
        speaks: Speaks,
        mut listener: TcpListener,
        ways: Vec<Way>,
        init: i64,
        clock: Clock,
        closing: Arc<AtomicBool>,
    ) -> io::Result<(Self, Arc<Waker>)> {
        let poll = Poll::new()?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let (unknown, due) = (BTreeMap::new(), VecDeque::new());
        Ok((Door { speaks, listener, poll, ways, unknown, due, next: FIRST, init, clock, closing }, waker))
    }

    /// Runs until the service closes its door.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(256);
        loop {
            let wait = self.due.front().map(|(at, _)| self.clock.until(*at));
            match self.poll.poll(&mut events, wait) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            if self.closing.load(Ordering::Acquire) {
                return Ok(());
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    WAKE => {}
                    Token(n) => self.hear(n),
                }
            }
            let now = self.clock.now();
            while let Some((_, n)) = self.due.front().copied().filter(|(at, _)| *at <= now) {
                self.due.pop_front();
                self.unknown.remove(&n);
            }
        }
    }

    fn accept(&mut self) {
        loop {
            match self.listener.accept() {
                Ok((mut stream, _)) => {
                    let n = self.next;
                    self.next += 1;
                    if self.poll.registry().register(&mut stream, Token(n), Interest::READABLE).is_err() {
                        continue;
                    }
                    // Guards against connections that say nothing filling the table: the oldest of them go.
                    while self.unknown.len() >= MOST_UNKNOWN {
                        let Some((_, old)) = self.due.pop_front() else { break };
                        self.unknown.remove(&old);
                    }
                    self.unknown.insert(n, Unknown { stream, octets: Vec::new() });
                    self.due.push_back((self.clock.now() + self.init, n));
                    self.hear(n);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    // Out of descriptors, say: the listener stirs again with the next client.
                    tracing::warn!(error = %e, "a client could not be accepted");
                    return;
                }
            }
        }
    }

    fn hear(&mut self, n: usize) {
        let Some(u) = self.unknown.get_mut(&n) else { return };
        let mut buffer = [0; FIRST_READ];
        let gone = match read_some(&mut u.stream, &mut buffer, true) {
            Progress::Blocked(m) | Progress::More(m) => {
                u.octets.extend_from_slice(&buffer[..m]);
                false
            }
            Progress::Ended(_) | Progress::Broken => true,
        };
        if gone {
            self.unknown.remove(&n);
            return;
        }
        let named = match self.speaks {
            Speaks::Smpp => peek_system_id(&u.octets, FIRST_READ),
            Speaks::Mqtt => user_name(&u.octets, FIRST_READ),
            // It comes to a sender without a door.
            Speaks::Resp => None,
        };
        let Some(name) = named else { return };
        let Some(mut u) = self.unknown.remove(&n) else { return };
        self.due.retain(|(_, other)| *other != n);
        if self.poll.registry().deregister(&mut u.stream).is_err() {
            return;
        }
        // One that does not say who it is goes to a sender all the same: there it is answered properly.
        let way = &self.ways[home(&name, self.ways.len())];
        way.tell(Command::Client(self.speaks, u.stream, u.octets));
    }
}

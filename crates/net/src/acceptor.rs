//! The acceptor: accepts clients, reads the name in their first command, and passes each to its home sender.

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
/// Clients have their tokens from here.
const FIRST_CLIENT: usize = 2;
/// Connections without a name yet. Beyond this number the oldest are closed.
const MAX_UNIDENTIFIED: usize = 1_024;
/// The first command must hold the client's name within so many octets. Octets read beyond it are passed on too.
const FIRST_COMMAND_LIMIT: usize = 4_096;

/// A handle to a sender's thread: its command queue, and the waker of its reactor.
#[derive(Clone)]
pub struct SenderHandle {
    pub commands: Sender<Command>,
    pub waker: Arc<Waker>,
}

impl SenderHandle {
    /// Submits a command and wakes the thread. False where the thread is gone.
    pub fn send(&self, command: Command) -> bool {
        self.commands.send(command).is_ok() && self.waker.wake().is_ok()
    }
}

struct Unidentified {
    stream: TcpStream,
    octets: Vec<u8>,
}

/// The acceptor's thread: one for each protocol that clients speak.
pub struct Acceptor {
    speaks: Speaks,
    listener: TcpListener,
    poll: Poll,
    senders: Vec<SenderHandle>,
    unidentified: BTreeMap<usize, Unidentified>,
    /// When each must have sent its name, oldest first.
    due: VecDeque<(i64, usize)>,
    next: usize,
    init: i64,
    clock: Clock,
    closing: Arc<AtomicBool>,
}

impl Acceptor {
    pub fn new(
        speaks: Speaks,
        mut listener: TcpListener,
        senders: Vec<SenderHandle>,
        init: i64,
        clock: Clock,
        closing: Arc<AtomicBool>,
    ) -> io::Result<(Self, Arc<Waker>)> {
        let poll = Poll::new()?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let (unidentified, due) = (BTreeMap::new(), VecDeque::new());
        Ok((
            Acceptor {
                speaks,
                listener,
                poll,
                senders,
                unidentified,
                due,
                next: FIRST_CLIENT,
                init,
                clock,
                closing,
            },
            waker,
        ))
    }

    /// Runs until the service stops accepting clients.
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
                    Token(n) => self.read_name(n),
                }
            }
            let now = self.clock.now();
            while let Some((_, n)) = self.due.front().copied().filter(|(at, _)| *at <= now) {
                self.due.pop_front();
                self.unidentified.remove(&n);
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
                    // Guards against silent connections that fill the table: the oldest of them are closed.
                    while self.unidentified.len() >= MAX_UNIDENTIFIED {
                        let Some((_, old)) = self.due.pop_front() else { break };
                        self.unidentified.remove(&old);
                    }
                    self.unidentified.insert(n, Unidentified { stream, octets: Vec::new() });
                    self.due.push_back((self.clock.now() + self.init, n));
                    self.read_name(n);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    // For example out of descriptors: the listener becomes ready again with the next client.
                    tracing::warn!(error = %e, "a client could not be accepted");
                    return;
                }
            }
        }
    }

    fn read_name(&mut self, n: usize) {
        let Some(u) = self.unidentified.get_mut(&n) else { return };
        let mut buffer = [0; FIRST_COMMAND_LIMIT];
        let gone = match read_some(&mut u.stream, &mut buffer, true) {
            Progress::Blocked(m) | Progress::More(m) => {
                u.octets.extend_from_slice(&buffer[..m]);
                false
            }
            Progress::Ended(_) | Progress::Broken => true,
        };
        if gone {
            self.unidentified.remove(&n);
            return;
        }
        let named = match self.speaks {
            Speaks::Smpp => peek_system_id(&u.octets, FIRST_COMMAND_LIMIT),
            Speaks::Mqtt => user_name(&u.octets, FIRST_COMMAND_LIMIT),
            // RESP clients connect to a sender directly, without an acceptor.
            Speaks::Resp => None,
        };
        let Some(name) = named else { return };
        let Some(mut u) = self.unidentified.remove(&n) else { return };
        self.due.retain(|(_, other)| *other != n);
        if self.poll.registry().deregister(&mut u.stream).is_err() {
            return;
        }
        // A client without a name is passed to a sender too, which answers it as the protocol demands.
        let sender = &self.senders[home(&name, self.senders.len())];
        sender.send(Command::Client(self.speaks, u.stream, u.octets));
    }
}

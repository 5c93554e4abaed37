//! The acceptor: accepts clients, reads the name in their first command, and passes each to its home sender.

use crate::clock::Clock;
use crate::first_command::{FirstCommand, Step};
use crate::reactor::Command;
use crate::reservations::Reservations;
use crate::socket::{Progress, read_some, write_some};
use heronroute_engine::front::Speaks;
use heronroute_engine::home::home;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;

/// The token of the listener.
const LISTENER: Token = Token(0);
/// The token of the waker.
const WAKER: Token = Token(1);
/// The first token of a client connection.
const FIRST_CLIENT: usize = 2;
/// The maximum number of connections whose client is not identified yet. Beyond it the oldest are closed.
const MAX_UNIDENTIFIED: usize = 1_024;
/// The number of bytes that all connections together may hold beyond what each may hold by itself, or the length of one
/// command if that is more.
const MAX_RESERVED_BYTES: usize = 4 << 20;
/// The number of bytes that are read at once.
const READ_BYTES: usize = 4_096;
/// The number of reads of one connection in a turn.
const READS_PER_TURN: usize = 32;

/// A handle to a sender's thread: its command queue, and the waker of its reactor.
#[derive(Clone)]
pub struct SenderHandle {
    pub commands: Sender<Command>,
    pub waker: Arc<Waker>,
}

impl SenderHandle {
    /// Sends a command and wakes the thread. Returns false if the thread has ended.
    pub fn send(&self, command: Command) -> bool {
        self.commands.send(command).is_ok() && self.waker.wake().is_ok()
    }
}

/// A client protocol's listener, and how its clients are identified.
pub struct Listener {
    /// The protocol.
    pub protocol: Speaks,
    /// The listening socket.
    pub socket: TcpListener,
    /// The time in which a client must send its name, in microseconds.
    pub identify_timeout: i64,
    /// The maximum length of a command, in bytes.
    pub max_command: usize,
}

/// A connection whose client is not identified yet.
struct Unidentified {
    stream: TcpStream,
    command: FirstCommand,
    /// The time by which the client must have sent its name.
    deadline: i64,
}

/// The acceptor of one client protocol. It runs on a thread of its own.
pub struct Acceptor {
    protocol: Speaks,
    listener: TcpListener,
    poll: Poll,
    senders: Vec<SenderHandle>,
    unidentified: BTreeMap<usize, Unidentified>,
    /// The deadlines of all unidentified clients, with their tokens.
    deadlines: BTreeSet<(i64, usize)>,
    /// The bytes that large first commands take.
    reservations: Reservations,
    /// Connections that may have more to read, which the system does not report again.
    ready: VecDeque<usize>,
    next_token: usize,
    /// The time in which a client must send its name, in microseconds.
    identify_timeout: i64,
    /// The maximum length of a command, in bytes.
    max_command: usize,
    clock: Clock,
    /// Whether the service has stopped accepting clients.
    closing: Arc<AtomicBool>,
}

impl Acceptor {
    /// Creates an acceptor, and the waker that makes it check `closing`.
    pub fn new(
        listener: Listener,
        senders: Vec<SenderHandle>,
        clock: Clock,
        closing: Arc<AtomicBool>,
    ) -> io::Result<(Self, Arc<Waker>)> {
        let poll = Poll::new()?;
        let mut socket = listener.socket;
        poll.registry().register(&mut socket, LISTENER, Interest::READABLE)?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let acceptor = Acceptor {
            protocol: listener.protocol,
            listener: socket,
            poll,
            senders,
            unidentified: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            reservations: Reservations::new(MAX_RESERVED_BYTES.max(listener.max_command)),
            ready: VecDeque::new(),
            next_token: FIRST_CLIENT,
            identify_timeout: listener.identify_timeout,
            max_command: listener.max_command,
            clock,
            closing,
        };
        Ok((acceptor, waker))
    }

    /// Runs until the service stops accepting clients.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(256);
        loop {
            let timeout = self.timeout();
            match self.poll.poll(&mut events, timeout) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            if self.closing.load(Ordering::Acquire) {
                return Ok(());
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    WAKER => {}
                    Token(token) => self.identify(token),
                }
            }
            for _ in 0..self.ready.len() {
                if let Some(token) = self.ready.pop_front() {
                    self.identify(token);
                }
            }
            self.close_overdue(self.clock.now());
        }
    }

    /// Returns how long nothing has to be done unless a socket is ready.
    fn timeout(&self) -> Option<Duration> {
        if !self.ready.is_empty() {
            return Some(Duration::ZERO);
        }
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let next = [deadline, self.reservations.next_timeout()].into_iter().flatten().min();
        next.map(|at| self.clock.until(at))
    }

    /// Closes the connections that sent no name in time, and those that kept others out for too long.
    fn close_overdue(&mut self, now: i64) {
        while let Some((_, token)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
            self.remove(token);
        }
        while let Some(token) = self.reservations.overdue(now) {
            self.remove(token);
        }
    }

    fn accept(&mut self) {
        loop {
            match self.listener.accept() {
                Ok((mut stream, _)) => {
                    let token = self.next_token;
                    self.next_token += 1;
                    if self.poll.registry().register(&mut stream, Token(token), Interest::READABLE).is_err() {
                        continue;
                    }
                    // Guards against silent connections that fill the table by closing the oldest of them.
                    while self.unidentified.len() >= MAX_UNIDENTIFIED {
                        let Some((_, oldest)) = self.deadlines.first().copied() else { break };
                        self.remove(oldest);
                    }
                    let deadline = self.clock.now() + self.identify_timeout;
                    let command = FirstCommand::new(self.protocol, self.max_command);
                    self.unidentified.insert(token, Unidentified { stream, command, deadline });
                    self.deadlines.insert((deadline, token));
                    self.identify(token);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    // For example because no descriptors are left. The listener becomes ready again with the
                    // next client.
                    tracing::warn!(error = %e, "a client could not be accepted");
                    return;
                }
            }
        }
    }

    /// Reads a connection's first command as far as it has arrived, and passes the connection on once its client is
    /// known.
    fn identify(&mut self, token: usize) {
        let mut buffer = [0; READ_BYTES];
        for _ in 0..READS_PER_TURN {
            let Some(client) = self.unidentified.get_mut(&token) else { return };
            let room = client.command.room().min(buffer.len());
            let progress = read_some(&mut client.stream, &mut buffer[..room], true);
            let (received, has_ended) = match progress {
                Progress::Blocked(received) | Progress::More(received) => (received, false),
                // A client that sends nothing more may still wait for its answers.
                Progress::Ended(received) => (received, true),
                Progress::Broken => (0, true),
            };
            client.command.push(&buffer[..received]);
            let step = client.command.step();
            let reply = client.command.take_reply();
            let is_written = reply.is_empty()
                || matches!(write_some(&mut client.stream, &reply), Progress::More(n) if n == reply.len());
            match step {
                Step::PassOn(name) => return self.pass_on(token, &name),
                Step::Close => return self.remove(token),
                _ if has_ended || !is_written => return self.remove(token),
                Step::Reserve(bytes) => {
                    self.reservations.request(token, bytes);
                    return self.grant_reservations();
                }
                Step::Read if matches!(progress, Progress::Blocked(_)) => return,
                Step::Read => {}
            }
        }
        self.ready.push_back(token);
    }

    /// Removes a connection, which closes it unless it is passed on, with all that is counted for it.
    fn take(&mut self, token: usize) -> Option<Unidentified> {
        let client = self.unidentified.remove(&token)?;
        self.deadlines.remove(&(client.deadline, token));
        self.reservations.release(token);
        self.grant_reservations();
        Some(client)
    }

    fn remove(&mut self, token: usize) {
        self.take(token);
    }

    /// Lets connections go on for whose first commands there is room now.
    fn grant_reservations(&mut self) {
        let now = self.clock.now();
        while let Some((token, bytes)) = self.reservations.grant_next(now) {
            let Some(client) = self.unidentified.get_mut(&token) else { continue };
            client.command.reserved(bytes);
            // The time in which it was not read is not the client's.
            self.deadlines.remove(&(client.deadline, token));
            client.deadline = now + self.identify_timeout;
            self.deadlines.insert((client.deadline, token));
            self.ready.push_back(token);
        }
    }

    /// Passes a connection to its client's home. A client without a name is passed to a sender too, which answers it as
    /// the protocol requires.
    fn pass_on(&mut self, token: usize, name: &str) {
        let Some(mut client) = self.take(token) else { return };
        if self.poll.registry().deregister(&mut client.stream).is_err() {
            return;
        }
        let sender = &self.senders[home(name, self.senders.len())];
        sender.send(Command::Client(self.protocol, client.stream, client.command.into_bytes()));
    }
}

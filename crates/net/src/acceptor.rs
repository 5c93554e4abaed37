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

/// The token of the listener.
const LISTENER: Token = Token(0);
/// The token of the waker.
const WAKER: Token = Token(1);
/// The first token of a client connection.
const FIRST_CLIENT: usize = 2;
/// The maximum number of connections whose client is not identified yet. Beyond it the oldest are closed.
const MAX_UNIDENTIFIED: usize = 1_024;
/// The maximum number of bytes within which the first command must contain the client's name. Bytes that were
/// read beyond it are passed on too.
const FIRST_COMMAND_LIMIT: usize = 4_096;

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

/// A connection whose client is not identified yet.
struct Unidentified {
    stream: TcpStream,
    bytes: Vec<u8>,
}

/// The acceptor of one client protocol. It runs on a thread of its own.
pub struct Acceptor {
    protocol: Speaks,
    listener: TcpListener,
    poll: Poll,
    senders: Vec<SenderHandle>,
    unidentified: BTreeMap<usize, Unidentified>,
    /// The time by which each client must have sent its name, oldest first.
    deadlines: VecDeque<(i64, usize)>,
    next_token: usize,
    /// The time in which a client must send its name, in microseconds.
    identify_timeout: i64,
    clock: Clock,
    /// Whether the service has stopped accepting clients.
    closing: Arc<AtomicBool>,
}

impl Acceptor {
    /// Creates an acceptor, and the waker that makes it check `closing`.
    pub fn new(
        protocol: Speaks,
        mut listener: TcpListener,
        senders: Vec<SenderHandle>,
        identify_timeout: i64,
        clock: Clock,
        closing: Arc<AtomicBool>,
    ) -> io::Result<(Self, Arc<Waker>)> {
        let poll = Poll::new()?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let (unidentified, deadlines) = (BTreeMap::new(), VecDeque::new());
        Ok((
            Acceptor {
                protocol,
                listener,
                poll,
                senders,
                unidentified,
                deadlines,
                next_token: FIRST_CLIENT,
                identify_timeout,
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
            let timeout = self.deadlines.front().map(|(at, _)| self.clock.until(*at));
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
                    Token(token) => self.read_name(token),
                }
            }
            let now = self.clock.now();
            while let Some((_, token)) = self.deadlines.front().copied().filter(|(at, _)| *at <= now) {
                self.deadlines.pop_front();
                self.unidentified.remove(&token);
            }
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
                        let Some((_, oldest)) = self.deadlines.pop_front() else { break };
                        self.unidentified.remove(&oldest);
                    }
                    self.unidentified.insert(token, Unidentified { stream, bytes: Vec::new() });
                    self.deadlines.push_back((self.clock.now() + self.identify_timeout, token));
                    self.read_name(token);
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

    fn read_name(&mut self, token: usize) {
        let Some(client) = self.unidentified.get_mut(&token) else { return };
        let mut buffer = [0; FIRST_COMMAND_LIMIT];
        let is_closed = match read_some(&mut client.stream, &mut buffer, true) {
            Progress::Blocked(received) | Progress::More(received) => {
                client.bytes.extend_from_slice(&buffer[..received]);
                false
            }
            Progress::Ended(_) | Progress::Broken => true,
        };
        if is_closed {
            self.unidentified.remove(&token);
            return;
        }
        let name = match self.protocol {
            Speaks::Smpp => peek_system_id(&client.bytes, FIRST_COMMAND_LIMIT),
            Speaks::Mqtt => user_name(&client.bytes, FIRST_COMMAND_LIMIT),
            // RESP clients connect to a sender directly, without an acceptor.
            Speaks::Resp => None,
        };
        let Some(name) = name else { return };
        let Some(mut client) = self.unidentified.remove(&token) else { return };
        self.deadlines.retain(|(_, other_token)| *other_token != token);
        if self.poll.registry().deregister(&mut client.stream).is_err() {
            return;
        }
        // A client without a name is passed to a sender too, which answers it as the protocol requires.
        let sender = &self.senders[home(&name, self.senders.len())];
        sender.send(Command::Client(self.protocol, client.stream, client.bytes));
    }
}

//! One sender's thread: its node, its sockets, its turns.

mod accepting;
mod commands;
mod ending;
mod journal;
mod outputs;
#[cfg(test)]
mod tests;

pub use commands::Command;
pub use journal::{JournalSink, OwnJournal};

use crate::clock::Clock;
use crate::closing::Closing;
use crate::fleet::SenderPort;
use crate::signals::Signals;
use crate::socket::{Progress, read_some, write_some};
use heronroute_engine::{CloseReason, ConnId, Node, Stats};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The waker's token; connections have theirs from 1.
const WAKE: Token = Token(0);
/// The token of a listener of its own.
const LISTENER: Token = Token(usize::MAX);
/// The token of signals.
const SIGNALS: Token = Token(usize::MAX - 1);
/// Octets read from one connection in a turn, at most.
const READ_BUDGET: usize = 64 * 1024;

struct Socket {
    stream: TcpStream,
    /// Accepted from a client: closed gracefully, see [`Closing`]. An outgoing connection is closed at once, which cancels
    /// the call on it.
    accepted: bool,
    connecting: bool,
    readable: bool,
    /// The peer has closed its side: read on until the end.
    ending: bool,
    /// Only to be written out and closed.
    finishing: bool,
}

/// Reads the configuration again on SIGHUP. Gives the address of discovery from now on; `None`: the old one stays.
pub type ReloadConfig = Box<dyn FnMut() -> Option<SocketAddr> + Send>;

/// One sender's reactor.
pub struct Reactor {
    node: Node,
    clock: Clock,
    poll: Poll,
    sockets: BTreeMap<ConnId, Socket>,
    closing: Closing,
    /// Connections that may have more to read.
    ready: BTreeSet<ConnId>,
    inbox: Receiver<Command>,
    keep: Option<PathBuf>,
    journal: Option<JournalSink>,
    listener: Option<TcpListener>,
    /// Signals that it takes itself.
    signals: Option<(Signals, ReloadConfig)>,
    /// There may be more clients to accept.
    accept_pending: bool,
    /// Descriptors ran out: none is accepted before then.
    full_until: Option<i64>,
    failed: bool,
    published_stats: Arc<Mutex<Stats>>,
    buffer: Vec<u8>,
    inbox_closed: bool,
    /// The port to the installation's member, where there is one.
    fleet: Option<SenderPort>,
}

impl Reactor {
    /// A reactor for a node. `keep`: the file for the directory's list.
    pub fn new(
        node: Node,
        clock: Clock,
        inbox: Receiver<Command>,
        keep: Option<PathBuf>,
        journal: Option<JournalSink>,
        published_stats: Arc<Mutex<Stats>>,
    ) -> io::Result<(Self, Waker)> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        let reactor = Reactor {
            node,
            clock,
            poll,
            sockets: BTreeMap::new(),
            closing: Closing::default(),
            ready: BTreeSet::new(),
            inbox,
            keep,
            journal,
            listener: None,
            signals: None,
            accept_pending: false,
            full_until: None,
            failed: false,
            published_stats,
            buffer: vec![0; READ_BUDGET],
            inbox_closed: false,
            fleet: None,
        };
        Ok((reactor, waker))
    }

    /// Makes it accept clients itself.
    pub fn listen_at(&mut self, mut listener: TcpListener) -> io::Result<()> {
        self.poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        self.listener = Some(listener);
        Ok(())
    }

    /// Makes it take signals itself.
    pub fn take_signals(&mut self, mut signals: Signals, reload: ReloadConfig) -> io::Result<()> {
        self.poll.registry().register(&mut signals.pipe, SIGNALS, Interest::READABLE)?;
        self.signals = Some((signals, reload));
        Ok(())
    }

    /// Makes it pass questions and reports to the installation's member.
    pub fn report_to(&mut self, fleet: SenderPort) {
        self.fleet = Some(fleet);
    }

    fn handle_signals(&mut self) {
        let Some((signals, reload)) = &mut self.signals else { return };
        let (leave, reload_asked) = signals.came();
        if leave {
            self.node.leave(self.clock.now());
        }
        if reload_asked && let Some(discovery) = reload() {
            self.node.discovery_moved(self.clock.now(), discovery);
        }
    }

    /// How long to wait for the next event.
    fn poll_timeout(&self) -> Option<Duration> {
        if !self.ready.is_empty() {
            return Some(Duration::ZERO);
        }
        // Clients that wait are accepted at once, or where descriptors ran out a little later.
        let accept_pending = self.accept_pending.then(|| self.full_until.unwrap_or(0));
        let wakes = [self.node.wake(), self.closing.wake(), accept_pending, self.journal_wake()];
        let wake = wakes.into_iter().flatten().min();
        wake.map(|at| self.clock.until(at))
    }

    /// Runs until the sender has gone out of service.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        self.execute_outputs();
        while !self.node.is_shut_down() {
            let wait = self.poll_timeout();
            match self.poll.poll(&mut events, wait) {
                // A signal.
                Err(e) if e.kind() == io::ErrorKind::Interrupted => events.clear(),
                other => other?,
            }
            self.handle_events(&events);
            // After the pipe was emptied, so that no signal is missed.
            self.handle_signals();
            self.handle_commands();
            self.accept();
            if self.failed {
                return Err(io::Error::other(
                    "the journal failed; what was durable is found at the next start",
                ));
            }
            for conn in std::mem::take(&mut self.ready) {
                self.read(conn);
            }
            self.retry_journal();
            self.node.settle(self.clock.now());
            self.close_door();
            self.execute_outputs();
            self.go_on_closing();
            if let Some(fleet) = &mut self.fleet {
                fleet.again();
            }
            if let Ok(mut published) = self.published_stats.lock() {
                published.clone_from(self.node.stats());
            }
        }
        self.execute_outputs();
        self.final_flush();
        self.final_linger(&mut events)
    }

    /// Takes note of what is ready, and writes where a connection takes more.
    fn handle_events(&mut self, events: &Events) {
        for event in events {
            if event.token() == LISTENER {
                self.accept_pending = true;
            } else if event.token() == SIGNALS {
                self.signals.iter_mut().for_each(|(signals, _)| signals.drain());
            } else if event.token() != WAKE {
                let conn = event.token().0 as ConnId;
                let ending = event.is_read_closed() || event.is_error();
                self.on_ready(conn, event.is_readable() || ending, ending, event.is_writable());
            }
        }
    }

    fn register(&mut self, conn: ConnId, mut stream: TcpStream, connecting: bool) {
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(conn as usize), interest).is_err() {
            return self.node.closed(self.clock.now(), conn, CloseReason::Broken);
        }
        _ = stream.set_nodelay(true);
        self.sockets.insert(
            conn,
            Socket {
                stream,
                accepted: !connecting,
                connecting,
                readable: false,
                ending: false,
                finishing: false,
            },
        );
    }

    fn on_ready(&mut self, conn: ConnId, readable: bool, ending: bool, writable: bool) {
        let Some(socket) = self.sockets.get_mut(&conn) else { return self.closing.on_ready(conn) };
        if socket.connecting && (writable || readable) {
            let error = socket.stream.take_error().ok().flatten();
            if error.is_some() {
                self.sockets.remove(&conn);
                return self.node.closed(self.clock.now(), conn, CloseReason::Broken);
            }
            match socket.stream.peer_addr() {
                Ok(_) => {
                    socket.connecting = false;
                    self.node.connected(self.clock.now(), conn);
                }
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(_) => {
                    self.sockets.remove(&conn);
                    return self.node.closed(self.clock.now(), conn, CloseReason::Broken);
                }
            }
        }
        if readable && let Some(socket) = self.sockets.get_mut(&conn) {
            socket.readable = true;
            socket.ending |= ending;
            self.ready.insert(conn);
        }
        if writable {
            self.write(conn);
        }
    }

    fn read(&mut self, conn: ConnId) {
        let Some(socket) = self.sockets.get_mut(&conn).filter(|s| s.readable && !s.connecting) else {
            return;
        };
        // A connection that is only written out, or whose peer does not read, is not read. The first ends by itself;
        // the second is read again once its peer has read (see `write`).
        if socket.finishing || !self.node.wants_read(conn) {
            return;
        }
        // A client that floods is read in smaller pieces, so that others' turns come soon.
        let read_quota = self.node.read_quota(conn).min(self.buffer.len());
        let progress = read_some(&mut socket.stream, &mut self.buffer[..read_quota], socket.ending);
        let now = self.clock.now();
        let (n, gone) = match progress {
            Progress::Blocked(n) => {
                (socket.readable, socket.ending) = (false, false);
                (n, None)
            }
            Progress::More(n) => {
                self.ready.insert(conn);
                (n, None)
            }
            Progress::Ended(n) => (n, Some(CloseReason::Ended)),
            Progress::Broken => (0, Some(CloseReason::Broken)),
        };
        if n > 0 {
            self.node.received(now, conn, &self.buffer[..n]);
        }
        if let Some(gone) = gone {
            self.sockets.remove(&conn);
            self.node.closed(now, conn, gone);
        }
    }

    fn write(&mut self, conn: ConnId) {
        // Guards against a second copy of an answer that came since this connection was read: after the next call has
        // left, it is taken for that call's.
        if self.node.reads_first(conn) {
            self.sockets.get_mut(&conn).into_iter().for_each(|s| s.readable = true);
            self.read(conn);
        }
        // Guards against octets from before a pause that leave after it, when another process may have taken over.
        let now = self.clock.now();
        if self.node.lease_overdue(now) {
            self.node.settle(now);
        }
        let Some(socket) = self.sockets.get_mut(&conn).filter(|s| !s.connecting) else { return };
        let pending = self.node.pending(conn);
        if pending.is_empty() {
            return;
        }
        match write_some(&mut socket.stream, pending) {
            Progress::Blocked(n) | Progress::More(n) => {
                if self.node.wrote(conn, n) {
                    self.close(conn);
                } else if socket.readable {
                    self.ready.insert(conn);
                }
            }
            Progress::Ended(_) | Progress::Broken => {
                self.sockets.remove(&conn);
                self.node.closed(self.clock.now(), conn, CloseReason::Broken);
            }
        }
    }
}

//! The event loop of one sender's thread, which runs its node and its sockets.

mod accepting;
mod commands;
mod inputs;
mod journal;
mod outputs;
mod reload;
mod teardown;
#[cfg(test)]
mod tests;

pub use commands::Command;
pub use journal::{JournalSink, OwnJournal};
pub use reload::{Reload, ReloadConfig};

use crate::clock::Clock;
use crate::closing::ClosingConns;
use crate::fleet::SenderMemberHandle;
use crate::signals::Signals;
use crate::socket::{Progress, read_some, write_some};
use heronroute_engine::{CloseReason, ConnId, Node, Stats};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use reload::PendingReload;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The token of the waker. A connection's token is its id, from 1.
const WAKER: Token = Token(0);
/// The token of the reactor's own listener.
const LISTENER: Token = Token(usize::MAX);
/// The token of the signal pipe.
const SIGNALS: Token = Token(usize::MAX - 1);
/// The maximum number of bytes read from one connection in a turn.
const READ_BUDGET: usize = 64 * 1024;

/// A connection of the node and its state.
struct Socket {
    stream: TcpStream,
    /// Accepted from a client, and so closed gracefully (see [`ClosingConns`]). An outgoing connection is
    /// closed at once, which cancels the call on it.
    accepted: bool,
    connecting: bool,
    readable: bool,
    /// Since when there have been unread bytes all the time, if there have.
    unread_since: Option<i64>,
    /// Not read any more: closed once its output is written.
    closes_when_written: bool,
}

/// The reactor of one sender.
pub struct Reactor {
    node: Node,
    clock: Clock,
    poll: Poll,
    sockets: BTreeMap<ConnId, Socket>,
    closing: ClosingConns,
    /// Connections that may have more to read.
    ready: BTreeSet<ConnId>,
    /// The client's connection with which reading goes on in the next turn.
    next_client: ConnId,
    /// Connections with a call that waits until what has arrived is read.
    deferred_writes: BTreeSet<ConnId>,
    command_queue: Receiver<Command>,
    /// The file for the directory's list.
    list_path: Option<PathBuf>,
    journal: Option<JournalSink>,
    listener: Option<TcpListener>,
    /// Signals that the reactor handles itself.
    signals: Option<(Signals, ReloadConfig)>,
    pending_reload: Option<PendingReload>,
    /// More clients may be waiting to be accepted.
    accept_pending: bool,
    /// No client is accepted before this time, because descriptors ran out.
    accept_retry_at: Option<i64>,
    /// The journal can't be used any more.
    journal_failed: bool,
    published_stats: Arc<Mutex<Stats>>,
    buffer: Vec<u8>,
    command_queue_closed: bool,
    /// The connection to the installation's member, if there is one.
    member: Option<SenderMemberHandle>,
}

impl Reactor {
    /// Creates a reactor for a node. `list_path` is the file for the directory's list.
    pub fn new(
        node: Node,
        clock: Clock,
        command_queue: Receiver<Command>,
        list_path: Option<PathBuf>,
        journal: Option<JournalSink>,
        published_stats: Arc<Mutex<Stats>>,
    ) -> io::Result<(Self, Waker)> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKER)?;
        let reactor = Reactor {
            node,
            clock,
            poll,
            sockets: BTreeMap::new(),
            closing: ClosingConns::default(),
            ready: BTreeSet::new(),
            next_client: 0,
            deferred_writes: BTreeSet::new(),
            command_queue,
            list_path,
            journal,
            listener: None,
            signals: None,
            accept_pending: false,
            accept_retry_at: None,
            pending_reload: None,
            journal_failed: false,
            published_stats,
            buffer: vec![0; READ_BUDGET],
            command_queue_closed: false,
            member: None,
        };
        Ok((reactor, waker))
    }

    /// Makes the reactor accept clients itself.
    pub fn set_listener(&mut self, mut listener: TcpListener) -> io::Result<()> {
        self.poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        self.listener = Some(listener);
        Ok(())
    }

    /// Makes the reactor handle signals itself.
    pub fn set_signals(&mut self, mut signals: Signals, reload: ReloadConfig) -> io::Result<()> {
        self.poll.registry().register(&mut signals.pipe, SIGNALS, Interest::READABLE)?;
        self.signals = Some((signals, reload));
        Ok(())
    }

    /// Makes the reactor pass client requests and reports to the installation's member.
    pub fn set_member(&mut self, member: SenderMemberHandle) {
        self.member = Some(member);
    }

    fn handle_signals(&mut self) {
        let Some((signals, _)) = &mut self.signals else { return };
        let (shut_down_requested, reload_requested) = signals.take_requests();
        if shut_down_requested {
            self.node.leave(self.clock.now());
        }
        if reload_requested {
            self.request_reload();
        }
        self.reload_if_due();
    }

    /// Returns the maximum time to wait for the next event.
    fn poll_timeout(&self) -> Option<Duration> {
        if !self.ready.is_empty() || !self.deferred_writes.is_empty() {
            return Some(Duration::ZERO);
        }
        // Waiting clients are accepted at once, or a little later if descriptors ran out.
        let accept_pending = self.accept_pending.then(|| self.accept_retry_at.unwrap_or(0));
        let retries = [accept_pending, self.journal_retry_at(), self.reload_at()];
        let wakes = [self.node.wake(), self.closing.next_timeout()].into_iter().chain(retries);
        let wake = wakes.flatten().min();
        wake.map(|at| self.clock.until(at))
    }

    /// Runs until the sender is shut down.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        self.execute_outputs();
        while !self.node.is_shut_down() {
            let timeout = self.poll_timeout();
            let inputs_until = self.wait_for_events(&mut events, timeout)?;
            self.handle_events(&events);
            // After emptying the pipe, so that no signal is missed.
            self.handle_signals();
            self.handle_commands();
            self.accept();
            if self.journal_failed {
                return Err(io::Error::other(
                    "the journal failed; the next start recovers its durable entries",
                ));
            }
            self.read_ready(inputs_until);
            self.read_again_if_late(&mut events)?;
            self.check_departures(&mut events)?;
            self.retry_journal();
            self.node.settle(self.clock.now());
            self.write_deferred();
            self.stop_listening_if_refused();
            self.execute_outputs();
            self.handle_closing();
            if let Some(member) = &mut self.member {
                member.retry_reports();
            }
            if let Ok(mut published) = self.published_stats.lock() {
                published.clone_from(self.node.stats());
            }
        }
        self.execute_outputs();
        self.final_flush();
        self.final_linger(&mut events)
    }

    /// Records which connections can be read, and writes to those that can be written.
    fn handle_events(&mut self, events: &Events) {
        for event in events {
            if event.token() == LISTENER {
                self.accept_pending = true;
            } else if event.token() == SIGNALS {
                self.signals.iter_mut().for_each(|(signals, _)| signals.drain());
            } else if event.token() != WAKER {
                let conn = event.token().0 as ConnId;
                let peer_closed = event.is_read_closed() || event.is_error();
                self.on_ready(conn, event.is_readable() || peer_closed, peer_closed, event.is_writable());
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
                unread_since: None,
                closes_when_written: false,
            },
        );
    }

    fn on_ready(&mut self, conn: ConnId, readable: bool, peer_closed: bool, writable: bool) {
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
        if peer_closed && self.node.discards_unread(conn) {
            return self.client_left(conn);
        }
        if readable && let Some(socket) = self.sockets.get_mut(&conn) {
            socket.readable = true;
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
        // Not read: a connection that is closed once its output is written, and a connection whose peer does
        // not read. The latter is read again once its peer has read (see `write`).
        if socket.closes_when_written || !self.node.wants_read(conn) {
            socket.unread_since.get_or_insert(self.clock.now());
            return;
        }
        // A client that floods is read in smaller pieces, so that it does not delay the others.
        let is_client = socket.accepted;
        let read_quota = self.node.read_quota(conn).min(self.buffer.len());
        // To the end of what is there: a read may return less, and no further event tells of the rest.
        let progress = read_some(&mut socket.stream, &mut self.buffer[..read_quota], true);
        let now = self.clock.now();
        let (n, close_reason) = match progress {
            Progress::Blocked(n) => {
                (socket.readable, socket.unread_since) = (false, None);
                (n, None)
            }
            Progress::More(n) => {
                socket.unread_since.get_or_insert(now);
                self.ready.insert(conn);
                (n, None)
            }
            Progress::Ended(n) => (n, Some(CloseReason::Ended)),
            Progress::Broken => (0, Some(CloseReason::Broken)),
        };
        let unread_since = socket.unread_since;
        if n > 0 {
            self.node.received(now, conn, &self.buffer[..n]);
        }
        // Behind the bytes that were read: it concerns those that were not.
        if is_client {
            self.node.unread_since(conn, unread_since);
        }
        if let Some(close_reason) = close_reason {
            self.sockets.remove(&conn);
            self.node.closed(now, conn, close_reason);
        }
    }

    fn write(&mut self, conn: ConnId) {
        // Guards against a second copy of an answer that arrived since this connection was read. Once the
        // next call is sent, the copy would be taken for the answer to that call.
        if self.node.reads_first(conn) {
            self.sockets.get_mut(&conn).into_iter().for_each(|s| s.readable = true);
            self.read(conn);
        }
        if self.node.reads_first(conn) && self.node.needs_inputs(self.clock.now()) {
            self.deferred_writes.insert(conn);
            return;
        }
        // Guards against sending, after a pause of this process, bytes from before it: another process may
        // have taken over.
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

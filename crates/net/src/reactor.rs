//! One sender's thread: its node, its sockets, its turns.

mod accepting;
mod ending;

use crate::clock::Clock;
use crate::closing::Closing;
use crate::fleet::SenderPort;
use crate::signals::Signals;
use crate::socket::{Progress, read_some, write_some};
use heronroute_config::Config;
use heronroute_engine::front::Speaks;
use heronroute_engine::{ConnId, Gone, Node, Output, Stats};
use heronroute_journal::dir::Dir;
use heronroute_journal::{Entry, Journal, JournalError, Usage};
use heronroute_rules::seam::{Apply, Fence, Told, Weigh};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, TryRecvError};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The waker's token; connections have theirs from 1.
const WAKE: Token = Token(0);
/// The token of a listener of its own.
const LISTENER: Token = Token(usize::MAX);
/// The token of signals.
const SIGNALS: Token = Token(usize::MAX - 1);
/// Octets read from one connection in a turn.
const TURN: usize = 64 * 1024;

/// What a sender's thread is told from outside.
pub enum Command {
    /// A client, with what it sent so far.
    Client(Speaks, TcpStream, Vec<u8>),
    /// New settings; the answer names what could not be taken over.
    Reload(Arc<Config>, Sender<Vec<&'static str>>),
    /// Go out of service.
    Leave,
    /// So many entries are durable.
    Durable(u64, Usage),
    /// The journal can't go on: end at once, without another word to anyone. A restart finds what was durable.
    JournalFailed,
    /// The installation's member answers a client.
    Told(Told),
    /// The installation's member has rules to be applied.
    Apply(Apply),
    /// The installation's member sets a fence or lifts it.
    Fence(Fence),
    /// What would a client's rules let go of?
    Weigh(Weigh),
    /// Stand still for a while, as a stalled machine would. For drills.
    Stall(Duration),
}

struct Socket {
    stream: TcpStream,
    /// A client's: it is closed with care, see [`Closing`]. One of our own is closed at once, which calls off what it carries.
    accepted: bool,
    connecting: bool,
    readable: bool,
    /// The peer has closed its side: read on until the end.
    ending: bool,
    /// Only to be written out and closed.
    finishing: bool,
}

/// Where entries of the journal go.
pub enum Sink {
    /// To the journal's thread.
    Thread(Sender<Vec<Entry>>),
    /// Written here and now: where a process has a part of one core, and nothing is synced, a thread more only costs.
    Own(Box<Journal<Dir>>),
}

/// Reads the configuration again: where discovery is from now on.
pub type Again = Box<dyn FnMut() -> Option<SocketAddr> + Send>;

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
    journal: Option<Sink>,
    listener: Option<TcpListener>,
    /// Signals that it takes itself.
    signals: Option<(Signals, Again)>,
    /// There may be more clients to accept.
    knocked: bool,
    /// Descriptors ran out: none is accepted before then.
    full_until: Option<i64>,
    /// Entries that the journal had at the start.
    before: u64,
    failed: bool,
    shown: Arc<Mutex<Stats>>,
    buffer: Vec<u8>,
    inbox_closed: bool,
    /// The way to the installation's member, where there is one.
    fleet: Option<SenderPort>,
}

impl Reactor {
    /// A reactor for a node. `keep`: the file for the directory's list.
    pub fn new(
        node: Node,
        clock: Clock,
        inbox: Receiver<Command>,
        keep: Option<PathBuf>,
        journal: Option<Sink>,
        shown: Arc<Mutex<Stats>>,
    ) -> io::Result<(Self, Waker)> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        let before = match &journal {
            Some(Sink::Own(journal)) => journal.durable(),
            _ => 0,
        };
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
            knocked: false,
            full_until: None,
            before,
            failed: false,
            shown,
            buffer: vec![0; TURN],
            inbox_closed: false,
            fleet: None,
        };
        Ok((reactor, waker))
    }

    /// Has it accept clients itself.
    pub fn listen_at(&mut self, mut listener: TcpListener) -> io::Result<()> {
        self.poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        self.listener = Some(listener);
        Ok(())
    }

    /// Has it take signals itself.
    pub fn heed(&mut self, mut signals: Signals, again: Again) -> io::Result<()> {
        self.poll.registry().register(&mut signals.pipe, SIGNALS, Interest::READABLE)?;
        self.signals = Some((signals, again));
        Ok(())
    }

    /// Has it bring questions and reports to the installation's member.
    pub fn report_to(&mut self, fleet: SenderPort) {
        self.fleet = Some(fleet);
    }

    fn heed_signals(&mut self) {
        let Some((signals, again)) = &mut self.signals else { return };
        let (leave, read) = signals.came();
        if leave {
            self.node.leave(self.clock.now());
        }
        if read && let Some(discovery) = again() {
            self.node.discovery_moved(self.clock.now(), discovery);
        }
    }

    /// How long to wait for something to happen.
    fn patience(&self) -> Option<Duration> {
        if !self.ready.is_empty() {
            return Some(Duration::ZERO);
        }
        // Clients that wait are accepted at once, or where descriptors ran out a little later.
        let knocked = self.knocked.then(|| self.full_until.unwrap_or(0));
        let wake = [self.node.wake(), self.closing.wake(), knocked].into_iter().flatten().min();
        wake.map(|at| self.clock.until(at))
    }

    /// Runs until the sender has gone out of service.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        self.obey();
        while !self.node.has_left() {
            let wait = self.patience();
            match self.poll.poll(&mut events, wait) {
                // A signal.
                Err(e) if e.kind() == io::ErrorKind::Interrupted => events.clear(),
                other => other?,
            }
            for event in &events {
                if event.token() == LISTENER {
                    self.knocked = true;
                } else if event.token() == SIGNALS {
                    self.signals.iter_mut().for_each(|(signals, _)| signals.drain());
                } else if event.token() != WAKE {
                    let conn = event.token().0 as ConnId;
                    let ending = event.is_read_closed() || event.is_error();
                    self.stirred(conn, event.is_readable() || ending, ending, event.is_writable());
                }
            }
            // After the pipe was emptied, so that none is emptied out unheard.
            self.heed_signals();
            self.listen();
            self.accept();
            if self.failed {
                return Err(io::Error::other(
                    "the journal failed; what was durable is found at the next start",
                ));
            }
            for conn in std::mem::take(&mut self.ready) {
                self.read(conn);
            }
            self.node.settle(self.clock.now());
            self.close_door();
            self.obey();
            self.go_on_closing();
            if let Some(fleet) = &mut self.fleet {
                fleet.again();
            }
            if let Ok(mut shown) = self.shown.lock() {
                shown.clone_from(self.node.stats());
            }
        }
        self.obey();
        self.flush_last();
        self.linger_last(&mut events)
    }

    fn listen(&mut self) {
        loop {
            let command = match self.inbox.try_recv() {
                Ok(command) => command,
                Err(TryRecvError::Empty) => return,
                Err(TryRecvError::Disconnected) => {
                    if !self.inbox_closed {
                        self.inbox_closed = true;
                        self.node.leave(self.clock.now());
                    }
                    return;
                }
            };
            match command {
                Command::Client(speaks, stream, octets) => {
                    if let Some(conn) = self.node.accepted(self.clock.now(), speaks, &octets) {
                        self.register(conn, stream, false);
                    }
                }
                Command::Reload(cfg, answer) => {
                    _ = answer.send(self.node.reload(self.clock.now(), cfg));
                }
                Command::Leave => self.node.leave(self.clock.now()),
                Command::Durable(count, usage) => self.node.durable(self.clock.now(), count, usage),
                Command::JournalFailed => self.failed = true,
                Command::Told(told) => self.node.told(self.clock.now(), told),
                Command::Apply(apply) => self.node.apply(self.clock.now(), apply),
                Command::Fence(fence) => self.node.fence(self.clock.now(), fence),
                Command::Weigh(weigh) => {
                    let weighed = self.node.weigh(self.clock.now(), &weigh);
                    if let Some(fleet) = &mut self.fleet {
                        fleet.weighed(weighed);
                    }
                }
                Command::Stall(span) => std::thread::sleep(span),
            }
        }
    }

    fn register(&mut self, conn: ConnId, mut stream: TcpStream, connecting: bool) {
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(conn as usize), interest).is_err() {
            return self.node.closed(self.clock.now(), conn, Gone::Broken);
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

    fn stirred(&mut self, conn: ConnId, readable: bool, ending: bool, writable: bool) {
        let Some(socket) = self.sockets.get_mut(&conn) else { return self.closing.stirred(conn) };
        if socket.connecting && (writable || readable) {
            let error = socket.stream.take_error().ok().flatten();
            if error.is_some() {
                self.sockets.remove(&conn);
                return self.node.closed(self.clock.now(), conn, Gone::Broken);
            }
            match socket.stream.peer_addr() {
                Ok(_) => {
                    socket.connecting = false;
                    self.node.connected(self.clock.now(), conn);
                }
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(_) => {
                    self.sockets.remove(&conn);
                    return self.node.closed(self.clock.now(), conn, Gone::Broken);
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
        // A connection that is only written out, or whose peer does not read, is not listened to; the first ends
        // by itself, the second is heard again once it has read (see `write`).
        if socket.finishing || !self.node.wants_read(conn) {
            return;
        }
        // A client that floods is read in smaller pieces, so that others' turns come soon.
        let turn = self.node.turn(conn).min(self.buffer.len());
        let progress = read_some(&mut socket.stream, &mut self.buffer[..turn], socket.ending);
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
            Progress::Ended(n) => (n, Some(Gone::Ended)),
            Progress::Broken => (0, Some(Gone::Broken)),
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
        if self.node.overdue(now) {
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
                self.node.closed(self.clock.now(), conn, Gone::Broken);
            }
        }
    }

    /// Does what the node asks, until it asks no more.
    fn obey(&mut self) {
        for _ in 0..1_000 {
            let outputs = self.node.outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                match output {
                    Output::Connect { conn, address } => self.connect(conn, address),
                    Output::Write(conn) => self.write(conn),
                    Output::Finish(conn) => self.finish(conn),
                    Output::Drop(conn) => self.close(conn),
                    Output::Journal(entries) => self.write_down(entries),
                    Output::Live(live) => {
                        if let Some(fleet) = &mut self.fleet {
                            fleet.live(live);
                        }
                    }
                    // Nothing is copied to a partner yet.
                    Output::Copying | Output::Inherited(_) => {}
                    Output::Ask(ask) => {
                        let now = self.clock.now();
                        // Nobody to ask, or no room: answered at once.
                        if let Some(told) = self.fleet.as_mut().and_then(|f| f.ask(ask)) {
                            self.node.told(now, told);
                        }
                    }
                    Output::Keep(text) => {
                        if let Some(path) = &self.keep
                            && let Err(e) = keep(path, &text)
                        {
                            tracing::warn!(error = %e, "the directory's list could not be kept");
                        }
                    }
                }
            }
            self.node.settle(self.clock.now());
        }
    }

    fn write_down(&mut self, entries: Vec<Entry>) {
        match &mut self.journal {
            None => {}
            Some(Sink::Thread(journal)) => self.failed |= journal.send(entries).is_err(),
            Some(Sink::Own(journal)) => {
                let mut result = journal.commit(&entries);
                if matches!(result, Err(JournalError::Full)) {
                    // A snapshot drops the log. Acceptance has stopped long before, so that there is room for ends.
                    result = journal.snapshot().and_then(|()| journal.commit(&entries));
                }
                match result {
                    Ok(count) => {
                        let usage = journal.usage();
                        self.node.durable(self.clock.now(), count - self.before, usage);
                    }
                    Err(e) => {
                        tracing::error!(error = %e, "the journal can't go on");
                        self.failed = true;
                    }
                }
            }
        }
    }
}

/// Writes a file so that a reader finds the old text or the new, never a part.
fn keep(path: &Path, text: &str) -> io::Result<()> {
    let part = path.with_extension("new");
    std::fs::write(&part, text)?;
    std::fs::rename(&part, path)
}

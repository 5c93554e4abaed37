//! The member's thread: its sockets, its turns.

use super::health::Pulse;
use super::port::Word;
use super::start::{Anew, Answer};
use crate::clock::Clock;
use crate::socket::{Progress, read_some, write_some};
use heronroute_fleet::link::{self, Conn, Switch};
use heronroute_fleet::{Micros, Start};
use heronroute_installation::seam::{Input, Member, Output};
use heronroute_installation::{Client, asks};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::Duration;

const LISTENER: Token = Token(0);
const WAKE: Token = Token(1);
/// Connections have their tokens from here.
const FIRST: usize = 2;
/// Connections accepted in a turn.
const ACCEPT: usize = 64;
/// Octets read from one connection in a turn.
const READ_BUDGET: usize = 64 * 1024;
/// Times that one connection is written in a turn: each time the switch seals some more.
const WRITES: usize = 16;
/// Commands from the senders handled in a turn.
const WORDS: usize = 256;
/// Rounds between switch and member in a turn.
const ROUNDS: usize = 64;
/// After descriptors ran out, accepting is tried again after this time. Guards against a thread that retries without a wait.
const ACCEPT_PAUSE: Micros = 20_000;

struct Socket {
    stream: TcpStream,
    connecting: bool,
    readable: bool,
}

/// In the place of a member that can't be had: says nothing to others, and tells clients that nothing can be decided.
struct Still;

impl Member for Still {
    fn handle(&mut self, _: Micros, _: Micros, input: Input, out: &mut Vec<Output>) {
        if let Input::ClientRequest(ask) = input {
            out.push(Output::Told(asks::no_majority(&ask)));
        }
    }
}

/// One member's reactor.
pub struct Thread {
    switch: Switch,
    member: Box<dyn Member>,
    anew: Option<Anew>,
    /// What the settings said of clients when they were read again.
    clients: Option<BTreeMap<String, Client>>,
    clock: Clock,
    poll: Poll,
    listener: TcpListener,
    inbox: Receiver<Word>,
    sockets: BTreeMap<Conn, Socket>,
    /// Connections that may have more to read.
    ready: BTreeSet<Conn>,
    /// Connections that had more to write than a turn lets out.
    writes: BTreeSet<Conn>,
    /// When the member wants a tick.
    wake: Option<Micros>,
    said: Vec<Output>,
    pulse: Pulse,
    /// There may be more to accept.
    accept_pending: bool,
    full_until: Option<Micros>,
    /// There is more to do than a turn takes.
    busy: bool,
    stop: bool,
    buffer: Vec<u8>,
}

impl Thread {
    pub fn new(
        switch: Switch,
        (member, anew): (Box<dyn Member>, Option<Anew>),
        clock: Clock,
        mut listener: TcpListener,
        inbox: Receiver<Word>,
    ) -> io::Result<(Self, Waker)> {
        let poll = Poll::new()?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        let thread = Thread {
            switch,
            member,
            anew,
            clients: None,
            clock,
            poll,
            listener,
            inbox,
            sockets: BTreeMap::new(),
            ready: BTreeSet::new(),
            writes: BTreeSet::new(),
            // The member sets its own from the first tick on.
            wake: Some(Micros::MIN),
            said: Vec::new(),
            pulse: Pulse::default(),
            accept_pending: true,
            full_until: None,
            busy: false,
            stop: false,
            buffer: vec![0; READ_BUDGET],
        };
        Ok((thread, waker))
    }

    pub fn fares(&mut self, pulse: Pulse) {
        self.pulse = pulse;
    }

    /// Runs until it is stopped.
    pub fn run(mut self, mut answers: Box<dyn FnMut(Answer) + Send>) -> io::Result<()> {
        let mut events = Events::with_capacity(1_024);
        while !self.stop {
            match self.poll.poll(&mut events, self.wait()) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => events.clear(),
                other => other?,
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept_pending = true,
                    WAKE => {}
                    Token(n) => {
                        let ending = event.is_read_closed() || event.is_error();
                        let conn = (n - FIRST) as Conn;
                        self.on_ready(conn, event.is_readable() || ending, event.is_writable());
                    }
                }
            }
            self.accept();
            self.handle_commands();
            for conn in std::mem::take(&mut self.writes) {
                self.write(conn);
            }
            for conn in std::mem::take(&mut self.ready) {
                self.read(conn);
            }
            // After what came was read: a process that was paused hears first what waited for it.
            let now = self.clock.now();
            self.switch.tick(now);
            if self.wake.is_some_and(|at| at <= now) {
                self.wake = None;
                if let Some(health) = self.pulse.feel(now) {
                    self.give(Input::Health(health));
                }
                self.give(Input::Tick);
            }
            self.execute_outputs(&mut answers);
        }
        Ok(())
    }

    fn wait(&self) -> Option<Duration> {
        if self.busy || !self.ready.is_empty() || !self.writes.is_empty() {
            return Some(Duration::ZERO);
        }
        let knock = self.accept_pending.then(|| self.full_until.unwrap_or(0));
        let at = [self.switch.wake(), self.wake, knock].into_iter().flatten().min()?;
        Some(self.clock.until(at.max(0)))
    }

    fn accept(&mut self) {
        let now = self.clock.now();
        if !self.accept_pending || self.full_until.is_some_and(|at| now < at) {
            return;
        }
        self.full_until = None;
        for _ in 0..ACCEPT {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    let conn = self.switch.accepted(now);
                    self.register(conn, stream, false);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.accept_pending = false;
                    return;
                }
                Err(e) => {
                    tracing::warn!(error = %e, "a member could not be accepted");
                    self.full_until = Some(now + ACCEPT_PAUSE);
                    return;
                }
            }
        }
    }

    fn handle_commands(&mut self) {
        self.busy = false;
        for _ in 0..WORDS {
            match self.inbox.try_recv() {
                Ok(Word::ClientRequest(ask)) => self.give(Input::ClientRequest(ask)),
                Ok(Word::Live(live)) => self.give(Input::Live(live)),
                Ok(Word::DryRunResult(weighed)) => self.give(Input::DryRunResult(weighed)),
                Ok(Word::Clients(clients)) => {
                    self.clients = Some(clients.clone());
                    self.give(Input::Clients(clients));
                }
                Ok(Word::Stats(to)) => _ = to.send(self.switch.stats().clone()),
                Ok(Word::Stop) | Err(TryRecvError::Disconnected) => {
                    self.stop = true;
                    return;
                }
                Err(TryRecvError::Empty) => return,
            }
        }
        self.busy = true;
    }

    fn give(&mut self, input: Input) {
        self.member.handle(self.clock.now(), self.clock.wall(), input, &mut self.said);
    }

    fn register(&mut self, conn: Conn, mut stream: TcpStream, connecting: bool) {
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(conn as usize + FIRST), interest).is_err() {
            return self.switch.closed(self.clock.now(), conn);
        }
        _ = stream.set_nodelay(true);
        self.sockets.insert(conn, Socket { stream, connecting, readable: false });
    }

    fn close(&mut self, conn: Conn) {
        self.sockets.remove(&conn);
        self.switch.closed(self.clock.now(), conn);
    }

    fn on_ready(&mut self, conn: Conn, readable: bool, writable: bool) {
        let Some(socket) = self.sockets.get_mut(&conn) else { return };
        if socket.connecting {
            if socket.stream.take_error().ok().flatten().is_some() {
                return self.close(conn);
            }
            match socket.stream.peer_addr() {
                Ok(_) => {
                    socket.connecting = false;
                    self.switch.connected(self.clock.now(), conn);
                }
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(_) => return self.close(conn),
            }
        }
        if readable && let Some(socket) = self.sockets.get_mut(&conn) {
            socket.readable = true;
            self.ready.insert(conn);
        }
        if writable {
            self.write(conn);
        }
    }

    fn read(&mut self, conn: Conn) {
        let Some(socket) = self.sockets.get_mut(&conn).filter(|s| s.readable) else { return };
        // To its end each time: a closed peer is known at once, without a note of how the system said so.
        let progress = read_some(&mut socket.stream, &mut self.buffer, true);
        let (n, gone) = match progress {
            Progress::Blocked(n) => {
                socket.readable = false;
                (n, false)
            }
            Progress::More(n) => {
                self.ready.insert(conn);
                (n, false)
            }
            Progress::Ended(n) => (n, true),
            Progress::Broken => (0, true),
        };
        if n > 0 {
            self.switch.received(self.clock.now(), conn, self.buffer.get(..n).unwrap_or_default());
        }
        if gone {
            self.close(conn);
        }
    }

    fn write(&mut self, conn: Conn) {
        for _ in 0..WRITES {
            let Some(socket) = self.sockets.get_mut(&conn).filter(|s| !s.connecting) else { return };
            let pending = self.switch.pending(conn);
            if pending.is_empty() {
                return;
            }
            match write_some(&mut socket.stream, pending) {
                Progress::More(n) => self.switch.wrote(self.clock.now(), conn, n),
                Progress::Blocked(n) => return self.switch.wrote(self.clock.now(), conn, n),
                Progress::Ended(_) | Progress::Broken => return self.close(conn),
            }
        }
        self.writes.insert(conn);
    }

    /// Executes the outputs of switch and member until there are no more or the turn's share is used up.
    fn execute_outputs(&mut self, answers: &mut dyn FnMut(Answer)) {
        for _ in 0..ROUNDS {
            let outputs = self.switch.outputs();
            if outputs.is_empty() && self.said.is_empty() {
                return;
            }
            outputs.into_iter().for_each(|output| self.carry(output));
            let mut all = std::mem::take(&mut self.said).into_iter();
            while let Some(said) = all.next() {
                match said {
                    Output::Send { peer, kind, payload } => {
                        self.switch.send(self.clock.now(), peer, kind, payload);
                    }
                    Output::Wake(at) => self.wake = Some(self.wake.map_or(at, |other| other.min(at))),
                    Output::Told(told) => answers(Answer::Told(told)),
                    Output::Apply(apply) => answers(Answer::Apply(apply)),
                    Output::Fence(fence) => answers(Answer::Fence(fence)),
                    Output::DryRun(weigh) => answers(Answer::DryRun(weigh)),
                    Output::Decided(decided) => {
                        tracing::debug!(index = decided.index, from = %decided.entry.request.from.name, "decided");
                    }
                    // Without regions in the settings, as here, none of these comes.
                    Output::Right(_) | Output::Out(_) | Output::List(_) | Output::Fenced(_) => {}
                    Output::TakeUp(_) | Output::TakenUp(_) | Output::GiveUp(_) => {}
                    Output::StartAbove(start) => {
                        self.begin_anew(start);
                        // What the life that is over still had to say to members is not said. A client that asked it in
                        // this very turn is answered: nobody else knows of its question.
                        for said in all.by_ref() {
                            if let Output::Told(told) = said {
                                answers(Answer::Told(told));
                            }
                        }
                    }
                }
            }
        }
        self.busy = true;
    }

    /// The member's life was outlived: another begins, above it. Its links end; the senders go on.
    fn begin_anew(&mut self, above: Start) {
        let Some(mut anew) = self.anew.take() else { return };
        let now = self.clock.now();
        // First: it holds its folder's lock, and the new life needs it.
        self.member = Box::new(Still);
        let begun = anew(now, self.clock.wall(), above)
            .and_then(|(links, member)| Ok((Switch::new(now, links).map_err(|e| e.to_string())?, member)));
        match begun {
            Ok((switch, member)) => {
                // Connections are numbered anew: nothing of the old ones may be taken for the new.
                self.sockets.clear();
                self.ready.clear();
                self.writes.clear();
                (self.switch, self.member, self.wake) = (switch, member, Some(Micros::MIN));
                tracing::warn!(above = above.0, "the member began anew");
                if let Some(clients) = self.clients.clone() {
                    self.give(Input::Clients(clients));
                }
            }
            Err(e) => tracing::error!(error = e, "the member can't begin anew, and keeps still"),
        }
    }

    fn carry(&mut self, output: link::Output) {
        match output {
            link::Output::Connect { conn, address } => match TcpStream::connect(address) {
                Ok(stream) => self.register(conn, stream, true),
                Err(_) => self.switch.closed(self.clock.now(), conn),
            },
            link::Output::Write(conn) => self.write(conn),
            link::Output::Drop(conn) => _ = self.sockets.remove(&conn),
            link::Output::Linked { peer, life } => {
                tracing::info!(peer = %life.name, start = life.start.0, "linked");
                self.give(Input::Linked { peer, life });
            }
            link::Output::Unlinked { peer, why } => {
                tracing::info!(peer, ?why, "unlinked");
                self.give(Input::Unlinked { peer });
            }
            link::Output::Message { peer, payload, .. } => self.give(Input::Message { peer, payload }),
            link::Output::OtherVersion { theirs, refused } => {
                let ours = link::hello::VERSION;
                tracing::warn!(
                    theirs,
                    ours,
                    refused,
                    "a member of another version of the protocol is not linked"
                );
            }
            link::Output::Outlived(start) => {
                tracing::error!(start = start.0, "others heard this member under a later start than its own");
                self.give(Input::Outlived(start));
            }
        }
    }
}

//! The event loop of the member's thread, which runs the member, its links and their sockets.

use super::health::HealthSampler;
use super::member_handle::MemberCommand;
use super::start::{MemberAnswer, MemberFactory};
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

/// The token of the listener.
const LISTENER: Token = Token(0);
/// The token of the waker.
const WAKER: Token = Token(1);
/// The first token of a connection.
const FIRST_CONN: usize = 2;
/// The maximum number of connections accepted in a turn.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// The maximum number of bytes read from one connection in a turn.
const READ_BUDGET: usize = 64 * 1024;
/// The maximum number of writes to one connection in a turn. The switch seals more bytes for each.
const MAX_WRITES_PER_TURN: usize = 16;
/// The maximum number of commands handled in a turn.
const MAX_COMMANDS_PER_TURN: usize = 256;
/// The maximum number of times in a turn that the outputs of switch and member are taken.
const MAX_OUTPUT_ROUNDS: usize = 64;
/// The delay before accepting is retried after descriptors ran out. Guards against a busy loop.
const ACCEPT_RETRY_DELAY: Micros = 20_000;

/// A connection to another member.
struct Socket {
    stream: TcpStream,
    connecting: bool,
    readable: bool,
}

/// Replaces a member that is unavailable. It sends nothing to other members, and answers clients that there
/// is no majority.
struct UnavailableMember;

impl Member for UnavailableMember {
    fn handle(&mut self, _: Micros, _: Micros, input: Input, out: &mut Vec<Output>) {
        if let Input::ClientRequest(request) = input {
            out.push(Output::Told(asks::no_majority(&request)));
        }
    }
}

/// The reactor of one member.
pub struct MemberReactor {
    switch: Switch,
    member: Box<dyn Member>,
    member_factory: Option<MemberFactory>,
    /// The clients of the settings that were reloaded last.
    clients: Option<BTreeMap<String, Client>>,
    clock: Clock,
    poll: Poll,
    listener: TcpListener,
    command_queue: Receiver<MemberCommand>,
    sockets: BTreeMap<Conn, Socket>,
    /// Connections that may have more to read.
    ready: BTreeSet<Conn>,
    /// Connections that still had bytes to write when their share of the turn was used up.
    unfinished_writes: BTreeSet<Conn>,
    /// The time of the member's next tick.
    next_tick: Option<Micros>,
    /// Outputs of the member that were not executed yet.
    member_outputs: Vec<Output>,
    health_sampler: HealthSampler,
    /// More connections may be waiting to be accepted.
    accept_pending: bool,
    /// No connection is accepted before this time, because descriptors ran out.
    accept_retry_at: Option<Micros>,
    /// There is more to do than fits in one turn.
    busy: bool,
    stop: bool,
    buffer: Vec<u8>,
}

impl MemberReactor {
    /// Creates the reactor, and the waker of its thread.
    pub fn new(
        switch: Switch,
        (member, member_factory): (Box<dyn Member>, Option<MemberFactory>),
        clock: Clock,
        mut listener: TcpListener,
        command_queue: Receiver<MemberCommand>,
    ) -> io::Result<(Self, Waker)> {
        let poll = Poll::new()?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let waker = Waker::new(poll.registry(), WAKER)?;
        let reactor = MemberReactor {
            switch,
            member,
            member_factory,
            clients: None,
            clock,
            poll,
            listener,
            command_queue,
            sockets: BTreeMap::new(),
            ready: BTreeSet::new(),
            unfinished_writes: BTreeSet::new(),
            // Ticks at once; the member sets the later times.
            next_tick: Some(Micros::MIN),
            member_outputs: Vec::new(),
            health_sampler: HealthSampler::default(),
            accept_pending: true,
            accept_retry_at: None,
            busy: false,
            stop: false,
            buffer: vec![0; READ_BUDGET],
        };
        Ok((reactor, waker))
    }

    /// Sets the source of the process's health.
    pub fn set_health_source(&mut self, health_sampler: HealthSampler) {
        self.health_sampler = health_sampler;
    }

    /// Runs until the thread is stopped.
    pub fn run(mut self, mut on_answer: Box<dyn FnMut(MemberAnswer) + Send>) -> io::Result<()> {
        let mut events = Events::with_capacity(1_024);
        while !self.stop {
            match self.poll.poll(&mut events, self.poll_timeout()) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => events.clear(),
                other => other?,
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept_pending = true,
                    WAKER => {}
                    Token(n) => {
                        let is_closed = event.is_read_closed() || event.is_error();
                        let conn = (n - FIRST_CONN) as Conn;
                        self.on_ready(conn, event.is_readable() || is_closed, event.is_writable());
                    }
                }
            }
            self.accept();
            self.handle_commands();
            for conn in std::mem::take(&mut self.unfinished_writes) {
                self.write(conn);
            }
            for conn in std::mem::take(&mut self.ready) {
                self.read(conn);
            }
            // After reading, so that a process that was paused first handles the messages that arrived
            // meanwhile.
            let now = self.clock.now();
            self.switch.tick(now);
            if self.next_tick.is_some_and(|at| at <= now) {
                self.next_tick = None;
                if let Some(health) = self.health_sampler.sample(now) {
                    self.pass_to_member(Input::Health(health));
                }
                self.pass_to_member(Input::Tick);
            }
            self.execute_outputs(&mut on_answer);
        }
        Ok(())
    }

    fn poll_timeout(&self) -> Option<Duration> {
        if self.busy || !self.ready.is_empty() || !self.unfinished_writes.is_empty() {
            return Some(Duration::ZERO);
        }
        let accept_at = self.accept_pending.then(|| self.accept_retry_at.unwrap_or(0));
        let at = [self.switch.wake(), self.next_tick, accept_at].into_iter().flatten().min()?;
        Some(self.clock.until(at.max(0)))
    }

    fn accept(&mut self) {
        let now = self.clock.now();
        if !self.accept_pending || self.accept_retry_at.is_some_and(|at| now < at) {
            return;
        }
        self.accept_retry_at = None;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
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
                    self.accept_retry_at = Some(now + ACCEPT_RETRY_DELAY);
                    return;
                }
            }
        }
    }

    fn handle_commands(&mut self) {
        self.busy = false;
        for _ in 0..MAX_COMMANDS_PER_TURN {
            match self.command_queue.try_recv() {
                Ok(MemberCommand::ClientRequest(request)) => {
                    self.pass_to_member(Input::ClientRequest(request))
                }
                Ok(MemberCommand::Live(live)) => self.pass_to_member(Input::Live(live)),
                Ok(MemberCommand::DryRunResult(result)) => self.pass_to_member(Input::DryRunResult(result)),
                Ok(MemberCommand::Clients(clients)) => {
                    self.clients = Some(clients.clone());
                    self.pass_to_member(Input::Clients(clients));
                }
                Ok(MemberCommand::Stats(to)) => _ = to.send(self.switch.stats().clone()),
                Ok(MemberCommand::Stop) | Err(TryRecvError::Disconnected) => {
                    self.stop = true;
                    return;
                }
                Err(TryRecvError::Empty) => return,
            }
        }
        self.busy = true;
    }

    fn pass_to_member(&mut self, input: Input) {
        self.member.handle(self.clock.now(), self.clock.wall(), input, &mut self.member_outputs);
    }

    fn register(&mut self, conn: Conn, mut stream: TcpStream, connecting: bool) {
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(conn as usize + FIRST_CONN), interest).is_err() {
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
        // Always reads up to the end of the stream, so a connection that its peer closed is noticed at once,
        // without recording which event reported it.
        let progress = read_some(&mut socket.stream, &mut self.buffer, true);
        let (n, is_closed) = match progress {
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
        if is_closed {
            self.close(conn);
        }
    }

    fn write(&mut self, conn: Conn) {
        for _ in 0..MAX_WRITES_PER_TURN {
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
        self.unfinished_writes.insert(conn);
    }

    /// Executes the outputs of switch and member until there are no more, or the limit for a turn is reached.
    fn execute_outputs(&mut self, on_answer: &mut dyn FnMut(MemberAnswer)) {
        for _ in 0..MAX_OUTPUT_ROUNDS {
            let outputs = self.switch.outputs();
            if outputs.is_empty() && self.member_outputs.is_empty() {
                return;
            }
            outputs.into_iter().for_each(|output| self.execute_link_output(output));
            let mut outputs = std::mem::take(&mut self.member_outputs).into_iter();
            while let Some(output) = outputs.next() {
                match output {
                    Output::Send { peer, kind, payload } => {
                        self.switch.send(self.clock.now(), peer, kind, payload);
                    }
                    Output::Wake(at) => {
                        self.next_tick = Some(self.next_tick.map_or(at, |other| other.min(at)))
                    }
                    Output::Told(told) => on_answer(MemberAnswer::ClientAnswer(told)),
                    Output::Apply(apply) => on_answer(MemberAnswer::Apply(apply)),
                    Output::Fence(fence) => on_answer(MemberAnswer::Fence(fence)),
                    Output::DryRun(dry_run) => on_answer(MemberAnswer::DryRun(dry_run)),
                    Output::Decided(decided) => {
                        tracing::debug!(index = decided.index, from = %decided.entry.request.from.name, "decided");
                    }
                    // Only sent if the settings have regions, which this thread does not support.
                    Output::SendLease(_)
                    | Output::MembersWithoutLease(_)
                    | Output::List(_)
                    | Output::Fenced(_) => {}
                    Output::StartTakeover(_) | Output::TakeoverConfirmed(_) | Output::CancelTakeover(_) => {}
                    Output::StartAbove(start) => {
                        self.restart_member(start);
                        // The old life's remaining messages to members are dropped. A client whose request it
                        // handled in this turn is still answered, since nothing else knows of the request.
                        for output in outputs.by_ref() {
                            if let Output::Told(told) = output {
                                on_answer(MemberAnswer::ClientAnswer(told));
                            }
                        }
                    }
                }
            }
        }
        self.busy = true;
    }

    /// Replaces the member by one of a new life, with a start number above `above`, because other members
    /// have seen that number. All links are closed; the senders continue.
    fn restart_member(&mut self, above: Start) {
        let Some(mut member_factory) = self.member_factory.take() else { return };
        let now = self.clock.now();
        // Drops the old member first: it holds the lock of its folder, which the new member needs.
        self.member = Box::new(UnavailableMember);
        let restarted = member_factory(now, self.clock.wall(), above)
            .and_then(|(links, member)| Ok((Switch::new(now, links).map_err(|e| e.to_string())?, member)));
        match restarted {
            Ok((switch, member)) => {
                // The new switch numbers connections from the start, so nothing of the old ones may remain.
                self.sockets.clear();
                self.ready.clear();
                self.unfinished_writes.clear();
                (self.switch, self.member, self.next_tick) = (switch, member, Some(Micros::MIN));
                tracing::warn!(above = above.0, "the member began anew");
                if let Some(clients) = self.clients.clone() {
                    self.pass_to_member(Input::Clients(clients));
                }
            }
            Err(e) => tracing::error!(error = e, "the member can't begin anew, and stays inactive"),
        }
    }

    /// Executes an output of the switch.
    fn execute_link_output(&mut self, output: link::Output) {
        match output {
            link::Output::Connect { conn, address } => match TcpStream::connect(address) {
                Ok(stream) => self.register(conn, stream, true),
                Err(_) => self.switch.closed(self.clock.now(), conn),
            },
            link::Output::Write(conn) => self.write(conn),
            link::Output::Drop(conn) => _ = self.sockets.remove(&conn),
            link::Output::Linked { peer, life } => {
                tracing::info!(peer = %life.name, start = life.start.0, "linked");
                self.pass_to_member(Input::Linked { peer, life });
            }
            link::Output::Unlinked { peer, why } => {
                tracing::info!(peer, ?why, "unlinked");
                self.pass_to_member(Input::Unlinked { peer });
            }
            link::Output::Message { peer, payload, .. } => {
                self.pass_to_member(Input::Message { peer, payload })
            }
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
                tracing::error!(
                    start = start.0,
                    "other members have seen a later start of this member than its own"
                );
                self.pass_to_member(Input::Outlived(start));
            }
        }
    }
}

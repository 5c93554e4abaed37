//! Runs an actor on real sockets: one thread, one poll.

use crate::Micros;
use crate::actor::{Action, Actor, Conn};
use heronroute_net::{Clock, Progress, read_some, write_some};
use heronroute_reserved_port::ReservedPort;
use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// The first number of a connection. Smaller tokens are listeners.
const FIRST_CONN: Conn = 1 << 20;
/// The maximum number of bytes read from a connection at once.
pub const READ_BUDGET: usize = 64 * 1024;
/// The longest wait for an event, in microseconds, so that a request to stop is noticed.
const MAX_WAIT: Micros = 20_000;
/// The maximum number of events handled in a turn.
const EVENTS_PER_TURN: usize = 1024;

/// A connection and its state.
struct Peer {
    stream: TcpStream,
    unwritten: Vec<u8>,
    /// The tag of the action that asked for it, until it is established.
    connecting: Option<usize>,
    /// Whether nothing is read from it.
    read_paused: bool,
    /// Whether it is closed once all is written.
    closes_when_written: bool,
}

/// The sockets of an actor.
struct EventLoop<'a, A> {
    actor: A,
    clock: Clock,
    poll: Poll,
    ports: &'a [ReservedPort],
    listeners: Vec<Option<TcpListener>>,
    peers: BTreeMap<Conn, Peer>,
    next_conn: Conn,
    buffer: Vec<u8>,
}

impl<'a, A: Actor> EventLoop<'a, A> {
    /// Listens at all ports.
    fn new(actor: A, ports: &'a [ReservedPort], clock: Clock) -> io::Result<Self> {
        let mut event_loop = EventLoop {
            actor,
            clock,
            poll: Poll::new()?,
            ports,
            listeners: ports.iter().map(|_| None).collect(),
            peers: BTreeMap::new(),
            next_conn: FIRST_CONN,
            buffer: vec![0; READ_BUDGET],
        };
        for number in 0..ports.len() {
            event_loop.listen(number)?;
        }
        Ok(event_loop)
    }

    /// Runs until the actor has finished or is told to stop. Returns the actor.
    fn run(mut self, stop: &AtomicBool) -> io::Result<A> {
        let mut events = Events::with_capacity(EVENTS_PER_TURN);
        while !self.actor.finished() && !stop.load(Ordering::Acquire) {
            let wait = (self.actor.wake() - self.clock.now()).clamp(0, MAX_WAIT);
            match self.poll.poll(&mut events, Some(Duration::from_micros(wait as u64))) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            for event in &events {
                self.handle_event(event)?;
            }
            self.actor.tick(self.clock.now());
            self.execute_actions()?;
        }
        Ok(self.actor)
    }

    fn handle_event(&mut self, event: &Event) -> io::Result<()> {
        let number = event.token().0;
        if number < FIRST_CONN {
            return self.accept(number);
        }
        if !self.finish_connecting(number, event) {
            return Ok(());
        }
        if event.is_writable() {
            self.write(number);
        }
        self.read(number);
        Ok(())
    }

    /// Accepts all connections that wait at a listener.
    fn accept(&mut self, listener: usize) -> io::Result<()> {
        while let Some(Ok((stream, _))) = self.listeners[listener].as_ref().map(TcpListener::accept) {
            let conn = self.add_peer(stream, None)?;
            self.actor.accepted(self.clock.now(), listener, conn);
        }
        Ok(())
    }

    fn add_peer(&mut self, mut stream: TcpStream, connecting: Option<usize>) -> io::Result<Conn> {
        let conn = self.next_conn;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(conn), interest)?;
        _ = stream.set_nodelay(true);
        let peer = Peer {
            stream,
            unwritten: Vec::new(),
            connecting,
            read_paused: false,
            closes_when_written: false,
        };
        self.peers.insert(conn, peer);
        self.next_conn += 1;
        Ok(conn)
    }

    /// Reports a connection that is established now, or that could not be. Returns whether it is established.
    fn finish_connecting(&mut self, conn: Conn, event: &Event) -> bool {
        let Some(peer) = self.peers.get_mut(&conn) else { return false };
        let Some(tag) = peer.connecting else { return true };
        if peer.stream.take_error().ok().flatten().is_some() || event.is_error() {
            self.peers.remove(&conn);
            self.actor.refused(self.clock.now(), tag);
            return false;
        }
        if peer.stream.peer_addr().is_err() {
            return false;
        }
        peer.connecting = None;
        self.actor.connected(self.clock.now(), tag, conn);
        true
    }

    /// Executes the actor's actions until there are no more.
    fn execute_actions(&mut self) -> io::Result<()> {
        loop {
            let actions = self.actor.actions();
            if actions.is_empty() {
                return Ok(());
            }
            for action in actions {
                self.execute(action)?;
            }
        }
    }

    fn execute(&mut self, action: Action) -> io::Result<()> {
        match action {
            Action::Connect { tag, address } => match TcpStream::connect(address) {
                Ok(stream) => _ = self.add_peer(stream, Some(tag))?,
                Err(_) => self.actor.refused(self.clock.now(), tag),
            },
            Action::Write(conn, bytes) => {
                if let Some(peer) = self.peers.get_mut(&conn) {
                    peer.unwritten.extend_from_slice(&bytes);
                }
                self.write(conn);
            }
            Action::Close(conn) => {
                if let Some(peer) = self.peers.get_mut(&conn) {
                    peer.closes_when_written = true;
                }
                self.write(conn);
            }
            Action::Drop(conn) => _ = self.peers.remove(&conn),
            Action::PauseReading(conn, paused) => {
                if let Some(peer) = self.peers.get_mut(&conn) {
                    peer.read_paused = paused;
                }
                self.read(conn);
            }
            Action::Listen(listener, true) => self.listen(listener)?,
            Action::Listen(listener, false) => self.listeners[listener] = None,
        }
        Ok(())
    }

    /// Listens at a port if it does not yet.
    fn listen(&mut self, number: usize) -> io::Result<()> {
        if self.listeners[number].is_some() {
            return Ok(());
        }
        let listener = self.ports[number].listen()?;
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        self.poll.registry().register(&mut listener, Token(number), Interest::READABLE)?;
        self.listeners[number] = Some(listener);
        Ok(())
    }

    fn write(&mut self, conn: Conn) {
        let Some(peer) = self.peers.get_mut(&conn).filter(|peer| peer.connecting.is_none()) else { return };
        match write_some(&mut peer.stream, &peer.unwritten) {
            Progress::Blocked(count) | Progress::More(count) => {
                peer.unwritten.drain(..count);
                if peer.closes_when_written && peer.unwritten.is_empty() {
                    self.peers.remove(&conn);
                }
            }
            Progress::Ended(_) | Progress::Broken => {
                self.peers.remove(&conn);
                self.actor.closed(self.clock.now(), conn);
            }
        }
    }

    /// Reads all that has arrived.
    fn read(&mut self, conn: Conn) {
        let is_read =
            |peer: &&mut Peer| peer.connecting.is_none() && !peer.read_paused && !peer.closes_when_written;
        while let Some(peer) = self.peers.get_mut(&conn).filter(is_read) {
            let (count, more, ended) = match read_some(&mut peer.stream, &mut self.buffer, true) {
                Progress::Blocked(count) => (count, false, false),
                Progress::More(count) => (count, true, false),
                Progress::Ended(count) => (count, false, true),
                Progress::Broken => (0, false, true),
            };
            if count > 0 {
                self.actor.received(self.clock.now(), conn, &self.buffer[..count]);
            }
            if ended {
                self.peers.remove(&conn);
                self.actor.closed(self.clock.now(), conn);
            }
            if !more {
                return;
            }
        }
    }
}

/// An actor on a thread of its own.
pub struct Running<A> {
    /// The address of each listener.
    pub addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<io::Result<A>>,
}

impl<A: Actor + Send + 'static> Running<A> {
    /// Starts an actor with listeners at these addresses (port 0 for any). `make` gets the addresses with their ports.
    ///
    /// # Errors
    /// If an address is in use, or a thread or a descriptor can't be had.
    pub fn start(
        addresses: &[SocketAddr],
        clock: Clock,
        make: impl FnOnce(&[SocketAddr]) -> A,
    ) -> io::Result<Self> {
        let reserve = |address: &SocketAddr| ReservedPort::at(*address);
        let ports = addresses.iter().map(reserve).collect::<io::Result<Vec<_>>>()?;
        let addresses: Vec<SocketAddr> = ports.iter().map(ReservedPort::address).collect();
        let actor = make(&addresses);
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = stop.clone();
        // Listens before the thread runs, so that connections are accepted from now on.
        let (listening, is_listening) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new().name("standin".into()).spawn(move || {
            let event_loop = EventLoop::new(actor, &ports, clock)?;
            _ = listening.send(());
            event_loop.run(&stop_flag)
        })?;
        match is_listening.recv() {
            Ok(()) => Ok(Running { addresses, stop, thread }),
            Err(_) => match thread.join() {
                Ok(Err(error)) => Err(error),
                _ => Err(io::Error::other("a stand-in panicked")),
            },
        }
    }

    /// Returns whether it has finished by itself.
    pub fn finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Stops it, and returns the actor with what it recorded.
    ///
    /// # Errors
    /// If its thread failed.
    pub fn stop(self) -> io::Result<A> {
        self.stop.store(true, Ordering::Release);
        self.join()
    }

    /// Waits until it has finished by itself.
    ///
    /// # Errors
    /// If its thread failed.
    pub fn join(self) -> io::Result<A> {
        self.thread.join().map_err(|_| io::Error::other("a stand-in panicked"))?
    }
}

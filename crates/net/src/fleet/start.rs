//! Starts the member's thread, and ends it.

use super::health::Pulse;
use super::port::{MOST_WORDS, Port, Word};
use super::thread::Thread;
use crate::clock::Clock;
use crate::service::StartError;
use heronroute_fleet::link::{Settings, Stats, Switch};
use heronroute_fleet::{Micros, Start};
use heronroute_installation::Client;
use heronroute_installation::seam::Member;
use heronroute_rules::seam::{Apply, DryRun, Fence, Told};
use mio::net::TcpListener;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// What a member's thread starts from.
pub struct Setup {
    /// Who is linked how.
    pub links: Settings,
    /// Where other members find this one.
    pub listen: SocketAddr,
    /// The state machine that all messages go to.
    pub member: Box<dyn Member>,
    /// Begins the member anew where its life was outlived; none: it keeps still then.
    pub anew: Option<Anew>,
}

/// Raises the member's number on disk above one that others have seen, and makes who is linked how, and the state machine, of
/// the life that begins. Called on the member's thread with its time and the time of day, both in microseconds, after the
/// old state machine is gone.
pub type Anew = Box<dyn FnMut(Micros, Micros, Start) -> Result<(Settings, Box<dyn Member>), String> + Send>;

/// What a member says to its process's senders.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// To the sender that asked.
    Told(Told),
    /// To all.
    Apply(Apply),
    /// To all.
    Fence(Fence),
    /// To all.
    DryRun(DryRun),
}

/// A member that listens and can be told, and does not run yet.
pub struct Bound {
    thread: Thread,
    port: Port,
    address: SocketAddr,
}

/// A running member.
pub struct Fleet {
    port: Port,
    address: SocketAddr,
    thread: JoinHandle<io::Result<()>>,
}

impl Bound {
    /// Listens; others that connect are served once it runs.
    ///
    /// # Errors
    /// Where the address or a poll can't be had, or the members can't be as they are named.
    pub fn new(setup: Setup, clock: Clock) -> Result<Self, StartError> {
        let listener = TcpListener::bind(setup.listen).map_err(|e| StartError::Listen(setup.listen, e))?;
        let address = listener.local_addr()?;
        let switch = Switch::new(clock.now(), setup.links)?;
        let (words, inbox) = sync_channel(MOST_WORDS);
        let (thread, waker) = Thread::new(switch, (setup.member, setup.anew), clock, listener, inbox)?;
        let port = Port { words, waker: waker.into() };
        Ok(Bound { thread, port, address })
    }

    /// The way to it.
    pub fn port(&self) -> Port {
        self.port.clone()
    }

    /// The counts of the process's senders, from which the member is told how it fares.
    pub fn fares(&mut self, senders: Vec<Arc<Mutex<heronroute_engine::stats::Stats>>>) {
        self.thread.fares(Pulse::new(senders));
    }

    /// Has it run. `answers` is called on its thread and must not block.
    ///
    /// # Errors
    /// Where there is no thread to be had.
    pub fn run(self, answers: Box<dyn FnMut(Answer) + Send>) -> io::Result<Fleet> {
        let Bound { thread, port, address } = self;
        let run = move || {
            // Delivering goes on without it; peers see its silence.
            thread
                .run(answers)
                .inspect_err(|e| tracing::error!(error = %e, "the member's thread can't go on"))
        };
        let thread = std::thread::Builder::new().name("fleet".into()).spawn(run)?;
        Ok(Fleet { port, address, thread })
    }
}

impl Fleet {
    /// Where other members find this one.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The way to it.
    pub fn port(&self) -> Port {
        self.port.clone()
    }

    /// Counts of its links; `None` where it does not answer within a second.
    pub fn stats(&self) -> Option<Stats> {
        let (to, from) = channel();
        self.port.tell(Word::Stats(to)).ok()?;
        from.recv_timeout(Duration::from_secs(1)).ok()
    }

    /// What the settings say of clients now. False: there was no room for it.
    pub fn clients(&self, clients: BTreeMap<String, Client>) -> bool {
        self.port.tell(Word::Clients(clients)).is_ok()
    }

    /// Ends it: its links end without a word.
    ///
    /// # Errors
    /// Where its thread had ended by an error or a panic.
    pub fn stop(self) -> io::Result<()> {
        while self.port.tell(Word::Stop).is_err() && !self.thread.is_finished() {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.thread.join().map_err(|_| io::Error::other("the member's thread panicked"))?
    }
}

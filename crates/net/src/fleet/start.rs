//! Starts and stops the member's thread.

use super::health::HealthSampler;
use super::member_handle::{MAX_QUEUED_COMMANDS, MemberCommand, MemberHandle};
use super::thread::MemberReactor;
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

/// The parameters of a member's thread.
pub struct MemberSetup {
    /// The settings of the links to other members.
    pub links: Settings,
    /// The address at which other members connect.
    pub listen: SocketAddr,
    /// The state machine that handles all messages.
    pub member: Box<dyn Member>,
    /// Creates the member of a new life if other members have seen a later start number. Without it, the
    /// member stays inactive in that case.
    pub member_factory: Option<MemberFactory>,
}

/// Creates the link settings and the state machine of the member's new life, after raising the member's start
/// number on disk above one that other members have seen (the third argument). It is called on the member's
/// thread with the monotonic time and the wall-clock time, both in microseconds, after the old state machine
/// was dropped.
pub type MemberFactory =
    Box<dyn FnMut(Micros, Micros, Start) -> Result<(Settings, Box<dyn Member>), String> + Send>;

/// A message from a member to its process's senders.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAnswer {
    /// The answer to a client's request, for the sender that passed the request on.
    ClientAnswer(Told),
    /// Rules to apply, for all senders.
    Apply(Apply),
    /// A fence to set or lift, for all senders.
    Fence(Fence),
    /// A dry run of rules, for all senders.
    DryRun(DryRun),
}

/// A member that listens and accepts commands, but does not run yet.
pub struct BoundMember {
    reactor: MemberReactor,
    handle: MemberHandle,
    address: SocketAddr,
}

/// A member whose thread is running.
pub struct RunningMember {
    handle: MemberHandle,
    address: SocketAddr,
    thread: JoinHandle<io::Result<()>>,
}

impl BoundMember {
    /// Starts to listen. Members that connect are served once this one runs.
    ///
    /// # Errors
    /// If it can't listen at the address, no poll can be created, or the list of members is invalid.
    pub fn new(setup: MemberSetup, clock: Clock) -> Result<Self, StartError> {
        let listener = TcpListener::bind(setup.listen).map_err(|e| StartError::Listen(setup.listen, e))?;
        let address = listener.local_addr()?;
        let switch = Switch::new(clock.now(), setup.links)?;
        let (commands, command_queue) = sync_channel(MAX_QUEUED_COMMANDS);
        let (reactor, waker) =
            MemberReactor::new(switch, (setup.member, setup.member_factory), clock, listener, command_queue)?;
        let handle = MemberHandle { commands, waker: waker.into() };
        Ok(BoundMember { reactor, handle, address })
    }

    /// Returns a handle to the member's thread.
    pub fn handle(&self) -> MemberHandle {
        self.handle.clone()
    }

    /// Sets the senders' counts from which the health of the process is measured.
    pub fn set_health_source(&mut self, senders: Vec<Arc<Mutex<heronroute_engine::stats::Stats>>>) {
        self.reactor.set_health_source(HealthSampler::new(senders));
    }

    /// Starts the thread. `on_answer` is called on it and must not block.
    ///
    /// # Errors
    /// If the thread can't be created.
    pub fn run(self, on_answer: Box<dyn FnMut(MemberAnswer) + Send>) -> io::Result<RunningMember> {
        let BoundMember { reactor, handle, address } = self;
        let run = move || {
            // Delivery continues without the member, and other members notice that it is silent.
            reactor.run(on_answer).inspect_err(|e| tracing::error!(error = %e, "the member's thread failed"))
        };
        let thread = std::thread::Builder::new().name("fleet".into()).spawn(run)?;
        Ok(RunningMember { handle, address, thread })
    }
}

impl RunningMember {
    /// Returns the address at which other members connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle to the member's thread.
    pub fn handle(&self) -> MemberHandle {
        self.handle.clone()
    }

    /// Returns the counts of its links, or `None` if the thread does not answer within a second.
    pub fn stats(&self) -> Option<Stats> {
        let (to, from) = channel();
        self.handle.try_send(MemberCommand::Stats(to)).ok()?;
        from.recv_timeout(Duration::from_secs(1)).ok()
    }

    /// Passes on the clients of the reloaded settings. Returns false if there is no room in the queue.
    pub fn clients(&self, clients: BTreeMap<String, Client>) -> bool {
        self.handle.try_send(MemberCommand::Clients(clients)).is_ok()
    }

    /// Stops the thread. Its links are closed without notice.
    ///
    /// # Errors
    /// If the thread ended with an error or a panic.
    pub fn stop(self) -> io::Result<()> {
        while self.handle.try_send(MemberCommand::Stop).is_err() && !self.thread.is_finished() {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.thread.join().map_err(|_| io::Error::other("the member's thread panicked"))?
    }
}

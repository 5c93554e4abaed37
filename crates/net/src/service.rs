//! The service: starts, controls and joins its threads.

mod journals;
mod launch;

use crate::acceptor::SenderHandle;
use crate::clock::Clock;
use crate::fleet::{BoundMember, MemberAnswer, MemberSetup, RunningMember};
use crate::reactor::Command;
use heronroute_config::Config;
use heronroute_engine::Stats;
use launch::{SenderLauncher, Thread};
use mio::Waker;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Why a service did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The service can't listen at an address.
    #[error("cannot listen at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The decision library refused the settings.
    #[error(transparent)]
    Settings(#[from] heronroute_config::SettingsError),
    /// The journal can't be used.
    #[error("journal: {0}")]
    Journal(#[from] heronroute_journal::JournalError),
    /// The journal was written by another number of senders and contains open messages, or, with a fleet,
    /// held messages.
    #[error(
        "journal: written by {0} senders, with messages still open (or with fleet, held); start with as many until it is empty"
    )]
    SenderCount(usize),
    /// The list of the installation's members is invalid.
    #[error("fleet: {0}")]
    Members(#[from] heronroute_fleet::link::RosterError),
    /// A thread, a poll or another resource of the system could not be created.
    #[error("cannot start: {0}")]
    Io(#[from] io::Error),
}

/// A running service.
pub struct Service {
    address: SocketAddr,
    mqtt: Option<SocketAddr>,
    senders: Vec<SenderHandle>,
    published_stats: Vec<Arc<Mutex<Stats>>>,
    threads: Vec<Thread>,
    acceptors: Vec<(Thread, Arc<Waker>)>,
    closing: Arc<AtomicBool>,
    /// The member of an installation that this process is, if it is one.
    fleet: Option<RunningMember>,
}

impl Service {
    /// Starts the service: its acceptors, and a thread for each sender.
    ///
    /// # Errors
    /// If the settings or the journal can't be used, or a resource of the system is missing.
    pub fn start(cfg: Arc<Config>, seed: u64) -> Result<Self, StartError> {
        Self::start_with_failure_handler(cfg, seed, Arc::new(|| ()))
    }

    /// Starts the service. `on_journal_failure` is called if a sender's journal fails, so that the process
    /// can end.
    ///
    /// # Errors
    /// As [`Service::start`].
    pub fn start_with_failure_handler(
        cfg: Arc<Config>,
        seed: u64,
        on_journal_failure: Arc<dyn Fn() + Send + Sync>,
    ) -> Result<Self, StartError> {
        Self::start_with_member(cfg, seed, on_journal_failure, None)
    }

    /// Starts the service, as a member of an installation if `fleet` is given. `on_journal_failure` is called
    /// if a sender's journal fails.
    ///
    /// # Errors
    /// As [`Service::start`].
    pub fn start_with_member(
        cfg: Arc<Config>,
        seed: u64,
        on_journal_failure: Arc<dyn Fn() + Send + Sync>,
        fleet: Option<MemberSetup>,
    ) -> Result<Self, StartError> {
        let clock = Clock::start_with_offset(cfg.fleet.as_ref().map_or(0, |fleet| fleet.clock_ahead));
        let fleet = fleet.map(|setup| BoundMember::new(setup, clock)).transpose()?;
        let journals = journals::open_journals(&cfg)?;
        let listeners = launch::listeners(&cfg)?;
        let address = listeners[0].socket.local_addr()?;
        let mqtt = listeners.get(1).map(|listener| listener.socket.local_addr()).transpose()?;
        let list_path = cfg.directory.keep.as_ref().map(PathBuf::from);
        let saved_list = list_path.as_ref().and_then(|path| std::fs::read_to_string(path).ok());
        let member = fleet.as_ref().map(BoundMember::handle);
        let launcher = SenderLauncher { cfg, seed, clock, list_path, saved_list, member, on_journal_failure };
        let (mut senders, mut published_stats, mut threads) = (Vec::new(), Vec::new(), Vec::new());
        let mut journal_writers = Vec::new();
        for (index, journal) in journals.into_iter().enumerate() {
            let running = launcher.start_sender(index, journal)?;
            senders.push(running.handle);
            published_stats.push(running.stats);
            threads.push(running.thread);
            journal_writers.extend(running.journal_writer);
        }
        threads.extend(journal_writers);
        let closing = Arc::new(AtomicBool::new(false));
        let acceptors = launch::acceptors(listeners, &senders, clock, &closing)?;
        let run = |mut fleet: BoundMember| {
            fleet.set_health_source(published_stats.clone());
            fleet.run(answers(senders.clone()))
        };
        let fleet = fleet.map(run).transpose()?;
        Ok(Service { address, mqtt, senders, published_stats, threads, acceptors, closing, fleet })
    }

    /// Returns the address at which SMPP clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address at which MQTT clients connect, if MQTT is enabled.
    pub fn mqtt_address(&self) -> Option<SocketAddr> {
        self.mqtt
    }

    /// Returns the member of an installation that this process is, if it is one.
    pub fn fleet(&self) -> Option<&RunningMember> {
        self.fleet.as_ref()
    }

    /// Returns the sum of the counts of all senders.
    pub fn stats(&self) -> Stats {
        let mut all = Stats::default();
        for s in &self.published_stats {
            if let Ok(s) = s.lock() {
                all.add(&s);
            }
        }
        all
    }

    /// Applies new settings. Returns the changed settings that need a restart; if there are any, none is
    /// applied.
    pub fn reload(&self, cfg: &Arc<Config>) -> Vec<&'static str> {
        let mut all = Vec::new();
        for sender in &self.senders {
            let (answer, changed) = channel();
            if sender.send(Command::Reload(cfg.clone(), answer)) {
                all.extend(changed.recv_timeout(Duration::from_secs(10)).unwrap_or_default());
            }
        }
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Blocks a sender's thread for a time, to simulate a stalled machine in drills.
    pub fn stall(&self, index: usize, span: Duration) {
        if let Some(sender) = self.senders.get(index) {
            sender.send(Command::Stall(span));
        }
    }

    /// Begins to shut down: accepts no new clients, answers open messages, and then unbinds the sessions.
    pub fn shut_down(&self) {
        self.closing.store(true, Ordering::Release);
        for (_, waker) in &self.acceptors {
            _ = waker.wake();
        }
        for sender in &self.senders {
            sender.send(Command::Shutdown);
        }
    }

    /// Waits until the service is shut down, and returns the final counts.
    ///
    /// # Errors
    /// If a thread ended with an error or a panic.
    pub fn join(mut self) -> io::Result<Stats> {
        let panicked = |_| io::Error::other("a thread panicked");
        for thread in self.threads.drain(..) {
            thread.join().map_err(panicked)??;
        }
        for (acceptor, _) in self.acceptors.drain(..) {
            acceptor.join().map_err(panicked)??;
        }
        // Last, so that the final reports of the senders reach it. A failure of it was logged, and delayed no
        // sender.
        if let Some(fleet) = self.fleet.take() {
            _ = fleet.stop();
        }
        Ok(self.stats())
    }
}

/// Returns the function that passes a member's answers to the senders.
fn answers(senders: Vec<SenderHandle>) -> Box<dyn FnMut(MemberAnswer) + Send> {
    Box::new(move |answer| match answer {
        MemberAnswer::ClientAnswer(client_answer) => {
            if let Some(sender) = senders.get(client_answer.token.sender) {
                sender.send(Command::ClientAnswer(client_answer));
            }
        }
        MemberAnswer::Apply(apply) => {
            for sender in &senders {
                sender.send(Command::Apply(apply.clone()));
            }
        }
        MemberAnswer::Fence(fence) => {
            for sender in &senders {
                sender.send(Command::Fence(fence.clone()));
            }
        }
        MemberAnswer::DryRun(dry_run) => {
            for sender in &senders {
                sender.send(Command::DryRun(dry_run.clone()));
            }
        }
    })
}

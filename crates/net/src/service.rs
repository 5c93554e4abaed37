//! The service as a whole: its threads, and the handles to them.

mod launch;

use crate::acceptor::SenderHandle;
use crate::clock::Clock;
use crate::fleet::{Answer, Bound, Fleet, Setup};
use crate::journal_writer;
use crate::reactor::Command;
use heronroute_config::Config;
use heronroute_engine::Stats;
use heronroute_journal::Journal;
use heronroute_journal::dir::Dir;
use launch::{Launch, Thread};
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
    /// The listening address could not be had.
    #[error("cannot listen at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The decision library refused the settings.
    #[error(transparent)]
    Settings(#[from] heronroute_config::SettingsError),
    /// The journal can't be used.
    #[error("journal: {0}")]
    Journal(#[from] heronroute_journal::JournalError),
    /// Another number of senders wrote the journal, and messages in it are open, or with a fleet, held.
    #[error(
        "journal: written by {0} senders, with messages still open (or with fleet, held); start with as many until it is empty"
    )]
    Senders(usize),
    /// The members of the installation can't be as they are named.
    #[error("fleet: {0}")]
    Fleet(#[from] heronroute_fleet::link::RosterError),
    /// A thread or poll could not be had.
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
    /// Where it belongs to an installation.
    fleet: Option<Fleet>,
}

impl Service {
    /// Starts the service: its acceptors, and a thread for each sender.
    ///
    /// # Errors
    /// Where something it needs can't be had.
    pub fn start(cfg: Arc<Config>, seed: u64) -> Result<Self, StartError> {
        Self::start_with(cfg, seed, Arc::new(|| ()))
    }

    /// The same; `failed` is called where a sender's journal fails, so that the process can end.
    ///
    /// # Errors
    /// As [`Service::start`].
    pub fn start_with(
        cfg: Arc<Config>,
        seed: u64,
        failed: Arc<dyn Fn() + Send + Sync>,
    ) -> Result<Self, StartError> {
        Self::start_in(cfg, seed, failed, None)
    }

    /// The same, as a member of an installation where there is a `fleet`.
    ///
    /// # Errors
    /// As [`Service::start`].
    pub fn start_in(
        cfg: Arc<Config>,
        seed: u64,
        failed: Arc<dyn Fn() + Send + Sync>,
        fleet: Option<Setup>,
    ) -> Result<Self, StartError> {
        let clock = Clock::start_ahead(cfg.fleet.as_ref().map_or(0, |fleet| fleet.clock_ahead));
        let fleet = fleet.map(|setup| Bound::new(setup, clock)).transpose()?;
        let journals = journals(&cfg)?;
        let listeners = launch::listeners(&cfg)?;
        let address = listeners[0].1.local_addr()?;
        let mqtt = listeners.get(1).map(|l| l.1.local_addr()).transpose()?;
        let keep = cfg.directory.keep.as_ref().map(PathBuf::from);
        let kept = keep.as_ref().and_then(|path| std::fs::read_to_string(path).ok());
        let port = fleet.as_ref().map(Bound::port);
        let launch = Launch { cfg, seed, clock, keep, kept, port, failed };
        let (mut senders, mut published_stats, mut threads) = (Vec::new(), Vec::new(), Vec::new());
        let mut journal_writers = Vec::new();
        for (index, journal) in journals.into_iter().enumerate() {
            let launched = launch.sender(index, journal)?;
            senders.push(launched.handle);
            published_stats.push(launched.stats);
            threads.push(launched.thread);
            journal_writers.extend(launched.journal_writer);
        }
        threads.extend(journal_writers);
        let closing = Arc::new(AtomicBool::new(false));
        let acceptors = launch::acceptors(listeners, &senders, clock, &closing)?;
        let run = |mut fleet: Bound| {
            fleet.fares(published_stats.clone());
            fleet.run(answers(senders.clone()))
        };
        let fleet = fleet.map(run).transpose()?;
        Ok(Service { address, mqtt, senders, published_stats, threads, acceptors, closing, fleet })
    }

    /// Where clients that speak SMPP connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where clients that speak MQTT connect, if it is spoken.
    pub fn mqtt_address(&self) -> Option<SocketAddr> {
        self.mqtt
    }

    /// The member of an installation that this process is, if it is one.
    pub fn fleet(&self) -> Option<&Fleet> {
        self.fleet.as_ref()
    }

    /// Counts of all senders together.
    pub fn stats(&self) -> Stats {
        let mut all = Stats::default();
        for s in &self.published_stats {
            if let Ok(s) = s.lock() {
                all.add(&s);
            }
        }
        all
    }

    /// Applies new settings. Gives those that differ and need a restart; then none was applied.
    pub fn reload(&self, cfg: &Arc<Config>) -> Vec<&'static str> {
        let mut all = Vec::new();
        for sender in &self.senders {
            let (answer, told) = channel();
            if sender.send(Command::Reload(cfg.clone(), answer)) {
                all.extend(told.recv_timeout(Duration::from_secs(10)).unwrap_or_default());
            }
        }
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Blocks a sender's thread for a time. For drills.
    pub fn stall(&self, index: usize, span: Duration) {
        if let Some(sender) = self.senders.get(index) {
            sender.send(Command::Stall(span));
        }
    }

    /// Begins to go out of service: no new clients; what is held is answered, then sessions are unbound.
    pub fn leave(&self) {
        self.closing.store(true, Ordering::Release);
        for (_, waker) in &self.acceptors {
            _ = waker.wake();
        }
        for sender in &self.senders {
            sender.send(Command::Leave);
        }
    }

    /// Waits until the service is out.
    ///
    /// # Errors
    /// Where a thread ended by an error or a panic.
    pub fn join(mut self) -> io::Result<Stats> {
        let panicked = |_| io::Error::other("a thread panicked");
        for thread in self.threads.drain(..) {
            thread.join().map_err(panicked)??;
        }
        for (acceptor, _) in self.acceptors.drain(..) {
            acceptor.join().map_err(panicked)??;
        }
        // Last: what the senders still say reaches it. Its failure was logged, and delayed no sender.
        if let Some(fleet) = self.fleet.take() {
            _ = fleet.stop();
        }
        Ok(self.stats())
    }
}

/// Passes a member's answers to the senders.
fn answers(senders: Vec<SenderHandle>) -> Box<dyn FnMut(Answer) + Send> {
    Box::new(move |answer| match answer {
        Answer::Told(told) => {
            if let Some(sender) = senders.get(told.token.sender) {
                sender.send(Command::Told(told));
            }
        }
        Answer::Apply(apply) => {
            for sender in &senders {
                sender.send(Command::Apply(apply.clone()));
            }
        }
        Answer::Fence(fence) => {
            for sender in &senders {
                sender.send(Command::Fence(fence.clone()));
            }
        }
        Answer::DryRun(weigh) => {
            for sender in &senders {
                sender.send(Command::DryRun(weigh.clone()));
            }
        }
    })
}

/// The senders' journals, one folder each, or none.
fn journals(cfg: &Config) -> Result<Vec<Option<Journal<Dir>>>, StartError> {
    let n = cfg.service.senders;
    let Some(folder) = &cfg.journal.folder else { return Ok((0..n).map(|_| None).collect()) };
    let folder = PathBuf::from(folder);
    std::fs::create_dir_all(&folder)?;
    // Clients have their homes by the number of senders: with another number, what is open would be owed by a
    // sender to which its client never comes.
    let count = folder.join("senders");
    let before =
        std::fs::read_to_string(&count).ok().and_then(|t| t.trim().parse::<usize>().ok()).unwrap_or(n);
    let mut list = Vec::new();
    for index in 0..n.max(before) {
        list.push(Some(journal_writer::open(&folder.join(format!("sender-{index}")), cfg.journal.limits)?));
    }
    // Under clients' rules a sender that is not the home has no room: what it holds from before would be let go.
    let keeps =
        |j: &Journal<Dir>| !j.state().open.is_empty() || (cfg.fleet.is_some() && !j.state().held.is_empty());
    if before != n && list.iter().flatten().any(keeps) {
        return Err(StartError::Senders(before));
    }
    list.truncate(n);
    std::fs::write(&count, n.to_string())?;
    Ok(list)
}

//! The service as a whole: its threads, and the handles to them.

use crate::acceptor::{Acceptor, SenderHandle};
use crate::clock::Clock;
use crate::fleet::{Answer, Bound, Fleet, SenderPort, Setup};
use crate::journal_writer;
use crate::reactor::{Command, JournalSink, Reactor};
use heronroute_config::Config;
use heronroute_engine::front::Speaks;
use heronroute_engine::{Node, Start, Stats};
use heronroute_journal::Journal;
use heronroute_journal::dir::Dir;
use mio::Waker;
use mio::net::TcpListener;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
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
    threads: Vec<JoinHandle<io::Result<()>>>,
    acceptors: Vec<(JoinHandle<io::Result<()>>, Arc<Waker>)>,
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
        let listen = |at: SocketAddr| TcpListener::bind(at).map_err(|e| StartError::Listen(at, e));
        let mut listeners = vec![(Speaks::Smpp, listen(cfg.smpp.listen)?, cfg.smpp.session_init)];
        if let Some(m) = &cfg.mqtt {
            listeners.push((Speaks::Mqtt, listen(m.listen)?, m.connect_within));
        }
        let address = listeners[0].1.local_addr()?;
        let mqtt = listeners.get(1).map(|l| l.1.local_addr()).transpose()?;
        let keep = cfg.directory.keep.as_ref().map(PathBuf::from);
        let kept = keep.as_ref().and_then(|path| std::fs::read_to_string(path).ok());
        let (mut senders, mut published_stats, mut threads) = (Vec::new(), Vec::new(), Vec::new());
        let mut journal_writers = Vec::new();
        for (index, journal) in journals.into_iter().enumerate() {
            let start = Start {
                index,
                seed: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(index as u64 + 1),
                now: clock.now(),
                wall: clock.wall(),
                list: 0,
                kept: kept.clone(),
                book: journal.as_ref().map(|j| j.book().clone()),
                fleet: fleet.is_some(),
            };
            let node = Node::new(cfg.clone(), start)?;
            let (commands, inbox) = channel();
            let stats = Arc::new(Mutex::new(Stats::default()));
            let keep = keep.clone().filter(|_| index == 0);
            let (to_journal, entries) = channel();
            let to_journal = journal.is_some().then_some(JournalSink::Thread(to_journal));
            let (mut reactor, waker) = Reactor::new(node, clock, inbox, keep, to_journal, stats.clone())?;
            if let Some(fleet) = &fleet {
                reactor.report_to(SenderPort::new(fleet.port()));
            }
            let sender = SenderHandle { commands, waker: Arc::new(waker) };
            if let Some(journal) = journal {
                let (sender, failed) = (sender.clone(), failed.clone());
                let gather = Duration::from_micros(cfg.journal.gather as u64);
                let writer = move || {
                    journal_writer::run(journal, &entries, &sender, gather).map_err(|e| {
                        tracing::error!(error = %e, "the journal can't go on");
                        failed();
                        io::Error::other(e.to_string())
                    })
                };
                journal_writers
                    .push(std::thread::Builder::new().name(format!("journal-{index}")).spawn(writer)?);
            }
            senders.push(sender);
            published_stats.push(stats);
            threads.push(
                std::thread::Builder::new().name(format!("sender-{index}")).spawn(move || reactor.run())?,
            );
        }
        let closing = Arc::new(AtomicBool::new(false));
        let mut acceptors = Vec::new();
        for (speaks, listener, init) in listeners {
            let (acceptor, waker) =
                Acceptor::new(speaks, listener, senders.clone(), init, clock, closing.clone())?;
            let name = format!("door-{speaks:?}").to_lowercase();
            acceptors.push((std::thread::Builder::new().name(name).spawn(move || acceptor.run())?, waker));
        }
        threads.extend(journal_writers);
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
        Answer::Weigh(weigh) => {
            for sender in &senders {
                sender.send(Command::Weigh(weigh.clone()));
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
        |j: &Journal<Dir>| !j.book().open.is_empty() || (cfg.fleet.is_some() && !j.book().held.is_empty());
    if before != n && list.iter().flatten().any(keeps) {
        return Err(StartError::Senders(before));
    }
    list.truncate(n);
    std::fs::write(&count, n.to_string())?;
    Ok(list)
}

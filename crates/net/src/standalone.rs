//! One sender of the platform on a single thread, which accepts and serves clients, writes its journal and
//! handles signals.
//!
//! It starts no other thread: on a fraction of one core each thread costs wake-ups, and another thread could
//! delay it.

use crate::clock::Clock;
use crate::reactor::{Command, JournalSink, OwnJournal, Reactor, ReloadConfig};
use crate::service::StartError;
use crate::signals::Signals;
use crate::timeline;
use heronroute_engine::platform::config;
use heronroute_engine::{Node, Start, Stats};
use heronroute_journal::dir::Dir;
use heronroute_journal::{Journal, JournalError, Limits};
use heronroute_platform::start::StartUp;
use mio::net::TcpListener;
use std::io;
use std::path::Path;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time for which opening a failing folder is retried. A sender must be ready 30 s after its start.
const OPEN_TIMEOUT: Duration = Duration::from_secs(25);
/// The delay before opening a folder is retried.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Opens the journal and continues its clock. Retries while the folder fails, until a signal asks the process
/// to end.
fn open_journal(
    folder: &Path,
    limits: Limits,
    signals: &Signals,
    clock: Clock,
) -> Result<(Journal<Dir>, Clock), StartError> {
    let started = Instant::now();
    loop {
        let opened = Dir::open_unsynced(folder).map_err(JournalError::from);
        let opened = opened.and_then(|dir| Journal::open(dir, limits)).and_then(|journal| {
            let time = timeline::resume(folder, clock.wall(), journal.state())?;
            Ok((journal, clock.with_wall(time)))
        });
        let error = match opened {
            Ok(opened) => return Ok(opened),
            Err(error) => error,
        };
        let is_temporary = matches!(error, JournalError::Storage(_));
        if !is_temporary || started.elapsed() > OPEN_TIMEOUT || signals.is_shutdown_requested() {
            return Err(error.into());
        }
        tracing::warn!(%error, "the journal can't be opened; retrying");
        std::thread::sleep(OPEN_RETRY_DELAY);
    }
}

/// A sender that is ready to run.
pub struct StandaloneSender {
    reactor: Reactor,
    published_stats: Arc<Mutex<Stats>>,
    /// Unused, but kept open: the reactor shuts down once its command queue is closed.
    _commands: Sender<Command>,
}

impl StandaloneSender {
    /// Reads the journal in `folder` and listens. SIGTERM and SIGINT shut the sender down; SIGHUP calls
    /// `reload` for the address of discovery. Clients that connect from now on are served once the sender
    /// runs.
    ///
    /// # Errors
    /// If the settings or the journal can't be used, or a resource of the system is missing.
    pub fn start(
        start_up: &StartUp,
        folder: &Path,
        signals: Signals,
        reload: ReloadConfig,
    ) -> Result<Self, StartError> {
        let cfg = Arc::new(config(start_up));
        let (journal, clock) = open_journal(folder, cfg.journal.limits, &signals, Clock::start())?;
        let start = Start {
            index: 0,
            seed: start_up.seed,
            now: clock.now(),
            wall: clock.wall(),
            list: start_up.known.version,
            kept: None,
            state: Some(journal.state().clone()),
            fleet: false,
        };
        let node = Node::new(cfg, start)?;
        let listener =
            TcpListener::bind(start_up.listen).map_err(|e| StartError::Listen(start_up.listen, e))?;
        let (commands, command_queue) = channel();
        let published_stats = Arc::new(Mutex::new(Stats::default()));
        let sink = Some(JournalSink::Own(Box::new(OwnJournal::new(journal))));
        let (mut reactor, _) = Reactor::new(node, clock, command_queue, None, sink, published_stats.clone())?;
        reactor.set_listener(listener)?;
        reactor.set_signals(signals, reload)?;
        Ok(StandaloneSender { reactor, published_stats, _commands: commands })
    }

    /// Runs until the sender is shut down, and returns the final counts.
    ///
    /// # Errors
    /// If the journal or the poll fails.
    pub fn run(self) -> io::Result<Stats> {
        self.reactor.run()?;
        Ok(self.published_stats.lock().map(|s| s.clone()).unwrap_or_default())
    }
}

//! One sender of the platform on a single thread, which accepts and serves clients, writes its journal and
//! handles signals.
//!
//! It starts no other thread: on a fraction of one core each thread costs wake-ups, and another thread could
//! delay it.

use crate::clock::Clock;
use crate::reactor::{Command, JournalSink, OwnJournal, Reactor, ReloadConfig};
use crate::service::StartError;
use crate::signals::Signals;
use crate::start_retry::{StartRetry, is_temporary};
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

/// Opens the journal and continues its clock.
fn open_journal(folder: &Path, limits: Limits, clock: Clock) -> Result<(Journal<Dir>, Clock), JournalError> {
    let journal = Journal::open(Dir::open_unsynced(folder)?, limits)?;
    let time = timeline::resume(folder, clock.wall(), journal.state())?;
    Ok((journal, clock.with_wall(time)))
}

/// A sender that is ready to run.
pub struct StandaloneSender {
    reactor: Reactor,
    published_stats: Arc<Mutex<Stats>>,
    /// Unused, but kept open: the reactor shuts down once its command queue is closed.
    _commands: Sender<Command>,
}

impl StandaloneSender {
    /// Reads the journal in `folder` and listens, and retries while either fails for a reason that may pass. SIGTERM
    /// and SIGINT shut the sender down; SIGHUP calls `reload` for the address of discovery. Clients that connect from
    /// now on are served once the sender runs.
    ///
    /// # Errors
    /// If the settings or the journal can't be used, or a resource of the system is missing.
    pub fn start(
        start_up: &StartUp,
        folder: &Path,
        retry: StartRetry,
        signals: Signals,
        reload: ReloadConfig,
    ) -> Result<Self, StartError> {
        let cfg = Arc::new(config(start_up));
        let clock = Clock::start();
        let storage_failed = |error: &JournalError| matches!(error, JournalError::Storage(_));
        let (mut journal, clock) =
            retry.run(&signals, storage_failed, || open_journal(folder, cfg.journal.limits, clock))?;
        journal.limit_names(cfg.platform.map_or(0, |platform| platform.remembered_ids));
        let start = Start {
            index: 0,
            seed: start_up.seed,
            now: clock.now(),
            wall: clock.wall(),
            list: start_up.known.version,
            kept: None,
            state: Some(journal.state().clone()),
            journal_usage: journal.usage(),
            fleet: false,
        };
        let node = Node::new(cfg, start)?;
        let listener = retry
            .run(&signals, is_temporary, || TcpListener::bind(start_up.listen))
            .map_err(|error| StartError::Listen(start_up.listen, error))?;
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

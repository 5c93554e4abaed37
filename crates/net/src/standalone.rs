//! One sender of the platform on a single thread, which accepts, serves, writes its journal and takes signals itself.
//!
//! It starts no other thread: on a fraction of one core each costs wake-ups, and none can delay it.

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

/// A folder that fails is tried again for this long. A sender must be ready 30 s after its start.
const OPEN_PATIENCE: Duration = Duration::from_secs(25);
/// Pause before a folder that failed is tried again.
const OPEN_PAUSE: Duration = Duration::from_millis(100);

/// Opens the journal and continues its time, again and again while the folder fails and nothing tells the process to end.
fn open_journal(
    folder: &Path,
    limits: Limits,
    signals: &Signals,
    clock: Clock,
) -> Result<(Journal<Dir>, Clock), StartError> {
    let began = Instant::now();
    loop {
        let opened = Dir::open_unsynced(folder).map_err(JournalError::from);
        let opened = opened.and_then(|dir| Journal::open(dir, limits)).and_then(|journal| {
            let time = timeline::start(folder, clock.wall(), journal.state())?;
            Ok((journal, clock.with_wall(time)))
        });
        let error = match opened {
            Ok(opened) => return Ok(opened),
            Err(error) => error,
        };
        let is_passing = matches!(error, JournalError::Storage(_));
        if !is_passing || began.elapsed() > OPEN_PATIENCE || signals.asks_to_leave() {
            return Err(error.into());
        }
        tracing::warn!(%error, "the journal can't be opened; it is tried again");
        std::thread::sleep(OPEN_PAUSE);
    }
}

/// A sender that is ready to run.
pub struct StandaloneSender {
    reactor: Reactor,
    published_stats: Arc<Mutex<Stats>>,
    /// Never used. It stays open, since the reactor goes out of service once its command queue is closed.
    _commands: Sender<Command>,
}

impl StandaloneSender {
    /// Reads the journal in `folder` and listens. SIGTERM makes it leave; SIGHUP calls `reload` for the address of discovery.
    /// Clients that connect from here on are served once it runs.
    ///
    /// # Errors
    /// Where something it needs can't be had.
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
        let (commands, inbox) = channel();
        let published_stats = Arc::new(Mutex::new(Stats::default()));
        let sink = Some(JournalSink::Own(Box::new(OwnJournal::new(journal))));
        let (mut reactor, _) = Reactor::new(node, clock, inbox, None, sink, published_stats.clone())?;
        reactor.listen_at(listener)?;
        reactor.take_signals(signals, reload)?;
        Ok(StandaloneSender { reactor, published_stats, _commands: commands })
    }

    /// Runs until it has gone out of service.
    ///
    /// # Errors
    /// Where it could not go on.
    pub fn run(self) -> io::Result<Stats> {
        self.reactor.run()?;
        Ok(self.published_stats.lock().map(|s| s.clone()).unwrap_or_default())
    }
}

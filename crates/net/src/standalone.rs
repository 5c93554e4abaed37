//! One sender of the platform on a single thread, which accepts, serves, writes its journal and takes signals itself.
//!
//! It starts no other thread: on a fraction of one core each costs wake-ups, and none can delay it.

use crate::clock::Clock;
use crate::reactor::{Command, JournalSink, Reactor, ReloadConfig};
use crate::service::StartError;
use crate::signals::Signals;
use heronroute_engine::platform::config;
use heronroute_engine::{Node, Start, Stats};
use heronroute_journal::Journal;
use heronroute_journal::dir::Dir;
use heronroute_platform::start::StartUp;
use mio::net::TcpListener;
use std::io;
use std::path::Path;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};

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
        let clock = Clock::start();
        let cfg = Arc::new(config(start_up));
        let journal = Journal::open(Dir::open_unsynced(folder)?, cfg.journal.limits)?;
        let start = Start {
            index: 0,
            seed: start_up.seed,
            now: clock.now(),
            wall: clock.wall(),
            list: start_up.known.version,
            kept: None,
            book: Some(journal.book().clone()),
            fleet: false,
        };
        let node = Node::new(cfg, start)?;
        let listener =
            TcpListener::bind(start_up.listen).map_err(|e| StartError::Listen(start_up.listen, e))?;
        let (commands, inbox) = channel();
        let published_stats = Arc::new(Mutex::new(Stats::default()));
        let sink = Some(JournalSink::Own(Box::new(journal)));
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

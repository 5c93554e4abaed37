//! Starts the threads of a service: its senders, their journal writers and its acceptors.

use super::StartError;
use crate::acceptor::{Acceptor, SenderHandle};
use crate::clock::Clock;
use crate::fleet::{Port, SenderPort};
use crate::journal_writer;
use crate::reactor::{JournalSink, Reactor};
use heronroute_config::Config;
use heronroute_engine::front::Speaks;
use heronroute_engine::{Node, Start, Stats};
use heronroute_journal::dir::Dir;
use heronroute_journal::{Entry, Journal};
use mio::Waker;
use mio::net::TcpListener;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

/// A thread of the service.
pub type Thread = JoinHandle<io::Result<()>>;

/// What all senders of a service start from.
pub struct Launch {
    pub cfg: Arc<Config>,
    pub seed: u64,
    pub clock: Clock,
    /// The file of the saved directory list, which the first sender writes.
    pub keep: Option<PathBuf>,
    /// The list as it was saved before.
    pub kept: Option<String>,
    /// The port to the installation's member, where there is one.
    pub port: Option<Port>,
    /// Called where a sender's journal fails.
    pub failed: Arc<dyn Fn() + Send + Sync>,
}

/// A sender whose threads run.
pub struct Launched {
    pub handle: SenderHandle,
    pub stats: Arc<Mutex<Stats>>,
    pub thread: Thread,
    pub journal_writer: Option<Thread>,
}

impl Launch {
    /// Starts one sender and its journal writer.
    pub fn sender(&self, index: usize, journal: Option<Journal<Dir>>) -> Result<Launched, StartError> {
        let node = Node::new(self.cfg.clone(), self.start(index, journal.as_ref()))?;
        let (commands, inbox) = channel();
        let stats = Arc::new(Mutex::new(Stats::default()));
        let keep = self.keep.clone().filter(|_| index == 0);
        let (to_journal, entries) = channel();
        let sink = journal.is_some().then_some(JournalSink::Thread(to_journal));
        let (mut reactor, waker) = Reactor::new(node, self.clock, inbox, keep, sink, stats.clone())?;
        if let Some(port) = &self.port {
            reactor.report_to(SenderPort::new(port.clone()));
        }
        let handle = SenderHandle { commands, waker: Arc::new(waker) };
        let writer = |journal| self.journal_writer(index, journal, entries, handle.clone());
        let journal_writer = journal.map(writer).transpose()?;
        let thread = Builder::new().name(format!("sender-{index}")).spawn(move || reactor.run())?;
        Ok(Launched { handle, stats, thread, journal_writer })
    }

    fn start(&self, index: usize, journal: Option<&Journal<Dir>>) -> Start {
        Start {
            index,
            seed: self.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(index as u64 + 1),
            now: self.clock.now(),
            wall: self.clock.wall(),
            list: 0,
            kept: self.kept.clone(),
            state: journal.map(|j| j.state().clone()),
            fleet: self.port.is_some(),
        }
    }

    fn journal_writer(
        &self,
        index: usize,
        journal: Journal<Dir>,
        entries: Receiver<Vec<Entry>>,
        sender: SenderHandle,
    ) -> io::Result<Thread> {
        let failed = self.failed.clone();
        let gather = Duration::from_micros(self.cfg.journal.gather as u64);
        let writer = move || {
            journal_writer::run(journal, &entries, &sender, gather).map_err(|e| {
                tracing::error!(error = %e, "the journal can't go on");
                failed();
                io::Error::other(e.to_string())
            })
        };
        Builder::new().name(format!("journal-{index}")).spawn(writer)
    }
}

/// A listener with the protocol that is spoken on it, and the time in which a client must send its first command.
pub type Listener = (Speaks, TcpListener, i64);

/// Listens for SMPP, and for MQTT where the settings have it.
pub fn listeners(cfg: &Config) -> Result<Vec<Listener>, StartError> {
    let listen = |at: SocketAddr| TcpListener::bind(at).map_err(|e| StartError::Listen(at, e));
    let mut listeners = vec![(Speaks::Smpp, listen(cfg.smpp.listen)?, cfg.smpp.session_init)];
    if let Some(m) = &cfg.mqtt {
        listeners.push((Speaks::Mqtt, listen(m.listen)?, m.connect_within));
    }
    Ok(listeners)
}

/// Starts an acceptor for each listener.
pub fn acceptors(
    listeners: Vec<Listener>,
    senders: &[SenderHandle],
    clock: Clock,
    closing: &Arc<AtomicBool>,
) -> io::Result<Vec<(Thread, Arc<Waker>)>> {
    let mut acceptors = Vec::new();
    for (speaks, listener, init) in listeners {
        let (acceptor, waker) =
            Acceptor::new(speaks, listener, senders.to_vec(), init, clock, closing.clone())?;
        let name = format!("door-{speaks:?}").to_lowercase();
        acceptors.push((Builder::new().name(name).spawn(move || acceptor.run())?, waker));
    }
    Ok(acceptors)
}

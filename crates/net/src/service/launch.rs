//! Starts the threads of a service: its senders, their journal writers and its acceptors.

use super::StartError;
use crate::acceptor::{Acceptor, Listener, SenderHandle};
use crate::clock::Clock;
use crate::fleet::{MemberHandle, SenderMemberHandle};
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

/// The common parameters of all senders of a service.
pub struct SenderLauncher {
    pub cfg: Arc<Config>,
    pub seed: u64,
    pub clock: Clock,
    /// The file of the saved directory list, which the first sender writes.
    pub list_path: Option<PathBuf>,
    /// The saved directory list.
    pub saved_list: Option<String>,
    /// The handle to the installation's member, if there is one.
    pub member: Option<MemberHandle>,
    /// Called if a sender's journal fails.
    pub on_journal_failure: Arc<dyn Fn() + Send + Sync>,
}

/// A sender whose threads are running.
pub struct RunningSender {
    pub handle: SenderHandle,
    pub stats: Arc<Mutex<Stats>>,
    pub thread: Thread,
    pub journal_writer: Option<Thread>,
}

impl SenderLauncher {
    /// Starts one sender and its journal writer.
    pub fn start_sender(
        &self,
        index: usize,
        journal: Option<Journal<Dir>>,
    ) -> Result<RunningSender, StartError> {
        let node = Node::new(self.cfg.clone(), self.node_start(index, journal.as_ref()))?;
        let (commands, inbox) = channel();
        let stats = Arc::new(Mutex::new(Stats::default()));
        let list_path = self.list_path.clone().filter(|_| index == 0);
        let (to_journal, entries) = channel();
        let sink = journal.is_some().then_some(JournalSink::Thread(to_journal));
        let (mut reactor, waker) = Reactor::new(node, self.clock, inbox, list_path, sink, stats.clone())?;
        if let Some(member) = &self.member {
            reactor.set_member(SenderMemberHandle::new(member.clone()));
        }
        let handle = SenderHandle { commands, waker: Arc::new(waker) };
        let writer = |journal| self.start_journal_writer(index, journal, entries, handle.clone());
        let journal_writer = journal.map(writer).transpose()?;
        let thread = Builder::new().name(format!("sender-{index}")).spawn(move || reactor.run())?;
        Ok(RunningSender { handle, stats, thread, journal_writer })
    }

    /// Returns the start parameters of a sender's node.
    fn node_start(&self, index: usize, journal: Option<&Journal<Dir>>) -> Start {
        Start {
            index,
            seed: self.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(index as u64 + 1),
            now: self.clock.now(),
            wall: self.clock.wall(),
            list: 0,
            kept: self.saved_list.clone(),
            state: journal.map(|j| j.state().clone()),
            journal_usage: journal.map(Journal::usage).unwrap_or_default(),
            fleet: self.member.is_some(),
        }
    }

    /// Starts the journal writer thread of a sender.
    fn start_journal_writer(
        &self,
        index: usize,
        journal: Journal<Dir>,
        entries: Receiver<Vec<Entry>>,
        sender: SenderHandle,
    ) -> io::Result<Thread> {
        let on_journal_failure = self.on_journal_failure.clone();
        let gather = Duration::from_micros(self.cfg.journal.gather as u64);
        let writer = move || {
            journal_writer::run(journal, &entries, &sender, gather).map_err(|e| {
                tracing::error!(error = %e, "the journal can't go on");
                on_journal_failure();
                io::Error::other(e.to_string())
            })
        };
        Builder::new().name(format!("journal-{index}")).spawn(writer)
    }
}

/// Opens the listeners: SMPP, and MQTT if the settings enable it.
pub fn listeners(cfg: &Config) -> Result<Vec<Listener>, StartError> {
    let listen = |at: SocketAddr| TcpListener::bind(at).map_err(|e| StartError::Listen(at, e));
    let mut listeners = vec![Listener {
        protocol: Speaks::Smpp,
        socket: listen(cfg.smpp.listen)?,
        identify_timeout: cfg.smpp.session_init,
        max_command: cfg.smpp.max_pdu,
    }];
    if let Some(mqtt) = &cfg.mqtt {
        listeners.push(Listener {
            protocol: Speaks::Mqtt,
            socket: listen(mqtt.listen)?,
            identify_timeout: mqtt.connect_within,
            max_command: mqtt.max_packet as usize,
        });
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
    for listener in listeners {
        let name = format!("door-{:?}", listener.protocol).to_lowercase();
        let (acceptor, waker) = Acceptor::new(listener, senders.to_vec(), clock, closing.clone())?;
        acceptors.push((Builder::new().name(name).spawn(move || acceptor.run())?, waker));
    }
    Ok(acceptors)
}

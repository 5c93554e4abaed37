//! A test harness that runs the platform's sender in memory. The tests write the bytes of clients, endpoints
//! and discovery, and read what the node answers from its output buffers.
#![allow(dead_code)] // not every test file uses every item

use heronroute_engine::front::Speaks;
use heronroute_engine::platform::config;
use heronroute_engine::{ConnId, Node, Output, Start};
use heronroute_journal::disk::{Disk, Faults};
use heronroute_journal::{Journal, JournalError, Limits};
use heronroute_platform::start::{StartUp, read};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

pub const MS: i64 = 1_000;
/// The start-up configuration of the node: two endpoints, one of them for batches, and three classes.
pub const START_CONFIG: &str = r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7",
 "limits":{"memory_mb":32,"sockets":32,"disk_mb":1},
 "known":{"version":4,"full":true,"servers":[
  {"id":"e1","addr":"127.0.0.1:1001","zone":"a","kind":"one","cell":1,"state":"SERVING","weight":50.0},
  {"id":"e2","addr":"127.0.0.1:1002","zone":"a","kind":"bulk","cell":2,"state":"SERVING","weight":50.0}]},
 "settings":{"Azs":["a"],"Shapes":["one","bulk"],"Customers":[{"Name":"t","QuotaRps":50.0}],"Balancers":1,
  "Weights":"nominal","QuantumUs":5000,"Discovery":"push",
  "FamilyInfo":{"Workers":8,"BatchByKind":[1,10]},
  "Limits":{"MaxOpen":40,"MaxAttempts":4,"Cancel":true,"RetryAfter":true,"MaxRetryAfterUs":2000000,"IdleCloseUs":5000000},
  "Profiles":[{"Name":"safe","Effect":"free","HardLimitUs":5000000,"ObjectiveUs":1500000,"Worth":1.0},
   {"Name":"keyed","Effect":"guarded","WindowUs":4000000,"HardLimitUs":8000000,"ObjectiveUs":2500000,"Worth":1.0},
   {"Name":"once","Effect":"single_shot","HardLimitUs":8000000,"ObjectiveUs":2500000,"Worth":5.0}]}}"#;

/// A node with its journal, its connections and a simulated clock.
pub struct Harness {
    pub start: StartUp,
    pub node: Node,
    pub journal: Journal<Disk>,
    /// Entries committed to the journal.
    pub journal_entries: u64,
    pub now: i64,
    /// The connections that the node opened: the address, and the bytes received there that no test has read.
    pub node_connections: BTreeMap<ConnId, (SocketAddr, String)>,
    /// Unread bytes of the node's connections that have closed since.
    pub closed_with_data: Vec<(ConnId, SocketAddr, String)>,
    /// Unread replies to the clients.
    pub replies: BTreeMap<ConnId, String>,
    /// Connections that have closed, in the order of closing.
    pub closed: Vec<ConnId>,
    /// Whether entries are committed to the journal; if not, they never become durable.
    pub journal_enabled: bool,
    /// Connections to this port aren't established at once, but are kept in `connecting`.
    pub slow_port: Option<u16>,
    pub connecting: Vec<ConnId>,
    /// A connection that accepts no bytes from the node.
    pub stalled: Option<ConnId>,
    /// Bytes that have arrived on a connection and are read only when the node drops it.
    pub unread: Option<(ConnId, String)>,
}

/// Starts a node with the default configuration on a journal.
pub fn start_harness(journal: Journal<Disk>, now: i64) -> Harness {
    start_harness_with(START_CONFIG, journal, now)
}

/// Starts a node with a given configuration on a journal.
pub fn start_harness_with(start: &str, journal: Journal<Disk>, now: i64) -> Harness {
    let start = read(start).unwrap();
    let state = Some(journal.state().clone());
    let at = Start {
        index: 0,
        seed: 7,
        now,
        wall: (1 << 50) + now,
        list: 4,
        kept: None,
        state,
        journal_usage: journal.usage(),
        fleet: false,
    };
    let node = Node::new(Arc::new(config(&start)), at).unwrap();
    let (node_connections, replies, closed) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
    let mut harness = Harness {
        start,
        node,
        journal,
        journal_entries: 0,
        now,
        node_connections,
        closed_with_data: Vec::new(),
        replies,
        closed,
        journal_enabled: true,
        slow_port: None,
        connecting: vec![],
        stalled: None,
        unread: None,
    };
    harness.advance(0);
    harness
}

/// Starts a node with the default configuration on an empty journal.
pub fn new_harness() -> Harness {
    start_harness(Journal::open(Disk::new(Faults::default()), JOURNAL_LIMITS).unwrap(), 0)
}

/// Returns an `OUT.ADD` command as a client writes it.
pub fn out_add_command(id: &str, pairs: &str, body: &str) -> String {
    "*5\r\n".to_string()
        + &["OUT.ADD", "0000", id, pairs, body].map(|a| format!("${}\r\n{a}\r\n", a.len())).concat()
}

pub const JOURNAL_LIMITS: Limits = Limits { segment: 20_000, growth: 2, least: 20_000, most: 400_000 };

impl Harness {
    /// Advances the clock in steps of 5 ms and handles all outputs of the node.
    pub fn advance(&mut self, span: i64) {
        let end = self.now + span;
        loop {
            self.node.settle(self.now);
            for _ in 0..100 {
                let outputs = self.node.outputs();
                if outputs.is_empty() {
                    break;
                }
                for output in outputs {
                    self.handle_output(output);
                }
                self.node.settle(self.now);
            }
            if self.now >= end {
                return;
            }
            self.now = (self.now + 5 * MS).min(end);
        }
    }

    /// Does what one output of the node asks for.
    pub fn handle_output(&mut self, output: Output) {
        match output {
            Output::Connect { conn, address } => {
                self.node_connections.insert(conn, (address, String::new()));
                if self.slow_port == Some(address.port()) {
                    self.connecting.push(conn);
                } else {
                    self.node.connected(self.now, conn);
                }
            }
            Output::Write(conn) if self.stalled == Some(conn) => {}
            Output::Write(conn) | Output::Finish(conn) => {
                let text = String::from_utf8_lossy(self.node.pending(conn)).into_owned();
                let length = self.node.pending(conn).len();
                match self.node_connections.get_mut(&conn) {
                    Some((_, received)) => received.push_str(&text),
                    None => self.replies.entry(conn).or_default().push_str(&text),
                }
                if self.node.wrote(conn, length) {
                    self.connection_closed(conn);
                }
            }
            Output::Drop(conn) => {
                if let Some((_, bytes)) = self.unread.take_if(|(of, _)| *of == conn)
                    && self.node.reads_before_drop(conn)
                {
                    self.node.received_unhandled(self.now, conn, bytes.as_bytes());
                }
                self.connection_closed(conn);
            }
            Output::Journal(entries) if self.journal_enabled => {
                // A full journal is replaced by a snapshot, as in the reactor.
                let mut result = self.journal.commit(&entries);
                if matches!(result, Err(JournalError::Full)) {
                    result = self.journal.snapshot().and_then(|()| self.journal.commit(&entries));
                }
                result.unwrap();
                self.journal_entries += entries.len() as u64;
                self.node.durable(self.now, self.journal_entries, self.journal.usage());
            }
            Output::Journal(_) | Output::SaveList(_) | Output::Live(_) | Output::ClientRequest(_) => {}
            Output::Copying | Output::Inherited(_) => {}
        }
    }

    /// Lists one more endpoint of e1's destination, at port 1003.
    pub fn add_endpoint_like_e1(&mut self) {
        let (watch, _) =
            self.take_received(2).into_iter().find(|(_, t)| t.starts_with("GET /catalog")).unwrap();
        let line = r#"{"version":5,"full":false,"servers":[{"id":"e3","addr":"127.0.0.1:1003","zone":"a","kind":"one","cell":1,"state":"SERVING","weight":50.0}]}"#;
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        self.peer_sends(watch, &format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1));
    }

    /// Records that a connection has closed.
    pub fn connection_closed(&mut self, conn: ConnId) {
        if let Some((address, text)) =
            self.node_connections.remove(&conn).filter(|(_, text)| !text.is_empty())
        {
            self.closed_with_data.push((conn, address, text));
        }
        self.closed.push(conn);
    }

    /// Accepts the connection of a new client.
    pub fn connect_client(&mut self) -> ConnId {
        self.node.accepted(self.now, Speaks::Resp, b"").unwrap()
    }

    /// Submits a message on a client's connection.
    pub fn submit(&mut self, conn: ConnId, id: &str, pairs: &str) {
        self.node.received(self.now, conn, out_add_command(id, pairs, "body").as_bytes());
        self.advance(5 * MS);
    }

    /// Returns what was sent to the client since the last call.
    pub fn take_replies(&mut self, conn: ConnId) -> String {
        self.replies.remove(&conn).unwrap_or_default()
    }

    /// Returns the open connections to a port on which bytes were received since the last call, with these
    /// bytes.
    pub fn take_received(&mut self, port: u16) -> Vec<(ConnId, String)> {
        let connections = self
            .node_connections
            .iter_mut()
            .filter(|(_, (address, text))| address.port() == port && !text.is_empty());
        connections.map(|(conn, (_, text))| (*conn, std::mem::take(text))).collect()
    }

    /// Returns what was received at a port on connections that have closed since, by connection.
    pub fn received_before_close(&self, port: u16) -> Vec<(ConnId, String)> {
        let closed_there = self.closed_with_data.iter().filter(|(_, address, _)| address.port() == port);
        closed_there.map(|(conn, _, text)| (*conn, text.clone())).collect()
    }

    /// Delivers bytes from the peer of a connection to the node.
    pub fn peer_sends(&mut self, conn: ConnId, text: &str) {
        self.node.received(self.now, conn, text.as_bytes());
        self.advance(5 * MS);
    }

    /// Simulates a killed process that starts again on the same journal.
    pub fn restart(self) -> Harness {
        start_harness(Journal::open(self.journal.into_storage(), JOURNAL_LIMITS).unwrap(), self.now)
    }
}

pub const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
/// Discovery's answer that accepts a notice.
pub const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// The fields of a message that may be repeated freely.
pub const SAFE: &str = "c=safe,t=t,d=4000,dest=1";
/// The fields of a message that may be repeated within its idempotency window.
pub const KEYED: &str = "c=keyed,t=t,d=7000,k=abc,dest=1";
/// The fields of a message that may not be repeated once it may have run.
pub const ONCE: &str = "c=once,t=t,d=7000,dest=1";

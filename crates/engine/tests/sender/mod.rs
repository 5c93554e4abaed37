//! The platform's sender in memory: what its clients, endpoints and discovery say is written by hand by the tests, and
//! what the node answers is read from its octets.
#![allow(dead_code)] // not every test file uses all of it

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
pub const START: &str = r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7",
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

pub struct World {
    pub start: StartUp,
    pub node: Node,
    pub journal: Journal<Disk>,
    pub count: u64,
    pub now: i64,
    /// The node's own connections: where to, and what came there.
    pub ours: BTreeMap<ConnId, (SocketAddr, String)>,
    /// What came on connections that have ended since, and nobody has looked at.
    pub past: Vec<(ConnId, SocketAddr, String)>,
    /// What clients heard.
    pub heard: BTreeMap<ConnId, String>,
    pub ended: Vec<ConnId>,
    /// The journal writes.
    pub writes: bool,
    /// Connections there don't stand at once: those that are coming.
    pub silent: Option<u16>,
    pub coming: Vec<ConnId>,
    /// What the node writes there stays with it.
    pub stuck: Option<ConnId>,
}

pub fn begin(journal: Journal<Disk>, now: i64) -> World {
    begin_with(START, journal, now)
}

pub fn begin_with(start: &str, journal: Journal<Disk>, now: i64) -> World {
    let start = read(start).unwrap();
    let state = Some(journal.state().clone());
    let at =
        Start { index: 0, seed: 7, now, wall: (1 << 50) + now, list: 4, kept: None, state, fleet: false };
    let node = Node::new(Arc::new(config(&start)), at).unwrap();
    let (ours, heard, ended) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
    let mut w = World {
        start,
        node,
        journal,
        count: 0,
        now,
        ours,
        past: Vec::new(),
        heard,
        ended,
        writes: true,
        silent: None,
        coming: vec![],
        stuck: None,
    };
    w.pass(0);
    w
}

pub fn world() -> World {
    begin(Journal::open(Disk::new(Faults::default()), LIMITS).unwrap(), 0)
}

/// A hand-in as a client writes it.
pub fn out_add(id: &str, pairs: &str, body: &str) -> String {
    "*5\r\n".to_string()
        + &["OUT.ADD", "0000", id, pairs, body].map(|a| format!("${}\r\n{a}\r\n", a.len())).concat()
}

pub const LIMITS: Limits = Limits { segment: 20_000, growth: 2, least: 20_000, most: 400_000 };

impl World {
    /// Time passes, a quantum at a time, and all that the node asks for is done.
    pub fn pass(&mut self, span: i64) {
        let end = self.now + span;
        loop {
            self.node.settle(self.now);
            for _ in 0..100 {
                let outputs = self.node.outputs();
                if outputs.is_empty() {
                    break;
                }
                for output in outputs {
                    self.obey(output);
                }
                self.node.settle(self.now);
            }
            if self.now >= end {
                return;
            }
            self.now = (self.now + 5 * MS).min(end);
        }
    }

    pub fn obey(&mut self, output: Output) {
        match output {
            Output::Connect { conn, address } => {
                self.ours.insert(conn, (address, String::new()));
                if self.silent == Some(address.port()) {
                    self.coming.push(conn);
                } else {
                    self.node.connected(self.now, conn);
                }
            }
            Output::Write(conn) if self.stuck == Some(conn) => {}
            Output::Write(conn) | Output::Finish(conn) => {
                let octets = String::from_utf8_lossy(self.node.pending(conn)).into_owned();
                let n = self.node.pending(conn).len();
                match self.ours.get_mut(&conn) {
                    Some((_, text)) => text.push_str(&octets),
                    None => self.heard.entry(conn).or_default().push_str(&octets),
                }
                if self.node.wrote(conn, n) {
                    self.gone(conn);
                }
            }
            Output::Drop(conn) => self.gone(conn),
            Output::Journal(entries) if self.writes => {
                // As the reactor does it.
                let mut result = self.journal.commit(&entries);
                if matches!(result, Err(JournalError::Full)) {
                    result = self.journal.snapshot().and_then(|()| self.journal.commit(&entries));
                }
                result.unwrap();
                self.count += entries.len() as u64;
                self.node.durable(self.now, self.count, self.journal.usage());
            }
            Output::Journal(_) | Output::SaveList(_) | Output::Live(_) | Output::ClientRequest(_) => {}
            Output::Copying | Output::Inherited(_) => {}
        }
    }

    /// One more endpoint of e1's destination is listed, at port 1003.
    pub fn add_endpoint_like_e1(&mut self) {
        let (watch, _) = self.came(2).into_iter().find(|(_, t)| t.starts_with("GET /catalog")).unwrap();
        let line = r#"{"version":5,"full":false,"servers":[{"id":"e3","addr":"127.0.0.1:1003","zone":"a","kind":"one","cell":1,"state":"SERVING","weight":50.0}]}"#;
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        self.says(watch, &format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1));
    }

    pub fn gone(&mut self, conn: ConnId) {
        if let Some((address, text)) = self.ours.remove(&conn).filter(|(_, text)| !text.is_empty()) {
            self.past.push((conn, address, text));
        }
        self.ended.push(conn);
    }

    pub fn client(&mut self) -> ConnId {
        self.node.accepted(self.now, Speaks::Resp, b"").unwrap()
    }

    pub fn add(&mut self, conn: ConnId, id: &str, pairs: &str) {
        self.node.received(self.now, conn, out_add(id, pairs, "body").as_bytes());
        self.pass(5 * MS);
    }

    /// What the client heard since the last call.
    pub fn told(&mut self, conn: ConnId) -> String {
        self.heard.remove(&conn).unwrap_or_default()
    }

    /// Connections to an address on which something has come since the last call, with what.
    pub fn came(&mut self, port: u16) -> Vec<(ConnId, String)> {
        let at = self.ours.iter_mut().filter(|(_, (a, text))| a.port() == port && !text.is_empty());
        at.map(|(conn, (_, text))| (*conn, std::mem::take(text))).collect()
    }

    /// What came at an address on connections that have ended since, by connection.
    pub fn came_before_an_end(&self, port: u16) -> Vec<(ConnId, String)> {
        let there = self.past.iter().filter(|(_, address, _)| address.port() == port);
        there.map(|(conn, _, text)| (*conn, text.clone())).collect()
    }

    pub fn says(&mut self, conn: ConnId, text: &str) {
        self.node.received(self.now, conn, text.as_bytes());
        self.pass(5 * MS);
    }

    /// The process is killed, and starts again with its folder.
    pub fn restart(self) -> World {
        begin(Journal::open(self.journal.into_storage(), LIMITS).unwrap(), self.now)
    }
}

pub const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
pub const TAKEN: &str = "HTTP/1.1 204 No Content\r\n\r\n";
pub const SAFE: &str = "c=safe,t=t,d=4000,dest=1";
pub const KEYED: &str = "c=keyed,t=t,d=7000,k=abc,dest=1";
pub const ONCE: &str = "c=once,t=t,d=7000,dest=1";

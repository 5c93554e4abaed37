//! Tests with endpoints that are replaced continually: the tables of endpoints stay as small as the list, and
//! an endpoint that is listed again in time keeps its state.

use heronroute_engine::front::Speaks;
use heronroute_engine::platform::config;
use heronroute_engine::{ConnId, Node, Output, Start};
use heronroute_journal::disk::{Disk, Faults};
use heronroute_journal::{Journal, Limits};
use heronroute_platform::start::read;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

const MS: i64 = 1_000;
const SECOND: i64 = 1_000 * MS;
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const SERVER_ERROR: &str = "HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n";
/// The number of endpoints on the list.
const LISTED: u32 = 8;
/// The start-up configuration of the node, with an empty list.
const START_CONFIG: &str = r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7",
 "limits":{"memory_mb":32,"sockets":256,"disk_mb":1},"known":{"version":4,"full":true,"servers":[]},
 "settings":{"Azs":["a"],"Shapes":["one"],"Customers":[{"Name":"t","QuotaRps":500.0}],"Balancers":1,
  "Weights":"nominal","QuantumUs":5000,"Discovery":"push",
  "FamilyInfo":{"Workers":8,"BatchByKind":[1],"KindApart":[true]},
  "Limits":{"MaxOpen":40,"MaxAttempts":4,"Cancel":true,"RetryAfter":true,"MaxRetryAfterUs":120000000,"IdleCloseUs":5000000},
  "Profiles":[{"Name":"safe","Effect":"free","HardLimitUs":5000000,"ObjectiveUs":1500000,"Worth":1.0}]}}"#;

/// A node with its journal, its connections and a simulated clock.
struct Harness {
    node: Node,
    journal: Journal<Disk>,
    /// Entries committed to the journal.
    journal_entries: u64,
    now: i64,
    /// The connections that the node opened, with the unread bytes received there.
    node_connections: BTreeMap<ConnId, String>,
    submitted: u32,
}

fn new_harness() -> Harness {
    let limits = Limits { segment: 20_000, growth: 2, least: 20_000, most: 400_000 };
    let journal = Journal::open(Disk::new(Faults::default()), limits).unwrap();
    let state = Some(journal.state().clone());
    let at = Start {
        index: 0,
        seed: 7,
        now: 0,
        wall: 1 << 50,
        list: 4,
        kept: None,
        state,
        journal_usage: journal.usage(),
        fleet: false,
    };
    let node = Node::new(Arc::new(config(&read(START_CONFIG).unwrap())), at).unwrap();
    let mut harness = Harness {
        node,
        journal,
        journal_entries: 0,
        now: 0,
        node_connections: BTreeMap::new(),
        submitted: 0,
    };
    harness.advance(10 * MS);
    let watch = harness.watch_connection();
    harness.peer_sends(watch, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    harness
}

impl Harness {
    /// Advances the clock in steps of 5 ms and handles all outputs of the node.
    fn advance(&mut self, span: i64) {
        let end = self.now + span;
        loop {
            self.node.settle(self.now);
            for _ in 0..100 {
                let outputs = self.node.outputs();
                if outputs.is_empty() {
                    break;
                }
                outputs.into_iter().for_each(|output| self.handle_output(output));
                self.node.settle(self.now);
            }
            if self.now >= end {
                return;
            }
            self.now = (self.now + 5 * MS).min(end);
        }
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Connect { conn, .. } => {
                self.node_connections.insert(conn, String::new());
                self.node.connected(self.now, conn);
            }
            Output::Write(conn) | Output::Finish(conn) => {
                let (text, length) = (self.node.pending(conn), self.node.pending(conn).len());
                if let Some(received) = self.node_connections.get_mut(&conn) {
                    received.push_str(&String::from_utf8_lossy(text));
                }
                if self.node.wrote(conn, length) {
                    self.node_connections.remove(&conn);
                }
            }
            Output::Drop(conn) => _ = self.node_connections.remove(&conn),
            Output::Journal(entries) => {
                self.journal.commit(&entries).unwrap();
                self.journal_entries += entries.len() as u64;
                self.node.durable(self.now, self.journal_entries, self.journal.usage());
            }
            Output::SaveList(_)
            | Output::Live(_)
            | Output::ClientRequest(_)
            | Output::Copying
            | Output::Inherited(_) => {}
        }
    }

    /// Returns the connection of the watch on the list.
    fn watch_connection(&self) -> ConnId {
        *self.node_connections.iter().rfind(|(_, text)| text.starts_with("GET /catalog")).unwrap().0
    }

    /// Returns the connections on which calls were received since the last look.
    fn take_calls(&mut self) -> Vec<ConnId> {
        let calls = self.node_connections.iter_mut().filter(|(_, text)| text.starts_with("POST /inbox"));
        calls.map(|(conn, text)| (*conn, text.clear()).0).collect()
    }

    /// Delivers bytes from the peer of a connection to the node.
    fn peer_sends(&mut self, conn: ConnId, text: &str) {
        self.node.received(self.now, conn, text.as_bytes());
        self.advance(5 * MS);
    }

    /// Sends changes of the list, each with an endpoint, its destination, and whether it is listed or
    /// removed.
    fn change_list(&mut self, changes: &[(u32, u32, bool)]) {
        let mut servers = String::new();
        for (id, dest, listed) in changes {
            let state = if *listed { "SERVING" } else { "DELETED" };
            let separator = if servers.is_empty() { "" } else { "," };
            _ = write!(
                servers,
                r#"{separator}{{"id":"e{id}","addr":"127.0.0.1:1001","zone":"a","kind":"one","cell":{dest},"state":"{state}","weight":50.0}}"#
            );
        }
        let text = format!(r#"{{"version":5,"full":false,"servers":[{servers}]}}"#) + "\n";
        self.peer_sends(self.watch_connection(), &format!("{:x}\r\n{text}\r\n", text.len()));
    }

    /// Submits a message to a destination on a new client connection.
    fn submit(&mut self, dest: u32) {
        self.submitted += 1;
        let (id, pairs) = (format!("m{}", self.submitted), format!("c=safe,t=t,d=4000,dest={dest}"));
        let args = ["OUT.ADD", "0", &id, &pairs, "body"];
        let text: String = args.iter().map(|a| format!("${}\r\n{a}\r\n", a.len())).collect();
        let client = self.node.accepted(self.now, Speaks::Resp, b"").unwrap();
        self.node.received(self.now, client, format!("*{}\r\n{text}", args.len()).as_bytes());
        self.advance(5 * MS);
    }
}

/// Guards against tables that grow with every endpoint ever listed: 12,500 rounds replace all 8 endpoints.
#[test]
fn after_100_000_replacements_the_tables_are_as_small_as_the_list() {
    let mut harness = new_harness();
    let listed: Vec<(u32, u32, bool)> = (0..LISTED).map(|i| (i, i % 2, true)).collect();
    harness.change_list(&listed);
    harness.advance(SECOND);
    let (initial, mut most, mut answered) = (harness.node.kept(), 0, 0);
    for round in 0..12_500 {
        let first = round * LISTED;
        let removed = (first..first + LISTED).map(|i| (i, i % 2, false));
        let added = (first + LISTED..first + 2 * LISTED).map(|i| (i, i % 2, true));
        harness.now += 400 * MS;
        harness.change_list(&added.chain(removed).collect::<Vec<_>>());
        if round % 25 == 0 {
            harness.submit(round % 2);
        }
        // Some calls are answered, some with an error, and some never.
        if round % 50 == 0 {
            for conn in harness.take_calls() {
                answered += 1;
                harness.peer_sends(conn, if answered % 3 == 0 { SERVER_ERROR } else { OK });
            }
        }
        most = most.max(harness.node.kept());
    }
    assert!(answered > 100, "{answered}");
    println!("{initial} at first, {most} at most, {} s", harness.now / SECOND);
    assert!(most < 100_000, "must be bounded by time, not by the number of endpoints ever listed: {most}");
    // The removed endpoints are dropped soon after, without any further event for them.
    for _ in 0..4 {
        harness.advance(10 * SECOND);
        let watch = harness.watch_connection();
        harness.peer_sends(watch, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        harness.change_list(&[(12_500 * LISTED, 0, true)]);
    }
    let left = harness.node.kept();
    assert!(left <= initial + 4, "{left} left, {initial} at first");
    assert!(
        harness.journal.state().places.len() <= LISTED as usize,
        "{:?}",
        harness.journal.state().places.keys()
    );
    // The listed endpoints still get calls.
    harness.take_calls();
    harness.submit(0);
    let call = harness.take_calls();
    assert_eq!(call.len(), 1);
    harness.peer_sends(call[0], OK);
    assert_eq!(harness.node.open(), 0);
}

/// Guards against an endpoint that loses its Retry-After when it is removed and listed again, and against one
/// whose state is kept for ever because of it.
#[test]
fn an_endpoint_listed_again_keeps_its_retry_after_and_is_dropped_later() {
    let mut harness = new_harness();
    harness.change_list(&[(0, 0, true), (1, 1, true)]);
    let initial = harness.node.kept();
    harness.submit(0);
    let call = harness.take_calls();
    harness.peer_sends(call[0], "HTTP/1.1 429 No\r\nretry-after: 60\r\ncontent-length: 0\r\n\r\n");
    let refused_at = harness.now;
    harness.change_list(&[(0, 0, false)]);
    // Time passes far beyond the time after which a removed endpoint without a Retry-After is dropped.
    let run_seconds = |harness: &mut Harness, seconds: i64| {
        for _ in 0..seconds {
            harness.advance(SECOND);
            if harness
                .node_connections
                .get(&harness.watch_connection())
                .is_some_and(|t| t.matches("GET").count() == 1)
            {
                harness.change_list(&[(1, 1, true)]);
            }
        }
    };
    run_seconds(&mut harness, 45);
    harness.change_list(&[(0, 0, true)]);
    let mut calls = 0;
    while calls == 0 {
        harness.submit(0);
        harness.advance(200 * MS);
        calls = harness.take_calls().len();
        assert!(harness.now < refused_at + 200 * SECOND, "no call after its Retry-After");
        harness.change_list(&[(1, 1, true)]);
    }
    assert!(
        harness.now >= refused_at + 60 * SECOND,
        "called {} ms after a Retry-After of 60 s",
        (harness.now - refused_at) / MS
    );
    // The endpoint is removed for good, and its Retry-After is over.
    harness.change_list(&[(0, 0, false)]);
    run_seconds(&mut harness, 40);
    assert!(harness.node.kept() < initial, "{} of {initial}", harness.node.kept());
}

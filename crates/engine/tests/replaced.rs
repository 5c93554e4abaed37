//! Endpoints that are replaced for ever: their tables stay as small as the list, and one that comes back in time is the same.

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
const S: i64 = 1_000 * MS;
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const BAD: &str = "HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n";
/// Endpoints on the list.
const LISTED: u32 = 8;
const START: &str = r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7",
 "limits":{"memory_mb":32,"sockets":256,"disk_mb":1},"known":{"version":4,"full":true,"servers":[]},
 "settings":{"Azs":["a"],"Shapes":["one"],"Customers":[{"Name":"t","QuotaRps":500.0}],"Balancers":1,
  "Weights":"nominal","QuantumUs":5000,"Discovery":"push",
  "FamilyInfo":{"Workers":8,"BatchByKind":[1],"KindApart":[true]},
  "Limits":{"MaxOpen":40,"MaxAttempts":4,"Cancel":true,"RetryAfter":true,"MaxRetryAfterUs":120000000,"IdleCloseUs":5000000},
  "Profiles":[{"Name":"safe","Effect":"free","HardLimitUs":5000000,"ObjectiveUs":1500000,"Worth":1.0}]}}"#;

struct World {
    node: Node,
    journal: Journal<Disk>,
    count: u64,
    now: i64,
    /// The node's own connections, with what came there.
    ours: BTreeMap<ConnId, String>,
    handed_in: u32,
}

fn world() -> World {
    let limits = Limits { segment: 20_000, growth: 2, least: 20_000, most: 400_000 };
    let journal = Journal::open(Disk::new(Faults::default()), limits).unwrap();
    let state = Some(journal.state().clone());
    let at = Start { index: 0, seed: 7, now: 0, wall: 1 << 50, list: 4, kept: None, state, fleet: false };
    let node = Node::new(Arc::new(config(&read(START).unwrap())), at).unwrap();
    let mut w = World { node, journal, count: 0, now: 0, ours: BTreeMap::new(), handed_in: 0 };
    w.pass(10 * MS);
    let watch = w.watch();
    w.says(watch, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    w
}

impl World {
    fn pass(&mut self, span: i64) {
        let end = self.now + span;
        loop {
            self.node.settle(self.now);
            for _ in 0..100 {
                let outputs = self.node.outputs();
                if outputs.is_empty() {
                    break;
                }
                outputs.into_iter().for_each(|o| self.obey(o));
                self.node.settle(self.now);
            }
            if self.now >= end {
                return;
            }
            self.now = (self.now + 5 * MS).min(end);
        }
    }

    fn obey(&mut self, output: Output) {
        match output {
            Output::Connect { conn, .. } => {
                self.ours.insert(conn, String::new());
                self.node.connected(self.now, conn);
            }
            Output::Write(conn) | Output::Finish(conn) => {
                let (text, n) = (self.node.pending(conn), self.node.pending(conn).len());
                if let Some(came) = self.ours.get_mut(&conn) {
                    came.push_str(&String::from_utf8_lossy(text));
                }
                if self.node.wrote(conn, n) {
                    self.ours.remove(&conn);
                }
            }
            Output::Drop(conn) => _ = self.ours.remove(&conn),
            Output::Journal(entries) => {
                self.journal.commit(&entries).unwrap();
                self.count += entries.len() as u64;
                self.node.durable(self.now, self.count, self.journal.usage());
            }
            Output::SaveList(_)
            | Output::Live(_)
            | Output::ClientRequest(_)
            | Output::Copying
            | Output::Inherited(_) => {}
        }
    }

    /// The watch on the list.
    fn watch(&self) -> ConnId {
        *self.ours.iter().rfind(|(_, text)| text.starts_with("GET /catalog")).unwrap().0
    }

    /// Calls that came since the last look.
    fn calls(&mut self) -> Vec<ConnId> {
        let calls = self.ours.iter_mut().filter(|(_, text)| text.starts_with("POST /inbox"));
        calls.map(|(conn, text)| (*conn, text.clear()).0).collect()
    }

    fn says(&mut self, conn: ConnId, text: &str) {
        self.node.received(self.now, conn, text.as_bytes());
        self.pass(5 * MS);
    }

    /// Changes of the list: names and destinations, listed or not any more.
    fn list(&mut self, changes: &[(u32, u32, bool)]) {
        let mut lines = String::new();
        for (id, dest, listed) in changes {
            let state = if *listed { "SERVING" } else { "DELETED" };
            let comma = if lines.is_empty() { "" } else { "," };
            _ = write!(
                lines,
                r#"{comma}{{"id":"e{id}","addr":"127.0.0.1:1001","zone":"a","kind":"one","cell":{dest},"state":"{state}","weight":50.0}}"#
            );
        }
        let text = format!(r#"{{"version":5,"full":false,"servers":[{lines}]}}"#) + "\n";
        self.says(self.watch(), &format!("{:x}\r\n{text}\r\n", text.len()));
    }

    fn hand_in(&mut self, dest: u32) {
        self.handed_in += 1;
        let (id, pairs) = (format!("m{}", self.handed_in), format!("c=safe,t=t,d=4000,dest={dest}"));
        let args = ["OUT.ADD", "0", &id, &pairs, "body"];
        let text: String = args.iter().map(|a| format!("${}\r\n{a}\r\n", a.len())).collect();
        let client = self.node.accepted(self.now, Speaks::Resp, b"").unwrap();
        self.node.received(self.now, client, format!("*{}\r\n{text}", args.len()).as_bytes());
        self.pass(5 * MS);
    }
}

#[test]
fn after_100_000_replacements_the_tables_are_as_small_as_the_list() {
    let mut w = world();
    let listed: Vec<(u32, u32, bool)> = (0..LISTED).map(|i| (i, i % 2, true)).collect();
    w.list(&listed);
    w.pass(S);
    let (least, mut most, mut answered) = (w.node.kept(), 0, 0);
    for round in 0..12_500 {
        let first = round * LISTED;
        let gone = (first..first + LISTED).map(|i| (i, i % 2, false));
        let come = (first + LISTED..first + 2 * LISTED).map(|i| (i, i % 2, true));
        w.now += 400 * MS;
        w.list(&come.chain(gone).collect::<Vec<_>>());
        if round % 25 == 0 {
            w.hand_in(round % 2);
        }
        // Some answer, some badly, and some never.
        if round % 50 == 0 {
            for conn in w.calls() {
                answered += 1;
                w.says(conn, if answered % 3 == 0 { BAD } else { OK });
            }
        }
        most = most.max(w.node.kept());
    }
    assert!(answered > 100, "{answered}");
    println!("{least} at first, {most} at most, {} s", w.now / S);
    assert!(most < 100_000, "bounded by time, not by all that ever was: {most}");
    // They are gone soon after, without anything else happening to them.
    for _ in 0..4 {
        w.pass(10 * S);
        let watch = w.watch();
        w.says(watch, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        w.list(&[(12_500 * LISTED, 0, true)]);
    }
    let left = w.node.kept();
    assert!(left <= least + 4, "{left} left, {least} at first");
    assert!(w.journal.state().places.len() <= LISTED as usize, "{:?}", w.journal.state().places.keys());
    // What is listed serves as ever.
    w.calls();
    w.hand_in(0);
    let call = w.calls();
    assert_eq!(call.len(), 1);
    w.says(call[0], OK);
    assert_eq!(w.node.open(), 0);
}

#[test]
fn one_that_comes_back_keeps_its_wait_and_is_forgotten_after_it() {
    let mut w = world();
    w.list(&[(0, 0, true), (1, 1, true)]);
    let least = w.node.kept();
    w.hand_in(0);
    let call = w.calls();
    w.says(call[0], "HTTP/1.1 429 No\r\nretry-after: 60\r\ncontent-length: 0\r\n\r\n");
    let told = w.now;
    w.list(&[(0, 0, false)]);
    // Rounds go on, far beyond the time after which what is gone is forgotten otherwise.
    let rounds = |w: &mut World, n: i64| {
        for _ in 0..n {
            w.pass(S);
            if w.ours.get(&w.watch()).is_some_and(|t| t.matches("GET").count() == 1) {
                w.list(&[(1, 1, true)]);
            }
        }
    };
    rounds(&mut w, 45);
    w.list(&[(0, 0, true)]);
    let mut left = 0;
    while left == 0 {
        w.hand_in(0);
        w.pass(200 * MS);
        left = w.calls().len();
        assert!(w.now < told + 200 * S, "it is called again after its wait");
        w.list(&[(1, 1, true)]);
    }
    assert!(w.now >= told + 60 * S, "called {} ms after a wait of 60 s was told", (w.now - told) / MS);
    // Gone for good, and its wait over.
    w.list(&[(0, 0, false)]);
    rounds(&mut w, 40);
    assert!(w.node.kept() < least, "{} of {least}", w.node.kept());
}

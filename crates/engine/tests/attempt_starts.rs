//! Plays attempts that end without an answer on connections that carry several calls: no attempt of a message
//! starts while an earlier one may be out on an open connection.

use bytes::BytesMut;
use heronroute_config::parse;
use heronroute_engine::front::Speaks;
use heronroute_engine::{ConnId, Node, Output, Start};
use heronroute_smpp::client::Session;
use heronroute_smpp::server::{Limits, Mode};
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use std::collections::BTreeMap;
use std::sync::Arc;

const MS: i64 = 1_000;
const LIMITS: Limits = Limits {
    session_init: 1 << 40,
    enquire_every: 1 << 40,
    inactivity: 1 << 40,
    response: 1 << 40,
    window: 100,
    max_pdu: 70_000,
};
const CONFIG: &str = "service { quantum: \"0s\" } client { system_id: \"c\" password: \"p\" } \
    class { name: \"FREE\" effect: \"free\" deadline: \"40s\" } \
    class { name: \"ONCE\" effect: \"single_shot\" deadline: \"20s\" } \
    kind { name: \"k\" protocol: \"http\" window: 4 } route { destination: 1 } \
    endpoint { name: \"a\" address: \"127.0.0.1:9001\" destination: 1 kind: \"k\" } \
    endpoint { name: \"b\" address: \"127.0.0.1:9002\" destination: 1 kind: \"k\" }";

const DELIVERED: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const REFUSED: &[u8] = b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n";

/// A node, and what it has sent on each open connection to the receiver.
struct World {
    node: Node,
    now: i64,
    received: BTreeMap<ConnId, String>,
    /// The calls with a message that must not run twice.
    once_calls: usize,
    /// The number of messages submitted, by which their bodies differ.
    submitted: usize,
}

impl World {
    fn new() -> Self {
        World::with_config(CONFIG)
    }

    fn with_one_endpoint() -> Self {
        World::with_config(&CONFIG[..CONFIG.rfind("endpoint").unwrap()])
    }

    fn with_config(config: &str) -> Self {
        let start = Start {
            index: 0,
            seed: 3,
            now: 0,
            wall: 1 << 50,
            list: 0,
            kept: None,
            state: None,
            journal_usage: heronroute_journal::Usage::default(),
            fleet: false,
        };
        let node = Node::new(Arc::new(parse("test", config).unwrap()), start).unwrap();
        World { node, now: 0, received: BTreeMap::new(), once_calls: 0, submitted: 0 }
    }

    /// Delivers messages, each with an answer of its own, so that connections to all endpoints carry several calls at
    /// once. What was sent so far is forgotten.
    fn let_answers_differ(&mut self) {
        for number in 0..80 {
            self.submit(&["FREE"]);
            let conn = self.run_until_written(&format!("FREE {number}."));
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{number:02}");
            self.node.received(self.now, conn, answer.as_bytes());
        }
        self.received.values_mut().for_each(String::clear);
        self.submitted = 0;
    }

    /// Submits messages of these classes on one connection of the client.
    fn submit(&mut self, classes: &[&str]) {
        let mut out = BytesMut::new();
        let mut session = Session::bind(0, LIMITS, Mode::Transceiver, "c", "p", &mut out);
        let conn = self.node.accepted(self.now, Speaks::Smpp, &out).unwrap();
        out.clear();
        for class in classes {
            let submission = Submission {
                service: (*class).into(),
                destination: "234".into(),
                wanted: ReceiptRequest::Always,
                body: format!("{class} {}.", self.submitted).into_bytes(),
                ..Submission::default()
            };
            session.request(0, submission.submit(None), &mut out);
            self.submitted += 1;
        }
        self.node.received(self.now, conn, &out);
    }

    /// Advances the clock until a message was written, and returns the connection.
    fn run_until_written(&mut self, body: &str) -> ConnId {
        for _ in 0..4_000 {
            for conn in self.step() {
                if self.received.get(&conn).is_some_and(|text| text.contains(body)) {
                    return conn;
                }
            }
        }
        panic!("{body} was not sent");
    }

    /// Advances the clock by a number of steps. Returns whether a message was sent again on another connection,
    /// which must not be while its first one is open.
    fn run_and_watch(&mut self, steps: usize, first: ConnId, body: &str) -> bool {
        let mut again = false;
        for _ in 0..steps {
            self.step();
            let open: Vec<ConnId> =
                self.received.iter().filter(|(_, text)| text.contains(body)).map(|(conn, _)| *conn).collect();
            assert!(open.len() <= 1, "{body} is out on two open connections at {} ms", self.now / MS);
            again |= open.iter().any(|conn| *conn != first);
        }
        again
    }

    /// Advances the clock by one step and handles the node's outputs. Returns the connections that were
    /// written to.
    fn step(&mut self) -> Vec<ConnId> {
        self.now += 5 * MS;
        let mut written = Vec::new();
        for _ in 0..20 {
            self.node.settle(self.now);
            for output in self.node.outputs() {
                match output {
                    Output::Connect { conn, .. } => {
                        self.received.insert(conn, String::new());
                        self.node.connected(self.now, conn);
                    }
                    Output::Write(conn) => {
                        let bytes = self.node.pending(conn).to_vec();
                        self.node.wrote(conn, bytes.len());
                        if let Some(text) = self.received.get_mut(&conn) {
                            let bytes = String::from_utf8_lossy(&bytes);
                            self.once_calls += bytes.matches("\r\n\r\nONCE").count();
                            text.push_str(&bytes);
                            written.push(conn);
                        }
                    }
                    Output::Drop(conn) | Output::Finish(conn) => _ = self.received.remove(&conn),
                    _ => {}
                }
            }
        }
        written
    }
}

/// Guards against a message whose attempt timed out on a connection that carries other calls, and that is out
/// twice.
#[test]
fn a_timed_out_attempt_beside_other_calls_is_not_followed_while_its_connection_is_open() {
    let mut world = World::new();
    world.let_answers_differ();
    world.submit(&["FREE", "ONCE", "ONCE", "ONCE"]);
    let mut first = None;
    let mut again = false;
    // The receiver answers nothing.
    for _ in 0..8_000 {
        for conn in world.step() {
            let has_free = world.received[&conn].contains("FREE");
            first = first.or(has_free.then_some(conn));
            if has_free && first != Some(conn) {
                let other = world.received.contains_key(&first.unwrap());
                assert!(!other, "out on two open connections at {} ms", world.now / MS);
                again = true;
            }
        }
    }
    assert!(again, "it is sent again once its connection is closed");
    assert!(world.node.stats().attempts_delayed > 0);
}

/// Guards against a message that runs twice: over HTTP a second copy of a refusal, which comes as the next call is
/// out, is taken for that call's answer.
#[test]
fn a_copied_refusal_over_http_does_not_free_the_next_calls_message() {
    let mut world = World::new();
    world.submit(&["FREE"]);
    let conn = world.step()[0];
    world.node.received(world.now, conn, REFUSED);
    world.submit(&["ONCE"]);
    for _ in 0..4_000 {
        let written = world.step();
        if world.once_calls > 0 && written.contains(&conn) {
            // The call runs, and its own answer comes later than any timer.
            world.node.received(world.now, conn, REFUSED);
            break;
        }
    }
    assert_eq!(world.once_calls, 1, "called once so far");
    for _ in 0..2_000 {
        world.step();
    }
    assert_eq!(world.once_calls, 1, "called again, and may have run");
}

/// Guards against a message that runs twice: it is out behind others, and a second copy of a refusal, or a refusal
/// behind a copied delivery, is taken for its answer.
#[test]
fn over_http_a_call_that_must_not_run_twice_is_written_only_where_its_refusal_proves_something() {
    let mut world = World::with_one_endpoint();
    let mut answered: BTreeMap<ConnId, usize> = BTreeMap::new();
    for round in 0..40 {
        world.submit(&["FREE", "ONCE", "FREE", "ONCE"]);
        for _ in 0..100 {
            world.step();
        }
        let calls = |text: &str| text.matches("POST ").count();
        for (conn, text) in world.received.clone() {
            let before_last_once = text.rfind("\r\n\r\nONCE").map_or(0, |end| calls(&text[..end]) - 1);
            assert!(before_last_once <= 1, "round {round}: behind {before_last_once} calls: {text}");
            let done = answered.entry(conn).or_default();
            for _ in *done..calls(&text) {
                world.node.received(world.now, conn, DELIVERED);
            }
            *done = calls(&text);
        }
    }
    assert_eq!((world.once_calls, world.node.stats().answers[0]), (80, 160));
    assert!(world.received.len() <= 4, "{} connections are open", world.received.len());
}

/// Guards against a message that is out twice: a copied refusal frees it while its call is out beside others.
#[test]
fn a_message_behind_a_copied_refusal_over_http_waits_until_its_connection_is_closed() {
    let mut world = World::with_one_endpoint();
    world.let_answers_differ();
    world.submit(&["FREE", "FREE", "FREE"]);
    let conn = world.run_until_written("FREE 2.");
    for _ in 0..2 {
        world.node.received(world.now, conn, REFUSED);
    }
    assert!(world.run_and_watch(8_000, conn, "FREE 1."), "it is sent again once its connection is closed");
    assert!(world.node.stats().attempts_delayed > 0);
}

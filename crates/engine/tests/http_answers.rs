//! Answers of HTTP receivers that may be second copies: a message is told as delivered only if it ran, whatever follows
//! the answer in doubt.

mod rig;

use bytes::BytesMut;
use heronroute_config::parse;
use heronroute_engine::front::Speaks;
use heronroute_engine::{CloseReason, ConnId, Node, Output, Start};
use heronroute_journal::Journal;
use heronroute_journal::disk::{Disk, Faults};
use heronroute_smpp::client::Session;
use heronroute_smpp::server::Mode;
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use rig::{LIMITS, SMALL};
use std::collections::BTreeMap;
use std::sync::Arc;

const MS: i64 = 1_000;
/// Longer than any deadline of the settings.
const UNTIL_ALL_IS_OVER: i64 = 30_000 * MS;
/// More deliveries than a receiver's answers have to differ in for its connections to carry further calls.
const FIRST_DELIVERIES: usize = 20;
/// The index of DELIVRD among the final answers.
const DELIVERED: usize = 0;

/// What follows an answer in doubt to a call that has not run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Follows {
    Status(u16),
    Close,
    Reset,
    Silence,
    Restart,
}

/// A node with one HTTP receiver, and the calls that it has written.
struct World {
    node: Option<Node>,
    journal: Option<Journal<Disk>>,
    config: String,
    committed: u64,
    now: i64,
    /// Calls that were not answered, in order: the connection and the message.
    calls: Vec<(ConnId, String)>,
    open: BTreeMap<ConnId, Vec<u8>>,
    /// Final answers of earlier processes.
    told_before: [u64; 6],
}

impl World {
    fn new(effect: &str, batch: usize, window: usize) -> World {
        let config = format!(
            "service {{ quantum: \"20ms\" }} client {{ system_id: \"c\" password: \"p\" }} \
            class {{ name: \"M\" effect: \"{effect}\" window: \"8s\" deadline: \"20s\" }} \
            kind {{ name: \"k\" protocol: \"http\" window: {window} batch: {batch} }} route {{ destination: 1 }} \
            endpoint {{ name: \"a\" address: \"127.0.0.1:9001\" destination: 1 kind: \"k\" }}"
        );
        let mut world = World {
            node: None,
            journal: None,
            config,
            committed: 0,
            now: 0,
            calls: Vec::new(),
            open: BTreeMap::new(),
            told_before: [0; 6],
        };
        world.start(Disk::new(Faults::default()));
        world
    }

    fn start(&mut self, disk: Disk) {
        let journal = Journal::open(disk, SMALL).unwrap();
        let start = Start {
            index: 0,
            seed: 3,
            now: self.now,
            wall: (1 << 50) + self.now,
            list: 0,
            kept: None,
            state: Some(journal.state().clone()),
            journal_usage: journal.usage(),
            fleet: false,
        };
        self.node = Some(Node::new(Arc::new(parse("test", &self.config).unwrap()), start).unwrap());
        (self.journal, self.committed) = (Some(journal), 0);
        (self.calls, self.open) = (Vec::new(), BTreeMap::new());
    }

    fn node(&mut self) -> &mut Node {
        self.node.as_mut().unwrap()
    }

    fn kill_and_start(&mut self) {
        self.told_before = self.told();
        self.node = None;
        let disk = self.journal.take().unwrap().into_storage();
        self.start(disk);
    }

    fn told(&self) -> [u64; 6] {
        let answers = self.node.as_ref().unwrap().stats().answers;
        std::array::from_fn(|index| answers[index] + self.told_before[index])
    }

    fn submit(&mut self, bodies: &[String]) {
        let mut out = BytesMut::new();
        let mut session = Session::bind(0, LIMITS, Mode::Transceiver, "c", "p", &mut out);
        let now = self.now;
        let conn = self.node().accepted(now, Speaks::Smpp, &out).unwrap();
        out.clear();
        for body in bodies {
            let submission = Submission {
                service: "M".into(),
                destination: "234".into(),
                wanted: ReceiptRequest::Always,
                key: Some(body.clone()),
                body: body.clone().into_bytes(),
                ..Submission::default()
            };
            session.request(0, submission.submit(None), &mut out);
        }
        self.node().received(now, conn, &out);
        self.advance(60 * MS);
    }

    fn advance(&mut self, span: i64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 5 * MS;
            let now = self.now;
            self.node().settle(now);
            for _ in 0..20 {
                let outputs = self.node().outputs();
                if outputs.is_empty() {
                    break;
                }
                outputs.into_iter().for_each(|output| self.handle(output));
                self.node().settle(now);
            }
        }
    }

    fn handle(&mut self, output: Output) {
        let now = self.now;
        match output {
            Output::Connect { conn, .. } => {
                self.open.insert(conn, Vec::new());
                self.node().connected(now, conn);
            }
            Output::Write(conn) => {
                let bytes = self.node().pending(conn).to_vec();
                self.node().wrote(conn, bytes.len());
                if self.open.contains_key(&conn) && !bytes.is_empty() {
                    let text = String::from_utf8_lossy(&bytes).into_owned();
                    let calls = text.split("POST ").skip(1).map(|call| (conn, call.to_string()));
                    self.calls.extend(calls);
                }
            }
            Output::Drop(conn) | Output::Finish(conn) => _ = self.open.remove(&conn),
            Output::Journal(entries) => {
                let journal = self.journal.as_mut().unwrap();
                journal.commit(&entries).unwrap();
                let usage = journal.usage();
                self.committed += entries.len() as u64;
                let committed = self.committed;
                self.node().durable(now, committed, usage);
            }
            _ => {}
        }
    }

    /// Sends bytes on a connection, if it is still open.
    fn send(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.now;
        if self.open.contains_key(&conn) {
            self.node().received(now, conn, bytes);
            self.advance(5 * MS);
        }
    }

    fn close(&mut self, conn: ConnId, reason: CloseReason) {
        let now = self.now;
        if self.open.remove(&conn).is_some() {
            self.node().closed(now, conn, reason);
            self.advance(5 * MS);
        }
    }
}

fn answer(status: u16, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Plays a copy of a delivery's answer that arrives once the next call is out, which has not run and never will. Returns
/// what was told of both, and whether the copy came on the connection of the next call.
fn play(world: &mut World, answers_differ: bool, messages: usize, follows: Follows) -> bool {
    let body = |number: usize| if answers_differ { format!("taken {number}") } else { String::new() };
    let mut last = (0, Vec::new());
    let mut ran = 0;
    for number in 0..FIRST_DELIVERIES {
        world.submit(&[format!("first {number}")]);
        for (conn, _) in std::mem::take(&mut world.calls) {
            last = (conn, answer(200, &body(number)));
            world.send(conn, &last.1.clone());
            ran += 1;
        }
    }
    assert_eq!((ran, world.told()[DELIVERED]), (FIRST_DELIVERIES, ran as u64), "before the copy");
    let bodies: Vec<String> = (0..messages).map(|number| format!("next {number}")).collect();
    world.submit(&bodies);
    let calls = std::mem::take(&mut world.calls);
    let behind = calls.iter().any(|(conn, _)| *conn == last.0);
    world.send(last.0, &last.1);
    for (conn, _) in &calls {
        match follows {
            Follows::Status(status) => world.send(*conn, &answer(status, "")),
            Follows::Close => world.close(*conn, CloseReason::Ended),
            Follows::Reset => world.close(*conn, CloseReason::Broken),
            Follows::Silence => {}
            Follows::Restart => {}
        }
    }
    if follows == Follows::Restart {
        world.kill_and_start();
    }
    // Whatever comes again is turned away, each on its own connection.
    let end = world.now + UNTIL_ALL_IS_OVER;
    while world.now < end {
        world.advance(50 * MS);
        for (conn, _) in std::mem::take(&mut world.calls) {
            world.send(conn, &answer(503, &format!("{}", world.now)));
        }
    }
    let told = world.told();
    assert_eq!(told[DELIVERED], ran as u64, "{follows:?}: told as delivered, and {ran} ran: {told:?}");
    assert_eq!(
        told.iter().sum::<u64>(),
        (ran + messages) as u64,
        "{follows:?}: each has one answer: {told:?}"
    );
    behind
}

/// Guards against payouts that are told as delivered and never ran: a second copy of an answer is taken for the next
/// call's, of one message or several, and whatever follows it does not take that back.
#[test]
fn a_copied_delivery_over_http_delivers_nothing() {
    let (mut plays, mut behind) = (0, 0);
    for follows in [
        Follows::Status(503),
        Follows::Status(500),
        Follows::Close,
        Follows::Reset,
        Follows::Silence,
        Follows::Restart,
    ] {
        for effect in ["free", "guarded", "single_shot"] {
            for (batch, window) in [(1, 1), (1, 4), (3, 1), (3, 4)] {
                for answers_differ in [false, true] {
                    for messages in [1, 3] {
                        let mut world = World::new(effect, batch, window);
                        plays += 1;
                        behind += usize::from(play(&mut world, answers_differ, messages, follows));
                    }
                }
            }
        }
    }
    println!("{plays} plays, {behind} with the copy behind the next call");
    assert!(behind > plays / 3, "{behind} of {plays} plays have the copy behind the next call");
}

/// Guards against answers that differ by nothing and still share a connection: each would be in doubt, and its message
/// be told as one that may have run.
#[test]
fn deliveries_with_equal_answers_are_told_as_delivered() {
    for (effect, window) in [("free", 8), ("single_shot", 8), ("guarded", 1)] {
        let mut world = World::new(effect, 1, window);
        let bodies: Vec<String> = (0..40).map(|number| format!("m {number}")).collect();
        world.submit(&bodies);
        for _ in 0..400 {
            for (conn, _) in std::mem::take(&mut world.calls) {
                world.send(conn, &answer(200, ""));
            }
            world.advance(5 * MS);
        }
        assert_eq!(world.told()[DELIVERED], 40, "{effect}: {:?}", world.told());
    }
}

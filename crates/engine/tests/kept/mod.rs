//! A test harness: one node of a fleet with MQTT clients and SMPP receivers, on a virtual clock, with its
//! journal on a disk with injected faults.
#![allow(dead_code)]

use crate::rig::{LIMITS, SMALL, commit};
use bytes::BytesMut;
use heronroute_config::{Config, parse};
use heronroute_engine::front::Speaks;
use heronroute_engine::{CloseReason, ConnId, Node, Output, Start};
use heronroute_journal::disk::{Disk, Faults};
use heronroute_journal::{Entry, Journal};
use heronroute_rules::seam::{Apply, ClientRequest, Fence, Live};
use heronroute_rules::{Plan, Rule, RuleLimits, RuleSet, Turn};
use heronroute_smpp::server::{self, Session};
use heronroute_standins::mqtt::{
    ClientEvent, ClientOptions, MqttClient, Publication, ReceivedMessage, field,
};
use rusmpp_core::CommandStatus;
use std::collections::BTreeMap;
use std::sync::Arc;

pub const MS: i64 = 1_000;
pub const SECOND: i64 = 1_000 * MS;

pub fn settings(held: &str) -> Arc<Config> {
    settings_with_window(held, 100)
}

/// The settings, with a number of publications that a client may have out.
pub fn settings_with_window(held: &str, window: u16) -> Arc<Config> {
    let text = format!(
        "service {{ slots: 16 room: 500 max_attempts: 6 quantum: \"1ms\" }} \
        smpp {{ enquire_every: \"1h\" inactivity: \"8h\" response: \"1h\" }} \
        mqtt {{ listen: \"127.0.0.1:0\" window: {window} keep_alive: \"0s\" remember: \"10s\" }} {held} \
        rules {{ order_settle: \"100ms\" warm_up: \"1s\" }} \
        client {{ system_id: \"c\" password: \"secret\" }} client {{ system_id: \"d\" password: \"secret\" }} \
        class {{ name: \"PAY\" effect: \"single_shot\" deadline: \"1s\" }} \
        class {{ name: \"RESP\" effect: \"guarded\" window: \"2s\" deadline: \"1s\" }} \
        kind {{ name: \"k\" protocol: \"smpp\" window: 4 }} \
        route {{ prefix: \"1\" destination: 1 }} \
        endpoint {{ name: \"a\" address: \"127.0.0.1:1001\" destination: 1 kind: \"k\" }}"
    );
    Arc::new(parse("keeping", &text).unwrap())
}

pub struct Client {
    pub mqtt: MqttClient,
    pub conn: Option<ConnId>,
    pub events: Vec<ClientEvent>,
}

pub struct Harness {
    pub cfg: Arc<Config>,
    pub fleet: bool,
    /// The index of this sender in its process.
    pub index: usize,
    pub now: i64,
    pub running: Option<(Node, Journal<Disk>)>,
    /// The number of journal entries committed since the start.
    pub committed_entries: u64,
    /// Journal entries that wait for the next commit.
    pub uncommitted: Vec<Vec<Entry>>,
    pub receivers: BTreeMap<ConnId, Session>,
    pub clients: Vec<Client>,
    /// The node's reports of the live rules.
    pub live_reports: Vec<Live>,
    /// The client requests that the node forwarded.
    pub client_requests: Vec<ClientRequest>,
    /// The bodies of the messages that receivers got, in order of arrival.
    pub received_bodies: Vec<String>,
    /// Whether connections to receivers fail.
    pub receivers_down: bool,
    /// Whether clients acknowledge nothing.
    pub withhold_acks: bool,
    /// Whether bytes to clients are lost.
    pub client_bytes_lost: bool,
    /// The delay of receivers' responses in milliseconds.
    pub response_delay_ms: i64,
    /// Whether receivers take messages and their answers are lost.
    pub answers_lost: bool,
    /// Whether entries wait for a commit that does not come.
    pub commits_paused: bool,
    /// The bytes that were written to connections that are neither an MQTT client's nor a receiver's.
    pub other_output: BTreeMap<ConnId, Vec<u8>>,
    /// Whether bytes to receivers stay unwritten.
    pub receiver_writes_paused: bool,
    /// Delayed responses of receivers, with their arrival time.
    delayed_responses: Vec<(i64, ConnId, BytesMut)>,
    /// The members whose work the node reported as taken over.
    pub takeovers: Vec<String>,
}

impl Harness {
    pub fn with_config(cfg: Arc<Config>, fleet: bool, faults: Faults) -> Self {
        let client = |user, id| Client {
            mqtt: MqttClient::new(ClientOptions::new(true, user, id)),
            conn: None,
            events: Vec::new(),
        };
        let clients = vec![client("c", "one"), client("c", "two"), client("d", "x")];
        let mut harness = Harness {
            cfg,
            fleet,
            index: 0,
            now: 1 << 40,
            running: None,
            committed_entries: 0,
            uncommitted: Vec::new(),
            receivers: BTreeMap::new(),
            clients,
            live_reports: Vec::new(),
            client_requests: Vec::new(),
            received_bodies: Vec::new(),
            receivers_down: false,
            withhold_acks: false,
            client_bytes_lost: false,
            response_delay_ms: 0,
            answers_lost: false,
            commits_paused: false,
            other_output: BTreeMap::new(),
            receiver_writes_paused: false,
            delayed_responses: Vec::new(),
            takeovers: Vec::new(),
        };
        harness.start(Disk::new(faults));
        harness
    }

    pub fn new(held: &str) -> Self {
        Harness::for_sender(held, 0)
    }

    /// Starts the sender with the given index in its process, with its clients connected.
    pub fn for_sender(held: &str, index: usize) -> Self {
        let mut harness = Harness::with_config(settings(held), true, Faults::default());
        harness.index = index;
        assert!(harness.start(Disk::new(Faults::default())));
        harness.connect_clients();
        harness
    }

    pub fn node(&mut self) -> &mut Node {
        &mut self.running.as_mut().unwrap().0
    }

    /// Starts the node on the disk. Returns false if power is lost during the start.
    pub fn start(&mut self, disk: Disk) -> bool {
        let Ok(journal) = Journal::open(disk, SMALL) else { return false };
        let (now, state) = (self.now, Some(journal.state().clone()));
        let start = Start {
            index: self.index,
            seed: 9,
            now,
            wall: now,
            list: 0,
            kept: None,
            state,
            journal_usage: journal.usage(),
            fleet: self.fleet,
        };
        let node = Node::new(self.cfg.clone(), start).unwrap();
        (self.running, self.committed_entries) = (Some((node, journal)), 0);
        self.uncommitted.clear();
        self.receivers.clear();
        true
    }

    /// Simulates a power loss and a restart from the data that is durable on the disk.
    pub fn crash(&mut self) {
        let disk = self.running.take().unwrap().1.into_storage();
        for c in &mut self.clients {
            c.mqtt.closed();
            c.conn = None;
        }
        self.now += MS;
        let mut after = disk.after_loss(7);
        after.faults = Faults::default();
        assert!(self.start(after));
    }

    /// Connects all clients and subscribes them to their answers.
    pub fn connect_clients(&mut self) {
        for i in 0..self.clients.len() {
            let (now, mut out) = (self.now, BytesMut::new());
            self.clients[i].mqtt.connect(&mut out);
            self.clients[i].conn = self.node().accepted(now, Speaks::Mqtt, &out);
            self.advance(1);
            let mut out = BytesMut::new();
            self.clients[i].mqtt.subscribe("answers/#", 1, &mut out);
            self.send(i, &out);
        }
        self.advance(3);
    }

    /// Passes a client's bytes to the node.
    pub fn send(&mut self, i: usize, bytes: &[u8]) {
        let (now, conn) = (self.now, self.clients[i].conn.unwrap());
        self.node().received(now, conn, bytes);
    }

    /// Advances the clock by `ms` milliseconds. Returns false once the disk has lost power.
    pub fn advance(&mut self, ms: i64) -> bool {
        for _ in 0..ms {
            self.now += MS;
            let now = self.now;
            let (arrived, still_delayed) =
                std::mem::take(&mut self.delayed_responses).into_iter().partition(|(at, ..)| *at <= now);
            self.delayed_responses = still_delayed;
            let arrived: Vec<_> = arrived;
            arrived.into_iter().for_each(|(_, conn, bytes)| self.node().received(now, conn, &bytes));
            self.node().settle(now);
            for _ in 0..20 {
                let outputs = self.node().outputs();
                if outputs.is_empty() {
                    break;
                }
                outputs.into_iter().for_each(|o| self.handle_output(o));
                self.node().settle(now);
            }
            let Some((node, journal)) = &mut self.running else { return false };
            if self.commits_paused {
                continue;
            }
            if !commit(node, journal, &mut self.uncommitted, &mut self.committed_entries, now) {
                return false;
            }
        }
        true
    }

    pub fn handle_output(&mut self, output: Output) {
        let now = self.now;
        match output {
            Output::Connect { conn, .. } if self.receivers_down => {
                self.node().closed(now, conn, CloseReason::Broken)
            }
            Output::Connect { conn, .. } => {
                self.receivers.insert(conn, Session::new(0, LIMITS));
                self.node().connected(now, conn);
            }
            Output::Write(conn) => self.transfer(conn),
            Output::Finish(conn) | Output::Drop(conn) => {
                self.transfer(conn);
                self.receivers.remove(&conn);
                if let Some(c) = self.clients.iter_mut().find(|c| c.conn == Some(conn)) {
                    c.mqtt.closed();
                    c.conn = None;
                }
                self.node().closed(now, conn, CloseReason::Ended);
            }
            Output::SaveList(_) => {}
            Output::Journal(entries) => self.uncommitted.push(entries),
            Output::Live(live) => self.live_reports.push(live),
            Output::ClientRequest(request) => self.client_requests.push(request),
            Output::Copying => {}
            Output::Inherited(origin) => self.takeovers.push(origin),
        }
    }

    /// Takes the node's pending bytes of a connection to its peer, and the peer's reply back.
    pub fn transfer(&mut self, conn: ConnId) {
        let now = self.now;
        if self.receiver_writes_paused && self.receivers.contains_key(&conn) {
            return;
        }
        let bytes = self.node().pending(conn).to_vec();
        self.node().wrote(conn, bytes.len());
        let mut reply = BytesMut::new();
        if let Some(c) = self.clients.iter_mut().find(|c| c.conn == Some(conn)) {
            if !self.client_bytes_lost {
                c.mqtt.receive(&bytes, &mut reply, &mut c.events);
            }
            if self.withhold_acks {
                reply.clear();
            }
        } else if let Some(session) = self.receivers.get_mut(&conn) {
            let mut events = Vec::new();
            session.receive(now, 0, &bytes, &mut reply, &mut events);
            for event in events {
                match event {
                    server::Event::Bind { sequence, .. } => session.accept(now, sequence, "r", &mut reply),
                    server::Event::Submit { sequence, submission, .. } => {
                        self.received_bodies.push(String::from_utf8_lossy(&submission.body).into_owned());
                        let mut lost = BytesMut::new();
                        let answer = if self.answers_lost { &mut lost } else { &mut reply };
                        session.submitted(sequence, "r", CommandStatus::EsmeRok, vec![], answer);
                    }
                    _ => {}
                }
            }
        }
        if !bytes.is_empty() && reply.is_empty() {
            let is_mqtt = self.clients.iter().any(|c| c.conn == Some(conn));
            if !is_mqtt && !self.receivers.contains_key(&conn) {
                self.other_output.entry(conn).or_default().extend_from_slice(&bytes);
            }
        }
        if self.response_delay_ms > 0 && self.receivers.contains_key(&conn) {
            self.delayed_responses.push((now + self.response_delay_ms * MS, conn, reply));
        } else if !reply.is_empty() {
            self.node().received(now, conn, &reply);
        }
    }

    /// Publishes a message, and returns the acknowledgement's code and the answers with the same correlation
    /// data.
    pub fn publish(&mut self, i: usize, topic: &str, ms: i64) -> (u8, Vec<String>) {
        self.clients[i].events.clear();
        let mut out = BytesMut::new();
        let (correlation, payload) = (self.now.to_string().into_bytes(), topic.as_bytes().to_vec());
        let message =
            Publication { topic: topic.into(), payload, qos: 1, correlation, ..Publication::default() };
        let packet = self.clients[i].mqtt.publish(&message, &mut out);
        self.send(i, &out);
        self.advance(ms);
        let events = &self.clients[i].events;
        let code = events.iter().find_map(|h| match h {
            ClientEvent::Acknowledged(p, code, _) if *p == packet => Some(*code),
            _ => None,
        });
        let answers = events.iter().filter_map(|h| match h {
            ClientEvent::Received(ReceivedMessage { text, correlation: c, .. })
                if *c == message.correlation =>
            {
                Some(text.clone())
            }
            _ => None,
        });
        (code.unwrap_or(0xFF), answers.collect())
    }

    /// Returns the number of held messages that a client is shown.
    pub fn held_count(&mut self, i: usize) -> usize {
        let (_, answers) = self.publish(i, "held/list", 3);
        answers[0].split([':', ' ']).nth(1).unwrap().parse().unwrap()
    }

    /// Applies a version of the rules and returns the report of what is live afterwards.
    pub fn apply_rules(&mut self, version: u64, rules: &[Rule], certain: bool) -> Live {
        self.live_reports.clear();
        let (now, apply) = (self.now, apply(version, rules, certain));
        self.node().apply(now, apply);
        self.advance(2);
        self.live_reports.pop().expect("a report of what is live")
    }

    /// Fences changes off under the approved rules; `None` lifts the fence.
    pub fn fence(&mut self, approved: Option<&[Rule]>) {
        let under = approved.map(|rules| Arc::new(set(9, rules)));
        let now = self.now;
        self.node().fence(now, Fence { client: "c".into(), under, turn: Turn::default() });
        self.advance(2);
    }

    /// Applies a version and asserts that it is live without trouble.
    pub fn apply_certain(&mut self, version: u64, rules: &[Rule]) {
        let live = self.apply_rules(version, rules, true);
        assert_eq!((live.trouble, live.set), (None, set(version, rules)));
    }
}

pub fn rule(name: &str, to: &str, limits: RuleLimits) -> Rule {
    Rule { name: name.into(), to: to.into(), limits, ..Rule::default() }
}

pub fn set(version: u64, rules: &[Rule]) -> RuleSet {
    RuleSet { version, rules: rules.to_vec() }
}

pub fn apply(version: u64, rules: &[Rule], certain: bool) -> Apply {
    let (set, plan) = (Arc::new(set(version, rules)), Arc::new(Plan { name: "p".into(), ..Plan::default() }));
    Apply { client: "c".into(), set, turn: Turn::default(), plan, certain }
}

pub fn id(text: &str) -> String {
    field(text, "id").unwrap_or_default().to_string()
}

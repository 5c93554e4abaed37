//! A node of a fleet with clients, receivers and its journal on a faulty disk, on a virtual clock.
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
use heronroute_standins::mqtt::{Hand, Heard, MqttClient, Who, field};
use rusmpp_core::CommandStatus;
use std::collections::BTreeMap;
use std::sync::Arc;

pub const MS: i64 = 1_000;
pub const SECOND: i64 = 1_000 * MS;

pub fn settings(held: &str) -> Arc<Config> {
    let text = format!(
        "service {{ slots: 16 room: 500 max_attempts: 6 quantum: \"1ms\" }} \
        smpp {{ enquire_every: \"1h\" inactivity: \"8h\" response: \"1h\" }} \
        mqtt {{ listen: \"127.0.0.1:0\" window: 100 keep_alive: \"0s\" remember: \"10s\" }} {held} \
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
    pub core: MqttClient,
    pub conn: Option<ConnId>,
    pub heard: Vec<Heard>,
}

pub struct Rig {
    pub cfg: Arc<Config>,
    pub fleet: bool,
    /// Which of its process's senders it is.
    pub index: usize,
    pub now: i64,
    pub life: Option<(Node, Journal<Disk>)>,
    pub count: u64,
    pub waiting: Vec<Vec<Entry>>,
    pub receivers: BTreeMap<ConnId, Session>,
    pub clients: Vec<Client>,
    pub lives: Vec<Live>,
    pub asks: Vec<ClientRequest>,
    /// Bodies that arrived.
    pub ran: Vec<String>,
    /// Receivers can't be reached.
    pub down: bool,
    /// Clients acknowledge nothing.
    pub deaf: bool,
    /// Receivers answer so many milliseconds late.
    pub slow: i64,
    /// Octets to receivers are not written.
    pub paused: bool,
    /// Answers of receivers on their way, with when they arrive.
    late: Vec<(i64, ConnId, BytesMut)>,
    /// Whose work the node said that it took over.
    pub taken_over: Vec<String>,
}

impl Rig {
    pub fn with(cfg: Arc<Config>, fleet: bool, faults: Faults) -> Self {
        let client = |user, id| Client {
            core: MqttClient::new(Who::new(true, user, id)),
            conn: None,
            heard: Vec::new(),
        };
        let clients = vec![client("c", "one"), client("c", "two"), client("d", "x")];
        let mut r = Rig {
            cfg,
            fleet,
            index: 0,
            now: 1 << 40,
            life: None,
            count: 0,
            waiting: Vec::new(),
            receivers: BTreeMap::new(),
            clients,
            lives: Vec::new(),
            asks: Vec::new(),
            ran: Vec::new(),
            down: false,
            deaf: false,
            slow: 0,
            paused: false,
            late: Vec::new(),
            taken_over: Vec::new(),
        };
        r.start(Disk::new(faults));
        r
    }

    pub fn new(held: &str) -> Self {
        Rig::at(held, 0)
    }

    /// The same, of one of its process's senders.
    pub fn at(held: &str, index: usize) -> Self {
        let mut r = Rig::with(settings(held), true, Faults::default());
        r.index = index;
        assert!(r.start(Disk::new(Faults::default())));
        r.enter();
        r
    }

    pub fn node(&mut self) -> &mut Node {
        &mut self.life.as_mut().unwrap().0
    }

    /// False where power goes at once.
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
            fleet: self.fleet,
        };
        let node = Node::new(self.cfg.clone(), start).unwrap();
        (self.life, self.count) = (Some((node, journal)), 0);
        self.waiting.clear();
        self.receivers.clear();
        true
    }

    /// Power is lost, and all start anew from what the disk kept.
    pub fn crash(&mut self) {
        let disk = self.life.take().unwrap().1.into_storage();
        for c in &mut self.clients {
            c.core.closed();
            c.conn = None;
        }
        self.now += MS;
        let mut after = disk.after_loss(7);
        after.faults = Faults::default();
        assert!(self.start(after));
    }

    pub fn enter(&mut self) {
        for i in 0..self.clients.len() {
            let (now, mut out) = (self.now, BytesMut::new());
            self.clients[i].core.connect(&mut out);
            self.clients[i].conn = self.node().accepted(now, Speaks::Mqtt, &out);
            self.pass(1);
            let mut out = BytesMut::new();
            self.clients[i].core.subscribe("answers/#", 1, &mut out);
            self.say(i, &out);
        }
        self.pass(3);
    }

    pub fn say(&mut self, i: usize, octets: &[u8]) {
        let (now, conn) = (self.now, self.clients[i].conn.unwrap());
        self.node().received(now, conn, octets);
    }

    /// Milliseconds pass. False once power is lost.
    pub fn pass(&mut self, ms: i64) -> bool {
        for _ in 0..ms {
            self.now += MS;
            let now = self.now;
            let (came, late) = std::mem::take(&mut self.late).into_iter().partition(|(at, ..)| *at <= now);
            self.late = late;
            let came: Vec<_> = came;
            came.into_iter().for_each(|(_, conn, octets)| self.node().received(now, conn, &octets));
            self.node().settle(now);
            for _ in 0..20 {
                let outputs = self.node().outputs();
                if outputs.is_empty() {
                    break;
                }
                outputs.into_iter().for_each(|o| self.output(o));
                self.node().settle(now);
            }
            let Some((node, journal)) = &mut self.life else { return false };
            if !commit(node, journal, &mut self.waiting, &mut self.count, now) {
                return false;
            }
        }
        true
    }

    pub fn output(&mut self, output: Output) {
        let now = self.now;
        match output {
            Output::Connect { conn, .. } if self.down => self.node().closed(now, conn, CloseReason::Broken),
            Output::Connect { conn, .. } => {
                self.receivers.insert(conn, Session::new(0, LIMITS));
                self.node().connected(now, conn);
            }
            Output::Write(conn) => self.carry(conn),
            Output::Finish(conn) | Output::Drop(conn) => {
                self.carry(conn);
                self.receivers.remove(&conn);
                if let Some(c) = self.clients.iter_mut().find(|c| c.conn == Some(conn)) {
                    c.core.closed();
                    c.conn = None;
                }
                self.node().closed(now, conn, CloseReason::Ended);
            }
            Output::SaveList(_) => {}
            Output::Journal(entries) => self.waiting.push(entries),
            Output::Live(live) => self.lives.push(live),
            Output::ClientRequest(ask) => self.asks.push(ask),
            Output::Copying => {}
            Output::Inherited(origin) => self.taken_over.push(origin),
        }
    }

    pub fn carry(&mut self, conn: ConnId) {
        let now = self.now;
        if self.paused && self.receivers.contains_key(&conn) {
            return;
        }
        let octets = self.node().pending(conn).to_vec();
        self.node().wrote(conn, octets.len());
        let mut back = BytesMut::new();
        if let Some(c) = self.clients.iter_mut().find(|c| c.conn == Some(conn)) {
            c.core.receive(&octets, &mut back, &mut c.heard);
            if self.deaf {
                back.clear();
            }
        } else if let Some(session) = self.receivers.get_mut(&conn) {
            let mut events = Vec::new();
            session.receive(now, 0, &octets, &mut back, &mut events);
            for event in events {
                match event {
                    server::Event::Bind { sequence, .. } => session.accept(now, sequence, "r", &mut back),
                    server::Event::Submit { sequence, submission, .. } => {
                        self.ran.push(String::from_utf8_lossy(&submission.body).into_owned());
                        session.submitted(sequence, "r", CommandStatus::EsmeRok, vec![], &mut back);
                    }
                    _ => {}
                }
            }
        }
        if self.slow > 0 && self.receivers.contains_key(&conn) {
            self.late.push((now + self.slow * MS, conn, back));
        } else if !back.is_empty() {
            self.node().received(now, conn, &back);
        }
    }

    /// Publishes, and gives the code of the acknowledgement and the answers heard under the same correlation data.
    pub fn hand(&mut self, i: usize, topic: &str, ms: i64) -> (u8, Vec<String>) {
        self.clients[i].heard.clear();
        let mut out = BytesMut::new();
        let (correlation, payload) = (self.now.to_string().into_bytes(), topic.as_bytes().to_vec());
        let hand = Hand { topic: topic.into(), payload, qos: 1, correlation, ..Hand::default() };
        let packet = self.clients[i].core.publish(&hand, &mut out);
        self.say(i, &out);
        self.pass(ms);
        let heard = &self.clients[i].heard;
        let code = heard.iter().find_map(|h| match h {
            Heard::Acked(p, code, _) if *p == packet => Some(*code),
            _ => None,
        });
        let told = heard.iter().filter_map(|h| match h {
            Heard::Told(_, text, c, ..) if *c == hand.correlation => Some(text.clone()),
            _ => None,
        });
        (code.unwrap_or(0xFF), told.collect())
    }

    pub fn held(&mut self, i: usize) -> usize {
        let (_, told) = self.hand(i, "held/list", 3);
        told[0].split([':', ' ']).nth(1).unwrap().parse().unwrap()
    }

    /// Applies, and gives what is told of it.
    pub fn apply(&mut self, version: u64, rules: &[Rule], certain: bool) -> Live {
        self.lives.clear();
        let (now, apply) = (self.now, apply(version, rules, certain));
        self.node().apply(now, apply);
        self.pass(2);
        self.lives.pop().expect("it is told")
    }

    /// What is approved while changes are fenced off; none: lifted.
    pub fn fence(&mut self, approved: Option<&[Rule]>) {
        let under = approved.map(|rules| Arc::new(set(9, rules)));
        let now = self.now;
        self.node().fence(now, Fence { client: "c".into(), under, turn: Turn::default() });
        self.pass(2);
    }

    /// A version that must be applied.
    pub fn rules(&mut self, version: u64, rules: &[Rule]) {
        let live = self.apply(version, rules, true);
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

//! The MQTT front on a node with its journal on a faulty disk, on a virtual clock: connections are cut in the middle
//! of packets, power is lost at steps of the disk, and clients (another's state machine) resume and send again. What
//! is handed in once must be one message, whatever is lost on the way.

mod rig;

use bytes::BytesMut;
use heronroute_config::{Config, parse};
use heronroute_engine::front::Speaks;
use heronroute_engine::{CloseReason, ConnId, Node, Output, Start};
use heronroute_journal::disk::{Disk, Faults};
use heronroute_journal::{Entry, Journal};
use heronroute_smpp::client::Session as SmppClient;
use heronroute_smpp::server::{self, Mode, Session};
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use heronroute_standins::mqtt::{Hand, Heard, MqttClient, Who, field};
use rig::{Dice, LIMITS, SMALL, commit};
use rusmpp_core::CommandStatus;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const MS: i64 = 1_000;

fn settings(more: &str) -> Arc<Config> {
    Arc::new(parse("mqtt", &text(more)).unwrap())
}

fn text(more: &str) -> String {
    format!(
        "service {{ slots: 16 room: 500 max_attempts: 6 quantum: \"1ms\" }} \
        smpp {{ enquire_every: \"1h\" inactivity: \"8h\" response: \"1h\" }} \
        mqtt {{ listen: \"127.0.0.1:0\" window: 8 keep_alive: \"0s\" {more} }} \
        rules {{ order_settle: \"100ms\" warm_up: \"1s\" }} \
        client {{ system_id: \"c\" password: \"secret\" }} client {{ system_id: \"d\" password: \"secret\" }} \
        class {{ name: \"PAY\" effect: \"single_shot\" deadline: \"4s\" }} \
        class {{ name: \"RESP\" effect: \"guarded\" window: \"2s\" deadline: \"4s\" }} \
        kind {{ name: \"k\" protocol: \"smpp\" window: 4 }} \
        route {{ prefix: \"1\" destination: 1 }} \
        endpoint {{ name: \"a\" address: \"127.0.0.1:1001\" destination: 1 kind: \"k\" }}"
    )
}

/// One client and what it knows; it survives the sender.
struct Client {
    core: MqttClient,
    conn: Option<ConnId>,
    /// Heard since the last look.
    heard: Vec<Heard>,
    /// Let in on this connection.
    inside: bool,
    subscribed: bool,
    /// It acknowledges no answer.
    deaf: bool,
    /// Messages by packet identifier.
    asked: BTreeMap<u16, u64>,
    acked: BTreeSet<u64>,
    /// Answers by message, with the identity.
    answers: BTreeMap<u64, Vec<(String, String)>>,
}

impl Client {
    fn new(five: bool, user: &str, id: &str) -> Self {
        let who = Who { window: 5, ..Who::new(five, user, id) };
        Client {
            core: MqttClient::new(who),
            conn: None,
            heard: Vec::new(),
            inside: false,
            subscribed: false,
            deaf: false,
            asked: BTreeMap::new(),
            acked: BTreeSet::new(),
            answers: BTreeMap::new(),
        }
    }

    fn digest(&mut self, heard: Vec<Heard>) {
        for h in &heard {
            match h {
                Heard::In(present) => {
                    self.inside = true;
                    if !present {
                        self.asked.clear();
                        self.subscribed = false;
                    }
                }
                Heard::Acked(packet, code, _) if *code < 0x80 => {
                    self.acked.extend(self.asked.get(packet));
                }
                Heard::Told(_, text, correlation, ..) => {
                    let id = field(text, "id").unwrap_or_default().to_string();
                    let stat = field(text, "stat").unwrap_or_default().to_string();
                    let own = String::from_utf8_lossy(correlation).into_owned();
                    let n = if own.is_empty() { field(text, "ref").map(str::to_string) } else { Some(own) };
                    if let Some(n) = n.and_then(|n| n.parse().ok()) {
                        self.answers.entry(n).or_default().push((id, stat));
                    }
                }
                _ => {}
            }
        }
        self.heard.extend(heard);
    }
}

/// One life of a sender, with its receivers.
struct Life {
    node: Node,
    journal: Journal<Disk>,
    count: u64,
    waiting: Vec<Vec<Entry>>,
    receivers: BTreeMap<ConnId, Session>,
    due: BTreeSet<(i64, ConnId, u32)>,
    /// Of a hundred exchanges of a client so many are cut.
    cuts: u64,
    /// The connection is cut before this kind of packet is carried, up (from a client) or down.
    lose: Option<(bool, u8)>,
    /// One in so many steps commits.
    commits: u64,
    /// Receivers answer.
    answering: bool,
    /// They take messages and never answer; they can't be reached.
    silent: bool,
    down: bool,
}

/// What the world outside knows: bodies that ran, with the identities under which they came.
type Ran = BTreeMap<u64, Vec<String>>;

fn start(cfg: &Arc<Config>, disk: Disk, now: i64, cuts: u64) -> Option<Life> {
    let journal = Journal::open(disk, SMALL).ok()?;
    let start = Start {
        index: 0,
        seed: 9,
        now,
        wall: now,
        list: 0,
        kept: None,
        state: Some(journal.state().clone()),
        fleet: false,
    };
    let node = Node::new(cfg.clone(), start).unwrap();
    let (receivers, due) = (BTreeMap::new(), BTreeSet::new());
    Some(Life {
        node,
        journal,
        count: 0,
        waiting: Vec::new(),
        receivers,
        due,
        cuts,
        lose: None,
        commits: 3,
        answering: false,
        silent: false,
        down: false,
    })
}

impl Life {
    fn cut(&mut self, now: i64, c: &mut Client) {
        if let Some(conn) = c.conn.take() {
            self.node.closed(now, conn, CloseReason::Broken);
            c.core.closed();
            // What was not heard of a subscription is asked for again.
            (c.inside, c.subscribed) = (false, false);
        }
    }

    /// Octets of a client, of which some may be lost with the connection.
    fn send(&mut self, now: i64, c: &mut Client, octets: &[u8], dice: &mut Dice) {
        let Some(conn) = c.conn else { return };
        if octets.is_empty() {
            return;
        }
        if self.lose == Some((true, octets[0] >> 4)) {
            self.lose = None;
            return self.cut(now, c);
        }
        if dice.below(100) < self.cuts {
            let some = dice.below(octets.len() as u64 + 1) as usize;
            self.node.received(now, conn, &octets[..some]);
            return self.cut(now, c);
        }
        self.node.received(now, conn, octets);
    }

    fn connect(&mut self, now: i64, c: &mut Client) -> bool {
        let mut out = BytesMut::new();
        c.core.connect(&mut out);
        c.conn = self.node.accepted(now, Speaks::Mqtt, &out);
        if c.conn.is_none() {
            c.core.closed();
        }
        c.conn.is_some()
    }

    fn subscribe(&mut self, now: i64, c: &mut Client, dice: &mut Dice) {
        let mut out = BytesMut::new();
        c.core.subscribe("answers/#", 1, &mut out);
        c.subscribed = true;
        self.send(now, c, &out, dice);
    }

    fn publish(&mut self, now: i64, c: &mut Client, n: u64, hand: &Hand, dice: &mut Dice) -> u16 {
        let mut out = BytesMut::new();
        let packet = c.core.publish(hand, &mut out);
        c.asked.insert(packet, n);
        self.send(now, c, &out, dice);
        packet
    }

    /// A millisecond passes. False once power is lost.
    fn step(&mut self, now: i64, clients: &mut [Client], ran: &mut Ran, dice: &mut Dice) -> bool {
        while let Some((_, conn, sequence)) = self.due.first().copied().filter(|d| d.0 <= now) {
            self.due.pop_first();
            let mut out = BytesMut::new();
            if let Some(session) = self.receivers.get_mut(&conn) {
                session.submitted(sequence, "r", CommandStatus::EsmeRok, vec![], &mut out);
                self.node.received(now, conn, &out);
            }
        }
        self.node.settle(now);
        for _ in 0..50 {
            let outputs = self.node.outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                match output {
                    Output::Connect { conn, .. } if self.down => {
                        self.node.closed(now, conn, CloseReason::Broken);
                    }
                    Output::Connect { conn, .. } => {
                        self.receivers.insert(conn, Session::new(0, LIMITS));
                        self.node.connected(now, conn);
                    }
                    Output::Write(conn) => self.carry(now, conn, clients, ran, dice),
                    Output::Finish(conn) | Output::Drop(conn) => {
                        self.carry(now, conn, clients, ran, dice);
                        self.receivers.remove(&conn);
                        if let Some(c) = clients.iter_mut().find(|c| c.conn == Some(conn)) {
                            c.core.closed();
                            (c.conn, c.inside) = (None, false);
                        }
                        self.node.closed(now, conn, CloseReason::Ended);
                    }
                    Output::SaveList(_)
                    | Output::Live(_)
                    | Output::ClientRequest(_)
                    | Output::Copying
                    | Output::Inherited(_) => {}
                    Output::Journal(entries) => self.waiting.push(entries),
                }
            }
            self.node.settle(now);
        }
        // The journal comes last and not always, and takes all that waits in one commit.
        if dice.below(self.commits) > 0 {
            return true;
        }
        commit(&mut self.node, &mut self.journal, &mut self.waiting, &mut self.count, now)
    }

    fn carry(&mut self, now: i64, conn: ConnId, clients: &mut [Client], ran: &mut Ran, dice: &mut Dice) {
        let octets = self.node.pending(conn).to_vec();
        self.node.wrote(conn, octets.len());
        let mut back = BytesMut::new();
        if let Some(c) = clients.iter_mut().find(|c| c.conn == Some(conn)) {
            let named = !octets.is_empty() && self.lose == Some((false, octets[0] >> 4));
            let lost = named || dice.below(100) < self.cuts;
            let some = if named {
                self.lose = None;
                0
            } else if lost {
                dice.below(octets.len() as u64 + 1) as usize
            } else {
                octets.len()
            };
            let mut heard = Vec::new();
            c.core.receive(&octets[..some], &mut back, &mut heard);
            assert!(!heard.iter().any(|h| matches!(h, Heard::Wrong(_))), "{heard:?}");
            c.digest(heard);
            if lost {
                return self.cut(now, c);
            }
            if c.deaf {
                back.clear();
            }
            return self.send(now, c, &back, dice);
        }
        if let Some(session) = self.receivers.get_mut(&conn) {
            let mut events = Vec::new();
            session.receive(now, 0, &octets, &mut back, &mut events);
            for event in events {
                match event {
                    server::Event::Bind { sequence, .. } => session.accept(now, sequence, "r", &mut back),
                    server::Event::Submit { sequence, submission, .. } => {
                        let n = String::from_utf8_lossy(&submission.body).parse().unwrap();
                        ran.entry(n).or_default().push(submission.identity.clone().unwrap());
                        // A few answers of receivers are lost, too.
                        if self.silent {
                            continue;
                        }
                        if self.answering || dice.below(20) > 0 {
                            self.due.insert((now + (1 + dice.below(20) as i64) * MS, conn, sequence));
                        }
                    }
                    _ => {}
                }
            }
        }
        if !back.is_empty() {
            self.node.received(now, conn, &back);
        }
    }
}

fn hand(n: u64, five: bool, qos: u8, class: &str) -> Hand {
    let address = format!("1{n:06}");
    // Version 3.1.1 tells its answers apart by the name it gave.
    let topic = if five { format!("to/{address}/{class}") } else { format!("to/{address}/{class}//{n}") };
    let correlation = if five { n.to_string().into_bytes() } else { Vec::new() };
    Hand { topic, payload: n.to_string().into_bytes(), qos, correlation, ..Hand::default() }
}

fn verdict(clients: &[Client], ran: &Ran) -> Result<(), String> {
    for c in clients {
        for n in &c.acked {
            let answers = c.answers.get(n).ok_or(format!("{n} was acknowledged and never answered"))?;
            if answers.iter().any(|a| a != &answers[0]) {
                return Err(format!("{n} got different answers: {answers:?}"));
            }
            let none = Vec::new();
            let arrived = ran.get(n).unwrap_or(&none);
            match answers[0].1.as_str() {
                "DELIVRD" if arrived.is_empty() => {
                    return Err(format!("{n} is told delivered and never ran"));
                }
                "DELIVRD" | "UNKNOWN" => {}
                other if !arrived.is_empty() => return Err(format!("{n} is told {other} and ran")),
                _ => {}
            }
        }
    }
    for (n, ids) in ran {
        // Unsafe messages have odd numbers.
        if ids.iter().any(|id| id != &ids[0]) || (n % 2 == 1 && ids.len() > 1) {
            return Err(format!("{n} was handed in once and ran as {ids:?}"));
        }
    }
    Ok(())
}

fn run(seed: u64, power: u64, cuts: u64) -> Result<(u64, Vec<Client>), String> {
    let cfg = settings("");
    let mut dice = Dice(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let mut clients =
        vec![Client::new(true, "c", "one"), Client::new(true, "c", "two"), Client::new(false, "d", "one")];
    let mut ran = Ran::new();
    let mut disk = Disk::new(Faults { power, ..Faults::default() });
    let (mut now, mut losses, mut steps, mut next) = (1 << 40, 0, 0, 0);
    let end = now + 6_000 * MS;
    while now < end {
        let Some(mut life) = start(&cfg, disk.clone(), now, cuts) else {
            disk = disk.after_loss(seed + losses);
            losses += 1;
            continue;
        };
        let mut alive = true;
        while now < end && alive {
            let handing_in = now < end - 5_500 * MS;
            if !handing_in {
                life.cuts = 0;
            }
            now += if handing_in { MS } else { 4 * MS };
            for c in &mut clients {
                if c.conn.is_none() && dice.below(4) == 0 {
                    life.connect(now, c);
                } else if c.inside && !c.subscribed {
                    life.subscribe(now, c, &mut dice);
                } else if c.inside && handing_in && dice.below(6) == 0 && c.core.room() > 0 {
                    next += 1;
                    let five = c.core.who().five;
                    let qos = 1 + dice.below(2) as u8;
                    let class = if next % 2 == 1 { "PAY" } else { "RESP" };
                    life.publish(now, c, next, &hand(next, five, qos, class), &mut dice);
                }
            }
            alive = life.step(now, &mut clients, &mut ran, &mut dice);
        }
        disk = life.journal.into_storage();
        steps = disk.steps;
        if now < end {
            losses += 1;
            disk = disk.after_loss(seed * 31 + power);
            now += 20 * MS;
            for c in &mut clients {
                if c.conn.take().is_some() {
                    c.core.closed();
                    (c.inside, c.subscribed) = (false, false);
                }
            }
        }
    }
    verdict(&clients, &ran).map(|()| (steps, clients))
}

#[test]
fn what_is_handed_in_once_is_one_message_through_cuts_and_losses_of_power() {
    let mut runs = 0;
    for seed in 1..=4 {
        let cuts = 5 * (seed - 1);
        let (steps, clients) = run(seed, 0, cuts).unwrap();
        let acked: usize = clients.iter().map(|c| c.acked.len()).sum();
        assert!(acked > 60, "{acked}");
        for power in (1..steps.min(1_200)).step_by(37) {
            if let Err(e) = run(seed, power, cuts) {
                panic!("seed {seed}, power lost at step {power}, {cuts} % cut: {e}");
            }
            runs += 1;
        }
    }
    assert!(runs > 50, "{runs}");
}

/// A sender with its clients, to be led by hand.
struct Rig {
    cfg: Arc<Config>,
    life: Option<Life>,
    clients: Vec<Client>,
    ran: Ran,
    dice: Dice,
    now: i64,
}

impl Rig {
    fn new(more: &str, clients: Vec<Client>) -> Self {
        let cfg = settings(more);
        let now = 1 << 40;
        let mut life = start(&cfg, Disk::new(Faults::default()), now, 0).unwrap();
        (life.commits, life.answering) = (1, true);
        Rig { cfg, life: Some(life), clients, ran: Ran::new(), dice: Dice(5), now }
    }

    fn life(&mut self) -> &mut Life {
        self.life.as_mut().unwrap()
    }

    /// Milliseconds pass.
    fn pass(&mut self, ms: i64) {
        for _ in 0..ms {
            self.now += MS;
            let life = self.life.as_mut().unwrap();
            assert!(life.step(self.now, &mut self.clients, &mut self.ran, &mut self.dice));
        }
    }

    /// A client connects and subscribes; gives whether its session goes on.
    fn enter(&mut self, i: usize) -> Option<bool> {
        let now = self.now;
        self.clients[i].heard.clear();
        self.life.as_mut().unwrap().connect(now, &mut self.clients[i]);
        self.pass(3);
        let present = self.clients[i].heard.iter().find_map(|h| match h {
            Heard::In(present) => Some(*present),
            _ => None,
        })?;
        if !present {
            self.life.as_mut().unwrap().subscribe(now, &mut self.clients[i], &mut self.dice);
            self.pass(3);
        }
        Some(present)
    }

    fn hand_in(&mut self, i: usize, n: u64, hand: &Hand) -> u16 {
        let now = self.now;
        self.life.as_mut().unwrap().publish(now, &mut self.clients[i], n, hand, &mut self.dice)
    }

    fn cut(&mut self, i: usize) {
        let now = self.now;
        self.life.as_mut().unwrap().cut(now, &mut self.clients[i]);
    }

    /// The process dies, and starts again from its journal.
    fn crash(&mut self) {
        let life = self.life.take().unwrap();
        let disk = life.journal.into_storage().after_loss(1);
        self.clients.iter_mut().for_each(|c| {
            if c.conn.take().is_some() {
                c.core.closed();
                c.inside = false;
            }
        });
        self.now += 20 * MS;
        let mut life = start(&self.cfg, disk, self.now, 0).unwrap();
        (life.commits, life.answering) = (1, true);
        self.life = Some(life);
    }

    fn stats(&mut self) -> heronroute_engine::Stats {
        self.life().node.stats().clone()
    }
}

#[test]
fn a_qos_2_exchange_cut_at_each_step_is_one_message() {
    // PUBLISH up, PUBREC down, PUBREL up, PUBCOMP down.
    for (up, kind) in [(true, 3), (false, 5), (true, 6), (false, 7)] {
        for crash in [false, true] {
            for five in [true, false] {
                let mut r = Rig::new("", vec![Client::new(five, "c", "one")]);
                assert_eq!(r.enter(0), Some(false));
                r.life().lose = Some((up, kind));
                let h = hand(1, five, 2, "PAY");
                r.hand_in(0, 1, &h);
                r.pass(30);
                assert_eq!(r.life().lose, None, "the step {kind} was cut");
                assert!(r.clients[0].conn.is_none());
                if crash {
                    r.crash();
                }
                assert_eq!(r.enter(0), Some(true), "its session goes on");
                r.pass(60);
                let ran = r.ran.get(&1).cloned().unwrap_or_default();
                assert_eq!(ran.len(), 1, "step {kind}, crash {crash}, version 5 {five}: {ran:?}");
                assert!(r.clients[0].acked.contains(&1));
                let answers = r.clients[0].answers[&1].clone();
                assert!(answers.iter().all(|a| a.1 == "DELIVRD"), "{answers:?}");
                assert!(r.clients[0].heard.contains(&Heard::Completed(1)), "{:?}", r.clients[0].heard);
            }
        }
    }
}

#[test]
fn answers_that_were_not_heard_come_again_under_their_number() {
    let mut r = Rig::new("", vec![Client::new(true, "c", "one")]);
    r.enter(0);
    // Its PUBACKs to the answers are lost with its connection.
    r.life().lose = Some((true, 4));
    r.hand_in(0, 1, &hand(1, true, 1, "RESP"));
    r.pass(60);
    assert!(r.clients[0].conn.is_none());
    assert_eq!(r.clients[0].answers[&1].len(), 1);
    r.enter(0);
    r.pass(10);
    let again: Vec<bool> = r.clients[0]
        .heard
        .iter()
        .filter_map(|h| if let Heard::Told(.., dup) = h { Some(*dup) } else { None })
        .collect();
    assert_eq!((again, r.life().node.owed()), (vec![true], 0));
    // A clean start has new numbers, and the answers that are still owed.
    r.life().lose = Some((true, 4));
    r.hand_in(0, 2, &hand(2, true, 1, "RESP"));
    r.pass(60);
    r.clients[0].core.who().clean = true;
    assert_eq!(r.enter(0), Some(false));
    r.pass(10);
    let again: Vec<bool> = r.clients[0]
        .heard
        .iter()
        .filter_map(|h| if let Heard::Told(.., dup) = h { Some(*dup) } else { None })
        .collect();
    assert_eq!((again, r.life().node.owed()), (vec![false], 0));
}

#[test]
fn the_same_client_from_two_places_in_turns() {
    let (a, b) = (Client::new(true, "c", "one"), Client::new(true, "c", "one"));
    let mut r = Rig::new("", vec![a, b, Client::new(true, "d", "one")]);
    r.enter(0);
    r.enter(2);
    for n in 1..=10 {
        let (here, there) = (n as usize % 2, (n as usize + 1) % 2);
        assert_eq!(r.enter(here), Some(true), "the session goes over");
        assert!(r.clients[there].conn.is_none());
        assert!(r.clients[there].heard.contains(&Heard::Bye(0x8E)), "{:?}", r.clients[there].heard);
        r.hand_in(here, n, &hand(n, true, 1, "RESP"));
        if n % 3 == 0 {
            // The other place takes over before the answer is there.
            r.enter(there);
            r.enter(here);
        }
        r.pass(60);
    }
    let told: usize = r.clients.iter().map(|c| c.answers.len()).sum();
    assert_eq!((told, r.life().node.owed()), (10, 0));
    assert!(r.clients[2].conn.is_some(), "another client of the same name has nothing to do with it");
}

#[test]
fn a_message_handed_in_over_smpp_is_asked_about_over_mqtt() {
    let mut r = Rig::new("", vec![Client::new(true, "c", "one"), Client::new(true, "d", "two")]);
    let mut out = BytesMut::new();
    let mut smpp = SmppClient::bind(r.now, LIMITS, Mode::Transceiver, "c", "secret", &mut out);
    let now = r.now;
    let conn = r.life().node.accepted(now, Speaks::Smpp, &out).unwrap();
    out.clear();
    let s = Submission {
        service: "PAY".into(),
        destination: "1000001".into(),
        wanted: ReceiptRequest::Never,
        body: b"7".to_vec(),
        ..Submission::default()
    };
    smpp.request(now, s.submit(None), &mut out);
    r.life().node.received(now, conn, &out);
    r.pass(2);
    let octets = r.life().node.pending(conn).to_vec();
    let mut events = Vec::new();
    smpp.receive(now, &octets, &mut BytesMut::new(), &mut events);
    let id = events.iter().find_map(|e| match e {
        heronroute_smpp::client::Event::Response { id, .. } if !id.is_empty() => Some(id.clone()),
        _ => None,
    });
    let id = id.unwrap_or_else(|| r.ran[&7][0].clone());
    r.enter(0);
    r.enter(1);
    let ask = |topic: &str| Hand {
        topic: format!("{topic}/{id}"),
        qos: 1,
        response: Some("answers/of/mine".into()),
        correlation: b"q".to_vec(),
        ..Hand::default()
    };
    for i in [0, 1] {
        r.hand_in(i, 0, &ask("ask"));
    }
    r.pass(40);
    r.hand_in(0, 0, &ask("ask"));
    r.hand_in(0, 0, &ask("withdraw"));
    r.pass(5);
    let told = |c: &Client| -> Vec<String> {
        let each = |h: &Heard| match h {
            Heard::Told(topic, text, c, ..) if topic == "answers/of/mine" && c == b"q" => Some(text.clone()),
            _ => None,
        };
        c.heard.iter().filter_map(each).collect()
    };
    let mine = told(&r.clients[0]);
    assert_eq!(mine[1..], [format!("id:{id} stat:DELIVRD"), "stat:NOTFOUND".to_string()], "{mine:?}");
    assert!(mine[0].ends_with("stat:ENROUTE") || mine[0].ends_with("stat:DELIVRD"));
    assert_eq!(told(&r.clients[1]), ["stat:NOTFOUND"], "another's message does not exist");
}

#[test]
fn what_is_refused_is_said_in_the_words_of_the_version() {
    let mut r = Rig::new("", vec![Client::new(true, "c", "five"), Client::new(false, "c", "three")]);
    r.enter(0);
    r.enter(1);
    // Class and address are unknown.
    let wrong = |five: bool, qos: u8| Hand { topic: "to/9/WHAT//9".into(), ..hand(9, five, qos, "") };
    for qos in [1, 2] {
        r.hand_in(0, 9, &wrong(true, qos));
        r.hand_in(1, 9, &wrong(false, qos));
        r.pass(5);
    }
    let five: Vec<&Heard> = r.clients[0].heard.iter().filter(|h| matches!(h, Heard::Acked(..))).collect();
    assert!(five.iter().all(|h| matches!(h, Heard::Acked(_, 0x90, None))) && five.len() == 2, "{five:?}");
    assert!(r.clients[0].answers.is_empty());
    // Version 3.1.1 has no refusal: it is acknowledged and answered; each was handed in as a message of its own.
    assert_eq!(r.clients[1].answers[&9].len(), 2);
    assert!(r.clients[1].answers[&9].iter().all(|a| a.1 == "UNDELIV"), "{:?}", r.clients[1].answers);
    // And stays refused after a restart, under the same identity.
    r.life().lose = Some((false, 4));
    r.hand_in(1, 9, &wrong(false, 1));
    r.pass(5);
    r.crash();
    r.enter(1);
    r.pass(10);
    let ids: BTreeSet<&String> = r.clients[1].answers[&9].iter().map(|a| &a.0).collect();
    assert_eq!((ids.len(), r.life().node.owed()), (3, 0));
    assert!(r.ran.is_empty());
}

/// A session that goes on has what its client was told that it has.
#[test]
fn a_subscription_is_acknowledged_once_it_outlives_a_crash() {
    for five in [true, false] {
        let mut r = Rig::new("", vec![Client::new(five, "c", "one")]);
        let told = |r: &Rig| r.clients[0].heard.iter().any(|h| matches!(h, Heard::Subscribed(_)));
        let subscribe = |r: &mut Rig| {
            let now = r.now;
            r.life.as_mut().unwrap().subscribe(now, &mut r.clients[0], &mut r.dice);
            r.pass(5);
        };
        let now = r.now;
        r.life.as_mut().unwrap().connect(now, &mut r.clients[0]);
        r.pass(3);
        // The journal is slow.
        r.life().commits = u64::MAX;
        subscribe(&mut r);
        assert!(!told(&r), "told before it is durable");
        r.crash();
        assert_eq!(r.enter(0), Some(true), "the session is there, and has no subscription");
        subscribe(&mut r);
        assert!(told(&r));
        r.crash();
        assert_eq!(r.enter(0), Some(true));
        r.hand_in(0, 7, &hand(7, five, 1, "PAY"));
        r.pass(40);
        assert_eq!(r.clients[0].answers[&7].len(), 1, "it hears its answer");
    }
}

#[test]
fn a_client_that_takes_no_answers_is_held_to_its_room_and_harms_nobody() {
    let (mute, old, well) =
        (Client::new(true, "c", "mute"), Client::new(false, "c", "old"), Client::new(true, "d", "well"));
    let mut r = Rig::new("", vec![mute, old, well]);
    let mut cfg = r.cfg.as_ref().clone();
    cfg.service.owed_room = 20;
    r.cfg = Arc::new(cfg);
    r.crash();
    (0..3).for_each(|i| _ = r.enter(i));
    // Two that never acknowledge an answer, of one client; and one of another client beside them.
    for i in [0, 1] {
        r.clients[i].deaf = true;
    }
    let mut refused = 0;
    for n in 1..=40 {
        for (i, from) in [(0, 0), (1, 1_000), (2, 2_000)] {
            if r.clients[i].conn.is_some() {
                let five = i != 1;
                r.hand_in(i, from + 2 * n, &hand(from + 2 * n, five, 1, "RESP"));
            }
        }
        r.pass(20);
        assert!(r.life().node.owed() + r.life().node.open() <= 22);
        refused += r.clients[0].heard.drain(..).filter(|h| matches!(h, Heard::Acked(_, 0x97, _))).count();
    }
    assert!(refused > 10, "{refused}");
    assert!(r.clients[1].conn.is_none(), "what can be neither refused nor answered ends the connection");
    assert_eq!(r.clients[2].answers.len(), 40, "the other client is served as ever");
    // Once they listen, all that was acknowledged is answered.
    for i in [0, 1] {
        r.clients[i].deaf = false;
        r.cut(i);
        r.enter(i);
    }
    r.pass(60);
    r.pass(300);
    assert_eq!(r.life().node.owed(), 0);
    for i in [0, 1] {
        let c = &r.clients[i];
        assert!(c.acked.iter().all(|n| c.answers.contains_key(n)));
    }
}

#[test]
fn a_name_given_twice_is_one_message_also_from_another_session() {
    let mut r = Rig::new(
        "remember: \"1s\"",
        vec![Client::new(true, "c", "one"), Client::new(false, "c", "two"), Client::new(true, "d", "x")],
    );
    (0..3).for_each(|i| _ = r.enter(i));
    let named = |five: bool| Hand { topic: "to/1000001/PAY//order-7".into(), ..hand(7, five, 1, "PAY") };
    r.hand_in(0, 7, &named(true));
    r.hand_in(1, 7, &named(false));
    r.crash();
    // Not everything was durable; what is handed in again now is one message again.
    (0..3).for_each(|i| _ = r.enter(i));
    r.hand_in(0, 7, &named(true));
    r.hand_in(1, 7, &named(false));
    r.pass(40);
    assert_eq!(r.ran[&7].len(), 1, "{:?}", r.ran);
    r.crash();
    (0..3).for_each(|i| _ = r.enter(i));
    r.hand_in(1, 7, &named(false));
    r.hand_in(2, 7, &named(true));
    r.pass(40);
    assert_eq!(r.ran[&7].len(), 2, "another client's name is another message");
    r.pass(1_100);
    r.hand_in(0, 7, &named(true));
    r.pass(40);
    assert_eq!(r.ran[&7].len(), 3, "its span is over");
}

#[test]
fn sessions_end_in_time_and_make_room() {
    let many = (0..4).map(|i| Client::new(true, "c", &format!("s{i}"))).collect();
    let mut r = Rig::new("sessions: 3 expiry: \"2s\"", many);
    for i in 0..3 {
        assert_eq!(r.enter(i), Some(false));
    }
    r.enter(3);
    assert!(r.clients[3].conn.is_none(), "all are here: there is no room for a fourth connection");
    r.cut(1);
    r.pass(5);
    r.cut(0);
    assert_eq!(r.enter(3), Some(false), "the one left longest ago gives way");
    r.cut(3);
    assert_eq!(r.enter(0), Some(true));
    assert_eq!(r.enter(1), Some(false));
    r.cut(0);
    r.pass(2_100);
    assert_eq!(r.enter(0), Some(false), "its time is up");
    assert_eq!(r.stats().accepted, 0);
}

#[test]
fn a_will_is_handed_in_for_a_client_that_is_gone_and_for_no_other() {
    let with = |delay| {
        let mut c = Client::new(true, "c", "w");
        c.core.who().will = Some(("to/1000077/PAY".into(), delay));
        c
    };
    // Cut, and not back: after its delay.
    let mut r = Rig::new("", vec![with(1), Client::new(true, "c", "w")]);
    r.enter(0);
    r.cut(0);
    r.pass(900);
    assert_eq!(r.ran.len(), 0);
    r.pass(200);
    assert_eq!(r.ran[&77].len(), 1);
    // Back in time.
    r.enter(0);
    r.cut(0);
    r.pass(500);
    r.enter(0);
    r.pass(1_500);
    assert_eq!(r.ran[&77].len(), 1);
    // Taken over from another place: the session goes on, so it is not sent.
    r.enter(1);
    r.pass(1_500);
    assert_eq!(r.ran[&77].len(), 1);
    // A clean start ends the session, and the will comes before its delay.
    r.cut(1);
    r.enter(0);
    r.cut(0);
    r.clients[0].core.who().clean = true;
    r.enter(0);
    r.pass(60);
    assert_eq!(r.ran[&77].len(), 2);
    assert_eq!(
        r.clients[0].heard.iter().filter(|h| matches!(h, Heard::Told(..))).count(),
        1,
        "and is answered"
    );
    // Leave in good order.
    let mut out = BytesMut::new();
    r.clients[0].core.disconnect(&mut out);
    let (now, conn) = (r.now, r.clients[0].conn.unwrap());
    r.life().node.received(now, conn, &out);
    r.pass(1_500);
    assert_eq!(r.ran[&77].len(), 2);
}

#[test]
fn whatever_one_connection_says_another_is_served() {
    let mut r = Rig::new("", vec![Client::new(true, "c", "well")]);
    r.enter(0);
    // A good session as it is on the wire, of which each of these has some octets wrong.
    let mut other = MqttClient::new(Who::new(true, "c", "odd"));
    let mut good = BytesMut::new();
    other.connect(&mut good);
    good.extend_from_slice(b"\x82\x0b\x00\x01\x00\x05a/b/#\x01");
    good.extend_from_slice(b"\x34\x13\x00\x0cto/1000001/A\x00\x07\x00hi\x62\x02\x00\x07\xc0\x00");
    for n in 0..400 {
        let mut octets = good.to_vec();
        for _ in 0..=r.dice.below(3) {
            let at = r.dice.below(octets.len() as u64) as usize;
            octets[at] = r.dice.below(256) as u8;
        }
        let now = r.now;
        let cut = r.dice.below(octets.len() as u64) as usize;
        if let Some(conn) = r.life().node.accepted(now, Speaks::Mqtt, &octets[..cut]) {
            r.life().node.received(now, conn, &octets[cut..]);
            r.life().node.closed(now, conn, CloseReason::Broken);
        }
        if n % 20 == 0 {
            r.hand_in(0, 2 + n, &hand(2 + n, true, 2, "RESP"));
        }
        r.pass(1);
    }
    r.pass(60);
    assert_eq!(r.clients[0].answers.len(), 20);
    assert!(r.clients[0].conn.is_some());
}

impl Rig {
    /// Asks about what is held, and gives the answer.
    fn ask(&mut self, i: usize, topic: &str) -> String {
        self.clients[i].heard.clear();
        let topic = format!("held/{topic}");
        self.hand_in(i, 0, &Hand { topic, qos: 1, correlation: b"held".to_vec(), ..Hand::default() });
        self.pass(3);
        let each = |h: &Heard| match h {
            Heard::Told(_, text, c, ..) if c == b"held" => Some(text.clone()),
            _ => None,
        };
        self.clients[i].heard.iter().find_map(each).expect("an answer")
    }

    /// Starts anew with messages held, and three clients: two sessions of one, one of another.
    fn holding(more: &str) -> Rig {
        let all =
            vec![Client::new(true, "c", "one"), Client::new(true, "c", "two"), Client::new(true, "d", "x")];
        let mut r = Rig::new("", all);
        let mut cfg = r.cfg.as_ref().clone();
        let other = parse("held", &format!("{} held {{ {more} }}", text(""))).unwrap();
        cfg.held = other.held;
        r.cfg = Arc::new(cfg);
        r.back();
        r
    }

    /// Eight unsafe messages are handed in while no receiver can be reached; some wait until their time is up.
    fn wait_in_vain(&mut self) {
        for n in 0..8 {
            self.hand_in(0, 2 * n + 1, &hand(2 * n + 1, true, 1, "PAY"));
            self.pass(5);
        }
        self.pass(4_500);
    }

    /// After a crash all come back.
    fn back(&mut self) {
        self.crash();
        (0..3).for_each(|i| _ = self.enter(i));
    }
}

#[test]
fn what_may_have_run_is_held_and_not_handed_in_again() {
    let mut r = Rig::holding("");
    r.life().silent = true;
    r.hand_in(0, 1, &hand(1, true, 1, "PAY"));
    r.pass(4_500);
    let (id, word) = r.clients[0].answers[&1][0].clone();
    assert_eq!(word, "UNKNOWN");
    for crash in [false, true] {
        if crash {
            r.back();
        }
        assert!(r.ask(1, "list").ends_with(&format!("\n{id}")), "any session of its client sees it");
        let trail = r.ask(0, &format!("show/{id}"));
        for part in ["by:mqtt/one", "attempt at a", "answer UNKNOWN", "\nmay have taken effect"] {
            assert!(trail.contains(part), "{part} in {trail}");
        }
        assert_eq!(r.ask(0, &format!("again/{id}")), format!("id:{id} stat:MAYHAVERUN"));
        assert_eq!(r.ask(0, &format!("again/{id}/new")), format!("id:{id} stat:MAYHAVERUN"));
        for deed in ["show", "again", "drop"] {
            let strange = r.ask(2, &format!("{deed}/{id}"));
            assert_eq!(strange, "stat:NOTFOUND", "a stranger hears the same as of what does not exist");
            assert_eq!(r.ask(2, &format!("{deed}/00000000000000ff")), strange);
        }
    }
    assert_eq!(r.ask(1, &format!("drop/{id}")), format!("id:{id} stat:DROPPED"));
    assert!(r.ask(0, "list").starts_with("held:0 "));
    r.back();
    assert!(r.ask(0, "list").starts_with("held:0 "), "given up is given up, after a crash too");
    assert_eq!(r.ran[&1].len(), 1);
}

#[test]
fn what_never_ran_goes_again_once_however_often_it_is_asked_for() {
    let mut r = Rig::holding("");
    r.life().down = true;
    r.wait_in_vain();
    // Some were turned away at once, as their destination was down; one of those that waited in vain it is.
    let waited = |a: &(&u64, &Vec<(String, String)>)| matches!(a.1[0].1.as_str(), "EXPIRED" | "UNDELIV");
    let found = r.clients[0].answers.iter().find(waited).map(|(n, a)| (*n, a[0].0.clone()));
    let (n, id) = found.expect("one that waited");
    assert!(r.ask(0, "list").contains(&id));
    assert!(!r.ask(0, &format!("show/{id}")).contains("may have"));
    // Asked for while all is still down: it is held as before.
    assert_eq!(r.ask(0, &format!("again/{id}")), format!("id:{id} stat:ENROUTE"));
    assert_eq!(r.ask(1, &format!("again/{id}")), format!("id:{id} stat:UNDERWAY"));
    assert_eq!(r.ask(1, &format!("drop/{id}")), "stat:UNDERWAY");
    r.pass(4_500);
    assert!(r.ask(0, "list").contains(&id));
    // A crash with a hand-in that was not durable: none; with one that was: one.
    r.back();
    r.hand_in(0, 0, &Hand { topic: format!("held/again/{id}"), qos: 1, ..Hand::default() });
    r.back();
    assert!(r.ask(0, "list").contains(&id), "the hand-in was lost with the crash, the message was not");
    let again = format!("held/again/{id}");
    for i in [0, 1] {
        r.hand_in(i, 0, &Hand { topic: again.clone(), qos: 1, ..Hand::default() });
    }
    r.pass(2);
    r.back();
    let said = r.ask(1, &format!("again/{id}"));
    assert!(!said.contains("ENROUTE"), "it is under way after the crash as well: {said}");
    r.pass(300);
    assert_eq!(
        r.ran[&n],
        std::slice::from_ref(&id),
        "two sessions and a crash: it ran once, under its identity"
    );
    assert!(!r.ask(0, "list").contains(&id));
    let trail = r.ask(0, &format!("show/{id}"));
    for part in ["handed in again by client c", "restart", "answer DELIVRD"] {
        assert!(trail.contains(part), "{part} in {trail}");
    }
    assert_eq!(r.ask(0, &format!("again/{id}")), format!("id:{id} stat:DELIVRD"));
    r.back();
    assert!(!r.ask(0, "list").contains(&id));
}

#[test]
fn a_guarded_message_goes_again_while_it_is_remembered_and_then_only_as_a_new_one() {
    let mut r = Rig::holding("");
    r.life().silent = true;
    r.hand_in(0, 2, &hand(2, true, 1, "RESP"));
    r.pass(4_500);
    let (id, word) = r.clients[0].answers[&2][0].clone();
    assert_eq!(word, "UNKNOWN");
    let before = r.ran[&2].len();
    assert_eq!(r.ask(0, &format!("again/{id}")), format!("id:{id} stat:WINDOWOVER"));
    r.life().silent = false;
    let said = r.ask(0, &format!("again/{id}/new"));
    let own = field(&said, "id").unwrap().to_string();
    assert!(own != id && said.ends_with("stat:ENROUTE"), "{said}");
    r.pass(300);
    assert_eq!(r.ran[&2].len(), before + 1);
    assert_eq!(r.ran[&2].last(), Some(&own), "receivers can't take it for the old one");
    assert!(r.ask(0, "list").starts_with("held:0 "));
    r.back();
    assert!(r.ask(0, "list").starts_with("held:0 "));
}

#[test]
fn an_owner_keeps_no_more_than_its_room() {
    let mut r = Rig::holding("count: 5");
    r.life().down = true;
    for n in 1..=8 {
        r.hand_in(0, 2 * n + 1, &hand(2 * n + 1, true, 1, "PAY"));
        r.pass(5);
    }
    r.hand_in(2, 99, &hand(99, true, 1, "PAY"));
    r.pass(4_500);
    let list = r.ask(0, "list");
    assert!(list.starts_with("held:5 ") && list.contains("dropped-many:3"), "{list}");
    assert!(r.ask(2, "list").starts_with("held:1 "), "another's is another's");
    r.back();
    assert!(r.ask(0, "list").starts_with("held:5 "));
}

#[test]
fn a_backlog_is_let_go_bounded_beside_live_traffic() {
    let mut r = Rig::holding("");
    r.life().down = true;
    for n in 0..400 {
        r.hand_in(0, 2 * n + 1, &hand(2 * n + 1, true, 1, "PAY"));
        r.pass(2);
    }
    r.pass(4_500);
    let list = r.ask(0, "list");
    let held: usize = list.split([':', ' ']).nth(1).unwrap().parse().unwrap();
    assert!(held > 100, "{list}");
    r.life().down = false;
    assert_eq!(r.ask(0, "release"), format!("stat:RELEASING held:{held}"));
    let (mut most, mut now, mut live) = (0, 0, 0);
    while !r.ask(0, "list").starts_with("held:0 ") {
        for _ in 0..10 {
            r.pass(3);
            most = most.max(r.life().node.open());
        }
        now += 1;
        live += 1;
        r.hand_in(2, 1_000_000 + 2 * live, &hand(1_000_000 + 2 * live, true, 1, "RESP"));
        assert!(now < 3_000, "never emptied: {}", r.ask(0, "list"));
    }
    r.pass(100);
    assert!(most <= 50 + 10, "a tenth of the room, and what is live: {most}");
    let told = r.clients[2].answers.values().filter(|a| a[0].1 == "DELIVRD").count() as u64;
    assert_eq!(told, live, "live traffic is served meanwhile");
    assert!(r.ran.iter().all(|(n, ids)| n % 2 == 0 || ids.len() == 1));
    assert_eq!(r.ask(0, "stop"), "stat:STOPPED went:0 passed-over:0", "it has ended by itself");
}

#[test]
fn what_may_be_lost_is_turned_away_first() {
    let mut r = Rig::new("", vec![Client::new(true, "c", "one"), Client::new(true, "d", "two")]);
    (0..2).for_each(|i| _ = r.enter(i));
    r.life().silent = true;
    // Room for 500, half of which one client holds: of quality 0 it may hold no more, of quality 1 it may.
    let mut n = 0;
    let mut some = |r: &mut Rig, qos: u8, count: usize| {
        for _ in 0..count {
            n += 2;
            r.hand_in(0, n, &hand(n, true, qos, "RESP"));
            r.pass(1);
        }
        r.life().node.open()
    };
    let held = some(&mut r, 0, 400);
    assert!((225..=275).contains(&held), "half the worth, half the threshold: {held}");
    let more = some(&mut r, 1, 40);
    assert!(more >= held + 35, "{more} after {held}");
    assert!(r.clients[0].answers.is_empty() && r.clients[0].conn.is_some(), "and nothing is said of it");
}

#[test]
fn a_message_goes_again_only_once_its_answer_was_taken() {
    let mut r = Rig::holding("");
    (r.life().down, r.clients[0].deaf) = (true, true);
    r.wait_in_vain();
    let list = r.ask(1, "list");
    let id = list.lines().nth(1).unwrap().to_string();
    assert_eq!(r.ask(1, &format!("again/{id}")), format!("id:{id} stat:UNHEARD"));
    r.back();
    r.clients[0].deaf = true;
    assert_eq!(r.ask(1, &format!("again/{id}")), format!("id:{id} stat:UNHEARD"), "after a crash, too");
    // Once it is heard the hand-in goes, and what it does is known whatever happens.
    r.clients[0].deaf = false;
    r.cut(0);
    r.enter(0);
    r.life().silent = true;
    assert_eq!(r.ask(1, &format!("again/{id}")), format!("id:{id} stat:ENROUTE"));
    r.pass(1_500);
    r.back();
    let n: Vec<usize> = r.ran.values().map(Vec::len).collect();
    assert_eq!(n, [1], "it ran once");
    assert!(r.ask(1, &format!("again/{id}")).ends_with("stat:MAYHAVERUN"));
}

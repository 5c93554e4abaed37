//! Tests the MQTT front of a node with its journal on a disk with injected faults, on a virtual clock.
//! Connections are cut in the middle of packets, power is lost at steps of the disk, and clients (an
//! independent state machine) resume and resend. A message that is submitted once must stay one message,
//! whatever is lost on the way.

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
use heronroute_standins::mqtt::{
    ClientEvent, ClientOptions, MqttClient, Publication, ReceivedMessage, field,
};
use rig::{LIMITS, SMALL, TestRng, commit};
use rusmpp_core::CommandStatus;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const MS: i64 = 1_000;

fn settings(more: &str) -> Arc<Config> {
    Arc::new(parse("mqtt", &settings_text(more)).unwrap())
}

fn settings_text(more: &str) -> String {
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

/// A client and what it has received; it survives a crash of the sender.
struct Client {
    mqtt: MqttClient,
    conn: Option<ConnId>,
    /// The events received since the list was last cleared.
    events: Vec<ClientEvent>,
    /// Whether the current connection was accepted (CONNACK received).
    session_open: bool,
    subscribed: bool,
    /// Whether it leaves answers unacknowledged.
    withhold_acks: bool,
    /// The numbers of published messages by packet identifier.
    published: BTreeMap<u16, u64>,
    acked: BTreeSet<u64>,
    /// The answers by message number, each as identity and state.
    answers: BTreeMap<u64, Vec<(String, String)>>,
}

impl Client {
    fn new(five: bool, user: &str, id: &str) -> Self {
        let who = ClientOptions { window: 5, ..ClientOptions::new(five, user, id) };
        Client {
            mqtt: MqttClient::new(who),
            conn: None,
            events: Vec::new(),
            session_open: false,
            subscribed: false,
            withhold_acks: false,
            published: BTreeMap::new(),
            acked: BTreeSet::new(),
            answers: BTreeMap::new(),
        }
    }

    fn record_events(&mut self, events: Vec<ClientEvent>) {
        for h in &events {
            match h {
                ClientEvent::Connected(present) => {
                    self.session_open = true;
                    if !present {
                        self.published.clear();
                        self.subscribed = false;
                    }
                }
                ClientEvent::Acknowledged(packet, code, _) if *code < 0x80 => {
                    self.acked.extend(self.published.get(packet));
                }
                ClientEvent::Received(ReceivedMessage { text, correlation, .. }) => {
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
        self.events.extend(events);
    }
}

/// A sender's process from a start to a crash, with its receivers.
struct Process {
    node: Node,
    journal: Journal<Disk>,
    committed_entries: u64,
    uncommitted: Vec<Vec<Entry>>,
    receivers: BTreeMap<ConnId, Session>,
    pending_responses: BTreeSet<(i64, ConnId, u32)>,
    /// The percentage of a client's exchanges in which the connection is cut.
    cut_percent: u64,
    /// Cuts the connection before the next packet of this type; the flag is true for packets from the client.
    cut_before: Option<(bool, u8)>,
    /// On average one in this many steps commits the journal.
    commit_interval: u64,
    /// Whether receivers respond to every message.
    always_respond: bool,
    /// Whether receivers accept messages and never respond.
    never_respond: bool,
    /// Whether connections to receivers fail.
    unreachable: bool,
}

/// The messages that reached receivers: the identities with which each message number arrived.
type Arrivals = BTreeMap<u64, Vec<String>>;

fn start(cfg: &Arc<Config>, disk: Disk, now: i64, cut_percent: u64) -> Option<Process> {
    let journal = Journal::open(disk, SMALL).ok()?;
    let start = Start {
        index: 0,
        seed: 9,
        now,
        wall: now,
        list: 0,
        kept: None,
        state: Some(journal.state().clone()),
        journal_usage: journal.usage(),
        fleet: false,
    };
    let node = Node::new(cfg.clone(), start).unwrap();
    let (receivers, pending_responses) = (BTreeMap::new(), BTreeSet::new());
    Some(Process {
        node,
        journal,
        committed_entries: 0,
        uncommitted: Vec::new(),
        receivers,
        pending_responses,
        cut_percent,
        cut_before: None,
        commit_interval: 3,
        always_respond: false,
        never_respond: false,
        unreachable: false,
    })
}

impl Process {
    fn cut(&mut self, now: i64, client: &mut Client) {
        if let Some(conn) = client.conn.take() {
            self.node.closed(now, conn, CloseReason::Broken);
            client.mqtt.closed();
            // A subscription whose acknowledgement may be lost is requested again.
            (client.session_open, client.subscribed) = (false, false);
        }
    }

    /// Sends a client's bytes, of which some may be lost with the connection.
    fn send(&mut self, now: i64, client: &mut Client, bytes: &[u8], rng: &mut TestRng) {
        let Some(conn) = client.conn else { return };
        if bytes.is_empty() {
            return;
        }
        if self.cut_before == Some((true, bytes[0] >> 4)) {
            self.cut_before = None;
            return self.cut(now, client);
        }
        if rng.below(100) < self.cut_percent {
            let kept_len = rng.below(bytes.len() as u64 + 1) as usize;
            self.node.received(now, conn, &bytes[..kept_len]);
            return self.cut(now, client);
        }
        self.node.received(now, conn, bytes);
    }

    fn connect(&mut self, now: i64, client: &mut Client) -> bool {
        let mut out = BytesMut::new();
        client.mqtt.connect(&mut out);
        client.conn = self.node.accepted(now, Speaks::Mqtt, &out);
        if client.conn.is_none() {
            client.mqtt.closed();
        }
        client.conn.is_some()
    }

    fn subscribe(&mut self, now: i64, client: &mut Client, rng: &mut TestRng) {
        let mut out = BytesMut::new();
        client.mqtt.subscribe("answers/#", 1, &mut out);
        client.subscribed = true;
        self.send(now, client, &out, rng);
    }

    fn publish(
        &mut self,
        now: i64,
        client: &mut Client,
        n: u64,
        message: &Publication,
        rng: &mut TestRng,
    ) -> u16 {
        let mut out = BytesMut::new();
        let packet = client.mqtt.publish(message, &mut out);
        client.published.insert(packet, n);
        self.send(now, client, &out, rng);
        packet
    }

    /// Advances the clock by one millisecond. Returns false once the disk has lost power.
    fn advance_one_ms(
        &mut self,
        now: i64,
        clients: &mut [Client],
        arrivals: &mut Arrivals,
        rng: &mut TestRng,
    ) -> bool {
        while let Some((_, conn, sequence)) = self.pending_responses.first().copied().filter(|d| d.0 <= now) {
            self.pending_responses.pop_first();
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
                    Output::Connect { conn, .. } if self.unreachable => {
                        self.node.closed(now, conn, CloseReason::Broken);
                    }
                    Output::Connect { conn, .. } => {
                        self.receivers.insert(conn, Session::new(0, LIMITS));
                        self.node.connected(now, conn);
                    }
                    Output::Write(conn) => self.transfer(now, conn, clients, arrivals, rng),
                    Output::Finish(conn) | Output::Drop(conn) => {
                        self.transfer(now, conn, clients, arrivals, rng);
                        self.receivers.remove(&conn);
                        if let Some(client) = clients.iter_mut().find(|client| client.conn == Some(conn)) {
                            client.mqtt.closed();
                            (client.conn, client.session_open) = (None, false);
                        }
                        self.node.closed(now, conn, CloseReason::Ended);
                    }
                    Output::SaveList(_)
                    | Output::Live(_)
                    | Output::ClientRequest(_)
                    | Output::Copying
                    | Output::Inherited(_) => {}
                    Output::Journal(entries) => self.uncommitted.push(entries),
                }
            }
            self.node.settle(now);
        }
        // The journal commits last, in some steps only, all waiting entries at once.
        if rng.below(self.commit_interval) > 0 {
            return true;
        }
        commit(&mut self.node, &mut self.journal, &mut self.uncommitted, &mut self.committed_entries, now)
    }

    fn transfer(
        &mut self,
        now: i64,
        conn: ConnId,
        clients: &mut [Client],
        arrivals: &mut Arrivals,
        rng: &mut TestRng,
    ) {
        let bytes = self.node.pending(conn).to_vec();
        self.node.wrote(conn, bytes.len());
        let mut reply = BytesMut::new();
        if let Some(client) = clients.iter_mut().find(|client| client.conn == Some(conn)) {
            let named = !bytes.is_empty() && self.cut_before == Some((false, bytes[0] >> 4));
            let lost = named || rng.below(100) < self.cut_percent;
            let kept_len = if named {
                self.cut_before = None;
                0
            } else if lost {
                rng.below(bytes.len() as u64 + 1) as usize
            } else {
                bytes.len()
            };
            let mut events = Vec::new();
            client.mqtt.receive(&bytes[..kept_len], &mut reply, &mut events);
            assert!(!events.iter().any(|h| matches!(h, ClientEvent::Failed(_))), "{events:?}");
            client.record_events(events);
            if lost {
                return self.cut(now, client);
            }
            if client.withhold_acks {
                reply.clear();
            }
            return self.send(now, client, &reply, rng);
        }
        if let Some(session) = self.receivers.get_mut(&conn) {
            let mut events = Vec::new();
            session.receive(now, 0, &bytes, &mut reply, &mut events);
            for event in events {
                match event {
                    server::Event::Bind { sequence, .. } => session.accept(now, sequence, "r", &mut reply),
                    server::Event::Submit { sequence, submission, .. } => {
                        let n = String::from_utf8_lossy(&submission.body).parse().unwrap();
                        arrivals.entry(n).or_default().push(submission.identity.clone().unwrap());
                        // A few responses of receivers are lost, too.
                        if self.never_respond {
                            continue;
                        }
                        if self.always_respond || rng.below(20) > 0 {
                            self.pending_responses.insert((
                                now + (1 + rng.below(20) as i64) * MS,
                                conn,
                                sequence,
                            ));
                        }
                    }
                    _ => {}
                }
            }
        }
        if !reply.is_empty() {
            self.node.received(now, conn, &reply);
        }
    }
}

fn message(n: u64, five: bool, qos: u8, class: &str) -> Publication {
    let address = format!("1{n:06}");
    // A version 3.1.1 client tells its answers apart by the name in the topic.
    let topic = if five { format!("to/{address}/{class}") } else { format!("to/{address}/{class}//{n}") };
    let correlation = if five { n.to_string().into_bytes() } else { Vec::new() };
    Publication { topic, payload: n.to_string().into_bytes(), qos, correlation, ..Publication::default() }
}

fn check_outcomes(clients: &[Client], arrivals: &Arrivals) -> Result<(), String> {
    for client in clients {
        for n in &client.acked {
            let answers = client.answers.get(n).ok_or(format!("{n} was acknowledged and never answered"))?;
            if answers.iter().any(|a| a != &answers[0]) {
                return Err(format!("{n} got different answers: {answers:?}"));
            }
            let none = Vec::new();
            let arrived = arrivals.get(n).unwrap_or(&none);
            match answers[0].1.as_str() {
                "DELIVRD" if arrived.is_empty() => {
                    return Err(format!("{n} was reported delivered and never arrived"));
                }
                "DELIVRD" | "UNKNOWN" => {}
                other if !arrived.is_empty() => return Err(format!("{n} was reported {other} and arrived")),
                _ => {}
            }
        }
    }
    for (n, ids) in arrivals {
        // Single-shot messages have odd numbers.
        if ids.iter().any(|id| id != &ids[0]) || (n % 2 == 1 && ids.len() > 1) {
            return Err(format!("{n} was submitted once and arrived as {ids:?}"));
        }
    }
    Ok(())
}

fn run(seed: u64, power: u64, cut_percent: u64) -> Result<(u64, Vec<Client>), String> {
    let cfg = settings("");
    let mut rng = TestRng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let mut clients =
        vec![Client::new(true, "c", "one"), Client::new(true, "c", "two"), Client::new(false, "d", "one")];
    let mut arrivals = Arrivals::new();
    let mut disk = Disk::new(Faults { power, ..Faults::default() });
    let (mut now, mut losses, mut steps, mut next) = (1 << 40, 0, 0, 0);
    let end = now + 6_000 * MS;
    while now < end {
        let Some(mut process) = start(&cfg, disk.clone(), now, cut_percent) else {
            disk = disk.after_loss(seed + losses);
            losses += 1;
            continue;
        };
        let mut alive = true;
        while now < end && alive {
            let submitting = now < end - 5_500 * MS;
            if !submitting {
                process.cut_percent = 0;
            }
            now += if submitting { MS } else { 4 * MS };
            for client in &mut clients {
                if client.conn.is_none() && rng.below(4) == 0 {
                    process.connect(now, client);
                } else if client.session_open && !client.subscribed {
                    process.subscribe(now, client, &mut rng);
                } else if client.session_open && submitting && rng.below(6) == 0 && client.mqtt.room() > 0 {
                    next += 1;
                    let five = client.mqtt.who().five;
                    let qos = 1 + rng.below(2) as u8;
                    let class = if next % 2 == 1 { "PAY" } else { "RESP" };
                    process.publish(now, client, next, &message(next, five, qos, class), &mut rng);
                }
            }
            alive = process.advance_one_ms(now, &mut clients, &mut arrivals, &mut rng);
        }
        disk = process.journal.into_storage();
        steps = disk.steps;
        if now < end {
            losses += 1;
            disk = disk.after_loss(seed * 31 + power);
            now += 20 * MS;
            for client in &mut clients {
                if client.conn.take().is_some() {
                    client.mqtt.closed();
                    (client.session_open, client.subscribed) = (false, false);
                }
            }
        }
    }
    check_outcomes(&clients, &arrivals).map(|()| (steps, clients))
}

/// Guards against a lost or duplicated message when a connection is cut or power is lost while a client waits
/// for an acknowledgement, and the client then sends again.
#[test]
fn a_message_submitted_once_stays_one_message_despite_cuts_and_power_loss() {
    let mut runs = 0;
    for seed in 1..=4 {
        let cut_percent = 5 * (seed - 1);
        let (steps, clients) = run(seed, 0, cut_percent).unwrap();
        let acked: usize = clients.iter().map(|client| client.acked.len()).sum();
        assert!(acked > 60, "{acked}");
        for power in (1..steps.min(1_200)).step_by(37) {
            if let Err(e) = run(seed, power, cut_percent) {
                panic!("seed {seed}, power lost at step {power}, {cut_percent} % cut: {e}");
            }
            runs += 1;
        }
    }
    assert!(runs > 50, "{runs}");
}

/// A sender with its clients, controlled step by step by a test.
struct Harness {
    cfg: Arc<Config>,
    process: Option<Process>,
    clients: Vec<Client>,
    arrivals: Arrivals,
    rng: TestRng,
    now: i64,
}

impl Harness {
    fn new(more: &str, clients: Vec<Client>) -> Self {
        let cfg = settings(more);
        let now = 1 << 40;
        let mut process = start(&cfg, Disk::new(Faults::default()), now, 0).unwrap();
        (process.commit_interval, process.always_respond) = (1, true);
        Harness { cfg, process: Some(process), clients, arrivals: Arrivals::new(), rng: TestRng(5), now }
    }

    fn process(&mut self) -> &mut Process {
        self.process.as_mut().unwrap()
    }

    /// Advances the clock by `ms` milliseconds.
    fn advance(&mut self, ms: i64) {
        for _ in 0..ms {
            self.now += MS;
            let process = self.process.as_mut().unwrap();
            assert!(process.advance_one_ms(self.now, &mut self.clients, &mut self.arrivals, &mut self.rng));
        }
    }

    /// Connects a client and subscribes it if its session is new. Returns whether the session was resumed;
    /// `None` if the connection was not accepted.
    fn connect_client(&mut self, i: usize) -> Option<bool> {
        let now = self.now;
        self.clients[i].events.clear();
        self.process.as_mut().unwrap().connect(now, &mut self.clients[i]);
        self.advance(3);
        let present = self.clients[i].events.iter().find_map(|h| match h {
            ClientEvent::Connected(present) => Some(*present),
            _ => None,
        })?;
        if !present {
            self.process.as_mut().unwrap().subscribe(now, &mut self.clients[i], &mut self.rng);
            self.advance(3);
        }
        Some(present)
    }

    fn publish(&mut self, i: usize, n: u64, message: &Publication) -> u16 {
        let now = self.now;
        self.process.as_mut().unwrap().publish(now, &mut self.clients[i], n, message, &mut self.rng)
    }

    fn cut(&mut self, i: usize) {
        let now = self.now;
        self.process.as_mut().unwrap().cut(now, &mut self.clients[i]);
    }

    /// Simulates a crash and a restart from the journal.
    fn crash(&mut self) {
        let process = self.process.take().unwrap();
        let disk = process.journal.into_storage().after_loss(1);
        self.clients.iter_mut().for_each(|client| {
            if client.conn.take().is_some() {
                client.mqtt.closed();
                client.session_open = false;
            }
        });
        self.now += 20 * MS;
        let mut process = start(&self.cfg, disk, self.now, 0).unwrap();
        (process.commit_interval, process.always_respond) = (1, true);
        self.process = Some(process);
    }

    fn stats(&mut self) -> heronroute_engine::Stats {
        self.process().node.stats().clone()
    }
}

/// Guards against a second message when a QoS 2 client resends after its connection was cut, also when the
/// sender crashed in between.
#[test]
fn a_qos_2_exchange_cut_at_any_step_delivers_one_message() {
    // PUBLISH up, PUBREC down, PUBREL up, PUBCOMP down.
    for (up, kind) in [(true, 3), (false, 5), (true, 6), (false, 7)] {
        for crash in [false, true] {
            for five in [true, false] {
                let mut harness = Harness::new("", vec![Client::new(five, "c", "one")]);
                assert_eq!(harness.connect_client(0), Some(false));
                harness.process().cut_before = Some((up, kind));
                let h = message(1, five, 2, "PAY");
                harness.publish(0, 1, &h);
                harness.advance(30);
                assert_eq!(harness.process().cut_before, None, "the step {kind} was cut");
                assert!(harness.clients[0].conn.is_none());
                if crash {
                    harness.crash();
                }
                assert_eq!(harness.connect_client(0), Some(true), "its session is resumed");
                harness.advance(60);
                let arrivals = harness.arrivals.get(&1).cloned().unwrap_or_default();
                assert_eq!(arrivals.len(), 1, "step {kind}, crash {crash}, version 5 {five}: {arrivals:?}");
                assert!(harness.clients[0].acked.contains(&1));
                let answers = harness.clients[0].answers[&1].clone();
                assert!(answers.iter().all(|a| a.1 == "DELIVRD"), "{answers:?}");
                assert!(
                    harness.clients[0].events.contains(&ClientEvent::Completed(1)),
                    "{:?}",
                    harness.clients[0].events
                );
            }
        }
    }
}

/// Guards against an answer that is lost because the connection was cut before the client's PUBACK.
#[test]
fn unacknowledged_answers_are_sent_again_with_their_packet_identifier() {
    let mut harness = Harness::new("", vec![Client::new(true, "c", "one")]);
    harness.connect_client(0);
    // The connection is cut before the client's PUBACK to the answer.
    harness.process().cut_before = Some((true, 4));
    harness.publish(0, 1, &message(1, true, 1, "RESP"));
    harness.advance(60);
    assert!(harness.clients[0].conn.is_none());
    assert_eq!(harness.clients[0].answers[&1].len(), 1);
    harness.connect_client(0);
    harness.advance(10);
    let dup_flags: Vec<bool> = harness.clients[0]
        .events
        .iter()
        .filter_map(|h| {
            if let ClientEvent::Received(ReceivedMessage { duplicate: dup, .. }) = h {
                Some(*dup)
            } else {
                None
            }
        })
        .collect();
    assert_eq!((dup_flags, harness.process().node.owed()), (vec![true], 0));
    // After a clean start the unacknowledged answer comes again as a new packet, without the DUP flag.
    harness.process().cut_before = Some((true, 4));
    harness.publish(0, 2, &message(2, true, 1, "RESP"));
    harness.advance(60);
    harness.clients[0].mqtt.who().clean = true;
    assert_eq!(harness.connect_client(0), Some(false));
    harness.advance(10);
    let dup_flags: Vec<bool> = harness.clients[0]
        .events
        .iter()
        .filter_map(|h| {
            if let ClientEvent::Received(ReceivedMessage { duplicate: dup, .. }) = h {
                Some(*dup)
            } else {
                None
            }
        })
        .collect();
    assert_eq!((dup_flags, harness.process().node.owed()), (vec![false], 0));
}

#[test]
fn a_session_moves_between_two_connections_in_turns() {
    let (a, b) = (Client::new(true, "c", "one"), Client::new(true, "c", "one"));
    let mut harness = Harness::new("", vec![a, b, Client::new(true, "d", "one")]);
    harness.connect_client(0);
    harness.connect_client(2);
    for n in 1..=10 {
        let (here, there) = (n as usize % 2, (n as usize + 1) % 2);
        assert_eq!(harness.connect_client(here), Some(true), "the session moves to the new connection");
        assert!(harness.clients[there].conn.is_none());
        assert!(
            harness.clients[there].events.contains(&ClientEvent::Disconnected(0x8E)),
            "{:?}",
            harness.clients[there].events
        );
        harness.publish(here, n, &message(n, true, 1, "RESP"));
        if n % 3 == 0 {
            // The other connection takes the session over before the answer is there.
            harness.connect_client(there);
            harness.connect_client(here);
        }
        harness.advance(60);
    }
    let answered: usize = harness.clients.iter().map(|client| client.answers.len()).sum();
    assert_eq!((answered, harness.process().node.owed()), (10, 0));
    assert!(harness.clients[2].conn.is_some(), "another client's session of the same name is unaffected");
}

#[test]
fn a_message_submitted_over_smpp_can_be_queried_over_mqtt() {
    let mut harness = Harness::new("", vec![Client::new(true, "c", "one"), Client::new(true, "d", "two")]);
    let mut out = BytesMut::new();
    let mut smpp = SmppClient::bind(harness.now, LIMITS, Mode::Transceiver, "c", "secret", &mut out);
    let now = harness.now;
    let conn = harness.process().node.accepted(now, Speaks::Smpp, &out).unwrap();
    out.clear();
    let s = Submission {
        service: "PAY".into(),
        destination: "1000001".into(),
        wanted: ReceiptRequest::Never,
        body: b"7".to_vec(),
        ..Submission::default()
    };
    smpp.request(now, s.submit(None), &mut out);
    harness.process().node.received(now, conn, &out);
    harness.advance(2);
    let bytes = harness.process().node.pending(conn).to_vec();
    let mut events = Vec::new();
    smpp.receive(now, &bytes, &mut BytesMut::new(), &mut events);
    let id = events.iter().find_map(|e| match e {
        heronroute_smpp::client::Event::Response { id, .. } if !id.is_empty() => Some(id.clone()),
        _ => None,
    });
    let id = id.unwrap_or_else(|| harness.arrivals[&7][0].clone());
    harness.connect_client(0);
    harness.connect_client(1);
    let request = |topic: &str| Publication {
        topic: format!("{topic}/{id}"),
        qos: 1,
        response: Some("answers/of/mine".into()),
        correlation: b"q".to_vec(),
        ..Publication::default()
    };
    for i in [0, 1] {
        harness.publish(i, 0, &request("ask"));
    }
    harness.advance(40);
    harness.publish(0, 0, &request("ask"));
    harness.publish(0, 0, &request("withdraw"));
    harness.advance(5);
    let query_answers = |client: &Client| -> Vec<String> {
        let each = |h: &ClientEvent| match h {
            ClientEvent::Received(ReceivedMessage { topic, text, correlation, .. })
                if topic == "answers/of/mine" && correlation == b"q" =>
            {
                Some(text.clone())
            }
            _ => None,
        };
        client.events.iter().filter_map(each).collect()
    };
    let mine = query_answers(&harness.clients[0]);
    assert_eq!(mine[1..], [format!("id:{id} stat:DELIVRD"), "stat:NOTFOUND".to_string()], "{mine:?}");
    assert!(mine[0].ends_with("stat:ENROUTE") || mine[0].ends_with("stat:DELIVRD"));
    assert_eq!(
        query_answers(&harness.clients[1]),
        ["stat:NOTFOUND"],
        "another client's message is reported as not found"
    );
}

#[test]
fn a_refusal_is_reported_in_the_form_of_the_protocol_version() {
    let mut harness =
        Harness::new("", vec![Client::new(true, "c", "five"), Client::new(false, "c", "three")]);
    harness.connect_client(0);
    harness.connect_client(1);
    // The class and the address are unknown.
    let wrong =
        |five: bool, qos: u8| Publication { topic: "to/9/WHAT//9".into(), ..message(9, five, qos, "") };
    for qos in [1, 2] {
        harness.publish(0, 9, &wrong(true, qos));
        harness.publish(1, 9, &wrong(false, qos));
        harness.advance(5);
    }
    let five: Vec<&ClientEvent> =
        harness.clients[0].events.iter().filter(|h| matches!(h, ClientEvent::Acknowledged(..))).collect();
    assert!(
        five.iter().all(|h| matches!(h, ClientEvent::Acknowledged(_, 0x90, None))) && five.len() == 2,
        "{five:?}"
    );
    assert!(harness.clients[0].answers.is_empty());
    // Version 3.1.1 has no refusal: a message is acknowledged, then answered. Each was submitted as a message
    // of its own.
    assert_eq!(harness.clients[1].answers[&9].len(), 2);
    assert!(
        harness.clients[1].answers[&9].iter().all(|a| a.1 == "UNDELIV"),
        "{:?}",
        harness.clients[1].answers
    );
    // After a restart the message stays refused, with the same identity.
    harness.process().cut_before = Some((false, 4));
    harness.publish(1, 9, &wrong(false, 1));
    harness.advance(5);
    harness.crash();
    harness.connect_client(1);
    harness.advance(10);
    let ids: BTreeSet<&String> = harness.clients[1].answers[&9].iter().map(|a| &a.0).collect();
    assert_eq!((ids.len(), harness.process().node.owed()), (3, 0));
    assert!(harness.arrivals.is_empty());
}

/// Guards against a resumed session without the subscription that its client has an acknowledgement for: a
/// crash comes between the acknowledgement and the journal's commit.
#[test]
fn a_subscription_is_acknowledged_only_once_it_is_durable() {
    for five in [true, false] {
        let mut harness = Harness::new("", vec![Client::new(five, "c", "one")]);
        let acknowledged = |harness: &Harness| {
            harness.clients[0].events.iter().any(|h| matches!(h, ClientEvent::Subscribed(_)))
        };
        let subscribe = |harness: &mut Harness| {
            let now = harness.now;
            harness.process.as_mut().unwrap().subscribe(now, &mut harness.clients[0], &mut harness.rng);
            harness.advance(5);
        };
        let now = harness.now;
        harness.process.as_mut().unwrap().connect(now, &mut harness.clients[0]);
        harness.advance(3);
        // The journal does not commit.
        harness.process().commit_interval = u64::MAX;
        subscribe(&mut harness);
        assert!(!acknowledged(&harness), "acknowledged before it is durable");
        harness.crash();
        assert_eq!(harness.connect_client(0), Some(true), "the session is resumed without the subscription");
        subscribe(&mut harness);
        assert!(acknowledged(&harness));
        harness.crash();
        assert_eq!(harness.connect_client(0), Some(true));
        harness.publish(0, 7, &message(7, five, 1, "PAY"));
        harness.advance(40);
        assert_eq!(harness.clients[0].answers[&7].len(), 1, "it receives its answer");
    }
}

/// Guards against unbounded memory, and against delays of other clients, when a client never acknowledges its
/// answers.
#[test]
fn a_client_that_acknowledges_no_answers_is_limited_and_affects_no_other() {
    let (silent_five, old, well) =
        (Client::new(true, "c", "mute"), Client::new(false, "c", "old"), Client::new(true, "d", "well"));
    let mut harness = Harness::new("", vec![silent_five, old, well]);
    let mut cfg = harness.cfg.as_ref().clone();
    cfg.service.owed_room = 20;
    harness.cfg = Arc::new(cfg);
    harness.crash();
    (0..3).for_each(|i| _ = harness.connect_client(i));
    // Two sessions of one client never acknowledge an answer; a session of another client runs beside them.
    for i in [0, 1] {
        harness.clients[i].withhold_acks = true;
    }
    let mut refused = 0;
    for n in 1..=40 {
        for (i, from) in [(0, 0), (1, 1_000), (2, 2_000)] {
            if harness.clients[i].conn.is_some() {
                let five = i != 1;
                harness.publish(i, from + 2 * n, &message(from + 2 * n, five, 1, "RESP"));
            }
        }
        harness.advance(20);
        assert!(harness.process().node.owed() + harness.process().node.open() <= 22);
        refused += harness.clients[0]
            .events
            .drain(..)
            .filter(|h| matches!(h, ClientEvent::Acknowledged(_, 0x97, _)))
            .count();
    }
    assert!(refused > 10, "{refused}");
    assert!(
        harness.clients[1].conn.is_none(),
        "a message that can be neither refused nor answered ends the connection"
    );
    assert_eq!(harness.clients[2].answers.len(), 40, "the other client is served normally");
    // Once they acknowledge answers, every acknowledged message is answered.
    for i in [0, 1] {
        harness.clients[i].withhold_acks = false;
        harness.cut(i);
        harness.connect_client(i);
    }
    harness.advance(60);
    harness.advance(300);
    assert_eq!(harness.process().node.owed(), 0);
    for i in [0, 1] {
        let client = &harness.clients[i];
        assert!(client.acked.iter().all(|n| client.answers.contains_key(n)));
    }
}

#[test]
fn a_repeated_name_is_one_message_also_from_another_session() {
    let mut harness = Harness::new(
        "remember: \"1s\"",
        vec![Client::new(true, "c", "one"), Client::new(false, "c", "two"), Client::new(true, "d", "x")],
    );
    (0..3).for_each(|i| _ = harness.connect_client(i));
    let named =
        |five: bool| Publication { topic: "to/1000001/PAY//order-7".into(), ..message(7, five, 1, "PAY") };
    harness.publish(0, 7, &named(true));
    harness.publish(1, 7, &named(false));
    harness.crash();
    // Not everything was durable: the messages submitted again are still one message.
    (0..3).for_each(|i| _ = harness.connect_client(i));
    harness.publish(0, 7, &named(true));
    harness.publish(1, 7, &named(false));
    harness.advance(40);
    assert_eq!(harness.arrivals[&7].len(), 1, "{:?}", harness.arrivals);
    harness.crash();
    (0..3).for_each(|i| _ = harness.connect_client(i));
    harness.publish(1, 7, &named(false));
    harness.publish(2, 7, &named(true));
    harness.advance(40);
    assert_eq!(harness.arrivals[&7].len(), 2, "the same name of another client is another message");
    harness.advance(1_100);
    harness.publish(0, 7, &named(true));
    harness.advance(40);
    assert_eq!(harness.arrivals[&7].len(), 3, "the name has expired");
}

#[test]
fn sessions_expire_and_the_oldest_makes_room() {
    let many = (0..4).map(|i| Client::new(true, "c", &format!("s{i}"))).collect();
    let mut harness = Harness::new("sessions: 3 expiry: \"2s\"", many);
    for i in 0..3 {
        assert_eq!(harness.connect_client(i), Some(false));
    }
    harness.connect_client(3);
    assert!(harness.clients[3].conn.is_none(), "three connected sessions leave no room for a fourth");
    harness.cut(1);
    harness.advance(5);
    harness.cut(0);
    assert_eq!(harness.connect_client(3), Some(false), "the session disconnected longest ago is dropped");
    harness.cut(3);
    assert_eq!(harness.connect_client(0), Some(true));
    assert_eq!(harness.connect_client(1), Some(false));
    harness.cut(0);
    harness.advance(2_100);
    assert_eq!(harness.connect_client(0), Some(false), "the session has expired");
    assert_eq!(harness.stats().accepted, 0);
}

#[test]
fn a_will_is_submitted_only_for_a_client_that_is_gone() {
    let with = |delay| {
        let mut client = Client::new(true, "c", "w");
        client.mqtt.who().will = Some(("to/1000077/PAY".into(), delay));
        client
    };
    // The connection is cut and not resumed: the will is sent after its delay.
    let mut harness = Harness::new("", vec![with(1), Client::new(true, "c", "w")]);
    harness.connect_client(0);
    harness.cut(0);
    harness.advance(900);
    assert_eq!(harness.arrivals.len(), 0);
    harness.advance(200);
    assert_eq!(harness.arrivals[&77].len(), 1);
    // The client reconnects before the delay is over.
    harness.connect_client(0);
    harness.cut(0);
    harness.advance(500);
    harness.connect_client(0);
    harness.advance(1_500);
    assert_eq!(harness.arrivals[&77].len(), 1);
    // Another connection takes the session over: the session continues, so the will is not sent.
    harness.connect_client(1);
    harness.advance(1_500);
    assert_eq!(harness.arrivals[&77].len(), 1);
    // A clean start ends the session, and the will is sent before its delay is over.
    harness.cut(1);
    harness.connect_client(0);
    harness.cut(0);
    harness.clients[0].mqtt.who().clean = true;
    harness.connect_client(0);
    harness.advance(60);
    assert_eq!(harness.arrivals[&77].len(), 2);
    assert_eq!(
        harness.clients[0].events.iter().filter(|h| matches!(h, ClientEvent::Received(_))).count(),
        1,
        "and is answered"
    );
    // A normal disconnect discards the will.
    let mut out = BytesMut::new();
    harness.clients[0].mqtt.disconnect(&mut out);
    let (now, conn) = (harness.now, harness.clients[0].conn.unwrap());
    harness.process().node.received(now, conn, &out);
    harness.advance(1_500);
    assert_eq!(harness.arrivals[&77].len(), 2);
}

#[test]
fn malformed_packets_on_one_connection_do_not_affect_another() {
    let mut harness = Harness::new("", vec![Client::new(true, "c", "well")]);
    harness.connect_client(0);
    // The bytes of a valid session; each attempt replaces some of them with random values.
    let mut other = MqttClient::new(ClientOptions::new(true, "c", "odd"));
    let mut good = BytesMut::new();
    other.connect(&mut good);
    good.extend_from_slice(b"\x82\x0b\x00\x01\x00\x05a/b/#\x01");
    good.extend_from_slice(b"\x34\x13\x00\x0cto/1000001/A\x00\x07\x00hi\x62\x02\x00\x07\xc0\x00");
    for n in 0..400 {
        let mut bytes = good.to_vec();
        for _ in 0..=harness.rng.below(3) {
            let at = harness.rng.below(bytes.len() as u64) as usize;
            bytes[at] = harness.rng.below(256) as u8;
        }
        let now = harness.now;
        let cut = harness.rng.below(bytes.len() as u64) as usize;
        if let Some(conn) = harness.process().node.accepted(now, Speaks::Mqtt, &bytes[..cut]) {
            harness.process().node.received(now, conn, &bytes[cut..]);
            harness.process().node.closed(now, conn, CloseReason::Broken);
        }
        if n % 20 == 0 {
            harness.publish(0, 2 + n, &message(2 + n, true, 2, "RESP"));
        }
        harness.advance(1);
    }
    harness.advance(60);
    assert_eq!(harness.clients[0].answers.len(), 20);
    assert!(harness.clients[0].conn.is_some());
}

impl Harness {
    /// Sends a request about held messages and returns the answer.
    fn ask_held(&mut self, i: usize, topic: &str) -> String {
        self.clients[i].events.clear();
        let topic = format!("held/{topic}");
        self.publish(
            i,
            0,
            &Publication { topic, qos: 1, correlation: b"held".to_vec(), ..Publication::default() },
        );
        self.advance(3);
        let each = |h: &ClientEvent| match h {
            ClientEvent::Received(ReceivedMessage { text, correlation, .. }) if correlation == b"held" => {
                Some(text.clone())
            }
            _ => None,
        };
        self.clients[i].events.iter().find_map(each).expect("an answer")
    }

    /// Starts a sender that holds messages, with three sessions: two of one client, one of another.
    fn with_held_settings(more: &str) -> Harness {
        let all =
            vec![Client::new(true, "c", "one"), Client::new(true, "c", "two"), Client::new(true, "d", "x")];
        let mut harness = Harness::new("", all);
        let mut cfg = harness.cfg.as_ref().clone();
        let other = parse("held", &format!("{} held {{ {more} }}", settings_text(""))).unwrap();
        cfg.held = other.held;
        harness.cfg = Arc::new(cfg);
        harness.crash_and_reconnect();
        harness
    }

    /// Submits eight single-shot messages while no receiver can be reached; some wait until their deadline.
    fn submit_and_let_expire(&mut self) {
        for n in 0..8 {
            self.publish(0, 2 * n + 1, &message(2 * n + 1, true, 1, "PAY"));
            self.advance(5);
        }
        self.advance(4_500);
    }

    /// Simulates a crash and a restart, then reconnects all clients.
    fn crash_and_reconnect(&mut self) {
        self.crash();
        (0..3).for_each(|i| _ = self.connect_client(i));
    }
}

/// Guards against a single-shot message that runs twice because its client resubmits it after UNKNOWN.
#[test]
fn a_held_message_that_may_have_run_is_not_resubmitted() {
    let mut harness = Harness::with_held_settings("");
    harness.process().never_respond = true;
    harness.publish(0, 1, &message(1, true, 1, "PAY"));
    harness.advance(4_500);
    let (id, word) = harness.clients[0].answers[&1][0].clone();
    assert_eq!(word, "UNKNOWN");
    for crash in [false, true] {
        if crash {
            harness.crash_and_reconnect();
        }
        assert!(
            harness.ask_held(1, "list").ends_with(&format!("\n{id}")),
            "every session of its client sees it"
        );
        let trail = harness.ask_held(0, &format!("show/{id}"));
        for part in ["by:mqtt/one", "attempt at a", "answer UNKNOWN", "\nmay have taken effect"] {
            assert!(trail.contains(part), "{part} in {trail}");
        }
        assert_eq!(harness.ask_held(0, &format!("again/{id}")), format!("id:{id} stat:MAYHAVERUN"));
        assert_eq!(harness.ask_held(0, &format!("again/{id}/new")), format!("id:{id} stat:MAYHAVERUN"));
        for deed in ["show", "again", "drop"] {
            let strange = harness.ask_held(2, &format!("{deed}/{id}"));
            assert_eq!(
                strange, "stat:NOTFOUND",
                "another client gets the reply for a message that does not exist"
            );
            assert_eq!(harness.ask_held(2, &format!("{deed}/00000000000000ff")), strange);
        }
    }
    assert_eq!(harness.ask_held(1, &format!("drop/{id}")), format!("id:{id} stat:DROPPED"));
    assert!(harness.ask_held(0, "list").starts_with("held:0 "));
    harness.crash_and_reconnect();
    assert!(
        harness.ask_held(0, "list").starts_with("held:0 "),
        "a dropped message stays dropped after a crash"
    );
    assert_eq!(harness.arrivals[&1].len(), 1);
}

/// Guards against a second run when several sessions resubmit the same message and the sender crashes in
/// between.
#[test]
fn a_held_message_that_never_ran_is_resubmitted_once() {
    let mut harness = Harness::with_held_settings("");
    harness.process().unreachable = true;
    harness.submit_and_let_expire();
    // Some messages were refused at once since their destination was down; take one that waited until its
    // deadline.
    let waited = |a: &(&u64, &Vec<(String, String)>)| matches!(a.1[0].1.as_str(), "EXPIRED" | "UNDELIV");
    let found = harness.clients[0].answers.iter().find(waited).map(|(n, a)| (*n, a[0].0.clone()));
    let (n, id) = found.expect("one that waited");
    assert!(harness.ask_held(0, "list").contains(&id));
    assert!(!harness.ask_held(0, &format!("show/{id}")).contains("may have"));
    // Resubmitted while the receivers are still unreachable, it is held again afterwards.
    assert_eq!(harness.ask_held(0, &format!("again/{id}")), format!("id:{id} stat:ENROUTE"));
    assert_eq!(harness.ask_held(1, &format!("again/{id}")), format!("id:{id} stat:UNDERWAY"));
    assert_eq!(harness.ask_held(1, &format!("drop/{id}")), "stat:UNDERWAY");
    harness.advance(4_500);
    assert!(harness.ask_held(0, "list").contains(&id));
    // A crash loses a resubmission that was not durable and keeps one that was.
    harness.crash_and_reconnect();
    harness.publish(
        0,
        0,
        &Publication { topic: format!("held/again/{id}"), qos: 1, ..Publication::default() },
    );
    harness.crash_and_reconnect();
    assert!(
        harness.ask_held(0, "list").contains(&id),
        "the crash lost the resubmission and kept the message"
    );
    let again = format!("held/again/{id}");
    for i in [0, 1] {
        harness.publish(i, 0, &Publication { topic: again.clone(), qos: 1, ..Publication::default() });
    }
    harness.advance(2);
    harness.crash_and_reconnect();
    let said = harness.ask_held(1, &format!("again/{id}"));
    assert!(!said.contains("ENROUTE"), "it is under way after the crash, too: {said}");
    harness.advance(300);
    assert_eq!(
        harness.arrivals[&n],
        std::slice::from_ref(&id),
        "despite two sessions and a crash it ran once, with its identity"
    );
    assert!(!harness.ask_held(0, "list").contains(&id));
    let trail = harness.ask_held(0, &format!("show/{id}"));
    for part in ["handed in again by client c", "restart", "answer DELIVRD"] {
        assert!(trail.contains(part), "{part} in {trail}");
    }
    assert_eq!(harness.ask_held(0, &format!("again/{id}")), format!("id:{id} stat:DELIVRD"));
    harness.crash_and_reconnect();
    assert!(!harness.ask_held(0, "list").contains(&id));
}

#[test]
fn a_guarded_message_past_its_window_is_resubmitted_only_as_a_new_one() {
    let mut harness = Harness::with_held_settings("");
    harness.process().never_respond = true;
    harness.publish(0, 2, &message(2, true, 1, "RESP"));
    harness.advance(4_500);
    let (id, word) = harness.clients[0].answers[&2][0].clone();
    assert_eq!(word, "UNKNOWN");
    let before = harness.arrivals[&2].len();
    assert_eq!(harness.ask_held(0, &format!("again/{id}")), format!("id:{id} stat:WINDOWOVER"));
    harness.process().never_respond = false;
    let said = harness.ask_held(0, &format!("again/{id}/new"));
    let new_id = field(&said, "id").unwrap().to_string();
    assert!(new_id != id && said.ends_with("stat:ENROUTE"), "{said}");
    harness.advance(300);
    assert_eq!(harness.arrivals[&2].len(), before + 1);
    assert_eq!(harness.arrivals[&2].last(), Some(&new_id), "receivers can tell it from the old message");
    assert!(harness.ask_held(0, "list").starts_with("held:0 "));
    harness.crash_and_reconnect();
    assert!(harness.ask_held(0, "list").starts_with("held:0 "));
}

#[test]
fn a_client_holds_no_more_messages_than_its_limit() {
    let mut harness = Harness::with_held_settings("count: 5");
    harness.process().unreachable = true;
    for n in 1..=8 {
        harness.publish(0, 2 * n + 1, &message(2 * n + 1, true, 1, "PAY"));
        harness.advance(5);
    }
    harness.publish(2, 99, &message(99, true, 1, "PAY"));
    harness.advance(4_500);
    let list = harness.ask_held(0, "list");
    assert!(list.starts_with("held:5 ") && list.contains("dropped-many:3"), "{list}");
    assert!(harness.ask_held(2, "list").starts_with("held:1 "), "the other client has its own limit");
    harness.crash_and_reconnect();
    assert!(harness.ask_held(0, "list").starts_with("held:5 "));
}

#[test]
fn a_backlog_is_released_with_bounded_load_beside_live_traffic() {
    let mut harness = Harness::with_held_settings("");
    harness.process().unreachable = true;
    for n in 0..400 {
        harness.publish(0, 2 * n + 1, &message(2 * n + 1, true, 1, "PAY"));
        harness.advance(2);
    }
    harness.advance(4_500);
    let list = harness.ask_held(0, "list");
    let held: usize = list.split([':', ' ']).nth(1).unwrap().parse().unwrap();
    assert!(held > 100, "{list}");
    harness.process().unreachable = false;
    assert_eq!(harness.ask_held(0, "release"), format!("stat:RELEASING held:{held}"));
    let (mut most, mut now, mut live) = (0, 0, 0);
    while !harness.ask_held(0, "list").starts_with("held:0 ") {
        for _ in 0..10 {
            harness.advance(3);
            most = most.max(harness.process().node.open());
        }
        now += 1;
        live += 1;
        harness.publish(2, 1_000_000 + 2 * live, &message(1_000_000 + 2 * live, true, 1, "RESP"));
        assert!(now < 3_000, "never emptied: {}", harness.ask_held(0, "list"));
    }
    harness.advance(100);
    assert!(most <= 50 + 10, "a tenth of the room plus live messages: {most}");
    let delivered = harness.clients[2].answers.values().filter(|a| a[0].1 == "DELIVRD").count() as u64;
    assert_eq!(delivered, live, "live traffic is served during the release");
    assert!(harness.arrivals.iter().all(|(n, ids)| n % 2 == 0 || ids.len() == 1));
    assert_eq!(
        harness.ask_held(0, "stop"),
        "stat:STOPPED went:0 passed-over:0",
        "the release has already ended"
    );
}

#[test]
fn qos_0_messages_are_shed_before_qos_1() {
    let mut harness = Harness::new("", vec![Client::new(true, "c", "one"), Client::new(true, "d", "two")]);
    (0..2).for_each(|i| _ = harness.connect_client(i));
    harness.process().never_respond = true;
    // The room is 500. A client that holds half of it gets no more QoS 0 messages accepted, but more of QoS
    // 1.
    let mut n = 0;
    let mut publish_and_count_open = |harness: &mut Harness, qos: u8, number: usize| {
        for _ in 0..number {
            n += 2;
            harness.publish(0, n, &message(n, true, qos, "RESP"));
            harness.advance(1);
        }
        harness.process().node.open()
    };
    let held = publish_and_count_open(&mut harness, 0, 400);
    assert!((225..=275).contains(&held), "QoS 0 has half the worth, so half the threshold: {held}");
    let more = publish_and_count_open(&mut harness, 1, 40);
    assert!(more >= held + 35, "{more} after {held}");
    assert!(
        harness.clients[0].answers.is_empty() && harness.clients[0].conn.is_some(),
        "shed QoS 0 messages get no reply"
    );
}

/// Guards against a message that runs again although its client has not yet acknowledged the first answer.
#[test]
fn a_held_message_is_resubmitted_only_after_its_answer_was_acknowledged() {
    let mut harness = Harness::with_held_settings("");
    (harness.process().unreachable, harness.clients[0].withhold_acks) = (true, true);
    harness.submit_and_let_expire();
    let list = harness.ask_held(1, "list");
    let id = list.lines().nth(1).unwrap().to_string();
    assert_eq!(harness.ask_held(1, &format!("again/{id}")), format!("id:{id} stat:UNHEARD"));
    harness.crash_and_reconnect();
    harness.clients[0].withhold_acks = true;
    assert_eq!(
        harness.ask_held(1, &format!("again/{id}")),
        format!("id:{id} stat:UNHEARD"),
        "also after a crash"
    );
    // Once the answer is acknowledged the resubmission is accepted, and its effect is recorded despite a
    // crash.
    harness.clients[0].withhold_acks = false;
    harness.cut(0);
    harness.connect_client(0);
    harness.process().never_respond = true;
    assert_eq!(harness.ask_held(1, &format!("again/{id}")), format!("id:{id} stat:ENROUTE"));
    harness.advance(1_500);
    harness.crash_and_reconnect();
    let n: Vec<usize> = harness.arrivals.values().map(Vec::len).collect();
    assert_eq!(n, [1], "it ran once");
    assert!(harness.ask_held(1, &format!("again/{id}")).ends_with("stat:MAYHAVERUN"));
}

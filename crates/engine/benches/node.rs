//! Measures the cost of one message in a node without sockets: the whole path from submit_sm to the
//! acknowledged receipt, with the bytes of both sides, on a virtual clock, by number of destinations,
//! sessions and rules. Also measures the memory of a session and of a held message. Figures are for one core
//! of the machine used; compare them within one run.
//!
//! `cargo bench -p heronroute-engine --bench node`

use bytes::BytesMut;
use heronroute_config::parse;
use heronroute_engine::front::Speaks;
use heronroute_engine::{CloseReason, Node, Output, Start};
use heronroute_rules::seam::Apply;
use heronroute_rules::{Plan, Rule, RuleLimits, RuleSet};
use heronroute_smpp::client;
use heronroute_smpp::server::{Event, Limits, Mode, Session};
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use rusmpp_core::CommandStatus;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Instant;

const LIMITS: Limits = Limits {
    session_init: 1 << 50,
    enquire_every: 1 << 50,
    inactivity: 1 << 50,
    response: 1 << 50,
    window: 100_000,
    max_pdu: 70_000,
};

/// A node with in-memory clients and receivers that respond at once.
struct Harness {
    node: Node,
    now: i64,
    receivers: BTreeMap<u64, Session>,
    clients: BTreeMap<u64, client::Session>,
    answered: usize,
    receivers_respond: bool,
}

fn settings(destinations: usize, slots: usize, room: usize) -> String {
    let mut text = format!(
        "service {{ slots: {slots} room: {room} owed_room: {room} quantum: \"0s\" }} \
         smpp {{ sessions: 1000000 window: 60000 enquire_every: \"8000h\" inactivity: \"8000h\" \
         response: \"8000h\" }} \
         client {{ system_id: \"c\" password: \"p\" }} \
         class {{ name: \"RESP\" effect: \"guarded\" window: \"60s\" deadline: \"1h\" aim: \"30m\" }} \
         kind {{ name: \"k\" protocol: \"smpp\" window: 32 }}\n"
    );
    for d in 1..=destinations {
        _ = writeln!(text, "route {{ prefix: \"{d:06}\" destination: {d} }}");
        _ = writeln!(
            text,
            "endpoint {{ name: \"e{d}\" address: \"127.0.0.1:{}\" destination: {d} kind: \"k\" }}",
            1_000 + d
        );
    }
    text
}

impl Harness {
    fn new(destinations: usize, slots: usize, room: usize) -> Self {
        Harness::with_settings(destinations, slots, room, "", false)
    }

    fn with_settings(destinations: usize, slots: usize, room: usize, more: &str, fleet: bool) -> Self {
        let text = format!("{} {more}", settings(destinations, slots, room));
        let cfg = Arc::new(parse("bench", &text).expect("settings"));
        let start = Start {
            index: 0,
            seed: 1,
            now: 0,
            wall: 1 << 50,
            list: 0,
            kept: None,
            state: None,
            journal_usage: heronroute_journal::Usage::default(),
            fleet,
        };
        let node = Node::new(cfg, start).expect("node");
        let (receivers, clients) = (BTreeMap::new(), BTreeMap::new());
        let mut harness = Harness { node, now: 0, receivers, clients, answered: 0, receivers_respond: true };
        harness.settle();
        harness
    }

    fn connect(&mut self, n: usize) -> Vec<u64> {
        let mut conns = Vec::new();
        for _ in 0..n {
            let mut out = BytesMut::new();
            let session = client::Session::bind(0, LIMITS, Mode::Transceiver, "c", "p", &mut out);
            let conn = self.node.accepted(self.now, Speaks::Smpp, &out).expect("room");
            self.clients.insert(conn, session);
            conns.push(conn);
        }
        self.settle();
        conns
    }

    fn submit(&mut self, conn: u64, destination: usize, n: usize) {
        let s = Submission {
            service: "RESP".into(),
            source: "a".into(),
            destination: format!("{destination:06}{n:06}"),
            wanted: ReceiptRequest::Always,
            body: b"a response of ordinary length, as they are: 0123456789".to_vec(),
            ..Submission::default()
        };
        let mut out = BytesMut::new();
        if let Some(session) = self.clients.get_mut(&conn) {
            session.request(self.now, s.submit(None), &mut out);
        }
        self.node.received(self.now, conn, &out);
    }

    /// Transfers bytes in both directions until there is nothing left to transfer.
    fn settle(&mut self) {
        loop {
            self.now += 100;
            self.node.settle(self.now);
            let outputs = self.node.outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                match output {
                    Output::Connect { conn, .. } => {
                        self.receivers.insert(conn, Session::new(0, LIMITS));
                        self.node.connected(self.now, conn);
                    }
                    Output::Write(conn) => self.transfer(conn),
                    Output::Finish(conn) | Output::Drop(conn) => {
                        self.receivers.remove(&conn);
                        self.clients.remove(&conn);
                        self.node.closed(self.now, conn, CloseReason::Ended);
                    }
                    Output::SaveList(_)
                    | Output::Journal(_)
                    | Output::Live(_)
                    | Output::ClientRequest(_)
                    | Output::Copying
                    | Output::Inherited(_) => {}
                }
            }
        }
    }

    fn transfer(&mut self, conn: u64) {
        let bytes = self.node.pending(conn).to_vec();
        self.node.wrote(conn, bytes.len());
        let mut reply = BytesMut::new();
        if let Some(session) = self.clients.get_mut(&conn) {
            let mut events = Vec::new();
            session.receive(self.now, &bytes, &mut reply, &mut events);
            self.answered += events.iter().filter(|e| matches!(e, client::Event::Delivered(_))).count();
        } else if let Some(session) = self.receivers.get_mut(&conn) {
            let mut events = Vec::new();
            session.receive(self.now, 0, &bytes, &mut reply, &mut events);
            for event in events {
                match event {
                    Event::Bind { sequence, .. } => session.accept(0, sequence, "r", &mut reply),
                    Event::Submit { sequence, .. } if self.receivers_respond => {
                        session.submitted(sequence, "1", CommandStatus::EsmeRok, vec![], &mut reply);
                    }
                    _ => {}
                }
            }
        }
        if !reply.is_empty() {
            self.node.received(self.now, conn, &reply);
        }
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|p| p.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

/// Returns the microseconds for one message, submitted in groups of 16.
fn message_cost(destinations: usize, sessions: usize, messages: usize) -> f64 {
    let mut harness = Harness::new(destinations, 256, 20_000);
    let conns = harness.connect(sessions);
    let mut n = 0;
    let mut run_messages = |harness: &mut Harness, count: usize| {
        let until = n + count;
        while n < until {
            for _ in 0..16 {
                n += 1;
                harness.submit(conns[n % sessions], 1 + n * 7 % destinations, n % 1_000_000);
            }
            harness.settle();
        }
    };
    run_messages(&mut harness, messages / 4);
    let before = harness.answered;
    let start = Instant::now();
    run_messages(&mut harness, messages);
    let spent = start.elapsed().as_secs_f64();
    spent * 1e6 / (harness.answered - before).max(1) as f64
}

/// Returns the microseconds to accept a message, before any decision, for a client with `rules` rules; `None`
/// is a node in no fleet. A quarter of the rules match by the address prefix of a destination, the others by
/// longer prefixes.
fn acceptance_cost(rules: Option<usize>) -> f64 {
    let mut harness = Harness::with_settings(20, 16, 400_000, "held { }", rules.is_some());
    harness.receivers_respond = false;
    let rule = |i: usize| {
        let (d, more) =
            (1 + i % 20, if i.is_multiple_of(4) { String::new() } else { format!("{:03}", i % 1_000) });
        let limits = match i % 3 {
            0 => RuleLimits { validity: Some(3_000_000_000), ..RuleLimits::default() },
            1 => RuleLimits { answer_for: Some(60_000_000), ..RuleLimits::default() },
            _ => RuleLimits { hold_count: Some(1_000), ..RuleLimits::default() },
        };
        let class = if i.is_multiple_of(2) { "RESP".to_string() } else { String::new() };
        Rule { name: format!("r{i}"), class, to: format!("{d:06}{more}"), key: String::new(), limits }
    };
    let set = RuleSet { version: 1, rules: (0..rules.unwrap_or(0)).map(rule).collect() };
    let apply = Apply {
        client: "c".into(),
        set: Arc::new(set),
        turn: Default::default(),
        plan: Arc::new(Plan::default()),
        certain: true,
    };
    harness.node.apply(harness.now, apply);
    let conns = harness.connect(10);
    let n = 60_000;
    let start = Instant::now();
    for i in 0..n {
        harness.submit(conns[i % 10], 1 + i % 20, i);
    }
    start.elapsed().as_secs_f64() * 1e6 / n as f64
}

/// Measures the cases in turns, and prints for each the least cost and the median of its ratio to the first
/// case of the same round: a disturbance then affects all cases of a round alike.
fn compare_rule_counts() {
    let cases = [None, Some(0), Some(10), Some(1_000)];
    let rounds: Vec<[f64; 4]> = (0..9).map(|_| cases.map(acceptance_cost)).collect();
    println!("cost of a hand-in in microseconds by rules of its client, beside a node in no fleet:");
    for (at, case) in cases.iter().enumerate() {
        let name = case.map_or("no fleet".to_string(), |n| format!("{n} rules"));
        let least = |at: usize| rounds.iter().map(|round| round[at]).fold(f64::INFINITY, f64::min);
        let mut ratios: Vec<f64> = rounds.iter().map(|round| round[at] / round[0]).collect();
        ratios.sort_by(f64::total_cmp);
        let (cost, ratio) = (least(at), least(at) / least(0));
        println!("  {name:>10}: {cost:>6.2}, {ratio:.3} of that without, median of rounds {:.3}", ratios[4]);
    }
}

fn main() {
    if std::env::args().any(|a| a == "rules") {
        return compare_rule_counts();
    }
    // With a number as argument, runs that many messages once and nothing else, for profilers.
    if let Some(n) = std::env::args().find_map(|a| a.parse().ok()) {
        return println!("{:.1}", message_cost(200, 100, n));
    }
    // Memory is measured first: later, memory that other cases freed would be reused and not show.
    let mut harness = Harness::new(20, 256, 200_000);
    harness.connect(1_000);
    let before = resident_bytes();
    harness.connect(20_000);
    println!(
        "memory of one idle session: {:.0} octets (our in-memory client included)",
        (resident_bytes() - before) / 2e4
    );
    drop(harness);
    let mut harness = Harness::new(20, 16, 400_000);
    harness.receivers_respond = false;
    let conns = harness.connect(10);
    let before = resident_bytes();
    let n = 100_000;
    let start = Instant::now();
    for i in 0..n {
        harness.submit(conns[i % 10], 1 + i % 20, i);
    }
    let took = start.elapsed().as_secs_f64() * 1e6 / n as f64;
    println!(
        "memory of one held message: {:.0} octets, {took:.1} us to take it on (before any decision)",
        (resident_bytes() - before) / n as f64
    );
    println!("cost of one message in microseconds, whole path in memory:");
    for destinations in [20, 200, 2_000] {
        println!(
            "  {destinations:>5} destinations, 100 sessions: {:>7.1}",
            message_cost(destinations, 100, 40_000)
        );
    }
    for sessions in [10, 100, 1_000, 10_000] {
        println!("  {sessions:>5} sessions, 200 destinations:  {:>7.1}", message_cost(200, sessions, 40_000));
    }
    compare_rule_counts();
}

//! 100,000 held messages let go into one destination that returns, beside live traffic, on a virtual clock: time to
//! empty, what the destination had to turn away, and live traffic's timeliness beside the same without a backlog.
//!
//! `cargo bench -p heronroute-engine --bench release`

use bytes::BytesMut;
use heronroute_config::parse;
use heronroute_engine::front::Speaks;
use heronroute_engine::{ConnId, Node, Output, Start};
use heronroute_held::{Trail, What};
use heronroute_journal::JournalState;
use heronroute_journal::entry::{Accepted, Held};
use heronroute_smpp::client::{Event, Session as Client};
use heronroute_smpp::receipt::Receipt;
use heronroute_smpp::server::{self, Limits, Mode, Session};
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use heronroute_standins::mqtt::{Hand, MqttClient, Who};
use rusmpp_core::CommandStatus;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

const MS: i64 = 1_000;
const LIMITS: Limits = Limits {
    session_init: 1 << 50,
    enquire_every: 1 << 50,
    inactivity: 1 << 50,
    response: 1 << 50,
    window: 100_000,
    max_pdu: 70_000,
};
/// The destination serves so many at once, each in this time: 500 a second. What comes beyond waits there, up to a
/// hundred; the rest is turned away.
const WIDTH: usize = 10;
const QUEUE: usize = 100;
const PACE: i64 = 20 * MS;

#[derive(Default)]
struct World {
    receivers: BTreeMap<ConnId, Session>,
    due: BTreeSet<(i64, ConnId, u32)>,
    /// When each of its servers is free.
    free: [i64; WIDTH],
    served: u64,
    turned_away: u64,
    worst_second: u64,
    this_second: u64,
    took: Vec<i64>,
    live: u64,
    refused: u64,
    sent: BTreeMap<String, i64>,
    asked: BTreeMap<u32, i64>,
}

fn start(held: u64, now: i64) -> Node {
    let text = "service { slots: 256 room: 2000 max_attempts: 8 quantum: \"1ms\" } \
        smpp { enquire_every: \"8000h\" inactivity: \"8000h\" response: \"8000h\" window: 60000 } \
        mqtt { listen: \"127.0.0.1:0\" keep_alive: \"0s\" } held { count: 1000000 octets: \"1GiB\" } \
        client { system_id: \"c\" password: \"secret\" } client { system_id: \"d\" password: \"secret\" } \
        class { name: \"PAY\" effect: \"single_shot\" deadline: \"10s\" aim: \"1s\" } \
        kind { name: \"k\" protocol: \"smpp\" window: 64 } route { prefix: \"1\" destination: 1 } \
        endpoint { name: \"a\" address: \"127.0.0.1:1001\" destination: 1 kind: \"k\" }";
    let mut state = JournalState::default();
    for i in 0..held {
        let taken = now - 3_600_000_000 + i as i64 * 10 * MS;
        let mut trail = Trail::new(taken, 0);
        trail.add(taken + 10_000 * MS, What::Answered(4), 64);
        let id = (taken as u64) << 6;
        let accepted = Accepted {
            id,
            client: "c".into(),
            class: "PAY".into(),
            destination: format!("1{i:06}"),
            dest: 1,
            body: vec![b'x'; 60],
            taken,
            wanted: 1,
            ..Accepted::default()
        };
        let names = vec!["smpp/".to_string()];
        state.held.insert(id, Held { accepted: Some(accepted), trail: trail.write(), names });
    }
    let cfg = Arc::new(parse("bench", text).expect("settings"));
    Node::new(
        cfg,
        Start { index: 0, seed: 4, now, wall: now, list: 0, kept: None, state: Some(state), fleet: false },
    )
    .expect("node")
}

/// Runs until the backlog is gone, or so many seconds have passed. Live messages a second beside it.
fn run(held: u64, live: i64, seconds: i64) -> (World, i64, f64) {
    let began = Instant::now();
    let mut now = 1 << 50;
    let first = now;
    let mut node = start(held, now);
    let mut w = World::default();
    let mut out = BytesMut::new();
    let mut client = Client::bind(now, LIMITS, Mode::Transceiver, "d", "secret", &mut out);
    let smpp = node.accepted(now, Speaks::Smpp, &out).expect("room");
    // The owner takes its answers: else it would be let in no more, and its backlog with it.
    out.clear();
    let mut owner = Client::bind(now, LIMITS, Mode::Receiver, "c", "secret", &mut out);
    let owners = node.accepted(now, Speaks::Smpp, &out).expect("room");
    let mut clerk = MqttClient::new(Who::new(true, "c", "clerk"));
    out.clear();
    clerk.connect(&mut out);
    let mqtt = node.accepted(now, Speaks::Mqtt, &out).expect("room");
    let (mut written, mut next, mut asked) = (0, now + 100 * MS, held == 0);
    while (now - first) / 1_000_000 < seconds {
        now += MS;
        if (now - first) % 1_000_000 == 0 {
            w.worst_second = w.worst_second.max(w.this_second);
            w.this_second = 0;
        }
        while live > 0 && next <= now && client.bound() {
            next += 1_000_000 / live;
            let s = Submission {
                service: "PAY".into(),
                destination: format!("1{:06}", w.live),
                wanted: ReceiptRequest::Always,
                body: vec![b'y'; 60],
                ..Submission::default()
            };
            w.live += 1;
            out.clear();
            w.asked.insert(client.request(now, s.submit(None), &mut out), now);
            node.received(now, smpp, &out);
        }
        while let Some((_, conn, sequence)) = w.due.first().copied().filter(|d| d.0 <= now) {
            w.due.pop_first();
            out.clear();
            if let Some(session) = w.receivers.get_mut(&conn) {
                session.submitted(sequence, "r", CommandStatus::EsmeRok, vec![], &mut out);
                node.received(now, conn, &out);
            }
        }
        node.settle(now);
        for _ in 0..50 {
            let outputs = node.outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                match output {
                    Output::Connect { conn, .. } => {
                        w.receivers.insert(conn, Session::new(0, LIMITS));
                        node.connected(now, conn);
                    }
                    Output::Write(conn) => {
                        let octets = node.pending(conn).to_vec();
                        node.wrote(conn, octets.len());
                        let mut back = BytesMut::new();
                        if conn == mqtt {
                            let mut heard = Vec::new();
                            clerk.receive(&octets, &mut back, &mut heard);
                            if !asked {
                                asked = true;
                                let hand = Hand { topic: "held/release".into(), qos: 1, ..Hand::default() };
                                clerk.publish(&hand, &mut back);
                            }
                        } else if conn == owners {
                            owner.receive(now, &octets, &mut back, &mut Vec::new());
                        } else if conn == smpp {
                            client_heard(now, &mut client, &octets, &mut back, &mut w);
                        } else {
                            receiver_heard(now, conn, &octets, &mut back, &mut w);
                        }
                        if !back.is_empty() {
                            node.received(now, conn, &back);
                        }
                    }
                    Output::Journal(entries) => {
                        written += entries.len() as u64;
                        node.durable(now, written, heronroute_journal::Usage::default());
                    }
                    _ => {}
                }
            }
            node.settle(now);
        }
        if held > 0 && w.served >= held && (now - first) % 1_000_000 == 0 && node.held_for_clients() == 0 {
            break;
        }
    }
    (w, now - first, began.elapsed().as_secs_f64())
}

fn client_heard(now: i64, client: &mut Client, octets: &[u8], back: &mut BytesMut, w: &mut World) {
    let mut events = Vec::new();
    client.receive(now, octets, back, &mut events);
    for event in events {
        match event {
            Event::Response { sequence, status, id, .. } => {
                let sent = w.asked.remove(&sequence).unwrap_or(now);
                if status == CommandStatus::EsmeRok {
                    w.sent.insert(id, sent);
                } else {
                    w.refused += 1;
                }
            }
            Event::Delivered(sm) => {
                let (id, answer) = Receipt::read(&sm).expect("a receipt");
                let sent = w.sent.remove(&id).unwrap_or(now);
                if answer == heronroute_smpp::receipt::Answer::Delivered {
                    w.took.push(now - sent);
                }
            }
            _ => {}
        }
    }
}

fn receiver_heard(now: i64, conn: ConnId, octets: &[u8], back: &mut BytesMut, w: &mut World) {
    let Some(session) = w.receivers.get_mut(&conn) else { return };
    let mut events = Vec::new();
    session.receive(now, 0, octets, back, &mut events);
    for event in events {
        match event {
            server::Event::Bind { sequence, .. } => session.accept(now, sequence, "r", back),
            server::Event::Submit { sequence, .. } if w.due.len() >= WIDTH + QUEUE => {
                w.turned_away += 1;
                w.this_second += 1;
                session.submitted(sequence, "", CommandStatus::EsmeRthrottled, vec![], back);
            }
            server::Event::Submit { sequence, .. } => {
                w.served += 1;
                w.free.sort_unstable();
                w.free[0] = w.free[0].max(now) + PACE;
                w.due.insert((w.free[0], conn, sequence));
            }
            _ => {}
        }
    }
}

fn main() {
    for (held, live) in [(0, 100), (100_000, 0), (100_000, 100), (100_000, 300)] {
        let (mut w, span, took) = run(held, live, if held == 0 { 60 } else { 3_000 });
        w.took.sort_unstable();
        let at = |q: f64| {
            let at = ((w.took.len() as f64 * q) as usize).min(w.took.len().saturating_sub(1));
            w.took.get(at).map_or(0.0, |t| *t as f64 / 1e3)
        };
        let timely = w.took.iter().filter(|t| **t <= 1_000_000).count() as f64 / w.live.max(1) as f64;
        println!(
            "held {held}, live {live}/s: {:.0} s of its clock ({took:.0} s here), served {} ({:.0}/s), turned away {} \
             (most in a second {}); live in time {:.1} %, refused {}, p50 {:.0} ms, p99 {:.0} ms",
            span as f64 / 1e6,
            w.served,
            w.served as f64 / (span as f64 / 1e6),
            w.turned_away,
            w.worst_second,
            timely * 100.0,
            w.refused,
            at(0.5),
            at(0.99)
        );
    }
}

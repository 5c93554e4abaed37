//! Releases 100,000 held messages to one destination that has recovered, beside live traffic, on a virtual
//! clock. Reports the time to empty the backlog, the messages that the destination rejected, and the
//! timeliness of live traffic with and without a backlog.
//!
//! `cargo bench -p heronroute-engine --bench release`

use bytes::BytesMut;
use heronroute_config::parse;
use heronroute_engine::front::Speaks;
use heronroute_engine::{ConnId, Node, Output, Start};
use heronroute_held::{Trail, What};
use heronroute_journal::entry::{Accepted, Held};
use heronroute_journal::{JournalState, Usage};
use heronroute_smpp::client::{Event, Session as Client};
use heronroute_smpp::receipt::Receipt;
use heronroute_smpp::server::{self, Limits, Mode, Session};
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use heronroute_standins::mqtt::{ClientOptions, MqttClient, Publication};
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
/// The destination serves 10 messages at a time, each in 20 ms: 500 a second. Up to 100 more are queued
/// there; the rest are rejected.
const PARALLEL_SERVERS: usize = 10;
const MAX_QUEUED: usize = 100;
const SERVICE_TIME: i64 = 20 * MS;

#[derive(Default)]
struct Observed {
    receivers: BTreeMap<ConnId, Session>,
    pending_responses: BTreeSet<(i64, ConnId, u32)>,
    /// The time at which each of the destination's servers is free.
    free_at: [i64; PARALLEL_SERVERS],
    served: u64,
    rejected: u64,
    most_rejected_in_a_second: u64,
    rejected_this_second: u64,
    /// The latencies of live messages that were delivered, in microseconds.
    latencies: Vec<i64>,
    live_submitted: u64,
    refused: u64,
    /// When each accepted message was sent, by identity.
    sent_at: BTreeMap<String, i64>,
    /// When each request was sent, by sequence number.
    submitted_at: BTreeMap<u32, i64>,
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
        Start {
            index: 0,
            seed: 4,
            now,
            wall: now,
            list: 0,
            kept: None,
            state: Some(state),
            journal_usage: Usage::default(),
            fleet: false,
        },
    )
    .expect("node")
}

/// Runs until the backlog is gone or `seconds` have passed, with `live` live messages a second. Returns what
/// was observed, the span on the virtual clock in microseconds, and the seconds taken.
fn run(held: u64, live: i64, seconds: i64) -> (Observed, i64, f64) {
    let wall_start = Instant::now();
    let mut now = 1 << 50;
    let first = now;
    let mut node = start(held, now);
    let mut observed = Observed::default();
    let mut out = BytesMut::new();
    let mut client = Client::bind(now, LIMITS, Mode::Transceiver, "d", "secret", &mut out);
    let smpp = node.accepted(now, Speaks::Smpp, &out).expect("room");
    // The owner acknowledges its answers; otherwise its messages, and with them its backlog, would be
    // refused.
    out.clear();
    let mut owner = Client::bind(now, LIMITS, Mode::Receiver, "c", "secret", &mut out);
    let owner_conn = node.accepted(now, Speaks::Smpp, &out).expect("room");
    let mut mqtt_client = MqttClient::new(ClientOptions::new(true, "c", "clerk"));
    out.clear();
    mqtt_client.connect(&mut out);
    let mqtt = node.accepted(now, Speaks::Mqtt, &out).expect("room");
    let (mut committed_entries, mut next, mut release_requested) = (0, now + 100 * MS, held == 0);
    while (now - first) / 1_000_000 < seconds {
        now += MS;
        if (now - first) % 1_000_000 == 0 {
            observed.most_rejected_in_a_second =
                observed.most_rejected_in_a_second.max(observed.rejected_this_second);
            observed.rejected_this_second = 0;
        }
        while live > 0 && next <= now && client.bound() {
            next += 1_000_000 / live;
            let s = Submission {
                service: "PAY".into(),
                destination: format!("1{:06}", observed.live_submitted),
                wanted: ReceiptRequest::Always,
                body: vec![b'y'; 60],
                ..Submission::default()
            };
            observed.live_submitted += 1;
            out.clear();
            observed.submitted_at.insert(client.request(now, s.submit(None), &mut out), now);
            node.received(now, smpp, &out);
        }
        while let Some((_, conn, sequence)) =
            observed.pending_responses.first().copied().filter(|d| d.0 <= now)
        {
            observed.pending_responses.pop_first();
            out.clear();
            if let Some(session) = observed.receivers.get_mut(&conn) {
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
                        observed.receivers.insert(conn, Session::new(0, LIMITS));
                        node.connected(now, conn);
                    }
                    Output::Write(conn) => {
                        let bytes = node.pending(conn).to_vec();
                        node.wrote(conn, bytes.len());
                        let mut reply = BytesMut::new();
                        if conn == mqtt {
                            let mut heard = Vec::new();
                            mqtt_client.receive(&bytes, &mut reply, &mut heard);
                            if !release_requested {
                                release_requested = true;
                                let message = Publication {
                                    topic: "held/release".into(),
                                    qos: 1,
                                    ..Publication::default()
                                };
                                mqtt_client.publish(&message, &mut reply);
                            }
                        } else if conn == owner_conn {
                            owner.receive(now, &bytes, &mut reply, &mut Vec::new());
                        } else if conn == smpp {
                            client_received(now, &mut client, &bytes, &mut reply, &mut observed);
                        } else {
                            receiver_received(now, conn, &bytes, &mut reply, &mut observed);
                        }
                        if !reply.is_empty() {
                            node.received(now, conn, &reply);
                        }
                    }
                    Output::Journal(entries) => {
                        committed_entries += entries.len() as u64;
                        node.durable(now, committed_entries, heronroute_journal::Usage::default());
                    }
                    _ => {}
                }
            }
            node.settle(now);
        }
        if held > 0
            && observed.served >= held
            && (now - first) % 1_000_000 == 0
            && node.held_for_clients() == 0
        {
            break;
        }
    }
    (observed, now - first, wall_start.elapsed().as_secs_f64())
}

fn client_received(
    now: i64,
    client: &mut Client,
    bytes: &[u8],
    reply: &mut BytesMut,
    observed: &mut Observed,
) {
    let mut events = Vec::new();
    client.receive(now, bytes, reply, &mut events);
    for event in events {
        match event {
            Event::Response { sequence, status, id, .. } => {
                let sent = observed.submitted_at.remove(&sequence).unwrap_or(now);
                if status == CommandStatus::EsmeRok {
                    observed.sent_at.insert(id, sent);
                } else {
                    observed.refused += 1;
                }
            }
            Event::Delivered(sm) => {
                let (id, answer) = Receipt::read(&sm).expect("a receipt");
                let sent = observed.sent_at.remove(&id).unwrap_or(now);
                if answer == heronroute_smpp::receipt::Answer::Delivered {
                    observed.latencies.push(now - sent);
                }
            }
            _ => {}
        }
    }
}

fn receiver_received(now: i64, conn: ConnId, bytes: &[u8], reply: &mut BytesMut, observed: &mut Observed) {
    let Some(session) = observed.receivers.get_mut(&conn) else { return };
    let mut events = Vec::new();
    session.receive(now, 0, bytes, reply, &mut events);
    for event in events {
        match event {
            server::Event::Bind { sequence, .. } => session.accept(now, sequence, "r", reply),
            server::Event::Submit { sequence, .. }
                if observed.pending_responses.len() >= PARALLEL_SERVERS + MAX_QUEUED =>
            {
                observed.rejected += 1;
                observed.rejected_this_second += 1;
                session.submitted(sequence, "", CommandStatus::EsmeRthrottled, vec![], reply);
            }
            server::Event::Submit { sequence, .. } => {
                observed.served += 1;
                observed.free_at.sort_unstable();
                observed.free_at[0] = observed.free_at[0].max(now) + SERVICE_TIME;
                observed.pending_responses.insert((observed.free_at[0], conn, sequence));
            }
            _ => {}
        }
    }
}

fn main() {
    for (held, live) in [(0, 100), (100_000, 0), (100_000, 100), (100_000, 300)] {
        let (mut observed, span, took) = run(held, live, if held == 0 { 60 } else { 3_000 });
        observed.latencies.sort_unstable();
        let at = |q: f64| {
            let at = ((observed.latencies.len() as f64 * q) as usize)
                .min(observed.latencies.len().saturating_sub(1));
            observed.latencies.get(at).map_or(0.0, |t| *t as f64 / 1e3)
        };
        let timely = observed.latencies.iter().filter(|t| **t <= 1_000_000).count() as f64
            / observed.live_submitted.max(1) as f64;
        println!(
            "held {held}, live {live}/s: {:.0} s of its clock ({took:.0} s here), served {} ({:.0}/s), turned away {} \
             (most in a second {}); live in time {:.1} %, refused {}, p50 {:.0} ms, p99 {:.0} ms",
            span as f64 / 1e6,
            observed.served,
            observed.served as f64 / (span as f64 / 1e6),
            observed.rejected,
            observed.most_rejected_in_a_second,
            timely * 100.0,
            observed.refused,
            at(0.5),
            at(0.99)
        );
    }
}

//! Power loss at steps of the disk, on a virtual clock: everything in memory is lost, the node restarts from
//! the data that is durable, and at the end all answers and all arrivals at receivers are checked. Bytes are
//! transferred before the journal commits, so that an answer or a message that is sent too early is seen.

mod rig;

use bytes::BytesMut;
use heronroute_config::{Config, parse};
use heronroute_engine::front::Speaks;
use heronroute_engine::{CloseReason, ConnId, Node, Output, Start};
use heronroute_journal::disk::{Disk, Faults};
use heronroute_journal::{Entry, Journal};
use heronroute_smpp::client::{Event, Session as Client};
use heronroute_smpp::receipt::{Answer, Receipt};
use heronroute_smpp::server::{self, Mode, Session};
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use rig::{LIMITS, SMALL, TestRng, commit};
use rusmpp_core::CommandStatus;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const MS: i64 = 1_000;

fn settings() -> Arc<Config> {
    let text = "service { slots: 16 room: 500 max_attempts: 6 quantum: \"1ms\" } \
        smpp { enquire_every: \"1h\" inactivity: \"8h\" response: \"1h\" } \
        rules { order_settle: \"100ms\" warm_up: \"1s\" } \
        client { system_id: \"c\" password: \"p\" } \
        class { name: \"PAY\" effect: \"single_shot\" deadline: \"4s\" } \
        class { name: \"RESP\" effect: \"guarded\" window: \"2s\" deadline: \"4s\" } \
        class { name: \"STAT\" effect: \"free\" deadline: \"4s\" } \
        kind { name: \"k\" protocol: \"smpp\" window: 4 } \
        route { prefix: \"1\" destination: 1 } route { prefix: \"2\" destination: 2 } \
        endpoint { name: \"a\" address: \"127.0.0.1:1001\" destination: 1 kind: \"k\" } \
        endpoint { name: \"b\" address: \"127.0.0.1:1002\" destination: 2 kind: \"k\" }";
    Arc::new(parse("crash", text).unwrap())
}

/// What clients and receivers have seen; it survives a crash of the sender.
#[derive(Default)]
struct Observed {
    /// The class of each accepted message.
    accepted: BTreeMap<String, usize>,
    answers: BTreeMap<String, Vec<Answer>>,
    /// The times at which receivers got each message without rejecting it.
    arrivals: BTreeMap<String, Vec<i64>>,
    submitted: usize,
}

/// A sender's process from a start to a crash.
struct Process {
    node: Node,
    journal: Journal<Disk>,
    committed_entries: u64,
    uncommitted: Vec<Vec<Entry>>,
    client: Option<(ConnId, Client, BTreeMap<u32, usize>)>,
    receivers: BTreeMap<ConnId, Session>,
    /// Responses that receivers have yet to send: time, connection, sequence number, status.
    pending_responses: BTreeSet<(i64, ConnId, u32, u32)>,
}

fn start(cfg: &Arc<Config>, disk: Disk, now: i64) -> Option<Process> {
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
    let (client, receivers, pending_responses) = (None, BTreeMap::new(), BTreeSet::new());
    Some(Process {
        node,
        journal,
        committed_entries: 0,
        uncommitted: Vec::new(),
        client,
        receivers,
        pending_responses,
    })
}

impl Process {
    /// Advances the clock by one millisecond. Returns false once the disk has lost power.
    fn advance_one_ms(
        &mut self,
        now: i64,
        observed: &mut Observed,
        rng: &mut TestRng,
        submitting: bool,
    ) -> bool {
        if self.client.is_none() {
            let mut out = BytesMut::new();
            let session = Client::bind(now, LIMITS, Mode::Transceiver, "c", "p", &mut out);
            let conn = self.node.accepted(now, Speaks::Smpp, &out).unwrap();
            self.client = Some((conn, session, BTreeMap::new()));
        } else if submitting && rng.below(3) == 0 {
            self.submit(now, observed, rng);
        }
        while let Some((_, conn, sequence, status)) =
            self.pending_responses.first().copied().filter(|d| d.0 <= now)
        {
            self.pending_responses.pop_first();
            let mut out = BytesMut::new();
            if let Some(session) = self.receivers.get_mut(&conn) {
                session.submitted(sequence, "r", CommandStatus::from(status), vec![], &mut out);
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
                    Output::Connect { conn, .. } => {
                        self.receivers.insert(conn, Session::new(0, LIMITS));
                        self.node.connected(now, conn);
                    }
                    Output::Write(conn) => self.transfer(now, conn, observed, rng),
                    Output::Finish(conn) | Output::Drop(conn) => {
                        self.receivers.remove(&conn);
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
        // The journal commits last, all waiting entries at once.
        commit(&mut self.node, &mut self.journal, &mut self.uncommitted, &mut self.committed_entries, now)
    }

    fn submit(&mut self, now: i64, observed: &mut Observed, rng: &mut TestRng) {
        let Some((conn, session, submitted_classes)) = &mut self.client else { return };
        if !session.bound() {
            return;
        }
        let class = rng.below(3) as usize;
        observed.submitted += 1;
        let s = Submission {
            service: ["PAY", "RESP", "STAT"][class].into(),
            destination: format!("{}{:06}", 1 + rng.below(2), observed.submitted),
            wanted: ReceiptRequest::Always,
            body: vec![1; 20],
            ..Submission::default()
        };
        let mut out = BytesMut::new();
        submitted_classes.insert(session.request(now, s.submit(None), &mut out), class);
        let conn = *conn;
        self.node.received(now, conn, &out);
    }

    fn transfer(&mut self, now: i64, conn: ConnId, observed: &mut Observed, rng: &mut TestRng) {
        let bytes = self.node.pending(conn).to_vec();
        self.node.wrote(conn, bytes.len());
        let mut reply = BytesMut::new();
        if let Some((client_conn, session, submitted_classes)) = &mut self.client
            && *client_conn == conn
        {
            let mut events = Vec::new();
            session.receive(now, &bytes, &mut reply, &mut events);
            for event in events {
                match event {
                    Event::Response { sequence, status: CommandStatus::EsmeRok, id, .. } => {
                        let class = submitted_classes.remove(&sequence).unwrap();
                        observed.accepted.insert(id, class);
                    }
                    Event::Delivered(sm) => {
                        let (id, answer) = Receipt::read(&sm).unwrap();
                        observed.answers.entry(id).or_default().push(answer);
                    }
                    _ => {}
                }
            }
        } else if let Some(session) = self.receivers.get_mut(&conn) {
            let mut events = Vec::new();
            session.receive(now, 0, &bytes, &mut reply, &mut events);
            for event in events {
                match event {
                    server::Event::Bind { sequence, .. } => session.accept(now, sequence, "r", &mut reply),
                    server::Event::Submit { sequence, submission, .. } => {
                        let id = submission.identity.clone().unwrap();
                        let after = now + (1 + rng.below(30) as i64) * MS;
                        match rng.below(12) {
                            0 => _ = self.pending_responses.insert((after, conn, sequence, 0x58)),
                            1 => observed.arrivals.entry(id).or_default().push(now),
                            _ => {
                                observed.arrivals.entry(id).or_default().push(now);
                                self.pending_responses.insert((after, conn, sequence, 0));
                            }
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

/// Returns the first broken guarantee as an error.
fn check_outcomes(observed: &Observed) -> Result<(), String> {
    for (id, class) in &observed.accepted {
        let answers = observed.answers.get(id).ok_or(format!("{id} was accepted and never answered"))?;
        if answers.iter().any(|a| a != &answers[0]) {
            return Err(format!("{id} got different answers: {answers:?}"));
        }
        let none = Vec::new();
        let arrivals = observed.arrivals.get(id).unwrap_or(&none);
        if *class == 0 && arrivals.len() > 1 {
            return Err(format!("{id} is single-shot and arrived {} times", arrivals.len()));
        }
        if *class == 1 && arrivals.iter().any(|t| t - arrivals[0] > 2_000 * MS) {
            return Err(format!("{id} was repeated after its window"));
        }
        match answers[0] {
            Answer::Delivered if arrivals.is_empty() => {
                return Err(format!("{id} was reported delivered and never arrived"));
            }
            Answer::Delivered | Answer::Unknown { .. } => {}
            _ if !arrivals.is_empty() => return Err(format!("{id} was reported as not run and arrived")),
            _ => {}
        }
    }
    Ok(())
}

/// Runs a workload with a power loss at step `power` of the disk (0: none), and returns the disk's steps and
/// what was seen.
fn run(cfg: &Arc<Config>, seed: u64, power: u64) -> Result<(u64, Observed), String> {
    let mut rng = TestRng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let mut observed = Observed::default();
    let mut disk = Disk::new(Faults { power, ..Faults::default() });
    let (mut now, mut losses, mut steps) = (1 << 40, 0, 0);
    let end = now + 6_000 * MS;
    while now < end {
        let Some(mut process) = start(cfg, disk.clone(), now) else {
            // Power was lost while the journal opened: retry with the data that is left.
            disk = disk.after_loss(seed + losses);
            losses += 1;
            continue;
        };
        while now < end {
            let submitting = now < end - 5_500 * MS;
            now += if submitting { MS } else { 4 * MS };
            if !process.advance_one_ms(now, &mut observed, &mut rng, submitting) {
                break;
            }
        }
        disk = process.journal.into_storage();
        steps = disk.steps;
        if now < end {
            losses += 1;
            disk = disk.after_loss(seed * 31 + power);
            now += 20 * MS;
        }
    }
    check_outcomes(&observed).map(|()| (steps, observed))
}

/// Guards against an answer or a message that leaves before its journal entry is durable: a power loss in
/// between then loses an accepted message, changes its answer, or runs it twice.
#[test]
fn power_loss_at_any_disk_step_keeps_every_guarantee() {
    let cfg = settings();
    let mut runs = 0;
    for seed in 1..=3 {
        let (steps, observed) = run(&cfg, seed, 0).unwrap();
        assert!(observed.accepted.len() > 80 && observed.answers.len() == observed.accepted.len());
        for power in (1..steps.min(1_200)).step_by(19) {
            if let Err(e) = run(&cfg, seed, power) {
                panic!("seed {seed}, power lost at step {power}: {e}");
            }
            runs += 1;
        }
    }
    assert!(runs > 100, "{runs}");
}

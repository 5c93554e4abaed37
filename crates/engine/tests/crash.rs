//! The node and its journal on a faulty disk, on a virtual clock: power is lost at every step that the disk takes,
//! everything in memory is gone, the node starts again from what the disk kept, and at the end all that was told
//! and all that arrived is checked. Octets are carried before the journal commits, so that whatever is told or
//! sent too early is seen.

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
use rig::{Dice, LIMITS, SMALL, commit};
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

/// What the world outside knows; it survives the sender.
#[derive(Default)]
struct World {
    /// Accepted messages with their class.
    accepted: BTreeMap<String, usize>,
    answers: BTreeMap<String, Vec<Answer>>,
    /// Arrivals that were not turned away, with when.
    ran: BTreeMap<String, Vec<i64>>,
    submitted: usize,
}

/// One life of a sender.
struct Life {
    node: Node,
    journal: Journal<Disk>,
    count: u64,
    waiting: Vec<Vec<Entry>>,
    client: Option<(ConnId, Client, BTreeMap<u32, usize>)>,
    receivers: BTreeMap<ConnId, Session>,
    /// Responses to come: when, connection, sequence, status.
    due: BTreeSet<(i64, ConnId, u32, u32)>,
}

fn start(cfg: &Arc<Config>, disk: Disk, now: i64) -> Option<Life> {
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
    let (client, receivers, due) = (None, BTreeMap::new(), BTreeSet::new());
    Some(Life { node, journal, count: 0, waiting: Vec::new(), client, receivers, due })
}

impl Life {
    /// A millisecond passes. False once power is lost.
    fn step(&mut self, now: i64, world: &mut World, dice: &mut Dice, handing_in: bool) -> bool {
        if self.client.is_none() {
            let mut out = BytesMut::new();
            let session = Client::bind(now, LIMITS, Mode::Transceiver, "c", "p", &mut out);
            let conn = self.node.accepted(now, Speaks::Smpp, &out).unwrap();
            self.client = Some((conn, session, BTreeMap::new()));
        } else if handing_in && dice.below(3) == 0 {
            self.submit(now, world, dice);
        }
        while let Some((_, conn, sequence, status)) = self.due.first().copied().filter(|d| d.0 <= now) {
            self.due.pop_first();
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
                    Output::Write(conn) => self.carry(now, conn, world, dice),
                    Output::Finish(conn) | Output::Drop(conn) => {
                        self.receivers.remove(&conn);
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
        // The journal comes last, and takes all that waits in one commit.
        commit(&mut self.node, &mut self.journal, &mut self.waiting, &mut self.count, now)
    }

    fn submit(&mut self, now: i64, world: &mut World, dice: &mut Dice) {
        let Some((conn, session, asked)) = &mut self.client else { return };
        if !session.bound() {
            return;
        }
        let class = dice.below(3) as usize;
        world.submitted += 1;
        let s = Submission {
            service: ["PAY", "RESP", "STAT"][class].into(),
            destination: format!("{}{:06}", 1 + dice.below(2), world.submitted),
            wanted: ReceiptRequest::Always,
            body: vec![1; 20],
            ..Submission::default()
        };
        let mut out = BytesMut::new();
        asked.insert(session.request(now, s.submit(None), &mut out), class);
        let conn = *conn;
        self.node.received(now, conn, &out);
    }

    fn carry(&mut self, now: i64, conn: ConnId, world: &mut World, dice: &mut Dice) {
        let octets = self.node.pending(conn).to_vec();
        self.node.wrote(conn, octets.len());
        let mut back = BytesMut::new();
        if let Some((mine, session, asked)) = &mut self.client
            && *mine == conn
        {
            let mut events = Vec::new();
            session.receive(now, &octets, &mut back, &mut events);
            for event in events {
                match event {
                    Event::Response { sequence, status: CommandStatus::EsmeRok, id, .. } => {
                        let class = asked.remove(&sequence).unwrap();
                        world.accepted.insert(id, class);
                    }
                    Event::Delivered(sm) => {
                        let (id, answer) = Receipt::read(&sm).unwrap();
                        world.answers.entry(id).or_default().push(answer);
                    }
                    _ => {}
                }
            }
        } else if let Some(session) = self.receivers.get_mut(&conn) {
            let mut events = Vec::new();
            session.receive(now, 0, &octets, &mut back, &mut events);
            for event in events {
                match event {
                    server::Event::Bind { sequence, .. } => session.accept(now, sequence, "r", &mut back),
                    server::Event::Submit { sequence, submission, .. } => {
                        let id = submission.identity.clone().unwrap();
                        let after = now + (1 + dice.below(30) as i64) * MS;
                        match dice.below(12) {
                            0 => _ = self.due.insert((after, conn, sequence, 0x58)),
                            1 => world.ran.entry(id).or_default().push(now),
                            _ => {
                                world.ran.entry(id).or_default().push(now);
                                self.due.insert((after, conn, sequence, 0));
                            }
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

/// What is wrong at the end, if anything is.
fn verdict(world: &World) -> Result<(), String> {
    for (id, class) in &world.accepted {
        let answers = world.answers.get(id).ok_or(format!("{id} was accepted and never answered"))?;
        if answers.iter().any(|a| a != &answers[0]) {
            return Err(format!("{id} got different answers: {answers:?}"));
        }
        let none = Vec::new();
        let ran = world.ran.get(id).unwrap_or(&none);
        if *class == 0 && ran.len() > 1 {
            return Err(format!("{id} is unsafe and ran {} times", ran.len()));
        }
        if *class == 1 && ran.iter().any(|t| t - ran[0] > 2_000 * MS) {
            return Err(format!("{id} was repeated after its window"));
        }
        match answers[0] {
            Answer::Delivered if ran.is_empty() => {
                return Err(format!("{id} is told delivered and never ran"));
            }
            Answer::Delivered | Answer::Unknown { .. } => {}
            _ if !ran.is_empty() => return Err(format!("{id} is told as not run and ran")),
            _ => {}
        }
    }
    Ok(())
}

/// A workload with power lost at a step of the disk; gives the steps taken and what was seen.
fn run(cfg: &Arc<Config>, seed: u64, power: u64) -> Result<(u64, World), String> {
    let mut dice = Dice(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let mut world = World::default();
    let mut disk = Disk::new(Faults { power, ..Faults::default() });
    let (mut now, mut losses, mut steps) = (1 << 40, 0, 0);
    let end = now + 6_000 * MS;
    while now < end {
        let Some(mut life) = start(cfg, disk.clone(), now) else {
            // Power went while opening: once more, from what that left.
            disk = disk.after_loss(seed + losses);
            losses += 1;
            continue;
        };
        while now < end {
            let handing_in = now < end - 5_500 * MS;
            now += if handing_in { MS } else { 4 * MS };
            if !life.step(now, &mut world, &mut dice, handing_in) {
                break;
            }
        }
        disk = life.journal.into_storage();
        steps = disk.steps;
        if now < end {
            losses += 1;
            disk = disk.after_loss(seed * 31 + power);
            now += 20 * MS;
        }
    }
    verdict(&world).map(|()| (steps, world))
}

#[test]
fn power_lost_at_any_step_breaks_no_promise() {
    let cfg = settings();
    let mut runs = 0;
    for seed in 1..=3 {
        let (steps, world) = run(&cfg, seed, 0).unwrap();
        assert!(world.accepted.len() > 80 && world.answers.len() == world.accepted.len());
        for power in (1..steps.min(1_200)).step_by(19) {
            if let Err(e) = run(&cfg, seed, power) {
                panic!("seed {seed}, power lost at step {power}: {e}");
            }
            runs += 1;
        }
    }
    assert!(runs > 100, "{runs}");
}

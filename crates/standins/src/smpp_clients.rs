//! Clients that speak SMPP: sessions with scripted steps, and a record of what they were told.

use crate::Micros;
use crate::actor::{Action, Actor, Conn};
use crate::schedule::Schedule;
use bytes::BytesMut;
use heronroute_audit::{Away, Submission as Accepted, Told};
use heronroute_smpp::client::{Event, Session};
use heronroute_smpp::receipt::{Answer, Receipt};
use heronroute_smpp::server::{Limits, Mode};
use heronroute_smpp::submission::Submission;
use rusmpp_core::CommandStatus;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a session does.
#[derive(Clone, Debug)]
pub enum Step {
    /// Connects and binds.
    Bind(Mode),
    /// Hands in a message of a class (by index).
    Submit(Box<Submission>, usize),
    /// Unbinds.
    Unbind,
    /// Drops its connection.
    Cut,
    /// Writes octets as they are.
    Raw(Vec<u8>),
}

/// One session of a client.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Who it is.
    pub system_id: String,
    /// Its proof.
    pub password: String,
    /// Where its connection is lost it binds again, as often as need be.
    pub returns: bool,
    /// What it does when, in order of time.
    pub steps: Vec<(Micros, Step)>,
}

struct Run {
    plan: Plan,
    conn: Option<Conn>,
    session: Option<Session>,
    mode: Mode,
    /// As it bound last; `mode` falls to transmitter once it takes no receipts.
    first_mode: Mode,
    /// Submissions without a response: by sequence.
    asked: BTreeMap<u32, (usize, Micros)>,
    /// Steps that wait for the bind.
    held: Vec<(Micros, Step)>,
}

/// A submission that was turned away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// When.
    pub at: Micros,
    /// The status.
    pub status: u32,
}

/// All clients of a run.
pub struct SmppClients {
    address: SocketAddr,
    runs: Vec<Run>,
    by_conn: BTreeMap<Conn, usize>,
    schedule: Schedule<Step>,
    actions: Vec<Action>,
    deadlines: Vec<Micros>,
    /// Give up waiting at this time.
    until: Micros,
    /// Messages by the identity they were given.
    by_message: BTreeMap<String, usize>,
    bodies: Vec<(Submission, usize, Micros, usize)>,
    /// What was accepted, and how it was answered.
    pub accepted: Vec<Accepted>,
    /// What was turned away.
    pub refused: Vec<Refused>,
    /// Submissions whose response never came: nobody knows whether they were accepted.
    pub unheard: usize,
    /// Answers to unknown messages.
    pub strays: Vec<(Micros, String)>,
    bound: BTreeMap<String, usize>,
    gone: BTreeMap<String, Micros>,
    /// Spans in which clients were away.
    pub away: Vec<Away>,
    /// Answers that came before the response that named the message.
    early: BTreeMap<String, Vec<(Micros, Told)>>,
    limits: Limits,
    now: Micros,
    waiting: usize,
    started: usize,
}

impl SmppClients {
    /// Clients of a service; `deadlines`: of the classes, by index. They wait for answers until a time.
    pub fn new(address: SocketAddr, plans: Vec<Plan>, deadlines: Vec<Micros>, until: Micros) -> Self {
        let limits = Limits {
            session_init: 5_000_000,
            enquire_every: 60_000_000,
            inactivity: 600_000_000,
            response: 30_000_000,
            window: 100_000,
            max_pdu: 70_000,
        };
        let make = |plan: Plan| Run {
            plan,
            conn: None,
            session: None,
            mode: Mode::Transceiver,
            first_mode: Mode::Transceiver,
            asked: BTreeMap::new(),
            held: Vec::new(),
        };
        let mut runs: Vec<Run> = plans.into_iter().map(make).collect();
        let schedule = Schedule::new(runs.iter_mut().map(|r| std::mem::take(&mut r.plan.steps)));
        let gone = runs.iter().map(|r| (r.plan.system_id.clone(), 0)).collect();
        SmppClients {
            address,
            runs,
            by_conn: BTreeMap::new(),
            schedule,
            actions: Vec::new(),
            deadlines,
            until,
            by_message: BTreeMap::new(),
            bodies: Vec::new(),
            accepted: Vec::new(),
            refused: Vec::new(),
            unheard: 0,
            strays: Vec::new(),
            bound: BTreeMap::new(),
            gone,
            away: Vec::new(),
            early: BTreeMap::new(),
            limits,
            now: 0,
            waiting: 0,
            started: 0,
        }
    }

    fn step(&mut self, now: Micros, i: usize, planned: Micros, step: Step) {
        let run = &mut self.runs[i];
        match step {
            Step::Bind(mode) => {
                (run.mode, run.first_mode) = (mode, mode);
                self.started += 1;
                self.actions.push(Action::Connect { tag: i, address: self.address });
            }
            // What is due before the bind is answered waits for it.
            other if run.conn.is_none() || run.session.as_ref().is_none_or(|s| !s.bound()) => {
                if !matches!(other, Step::Cut) {
                    run.held.push((planned, other));
                }
            }
            Step::Submit(submission, class) => {
                let Some(session) = &mut run.session else { return };
                let mut out = BytesMut::new();
                let sequence = session.request(now, submission.submit(None), &mut out);
                self.bodies.push((*submission, class, now, i));
                run.asked.insert(sequence, (self.bodies.len() - 1, now));
                if let Some(conn) = run.conn {
                    self.actions.push(Action::Write(conn, out.to_vec()));
                }
            }
            Step::Unbind => {
                let Some(session) = &mut run.session else { return };
                let mut out = BytesMut::new();
                session.unbind(now, &mut out);
                if let Some(conn) = run.conn {
                    self.actions.push(Action::Write(conn, out.to_vec()));
                }
                self.leaves(now, i);
            }
            Step::Cut => {
                if let Some(conn) = run.conn {
                    self.actions.push(Action::Drop(conn));
                }
                self.leaves(now, i);
                self.lost(i);
            }
            Step::Raw(octets) => {
                if let Some(conn) = run.conn {
                    self.actions.push(Action::Write(conn, octets));
                }
            }
        }
    }

    fn joins(&mut self, now: Micros, i: usize) {
        if !self.runs[i].mode.receives() {
            return;
        }
        let id = self.runs[i].plan.system_id.clone();
        let n = self.bound.entry(id.clone()).or_default();
        *n += 1;
        if *n == 1
            && let Some(from) = self.gone.remove(&id)
        {
            self.away.push(Away { client: id, from, to: now });
        }
    }

    /// From now on no receipt is taken on this session.
    fn leaves(&mut self, now: Micros, i: usize) {
        let run = &mut self.runs[i];
        if run.session.as_ref().is_none_or(|s| !s.bound()) || !run.mode.receives() {
            return;
        }
        let id = run.plan.system_id.clone();
        if let Some(n) = self.bound.get_mut(&id).filter(|n| **n > 0) {
            *n -= 1;
            if *n == 0 {
                self.gone.insert(id, now);
            }
        }
        // It counts once.
        run.mode = Mode::Transmitter;
    }

    /// The connection is gone.
    fn lost(&mut self, i: usize) {
        let run = &mut self.runs[i];
        if let Some(conn) = run.conn.take() {
            self.by_conn.remove(&conn);
        }
        run.session = None;
        self.unheard += run.asked.len();
        run.asked.clear();
    }

    fn event(&mut self, now: Micros, i: usize, event: Event) {
        match event {
            Event::Bound => {
                self.joins(now, i);
                for (planned, step) in std::mem::take(&mut self.runs[i].held) {
                    self.step(now, i, planned, step);
                }
            }
            Event::Response { sequence, status, id, .. } => {
                let Some((body, sent)) = self.runs[i].asked.remove(&sequence) else { return };
                self.response(now, i, body, sent, status, id);
            }
            Event::Delivered(sm) => {
                let Some((id, answer)) = Receipt::read(&sm) else { return };
                self.answer(now, &id, told(answer));
            }
            Event::Unbound | Event::Ended(_) | Event::BindRefused(_) => {
                self.leaves(now, i);
                if let Some(conn) = self.runs[i].conn {
                    self.actions.push(Action::Close(conn));
                }
                self.lost(i);
            }
            Event::EnquiryAnswered { .. } | Event::Stray(_) => {}
        }
    }

    fn response(
        &mut self,
        now: Micros,
        i: usize,
        body: usize,
        sent: Micros,
        status: CommandStatus,
        id: String,
    ) {
        let (submission, class, ..) = &self.bodies[body];
        if id.is_empty() {
            return self.refused.push(Refused { at: now, status: status.into() });
        }
        let deadline = submission.validity.map_or(self.deadlines[*class], |v| v.min(self.deadlines[*class]));
        self.by_message.insert(id.clone(), self.accepted.len());
        self.accepted.push(Accepted {
            order: u64::from_str_radix(&id, 16).unwrap_or(0),
            message: id.clone(),
            client: self.runs[i].plan.system_id.clone(),
            class: *class,
            key: submission.key.clone(),
            sent,
            // In forward mode the response is the answer: the time runs from the submission.
            accepted: if submission.forward { sent } else { now },
            deadline,
            answers: Vec::new(),
        });
        self.waiting += 1;
        if submission.forward {
            let t = match status {
                CommandStatus::EsmeRok => Told::Delivered,
                CommandStatus::EsmeRunknownerr => Told::Unknown,
                _ => Told::NotRun,
            };
            self.answer(now, &id, t);
        }
        for (at, t) in self.early.remove(&id).unwrap_or_default() {
            self.answer(at, &id, t);
        }
    }

    fn answer(&mut self, now: Micros, id: &str, told: Told) {
        match self.by_message.get(id) {
            Some(at) => {
                let a = &mut self.accepted[*at];
                self.waiting -= usize::from(a.answers.is_empty());
                a.answers.push((now, told));
            }
            None => self.early.entry(id.to_string()).or_default().push((now, told)),
        }
    }

    /// Ends the record: answers that nobody knows the message of.
    pub fn close(&mut self) {
        let unheard = self.unheard > 0;
        for (id, answers) in std::mem::take(&mut self.early) {
            // Where a response was lost with its session, the client can't know its message's identity.
            if !unheard {
                self.strays.extend(answers.iter().map(|(at, _)| (*at, id.clone())));
            }
        }
        let now = self.now;
        for (client, from) in std::mem::take(&mut self.gone) {
            self.away.push(Away { client, from, to: now });
        }
    }

    /// Binds again a little later.
    fn again(&mut self, now: Micros, i: usize, mode: Mode) {
        self.schedule.add(i, now + 50_000, Step::Bind(mode));
    }

    fn out(&mut self, conn: Conn, out: &BytesMut) {
        if !out.is_empty() {
            self.actions.push(Action::Write(conn, out.to_vec()));
        }
    }
}

fn told(answer: Answer) -> Told {
    match answer {
        Answer::Delivered => Told::Delivered,
        Answer::Unknown { .. } => Told::Unknown,
        _ => Told::NotRun,
    }
}

impl Actor for SmppClients {
    fn accepted(&mut self, _: Micros, _: usize, _: Conn) {}

    fn connected(&mut self, now: Micros, tag: usize, conn: Conn) {
        self.now = now;
        let run = &mut self.runs[tag];
        let mut out = BytesMut::new();
        let (id, password) = (run.plan.system_id.clone(), run.plan.password.clone());
        run.session = Some(Session::bind(now, self.limits, run.mode, &id, &password, &mut out));
        run.conn = Some(conn);
        self.by_conn.insert(conn, tag);
        self.out(conn, &out);
    }

    fn refused(&mut self, now: Micros, tag: usize) {
        let mode = self.runs[tag].mode;
        self.again(now, tag, mode);
    }

    fn received(&mut self, now: Micros, conn: Conn, octets: &[u8]) {
        self.now = now;
        let Some(i) = self.by_conn.get(&conn).copied() else { return };
        let Some(session) = &mut self.runs[i].session else { return };
        let (mut out, mut events) = (BytesMut::new(), Vec::new());
        session.receive(now, octets, &mut out, &mut events);
        self.out(conn, &out);
        for event in events {
            self.event(now, i, event);
        }
    }

    fn closed(&mut self, now: Micros, conn: Conn) {
        self.now = now;
        if let Some(i) = self.by_conn.get(&conn).copied() {
            let mode = self.runs[i].first_mode;
            self.leaves(now, i);
            self.lost(i);
            if self.runs[i].plan.returns {
                self.again(now, i, mode);
            }
        }
    }

    fn tick(&mut self, now: Micros) {
        self.now = now;
        while let Some((i, planned, step)) = self.schedule.take(now) {
            self.step(now, i, planned, step);
        }
    }

    fn wake(&self) -> Micros {
        self.schedule.next().map_or(self.until, |at| at.min(self.until))
    }

    fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn finished(&self) -> bool {
        let asked = self.runs.iter().any(|r| !r.asked.is_empty() || !r.held.is_empty());
        let done = self.schedule.is_empty() && !asked && self.waiting == 0 && self.started > 0;
        done || self.now >= self.until
    }
}

//! What both benchmarks load the service with: a receiver that answers at once, and SMPP clients.

use bytes::BytesMut;
use heronroute_smpp::client::{self, Event};
use heronroute_smpp::receipt::{Answer, Receipt};
use heronroute_smpp::server::{self, Limits, Mode};
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use heronroute_standins::Micros;
use heronroute_standins::actor::{Action, Actor, Conn};
use rusmpp_core::CommandStatus;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const LIMITS: Limits = Limits {
    session_init: 60_000_000,
    enquire_every: 600_000_000,
    inactivity: 6_000_000_000,
    response: 60_000_000,
    window: 100_000,
    max_pdu: 70_000,
};
pub const BODY: &[u8] = b"a response of ordinary length, as they are: 0123456789";

/// Answers every submit_sm at once.
#[derive(Default)]
pub struct Receiver {
    sessions: BTreeMap<Conn, server::Session>,
    actions: Vec<Action>,
}

impl Actor for Receiver {
    fn accepted(&mut self, now: Micros, _: usize, conn: Conn) {
        self.sessions.insert(conn, server::Session::new(now, LIMITS));
    }
    fn received(&mut self, now: Micros, conn: Conn, octets: &[u8]) {
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        let (mut out, mut events) = (BytesMut::new(), Vec::new());
        session.receive(now, 0, octets, &mut out, &mut events);
        for event in events {
            match event {
                server::Event::Bind { sequence, .. } => session.accept(now, sequence, "echo", &mut out),
                server::Event::Submit { sequence, .. } => {
                    session.submitted(sequence, "1", CommandStatus::EsmeRok, vec![], &mut out);
                }
                _ => {}
            }
        }
        self.actions.push(Action::Write(conn, out.to_vec()));
    }
    fn closed(&mut self, _: Micros, conn: Conn) {
        self.sessions.remove(&conn);
    }
    fn tick(&mut self, _: Micros) {}
    fn wake(&self) -> Micros {
        Micros::MAX
    }
    fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

/// SMPP sessions that keep so many submissions under way each, until all are answered; or hand in at a pace, and note
/// how long each message took to its receipt.
pub struct SmppLoad {
    pub user: &'static str,
    window: usize,
    left: usize,
    total: usize,
    sessions: usize,
    made: BTreeMap<Conn, (client::Session, BTreeMap<u32, Micros>)>,
    sent: BTreeMap<String, Micros>,
    actions: Vec<Action>,
    done: usize,
    /// Done with the receipt, not with the response.
    receipts: bool,
    pub refused: usize,
    pub delivered: usize,
    pub took: Vec<Micros>,
    /// A submission each so many microseconds, instead of windows.
    pub every: Option<Micros>,
    next: Micros,
}

impl SmppLoad {
    /// Sessions of one client.
    pub fn new(address: SocketAddr, sessions: usize, window: usize, total: usize, receipts: bool) -> Self {
        SmppLoad {
            user: "c",
            window,
            left: total,
            total,
            sessions,
            made: BTreeMap::new(),
            sent: BTreeMap::new(),
            actions: (0..sessions).map(|tag| Action::Connect { tag, address }).collect(),
            done: 0,
            receipts,
            refused: 0,
            delivered: 0,
            took: Vec::new(),
            every: None,
            next: 0,
        }
    }

    fn submit(&mut self, now: Micros, planned: Micros, conn: Conn, out: &mut BytesMut) {
        if self.left == 0 {
            return;
        }
        self.left -= 1;
        let s = Submission {
            service: "RESP".into(),
            source: "a".into(),
            destination: format!("{:06}{:06}", 1 + self.left * 7 % 20, self.left % 1_000_000),
            wanted: if self.receipts { ReceiptRequest::Always } else { ReceiptRequest::Never },
            body: BODY.to_vec(),
            ..Submission::default()
        };
        if let Some((session, asked)) = self.made.get_mut(&conn) {
            let sequence = session.request(now, s.submit(None), out);
            // How long each took matters at a pace only; what a full load costs here would be counted against it.
            if self.every.is_some() {
                asked.insert(sequence, planned);
            }
        }
    }
}

impl Actor for SmppLoad {
    fn accepted(&mut self, _: Micros, _: usize, _: Conn) {}
    fn connected(&mut self, now: Micros, _: usize, conn: Conn) {
        let mut out = BytesMut::new();
        let session = client::Session::bind(now, LIMITS, Mode::Transceiver, self.user, "p", &mut out);
        self.made.insert(conn, (session, BTreeMap::new()));
        self.actions.push(Action::Write(conn, out.to_vec()));
    }
    fn received(&mut self, now: Micros, conn: Conn, octets: &[u8]) {
        let Some((session, asked)) = self.made.get_mut(&conn) else { return };
        let (mut out, mut events) = (BytesMut::new(), Vec::new());
        session.receive(now, octets, &mut out, &mut events);
        let mut more = 0;
        for event in events {
            match event {
                Event::Bound => more += self.window,
                Event::Response { sequence, status, id, .. } => {
                    let ok = status == CommandStatus::EsmeRok;
                    if let Some(sent) = asked.remove(&sequence).filter(|_| ok) {
                        self.sent.insert(id, sent);
                    }
                    if !ok || !self.receipts {
                        self.refused += usize::from(!ok);
                        self.delivered += usize::from(ok);
                        self.done += 1;
                        more += 1;
                    }
                }
                Event::Delivered(sm) => {
                    let receipt = Receipt::read(&sm);
                    self.delivered += usize::from(matches!(receipt, Some((_, Answer::Delivered))));
                    let sent = receipt.and_then(|(id, _)| self.sent.remove(&id));
                    self.took.extend(sent.map(|s| now - s));
                    self.done += 1;
                    more += 1;
                }
                _ => {}
            }
        }
        if self.every.is_none() {
            (0..more).for_each(|_| self.submit(now, now, conn, &mut out));
        }
        if !out.is_empty() {
            self.actions.push(Action::Write(conn, out.to_vec()));
        }
    }
    fn closed(&mut self, _: Micros, conn: Conn) {
        self.made.remove(&conn);
    }
    fn tick(&mut self, now: Micros) {
        let Some(every) = self.every else { return };
        if self.made.len() < self.sessions || self.made.values().any(|s| !s.0.bound()) {
            self.next = now;
            return;
        }
        while self.next <= now && self.left > 0 {
            let planned = self.next;
            self.next += every;
            let at = self.left % self.made.len();
            let Some(conn) = self.made.keys().nth(at).copied() else { return };
            let mut out = BytesMut::new();
            self.submit(now, planned, conn, &mut out);
            self.actions.push(Action::Write(conn, out.to_vec()));
        }
    }
    fn wake(&self) -> Micros {
        if self.every.is_some() { self.next } else { Micros::MAX }
    }
    fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
    fn finished(&self) -> bool {
        self.done >= self.total
    }
}

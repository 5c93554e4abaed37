//! Receivers on one thread: SMPP message centres and HTTP servers, whose behaviour [`Model`]s decide.

use crate::Micros;
use crate::actor::{Action, Actor, Conn};
use crate::model::{CallOutcome, Incident, Model, ReceiverModel, Trouble};
use bytes::BytesMut;
use heronroute_audit::{Arrival, Fell, Verdict};
use heronroute_http::prost::Message as _;
use heronroute_http::{Batch, Message, Reader, Side, Start, write_response};
use heronroute_smpp::server::{Event, Limits, Session};
use heronroute_smpp::submission::Submission;
use heronroute_smpp::{codec, tags};
use rusmpp_core::CommandStatus;
use rusmpp_core::tlvs::owned::MessageSubmissionResponseTlvValue as Tlv;
use rusmpp_core::types::owned::AnyOctetString;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The protocol of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speaks {
    /// SMPP.
    Smpp,
    /// HTTP/1.1.
    Http,
}

/// An endpoint. Its index in the list is its listener's number.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The name in the directory.
    pub name: String,
    /// The number of its destination.
    pub destination: i64,
    /// The protocol.
    pub speaks: Speaks,
    /// Whether messages that arrive together are one call.
    pub batches: bool,
    /// The time at which it unbinds all peers and closes.
    pub leaves: Option<Micros>,
    /// Whether it sends a response to no request before each response.
    pub strays: bool,
}

/// A destination.
#[derive(Clone, Debug)]
pub struct Destination {
    /// The number.
    pub destination: i64,
    /// The parameters of its model.
    pub shape: ReceiverModel,
    /// Its incidents.
    pub incidents: Vec<Incident>,
}

enum PeerProtocol {
    Smpp(Box<Session>, String),
    Http(Reader, VecDeque<Option<Vec<u8>>>, u64),
}

struct Peer {
    endpoint: usize,
    protocol: PeerProtocol,
    read_paused: bool,
    /// The time since which something may be unread.
    unread: Option<Micros>,
    /// The indices of its arrivals that have no answer.
    open: BTreeSet<usize>,
    /// Bytes that are sent one by one.
    trickle: VecDeque<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// An SMPP response: connection, sequence number, index of the arrival.
    Smpp(Conn, u32, usize),
    /// An HTTP response: connection, position in its queue, index of the first arrival, number of arrivals.
    Http(Conn, u64, usize, usize),
    /// The connection breaks.
    Break(Conn),
    /// The next byte of a slow response.
    Trickle(Conn),
}

/// All receivers.
pub struct Receivers {
    endpoints: Vec<Endpoint>,
    models: BTreeMap<i64, Model>,
    listening: Vec<bool>,
    peers: BTreeMap<Conn, Peer>,
    due: BTreeSet<(Micros, u64, Due)>,
    next: u64,
    actions: Vec<Action>,
    /// The messages that arrived.
    pub arrivals: Vec<Arrival>,
    /// The time at which an incident begins or ends next.
    next_change: Micros,
    limits: Limits,
}

impl Receivers {
    /// Creates the receivers. The seed determines the models' random choices.
    pub fn new(endpoints: Vec<Endpoint>, destinations: Vec<Destination>, seed: u64) -> Self {
        let make = |d: Destination| {
            (d.destination, Model::new(d.shape, d.incidents, seed ^ (d.destination as u64) << 8))
        };
        let listening = vec![true; endpoints.len()];
        let limits = Limits {
            session_init: 5_000_000,
            enquire_every: 60_000_000,
            inactivity: 600_000_000,
            response: 10_000_000,
            window: 1_000,
            max_pdu: 70_000,
        };
        Receivers {
            endpoints,
            models: destinations.into_iter().map(make).collect(),
            listening,
            peers: BTreeMap::new(),
            due: BTreeSet::new(),
            next: 0,
            actions: Vec::new(),
            arrivals: Vec::new(),
            next_change: 0,
            limits,
        }
    }

    /// Returns the destinations that fell over under load, with the times.
    pub fn fallen(&self) -> Vec<Fell> {
        let each = |(d, m): (&i64, &Model)| {
            let destination = *d;
            m.fallen().iter().map(move |at| Fell { at: *at, destination }).collect::<Vec<_>>()
        };
        self.models.iter().flat_map(each).collect()
    }

    /// Handles the end of a connection. Returns whether it was known.
    fn remove_peer(&mut self, now: Micros, conn: Conn) -> bool {
        let Some(peer) = self.peers.remove(&conn) else { return false };
        for a in peer.open {
            self.arrivals[a].broken = Some(now);
        }
        true
    }

    fn schedule(&mut self, at: Micros, due: Due) {
        self.next += 1;
        self.due.insert((at, self.next, due));
    }

    fn next_outcome(&mut self, now: Micros, endpoint: usize) -> CallOutcome {
        let destination = self.endpoints[endpoint].destination;
        self.models.get_mut(&destination).map_or(CallOutcome::Done(now), |m| m.call(now))
    }

    fn record_arrival(
        &mut self,
        now: Micros,
        conn: Conn,
        sender: &str,
        message: &str,
        outcome: CallOutcome,
    ) -> usize {
        let Some(peer) = self.peers.get_mut(&conn) else { return 0 };
        let (endpoint, earliest) = (peer.endpoint, peer.unread.unwrap_or(now));
        peer.open.insert(self.arrivals.len());
        let (verdict, ran) = match outcome {
            CallOutcome::Done(_) => (Verdict::Done, true),
            CallOutcome::Error(_, ran) => (Verdict::Error, ran),
            CallOutcome::Busy(_, wait) => (Verdict::Busy(wait), false),
            CallOutcome::Lost | CallOutcome::Reset(_) => (Verdict::Silent, true),
            CallOutcome::Unseen => (Verdict::Silent, false),
        };
        let e = &self.endpoints[endpoint];
        self.arrivals.push(Arrival {
            at: now,
            earliest,
            endpoint: e.name.clone(),
            destination: e.destination,
            sender: sender.to_string(),
            message: message.to_string(),
            verdict,
            ran,
            answered: None,
            broken: None,
        });
        self.arrivals.len() - 1
    }

    fn send(&mut self, now: Micros, conn: Conn, bytes: Vec<u8>) {
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        let destination = self.endpoints[peer.endpoint].destination;
        let trouble = self.models.get(&destination).and_then(|m| m.trouble(now));
        if let Some(Incident { trouble: Trouble::Trickle(rate), .. }) = trouble {
            let idle = peer.trickle.is_empty();
            peer.trickle.extend(bytes);
            if idle {
                self.schedule(now + (1e6 / rate) as Micros, Due::Trickle(conn));
            }
        } else if !peer.trickle.is_empty() {
            // Responses keep their order.
            peer.trickle.extend(bytes);
        } else {
            self.actions.push(Action::Write(conn, bytes));
        }
    }

    fn trickle(&mut self, now: Micros, conn: Conn) {
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        let destination = self.endpoints[peer.endpoint].destination;
        let trouble = self.models.get(&destination).and_then(|m| m.trouble(now));
        let rate = match trouble {
            Some(Incident { trouble: Trouble::Trickle(rate), .. }) => rate,
            _ => {
                let rest = peer.trickle.drain(..).collect();
                return self.actions.push(Action::Write(conn, rest));
            }
        };
        if let Some(byte) = peer.trickle.pop_front() {
            self.actions.push(Action::Write(conn, vec![byte]));
            self.schedule(now + (1e6 / rate) as Micros, Due::Trickle(conn));
        }
    }

    fn receive_smpp(&mut self, now: Micros, conn: Conn, bytes: &[u8]) {
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        let endpoint = peer.endpoint;
        let PeerProtocol::Smpp(session, _) = &mut peer.protocol else { return };
        let (mut out, mut events) = (BytesMut::new(), Vec::new());
        session.receive(now, 0, bytes, &mut out, &mut events);
        let mut shared: Option<CallOutcome> = None;
        for event in events {
            let Some(Peer { protocol: PeerProtocol::Smpp(session, sender_name), .. }) =
                self.peers.get_mut(&conn)
            else {
                return;
            };
            match event {
                Event::Bind { sequence, system_type, .. } => {
                    *sender_name = system_type;
                    session.accept(now, sequence, "standin", &mut out);
                }
                Event::Submit { sequence, submission, .. } => {
                    let sender = sender_name.clone();
                    let batches = self.endpoints[endpoint].batches;
                    let outcome = match shared.filter(|_| batches) {
                        Some(outcome) => outcome,
                        None => self.next_outcome(now, endpoint),
                    };
                    shared = Some(outcome);
                    let arrival = self.record_arrival(now, conn, &sender, &identity(&submission), outcome);
                    match outcome {
                        CallOutcome::Done(at) | CallOutcome::Error(at, _) | CallOutcome::Busy(at, _) => {
                            self.schedule(at, Due::Smpp(conn, sequence, arrival));
                        }
                        CallOutcome::Reset(at) => self.schedule(at, Due::Break(conn)),
                        CallOutcome::Lost | CallOutcome::Unseen => {}
                    }
                }
                Event::Query { sequence, .. } | Event::Cancel { sequence, .. } => {
                    session.error(sequence, CommandStatus::EsmeRinvmsgid, &mut out);
                }
                Event::Acknowledged { .. } => {}
                Event::Unbound | Event::Ended(_) => {
                    if !out.is_empty() {
                        self.actions.push(Action::Write(conn, out.to_vec()));
                    }
                    self.actions.push(Action::Close(conn));
                    self.remove_peer(now, conn);
                    return;
                }
            }
        }
        // A hung or silent receiver does not answer enquiries either.
        let destination = self.endpoints[endpoint].destination;
        let answers = bytes.len() < 16
            || u32::from_be_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]) != 0x15
            || self.models.get_mut(&destination).is_none_or(|m| m.probe(now).is_some());
        if !out.is_empty() && answers {
            self.send(now, conn, out.to_vec());
        }
    }

    fn answer_smpp(&mut self, now: Micros, conn: Conn, sequence: u32, arrival: usize) {
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        let strays = self.endpoints[peer.endpoint].strays;
        let PeerProtocol::Smpp(session, _) = &mut peer.protocol else { return };
        let mut out = BytesMut::new();
        if strays {
            codec::encode_error(4, CommandStatus::EsmeRok, sequence ^ 0x4000_0000, &mut out);
        }
        let id = format!("r{arrival}");
        match self.arrivals[arrival].verdict {
            Verdict::Done => session.submitted(sequence, &id, CommandStatus::EsmeRok, vec![], &mut out),
            Verdict::Busy(wait) => {
                let mut tlvs = Vec::new();
                if wait > 0 {
                    let ms = (wait / 1_000) as u32;
                    let value = AnyOctetString::from_vec(ms.to_be_bytes().to_vec());
                    tlvs.push(Tlv::Other { tag: tags::tag(tags::RECEIVER_RETRY_AFTER), value });
                }
                session.submitted(sequence, "", CommandStatus::EsmeRthrottled, tlvs, &mut out);
            }
            Verdict::Error | Verdict::Silent => {
                session.error(sequence, CommandStatus::EsmeRsyserr, &mut out);
            }
        }
        peer.open.remove(&arrival);
        self.arrivals[arrival].answered = Some(now);
        self.send(now, conn, out.to_vec());
    }

    fn receive_http(&mut self, now: Micros, conn: Conn, bytes: &[u8]) {
        let Some(Peer { protocol: PeerProtocol::Http(reader, ..), .. }) = self.peers.get_mut(&conn) else {
            return;
        };
        reader.push(bytes);
        loop {
            let Some(Peer { protocol: PeerProtocol::Http(reader, ..), .. }) = self.peers.get_mut(&conn)
            else {
                return;
            };
            match reader.next_message() {
                Ok(Some(m)) => self.request(now, conn, &m),
                Ok(None) => return,
                Err(_) => {
                    self.actions.push(Action::Drop(conn));
                    self.remove_peer(now, conn);
                    return;
                }
            }
        }
    }

    fn request(&mut self, now: Micros, conn: Conn, m: &Message) {
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        let endpoint = peer.endpoint;
        let PeerProtocol::Http(_, queue, first) = &mut peer.protocol else { return };
        let place = *first + queue.len() as u64;
        queue.push_back(None);
        let Start::Request { method, .. } = &m.start else { return };
        if method == "GET" {
            let destination = self.endpoints[endpoint].destination;
            let outcome = self.models.get_mut(&destination).and_then(|m| m.probe(now));
            match outcome {
                Some(CallOutcome::Error(..)) => self.answer_http(now, conn, place, 503, &[]),
                Some(_) => self.answer_http(now, conn, place, 200, &[]),
                None => {}
            }
            return;
        }
        let agent = m.field("user-agent").unwrap_or_default();
        let sender = agent.split(['(', ')']).nth(1).unwrap_or_default().to_string();
        let batch = m.field("content-type").is_some_and(|t| t.contains("Batch"));
        let ids: Vec<String> = if batch {
            let items = Batch::decode(m.body.as_slice()).map(|b| b.message).unwrap_or_default();
            items.into_iter().map(|i| i.id).collect()
        } else {
            vec![m.field("message-id").unwrap_or_default().to_string()]
        };
        let outcome = self.next_outcome(now, endpoint);
        let from = self.arrivals.len();
        for id in &ids {
            self.record_arrival(now, conn, &sender, id, outcome);
        }
        match outcome {
            CallOutcome::Done(at) | CallOutcome::Error(at, _) | CallOutcome::Busy(at, _) => {
                self.schedule(at, Due::Http(conn, place, from, ids.len()));
            }
            CallOutcome::Reset(at) => self.schedule(at, Due::Break(conn)),
            CallOutcome::Lost | CallOutcome::Unseen => {}
        }
    }

    fn answer_http(&mut self, now: Micros, conn: Conn, place: u64, status: u16, fields: &[(&str, &str)]) {
        let Some(Peer { protocol: PeerProtocol::Http(_, queue, first), .. }) = self.peers.get_mut(&conn)
        else {
            return;
        };
        let mut out = BytesMut::new();
        write_response(status, fields, b"", &mut out);
        if let Some(slot) = place.checked_sub(*first).and_then(|i| queue.get_mut(i as usize)) {
            *slot = Some(out.to_vec());
        }
        let mut ready = Vec::new();
        while let Some(Some(_)) = queue.front() {
            ready.extend(queue.pop_front().flatten().unwrap_or_default());
            *first += 1;
        }
        if !ready.is_empty() {
            self.send(now, conn, ready);
        }
    }

    fn handle_due(&mut self, now: Micros, due: Due) {
        match due {
            Due::Smpp(conn, sequence, arrival) => self.answer_smpp(now, conn, sequence, arrival),
            Due::Http(conn, place, from, n) => {
                let verdict = self.arrivals[from].verdict;
                let wait;
                match verdict {
                    Verdict::Done => self.answer_http(now, conn, place, 200, &[]),
                    Verdict::Busy(0) => self.answer_http(now, conn, place, 429, &[]),
                    Verdict::Busy(w) => {
                        wait = format!("{:.3}", w as f64 / 1e6);
                        self.answer_http(now, conn, place, 503, &[("retry-after", &wait)]);
                    }
                    Verdict::Error | Verdict::Silent => self.answer_http(now, conn, place, 500, &[]),
                }
                // A response waits for those before it. The record has the time at which it was ready.
                self.arrivals[from..from + n].iter_mut().for_each(|a| a.answered = Some(now));
                if let Some(peer) = self.peers.get_mut(&conn) {
                    (from..from + n).for_each(|a| _ = peer.open.remove(&a));
                }
            }
            Due::Break(conn) => {
                if self.remove_peer(now, conn) {
                    self.actions.push(Action::Drop(conn));
                }
            }
            Due::Trickle(conn) => self.trickle(now, conn),
        }
    }

    /// Listens and reads as the incidents of this time allow.
    fn apply_incidents(&mut self, now: Micros) {
        self.next_change = self.models.values().map(|m| m.changes(now)).min().unwrap_or(Micros::MAX);
        for i in 0..self.endpoints.len() {
            let e = &self.endpoints[i];
            let model = self.models.get(&e.destination);
            let left = e.leaves.is_some_and(|t| t <= now);
            if let Some(t) = e.leaves.filter(|t| *t > now) {
                self.next_change = self.next_change.min(t);
            }
            let listens = !left && model.is_none_or(|m| m.listens(now));
            let reads = model.is_none_or(|m| m.reads(now));
            if listens != self.listening[i] {
                self.listening[i] = listens;
                self.actions.push(Action::Listen(i, listens));
            }
            let mine: Vec<Conn> =
                self.peers.iter().filter(|(_, p)| p.endpoint == i).map(|(c, _)| *c).collect();
            for conn in mine {
                let Some(peer) = self.peers.get_mut(&conn) else { continue };
                if !listens && !left {
                    self.remove_peer(now, conn);
                    self.actions.push(Action::Drop(conn));
                    continue;
                }
                if left && let PeerProtocol::Smpp(session, _) = &mut peer.protocol {
                    let mut out = BytesMut::new();
                    session.unbind(now, &mut out);
                    self.actions.push(Action::Write(conn, out.to_vec()));
                } else if left {
                    self.remove_peer(now, conn);
                    self.actions.push(Action::Close(conn));
                    continue;
                }
                if peer.read_paused == reads {
                    peer.read_paused = !reads;
                    peer.unread = peer.unread.or(Some(now));
                    self.actions.push(Action::PauseReading(conn, !reads));
                }
            }
        }
    }
}

fn identity(s: &Submission) -> String {
    s.identity.clone().unwrap_or_default()
}

impl Actor for Receivers {
    fn accepted(&mut self, now: Micros, listener: usize, conn: Conn) {
        let protocol = match self.endpoints[listener].speaks {
            Speaks::Smpp => PeerProtocol::Smpp(Box::new(Session::new(now, self.limits)), String::new()),
            Speaks::Http => PeerProtocol::Http(Reader::new(Side::Requests, 1 << 20), VecDeque::new(), 0),
        };
        let destination = self.endpoints[listener].destination;
        let read_paused = self.models.get(&destination).is_some_and(|m| !m.reads(now));
        self.peers.insert(
            conn,
            Peer {
                endpoint: listener,
                protocol,
                read_paused,
                unread: read_paused.then_some(now),
                open: BTreeSet::new(),
                trickle: VecDeque::new(),
            },
        );
        if read_paused {
            self.actions.push(Action::PauseReading(conn, true));
        }
    }

    fn received(&mut self, now: Micros, conn: Conn, bytes: &[u8]) {
        match self.peers.get(&conn).map(|p| &p.protocol) {
            Some(PeerProtocol::Smpp(..)) => self.receive_smpp(now, conn, bytes),
            Some(PeerProtocol::Http(..)) => self.receive_http(now, conn, bytes),
            None => {}
        }
        // The event loop reads until nothing is left. What arrives in a later turn was not there before.
        if let Some(peer) = self.peers.get_mut(&conn)
            && peer.unread.is_some_and(|_| !peer.read_paused && bytes.len() < crate::run::READ_BUDGET)
        {
            peer.unread = None;
        }
    }

    fn closed(&mut self, now: Micros, conn: Conn) {
        self.remove_peer(now, conn);
    }

    fn tick(&mut self, now: Micros) {
        if now >= self.next_change {
            self.apply_incidents(now);
        }
        while let Some((_, _, due)) = self.due.first().copied().filter(|d| d.0 <= now) {
            self.due.pop_first();
            self.handle_due(now, due);
        }
    }

    fn wake(&self) -> Micros {
        self.due.first().map_or(Micros::MAX, |d| d.0).min(self.next_change)
    }

    fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

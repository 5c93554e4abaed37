//! Clients that speak MQTT: sessions with scripted steps, and a record of what they were told.

use crate::Micros;
use crate::actor::{Action, Actor, Conn};
use crate::mqtt::{ClientEvent, ClientOptions, MqttClient, Publication, ReceivedMessage, field};
use crate::schedule::Schedule;
use crate::smpp_clients::Refused;
use bytes::BytesMut;
use heronroute_audit::{Away, Submission, Told};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// A message of a client.
#[derive(Clone, Debug)]
pub struct PlannedMessage {
    /// The destination address.
    pub address: String,
    /// Name of its class, and its index.
    pub class: (&'static str, usize),
    /// Its key.
    pub key: Option<String>,
    /// Its payload.
    pub body: Vec<u8>,
    /// The quality of service, 1 or 2.
    pub qos: u8,
}

/// What a client does.
#[derive(Clone, Debug)]
pub enum Step {
    /// Connects, and subscribes where its session is new.
    Connect,
    /// Hands in a message.
    Submit(PlannedMessage),
    /// Takes its leave.
    Leave,
    /// Drops its connection.
    Cut,
    /// Writes octets as they are.
    Raw(Vec<u8>),
}

/// One client.
#[derive(Clone, Debug)]
pub struct MqttPlan {
    /// Who it is.
    pub who: ClientOptions,
    /// Where its connection is lost it connects again, as often as need be.
    pub returns: bool,
    /// What it does when, in order of time.
    pub steps: Vec<(Micros, Step)>,
}

struct Run {
    plan: MqttPlan,
    core: MqttClient,
    conn: Option<Conn>,
    inside: bool,
    /// It has subscribed on this connection, or its session has.
    ready: bool,
    /// Its session is known to have the subscription: guards against one that was kept while the connection was lost before
    /// the subscription came, which would hear no answer for ever.
    subscribed: bool,
    /// Publications without an acknowledgement: letter by packet identifier.
    asked: BTreeMap<u16, usize>,
    /// What waits for the connection, or for room in its window.
    held: VecDeque<(Micros, PlannedMessage)>,
}

struct Sent {
    letter: PlannedMessage,
    at: Micros,
    client: usize,
    /// Its place among the accepted.
    accepted: Option<usize>,
}

/// All MQTT clients of a run.
pub struct MqttClients {
    address: SocketAddr,
    runs: Vec<Run>,
    by_conn: BTreeMap<Conn, usize>,
    schedule: Schedule<Step>,
    actions: Vec<Action>,
    deadlines: Vec<Micros>,
    until: Micros,
    sent: Vec<Sent>,
    /// What was accepted, and how it was answered.
    pub accepted: Vec<Submission>,
    /// What was turned away.
    pub refused: Vec<Refused>,
    /// Publications whose acknowledgement never came.
    pub unheard: usize,
    /// Answers to what nobody handed in.
    pub strays: Vec<(Micros, String)>,
    /// Spans in which clients were away.
    pub away: Vec<Away>,
    /// Errors of the clients' state machines, and connections ended by the service with a code.
    pub wrong: Vec<(Micros, String)>,
    /// Trails as the service tells them, by message; asked for once all is answered, where wanted.
    pub trails: BTreeMap<String, String>,
    wants_trails: bool,
    /// Trails still to be asked for, by client.
    shows: Vec<VecDeque<String>>,
    showing: usize,
    gone: BTreeMap<usize, Micros>,
    now: Micros,
    waiting: usize,
    started: usize,
}

impl MqttClients {
    /// Clients of a service; `deadlines`: of the classes, by index. They wait for answers until a time.
    pub fn new(address: SocketAddr, plans: Vec<MqttPlan>, deadlines: Vec<Micros>, until: Micros) -> Self {
        let make = |plan: MqttPlan| Run {
            core: MqttClient::new(plan.who.clone()),
            plan,
            conn: None,
            inside: false,
            ready: false,
            subscribed: false,
            asked: BTreeMap::new(),
            held: VecDeque::new(),
        };
        let mut runs: Vec<Run> = plans.into_iter().map(make).collect();
        let schedule = Schedule::new(runs.iter_mut().map(|r| std::mem::take(&mut r.plan.steps)));
        let gone = (0..runs.len()).map(|i| (i, 0)).collect();
        MqttClients {
            address,
            runs,
            by_conn: BTreeMap::new(),
            schedule,
            actions: Vec::new(),
            deadlines,
            until,
            sent: Vec::new(),
            accepted: Vec::new(),
            refused: Vec::new(),
            unheard: 0,
            strays: Vec::new(),
            away: Vec::new(),
            wrong: Vec::new(),
            trails: BTreeMap::new(),
            wants_trails: false,
            shows: Vec::new(),
            showing: 0,
            gone,
            now: 0,
            waiting: 0,
            started: 0,
        }
    }

    /// Asks for the trails of what clients of version 5.0 handed in, once all is answered.
    pub fn with_trails(mut self) -> Self {
        self.wants_trails = true;
        self
    }

    /// Whether all that was planned is done and answered.
    fn answered(&self) -> bool {
        let asked = self.runs.iter().any(|r| !r.asked.is_empty() || !r.held.is_empty());
        self.schedule.is_empty() && !asked && self.waiting == 0 && self.started > 0
    }

    /// What is not done or not answered yet, in words, for whoever waited in vain.
    pub fn open(&self) -> String {
        let runs = |what: fn(&Run) -> bool| self.runs.iter().filter(|r| what(r)).count();
        format!(
            "{} without a connection, {} not let in, {} not ready, {} with publications not acknowledged, {} with letters, {} answers owed, steps left: {}",
            runs(|r| r.conn.is_none()),
            runs(|r| r.conn.is_some() && !r.inside),
            runs(|r| r.inside && !r.ready),
            runs(|r| !r.asked.is_empty()),
            runs(|r| !r.held.is_empty()),
            self.waiting,
            !self.schedule.is_empty()
        )
    }

    /// Begins to ask for trails once all is answered.
    fn settle(&mut self) {
        if !self.wants_trails || !self.answered() {
            return;
        }
        self.wants_trails = false;
        self.shows = vec![VecDeque::new(); self.runs.len()];
        for s in &self.sent {
            let id = s.accepted.map(|at| self.accepted[at].message.clone()).unwrap_or_default();
            if self.runs[s.client].plan.who.five && !id.is_empty() {
                self.shows[s.client].push_back(id);
                self.showing += 1;
            }
        }
        (0..self.runs.len()).for_each(|i| self.show(i));
    }

    fn show(&mut self, i: usize) {
        let Some(list) = self.shows.get_mut(i) else { return };
        let run = &mut self.runs[i];
        let mut out = BytesMut::new();
        while run.ready && run.core.room() > 0 {
            let Some(id) = list.pop_front() else { break };
            let hand = Publication {
                topic: format!("held/show/{id}"),
                qos: 1,
                correlation: format!("t{id}").into_bytes(),
                ..Publication::default()
            };
            run.core.publish(&hand, &mut out);
        }
        if let Some(conn) = run.conn {
            self.write(conn, &out);
        }
    }

    fn name(&self, i: usize) -> String {
        let who = &self.runs[i].plan.who;
        format!("{}/{}", who.user, who.id)
    }

    fn step(&mut self, now: Micros, i: usize, step: Step) {
        let run = &mut self.runs[i];
        match step {
            Step::Connect if run.conn.is_some() => {}
            Step::Connect => {
                self.started += 1;
                self.actions.push(Action::Connect { tag: i, address: self.address });
            }
            Step::Submit(letter) => {
                run.held.push_back((now, letter));
                self.hand_in(now, i);
            }
            Step::Leave => {
                let mut out = BytesMut::new();
                run.core.disconnect(&mut out);
                if let Some(conn) = run.conn {
                    self.write(conn, &out);
                    self.actions.push(Action::Close(conn));
                }
                self.lost(now, i);
            }
            Step::Cut => {
                if let Some(conn) = run.conn {
                    self.actions.push(Action::Drop(conn));
                }
                self.lost(now, i);
            }
            Step::Raw(octets) => {
                if let Some(conn) = run.conn {
                    self.actions.push(Action::Write(conn, octets));
                }
            }
        }
    }

    /// Hands in what waits, as far as the window allows.
    fn hand_in(&mut self, now: Micros, i: usize) {
        let run = &mut self.runs[i];
        let mut out = BytesMut::new();
        while run.ready && run.core.room() > 0 {
            let Some((planned, letter)) = run.held.pop_front() else { break };
            let n = self.sent.len();
            let five = run.plan.who.five;
            let key = letter.key.clone().unwrap_or_default();
            let name = if five { String::new() } else { format!("{}-{n}", run.plan.who.id) };
            let topic = format!("to/{}/{}/{key}/{name}", letter.address, letter.class.0);
            let hand = Publication {
                topic: topic.trim_end_matches('/').to_string(),
                payload: letter.body.clone(),
                qos: letter.qos,
                correlation: if five { n.to_string().into_bytes() } else { Vec::new() },
                ..Publication::default()
            };
            let packet = run.core.publish(&hand, &mut out);
            if packet == 0 {
                run.held.push_front((planned, letter));
                break;
            }
            run.asked.insert(packet, n);
            self.sent.push(Sent { letter, at: now, client: i, accepted: None });
        }
        if let Some(conn) = run.conn {
            self.write(conn, &out);
        }
    }

    fn write(&mut self, conn: Conn, out: &BytesMut) {
        if !out.is_empty() {
            self.actions.push(Action::Write(conn, out.to_vec()));
        }
    }

    /// The connection is gone.
    fn lost(&mut self, now: Micros, i: usize) {
        let run = &mut self.runs[i];
        if let Some(conn) = run.conn.take() {
            self.by_conn.remove(&conn);
            run.core.closed();
        }
        (run.inside, run.ready) = (false, false);
        self.gone.entry(i).or_insert(now);
    }

    fn ready(&mut self, now: Micros, i: usize) {
        self.runs[i].ready = true;
        if let Some(from) = self.gone.remove(&i) {
            self.away.push(Away { client: self.name(i), from, to: now });
        }
        self.hand_in(now, i);
    }

    fn heard(&mut self, now: Micros, i: usize, heard: ClientEvent) {
        match heard {
            ClientEvent::Connected(present) => {
                let run = &mut self.runs[i];
                run.inside = true;
                if present && run.subscribed {
                    return self.ready(now, i);
                }
                run.subscribed = false;
                if !present {
                    self.unheard += run.asked.len();
                    run.asked.clear();
                }
                let mut out = BytesMut::new();
                run.core.subscribe("answers/#", 1, &mut out);
                if let Some(conn) = run.conn {
                    self.write(conn, &out);
                }
            }
            ClientEvent::Subscribed(_) => {
                self.runs[i].subscribed = true;
                self.ready(now, i);
            }
            ClientEvent::Acknowledged(packet, code, id) => {
                if let Some(n) = self.runs[i].asked.remove(&packet) {
                    if code < 0x80 {
                        self.accept(now, n, id);
                    } else {
                        self.refused.push(Refused { at: now, status: u32::from(code) });
                    }
                }
            }
            ClientEvent::Completed(_) => {}
            ClientEvent::Received(ReceivedMessage { text, correlation, .. }) => {
                self.told(now, i, &text, &correlation)
            }
            ClientEvent::Refused(code) => {
                self.wrong.push((now, format!("{} was turned away: {code}", self.name(i))))
            }
            ClientEvent::Disconnected(code) if code != 0x8B => {
                self.wrong.push((now, format!("{} was sent away: {code}", self.name(i))))
            }
            ClientEvent::Disconnected(_) => {}
            ClientEvent::Failed(what) => self.wrong.push((now, format!("{}: {what}", self.name(i)))),
        }
    }

    fn accept(&mut self, now: Micros, n: usize, id: Option<String>) -> usize {
        let client = self.name(self.sent[n].client);
        let sent = &mut self.sent[n];
        if let Some(at) = sent.accepted {
            return at;
        }
        let at = self.accepted.len();
        sent.accepted = Some(at);
        let id = id.unwrap_or_default();
        self.accepted.push(Submission {
            order: u64::from_str_radix(&id, 16).unwrap_or(0),
            message: id,
            client,
            class: sent.letter.class.1,
            key: sent.letter.key.clone(),
            sent: sent.at,
            accepted: now,
            deadline: self.deadlines[sent.letter.class.1],
            answers: Vec::new(),
        });
        self.waiting += 1;
        at
    }

    fn told(&mut self, now: Micros, i: usize, text: &str, correlation: &[u8]) {
        if let Some(id) = correlation.strip_prefix(b"t") {
            let id = String::from_utf8_lossy(id).into_owned();
            self.showing -= usize::from(self.trails.insert(id, text.to_string()).is_none());
            return;
        }
        let id = field(text, "id").unwrap_or_default().to_string();
        let name = field(text, "ref").unwrap_or_default();
        let n = match std::str::from_utf8(correlation).ok().filter(|c| !c.is_empty()) {
            Some(c) => c.parse::<usize>().ok(),
            None => name.strip_prefix(&format!("{}-", self.runs[i].plan.who.id)).and_then(|n| n.parse().ok()),
        };
        let told = match field(text, "stat") {
            Some("DELIVRD") => Told::Delivered,
            Some("UNKNOWN") => Told::Unknown,
            _ => Told::NotRun,
        };
        let Some(n) = n.filter(|n| self.sent.get(*n).is_some_and(|s| s.client == i)) else {
            return self.strays.push((now, id));
        };
        // An answer says that the message was accepted, also where its acknowledgement was lost.
        let at = self.accept(now, n, Some(id.clone()));
        let a = &mut self.accepted[at];
        if a.message.is_empty() {
            a.order = u64::from_str_radix(&id, 16).unwrap_or(0);
            a.message = id;
        } else if a.message != id {
            self.strays.push((now, id));
            return;
        }
        self.waiting -= usize::from(a.answers.is_empty());
        a.answers.push((now, told));
    }

    /// Ends the record.
    pub fn close(&mut self) {
        self.unheard += self.runs.iter().map(|r| r.asked.len()).sum::<usize>();
        let now = self.now;
        for (i, from) in std::mem::take(&mut self.gone) {
            self.away.push(Away { client: self.name(i), from, to: now });
        }
    }

    fn again(&mut self, now: Micros, i: usize) {
        self.schedule.add(i, now + 50_000, Step::Connect);
    }
}

impl Actor for MqttClients {
    fn accepted(&mut self, _: Micros, _: usize, _: Conn) {}

    fn connected(&mut self, now: Micros, tag: usize, conn: Conn) {
        self.now = now;
        let run = &mut self.runs[tag];
        let mut out = BytesMut::new();
        run.core.connect(&mut out);
        run.conn = Some(conn);
        self.by_conn.insert(conn, tag);
        self.write(conn, &out);
    }

    fn refused(&mut self, now: Micros, tag: usize) {
        self.again(now, tag);
    }

    fn received(&mut self, now: Micros, conn: Conn, octets: &[u8]) {
        self.now = now;
        let Some(i) = self.by_conn.get(&conn).copied() else { return };
        let (mut out, mut heard) = (BytesMut::new(), Vec::new());
        self.runs[i].core.receive(octets, &mut out, &mut heard);
        self.write(conn, &out);
        let freed =
            heard.iter().any(|h| matches!(h, ClientEvent::Acknowledged(..) | ClientEvent::Completed(_)));
        for h in heard {
            self.heard(now, i, h);
        }
        // Behind all that was read: the core has let go of all packet identifiers that are acknowledged in it, and one used anew
        // would take an acknowledgement further back for its own. Seen where a full window was acknowledged at once.
        if freed {
            self.hand_in(now, i);
            self.show(i);
        }
    }

    fn closed(&mut self, now: Micros, conn: Conn) {
        self.now = now;
        if let Some(i) = self.by_conn.get(&conn).copied() {
            self.lost(now, i);
            if self.runs[i].plan.returns {
                self.again(now, i);
            }
        }
    }

    fn tick(&mut self, now: Micros) {
        self.now = now;
        while let Some((i, _, step)) = self.schedule.take(now) {
            self.step(now, i, step);
        }
        self.settle();
    }

    fn wake(&self) -> Micros {
        self.schedule.next().map_or(self.until, |at| at.min(self.until))
    }

    fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn finished(&self) -> bool {
        (self.answered() && !self.wants_trails && self.showing == 0) || self.now >= self.until
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What it writes on its connections.
    fn written(mqtt_clients: &mut MqttClients) -> Vec<u8> {
        let writes = mqtt_clients.actions().into_iter().filter_map(|ask| match ask {
            Action::Write(_, octets) => Some(octets),
            _ => None,
        });
        writes.flatten().collect()
    }

    /// The service died between the session and its subscription.
    #[test]
    fn a_session_that_was_kept_without_its_subscription_gets_it() {
        const SUBSCRIBE: u8 = 0x82;
        let who = ClientOptions::new(false, "oduya", "m");
        let plan = MqttPlan { who, returns: true, steps: vec![(0, Step::Connect)] };
        let mut mqtt_clients =
            MqttClients::new(SocketAddr::from(([127, 0, 0, 1], 1)), vec![plan], Vec::new(), 1_000);
        mqtt_clients.tick(0);
        // Each time it is let in: the first into a new session, then into the one that is there.
        for (conn, present) in [(1, 0), (2, 1), (3, 1)] {
            mqtt_clients.connected(0, 0, conn);
            written(&mut mqtt_clients);
            mqtt_clients.received(0, conn, &[0x20, 2, present, 0]);
            let out = written(&mut mqtt_clients);
            if conn == 3 {
                assert_eq!(
                    (out.len(), mqtt_clients.runs[0].ready),
                    (0, true),
                    "the session has it: {out:02X?}"
                );
                return;
            }
            assert_eq!(out.first(), Some(&SUBSCRIBE), "on connection {conn}");
            if conn == 2 {
                mqtt_clients.received(0, conn, &[0x90, 3, out[2], out[3], 1]);
            }
            mqtt_clients.closed(0, conn);
            assert!(!mqtt_clients.runs[0].ready);
        }
    }
}

//! Simulates 20 senders in memory: real nodes with their journals on a virtual clock, over a network that is
//! generated from a seed, with cuts, late connections, resets, lost and slow responses, Retry-After, and
//! kills that keep the journal. The traffic of all senders together is checked for requests sent before a
//! Retry-After is over, work done twice, two copies of a message outstanding, and messages that never end.
//! Guards against faults that show only among many senders.

use heronroute_engine::front::Speaks;
use heronroute_engine::platform::config;
use heronroute_engine::{CloseReason, ConnId, Node, Output, Start};
use heronroute_http::{Reader, Side};
use heronroute_journal::disk::{Disk, Faults};
use heronroute_journal::{Journal, Limits};
use heronroute_platform::start::{StartUp, read};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const MS: i64 = 1_000;
const SENDERS: usize = 20;
/// The kind (1: several messages in a call) and the destination of each endpoint. Endpoint i has port
/// 1000 + i.
const ENDPOINTS: [(usize, usize); 12] =
    [(0, 0), (0, 0), (1, 1), (1, 1), (0, 2), (0, 3), (1, 4), (0, 5), (0, 5), (0, 6), (0, 7), (1, 7)];
const WINDOW: i64 = 2_000 * MS;
const DEADLINE: i64 = 6_000 * MS;
const LAST_SUBMIT: i64 = 14_000 * MS;
const LIMITS: Limits = Limits { segment: 20_000, growth: 2, least: 20_000, most: 400_000 };

fn start_up(seed: u64) -> StartUp {
    let server = |(i, (kind, dest)): (usize, &(usize, usize))| {
        let kind = ["one", "bulk"][*kind];
        format!(
            r#"{{"id":"e{i}","addr":"127.0.0.1:{}","zone":"a","kind":"{kind}","cell":{dest},"state":"SERVING","weight":60.0}}"#,
            1_000 + i
        )
    };
    let servers: Vec<String> = ENDPOINTS.iter().enumerate().map(server).collect();
    let text = format!(
        r#"{{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"{seed:x}",
        "limits":{{"memory_mb":32,"sockets":64,"disk_mb":1}},
        "known":{{"version":4,"full":true,"servers":[{}]}},
        "settings":{{"Azs":["a"],"Shapes":["one","bulk"],"Customers":[{{"Name":"t","QuotaRps":50.0}}],"Balancers":{SENDERS},
        "Weights":"nominal","QuantumUs":1000,"Discovery":"push","FamilyInfo":{{"Workers":6,"BatchByKind":[1,10]}},
        "Limits":{{"MaxOpen":60,"MaxAttempts":6,"Cancel":true,"Probes":true,"RetryAfter":true,"MaxRetryAfterUs":2000000,
        "IdleCloseUs":5000000,"ConnectTimeoutUs":1500000,"StreamsPerConn":1}},
        "Profiles":[{{"Name":"safe","Effect":"free","HardLimitUs":{DEADLINE},"ObjectiveUs":1500000,"Worth":1.0}},
        {{"Name":"keyed","Effect":"guarded","WindowUs":{WINDOW},"HardLimitUs":{DEADLINE},"ObjectiveUs":2500000,"Worth":1.0}},
        {{"Name":"once","Effect":"single_shot","HardLimitUs":{DEADLINE},"ObjectiveUs":2500000,"Worth":5.0}}]}}}}"#,
        servers.join(",")
    );
    read(&text).unwrap()
}

/// A scheduled event; most name a sender's index, its incarnation and one of its connections.
#[derive(Clone, Debug)]
enum Event {
    Connected(usize, u32, ConnId),
    BytesAtPeer(usize, u32, ConnId, Vec<u8>, i64),
    BytesAtSender(usize, u32, ConnId, Vec<u8>, Option<(usize, i64)>),
    Reset(usize, u32, ConnId),
    Submit(usize),
    ClientCloses(usize, u32, ConnId),
    Kill(usize),
    Start(usize),
    Wake(usize, u32),
}

enum Peer {
    Endpoint(usize),
    Platform,
    Client(usize),
}

struct Conn {
    peer: Peer,
    connected: bool,
    open: bool,
    delay: i64,
    reader: Reader,
}

#[derive(Default)]
struct Message {
    class: usize,
    dest: usize,
    accepted: bool,
    deadline: i64,
    owner: usize,
    ended: Option<i64>,
    /// When the first attempt that ran was written by its sender.
    first_ran: Option<i64>,
    /// The connections on which a copy is sent and not answered.
    outstanding: BTreeSet<(usize, u32, ConnId)>,
}

struct Sender {
    node: Option<Node>,
    journal: Option<Journal<Disk>>,
    committed_entries: u64,
    incarnation: u32,
    wake_at: i64,
    /// When the current incarnation started.
    started: i64,
    /// The time until which each destination asked not to be sent requests.
    retry_after: BTreeMap<usize, i64>,
}

struct Fleet {
    now: i64,
    random_state: u64,
    /// The number of events scheduled so far, which orders events of the same time.
    scheduled: u64,
    events: BTreeMap<(i64, u64), Event>,
    senders: Vec<Sender>,
    conns: BTreeMap<(usize, u32, ConnId), Conn>,
    messages: Vec<Message>,
    /// The time until which each endpoint is cut off.
    cut_until: Vec<i64>,
    violations: Vec<String>,
    /// How often each kind of fault or result occurred.
    counts: BTreeMap<&'static str, usize>,
}

impl Fleet {
    fn random_below(&mut self, n: u64) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 20) % n
    }

    fn schedule(&mut self, at: i64, event: Event) {
        self.scheduled += 1;
        self.events.insert((at.max(self.now), self.scheduled), event);
    }

    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    fn start_sender(&mut self, index: usize) {
        let start = start_up(self.random_state);
        let sender = &mut self.senders[index];
        sender.incarnation += 1;
        (sender.committed_entries, sender.wake_at, sender.started) = (0, i64::MAX, self.now);
        sender.retry_after.clear();
        let disk = sender.journal.take().map_or_else(|| Disk::new(Faults::default()), Journal::into_storage);
        let journal = Journal::open(disk, LIMITS).unwrap();
        let state = Some(journal.state().clone());
        let wall = (1 << 50) + self.now;
        let at = Start {
            index: 0,
            seed: self.random_state | 1,
            now: self.now,
            wall,
            list: 4,
            kept: None,
            state,
            journal_usage: journal.usage(),
            fleet: false,
        };
        sender.node = Some(Node::new(Arc::new(config(&start)), at).unwrap());
        sender.journal = Some(journal);
        self.run_node(index);
    }

    /// Handles all outputs that a sender's node has now, and schedules its next wake-up.
    fn run_node(&mut self, index: usize) {
        let (now, incarnation) = (self.now, self.senders[index].incarnation);
        let Some(mut node) = self.senders[index].node.take() else { return };
        node.settle(now);
        loop {
            let outputs = node.outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                match output {
                    Output::Connect { conn, address } => self.connect(index, conn, address.port()),
                    Output::Write(conn) | Output::Finish(conn) => {
                        let bytes = node.pending(conn).to_vec();
                        self.wrote(index, conn, &bytes);
                        if node.wrote(conn, bytes.len()) {
                            self.close(index, incarnation, conn);
                        }
                    }
                    Output::Drop(conn) => self.close(index, incarnation, conn),
                    Output::Journal(entries) => {
                        let sender = &mut self.senders[index];
                        let journal = sender.journal.as_mut().unwrap();
                        journal.commit(&entries).unwrap();
                        sender.committed_entries += entries.len() as u64;
                        node.durable(now, sender.committed_entries, journal.usage());
                    }
                    Output::SaveList(_)
                    | Output::Live(_)
                    | Output::ClientRequest(_)
                    | Output::Copying
                    | Output::Inherited(_) => {}
                }
            }
            node.settle(now);
        }
        let wake = node.wake().unwrap_or(i64::MAX).max(now + 1);
        self.senders[index].node = Some(node);
        if wake < self.senders[index].wake_at || self.senders[index].wake_at <= now {
            self.senders[index].wake_at = wake;
            if wake < i64::MAX {
                self.schedule(wake, Event::Wake(index, incarnation));
            }
        }
    }

    fn with_node(&mut self, index: usize, work: impl FnOnce(&mut Node, i64)) {
        let now = self.now;
        if let Some(node) = &mut self.senders[index].node {
            work(node, now);
        }
        self.run_node(index);
    }

    fn connect(&mut self, index: usize, conn: ConnId, port: u16) {
        let delay = 3 * MS + self.random_below(15_000) as i64;
        let peer = if port == 2 { Peer::Platform } else { Peer::Endpoint(usize::from(port) - 1_000) };
        // Lost packets are sent again after a second; an endpoint that is cut off responds once it can be
        // reached.
        let late =
            if matches!(peer, Peer::Endpoint(_)) && self.random_below(12) == 0 { 1_000 * MS } else { 0 };
        let cut = if let Peer::Endpoint(endpoint) = peer { self.cut_until[endpoint] } else { 0 };
        let up = (self.now + 2 * delay + late).max(cut);
        let incarnation = self.senders[index].incarnation;
        let reader = Reader::new(Side::Requests, 1 << 20);
        self.conns
            .insert((index, incarnation, conn), Conn { peer, connected: false, open: true, delay, reader });
        self.schedule(up, Event::Connected(index, incarnation, conn));
    }

    fn close(&mut self, index: usize, incarnation: u32, conn: ConnId) {
        if let Some(connection) = self.conns.get_mut(&(index, incarnation, conn)) {
            connection.open = false;
        }
        self.messages
            .iter_mut()
            .for_each(|message| _ = message.outstanding.remove(&(index, incarnation, conn)));
    }

    fn wrote(&mut self, index: usize, conn: ConnId, bytes: &[u8]) {
        let incarnation = self.senders[index].incarnation;
        let Some(connection) = self.conns.get(&(index, incarnation, conn)).filter(|_| !bytes.is_empty())
        else {
            return;
        };
        match connection.peer {
            Peer::Client(n) => {
                let text = String::from_utf8_lossy(bytes).into_owned();
                let message = &mut self.messages[n];
                message.accepted = text.starts_with("+OK");
                if !message.accepted && message.class == 2 && message.first_ran.is_some() {
                    self.violations.push(format!("m{n} may be submitted again: {text:?}"));
                }
                self.schedule(self.now + MS, Event::ClientCloses(index, incarnation, conn));
            }
            Peer::Platform => {
                let at = self.now + connection.delay;
                self.schedule(at, Event::BytesAtPeer(index, incarnation, conn, bytes.to_vec(), self.now));
            }
            Peer::Endpoint(endpoint) => {
                let (dest, at) = (ENDPOINTS[endpoint].1, self.now + connection.delay);
                let until = self.senders[index].retry_after.get(&dest).copied().unwrap_or(0);
                if bytes.starts_with(b"POST") && until > self.now {
                    let left = until - self.now;
                    self.violations.push(format!(
                        "sender {index} sent to {dest} at {} {left} us before its Retry-After was over",
                        self.now
                    ));
                }
                self.schedule(at, Event::BytesAtPeer(index, incarnation, conn, bytes.to_vec(), self.now));
            }
        }
    }

    /// Handles bytes of a request that arrived at the peer.
    fn deliver_to_peer(&mut self, index: usize, incarnation: u32, conn: ConnId, bytes: &[u8], written: i64) {
        let Some(connection) = self.conns.get_mut(&(index, incarnation, conn)) else { return };
        if let Peer::Endpoint(endpoint) = connection.peer
            && self.cut_until[endpoint] > self.now
        {
            let (at, bytes) = (self.cut_until[endpoint], bytes.to_vec());
            return self.schedule(at, Event::BytesAtPeer(index, incarnation, conn, bytes, written));
        }
        connection.reader.push(bytes);
        let mut requests = Vec::new();
        while let Some(message) = connection.reader.next_message().unwrap() {
            requests.push(message);
        }
        let (delay, endpoint_index) = (
            connection.delay,
            if let Peer::Endpoint(endpoint) = connection.peer { Some(endpoint) } else { None },
        );
        for request in requests {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            match endpoint_index {
                None if body.is_empty() => {
                    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                    self.schedule(
                        self.now + delay,
                        Event::BytesAtSender(index, incarnation, conn, head.into(), None),
                    );
                }
                None => {
                    for line in body.lines() {
                        let n = message_numbers(line)[0];
                        if line.contains("returned")
                            && self.messages[n].class == 2
                            && self.messages[n].first_ran.is_some()
                        {
                            self.violations.push(format!("m{n} ran, may not be repeated, and is returned"));
                        }
                        let now = self.now;
                        self.messages[n].ended.get_or_insert(now);
                    }
                    let no_content = "HTTP/1.1 204 No Content\r\n\r\n";
                    self.schedule(
                        self.now + delay,
                        Event::BytesAtSender(index, incarnation, conn, no_content.into(), None),
                    );
                }
                Some(endpoint) => {
                    let ids = match request.field("x-call-id") {
                        Some(id) => vec![id[1..].parse().unwrap()],
                        None => message_numbers(&body),
                    };
                    self.serve(index, incarnation, conn, endpoint, &ids, written);
                }
            }
        }
    }

    /// Lets an endpoint handle a call: checks the call, picks an outcome, and schedules the response.
    fn serve(
        &mut self,
        index: usize,
        incarnation: u32,
        conn: ConnId,
        endpoint: usize,
        ids: &[usize],
        written: i64,
    ) {
        let delay = self.conns[&(index, incarnation, conn)].delay;
        let open = self.conns[&(index, incarnation, conn)].open;
        for &n in ids {
            let now = self.now;
            let message = &mut self.messages[n];
            assert_eq!(message.dest, ENDPOINTS[endpoint].1, "its own destination");
            if open && message.outstanding.iter().any(|o| *o != (index, incarnation, conn)) {
                self.violations.push(format!("m{n}: a second copy at {now}"));
            }
            match (message.class, message.first_ran) {
                (2, Some(_)) => self.violations.push(format!("m{n} ran once and is sent again at {now}")),
                (1, Some(ran)) if written > ran + WINDOW => {
                    self.violations.push(format!("m{n} is sent again {} us after it ran", written - ran));
                }
                _ => {}
            }
            if open {
                message.outstanding.insert((index, incarnation, conn));
            }
        }
        let done = if ids.len() > 1 {
            let states: Vec<String> =
                ids.iter().map(|n| format!(r#"{{"id":"m{n}","state":"ok"}}"#)).collect();
            format!("[{}]", states.join(","))
        } else {
            "ok".to_string()
        };
        let work = 10 * MS + self.random_below(90_000) as i64;
        let outcome = if ids.is_empty() { self.random_below(20) + 80 } else { self.random_below(100) };
        let wait = 200 + self.random_below(700) as i64;
        let whole = |status: &str, body: &str| {
            format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
        };
        let retry_told = format!("429 No\r\nretry-after: {}.{:03}", wait / 1_000, wait % 1_000);
        let (ran, text) = match outcome {
            0..14 => (false, whole(&retry_told, "later")),
            14..20 => (false, whole("503 No", "")),
            20..25 => (true, whole("500 No", "")),
            25..30 => (true, String::new()),
            30..34 => (true, "reset".to_string()),
            34..38 => (true, "\u{1}noise\r\n\r\n".to_string()),
            90..93 if ids.is_empty() => (false, whole("503 No", "")),
            _ => (true, whole("200 OK", &done)),
        };
        if ran {
            ids.iter().for_each(|n| _ = self.messages[*n].first_ran.get_or_insert(written));
        }
        let back = self.now + work + delay;
        match text.as_str() {
            "" => self.count("lost"),
            "reset" => {
                self.count("reset");
                ids.iter()
                    .for_each(|n| _ = self.messages[*n].outstanding.remove(&(index, incarnation, conn)));
                self.schedule(back, Event::Reset(index, incarnation, conn));
            }
            _ if text.contains("retry-after") => {
                self.count("waits");
                let at = self.now + work + wait * MS;
                // The body sometimes arrives later than the head.
                let cut = if self.random_below(3) == 0 { text.len() - 3 } else { text.len() };
                let (head, rest) = text.split_at(cut);
                let retry_told = Some((ENDPOINTS[endpoint].1, at));
                self.schedule(back, Event::BytesAtSender(index, incarnation, conn, head.into(), retry_told));
                if !rest.is_empty() {
                    self.schedule(
                        back + 150 * MS,
                        Event::BytesAtSender(index, incarnation, conn, rest.into(), None),
                    );
                }
            }
            _ => {
                if text.starts_with("HTTP/1.1 200") && !ids.is_empty() {
                    self.count("delivered");
                    let at = self.now + work;
                    ids.iter().for_each(|n| _ = self.messages[*n].ended.get_or_insert(at));
                }
                self.schedule(
                    back,
                    Event::BytesAtSender(index, incarnation, conn, text.clone().into_bytes(), None),
                );
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        let alive = |fleet: &Fleet, index: usize, incarnation: u32| {
            fleet.senders[index].incarnation == incarnation && fleet.senders[index].node.is_some()
        };
        match event {
            Event::Connected(index, incarnation, conn) => {
                let Some(connection) =
                    self.conns.get_mut(&(index, incarnation, conn)).filter(|connection| connection.open)
                else {
                    return;
                };
                connection.connected = true;
                self.with_node(index, |node, now| node.connected(now, conn));
            }
            Event::BytesAtPeer(index, incarnation, conn, bytes, written) => {
                self.deliver_to_peer(index, incarnation, conn, &bytes, written)
            }
            Event::BytesAtSender(index, incarnation, conn, bytes, retry_told) => {
                let Some(connection) =
                    self.conns.get(&(index, incarnation, conn)).filter(|connection| connection.open)
                else {
                    return;
                };
                if let Peer::Endpoint(endpoint) = connection.peer
                    && self.cut_until[endpoint] > now
                {
                    let at = self.cut_until[endpoint];
                    return self
                        .schedule(at, Event::BytesAtSender(index, incarnation, conn, bytes, retry_told));
                }
                self.messages
                    .iter_mut()
                    .for_each(|message| _ = message.outstanding.remove(&(index, incarnation, conn)));
                if let Some((dest, until)) = retry_told {
                    let known = self.senders[index].retry_after.entry(dest).or_default();
                    *known = (*known).max(until);
                }
                self.with_node(index, |node, now| node.received(now, conn, &bytes));
            }
            Event::Reset(index, incarnation, conn) => {
                if self.conns.get(&(index, incarnation, conn)).is_some_and(|connection| connection.open) {
                    self.close(index, incarnation, conn);
                    self.with_node(index, |node, now| node.closed(now, conn, CloseReason::Broken));
                }
            }
            Event::Submit(n) => {
                let index = self.random_below(SENDERS as u64) as usize;
                let Some(node) = &mut self.senders[index].node else { return };
                let Some(conn) = node.accepted(now, Speaks::Resp, b"") else { return };
                let incarnation = self.senders[index].incarnation;
                let reader = Reader::new(Side::Requests, 1 << 20);
                let client_conn =
                    Conn { peer: Peer::Client(n), connected: true, open: true, delay: 0, reader };
                self.conns.insert((index, incarnation, conn), client_conn);
                let message = &mut self.messages[n];
                (message.owner, message.deadline) = (index, now + DEADLINE);
                let pairs = format!(
                    "c={},t=t,d={},dest={}{}",
                    ["safe", "keyed", "once"][message.class],
                    DEADLINE / MS,
                    message.dest,
                    if message.class == 1 { format!(",k=k{n}") } else { String::new() }
                );
                let args = ["OUT.ADD".to_string(), "0".into(), format!("m{n}"), pairs, "body".into()];
                let text: String = args.iter().map(|a| format!("${}\r\n{a}\r\n", a.len())).collect();
                self.schedule(now + 400 * MS, Event::ClientCloses(index, incarnation, conn));
                self.with_node(index, |node, now| {
                    node.received(now, conn, format!("*5\r\n{text}").as_bytes())
                });
            }
            Event::ClientCloses(index, incarnation, conn) => {
                if self.conns.get(&(index, incarnation, conn)).is_some_and(|connection| connection.open) {
                    self.close(index, incarnation, conn);
                    self.with_node(index, |node, now| node.closed(now, conn, CloseReason::Ended));
                }
            }
            Event::Kill(index) => {
                if self.senders[index].node.take().is_some() {
                    self.count("kills");
                    let incarnation = self.senders[index].incarnation;
                    let mine: Vec<ConnId> = self
                        .conns
                        .range((index, incarnation, 0)..(index, incarnation + 1, 0))
                        .map(|(k, _)| k.2)
                        .collect();
                    mine.into_iter().for_each(|conn| self.close(index, incarnation, conn));
                    self.schedule(now + 600 * MS, Event::Start(index));
                }
            }
            Event::Start(index) => self.start_sender(index),
            Event::Wake(index, incarnation) => {
                if alive(self, index, incarnation) {
                    self.run_node(index);
                }
            }
        }
    }
}

/// Returns the numbers of the messages named in a JSON text.
fn message_numbers(text: &str) -> Vec<usize> {
    text.split("\"id\":\"m").skip(1).map(|t| t.split('"').next().unwrap().parse().unwrap()).collect()
}

/// Runs the scenario of a seed to its end and returns the fleet with the violations found.
fn run_scenario(seed: u64) -> Fleet {
    let sender = || Sender {
        node: None,
        journal: None,
        committed_entries: 0,
        incarnation: 0,
        wake_at: i64::MAX,
        started: 0,
        retry_after: BTreeMap::new(),
    };
    let mut fleet = Fleet {
        now: 0,
        random_state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        scheduled: 0,
        events: BTreeMap::new(),
        senders: (0..SENDERS).map(|_| sender()).collect(),
        conns: BTreeMap::new(),
        messages: Vec::new(),
        cut_until: vec![0; ENDPOINTS.len()],
        violations: Vec::new(),
        counts: BTreeMap::new(),
    };
    (0..20).for_each(|_| _ = fleet.random_below(2));
    (0..SENDERS).for_each(|index| fleet.start_sender(index));
    for n in 0..2_500 {
        let at = fleet.random_below(LAST_SUBMIT as u64) as i64;
        let (class, dest) = (fleet.random_below(3) as usize, fleet.random_below(8) as usize);
        fleet.messages.push(Message { class, dest, ..Message::default() });
        fleet.schedule(at, Event::Submit(n));
    }
    // Three mass failures: many senders are killed together, and many of these again while they still have
    // work that may have run.
    for (at, part) in [(5_000, 70), (6_300, 70), (10_000, 40)] {
        for index in 0..SENDERS {
            if fleet.random_below(100) < part {
                let at = at * MS + fleet.random_below(300_000) as i64;
                fleet.schedule(at, Event::Kill(index));
            }
        }
    }
    let cuts: Vec<(i64, usize, i64)> = (0..5)
        .map(|_| {
            let span = 1_000 + fleet.random_below(3_500) as i64;
            (
                fleet.random_below(LAST_SUBMIT as u64) as i64,
                fleet.random_below(ENDPOINTS.len() as u64) as usize,
                span * MS,
            )
        })
        .collect();
    while let Some(((at, _), event)) = fleet.events.pop_first() {
        if at > LAST_SUBMIT + DEADLINE + 2_500 * MS {
            break;
        }
        fleet.now = at;
        for (from, endpoint, span) in &cuts {
            if *from <= at && at < from + span {
                fleet.cut_until[*endpoint] = from + span;
            }
        }
        fleet.handle(event);
    }
    for (n, message) in fleet.messages.iter().enumerate().filter(|(_, message)| message.accepted) {
        let due = (message.deadline + 300 * MS).max(fleet.senders[message.owner].started + 1_500 * MS);
        if message.ended.is_none_or(|at| at > due) {
            fleet
                .violations
                .push(format!("m{n} (class {}) ended {:?}, due {due}", message.class, message.ended));
        }
    }
    fleet
}

/// Returns the seeds to run. `FLEET_SEEDS=40` runs seeds 1 to 40; the default is 1 to 5.
fn seeds() -> std::ops::RangeInclusive<u64> {
    1..=std::env::var("FLEET_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(5)
}

/// Guards against a message that runs twice, or is sent before a Retry-After is over, when many senders are
/// killed, cut off and restarted at once.
#[test]
fn all_senders_keep_retry_after_and_no_message_runs_twice() {
    for seed in seeds() {
        let fleet = run_scenario(seed);
        assert!(
            fleet.violations.is_empty(),
            "seed {seed}: {} violations, first {:#?}",
            fleet.violations.len(),
            &fleet.violations[..fleet.violations.len().min(6)]
        );
        // The scenario contained enough traffic and faults.
        let seen = |kind| fleet.counts.get(kind).copied().unwrap_or(0);
        let accepted = fleet.messages.iter().filter(|message| message.accepted).count();
        assert!(
            accepted > 1_000 && seen("delivered") > 400,
            "seed {seed}: {accepted} accepted, {:?}",
            fleet.counts
        );
        assert!(
            ["kills", "waits", "lost", "reset"].iter().all(|w| seen(w) >= 10),
            "seed {seed}: {:?}",
            fleet.counts
        );
    }
}

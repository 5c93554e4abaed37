//! A fleet in memory: real Nodes with their journals on a virtual clock, over a network that is scripted from a seed, with
//! cuts, late connections, resets, lost and slow answers, told waits, kills with journals kept. What crosses is checked for
//! waits that are broken, work that is done twice, two copies out, and messages that never end, over all senders
//! together. Guards against what harms nothing in one sender and shows among many.

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
/// Kind (1: several messages in a call) and destination of each endpoint; endpoint i is at port 1000 + i.
const ENDPOINTS: [(usize, usize); 12] =
    [(0, 0), (0, 0), (1, 1), (1, 1), (0, 2), (0, 3), (1, 4), (0, 5), (0, 5), (0, 6), (0, 7), (1, 7)];
const WINDOW: i64 = 2_000 * MS;
const TIME: i64 = 6_000 * MS;
const LAST_HAND_IN: i64 = 14_000 * MS;
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
        "Profiles":[{{"Name":"safe","Effect":"free","HardLimitUs":{TIME},"ObjectiveUs":1500000,"Worth":1.0}},
        {{"Name":"keyed","Effect":"guarded","WindowUs":{WINDOW},"HardLimitUs":{TIME},"ObjectiveUs":2500000,"Worth":1.0}},
        {{"Name":"once","Effect":"single_shot","HardLimitUs":{TIME},"ObjectiveUs":2500000,"Worth":5.0}}]}}}}"#,
        servers.join(",")
    );
    read(&text).unwrap()
}

#[derive(Clone, Debug)]
enum What {
    Up(usize, u32, ConnId),
    Reach(usize, u32, ConnId, Vec<u8>, i64),
    Back(usize, u32, ConnId, Vec<u8>, Option<(usize, i64)>),
    Break(usize, u32, ConnId),
    HandIn(usize),
    Bored(usize, u32, ConnId),
    Kill(usize),
    Begin(usize),
    Wake(usize, u32),
}

enum To {
    Endpoint(usize),
    Platform,
    Client(usize),
}

struct Conn {
    to: To,
    up: bool,
    open: bool,
    delay: i64,
    reader: Reader,
}

#[derive(Default)]
struct Message {
    class: usize,
    dest: usize,
    taken: bool,
    deadline: i64,
    owner: usize,
    ended: Option<i64>,
    /// When the first attempt that ran was written.
    ran: Option<i64>,
    out: BTreeSet<(usize, u32, ConnId)>,
}

struct Sender {
    node: Option<Node>,
    journal: Option<Journal<Disk>>,
    count: u64,
    life: u32,
    wake: i64,
    ready: i64,
    waits: BTreeMap<usize, i64>,
}

struct Fleet {
    now: i64,
    random: u64,
    n: u64,
    todo: BTreeMap<(i64, u64), What>,
    senders: Vec<Sender>,
    conns: BTreeMap<(usize, u32, ConnId), Conn>,
    messages: Vec<Message>,
    /// Endpoints are cut off until then.
    cut: Vec<i64>,
    broken: Vec<String>,
    seen: BTreeMap<&'static str, usize>,
}

impl Fleet {
    fn roll(&mut self, n: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 20) % n
    }

    fn at(&mut self, at: i64, what: What) {
        self.n += 1;
        self.todo.insert((at.max(self.now), self.n), what);
    }

    fn count(&mut self, what: &'static str) {
        *self.seen.entry(what).or_default() += 1;
    }

    fn begin(&mut self, s: usize) {
        let start = start_up(self.random);
        let sender = &mut self.senders[s];
        sender.life += 1;
        (sender.count, sender.wake, sender.ready) = (0, i64::MAX, self.now);
        sender.waits.clear();
        let disk = sender.journal.take().map_or_else(|| Disk::new(Faults::default()), Journal::into_storage);
        let journal = Journal::open(disk, LIMITS).unwrap();
        let state = Some(journal.state().clone());
        let wall = (1 << 50) + self.now;
        let at = Start {
            index: 0,
            seed: self.random | 1,
            now: self.now,
            wall,
            list: 4,
            kept: None,
            state,
            fleet: false,
        };
        sender.node = Some(Node::new(Arc::new(config(&start)), at).unwrap());
        sender.journal = Some(journal);
        self.drive(s);
    }

    /// A sender does all that it wants to do now.
    fn drive(&mut self, s: usize) {
        let (now, life) = (self.now, self.senders[s].life);
        let Some(mut node) = self.senders[s].node.take() else { return };
        node.settle(now);
        loop {
            let outputs = node.outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                match output {
                    Output::Connect { conn, address } => self.connect(s, conn, address.port()),
                    Output::Write(conn) | Output::Finish(conn) => {
                        let octets = node.pending(conn).to_vec();
                        self.wrote(s, conn, &octets);
                        if node.wrote(conn, octets.len()) {
                            self.close(s, life, conn);
                        }
                    }
                    Output::Drop(conn) => self.close(s, life, conn),
                    Output::Journal(entries) => {
                        let sender = &mut self.senders[s];
                        let journal = sender.journal.as_mut().unwrap();
                        journal.commit(&entries).unwrap();
                        sender.count += entries.len() as u64;
                        node.durable(now, sender.count, journal.usage());
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
        self.senders[s].node = Some(node);
        if wake < self.senders[s].wake || self.senders[s].wake <= now {
            self.senders[s].wake = wake;
            if wake < i64::MAX {
                self.at(wake, What::Wake(s, life));
            }
        }
    }

    fn with(&mut self, s: usize, work: impl FnOnce(&mut Node, i64)) {
        let now = self.now;
        if let Some(node) = &mut self.senders[s].node {
            work(node, now);
        }
        self.drive(s);
    }

    fn connect(&mut self, s: usize, conn: ConnId, port: u16) {
        let delay = 3 * MS + self.roll(15_000) as i64;
        let to = if port == 2 { To::Platform } else { To::Endpoint(usize::from(port) - 1_000) };
        // Lost packets are sent again after a second; what is cut off answers once it is back.
        let late = if matches!(to, To::Endpoint(_)) && self.roll(12) == 0 { 1_000 * MS } else { 0 };
        let cut = if let To::Endpoint(e) = to { self.cut[e] } else { 0 };
        let up = (self.now + 2 * delay + late).max(cut);
        let life = self.senders[s].life;
        let reader = Reader::new(Side::Requests, 1 << 20);
        self.conns.insert((s, life, conn), Conn { to, up: false, open: true, delay, reader });
        self.at(up, What::Up(s, life, conn));
    }

    fn close(&mut self, s: usize, life: u32, conn: ConnId) {
        if let Some(c) = self.conns.get_mut(&(s, life, conn)) {
            c.open = false;
        }
        self.messages.iter_mut().for_each(|m| _ = m.out.remove(&(s, life, conn)));
    }

    fn wrote(&mut self, s: usize, conn: ConnId, octets: &[u8]) {
        let life = self.senders[s].life;
        let Some(c) = self.conns.get(&(s, life, conn)).filter(|_| !octets.is_empty()) else { return };
        match c.to {
            To::Client(n) => {
                let text = String::from_utf8_lossy(octets).into_owned();
                let m = &mut self.messages[n];
                m.taken = text.starts_with("+OK");
                if !m.taken && m.class == 2 && m.ran.is_some() {
                    self.broken.push(format!("m{n} may be handed in again: {text:?}"));
                }
                self.at(self.now + MS, What::Bored(s, life, conn));
            }
            To::Platform => {
                let at = self.now + c.delay;
                self.at(at, What::Reach(s, life, conn, octets.to_vec(), self.now));
            }
            To::Endpoint(e) => {
                let (dest, at) = (ENDPOINTS[e].1, self.now + c.delay);
                let until = self.senders[s].waits.get(&dest).copied().unwrap_or(0);
                if octets.starts_with(b"POST") && until > self.now {
                    let left = until - self.now;
                    self.broken.push(format!(
                        "{s} sent to {dest} at {} {left} us before its wait was over",
                        self.now
                    ));
                }
                self.at(at, What::Reach(s, life, conn, octets.to_vec(), self.now));
            }
        }
    }

    /// Octets of a request have come to their end of the connection.
    fn reached(&mut self, s: usize, life: u32, conn: ConnId, octets: &[u8], written: i64) {
        let Some(c) = self.conns.get_mut(&(s, life, conn)) else { return };
        if let To::Endpoint(e) = c.to
            && self.cut[e] > self.now
        {
            let (at, octets) = (self.cut[e], octets.to_vec());
            return self.at(at, What::Reach(s, life, conn, octets, written));
        }
        c.reader.push(octets);
        let mut requests = Vec::new();
        while let Some(m) = c.reader.next_message().unwrap() {
            requests.push(m);
        }
        let (delay, place) = (c.delay, if let To::Endpoint(e) = c.to { Some(e) } else { None });
        for request in requests {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            match place {
                None if body.is_empty() => {
                    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                    self.at(self.now + delay, What::Back(s, life, conn, head.into(), None));
                }
                None => {
                    for line in body.lines() {
                        let n = named(line)[0];
                        if line.contains("returned")
                            && self.messages[n].class == 2
                            && self.messages[n].ran.is_some()
                        {
                            self.broken.push(format!("m{n} ran, may not be repeated, and is handed back"));
                        }
                        let now = self.now;
                        self.messages[n].ended.get_or_insert(now);
                    }
                    let taken = "HTTP/1.1 204 No Content\r\n\r\n";
                    self.at(self.now + delay, What::Back(s, life, conn, taken.into(), None));
                }
                Some(e) => {
                    let ids = match request.field("x-call-id") {
                        Some(id) => vec![id[1..].parse().unwrap()],
                        None => named(&body),
                    };
                    self.serve(s, life, conn, e, &ids, written);
                }
            }
        }
    }

    fn serve(&mut self, s: usize, life: u32, conn: ConnId, e: usize, ids: &[usize], written: i64) {
        let delay = self.conns[&(s, life, conn)].delay;
        let open = self.conns[&(s, life, conn)].open;
        for &n in ids {
            let now = self.now;
            let m = &mut self.messages[n];
            assert_eq!(m.dest, ENDPOINTS[e].1, "its own destination");
            if open && m.out.iter().any(|o| *o != (s, life, conn)) {
                self.broken.push(format!("m{n}: a second copy at {now}"));
            }
            match (m.class, m.ran) {
                (2, Some(_)) => self.broken.push(format!("m{n} ran once and is sent again at {now}")),
                (1, Some(ran)) if written > ran + WINDOW => {
                    self.broken.push(format!("m{n} is sent again {} us after it ran", written - ran));
                }
                _ => {}
            }
            if open {
                m.out.insert((s, life, conn));
            }
        }
        let done = if ids.len() > 1 {
            let states: Vec<String> =
                ids.iter().map(|n| format!(r#"{{"id":"m{n}","state":"ok"}}"#)).collect();
            format!("[{}]", states.join(","))
        } else {
            "ok".to_string()
        };
        let work = 10 * MS + self.roll(90_000) as i64;
        let dice = if ids.is_empty() { self.roll(20) + 80 } else { self.roll(100) };
        let wait = 200 + self.roll(700) as i64;
        let whole = |status: &str, body: &str| {
            format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
        };
        let told = format!("429 No\r\nretry-after: {}.{:03}", wait / 1_000, wait % 1_000);
        let (ran, text) = match dice {
            0..14 => (false, whole(&told, "later")),
            14..20 => (false, whole("503 No", "")),
            20..25 => (true, whole("500 No", "")),
            25..30 => (true, String::new()),
            30..34 => (true, "reset".to_string()),
            34..38 => (true, "\u{1}noise\r\n\r\n".to_string()),
            90..93 if ids.is_empty() => (false, whole("503 No", "")),
            _ => (true, whole("200 OK", &done)),
        };
        if ran {
            ids.iter().for_each(|n| _ = self.messages[*n].ran.get_or_insert(written));
        }
        let back = self.now + work + delay;
        match text.as_str() {
            "" => self.count("lost"),
            "reset" => {
                self.count("reset");
                ids.iter().for_each(|n| _ = self.messages[*n].out.remove(&(s, life, conn)));
                self.at(back, What::Break(s, life, conn));
            }
            _ if text.contains("retry-after") => {
                self.count("waits");
                let at = self.now + work + wait * MS;
                // Its body comes later now and then.
                let cut = if self.roll(3) == 0 { text.len() - 3 } else { text.len() };
                let (head, rest) = text.split_at(cut);
                let told = Some((ENDPOINTS[e].1, at));
                self.at(back, What::Back(s, life, conn, head.into(), told));
                if !rest.is_empty() {
                    self.at(back + 150 * MS, What::Back(s, life, conn, rest.into(), None));
                }
            }
            _ => {
                if text.starts_with("HTTP/1.1 200") && !ids.is_empty() {
                    self.count("delivered");
                    let at = self.now + work;
                    ids.iter().for_each(|n| _ = self.messages[*n].ended.get_or_insert(at));
                }
                self.at(back, What::Back(s, life, conn, text.clone().into_bytes(), None));
            }
        }
    }

    fn act(&mut self, what: What) {
        let now = self.now;
        let alive = |f: &Fleet, s: usize, life: u32| f.senders[s].life == life && f.senders[s].node.is_some();
        match what {
            What::Up(s, life, conn) => {
                let Some(c) = self.conns.get_mut(&(s, life, conn)).filter(|c| c.open) else { return };
                c.up = true;
                self.with(s, |node, now| node.connected(now, conn));
            }
            What::Reach(s, life, conn, octets, written) => self.reached(s, life, conn, &octets, written),
            What::Back(s, life, conn, octets, told) => {
                let Some(c) = self.conns.get(&(s, life, conn)).filter(|c| c.open) else { return };
                if let To::Endpoint(e) = c.to
                    && self.cut[e] > now
                {
                    let at = self.cut[e];
                    return self.at(at, What::Back(s, life, conn, octets, told));
                }
                self.messages.iter_mut().for_each(|m| _ = m.out.remove(&(s, life, conn)));
                if let Some((dest, until)) = told {
                    let known = self.senders[s].waits.entry(dest).or_default();
                    *known = (*known).max(until);
                }
                self.with(s, |node, now| node.received(now, conn, &octets));
            }
            What::Break(s, life, conn) => {
                if self.conns.get(&(s, life, conn)).is_some_and(|c| c.open) {
                    self.close(s, life, conn);
                    self.with(s, |node, now| node.closed(now, conn, CloseReason::Broken));
                }
            }
            What::HandIn(n) => {
                let s = self.roll(SENDERS as u64) as usize;
                let Some(node) = &mut self.senders[s].node else { return };
                let Some(conn) = node.accepted(now, Speaks::Resp, b"") else { return };
                let life = self.senders[s].life;
                let reader = Reader::new(Side::Requests, 1 << 20);
                let conn_ = Conn { to: To::Client(n), up: true, open: true, delay: 0, reader };
                self.conns.insert((s, life, conn), conn_);
                let m = &mut self.messages[n];
                (m.owner, m.deadline) = (s, now + TIME);
                let pairs = format!(
                    "c={},t=t,d={},dest={}{}",
                    ["safe", "keyed", "once"][m.class],
                    TIME / MS,
                    m.dest,
                    if m.class == 1 { format!(",k=k{n}") } else { String::new() }
                );
                let args = ["OUT.ADD".to_string(), "0".into(), format!("m{n}"), pairs, "body".into()];
                let text: String = args.iter().map(|a| format!("${}\r\n{a}\r\n", a.len())).collect();
                self.at(now + 400 * MS, What::Bored(s, life, conn));
                self.with(s, |node, now| node.received(now, conn, format!("*5\r\n{text}").as_bytes()));
            }
            What::Bored(s, life, conn) => {
                if self.conns.get(&(s, life, conn)).is_some_and(|c| c.open) {
                    self.close(s, life, conn);
                    self.with(s, |node, now| node.closed(now, conn, CloseReason::Ended));
                }
            }
            What::Kill(s) => {
                if self.senders[s].node.take().is_some() {
                    self.count("kills");
                    let life = self.senders[s].life;
                    let mine: Vec<ConnId> =
                        self.conns.range((s, life, 0)..(s, life + 1, 0)).map(|(k, _)| k.2).collect();
                    mine.into_iter().for_each(|conn| self.close(s, life, conn));
                    self.at(now + 600 * MS, What::Begin(s));
                }
            }
            What::Begin(s) => self.begin(s),
            What::Wake(s, life) => {
                if alive(self, s, life) {
                    self.drive(s);
                }
            }
        }
    }
}

fn named(text: &str) -> Vec<usize> {
    text.split("\"id\":\"m").skip(1).map(|t| t.split('"').next().unwrap().parse().unwrap()).collect()
}

fn play(seed: u64) -> Fleet {
    let sender = || Sender {
        node: None,
        journal: None,
        count: 0,
        life: 0,
        wake: i64::MAX,
        ready: 0,
        waits: BTreeMap::new(),
    };
    let mut f = Fleet {
        now: 0,
        random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        n: 0,
        todo: BTreeMap::new(),
        senders: (0..SENDERS).map(|_| sender()).collect(),
        conns: BTreeMap::new(),
        messages: Vec::new(),
        cut: vec![0; ENDPOINTS.len()],
        broken: Vec::new(),
        seen: BTreeMap::new(),
    };
    (0..20).for_each(|_| _ = f.roll(2));
    (0..SENDERS).for_each(|s| f.begin(s));
    for n in 0..2_500 {
        let at = f.roll(LAST_HAND_IN as u64) as i64;
        let (class, dest) = (f.roll(3) as usize, f.roll(8) as usize);
        f.messages.push(Message { class, dest, ..Message::default() });
        f.at(at, What::HandIn(n));
    }
    // A herd, three times: many are killed together, and many of these again while work that may have run is still bound.
    for (at, part) in [(5_000, 70), (6_300, 70), (10_000, 40)] {
        for s in 0..SENDERS {
            if f.roll(100) < part {
                let at = at * MS + f.roll(300_000) as i64;
                f.at(at, What::Kill(s));
            }
        }
    }
    let cuts: Vec<(i64, usize, i64)> = (0..5)
        .map(|_| {
            let span = 1_000 + f.roll(3_500) as i64;
            (f.roll(LAST_HAND_IN as u64) as i64, f.roll(ENDPOINTS.len() as u64) as usize, span * MS)
        })
        .collect();
    while let Some(((at, _), what)) = f.todo.pop_first() {
        if at > LAST_HAND_IN + TIME + 2_500 * MS {
            break;
        }
        f.now = at;
        for (from, e, span) in &cuts {
            if *from <= at && at < from + span {
                f.cut[*e] = from + span;
            }
        }
        f.act(what);
    }
    for (n, m) in f.messages.iter().enumerate().filter(|(_, m)| m.taken) {
        let due = (m.deadline + 300 * MS).max(f.senders[m.owner].ready + 1_500 * MS);
        if m.ended.is_none_or(|at| at > due) {
            f.broken.push(format!("m{n} (class {}) ended {:?}, due {due}", m.class, m.ended));
        }
    }
    f
}

/// `FLEET_SEEDS=40` plays the first 40.
fn seeds() -> std::ops::RangeInclusive<u64> {
    1..=std::env::var("FLEET_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(5)
}

#[test]
fn over_all_senders_no_wait_is_broken_and_nothing_is_done_twice() {
    for seed in seeds() {
        let f = play(seed);
        assert!(
            f.broken.is_empty(),
            "seed {seed}: {} broken, first {:#?}",
            f.broken.len(),
            &f.broken[..f.broken.len().min(6)]
        );
        // The day was what it should be.
        let seen = |what| f.seen.get(what).copied().unwrap_or(0);
        let taken = f.messages.iter().filter(|m| m.taken).count();
        assert!(taken > 1_000 && seen("delivered") > 400, "seed {seed}: {taken} taken, {:?}", f.seen);
        assert!(
            ["kills", "waits", "lost", "reset"].iter().all(|w| seen(w) >= 10),
            "seed {seed}: {:?}",
            f.seen
        );
    }
}

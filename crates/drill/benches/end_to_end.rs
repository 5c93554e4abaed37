//! Submissions a second over loopback sockets: the service end to end (submit_sm, call, response, receipt,
//! acknowledgement) beside a bare SMPP echo over the same kind of sockets, with the same clients, in one run.
//! And the processor time of the sender's thread at a steady 1,100 messages a second.
//!
//! `cargo bench -p heronroute-drill --bench end_to_end`

use bytes::BytesMut;
use heronroute_config::parse;
use heronroute_net::{Clock, Service};
use heronroute_smpp::client::{self, Event};
use heronroute_smpp::server::{self, Limits, Mode};
use heronroute_smpp::submission::{Submission, Wanted};
use heronroute_standins::Micros;
use heronroute_standins::actor::{Actor, Ask, Conn};
use heronroute_standins::run::Running;
use rusmpp_core::CommandStatus;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const LIMITS: Limits = Limits {
    session_init: 60_000_000,
    enquire_every: 600_000_000,
    inactivity: 6_000_000_000,
    response: 60_000_000,
    window: 100_000,
    max_pdu: 70_000,
};

/// Answers every submission at once.
#[derive(Default)]
struct Echo {
    sessions: BTreeMap<Conn, server::Session>,
    asks: Vec<Ask>,
}

impl Actor for Echo {
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
        self.asks.push(Ask::Write(conn, out.to_vec()));
    }
    fn closed(&mut self, _: Micros, conn: Conn) {
        self.sessions.remove(&conn);
    }
    fn tick(&mut self, _: Micros) {}
    fn wake(&self) -> Micros {
        Micros::MAX
    }
    fn asks(&mut self) -> Vec<Ask> {
        std::mem::take(&mut self.asks)
    }
}

/// Sessions that keep so many submissions under way each, until all are answered.
struct Load {
    address: SocketAddr,
    sessions: usize,
    window: usize,
    left: usize,
    receipts: bool,
    destinations: usize,
    made: BTreeMap<Conn, client::Session>,
    asks: Vec<Ask>,
    answered: usize,
    total: usize,
    delivered: usize,
    /// Paced: a submission each so many microseconds, instead of windows.
    every: Option<Micros>,
    next: Micros,
}

impl Load {
    fn new(address: SocketAddr, sessions: usize, window: usize, total: usize, receipts: bool) -> Self {
        let asks = (0..sessions).map(|tag| Ask::Connect { tag, address }).collect();
        Load {
            address,
            sessions,
            window,
            left: total,
            receipts,
            destinations: 20,
            made: BTreeMap::new(),
            asks,
            answered: 0,
            total,
            delivered: 0,
            every: None,
            next: 0,
        }
    }

    fn submit(&mut self, now: Micros, conn: Conn, out: &mut BytesMut) {
        if self.left == 0 {
            return;
        }
        self.left -= 1;
        let destination = 1 + self.left * 7 % self.destinations;
        let s = Submission {
            service: "RESP".into(),
            source: "a".into(),
            destination: format!("{destination:06}{:06}", self.left % 1_000_000),
            wanted: if self.receipts { Wanted::Always } else { Wanted::Never },
            body: b"a response of ordinary length, as they are: 0123456789".to_vec(),
            ..Submission::default()
        };
        if let Some(session) = self.made.get_mut(&conn) {
            session.request(now, s.submit(None), out);
        }
    }
}

impl Actor for Load {
    fn accepted(&mut self, _: Micros, _: usize, _: Conn) {}
    fn connected(&mut self, now: Micros, _: usize, conn: Conn) {
        let mut out = BytesMut::new();
        let session = client::Session::bind(now, LIMITS, Mode::Transceiver, "c", "p", &mut out);
        self.made.insert(conn, session);
        self.asks.push(Ask::Write(conn, out.to_vec()));
    }
    fn received(&mut self, now: Micros, conn: Conn, octets: &[u8]) {
        let Some(session) = self.made.get_mut(&conn) else { return };
        let (mut out, mut events) = (BytesMut::new(), Vec::new());
        session.receive(now, octets, &mut out, &mut events);
        for event in events {
            match event {
                Event::Bound if self.every.is_none() => {
                    for _ in 0..self.window {
                        self.submit(now, conn, &mut out);
                    }
                }
                Event::Response { status, .. } if !self.receipts || status != CommandStatus::EsmeRok => {
                    self.answered += 1;
                    self.delivered += usize::from(status == CommandStatus::EsmeRok);
                    if self.every.is_none() {
                        self.submit(now, conn, &mut out);
                    }
                }
                Event::Delivered(sm) => {
                    self.answered += 1;
                    let text = String::from_utf8_lossy(sm.short_message().as_ref()).into_owned();
                    self.delivered += usize::from(text.contains("stat:DELIVRD"));
                    if self.every.is_none() {
                        self.submit(now, conn, &mut out);
                    }
                }
                _ => {}
            }
        }
        if !out.is_empty() {
            self.asks.push(Ask::Write(conn, out.to_vec()));
        }
    }
    fn closed(&mut self, _: Micros, conn: Conn) {
        self.made.remove(&conn);
    }
    fn tick(&mut self, now: Micros) {
        let Some(every) = self.every else { return };
        if self.made.len() < self.sessions || self.made.values().any(|s| !s.bound()) {
            self.next = now;
            return;
        }
        while self.next <= now && self.left > 0 {
            self.next += every;
            let at = self.left % self.made.len();
            let Some(conn) = self.made.keys().nth(at).copied() else { return };
            let mut out = BytesMut::new();
            self.submit(now, conn, &mut out);
            self.asks.push(Ask::Write(conn, out.to_vec()));
        }
    }
    fn wake(&self) -> Micros {
        if self.every.is_some() { self.next } else { Micros::MAX }
    }
    fn asks(&mut self) -> Vec<Ask> {
        std::mem::take(&mut self.asks)
    }
    fn finished(&self) -> bool {
        self.answered >= self.total
    }
}

/// Processor seconds of this process's threads whose name begins so.
fn spent(name: &str) -> f64 {
    let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let one = |t: std::fs::DirEntry| {
        let comm = std::fs::read_to_string(t.path().join("comm")).ok()?;
        let stat = std::fs::read_to_string(t.path().join("schedstat")).ok()?;
        comm.starts_with(name).then_some(stat.split(' ').next()?.parse::<f64>().ok()? / 1e9)
    };
    tasks.filter_map(one).sum()
}

fn service(echo: SocketAddr, senders: usize, journal: &str) -> Service {
    let mut t = format!(
        "service {{ senders: {senders} slots: 2000 room: 50000 owed_room: 50000 }} \
         smpp {{ listen: \"127.0.0.1:0\" window: 60000 }} \
         client {{ system_id: \"c\" password: \"p\" }} \
         {journal} class {{ name: \"RESP\" effect: \"guarded\" window: \"10s\" deadline: \"30s\" }} \
         kind {{ name: \"k\" protocol: \"smpp\" window: 64 }}\n"
    );
    for d in 1..=20 {
        _ = writeln!(t, "route {{ prefix: \"{d:06}\" destination: {d} }}");
        _ = writeln!(t, "endpoint {{ name: \"e{d}\" address: \"{echo}\" destination: {d} kind: \"k\" }}");
    }
    Service::start(Arc::new(parse("bench", &t).expect("settings")), 1).expect("service")
}

/// Messages a second, and the share that was delivered.
fn pass(address: SocketAddr, sessions: usize, window: usize, total: usize, receipts: bool) -> (f64, f64) {
    let start = Instant::now();
    let load = Running::start(&[], Clock::start(), |_| Load::new(address, sessions, window, total, receipts));
    let load = load.and_then(Running::join).expect("load");
    assert_eq!(load.address, address);
    (total as f64 / start.elapsed().as_secs_f64(), load.delivered as f64 / total as f64)
}

fn main() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let echo = Running::start(&[any], Clock::start(), |_| Echo::default()).expect("echo");
    let at = echo.addresses[0];
    println!("sessions x window: bare echo, end to end, ratio; delivered");
    for (sessions, window) in [(1, 16), (10, 16), (10, 64), (100, 16), (1_000, 4)] {
        let (bare, _) = pass(at, sessions, window, 40_000, false);
        let s = service(at, 1, "");
        // Pools of permits learn the rate first.
        pass(s.address(), sessions, window, 10_000, true);
        let (rate, delivered) = pass(s.address(), sessions, window, 40_000, true);
        println!(
            "{sessions:>5} x {window:<3}: {bare:>8.0}/s {rate:>8.0}/s {:>5.2}; {:.1}%",
            rate / bare,
            delivered * 100.0
        );
        s.leave();
        s.join().expect("service");
    }
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bench-end");
    for (sessions, window) in [(10, 64), (100, 16)] {
        let mut rates = Vec::new();
        let mut per_sync = 0.0;
        for journal in [String::new(), format!("journal {{ folder: \"{}\" }}", folder.display())] {
            _ = std::fs::remove_dir_all(&folder);
            let s = service(at, 1, &journal);
            pass(s.address(), sessions, window, 10_000, true);
            rates.push(pass(s.address(), sessions, window, 40_000, true).0);
            s.leave();
            let stats = s.join().expect("service");
            per_sync = stats.entries as f64 / stats.syncs.max(1) as f64;
        }
        let (off, on) = (rates[0], rates[1]);
        println!(
            "{sessions:>5} x {window:<3}: journal off {off:>8.0}/s, on {on:>8.0}/s {:>5.2}, {per_sync:.0} entries a sync",
            on / off
        );
    }
    _ = std::fs::remove_dir_all(&folder);
    let s = service(at, 1, "");
    let before = spent("sender-0");
    let start = Instant::now();
    let address = s.address();
    let load = Running::start(&[], Clock::start(), move |_| {
        let mut load = Load::new(address, 10, 1, 5_500, true);
        load.every = Some(909);
        load
    });
    load.and_then(Running::join).expect("load");
    let share = (spent("sender-0") - before) / start.elapsed().as_secs_f64();
    println!("at 1,100 a second the sender's thread takes {:.1}% of a core", share * 100.0);
    s.leave();
    s.join().expect("service");
    std::thread::sleep(Duration::from_millis(10));
    echo.stop().expect("echo");
}

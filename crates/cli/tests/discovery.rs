//! The real program and a discovery that misbehaves on cue: what it tells is judged by which endpoint gets the calls.
//! Two endpoints have one destination; the sender knows the first of them from its configuration.

mod process;

use heronroute_http::{Message, Reader, Side, Start};
use heronroute_reserved_port::ReservedPort;
use process::Process;
use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Within this a change counts as told.
const TOLD: Duration = Duration::from_secs(6);
/// Within this after SIGHUP.
const TOLD_AFTER_MOVE: Duration = Duration::from_secs(4);
/// Patience with the program where nothing is claimed of its speed.
const LONG: Duration = Duration::from_secs(10);
const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// Hands each request on a listener's connections to `act`.
fn serve(listener: TcpListener, act: impl Fn(Message, &TcpStream) + Clone + Send + 'static) {
    spawn(move || {
        for stream in listener.incoming() {
            let (act, Ok(mut stream)) = (act.clone(), stream) else { continue };
            _ = stream.set_nodelay(true);
            spawn(move || {
                let (mut reader, mut buffer) = (Reader::new(Side::Requests, 1 << 20), [0; 4096]);
                loop {
                    // A watch is handed on, and then read by the test.
                    match stream.read(&mut buffer) {
                        Ok(n @ 1..) => reader.push(&buffer[..n]),
                        _ => return,
                    }
                    while let Ok(Some(message)) = reader.next_message() {
                        let is_watch = target(&message).starts_with("/catalog");
                        act(message, &stream);
                        if is_watch {
                            return;
                        }
                    }
                }
            });
        }
    });
}

fn target(message: &Message) -> &str {
    match &message.start {
        Start::Request { target, .. } => target,
        _ => "",
    }
}

/// An endpoint that delivers at once, and says which message came.
fn endpoint(number: usize, calls: Sender<(usize, String)>) -> SocketAddr {
    let (listener, at) = listen();
    serve(listener, move |message, mut stream| {
        if let Some(id) = message.field("x-call-id") {
            _ = calls.send((number, id.to_string()));
        }
        _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    });
    at
}

/// A watch that the program has asked for, on its connection.
struct Watch {
    stream: TcpStream,
    since: u64,
}

impl Watch {
    fn say(&mut self, text: &str) {
        _ = self.stream.write_all(text.as_bytes());
    }

    /// One chunk.
    fn chunk(&mut self, text: &str) {
        self.say(&format!("{:x}\r\n{text}\r\n", text.len()));
    }

    /// The head and a list on one line.
    fn tell(&mut self, list: &Value) {
        self.say(HEAD);
        self.chunk(&format!("{list}\n"));
    }

    /// Whether the program has closed it, waiting for that so long at most.
    fn is_closed(&mut self, wait: Duration) -> bool {
        self.stream.set_read_timeout(Some(wait)).unwrap();
        match self.stream.read(&mut [0; 16]) {
            Ok(n) => n == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

/// Discovery: the watches that are asked for go to the test, notices are taken.
struct Discovery {
    at: SocketAddr,
    watches: Receiver<Watch>,
}

impl Discovery {
    fn on(listener: TcpListener) -> Self {
        let at = listener.local_addr().unwrap();
        let (sender, watches) = channel();
        serve(listener, move |message, mut stream| {
            let Some(since) = target(&message).split("since=").nth(1) else {
                _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
                return;
            };
            let since = since.parse().unwrap();
            _ = sender.send(Watch { stream: stream.try_clone().unwrap(), since });
        });
        Discovery { at, watches }
    }

    fn watch(&self, within: Duration) -> Watch {
        self.watches.recv_timeout(within).expect("a watch is opened in time")
    }
}

struct Rig {
    child: Process,
    folder: PathBuf,
    listen: SocketAddr,
    /// Held so that no other socket is given it.
    _port: ReservedPort,
    endpoints: [SocketAddr; 2],
    calls: Receiver<(usize, String)>,
    sent: usize,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.child.end();
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Rig {
    fn start(name: &str, discovery: SocketAddr) -> Self {
        let folder = std::env::temp_dir().join(format!("heronroute-{name}-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("state")).unwrap();
        let (sender, calls) = channel();
        let endpoints = [0, 1].map(|number| endpoint(number, sender.clone()));
        let port = ReservedPort::on_localhost().unwrap();
        let listen = port.address();
        configure(&folder, listen, discovery, &list(1, true, &[(endpoints[0], 0, "SERVING")]));
        let child = Process::start(&folder, listen, LONG);
        Rig { child, folder, listen, _port: port, endpoints, calls, sent: 0 }
    }

    fn moves(&self, discovery: SocketAddr) {
        configure(&self.folder, self.listen, discovery, &list(1, true, &[(self.endpoints[0], 0, "SERVING")]));
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &pid]).status().unwrap().success());
    }

    /// One request on a connection of its own, and its answer.
    fn ask(&self, args: &[&str]) -> Option<String> {
        process::ask(self.listen, args, 2_000 * MS)
    }

    /// The endpoint that gets the next message, if one does before that time.
    fn next_call(&mut self, until: Instant) -> Option<usize> {
        self.sent += 1;
        let id = format!("m{}", self.sent);
        let said = self.ask(&["OUT.ADD", "0", &id, "c=safe,t=t,d=4000,dest=0", "body"])?;
        if said != "+OK" {
            // It comes no sooner than it was told to.
            let wait = said.strip_prefix("-BUSY").unwrap_or_else(|| panic!("{said}")).trim();
            sleep(wait.parse().unwrap_or(10) * MS);
            return None;
        }
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let (number, came) = self.calls.recv_timeout(left).ok()?;
            if came == id {
                return Some(number);
            }
        }
    }

    /// Messages go to the second endpoint before that time is over.
    fn goes_to_the_second(&mut self, until: Instant) {
        while self.next_call(until) != Some(1) {
            assert!(Instant::now() < until, "no call reaches the endpoint that discovery told of");
        }
    }

    /// The second endpoint has taken the place of the first.
    fn replaced(&self, version: u64, full: bool) -> Value {
        let [first, second] = self.endpoints;
        let gone = if full { None } else { Some((first, 0, "DELETED")) };
        let rows: Vec<_> = gone.into_iter().chain([(second, 1, "SERVING")]).collect();
        list(version, full, &rows)
    }

    /// Nothing has changed.
    fn unchanged(&self) -> Value {
        list(1, true, &[(self.endpoints[0], 0, "SERVING")])
    }
}

fn list(version: u64, full: bool, rows: &[(SocketAddr, usize, &str)]) -> Value {
    let row = |(at, number, state): &(SocketAddr, usize, &str)| {
        json!({"id": format!("e{number}"), "addr": at, "zone": "a", "kind": "m", "cell": 0, "state": state,
            "weight": 400.0, "started_ms": 0})
    };
    json!({"version": version, "full": full, "servers": rows.iter().map(row).collect::<Vec<_>>()})
}

fn configure(folder: &std::path::Path, listen: SocketAddr, discovery: SocketAddr, known: &Value) {
    let config = json!({"name": "n", "listen": listen, "discovery": discovery, "seed": "7",
        "limits": {"memory_mb": 32, "sockets": 128, "disk_mb": 1}, "known": known,
        "settings": {"Azs": ["a"], "Shapes": ["m"], "Customers": [{"Name": "t", "QuotaRps": 500.0}],
            "Weights": "nominal", "QuantumUs": 1000, "Discovery": "push",
            "FamilyInfo": {"Workers": 12, "BatchByKind": [1]},
            "Limits": {"MaxOpen": 100, "MaxAttempts": 4, "Cancel": true, "RetryAfter": true,
                "MaxRetryAfterUs": 500_000, "IdleCloseUs": 5_000_000},
            "Profiles": [{"Name": "safe", "Effect": "free", "HardLimitUs": 4_000_000,
                "ObjectiveUs": 1_500_000, "WindowUs": 4_000_000, "Worth": 1.0}]}});
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
}

fn half(list: &Value) -> (String, String) {
    let text = list.to_string();
    let (a, b) = text.split_at(text.len() / 2);
    (a.to_string(), b.to_string())
}

#[test]
fn an_indented_list_in_pieces_is_followed() {
    let discovery = Discovery::on(listen().0);
    let mut rig = Rig::start("indented", discovery.at);
    let mut watch = discovery.watch(LONG);
    assert_eq!(watch.since, 1);
    let from = Instant::now();
    watch.say(HEAD);
    let text = serde_json::to_string_pretty(&rig.replaced(2, false)).unwrap();
    assert!(text.lines().count() > 10);
    for piece in text.as_bytes().chunks(11) {
        watch.chunk(std::str::from_utf8(piece).unwrap());
    }
    rig.goes_to_the_second(from + TOLD);
    assert!(!watch.is_closed(MS), "and the watch goes on");
}

#[test]
fn half_a_list_that_trickles_on_is_given_up() {
    let discovery = Discovery::on(listen().0);
    let mut rig = Rig::start("trickles", discovery.at);
    let mut watch = discovery.watch(LONG);
    watch.tell(&rig.unchanged());
    assert_eq!(rig.next_call(Instant::now() + LONG), Some(0), "the first has the calls");
    let from = Instant::now();
    let (begun, rest) = half(&rig.replaced(2, false));
    watch.chunk(&begun);
    // An octet each 300 ms: the rest would take over 20 s.
    assert!(rest.len() > 70);
    let mut octets = rest.chars();
    while !watch.is_closed(300 * MS) {
        assert!(from.elapsed() < TOLD, "it waits for the rest");
        watch.chunk(&octets.next().unwrap().to_string());
    }
    discovery.watch(TOLD).tell(&rig.replaced(2, false));
    rig.goes_to_the_second(from + TOLD);
}

#[test]
fn a_watch_falls_silent_and_two_attempts_are_not_answered() {
    let discovery = Discovery::on(listen().0);
    let mut rig = Rig::start("silent", discovery.at);
    let mut watch = discovery.watch(LONG);
    watch.tell(&rig.unchanged());
    let fell_silent = Instant::now();
    let mut hangs = discovery.watch(TOLD);
    assert!(watch.is_closed(TOLD), "it is opened anew");
    let mut head_only = discovery.watch(TOLD);
    assert!(hangs.is_closed(TOLD));
    head_only.say(HEAD);
    let mut answered = discovery.watch(TOLD);
    assert!(head_only.is_closed(TOLD));
    answered.tell(&rig.replaced(2, false));
    rig.goes_to_the_second(fell_silent + TOLD);
}

#[test]
fn discovery_refuses_and_breaks_and_then_is_there() {
    let discovery = Discovery::on(listen().0);
    let mut rig = Rig::start("refuses", discovery.at);
    let mut watch = discovery.watch(LONG);
    watch.tell(&rig.unchanged());
    // Nobody listens where it moves to, for a second.
    let elsewhere = ReservedPort::on_localhost().unwrap();
    rig.moves(elsewhere.address());
    assert!(watch.is_closed(LONG), "it has moved");
    sleep(1_000 * MS);
    let listener = elsewhere.listen().unwrap();
    let reachable = Instant::now();
    // Reachable, it ends each connection as it comes, five times.
    for _ in 0..5 {
        drop(listener.accept().unwrap());
    }
    let discovery = Discovery::on(listener);
    let mut watch = discovery.watch(TOLD);
    assert_eq!(watch.since, 1);
    watch.tell(&rig.replaced(2, false));
    rig.goes_to_the_second(reachable + TOLD);
}

#[test]
fn discovery_that_comes_back_with_an_old_list_takes_nothing_back() {
    let discovery = Discovery::on(listen().0);
    let mut rig = Rig::start("old", discovery.at);
    let mut watch = discovery.watch(LONG);
    watch.tell(&rig.replaced(2, false));
    rig.goes_to_the_second(Instant::now() + LONG);
    watch.say("0\r\n\r\n");
    let mut old = discovery.watch(LONG);
    assert_eq!(old.since, 2);
    old.tell(&rig.unchanged());
    old.say("0\r\n\r\n");
    // The next attempt shows that the old list was read.
    let next = discovery.watch(LONG);
    assert_eq!(next.since, 2);
    for _ in 0..10 {
        let call = rig.next_call(Instant::now() + LONG);
        assert!(call.is_none_or(|number| number == 1), "a call to an endpoint that is gone");
    }
}

#[test]
fn discovery_moves_during_half_a_list() {
    let (discovery, other) = (Discovery::on(listen().0), Discovery::on(listen().0));
    let mut rig = Rig::start("moves", discovery.at);
    let mut watch = discovery.watch(LONG);
    watch.tell(&rig.unchanged());
    let [first, _] = rig.endpoints;
    // The half tells that the first drains; its rest comes on the new watch, where it is none.
    let (begun, rest) = half(&list(2, false, &[(first, 0, "DRAINING")]));
    watch.chunk(&begun);
    rig.moves(other.at);
    let moved = Instant::now();
    let mut new = other.watch(TOLD_AFTER_MOVE);
    assert!(watch.is_closed(TOLD_AFTER_MOVE), "the old watch is given up");
    watch.chunk(&format!("{rest}\n"));
    assert_eq!(new.since, 1);
    new.say(HEAD);
    new.chunk(&format!("{rest}\n"));
    assert!(new.is_closed(TOLD_AFTER_MOVE), "the rest of the old one is no list");
    let mut again = other.watch(TOLD_AFTER_MOVE);
    again.tell(&rig.replaced(2, true));
    rig.goes_to_the_second(moved + TOLD_AFTER_MOVE);
}

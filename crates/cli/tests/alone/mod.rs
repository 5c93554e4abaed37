//! The real program as a sender of the platform, with connections and signals that a test holds in its hands.
#![allow(dead_code)] // not every test file uses all of it

use heronroute_reserved_port::ReservedPort;
use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const MS: Duration = Duration::from_millis(1);
pub const PING: &str = "*1\r\n$4\r\nPING\r\n";
pub const SAFE: &str = "c=safe,t=t,d=8000,dest=1";
pub const ONCE: &str = "c=once,t=t,d=8000,dest=1";
pub const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
/// For what has to come.
const PATIENCE: Duration = Duration::from_secs(10);

/// A sender, and what stands around it: discovery that takes connections and says nothing, one endpoint whose calls the
/// test takes and answers.
pub struct Sender {
    pub child: Child,
    pub folder: PathBuf,
    pub listen: SocketAddr,
    /// Held so that no other socket is given it.
    _port: ReservedPort,
    pub endpoint: TcpListener,
    pub discovery: TcpListener,
}

impl Drop for Sender {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An address of its own for each sender. Guards against another test that is given the port while it is free.
fn own_address() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 1, low, COUNT.fetch_add(1, Ordering::Relaxed))
}

/// Listens at a free port.
pub fn listen(address: Ipv4Addr) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((address, 0)).unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// Sets the sender up and starts it; `descriptors`: what the process may have, `sockets`: what it is told.
pub fn start_with(name: &str, descriptors: usize, sockets: usize) -> Sender {
    start_at(name, descriptors, sockets, 1_000)
}

/// The same with a span between rounds of decisions, in microseconds.
pub fn start_at(name: &str, descriptors: usize, sockets: usize, quantum: u64) -> Sender {
    let mut sender = set_up(name, sockets, quantum);
    sender.child = spawn(&sender.folder, descriptors);
    sender.ready();
    sender
}

pub fn start(name: &str) -> Sender {
    start_with(name, 256, 128)
}

/// Everything but the process; a placeholder stands for that.
pub fn set_up(name: &str, sockets: usize, quantum: u64) -> Sender {
    let folder = std::env::temp_dir().join(format!("heronroute-{name}-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("state")).unwrap();
    let address = own_address();
    let (endpoint, endpoint_at) = listen(address);
    let (discovery, discovery_at) = listen(address);
    let port = ReservedPort::on(address.into()).unwrap();
    let at = port.address();
    let config = json!({"name": "n", "listen": at, "discovery": discovery_at, "seed": "7",
        "limits": {"memory_mb": 64, "sockets": sockets, "disk_mb": 1},
        "known": {"version": 1, "full": true, "servers": [{"id": "e1", "addr": endpoint_at, "zone": "a",
            "kind": "m", "cell": 1, "state": "SERVING", "weight": 400.0}]},
        "settings": {"Azs": ["a"], "Shapes": ["m"], "Customers": [{"Name": "t", "QuotaRps": 500.0}],
            "Weights": "nominal", "QuantumUs": quantum, "Discovery": "push",
            "FamilyInfo": {"Workers": 4, "BatchByKind": [1]},
            "Limits": {"MaxOpen": 100, "MaxAttempts": 4, "Cancel": true, "RetryAfter": true,
                "MaxRetryAfterUs": 500_000, "IdleCloseUs": 5_000_000},
            "Profiles": [{"Name": "safe", "Effect": "free", "HardLimitUs": 8_000_000,
                "ObjectiveUs": 1_500_000, "WindowUs": 4_000_000, "Worth": 1.0},
                {"Name": "keyed", "Effect": "guarded", "HardLimitUs": 8_000_000,
                "ObjectiveUs": 1_500_000, "WindowUs": 4_000_000, "Worth": 1.0},
                {"Name": "once", "Effect": "single_shot", "HardLimitUs": 8_000_000,
                "ObjectiveUs": 1_500_000, "Worth": 1.0}]}});
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
    let child = Command::new("true").spawn().unwrap();
    Sender { child, folder, listen: at, _port: port, endpoint, discovery }
}

/// Changes the settings of a sender that is set up.
pub fn change_config(sender: &Sender, change: impl FnOnce(&mut Value)) {
    let file = sender.folder.join("config.json");
    let mut config: Value = serde_json::from_str(&std::fs::read_to_string(&file).unwrap()).unwrap();
    change(&mut config);
    std::fs::write(file, config.to_string()).unwrap();
}

pub fn spawn(folder: &std::path::Path, descriptors: usize) -> Child {
    command(folder, descriptors).spawn().unwrap()
}

/// The command that starts the program.
pub fn command(folder: &std::path::Path, descriptors: usize) -> Command {
    let mut command = Command::new("sh");
    command
        .args([
            "-c",
            &format!("ulimit -n {descriptors}; exec \"$0\" --log \"${{TEST_LOG:-error}}\" platform"),
        ])
        .arg(env!("CARGO_BIN_EXE_heronroute"))
        .env("GW_CONFIG", folder.join("config.json"))
        .env("GW_STATE", folder.join("state"))
        .stdin(Stdio::null())
        .stdout(Stdio::null());
    command
}

/// Plays until the moment that is to be forced was met, which a loaded machine may miss; what is then seen is judged by the
/// play.
pub fn forced(mut play: impl FnMut() -> bool) {
    assert!((0..5).any(|_| play()), "the moment was missed five times");
}

/// Waits for something that has to come.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        sleep(5 * MS);
    }
}

impl Sender {
    pub fn ready(&self) {
        until("ready in time", || {
            let Ok(stream) = TcpStream::connect(self.listen) else { return false };
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            let mut client = Client { stream, read: String::new() };
            client.stream.write_all(PING.as_bytes()).is_ok() && client.line() == "+PONG"
        });
    }

    /// Killed and started again with its folder.
    pub fn kill_and_start(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.start_again();
    }

    pub fn start_again(&mut self) {
        self.child = spawn(&self.folder, 256);
        self.ready();
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.listen).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client { stream, read: String::new() }
    }

    pub fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap().success());
    }

    /// Stops the process, so that what follows comes together in its next turn. False where it has ended.
    pub fn hold(&self) -> bool {
        self.signal("-STOP");
        let mut state = ' ';
        until("stopped", || {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
            state = stat.rsplit(')').next().unwrap().trim_start().chars().next().unwrap();
            matches!(state, 'T' | 'Z')
        });
        state == 'T'
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// The most memory that the process has had resident so far, in bytes; none of a process that has ended.
    pub fn peak_memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1_024)
    }

    pub fn descriptors(&self, limit: usize) -> usize {
        let all = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().flatten();
        let number = |f: std::fs::DirEntry| f.file_name().to_string_lossy().parse::<usize>();
        all.filter_map(|f| number(f).ok()).filter(|n| *n < limit).count()
    }

    /// Connections at its address that it holds a descriptor of.
    pub fn connections(&self) -> usize {
        let own = format!(":{:04X}", self.listen.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let held = |l: &&str| {
            let fields: Vec<&str> = l.split_whitespace().collect();
            fields[1].ends_with(&own) && fields[3] != "0A" && fields[9] != "0"
        };
        table.lines().skip(1).filter(held).count()
    }

    /// The next call to the endpoint: its connection and its text.
    pub fn call(&self) -> (TcpStream, String) {
        let mut accepted = None;
        self.endpoint.set_nonblocking(true).unwrap();
        until("called in time", || {
            accepted = self.endpoint.accept().ok();
            accepted.is_some()
        });
        self.endpoint.set_nonblocking(false).unwrap();
        let (mut stream, _) = accepted.unwrap();
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let (mut text, mut buffer) = (String::new(), [0; 4096]);
        while !text.ends_with("\r\n\r\nbody") {
            match stream.read(&mut buffer) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Ok(n @ 1..) => text.push_str(&String::from_utf8_lossy(&buffer[..n])),
                other => panic!("a call that was broken off, {other:?}: {text:?}"),
            }
        }
        (stream, text)
    }

    /// All that came to the endpoint on connections that were not taken yet, of a sender that has ended.
    pub fn calls_so_far(&self) -> String {
        self.endpoint.set_nonblocking(true).unwrap();
        let mut text = Vec::new();
        while let Ok((mut stream, _)) = self.endpoint.accept() {
            stream.set_nonblocking(false).unwrap();
            _ = stream.read_to_end(&mut text);
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// What has come so far to the endpoint on connections that were not taken yet, of a sender that lives.
    pub fn calls_till_now(&self) -> String {
        self.endpoint.set_nonblocking(true).unwrap();
        let mut text = Vec::new();
        while let Ok((mut stream, _)) = self.endpoint.accept() {
            stream.set_nonblocking(true).unwrap();
            _ = stream.read_to_end(&mut text);
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Whether a call, or a connection for one, comes within a span.
    pub fn is_called(&self, span: Duration) -> bool {
        self.endpoint.set_nonblocking(true).unwrap();
        let end = Instant::now() + span;
        let mut came = false;
        while !came && Instant::now() < end {
            came = self.endpoint.accept().is_ok();
            sleep(5 * MS);
        }
        self.endpoint.set_nonblocking(false).unwrap();
        came
    }

    /// How it ended.
    pub fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        until("ended in time", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

/// How a connection ended, as its client sees it.
#[derive(Debug, PartialEq)]
pub enum End {
    /// In good order.
    Closed,
    Reset,
}

pub struct Client {
    pub stream: TcpStream,
    read: String,
}

impl Client {
    pub fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// The next line; what came of it where the connection ends first.
    pub fn line(&mut self) -> String {
        let mut buffer = [0; 4096];
        loop {
            if let Some((line, rest)) = self.read.split_once("\r\n") {
                let (line, rest) = (line.to_string(), rest.to_string());
                self.read = rest;
                return line;
            }
            match self.stream.read(&mut buffer) {
                Ok(n @ 1..) => self.read.push_str(&String::from_utf8_lossy(&buffer[..n])),
                Ok(_) => return std::mem::take(&mut self.read) + "<end>",
                // A child of the test has ended.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return format!("{}<{e}>", std::mem::take(&mut self.read)),
            }
        }
    }

    pub fn asks(&mut self, text: &str) -> String {
        self.write(text);
        self.line()
    }

    /// Reads to the end of the connection: what came, and how it ended.
    pub fn until_end(&mut self) -> (String, End) {
        let mut buffer = [0; 4096];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return (std::mem::take(&mut self.read), End::Closed),
                Ok(n) => self.read.push_str(&String::from_utf8_lossy(&buffer[..n])),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionReset => {
                    return (std::mem::take(&mut self.read), End::Reset);
                }
                Err(e) => panic!("neither an answer nor an end: {e}; so far {:?}", self.read),
            }
        }
    }

    /// Whether nothing has come and the connection stands.
    pub fn waits(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let waits = self.stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).unwrap();
        waits
    }

    pub fn end_side(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }
}

/// A hand-in as a client writes it.
pub fn out_add(id: &str) -> String {
    out_add_as(id, SAFE)
}

/// The same with these names and values.
pub fn out_add_as(id: &str, pairs: &str) -> String {
    out_add_with_body(id, pairs, "body")
}

/// The same with a body.
pub fn out_add_with_body(id: &str, pairs: &str, body: &str) -> String {
    let args = ["OUT.ADD", "0000", id, pairs, body];
    "*5\r\n".to_string() + &args.map(|a| format!("${}\r\n{a}\r\n", a.len())).concat()
}

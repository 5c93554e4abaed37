//! The real program as a sender of the platform, between stand-ins of clients, endpoints and discovery on sockets: it is
//! killed, told to end and told of another discovery under load, and each message that it took on is then held
//! against what endpoints answered and what notices said.

mod process;

use heronroute_http::{Message, Reader, Side, Start};
use heronroute_reserved_port::ReservedPort;
use process::Process;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// What the world outside has seen.
#[derive(Default)]
struct Seen {
    /// Calls by message that were not turned away, and those answered 200.
    ran: BTreeMap<String, u32>,
    delivered: BTreeSet<String>,
    /// Notices by message, with the discovery that heard them.
    notices: BTreeMap<String, Vec<(usize, String)>>,
    calls: usize,
}

type World = Arc<Mutex<Seen>>;

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// Serves HTTP on a listener: each request is answered by the text that `answer` gives.
fn serve(listener: TcpListener, answer: impl Fn(Message, &mut TcpStream) + Clone + Send + 'static) {
    spawn(move || {
        for stream in listener.incoming() {
            let (answer, Ok(mut stream)) = (answer.clone(), stream) else { continue };
            spawn(move || {
                let (mut reader, mut buffer) = (Reader::new(Side::Requests, 1 << 20), [0; 4096]);
                while let Ok(n @ 1..) = stream.read(&mut buffer) {
                    reader.push(&buffer[..n]);
                    while let Ok(Some(m)) = reader.next_message() {
                        answer(m, &mut stream);
                    }
                }
            });
        }
    });
}

fn discovery(number: usize, list: &Value, world: &World) -> SocketAddr {
    let (listener, at) = listen();
    let (list, world) = (list.to_string(), world.clone());
    serve(listener, move |m, stream| {
        if matches!(&m.start, Start::Request { target, .. } if target.starts_with("/catalog")) {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            _ = write!(stream, "{head}{:x}\r\n{list}\n\r\n", list.len() + 1);
            return;
        }
        for line in String::from_utf8_lossy(&m.body).lines() {
            let v: Value = serde_json::from_str(line).unwrap();
            let (id, state) = (v["id"].as_str().unwrap(), v["state"].as_str().unwrap());
            let mut seen = world.lock().unwrap();
            seen.notices.entry(id.to_string()).or_default().push((number, state.to_string()));
        }
        _ = write!(stream, "HTTP/1.1 204 No Content\r\n\r\n");
    });
    at
}

/// An endpoint that answers after a while; every tenth call gets a 500, every seventh is turned away.
fn endpoint(world: &World) -> SocketAddr {
    let (listener, at) = listen();
    let world = world.clone();
    serve(listener, move |m, stream| {
        let id = m.field("x-call-id").unwrap().to_string();
        let n = {
            let mut seen = world.lock().unwrap();
            seen.calls += 1;
            seen.calls
        };
        let status = match n {
            n if n % 7 == 0 => 503,
            n if n % 10 == 0 => 500,
            _ => 200,
        };
        if status != 503 {
            *world.lock().unwrap().ran.entry(id.clone()).or_default() += 1;
        }
        sleep(30 * MS);
        if write!(stream, "HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n").is_ok() && status == 200 {
            world.lock().unwrap().delivered.insert(id);
        }
    });
    at
}

struct Sender {
    child: Process,
    folder: PathBuf,
    listen: SocketAddr,
}

impl Sender {
    fn start(folder: PathBuf, listen: SocketAddr) -> Self {
        let child = Process::start(&folder, listen, 10_000 * MS);
        Sender { child, folder, listen }
    }

    /// One request on a connection of its own, and its answer.
    fn ask(&self, args: &[&str]) -> Option<String> {
        process::ask(self.listen, args, 2_000 * MS)
    }

    fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap().success());
    }
}

fn configure(folder: &std::path::Path, listen: SocketAddr, discovery: SocketAddr, list: &Value) {
    let class = |name, effect, limit: u64| json!({"Name": name, "Effect": effect, "HardLimitUs": limit, "ObjectiveUs": 1_500_000, "WindowUs": 4_000_000, "Worth": 1.0});
    let config = json!({"name": "n", "listen": listen, "discovery": discovery, "seed": "7",
        "limits": {"memory_mb": 32, "sockets": 128, "disk_mb": 1}, "known": list,
        "settings": {"Azs": ["a"], "Shapes": ["m"], "Customers": [{"Name": "t", "QuotaRps": 500.0}],
            "Weights": "nominal", "QuantumUs": 1000, "Discovery": "push", "FamilyInfo": {"Workers": 12, "BatchByKind": [1]},
            "Limits": {"MaxOpen": 100, "MaxAttempts": 4, "Cancel": true, "RetryAfter": true,
                "MaxRetryAfterUs": 500_000, "IdleCloseUs": 5_000_000},
            "Profiles": [class("safe", "free", 4_000_000), class("keyed", "guarded", 4_000_000),
                class("once", "single_shot", 4_000_000)]}});
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
}

#[test]
fn each_message_gets_its_end_over_kills_and_a_move() {
    let folder = std::env::temp_dir().join(format!("heronroute-platform-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("state")).unwrap();
    let world = World::default();
    let ends: Vec<SocketAddr> = (0..2).map(|_| endpoint(&world)).collect();
    let line = |i: usize| {
        json!({"id": format!("e{i}"), "addr": ends[i], "zone": "a", "kind": "m", "cell": i,
            "state": "SERVING", "weight": 400.0})
    };
    let list = json!({"version": 1, "full": true, "servers": [line(0), line(1)]});
    let places = [discovery(0, &list, &world), discovery(1, &list, &world)];
    let port = ReservedPort::on_localhost().unwrap();
    let at = port.address();
    configure(&folder, at, places[0], &list);
    let mut sender = Sender::start(folder.clone(), at);
    // One thread, and no Unix socket anywhere (both measured on the users' bench, see docs/platform.md).
    let proc = format!("/proc/{}", sender.child.id());
    assert_eq!(std::fs::read_dir(format!("{proc}/task")).unwrap().count(), 1, "threads");
    let unix = std::fs::read_to_string("/proc/net/unix").unwrap_or_default();
    let unix: Vec<&str> = unix.lines().filter_map(|l| l.split_whitespace().nth(6)).collect();
    for fd in std::fs::read_dir(format!("{proc}/fd")).unwrap().flatten() {
        let to = std::fs::read_link(fd.path()).unwrap_or_default().display().to_string();
        let inode = to.strip_prefix("socket:[").and_then(|t| t.strip_suffix(']'));
        // What it was started with is not its own.
        let own = fd.file_name().to_string_lossy().parse::<u32>().is_ok_and(|n| n > 2);
        assert!(!own || inode.is_none_or(|i| !unix.contains(&i)), "a Unix socket: {to}");
    }
    let (mut taken, mut n) = (BTreeMap::new(), 0_u64);
    for round in 0..6 {
        for _ in 0..60 {
            n += 1;
            let (id, class) = (format!("m{n}"), (n % 3) as usize);
            let name = ["safe", "keyed", "once"][class];
            let pairs = format!("c={name},t=t,d=4000,k=key{n},dest={}", n % 2);
            match sender.ask(&["OUT.ADD", "0", &id, &pairs, "body"]) {
                Some(said) if said == "+OK" => _ = taken.insert(id, class),
                // It comes no sooner than it was told to: a client that does not wait has whole rounds refused, by its speed.
                Some(said) => {
                    let wait = said.strip_prefix("-BUSY").unwrap_or_else(|| panic!("{said}")).trim();
                    sleep(wait.parse().unwrap_or(10) * MS);
                }
                None => {}
            }
        }
        match round {
            0 | 2 | 4 => {
                sender.child.kill().unwrap();
                sender.child.wait().unwrap();
                sender = Sender::start(folder.clone(), at);
            }
            1 => {
                configure(&folder, at, places[1], &list);
                sender.signal("-HUP");
            }
            3 => {
                sender.signal("-TERM");
                assert_eq!(sender.child.wait().unwrap().code(), Some(0));
                sender = Sender::start(folder.clone(), at);
            }
            _ => {}
        }
    }
    sleep(5_000 * MS);
    sender.signal("-TERM");
    assert_eq!(sender.child.wait().unwrap().code(), Some(0));
    let seen = world.lock().unwrap();
    assert!(taken.len() > 300, "{} of {n} were taken on", taken.len());
    for (id, class) in &taken {
        let told = seen.notices.get(id).is_some_and(|n| !n.is_empty());
        assert!(told || seen.delivered.contains(id), "{id} has no end");
        let ran = seen.ran.get(id).copied().unwrap_or(0);
        assert!(*class < 2 || ran <= 1, "{id} may not be repeated, and ran {ran} times");
    }
    assert!(seen.notices.values().flatten().any(|(place, _)| *place == 1), "notices follow discovery");
    _ = std::fs::remove_dir_all(&sender.folder);
}

#[test]
fn what_is_missing_or_wrong_is_named() {
    let run = |config: Option<&str>| {
        let mut c = Command::new(env!("CARGO_BIN_EXE_heronroute"));
        c.arg("platform").env_remove("GW_CONFIG").env_remove("GW_STATE");
        let out = c.envs(config.map(|f| ("GW_CONFIG", f))).output().unwrap();
        (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    let (code, said) = run(None);
    assert!(code == Some(2) && said.contains("GW_CONFIG"), "{said}");
    let file = std::env::temp_dir().join(format!("heronroute-wrong-{}.json", std::process::id()));
    std::fs::write(&file, r#"{"name":"n","listen":"here"}"#).unwrap();
    let (code, said) = run(file.to_str());
    assert!(code == Some(2) && said.lines().count() == 1 && said.contains("GW_CONFIG"), "{said}");
    _ = std::fs::remove_file(file);
}

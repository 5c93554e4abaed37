//! The real program with fewer descriptors than it has clients, as a process under a limit of its own: it takes no time
//! while it waits for one, serves the clients that it has, takes on others once descriptors are free, and lives on.

use heronroute_reserved_port::ReservedPort;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Descriptors of the process.
const LIMIT: usize = 48;
/// Clients; more than it can have.
const CLIENTS: usize = 100;
/// So many may be free for a moment, as the sender's own connections come and go.
const SPARE: usize = 3;
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const PONG: &str = "+PONG\r\n";

struct Sender {
    child: Child,
    folder: PathBuf,
    listen: SocketAddr,
    /// Held so that no other socket is given it.
    _port: ReservedPort,
    /// Takes connections and says nothing.
    _silent: TcpListener,
}

impl Drop for Sender {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Sender {
    fn start(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("heronroute-{name}-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("state")).unwrap();
        let port = ReservedPort::on_localhost().unwrap();
        let free = port.address();
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = silent.local_addr().unwrap();
        // Far more sockets than the system gives it: its own bound is no help.
        let config = json!({"name": "n", "listen": free, "discovery": at, "seed": "7",
            "limits": {"memory_mb": 64, "sockets": 1000, "disk_mb": 1},
            "known": {"version": 1, "full": true, "servers": [{"id": "e1", "addr": at, "zone": "a", "kind": "m",
                "cell": 1, "state": "SERVING", "weight": 400.0}]},
            "settings": {"Azs": ["a"], "Shapes": ["m"], "Customers": [{"Name": "t", "QuotaRps": 500.0}],
                "Weights": "nominal", "QuantumUs": 1000, "Discovery": "push",
                "FamilyInfo": {"Workers": 4, "BatchByKind": [1]},
                "Limits": {"MaxOpen": 100, "MaxAttempts": 4, "Cancel": true, "RetryAfter": true,
                    "MaxRetryAfterUs": 500_000, "IdleCloseUs": 5_000_000},
                "Profiles": [{"Name": "safe", "Effect": "free", "HardLimitUs": 4_000_000,
                    "ObjectiveUs": 1_500_000, "WindowUs": 4_000_000, "Worth": 1.0}]}});
        std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
        let child = Command::new("sh")
            .args(["-c", &format!("ulimit -n {LIMIT}; exec \"$0\" --log error platform")])
            .arg(env!("CARGO_BIN_EXE_heronroute"))
            .env("GW_CONFIG", folder.join("config.json"))
            .env("GW_STATE", folder.join("state"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let sender = Sender { child, folder, listen: free, _port: port, _silent: silent };
        let until = Instant::now() + 20_000 * MS;
        while !TcpStream::connect(free).is_ok_and(|mut c| says(&mut c, PING) == PONG) {
            assert!(Instant::now() < until, "ready in time");
            sleep(20 * MS);
        }
        sender
    }

    fn client(&self) -> TcpStream {
        TcpStream::connect(self.listen).unwrap()
    }

    /// Its descriptors, without those beyond the limit that it was started with.
    fn descriptors(&self) -> usize {
        let all = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().flatten();
        let number = |f: std::fs::DirEntry| f.file_name().to_string_lossy().parse::<usize>();
        all.filter_map(|f| number(f).ok()).filter(|n| *n < LIMIT).count()
    }

    /// Time that it spent at work, in hundredths of a second.
    fn worked(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    fn lives(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

/// What a client hears to what it says; nothing where it does not hear of it in time.
fn says(client: &mut TcpStream, octets: &[u8]) -> String {
    client.set_read_timeout(Some(10_000 * MS)).unwrap();
    let (mut text, mut buffer) = (String::new(), [0; 256]);
    if client.write_all(octets).is_err() {
        return text;
    }
    while !text.ends_with("\r\n") {
        match client.read(&mut buffer) {
            Ok(n @ 1..) => text.push_str(&String::from_utf8_lossy(&buffer[..n])),
            _ => break,
        }
    }
    text
}

/// Clients in the midst of a command, so that none of them rests: none makes way for another. Some may have been closed
/// before they said something, and are left out; there are more than the sender can have all the same.
fn fill(sender: &Sender) -> Vec<TcpStream> {
    let one = |_| {
        let mut client = sender.client();
        client.write_all(&PING[..6]).unwrap();
        client
    };
    let mut clients: Vec<TcpStream> = (0..CLIENTS).map(one).collect();
    let until = Instant::now() + 20_000 * MS;
    while sender.descriptors() < LIMIT - SPARE {
        assert!(Instant::now() < until, "full in time");
        sleep(10 * MS);
    }
    sleep(100 * MS);
    clients.retain(|c| {
        c.set_nonblocking(true).unwrap();
        let open = c.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        c.set_nonblocking(false).unwrap();
        open
    });
    assert!(clients.len() > LIMIT + LIMIT / 4, "{} clients", clients.len());
    clients
}

#[test]
fn a_sender_without_descriptors_rests_serves_and_takes_on_others_once_there_are_some() {
    let mut sender = Sender::start("descriptors");
    let clients = fill(&sender);
    let before = sender.worked();
    sleep(1_000 * MS);
    let worked = sender.worked() - before;
    println!("at work for {worked} hundredths of a second");
    assert!(worked < 30, "it asks again and again without a wait: {worked} hundredths of a second");
    assert!(sender.lives() && sender.descriptors() >= LIMIT - SPARE);

    // The first of them are served as ever, and so are others once these have gone.
    let (all, mut served) = (clients.len(), 0);
    for (i, mut client) in clients.into_iter().enumerate() {
        let said = says(&mut client, &PING[6..]);
        // On a slow machine some may have taken too long over their command.
        assert!(said == PONG || said.contains("not finished"), "client {i} of {all}: {said:?}");
        served += usize::from(said == PONG);
    }
    assert!(served > all - LIMIT && sender.lives(), "{served} of {all}");
    let until = Instant::now() + 20_000 * MS;
    while sender.descriptors() >= LIMIT / 2 {
        assert!(Instant::now() < until, "descriptors are given back");
        sleep(10 * MS);
    }
}

#[test]
fn clients_that_rest_make_way_and_the_journal_goes_on() {
    let mut sender = Sender::start("making-way");
    // More than it can have, and all of them rest: the oldest go.
    let mut clients: Vec<TcpStream> = (0..CLIENTS).map(|_| sender.client()).collect();
    for (i, client) in clients.iter_mut().enumerate().rev().take(10) {
        assert_eq!(says(client, PING), PONG, "client {i}");
    }
    drop(clients);
    // None rests, and one hands in a message after the other, over several files of the journal. It has always begun
    // the next one, so that it does not rest either.
    let body = "x".repeat(20_000);
    let message = |i: usize| {
        let args = ["OUT.ADD", "0", &format!("m{i}"), "c=safe,t=t,d=300,dest=1", &body];
        let text: String = args.iter().map(|a| format!("${}\r\n{a}\r\n", a.len())).collect();
        format!("*{}\r\n{text}", args.len())
    };
    let mut first = sender.client();
    let begun = [PING, &message(0).as_bytes()[..8]].concat();
    assert_eq!(says(&mut first, &begun), PONG);
    let _others = fill(&sender);
    let mut taken = 0;
    for i in 0..150 {
        let octets = format!("{}{}", &message(i)[8..], &message(i + 1)[..8]);
        let said = says(&mut first, octets.as_bytes());
        assert!(sender.lives(), "ended after {i} messages");
        assert!(said == "+OK\r\n" || said.starts_with("-BUSY"), "message {i}: {said:?}");
        taken += usize::from(said == "+OK\r\n");
        sleep(10 * MS);
    }
    println!("{taken} taken on");
    assert!(taken > 10, "{taken}");
}

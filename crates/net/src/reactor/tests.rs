//! A second copy of an answer that arrives after its connection was read and before the next call leaves on it, on real
//! sockets: the thread stands still between the two.

use super::{Command, JournalSink, OwnJournal, Reactor};
use crate::clock::Clock;
use heronroute_engine::platform::config;
use heronroute_engine::{Node, Start};
use heronroute_journal::Journal;
use heronroute_journal::dir::Dir;
use heronroute_platform::start::read;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread::{sleep, spawn};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Rounds are a second apart, so that a message handed in waits for one.
const START: &str = r#"{"name":"n","listen":"127.0.0.1:1","discovery":"DISCOVERY","seed":"7",
 "limits":{"memory_mb":32,"sockets":32,"disk_mb":1},
 "known":{"version":4,"full":true,"servers":[
  {"id":"e1","addr":"FIRST","zone":"a","kind":"one","cell":1,"state":"SERVING","weight":50.0},
  {"id":"e2","addr":"OTHER","zone":"a","kind":"one","cell":2,"state":"SERVING","weight":50.0}]},
 "settings":{"Azs":["a"],"Shapes":["one"],"Customers":[{"Name":"t","QuotaRps":50.0}],"Balancers":1,
  "Weights":"nominal","QuantumUs":1000000,"Discovery":"push","FamilyInfo":{"Workers":8,"BatchByKind":[1]},
  "Limits":{"MaxOpen":40,"MaxAttempts":4,"Cancel":true,"RetryAfter":true,"MaxRetryAfterUs":2000000,"IdleCloseUs":20000000},
  "Profiles":[{"Name":"once","Effect":"single_shot","HardLimitUs":20000000,"ObjectiveUs":2500000,"Worth":5.0}]}}"#;

fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap().to_string();
    (listener, at)
}

fn add(client: &mut TcpStream, id: &str, dest: u32) {
    let args = ["OUT.ADD", "0", id, &format!("c=once,t=t,d=20000,dest={dest}"), "body"];
    let text: String = args.iter().map(|a| format!("${}\r\n{a}\r\n", a.len())).collect();
    client.write_all(format!("*{}\r\n{text}", args.len()).as_bytes()).unwrap();
}

/// What comes on a connection, until a call is whole or it ends.
fn hear(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(10_000 * MS)).unwrap();
    let (mut text, mut buffer) = (String::new(), [0; 4_096]);
    while !text.ends_with("body") {
        match stream.read(&mut buffer) {
            Ok(n @ 1..) => text.push_str(&String::from_utf8_lossy(&buffer[..n])),
            _ => break,
        }
    }
    text
}

#[test]
fn what_came_since_it_was_read_is_heard_before_the_next_call_leaves() {
    let ((first, at), (other, other_at), (_discovery, discovery_at)) = (listen(), listen(), listen());
    let start = START.replace("DISCOVERY", &discovery_at).replace("FIRST", &at).replace("OTHER", &other_at);
    let folder = std::env::temp_dir().join(format!("heronroute-copies-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let cfg = Arc::new(config(&read(&start).unwrap()));
    let journal = Journal::open(Dir::open_unsynced(&folder).unwrap(), cfg.journal.limits).unwrap();
    let clock = Clock::start();
    let start = Start {
        index: 0,
        seed: 7,
        now: clock.now(),
        wall: clock.wall(),
        list: 4,
        kept: None,
        state: Some(journal.state().clone()),
        fleet: false,
    };
    let (commands, inbox) = channel();
    let sink = Some(JournalSink::Own(Box::new(OwnJournal::new(journal))));
    let node = Node::new(cfg, start).unwrap();
    let (mut reactor, waker) = Reactor::new(node, clock, inbox, None, sink, Arc::default()).unwrap();
    let listener = mio::net::TcpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    reactor.listen_at(listener).unwrap();
    let thread = spawn(move || reactor.run());

    add(&mut client, "m1", 1);
    let mut conn = first.accept().unwrap().0;
    assert!(hear(&mut conn).contains("X-Call-Id: m1\r\n"));
    conn.write_all(OK).unwrap();
    sleep(1_500 * MS);
    // This one has a round at once; the next comes a second later.
    add(&mut client, "m2", 2);
    let mut silent = other.accept().unwrap().0;
    assert!(hear(&mut silent).contains("X-Call-Id: m2\r\n"));
    add(&mut client, "m3", 1);
    sleep(200 * MS);
    commands.send(Command::Stall(1_500 * MS)).unwrap();
    waker.wake().unwrap();
    sleep(400 * MS);
    conn.write_all(OK).unwrap();
    assert_eq!(hear(&mut conn), "", "a call went where another's answer is taken for its own");
    let mut conn = first.accept().unwrap().0;
    assert!(hear(&mut conn).contains("X-Call-Id: m3\r\n"), "it never left, and goes elsewhere");

    commands.send(Command::JournalFailed).unwrap();
    waker.wake().unwrap();
    assert!(thread.join().unwrap().is_err());
    _ = std::fs::remove_dir_all(&folder);
}

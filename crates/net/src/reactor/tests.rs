//! Guards against a second copy of an answer that is taken for the answer to the next call. The copy arrives
//! after its connection was read and before the next call is written, on real sockets: the thread is stalled
//! in between.

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

/// Rounds are a second apart, so that a submitted message waits for one.
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

/// Reads from a connection until a call is complete or the connection ends.
fn read_call(stream: &mut TcpStream) -> String {
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
fn bytes_that_arrived_since_the_last_read_are_read_before_the_next_call_is_written() {
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
        journal_usage: journal.usage(),
        fleet: false,
    };
    let (commands, command_queue) = channel();
    let sink = Some(JournalSink::Own(Box::new(OwnJournal::new(journal))));
    let node = Node::new(cfg, start).unwrap();
    let (mut reactor, waker) = Reactor::new(node, clock, command_queue, None, sink, Arc::default()).unwrap();
    let listener = mio::net::TcpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    reactor.set_listener(listener).unwrap();
    let thread = spawn(move || reactor.run());

    add(&mut client, "m1", 1);
    let mut conn = first.accept().unwrap().0;
    assert!(read_call(&mut conn).contains("X-Call-Id: m1\r\n"));
    conn.write_all(OK).unwrap();
    sleep(1_500 * MS);
    // This message is sent in a round at once; the next round is a second later.
    add(&mut client, "m2", 2);
    let mut silent = other.accept().unwrap().0;
    assert!(read_call(&mut silent).contains("X-Call-Id: m2\r\n"));
    add(&mut client, "m3", 1);
    sleep(200 * MS);
    commands.send(Command::Stall(1_500 * MS)).unwrap();
    waker.wake().unwrap();
    sleep(400 * MS);
    conn.write_all(OK).unwrap();
    assert_eq!(
        read_call(&mut conn),
        "",
        "a call was sent where the answer to another one would be taken for its own"
    );
    let mut conn = first.accept().unwrap().0;
    assert!(
        read_call(&mut conn).contains("X-Call-Id: m3\r\n"),
        "the call was not sent there, and is sent on another connection"
    );

    commands.send(Command::JournalFailed).unwrap();
    waker.wake().unwrap();
    assert!(thread.join().unwrap().is_err());
    _ = std::fs::remove_dir_all(&folder);
}

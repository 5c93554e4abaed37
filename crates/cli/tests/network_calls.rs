//! System calls for the network that fail for a while, each with the errors that Linux documents for it. The real program,
//! with a preloaded library that makes them fail.

mod alone;

use alone::*;
use heronroute_syscall_faults::{Call, Control, ONE_OCTET};
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const EPERM: i32 = 1;
const EINTR: i32 = 4;
const EAGAIN: i32 = 11;
const ENOMEM: i32 = 12;
const EACCES: i32 = 13;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const EPIPE: i32 = 32;
const EPROTO: i32 = 71;
const EADDRNOTAVAIL: i32 = 99;
const ENETDOWN: i32 = 100;
const ENETUNREACH: i32 = 101;
const ECONNABORTED: i32 = 103;
const ECONNRESET: i32 = 104;
const ENOBUFS: i32 = 105;
const ETIMEDOUT: i32 = 110;
const ECONNREFUSED: i32 = 111;
const EHOSTUNREACH: i32 = 113;

const FAULTS: [(Call, &[i32]); 7] = [
    (
        Call::Accept,
        &[
            EMFILE,
            ENFILE,
            ENOBUFS,
            ENOMEM,
            ECONNABORTED,
            EPROTO,
            EPERM,
            ENETDOWN,
            EHOSTUNREACH,
            ETIMEDOUT,
            EINTR,
        ],
    ),
    (
        Call::Connect,
        &[ECONNREFUSED, EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EACCES, EPERM, EAGAIN],
    ),
    (Call::Socket, &[EMFILE, ENFILE, ENOBUFS, ENOMEM, EACCES]),
    (Call::Receive, &[ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ECONNREFUSED, ENOMEM, EINTR, ONE_OCTET]),
    (Call::Send, &[ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENOBUFS, ENOMEM, EINTR, ONE_OCTET]),
    (Call::Wait, &[EINTR]),
    (Call::Watch, &[ENOMEM, ENOSPC]),
];
/// How long the calls fail.
const OUTAGE: Duration = Duration::from_millis(400);
/// The share of that in which the process may be at work, in a hundred.
const MOST_WORK: u32 = 50;
/// A tick of the processor time that the system counts.
const TICK: Duration = Duration::from_millis(10);

/// The processor time of a process so far.
fn processor_time(sender: &Sender) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", sender.child.id())).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks: u32 = fields[11].parse::<u32>().unwrap() + fields[12].parse::<u32>().unwrap();
    TICK * ticks
}

/// The ids of the messages that were called.
type Called = Arc<Mutex<HashSet<String>>>;

/// Answers all that comes to a listener in the same way, as long as the test runs, and records the ids.
fn serve(listener: &TcpListener, answer: &'static str, called: &Called) {
    let (listener, called) = (listener.try_clone().unwrap(), called.clone());
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let called = called.clone();
            spawn(move || answer_all(stream, answer, &called));
        }
    });
}

fn answer_all(mut stream: TcpStream, answer: &str, called: &Called) {
    let (mut text, mut buffer) = (String::new(), [0; 4_096]);
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
        let is_whole = text.ends_with("\r\n\r\nbody") || text.ends_with("}\n");
        if is_whole && stream.write_all(answer.as_bytes()).is_ok() {
            let id = text.split("X-Call-Id: ").nth(1).and_then(|rest| rest.split("\r\n").next());
            called.lock().unwrap().extend(id.map(str::to_string));
            text.clear();
        }
    }
}

/// Guards against a process that ends, spins, or no longer serves, because calls for the network fail for a while.
#[test]
fn failing_calls_for_the_network_end_nothing_and_cost_little() {
    let mut sender = set_up("network-calls", 128, 1_000);
    let control = Control::new(&sender.folder.join("faults")).unwrap();
    let mut command = command(&sender.folder, 256);
    control.preload(&mut command, &sender.folder.join("state"));
    sender.child = command.spawn().unwrap();
    sender.ready();
    let called = Called::default();
    serve(&sender.endpoint, OK, &called);
    serve(&sender.discovery, "HTTP/1.1 204 No Content\r\n\r\n", &Called::default());
    let mut number = 0;
    for (call, errors) in FAULTS {
        for errno in errors {
            let what = format!("{call:?}, error {errno}");
            let mut client = sender.client();
            assert_eq!(client.asks(PING), "+PONG", "{what}");
            let before = processor_time(&sender);
            control.fail(call, *errno).unwrap();
            let end = Instant::now() + OUTAGE;
            while Instant::now() < end {
                number += 1;
                // It may be answered, or its connection may end.
                _ = client.stream.write_all(out_add_as(&format!("during-{number}"), SAFE).as_bytes());
                _ = TcpStream::connect(sender.listen);
                sleep(20 * MS);
            }
            let work = processor_time(&sender).saturating_sub(before);
            control.heal(call).unwrap();
            assert!(control.was_met(call), "{what}: no such call was made");
            assert!(sender.child.try_wait().unwrap().is_none(), "{what}: the process has ended");
            assert!(work <= OUTAGE * MOST_WORK / 100, "{what}: {work:?} of processor time");
            sender.ready();
            let id = format!("after-{number}");
            let mut client = sender.client();
            until(&format!("{what}: accepted again"), || {
                let reply = client.asks(&out_add_as(&id, SAFE));
                // Accepted now, or before with a reply that was lost.
                ["+OK", "-ERR the id is open already", "-ERR the id was used before"]
                    .contains(&reply.as_str())
            });
            until(&format!("{what}: called again"), || called.lock().unwrap().contains(&id));
        }
    }
}

/// Guards against bytes that stay unread where a read returns fewer than there are, as no further event tells of the rest.
#[test]
fn a_request_and_an_answer_are_read_whole_though_reads_return_an_octet() {
    let mut sender = set_up("octet-reads", 128, 1_000);
    let control = Control::new(&sender.folder.join("faults")).unwrap();
    let mut command = command(&sender.folder, 256);
    control.preload(&mut command, &sender.folder.join("state"));
    sender.child = command.spawn().unwrap();
    sender.ready();
    let mut client = sender.client();
    control.fail(Call::Receive, ONE_OCTET).unwrap();
    assert_eq!(client.asks(&out_add("m1")), "+OK");
    let (mut call, _) = sender.call();
    call.write_all(b"HTTP/1.1 429 No\r\nretry-after: 1.5\r\ncontent-length: 0\r\n\r\n").unwrap();
    // Calls that come within 0.1 s are let through.
    sleep(150 * MS);
    assert!(!sender.is_called(Duration::ZERO), "called again at once");
    assert_eq!(client.asks(&out_add("m2")), "+OK");
    assert!(!sender.is_called(Duration::from_secs(1)), "called within the wait that was told");
    control.heal(Call::Receive).unwrap();
}

/// Guards against clients that lose their connections because another one could not be accepted: that frees nothing where
/// the error is the network's.
#[test]
fn an_error_of_the_network_at_accept_closes_no_other_client() {
    let mut sender = set_up("accept-errors", 128, 1_000);
    let control = Control::new(&sender.folder.join("faults")).unwrap();
    let mut command = command(&sender.folder, 256);
    control.preload(&mut command, &sender.folder.join("state"));
    sender.child = command.spawn().unwrap();
    sender.ready();
    for errno in [ECONNABORTED, EPROTO, EPERM, ENETDOWN, EHOSTUNREACH, ETIMEDOUT] {
        let mut client = sender.client();
        assert_eq!(client.asks(PING), "+PONG");
        control.fail(Call::Accept, errno).unwrap();
        let waiting = TcpStream::connect(sender.listen);
        until("accept fails", || control.was_met(Call::Accept));
        sleep(100 * MS);
        assert_eq!(client.asks(PING), "+PONG", "error {errno}");
        control.heal(Call::Accept).unwrap();
        drop(waiting);
    }
}

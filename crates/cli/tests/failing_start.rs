//! System calls that fail for a while as a process starts, or as it reads its configuration again. The real program, with a
//! preloaded library.

mod alone;

use alone::*;
use heronroute_syscall_faults::{Call, Control};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

const EIO: i32 = 5;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOBUFS: i32 = 105;
/// How long the calls fail.
const OUTAGE: Duration = Duration::from_millis(500);
/// Within this after SIGHUP a new address of discovery counts as told.
const TOLD_AFTER_MOVE: Duration = Duration::from_secs(4);
/// The descriptors of a process that runs out of them, and clients that take them.
const FEW_DESCRIPTORS: usize = 40;
const CROWD: usize = 80;

/// Starts a sender's process with a call that fails for files of a folder, and heals the call after a while.
fn start_while_failing(sender: &mut Sender, affected: &Path, call: Call, errno: i32) {
    let control = Control::new(&sender.folder.join("faults")).unwrap();
    control.fail(call, errno).unwrap();
    let mut command = command(&sender.folder, 256);
    control.preload(&mut command, affected);
    sender.child = command.spawn().unwrap();
    sleep(OUTAGE);
    assert!(sender.child.try_wait().unwrap().is_none(), "{call:?}, error {errno}: the process has ended");
    control.heal(call).unwrap();
    sender.ready();
}

/// Guards against a start that takes what can't be read for what is not there, or ends.
#[test]
fn reads_that_fail_at_a_start_delay_it_and_lose_nothing() {
    for (call, errno) in [(Call::Read, EIO), (Call::Open, EIO), (Call::Open, EMFILE), (Call::List, EIO)] {
        let mut sender = start("failing-reads");
        let mut client = sender.client();
        assert_eq!(client.asks(&out_add("accepted")), "+OK");
        drop(sender.call());
        sender.child.kill().unwrap();
        sender.child.wait().unwrap();
        let state = sender.folder.join("state");
        start_while_failing(&mut sender, &state, call, errno);
        let (_stream, text) = sender.call();
        assert!(text.contains("X-Call-Id: accepted\r\n"), "{call:?}, error {errno}: {text}");
    }
}

/// Guards against a start that ends as its configuration can't be read, or its port can't be had, for a moment.
#[test]
fn a_configuration_or_port_that_fails_at_a_start_delays_it() {
    let failing = [
        (Call::Open, EIO),
        (Call::Open, EMFILE),
        (Call::Read, EIO),
        (Call::Socket, ENFILE),
        (Call::Socket, ENOBUFS),
        (Call::Socket, ENOMEM),
    ];
    for (call, errno) in failing {
        let mut sender = set_up("failing-configuration", 128, 1_000);
        let folder = sender.folder.clone();
        start_while_failing(&mut sender, &folder, call, errno);
        let mut client = sender.client();
        assert_eq!(client.asks(&out_add("m")), "+OK", "{call:?}, error {errno}");
    }
}

/// Writes a new address of discovery into a sender's configuration.
fn move_discovery(sender: &Sender, address: SocketAddr) {
    let file = sender.folder.join("config.json");
    let text = std::fs::read_to_string(&file).unwrap();
    let mut config: serde_json::Value = serde_json::from_str(&text).unwrap();
    config["discovery"] = serde_json::json!(address);
    std::fs::write(file, config.to_string()).unwrap();
}

/// Whether a connection comes before that time.
fn is_reached(listener: &TcpListener, until: Instant) -> bool {
    listener.set_nonblocking(true).unwrap();
    while Instant::now() < until {
        if listener.accept().is_ok() {
            return true;
        }
        sleep(5 * MS);
    }
    false
}

/// Guards against a SIGHUP that is lost as the configuration can't be read for a moment.
#[test]
fn discovery_moves_though_the_configuration_cannot_be_read_at_first() {
    for (call, errno) in [(Call::Open, EIO), (Call::Open, EMFILE), (Call::Open, ENFILE), (Call::Read, EIO)] {
        let mut sender = set_up("failing-reload", 128, 1_000);
        let control = Control::new(&sender.folder.join("faults")).unwrap();
        let mut command = command(&sender.folder, 256);
        control.preload(&mut command, &sender.folder.join("config.json"));
        sender.child = command.spawn().unwrap();
        sender.ready();
        let (elsewhere, address) = listen("127.0.0.1".parse().unwrap());
        move_discovery(&sender, address);
        control.fail(call, errno).unwrap();
        sender.signal("-HUP");
        let told = Instant::now() + TOLD_AFTER_MOVE;
        sleep(OUTAGE);
        control.heal(call).unwrap();
        assert!(is_reached(&elsewhere, told), "{call:?}, error {errno}: it stays with the old discovery");
    }
}

/// Guards against a SIGHUP that is lost as idle clients have all descriptors.
#[test]
fn discovery_moves_though_idle_clients_have_all_descriptors() {
    let sender = start_with("crowded-reload", FEW_DESCRIPTORS, 1_000);
    let (elsewhere, address) = listen("127.0.0.1".parse().unwrap());
    move_discovery(&sender, address);
    let _crowd: Vec<TcpStream> = (0..CROWD).filter_map(|_| TcpStream::connect(sender.listen).ok()).collect();
    until("it has no descriptor left", || sender.descriptors(FEW_DESCRIPTORS) + 1 >= FEW_DESCRIPTORS);
    sender.signal("-HUP");
    assert!(is_reached(&elsewhere, Instant::now() + TOLD_AFTER_MOVE), "it stays with the old discovery");
}

//! Checks that a service without `fleet` has no thread and no socket for it. The only test in its program,
//! since it counts the threads and descriptors of the process.

use heronroute_config::parse;
use heronroute_fleet::key::Key;
use heronroute_fleet::link::Settings;
use heronroute_fleet::{Life, Name, Peer, Start};
use heronroute_installation::seam::{Input, Member, Output};
use heronroute_net::Service;
use heronroute_net::fleet::MemberSetup;
use std::sync::Arc;
use std::time::Duration;

struct InertMember;

impl Member for InertMember {
    fn handle(&mut self, _now: i64, _wall: i64, _input: Input, _out: &mut Vec<Output>) {}
}

/// Returns the names of the threads, and the number of descriptors.
fn threads_and_descriptors() -> (Vec<String>, usize) {
    // A thread sets its name a moment after it started.
    std::thread::sleep(Duration::from_millis(100));
    let read =
        |path: std::path::PathBuf| std::fs::read_to_string(path).unwrap_or_default().trim().to_string();
    let tasks = std::fs::read_dir("/proc/self/task").unwrap().flatten();
    let mut names: Vec<String> = tasks.map(|t| read(t.path().join("comm"))).collect();
    names.sort();
    (names, std::fs::read_dir("/proc/self/fd").unwrap().count())
}

#[test]
fn a_service_without_a_fleet_has_no_thread_and_no_socket_for_it() {
    let text = "service { senders: 1 drain_for: \"1s\" } smpp { listen: \"127.0.0.1:0\" } \
        client { system_id: \"c\" password: \"p\" } class { name: \"RESP\" effect: \"guarded\" window: \"10s\" deadline: \"30s\" } \
        kind { name: \"k\" protocol: \"smpp\" } route { destination: 1 } \
        endpoint { name: \"a\" address: \"127.0.0.1:1\" destination: 1 kind: \"k\" }";
    let cfg = Arc::new(parse("test", text).unwrap());
    let before = threads_and_descriptors();
    let added_since_start = |all: &(Vec<String>, usize)| {
        let mut own = all.0.clone();
        before.0.iter().for_each(|name| _ = own.iter().position(|n| n == name).map(|at| own.remove(at)));
        (own, all.1 - before.1)
    };

    let plain = Service::start(cfg.clone(), 1).unwrap();
    assert!(plain.fleet().is_none());
    let (threads, descriptors) = added_since_start(&threads_and_descriptors());
    assert_eq!(threads, ["door-smpp", "sender-0"]);
    // A poll and a waker for each thread, and one listener.
    assert_eq!(descriptors, 5);
    plain.shut_down();
    plain.join().unwrap();

    let any_port = "127.0.0.1:0".parse().unwrap();
    let me = Life { name: Name::new("a").unwrap(), start: Start(1) };
    let peer = Peer { name: me.name.clone(), zone: "z".into(), address: any_port, keeper: true };
    let key = Key::read(&"5a".repeat(32)).unwrap();
    let links = Settings { installation: "i".into(), me, peers: vec![peer], key, seed: 1 };
    let setup = MemberSetup { links, listen: any_port, member: Box::new(InertMember), member_factory: None };
    let member = Service::start_with_member(cfg, 1, Arc::new(|| ()), Some(setup)).unwrap();
    let (threads, with_fleet) = added_since_start(&threads_and_descriptors());
    assert_eq!(threads, ["door-smpp", "fleet", "sender-0"], "a fleet is counted if there is one");
    assert_eq!(with_fleet, descriptors + 3);
    member.shut_down();
    member.join().unwrap();
    assert_eq!(threads_and_descriptors(), before, "all threads and descriptors are released");
}

//! Tests of members' threads on real sockets.

use heronroute_engine::stats::Stats;
use heronroute_fleet::key::Key;
use heronroute_fleet::link::{self, Reason, Settings};
use heronroute_fleet::{Kind, Life, Name, Peer, Start};
use heronroute_installation::seam::{Health, Input, Member, Output};
use heronroute_net::Clock;
use heronroute_net::fleet::{BoundMember, MemberAnswer, MemberSetup, RunningMember, SenderMemberHandle};
use heronroute_reserved_port::ReservedPort;
use heronroute_rules::seam::{ClientRequest, DryRun, DryRunResult, Live, Token, Told};
use heronroute_rules::{RuleSet, Turn};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const KEY: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/// The inputs that a member received.
#[derive(Default)]
struct Received {
    linked: Vec<(usize, Life)>,
    unlinked: Vec<usize>,
    messages: Vec<(usize, Vec<u8>)>,
    lives: Vec<Live>,
    dry_run_results: Vec<DryRunResult>,
    outlived_by: Vec<Start>,
    health: Vec<Health>,
}

/// Records its inputs, answers each request, and sends `burst` numbered messages to a peer once it is linked.
struct RecordingMember {
    received: Arc<Mutex<Received>>,
    burst: u32,
    /// Locked by the test to stall the member.
    stall_lock: Arc<Mutex<()>>,
}

impl Member for RecordingMember {
    fn handle(&mut self, _now: i64, wall: i64, input: Input, out: &mut Vec<Output>) {
        assert!(wall > 1_600_000_000_000_000);
        drop(self.stall_lock.lock().unwrap());
        let mut received = self.received.lock().unwrap();
        match input {
            Input::Linked { peer, life } => {
                received.linked.push((peer, life));
                let send =
                    |n: u32| Output::Send { peer, kind: Kind::Log, payload: n.to_be_bytes().repeat(100) };
                out.extend((0..self.burst).map(send));
            }
            Input::Unlinked { peer } => received.unlinked.push(peer),
            Input::Message { peer, payload } => received.messages.push((peer, payload)),
            Input::ClientRequest(request) if request.words.contains(&"check".to_string()) => {
                let set = Arc::new(RuleSet::default());
                out.push(Output::DryRun(DryRun {
                    number: 12,
                    client: request.client,
                    set,
                    turn: Turn::default(),
                }));
            }
            Input::DryRunResult(result) => received.dry_run_results.push(result),
            Input::ClientRequest(request) => {
                out.push(Output::Told(Told { token: request.token, text: request.client, state: "shown" }));
            }
            Input::Live(live) => received.lives.push(live),
            Input::Outlived(start) => received.outlived_by.push(start),
            Input::Health(health) => received.health.push(health),
            Input::Clients(_) | Input::Tick | Input::TakeoverStored(_) | Input::Copies(_) => {}
        }
    }
}

/// A running member under test.
struct TestMember {
    thread: RunningMember,
    received: Arc<Mutex<Received>>,
    stall_lock: Arc<Mutex<()>>,
    answers: Receiver<MemberAnswer>,
}

fn reserve_ports(n: usize) -> Vec<ReservedPort> {
    (0..n).map(|_| ReservedPort::on_localhost().unwrap()).collect()
}

fn name(n: usize) -> Name {
    Name::new(&format!("m{n}")).unwrap()
}

fn start(n: usize, ports: &[ReservedPort], start: u64, burst: u32) -> TestMember {
    let peer = |(i, port): (usize, &ReservedPort)| Peer {
        name: name(i),
        zone: "z".into(),
        address: port.address(),
        keeper: true,
    };
    let links = Settings {
        installation: "oduya".into(),
        me: Life { name: name(n), start: Start(start) },
        peers: ports.iter().enumerate().map(peer).collect(),
        key: Key::read(KEY).unwrap(),
        seed: start * 10 + n as u64,
    };
    let (received, stall_lock) = (Arc::<Mutex<Received>>::default(), Arc::<Mutex<()>>::default());
    let member =
        Box::new(RecordingMember { received: received.clone(), burst, stall_lock: stall_lock.clone() });
    let (to, answers): (Sender<MemberAnswer>, _) = channel();
    let mut bound = BoundMember::new(
        MemberSetup { links, listen: ports[n].address(), member, member_factory: None },
        Clock::start(),
    )
    .unwrap();
    let sender = |room| Stats { refused_room: room, answers: [9, 0, 1, 0, 0, 0], ..Stats::default() };
    bound.set_health_source([3, 4].map(|room| Arc::new(Mutex::new(sender(room)))).to_vec());
    let thread = bound.run(Box::new(move |answer| _ = to.send(answer))).unwrap();
    TestMember { thread, received, stall_lock, answers }
}

fn until(what: &str, mut is: impl FnMut() -> bool) {
    let end = Instant::now() + 15_000 * MS;
    while !is() {
        assert!(Instant::now() < end, "{what}");
        sleep(5 * MS);
    }
}

fn ended(stats: &link::Stats, why: Reason) -> u64 {
    stats.ended.get(&why).copied().unwrap_or(0)
}

#[test]
fn members_link_and_messages_arrive_in_order() {
    let ports = reserve_ports(3);
    let all: Vec<TestMember> = (0..3).map(|n| start(n, &ports, 1, 2_000)).collect();
    until("all messages are received", || {
        all.iter().all(|p| p.received.lock().unwrap().messages.len() == 4_000)
    });
    for (n, member) in all.iter().enumerate() {
        let received = member.received.lock().unwrap();
        assert_eq!((received.linked.len(), received.unlinked.len()), (2, 0));
        for from in (0..3).filter(|from| *from != n) {
            let mine: Vec<_> =
                received.messages.iter().filter(|m| m.0 == from).map(|m| m.1.clone()).collect();
            let wanted: Vec<_> = (0..2_000_u32).map(|n| n.to_be_bytes().repeat(100)).collect();
            assert!(mine == wanted, "{from} to {n}");
        }
    }
    all.into_iter().for_each(|p| p.thread.stop().unwrap());
}

#[test]
fn the_health_of_a_process_is_reported_to_its_member() {
    let ports = reserve_ports(1);
    let member = start(0, &ports, 1, 0);
    until("the health is reported", || !member.received.lock().unwrap().health.is_empty());
    let health = member.received.lock().unwrap().health[0];
    assert_eq!((health.refused, health.failed), (7, 2), "the sum of both senders");
    assert!(!cfg!(target_os = "linux") || health.memory > 0);
    member.thread.stop().unwrap();
}

#[test]
fn a_stopped_member_is_unlinked_and_returns_as_another_life() {
    let ports = reserve_ports(3);
    let mut all: Vec<TestMember> = (0..3).map(|n| start(n, &ports, 5, 1)).collect();
    let linked =
        |p: &TestMember, n| p.received.lock().unwrap().linked.iter().any(|(at, l)| (*at, l.start.0) == n);
    until("linked", || linked(&all[0], (1, 5)) && linked(&all[2], (1, 5)));
    all.remove(1).thread.stop().unwrap();
    until("unlinked", || all.iter().all(|p| p.received.lock().unwrap().unlinked == [1]));
    let returned = start(1, &ports, 6, 1);
    until("linked to its new life", || all.iter().all(|p| linked(p, (1, 6))));
    returned.thread.stop().unwrap();
    // A member that starts from an old folder, with a lower start number: nobody links to it, and it is
    // notified.
    let outlived = start(1, &ports, 3, 1);
    until("outlived", || outlived.received.lock().unwrap().outlived_by.contains(&Start(6)));
    assert!(all.iter().all(|p| !linked(p, (1, 3))));
    outlived.thread.stop().unwrap();
    all.into_iter().for_each(|p| p.thread.stop().unwrap());
}

#[test]
fn connections_of_non_members_are_closed_and_counted_and_do_no_harm() {
    let ports = reserve_ports(2);
    let all: Vec<TestMember> = (0..2).map(|n| start(n, &ports, 1, 10)).collect();
    let mut silent: Vec<TcpStream> =
        (0..60).map(|_| TcpStream::connect(ports[1].address()).unwrap()).collect();
    let mut loud = TcpStream::connect(ports[1].address()).unwrap();
    loud.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert!(matches!(loud.read(&mut [0; 9]), Ok(0) | Err(_)), "the connection is closed");
    until("the oldest connections are closed", || {
        ended(&all[1].thread.stats().unwrap(), Reason::Crowded) >= 44
    });
    assert_eq!(ended(&all[1].thread.stats().unwrap(), Reason::Length), 1);
    assert!(matches!(silent[0].read(&mut [0; 9]), Ok(0) | Err(_)), "the connection is closed");
    until("the members are linked and exchange messages", || {
        all.iter().all(|p| p.received.lock().unwrap().messages.len() == 10)
    });
    all.into_iter().for_each(|p| p.thread.stop().unwrap());
}

#[test]
fn requests_are_answered_and_those_without_room_are_answered_as_busy_at_once() {
    let ports = reserve_ports(2);
    let member = start(0, &ports, 1, 0);
    let mut port = SenderMemberHandle::new(member.thread.handle());
    let request = |n| ClientRequest {
        token: Token { sender: 3, conn: 4, token: n },
        client: "oduya".into(),
        words: vec!["rules".into(), "show".into()],
        body: Vec::new(),
    };
    let live = |client: usize, version| Live {
        sender: 0,
        client: format!("c{client}"),
        set: RuleSet { version, ..RuleSet::default() },
        turn: Default::default(),
        trouble: None,
    };
    assert_eq!(port.submit_request(request(1)), None);
    let MemberAnswer::ClientAnswer(told) = member.answers.recv_timeout(5_000 * MS).unwrap() else { panic!() };
    assert_eq!((told.token, told.state), (request(1).token, "shown"));
    assert_eq!(
        port.submit_request(ClientRequest { words: vec!["rules".into(), "check".into()], ..request(2) }),
        None
    );
    let MemberAnswer::DryRun(dry_run) = member.answers.recv_timeout(5_000 * MS).unwrap() else { panic!() };
    let result = DryRunResult { number: dry_run.number, sender: 3, would: Default::default() };
    port.report_dry_run(result);
    until("the result of the dry run is received", || {
        member.received.lock().unwrap().dry_run_results == [result]
    });
    // The member is stalled: its queue is bounded, and the sender is not delayed.
    let stall_guard = member.stall_lock.lock().unwrap();
    let started = Instant::now();
    let busy =
        (0..10_000).filter(|n| port.submit_request(request(*n)).is_some_and(|t| t.state == "busy")).count();
    assert!((5_900..=5_910).contains(&busy), "{busy}");
    for version in 0..1_000 {
        port.report_live(live(version as usize % 10, version));
    }
    assert!(started.elapsed() < 2_000 * MS);
    drop(stall_guard);
    until("reports that found no room are sent later", || {
        port.retry_reports();
        member.received.lock().unwrap().lives.len() == 10
    });
    let newest: Vec<_> = member.received.lock().unwrap().lives.iter().map(|l| l.set.version).collect();
    assert_eq!(newest, (990..1_000).collect::<Vec<_>>(), "the newest of each client");
    member.thread.stop().unwrap();
}

//! Members' threads on real sockets.

use heronroute_engine::stats::Stats;
use heronroute_fleet::key::Key;
use heronroute_fleet::link::{self, Reason, Settings};
use heronroute_fleet::{Kind, Life, Name, Peer, Start};
use heronroute_installation::seam::{Health, Input, Member, Output};
use heronroute_net::Clock;
use heronroute_net::fleet::{Answer, Bound, Fleet, SenderPort, Setup};
use heronroute_rules::seam::{ClientRequest, DryRun, DryRunResult, Live, Token, Told};
use heronroute_rules::{RuleSet, Turn};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const KEY: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/// What a member heard.
#[derive(Default)]
struct Heard {
    linked: Vec<(usize, Life)>,
    unlinked: Vec<usize>,
    messages: Vec<(usize, Vec<u8>)>,
    lives: Vec<Live>,
    weighed: Vec<DryRunResult>,
    outlived: Vec<Start>,
    health: Vec<Health>,
}

/// Notes what it hears; answers each question; sends `burst` numbered messages to a peer once it is linked.
struct Noter {
    heard: Arc<Mutex<Heard>>,
    burst: u32,
    /// Held by the test: the member stands still meanwhile.
    hold: Arc<Mutex<()>>,
}

impl Member for Noter {
    fn handle(&mut self, _now: i64, wall: i64, input: Input, out: &mut Vec<Output>) {
        assert!(wall > 1_600_000_000_000_000);
        drop(self.hold.lock().unwrap());
        let mut heard = self.heard.lock().unwrap();
        match input {
            Input::Linked { peer, life } => {
                heard.linked.push((peer, life));
                let send =
                    |n: u32| Output::Send { peer, kind: Kind::Log, payload: n.to_be_bytes().repeat(100) };
                out.extend((0..self.burst).map(send));
            }
            Input::Unlinked { peer } => heard.unlinked.push(peer),
            Input::Message { peer, payload } => heard.messages.push((peer, payload)),
            Input::ClientRequest(ask) if ask.words.contains(&"check".to_string()) => {
                let set = Arc::new(RuleSet::default());
                out.push(Output::DryRun(DryRun {
                    number: 12,
                    client: ask.client,
                    set,
                    turn: Turn::default(),
                }));
            }
            Input::DryRunResult(weighed) => heard.weighed.push(weighed),
            Input::ClientRequest(ask) => {
                out.push(Output::Told(Told { token: ask.token, text: ask.client, state: "shown" }));
            }
            Input::Live(live) => heard.lives.push(live),
            Input::Outlived(start) => heard.outlived.push(start),
            Input::Health(health) => heard.health.push(health),
            Input::Clients(_) | Input::Tick | Input::TookUp(_) | Input::Copies(_) => {}
        }
    }
}

struct Place {
    fleet: Fleet,
    heard: Arc<Mutex<Heard>>,
    hold: Arc<Mutex<()>>,
    answers: Receiver<Answer>,
}

fn addresses(n: usize) -> Vec<SocketAddr> {
    let all: Vec<TcpListener> = (0..n).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    all.iter().map(|l| l.local_addr().unwrap()).collect()
}

fn name(n: usize) -> Name {
    Name::new(&format!("m{n}")).unwrap()
}

fn start(n: usize, at: &[SocketAddr], start: u64, burst: u32) -> Place {
    let peer =
        |(i, a): (usize, &SocketAddr)| Peer { name: name(i), zone: "z".into(), address: *a, keeper: true };
    let links = Settings {
        installation: "oduya".into(),
        me: Life { name: name(n), start: Start(start) },
        peers: at.iter().enumerate().map(peer).collect(),
        key: Key::read(KEY).unwrap(),
        seed: start * 10 + n as u64,
    };
    let (heard, hold) = (Arc::<Mutex<Heard>>::default(), Arc::<Mutex<()>>::default());
    let member = Box::new(Noter { heard: heard.clone(), burst, hold: hold.clone() });
    let (to, answers): (Sender<Answer>, _) = channel();
    let mut bound = Bound::new(Setup { links, listen: at[n], member, anew: None }, Clock::start()).unwrap();
    let sender = |room| Stats { refused_room: room, answers: [9, 0, 1, 0, 0, 0], ..Stats::default() };
    bound.fares([3, 4].map(|room| Arc::new(Mutex::new(sender(room)))).to_vec());
    let fleet = bound.run(Box::new(move |answer| _ = to.send(answer))).unwrap();
    Place { fleet, heard, hold, answers }
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
fn members_link_and_messages_come_in_order() {
    let at = addresses(3);
    let all: Vec<Place> = (0..3).map(|n| start(n, &at, 1, 2_000)).collect();
    until("all is heard", || all.iter().all(|p| p.heard.lock().unwrap().messages.len() == 4_000));
    for (n, place) in all.iter().enumerate() {
        let heard = place.heard.lock().unwrap();
        assert_eq!((heard.linked.len(), heard.unlinked.len()), (2, 0));
        for from in (0..3).filter(|from| *from != n) {
            let mine: Vec<_> = heard.messages.iter().filter(|m| m.0 == from).map(|m| m.1.clone()).collect();
            let wanted: Vec<_> = (0..2_000_u32).map(|n| n.to_be_bytes().repeat(100)).collect();
            assert!(mine == wanted, "{from} to {n}");
        }
    }
    all.into_iter().for_each(|p| p.fleet.stop().unwrap());
}

#[test]
fn a_member_is_told_how_its_process_fares() {
    let at = addresses(1);
    let place = start(0, &at, 1, 0);
    until("its health", || !place.heard.lock().unwrap().health.is_empty());
    let health = place.heard.lock().unwrap().health[0];
    assert_eq!((health.refused, health.failed), (7, 2), "of both senders");
    assert!(!cfg!(target_os = "linux") || health.memory > 0);
    place.fleet.stop().unwrap();
}

#[test]
fn one_that_ends_is_missed_and_comes_back_as_another_life() {
    let at = addresses(3);
    let mut all: Vec<Place> = (0..3).map(|n| start(n, &at, 5, 1)).collect();
    let linked = |p: &Place, n| p.heard.lock().unwrap().linked.iter().any(|(at, l)| (*at, l.start.0) == n);
    until("linked", || linked(&all[0], (1, 5)) && linked(&all[2], (1, 5)));
    all.remove(1).fleet.stop().unwrap();
    until("missed", || all.iter().all(|p| p.heard.lock().unwrap().unlinked == [1]));
    let back = start(1, &at, 6, 1);
    until("back", || all.iter().all(|p| linked(p, (1, 6))));
    back.fleet.stop().unwrap();
    // From an old folder: nobody takes it for the one that lived, and it is told.
    let old = start(1, &at, 3, 1);
    until("outlived", || old.heard.lock().unwrap().outlived.contains(&Start(6)));
    assert!(all.iter().all(|p| !linked(p, (1, 3))));
    old.fleet.stop().unwrap();
    all.into_iter().for_each(|p| p.fleet.stop().unwrap());
}

#[test]
fn strangers_are_thrown_out_and_counted_and_harm_nobody() {
    let at = addresses(2);
    let all: Vec<Place> = (0..2).map(|n| start(n, &at, 1, 10)).collect();
    let mut silent: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(at[1]).unwrap()).collect();
    let mut loud = TcpStream::connect(at[1]).unwrap();
    loud.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert!(matches!(loud.read(&mut [0; 9]), Ok(0) | Err(_)), "it is closed");
    until("the oldest went", || ended(&all[1].fleet.stats().unwrap(), Reason::Crowded) >= 44);
    assert_eq!(ended(&all[1].fleet.stats().unwrap(), Reason::Length), 1);
    assert!(matches!(silent[0].read(&mut [0; 9]), Ok(0) | Err(_)), "it is closed");
    until("linked all the same", || all.iter().all(|p| p.heard.lock().unwrap().messages.len() == 10));
    all.into_iter().for_each(|p| p.fleet.stop().unwrap());
}

#[test]
fn questions_are_answered_and_one_too_many_is_told_so_at_once() {
    let at = addresses(2);
    let place = start(0, &at, 1, 0);
    let mut port = SenderPort::new(place.fleet.port());
    let ask = |n| ClientRequest {
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
    assert_eq!(port.ask(ask(1)), None);
    let Answer::Told(told) = place.answers.recv_timeout(5_000 * MS).unwrap() else { panic!() };
    assert_eq!((told.token, told.state), (ask(1).token, "shown"));
    assert_eq!(port.ask(ClientRequest { words: vec!["rules".into(), "check".into()], ..ask(2) }), None);
    let Answer::DryRun(weigh) = place.answers.recv_timeout(5_000 * MS).unwrap() else { panic!() };
    let weighed = DryRunResult { number: weigh.number, sender: 3, would: Default::default() };
    port.weighed(weighed);
    until("what was weighed", || place.heard.lock().unwrap().weighed == [weighed]);
    // The member stands still: its inbox is bounded, and the sender is not held up.
    let held = place.hold.lock().unwrap();
    let begun = Instant::now();
    let busy = (0..10_000).filter(|n| port.ask(ask(*n)).is_some_and(|t| t.state == "busy")).count();
    assert!((5_900..=5_910).contains(&busy), "{busy}");
    for version in 0..1_000 {
        port.live(live(version as usize % 10, version));
    }
    assert!(begun.elapsed() < 2_000 * MS);
    drop(held);
    until("reports that found no room come later", || {
        port.again();
        place.heard.lock().unwrap().lives.len() == 10
    });
    let newest: Vec<_> = place.heard.lock().unwrap().lives.iter().map(|l| l.set.version).collect();
    assert_eq!(newest, (990..1_000).collect::<Vec<_>>(), "the newest of each client");
    place.fleet.stop().unwrap();
}

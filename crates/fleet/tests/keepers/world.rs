//! Members on a virtual clock and a scripted network, everything from a seed, invariants after each step.

use crate::node::{Act, Node, Shelf};
use heronroute_fleet::replicas::item::Item;
use heronroute_fleet::replicas::log::Log;
use heronroute_fleet::replicas::{Answer, Lane, Tuning};
use heronroute_fleet::{Entry, Life, Micros, Name, Peer, Request, Term};
use heronroute_journal::disk::Disk;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Packet { to: usize, from: usize, agreement: bool, bytes: Vec<u8> },
    Tick(usize, u64),
}

pub struct World {
    pub seed: u64,
    pub now: Micros,
    pub rng: SmallRng,
    pub nodes: Vec<Node>,
    pub peers: Vec<Peer>,
    pub tuning: Tuning,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    order: u64,
    /// Ways that carry nothing.
    pub cut: BTreeSet<(usize, usize)>,
    /// In hundredths.
    pub loss: u32,
    pub twice: u32,
    /// Greatest delay.
    pub delay: Micros,
    /// Messages overtake each other, as they never do on a link that stands.
    pub overtake: bool,
    ways: BTreeMap<(usize, usize, bool), Micros>,
    waiting: Vec<(usize, usize, bool, Vec<u8>)>,
    /// What stands at each place, by whoever delivered it first.
    pub history: Vec<Entry>,
    pub terms: BTreeMap<Term, Life>,
    pub answers: BTreeMap<Request, Answer>,
    /// What was asked, and of whom.
    asked: BTreeSet<(usize, Request)>,
    pub kills: u64,
    /// Octets sent.
    pub bytes: u64,
    /// A digest of all that was said and decided.
    pub trace: u64,
    pub halts_are_expected: bool,
    /// Whether what is delivered is kept: to whom, from whom, which way, what.
    pub record: bool,
    pub recorded: Vec<(usize, usize, Lane, Vec<u8>)>,
    /// Disks as they were once, to be put back.
    pub backups: BTreeMap<usize, (u64, Disk)>,
    /// A disk that is put back has other files by their numbers, as a copy of a folder has, and a snapshot of a volume has not.
    pub copies_show: bool,
}

pub fn fast() -> Tuning {
    Tuning { lease: 800 * MS, startup_wait: 1_500 * MS, compact: 4 * 1024, keep: 8, ..Tuning::default() }
}

impl World {
    pub fn new(seed: u64, replicas: usize, learners: usize, tuning: Tuning) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let peer = |i: usize| Peer {
            name: Name::new(&format!("m{i}")).unwrap(),
            zone: "z".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            keeper: i < replicas,
        };
        let peers: Vec<Peer> = (0..replicas + learners).map(peer).collect();
        let nodes = peers
            .iter()
            .map(|p| Node::new(p.clone(), rng.random_range(980..=1020), rng.random_range(0..SECOND)))
            .collect();
        let mut world = World {
            seed,
            now: 0,
            rng,
            nodes,
            peers,
            tuning,
            events: BinaryHeap::new(),
            order: 0,
            cut: BTreeSet::new(),
            loss: 0,
            twice: 0,
            delay: 8 * MS,
            overtake: false,
            ways: BTreeMap::new(),
            waiting: Vec::new(),
            history: Vec::new(),
            terms: BTreeMap::new(),
            answers: BTreeMap::new(),
            asked: BTreeSet::new(),
            kills: 0,
            bytes: 0,
            trace: 0,
            halts_are_expected: false,
            record: false,
            recorded: Vec::new(),
            backups: BTreeMap::new(),
            copies_show: false,
        };
        for i in 0..world.nodes.len() {
            world.start(i);
        }
        world
    }

    pub fn replicas(&self) -> usize {
        self.peers.iter().filter(|p| p.keeper).count()
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    pub fn start(&mut self, i: usize) {
        let (now, seed, tuning) = (self.now, self.seed, self.tuning);
        let node = &mut self.nodes[i];
        if let Err(e) = node.start(now, &self.peers, seed, tuning) {
            assert!(node.shelf.disk().power_lost(), "seed {seed}: {} does not start: {e}", node.peer.name);
            // Power is lost again while the disk is read; it is started once more.
            let seed = self.rng.random();
            self.kills += 1;
            self.nodes[i].kill(seed);
            return self.start(i);
        }
        self.wind(i);
    }

    /// A member that has started gets its ticks and its links.
    pub fn wind(&mut self, i: usize) {
        let life = self.nodes[i].starts;
        self.push(self.now, Event::Tick(i, life));
        for other in 0..self.nodes.len() {
            self.relink(i, other);
        }
    }

    /// Power off; the disk is as it is found after it.
    pub fn kill(&mut self, i: usize) {
        if self.nodes[i].member.is_some() {
            self.kills += 1;
            let seed = self.rng.random();
            self.nodes[i].kill(seed);
        }
    }

    /// What a disk held that is lost now counts for what was decided before.
    fn bury(&mut self, i: usize) {
        let disk = self.nodes[i].shelf.disk().after_loss(1);
        self.nodes[i].graves.push(disk);
    }

    pub fn wipe(&mut self, i: usize) {
        self.bury(i);
        self.nodes[i].shelf = Shelf::default();
        self.nodes[i].lost = true;
        self.nodes[i].start = self.now as u64 + 1_000_000;
    }

    pub fn back_up(&mut self, i: usize) {
        // A backup is taken of what is durable.
        let disk = self.nodes[i].shelf.disk().after_loss(1);
        self.backups.insert(i, (self.nodes[i].start, disk));
    }

    pub fn put_back(&mut self, i: usize) -> bool {
        let Some((start, disk)) = self.backups.get(&i).cloned() else { return false };
        self.bury(i);
        self.nodes[i].start = start;
        self.nodes[i].lost = true;
        let number = self.nodes[i].shelf.number + u64::from(self.copies_show);
        self.nodes[i].shelf = Shelf::of(disk, number);
        true
    }

    pub fn cut_way(&mut self, a: usize, b: usize) {
        self.cut.insert((a, b));
    }

    pub fn cut_link(&mut self, a: usize, b: usize) {
        self.cut.extend([(a, b), (b, a)]);
    }

    pub fn heal(&mut self) {
        for (a, b) in std::mem::take(&mut self.cut) {
            self.relink(a, b);
        }
    }

    fn relink(&mut self, a: usize, b: usize) {
        if a == b || self.cut.contains(&(a, b)) || !self.nodes[a].up() || !self.nodes[b].up() {
            return;
        }
        for (x, y) in [(a, b), (b, a)] {
            let name = self.peers[y].name.clone();
            let clock = self.nodes[x].clock(self.now);
            if let Some(m) = &mut self.nodes[x].member {
                m.reconnected(clock, &name);
            }
            self.settle(x);
        }
    }

    pub fn pause(&mut self, i: usize) {
        self.nodes[i].paused = true;
    }

    pub fn wake(&mut self, i: usize) {
        if self.nodes[i].paused {
            self.nodes[i].paused = false;
            // Before it has heard or done anything.
            self.check_charge();
            let life = self.nodes[i].starts;
            self.push(self.now, Event::Tick(i, life));
            for (to, from, agreement, bytes) in std::mem::take(&mut self.waiting) {
                self.push(self.now, Event::Packet { to, from, agreement, bytes });
            }
        }
    }

    pub fn propose(&mut self, i: usize, request: Request, size: usize) {
        let clock = self.nodes[i].clock(self.now);
        if !self.nodes[i].up() {
            return;
        }
        let body = vec![request.number as u8; size];
        if let Some(m) = &mut self.nodes[i].member {
            self.asked.insert((i, request.clone()));
            m.propose(clock, request, self.now, body);
        }
        self.settle(i);
    }

    pub fn ask_new(&mut self, i: usize, size: usize) -> Request {
        self.nodes[i].next_number += 1;
        let request = Request { from: self.nodes[i].life(), number: self.nodes[i].next_number };
        self.propose(i, request.clone(), size);
        request
    }

    /// Runs until a time.
    pub fn run(&mut self, until: Micros) {
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = self.now.max(at);
            match event {
                Event::Tick(i, life) => self.tick(i, life),
                Event::Packet { to, from, agreement, bytes } => self.deliver(to, from, agreement, bytes),
            }
        }
        self.now = until;
    }

    fn tick(&mut self, i: usize, life: u64) {
        let node = &mut self.nodes[i];
        if node.starts != life || !node.up() {
            return;
        }
        let clock = node.clock(self.now);
        let rate = node.rate;
        let Some(member) = &mut node.member else { return };
        member.tick(clock);
        let wait = (member.next_wake() - clock).max(1) * 1000 / rate + 1;
        self.settle(i);
        self.push(self.now + wait, Event::Tick(i, life));
        self.check_charge();
    }

    fn deliver(&mut self, to: usize, from: usize, agreement: bool, bytes: Vec<u8>) {
        let node = &mut self.nodes[to];
        if node.paused {
            // It stands in the socket until the process wakes.
            self.waiting.push((to, from, agreement, bytes));
            return;
        }
        let clock = node.clock(self.now);
        let Some(member) = &mut node.member else { return };
        let lane = if agreement { Lane::Agreement } else { Lane::Log };
        member.handle(clock, &self.peers[from].name, lane, &bytes);
        if self.record {
            self.recorded.push((to, from, lane, bytes));
        }
        self.settle(to);
        if agreement {
            self.check_charge();
        }
    }

    pub fn settle(&mut self, i: usize) {
        let acts = self.nodes[i].settle(self.now);
        for act in acts {
            match act {
                Act::Send(to, lane, bytes) => self.send(i, &to, lane, bytes),
                Act::Decided(decided) => self.decided(i, decided.index, decided.entry),
                Act::Answer(request, answer) => self.answered(i, request, answer),
            }
        }
        if self.halts_are_expected {
            return;
        }
        if let Some(why) = self.nodes[i].halted.take() {
            assert!(self.nodes[i].shelf.disk().power_lost(), "seed {}: m{i} halted: {why}", self.seed);
            self.kill(i);
        }
    }

    fn send(&mut self, from: usize, to: &Name, lane: Lane, bytes: Vec<u8>) {
        let Some(to) = self.peers.iter().position(|p| p.name == *to) else { return };
        self.bytes += bytes.len() as u64;
        self.trace =
            self.trace.wrapping_mul(31).wrapping_add(bytes.len() as u64 ^ (to as u64) << 8 ^ self.now as u64);
        let copies = if self.rng.random_ratio(self.twice, 100) { 2 } else { 1 };
        for _ in 0..copies {
            if self.cut.contains(&(from, to)) || self.rng.random_ratio(self.loss, 100) {
                continue;
            }
            let mut at = self.now + self.rng.random_range(MS..=self.delay);
            let agreement = lane == Lane::Agreement;
            if !self.overtake {
                let last = self.ways.entry((from, to, agreement)).or_default();
                at = at.max(*last);
                *last = at;
            }
            self.push(at, Event::Packet { to, from, agreement, bytes: bytes.clone() });
        }
    }

    fn decided(&mut self, i: usize, index: u64, entry: Entry) {
        self.trace = self.trace.wrapping_mul(31).wrapping_add(index ^ entry.request.number);
        let at = index as usize - 1;
        match self.history.get(at) {
            Some(known) => assert_eq!(*known, entry, "seed {}: two contents at {index}, m{i}", self.seed),
            None => {
                assert_eq!(at, self.history.len(), "seed {}: a gap in what is decided", self.seed);
                let again = self.history.iter().any(|e| e.request == entry.request);
                assert!(!again, "seed {}: {:?} delivered twice", self.seed, entry.request);
                // Reading all disks is what costs most of a schedule.
                if index % 4 == 1 {
                    self.on_majority(index, &entry);
                }
                self.history.push(entry);
            }
        }
    }

    /// What is delivered first anywhere stands on the disks of a majority.
    fn on_majority(&self, index: u64, entry: &Entry) {
        let on_disk = |n: &Node, disk: Disk| {
            let Ok(log) = Log::open(disk, self.digest(), n.pid(), self.replicas()) else { return false };
            let s = log.state();
            (s.compacted..s.end()).any(|slot| matches!(s.item(slot), Some(Item::Asked(e)) if e == entry))
        };
        let holds = |n: &&Node| {
            let now = n.shelf.disk().after_loss(1);
            n.applied.len() as u64 >= index || n.graves.iter().cloned().chain([now]).any(|d| on_disk(n, d))
        };
        let count = self.nodes.iter().filter(|n| n.peer.keeper).filter(holds).count();
        assert!(count > self.replicas() / 2, "seed {}: entry {index} decided on {count} disks", self.seed);
    }

    pub fn digest(&self) -> u32 {
        let mut h = crc32fast::Hasher::new();
        let names = self.peers.iter().filter(|p| p.keeper).map(|p| p.name.as_str());
        for text in std::iter::once("oduya").chain(names) {
            h.update(&(text.len() as u32).to_le_bytes());
            h.update(text.as_bytes());
        }
        h.finalize()
    }

    fn answered(&mut self, i: usize, request: Request, answer: Answer) {
        let asked = self.asked.contains(&(i, request.clone()));
        assert!(asked, "seed {}: m{i} answers {request:?}, which it was not asked", self.seed);
        if let Answer::Decided(index) = answer {
            let entry = &self.history[index as usize - 1];
            assert_eq!(entry.request, request, "seed {}: answered for another entry", self.seed);
        }
        self.answers.insert(request, answer);
    }

    /// No term has two members in charge, and no time.
    pub fn check_charge(&mut self) {
        let now = self.now;
        let charge = |n: &Node| n.member.as_ref().filter(|_| n.up()).and_then(|m| m.in_charge(n.clock(now)));
        let charges: Vec<_> = self.nodes.iter().filter_map(charge).collect();
        assert!(charges.len() <= 1, "seed {}: two in charge at {now}: {charges:?}", self.seed);
        for c in charges {
            let life = self.terms.entry(c.term).or_insert_with(|| c.life.clone());
            assert_eq!(*life, c.life, "seed {}: two lives in charge in {:?}", self.seed, c.term);
        }
    }

    pub fn in_charge(&self) -> Option<usize> {
        let charged = |n: &Node| n.member.as_ref().is_some_and(|m| m.in_charge(n.clock(self.now)).is_some());
        self.nodes.iter().position(|n| n.up() && charged(n))
    }

    /// All faults end; within the time stated all members hold the same log, all keepers vote and one is in charge.
    pub fn settle_down(&mut self, within: Micros) -> Micros {
        let begin = self.now;
        self.loss = 0;
        self.twice = 0;
        self.delay = 8 * MS;
        self.overtake = false;
        for i in 0..self.nodes.len() {
            self.wake(i);
            self.nodes[i].doom(0);
            if self.nodes[i].member.is_none() {
                self.start(i);
            }
        }
        self.heal();
        while !self.calm() {
            assert!(
                self.now < begin + within,
                "seed {}: not calm after {within} µs: {}",
                self.seed,
                self.tell()
            );
            self.run(self.now + 100 * MS);
        }
        self.now - begin
    }

    pub fn calm(&self) -> bool {
        let same = |n: &Node| n.applied == self.history;
        let votes = |n: &Node| !n.peer.keeper || n.voting();
        self.in_charge().is_some() && self.nodes.iter().all(|n| same(n) && votes(n))
    }

    pub fn tell(&self) -> String {
        let one = |n: &Node| {
            let m = n.member.as_ref();
            format!(
                "{} {:?} {} ",
                n.peer.name,
                m.map(|m| (m.standing().clone(), m.counts(), m.majority(n.clock(self.now)))),
                n.applied.len()
            )
        };
        let all: Vec<String> = self.nodes.iter().map(one).collect();
        format!("history {} in charge {:?} {}", self.history.len(), self.in_charge(), all.join("; "))
    }
}

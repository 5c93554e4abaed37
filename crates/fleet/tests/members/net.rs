//! Members on a virtual clock, with a network between them that a test scripts. Everything follows from one seed.
#![allow(dead_code)] // each test file uses its part

use heronroute_fleet::members::{Change, Members, Output, Tuning};
use heronroute_fleet::{Life, Micros, Name, Peer, Standing, Start};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

pub const MS: Micros = 1000;
pub const S: Micros = 1_000_000;

pub struct Proc {
    pub place: usize,
    pub members: Members,
    pub running: bool,
    /// What lies in its sockets while it is paused.
    buffered: Option<Vec<(usize, Vec<u8>)>>,
    wake: Micros,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize),
    Message { from: usize, to: usize, octets: Vec<u8> },
}

pub struct Net {
    pub now: Micros,
    pub procs: Vec<Proc>,
    pub peers: Vec<Peer>,
    pub tuning: Tuning,
    /// Messages lost, of 1000.
    pub loss: u32,
    /// How long a message takes.
    pub latency: std::ops::Range<Micros>,
    /// Ways that carry nothing, from and to, by place.
    pub cut: BTreeSet<(usize, usize)>,
    /// What was told: when, by which process, what.
    pub log: Vec<(Micros, usize, Change)>,
    pub trace: u64,
    pub octets: u64,
    /// Of two processes with one name, messages reach the one that spoke last, not both.
    pub latest: bool,
    spoke: Vec<usize>,
    /// Processes by place.
    at: Vec<Vec<usize>>,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
}

pub fn name(place: usize) -> Name {
    Name::new(&format!("m{place}")).unwrap()
}

pub fn peers(count: usize) -> Vec<Peer> {
    let peer =
        |i| Peer { name: name(i), zone: "z".into(), address: ([127, 0, 0, 1], 7000).into(), keeper: i < 3 };
    (0..count).map(peer).collect()
}

impl Net {
    /// All of them start within 200 ms.
    pub fn new(count: usize, seed: u64) -> Net {
        Net::cut_from_the_start(count, seed, &[])
    }

    pub fn cut_from_the_start(count: usize, seed: u64, cut: &[(usize, usize)]) -> Net {
        let mut net = Net {
            now: S,
            procs: Vec::new(),
            peers: peers(count),
            tuning: Tuning::for_size(count),
            loss: 0,
            latency: 200..2000,
            cut: cut.iter().copied().collect(),
            log: Vec::new(),
            trace: 0xcbf2_9ce4_8422_2325,
            octets: 0,
            latest: false,
            spoke: (0..count).collect(),
            at: vec![Vec::new(); count],
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            sequence: 0,
        };
        for place in 0..count {
            net.now += net.rng.random_range(0..200 * MS / count as Micros);
            net.start(place, 1);
        }
        net
    }

    /// The same, some seconds later: everybody knows everybody, and nothing is on its way.
    pub fn settled(count: usize, seed: u64) -> Net {
        let mut net = Net::new(count, seed);
        net.run(6 * S);
        for proc in &net.procs {
            assert!(proc.members.awake());
            assert_eq!(net.count(proc, Standing::Alive), count - 1, "m{}", proc.place);
        }
        net.log.clear();
        net.octets = 0;
        net
    }

    pub fn count(&self, proc: &Proc, standing: Standing) -> usize {
        let rows = proc.members.rows().iter().enumerate();
        rows.filter(|(i, row)| *i != proc.place && row.standing == standing).count()
    }

    pub fn start(&mut self, place: usize, start: u64) -> usize {
        let life = Life { name: name(place), start: Start(start) };
        let members =
            Members::new(self.now, life, &self.peers, self.rng.random(), self.tuning.clone()).unwrap();
        let id = self.procs.len();
        self.at[place].push(id);
        self.procs.push(Proc { place, members, running: true, buffered: None, wake: Micros::MAX });
        for peer in (0..self.peers.len()).filter(|p| *p != place) {
            self.procs[id].members.link(self.now, peer, true);
        }
        self.after(id);
        id
    }

    pub fn kill(&mut self, id: usize) {
        self.procs[id].running = false;
    }

    pub fn pause(&mut self, id: usize) {
        self.procs[id].buffered = Some(Vec::new());
    }

    pub fn wake(&mut self, id: usize) {
        let now = self.now;
        self.procs[id].members.tick(now);
        for (from, octets) in self.procs[id].buffered.take().into_iter().flatten() {
            self.procs[id].members.receive(now, from, &octets);
        }
        self.after(id);
    }

    /// Nothing goes between the two sides.
    pub fn split(&mut self, side: impl Fn(usize) -> bool) {
        let all = 0..self.peers.len();
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
        self.cut = pairs.filter(|(a, b)| side(*a) != side(*b)).collect();
    }

    /// Calls a process by something else than the net; takes what comes of it.
    pub fn with(&mut self, id: usize, act: impl FnOnce(&mut Members, Micros)) {
        act(&mut self.procs[id].members, self.now);
        self.after(id);
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn mark(&mut self, octets: &[u8]) {
        for octet in octets {
            self.trace = (self.trace ^ u64::from(*octet)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn after(&mut self, id: usize) {
        while let Some(output) = self.procs[id].members.next_output() {
            match output {
                Output::Send(to, octets) => {
                    let from = self.procs[id].place;
                    self.spoke[from] = id;
                    self.octets += octets.len() as u64;
                    self.mark(&self.now.to_le_bytes());
                    self.mark(&octets);
                    if self.rng.random_range(0..1000) >= self.loss && !self.cut.contains(&(from, to)) {
                        let at = self.now + self.rng.random_range(self.latency.clone());
                        self.push(at, Event::Message { from, to, octets });
                    }
                }
                Output::Change(change) => {
                    self.mark(format!("{id} {change:?}").as_bytes());
                    self.log.push((self.now, id, change));
                }
            }
        }
        let wake = self.procs[id].members.wake();
        if wake != self.procs[id].wake {
            self.procs[id].wake = wake;
            self.push(wake, Event::Wake(id));
        }
    }

    pub fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            match event {
                Event::Wake(id) => {
                    let proc = &mut self.procs[id];
                    if proc.running && proc.buffered.is_none() && proc.wake == at {
                        proc.wake = Micros::MAX;
                        proc.members.tick(at);
                        self.after(id);
                    }
                }
                Event::Message { from, to, octets } => {
                    for id in self.at[to].clone() {
                        let proc = &mut self.procs[id];
                        if !proc.running || (self.latest && self.spoke[to] != id) {
                            continue;
                        }
                        if let Some(buffered) = &mut proc.buffered {
                            buffered.push((from, octets.clone()));
                            continue;
                        }
                        proc.members.receive(at, from, &octets);
                        self.after(id);
                    }
                }
            }
        }
        self.now = until;
    }

    /// Runs until all that run hold so of a place, or for so long at most; the time it took.
    pub fn until(&mut self, most: Micros, holds: impl Fn(&Net, &Proc) -> bool) -> Option<Micros> {
        let start = self.now;
        while self.now < start + most {
            let awake = |p: &&Proc| p.running && p.buffered.is_none();
            if self.procs.iter().filter(awake).all(|p| holds(self, p)) {
                return Some(self.now - start);
            }
            self.run(50 * MS);
        }
        None
    }

    /// When each process that runs held a place for dead, after a time.
    pub fn deaths(&self, place: usize, after: Micros) -> Vec<Micros> {
        let dead = |change: &Change| matches!(change, Change::Standing { peer, standing: Standing::Dead, .. } if *peer == place);
        let ids = (0..self.procs.len()).filter(|id| self.procs[*id].running);
        let first = ids.map(|id| self.log.iter().find(|(at, who, c)| *who == id && *at >= after && dead(c)));
        first.map(|found| found.map_or(Micros::MAX, |(at, ..)| at - after)).collect()
    }

    /// How often a standing was told.
    pub fn told(&self, standing: Standing) -> usize {
        let is = |c: &Change| matches!(c, Change::Standing { standing: s, .. } if *s == standing);
        self.log.iter().filter(|(_, _, c)| is(c)).count()
    }

    /// Members that were suspected, or held for dead, by anyone: each such stretch counts once, not once for each that
    /// heard of it.
    pub fn episodes(&self, standing: Standing) -> usize {
        let mut last = vec![Micros::MIN / 2; self.peers.len()];
        let mut count = 0;
        for (at, _, change) in &self.log {
            if let Change::Standing { peer, standing: s, .. } = change
                && *s == standing
            {
                count += usize::from(*at - last[*peer] > 2 * S);
                last[*peer] = *at;
            }
        }
        count
    }

    pub fn twins(&self, id: usize) -> Vec<u64> {
        let twin = |c: &Change| if let Change::SharedName(life) = c { Some(life.start.0) } else { None };
        self.log.iter().filter(|(_, who, _)| *who == id).filter_map(|(_, _, c)| twin(c)).collect()
    }
}

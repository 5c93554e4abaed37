//! Members over a transport, on a clock that the clause turns.

use super::Transport;
use super::net::Net;
use super::speaker::Speaker;
use heronroute_fleet::key::Key;
use heronroute_fleet::link::{Conn, Output, Reason, Settings};
use heronroute_fleet::{Kind, Life, Micros, Name, Peer, Start};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The key of the suite's installation.
pub const KEY: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
/// Its id.
pub const INSTALLATION: &str = "oduya";
/// A second of the clock.
pub const SECOND: Micros = 1_000_000;
/// Octets on their way that a way takes at most, as a socket's buffers do.
const ROOM: u64 = 128 * 1024;
/// How long octets may need on loopback, in steps of 100 µs, before the clause is called broken.
const PATIENCE: u32 = 50_000;

/// What a member starts from: the `n`th of `count`.
pub fn settings(n: usize, count: usize) -> Settings {
    let name = |n: usize| Name::new(&format!("m{n:03}")).expect("a name");
    let peer = |n: usize| Peer {
        name: name(n),
        zone: "z".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + n as u16)),
        keeper: true,
    };
    Settings {
        installation: INSTALLATION.into(),
        me: Life { name: name(n), start: Start(1) },
        peers: (0..count).map(peer).collect(),
        key: Key::read(KEY).expect("a key"),
        seed: n as u64,
    }
}

/// One way between two members: from, to.
pub type Way = (usize, usize);
/// Alters octets on their way.
type Tap = Box<dyn FnMut(Way, &mut Vec<u8>)>;
/// A member's place that is none: a stranger's end.
const STRANGER: usize = usize::MAX;

struct Wire {
    pipe: usize,
    ends: [(usize, Conn); 2],
    /// Octets put in at each end that have not come out, and whether that way is held.
    under_way: [u64; 2],
    held: [bool; 2],
}

/// Members, the pipes between them, and the clock.
pub struct World {
    pub now: Micros,
    pub members: Vec<Box<dyn Speaker>>,
    /// What each heard: from whom, of which kind, what.
    pub heard: Vec<Vec<(usize, Kind, Vec<u8>)>>,
    /// Links of each as they came and went: peer, since when, stands.
    pub links: Vec<Vec<(usize, Micros, bool)>>,
    /// Members that neither read nor write nor hear the time.
    pub paused: BTreeSet<usize>,
    /// Octets on their way may be altered.
    pub tap: Option<Tap>,
    /// All that came over each way, from the first octet.
    pub record: BTreeMap<Way, Vec<u8>>,
    net: Box<dyn Net>,
    wires: BTreeMap<usize, Wire>,
}

impl World {
    /// Members that have had half a second to link.
    pub fn new(transport: &dyn Transport, settings: Vec<Settings>) -> Result<Self, String> {
        let count = settings.len();
        let mut world = World {
            now: 0,
            members: settings.into_iter().map(|s| transport.member(s)).collect(),
            heard: vec![Vec::new(); count],
            links: vec![Vec::new(); count],
            paused: BTreeSet::new(),
            tap: None,
            record: BTreeMap::new(),
            net: transport.net(),
            wires: BTreeMap::new(),
        };
        world.pass(SECOND / 2)?;
        Ok(world)
    }

    /// So many members of one installation, all linked.
    pub fn linked(transport: &dyn Transport, count: usize) -> Result<Self, String> {
        let world = World::new(transport, (0..count).map(|n| settings(n, count)).collect())?;
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        let missing = pairs.into_iter().find(|(a, b)| a != b && !world.stands(*a, *b));
        missing.map_or(Ok(world), |pair| Err(format!("{pair:?} are not linked within half a second")))
    }

    /// Whether a member was told that its link to a peer stands.
    pub fn stands(&self, at: usize, peer: usize) -> bool {
        self.links[at].iter().rev().find(|l| l.0 == peer).is_some_and(|l| l.2)
    }

    pub fn send(&mut self, (from, to): Way, kind: Kind, payload: &[u8]) {
        self.members[from].send(self.now, to, kind, payload.to_vec());
    }

    /// What one heard from another, of one kind.
    pub fn said(&self, (from, at): Way, kind: Kind) -> Vec<Vec<u8>> {
        let mine = self.heard[at].iter().filter(|m| m.0 == from && m.1 == kind);
        mine.map(|m| m.2.clone()).collect()
    }

    /// Connections of a member that ended for this.
    pub fn ended(&self, n: usize, why: Reason) -> u64 {
        self.members[n].stats().ended.get(&why).copied().unwrap_or(0)
    }

    /// Puts octets into the stream between two members, as anybody on the path may.
    pub fn inject(&mut self, (from, to): Way, octets: &[u8]) -> Result<(), String> {
        let find = |w: &Wire| (0..2).find(|e| w.ends[*e].0 == from && w.ends[1 - e].0 == to);
        let at = self.wires.iter().find_map(|(i, w)| Some((*i, find(w)?)));
        let (wire, end) = at.ok_or(format!("no wire from {from} to {to}"))?;
        self.put(wire, end, octets);
        self.pump()
    }

    /// A stranger connects to a member and says this.
    pub fn stranger(&mut self, n: usize, octets: &[u8]) -> Result<(), String> {
        let conn = self.members[n].accepted(self.now);
        let wire = self.lay([(STRANGER, 0), (n, conn)]);
        self.put(wire, 0, octets);
        self.pump()
    }

    /// From now on nothing passes one way between two members, and their connections stand.
    pub fn hold(&mut self, (from, to): Way) {
        for wire in self.wires.values_mut() {
            for end in 0..2 {
                if wire.ends[end].0 == from && wire.ends[1 - end].0 == to {
                    wire.held[end] = true;
                    self.net.hold(wire.pipe, end);
                }
            }
        }
    }

    fn lay(&mut self, ends: [(usize, Conn); 2]) -> usize {
        let pipe = self.net.open();
        self.wires.insert(pipe, Wire { pipe, ends, under_way: [0; 2], held: [false; 2] });
        pipe
    }

    fn put(&mut self, wire: usize, end: usize, octets: &[u8]) -> usize {
        let Some(wire) = self.wires.get_mut(&wire) else { return 0 };
        let room = ROOM.saturating_sub(wire.under_way[end]) as usize;
        let octets = &octets[..octets.len().min(room)];
        let n = if octets.is_empty() { 0 } else { self.net.put(wire.pipe, end, octets) };
        wire.under_way[end] += n as u64;
        n
    }

    fn obey(&mut self, n: usize) -> bool {
        let now = self.now;
        let outputs = self.members[n].outputs();
        let any = !outputs.is_empty();
        for output in outputs {
            match output {
                Output::Connect { conn, address } => {
                    let to = usize::from(address.port() - 7_000);
                    let other = self.members[to].accepted(now);
                    self.lay([(n, conn), (to, other)]);
                    self.members[n].connected(now, conn);
                }
                Output::Drop(conn) => {
                    let gone = self.wires.iter().find(|(_, w)| w.ends.contains(&(n, conn))).map(|(i, _)| *i);
                    for (member, conn) in gone.and_then(|i| self.wires.remove(&i)).iter().flat_map(|w| w.ends)
                    {
                        if member != n && member != STRANGER {
                            self.members[member].closed(now, conn);
                        }
                    }
                }
                Output::Linked { peer, .. } => self.links[n].push((peer, now, true)),
                Output::Unlinked { peer, .. } => self.links[n].push((peer, now, false)),
                Output::Message { peer, kind, payload } => self.heard[n].push((peer, kind, payload)),
                Output::Write(_) | Output::Outlived(_) | Output::OtherVersion { .. } => {}
            }
        }
        any
    }

    /// One way of one wire, as far as it goes now.
    fn carry(&mut self, id: usize, end: usize) -> bool {
        let Some(wire) = self.wires.get(&id) else { return false };
        let (pipe, (from, conn), (to, other)) = (wire.pipe, wire.ends[end], wire.ends[1 - end]);
        let mut any = false;
        if from != STRANGER && !self.paused.contains(&from) {
            let octets = self.members[from].pending(conn).to_vec();
            let n = self.put(id, end, &octets);
            self.members[from].wrote(self.now, conn, n);
            any |= n > 0;
        }
        if !self.paused.contains(&to) {
            let mut octets = self.net.take(pipe, 1 - end);
            if !octets.is_empty() {
                any = true;
                if let Some(wire) = self.wires.get_mut(&id) {
                    wire.under_way[end] -= octets.len() as u64;
                }
                self.record.entry((from, to)).or_default().extend_from_slice(&octets);
                if let Some(tap) = &mut self.tap {
                    tap((from, to), &mut octets);
                }
                if to != STRANGER && !octets.is_empty() {
                    self.members[to].received(self.now, other, &octets);
                }
            }
        }
        any
    }

    /// Octets that are still to come out by themselves.
    fn under_way(&self) -> bool {
        let ways = self.wires.values().flat_map(|w| (0..2).map(move |end| (w, end)));
        let free = |(w, end): &(&Wire, usize)| !w.held[*end] && !self.paused.contains(&w.ends[1 - end].0);
        self.net.late() && ways.into_iter().filter(free).any(|(w, end)| w.under_way[end] > 0)
    }

    /// Until nothing moves any more.
    pub fn pump(&mut self) -> Result<(), String> {
        let mut idle = 0;
        loop {
            let mut any = false;
            for id in self.wires.keys().copied().collect::<Vec<_>>() {
                any |= self.carry(id, 0) | self.carry(id, 1);
                (0..self.members.len()).for_each(|n| any |= self.obey(n));
            }
            (0..self.members.len()).for_each(|n| any |= self.obey(n));
            if any {
                idle = 0;
            } else if !self.under_way() {
                return Ok(());
            } else if idle > PATIENCE {
                return Err("octets that were taken do not come out".into());
            } else {
                idle += 1;
                std::thread::sleep(Duration::from_micros(100));
            }
        }
    }

    /// Lets time pass, from one of the members' timers to the next.
    pub fn pass(&mut self, span: Micros) -> Result<(), String> {
        let until = self.now + span;
        self.pump()?;
        while self.now < until {
            let awake: Vec<usize> = (0..self.members.len()).filter(|n| !self.paused.contains(n)).collect();
            let next = awake.iter().filter_map(|n| self.members[*n].wake()).min();
            self.now = next.map_or(until, |at| at.clamp(self.now + 1, until));
            awake.into_iter().for_each(|n| self.members[n].tick(self.now));
            self.pump()?;
        }
        Ok(())
    }
}

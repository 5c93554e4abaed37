//! One process: its folder, its clock, its nodes.

use super::engine::Engine;
use heronroute_fleet::start::raise;
use heronroute_fleet::{Life, Name, Peer, Start, members, replicas};
use heronroute_installation::config::Regions;
use heronroute_installation::seam::{Input, Member, Output};
use heronroute_installation::{Client, Config, Installation, RolloutSettings, Timing};
use heronroute_journal::Storage;
use heronroute_journal::disk::Disk;
use heronroute_region::Region;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// A disk that the world can reach while a member uses it.
#[derive(Clone, Default)]
pub struct Shelf(pub Arc<Mutex<Disk>>);

impl Shelf {
    pub fn disk(&self) -> Disk {
        self.0.lock().unwrap().clone()
    }
    pub fn of(disk: Disk) -> Self {
        Shelf(Arc::new(Mutex::new(disk)))
    }
}

impl Storage for Shelf {
    fn list(&self) -> io::Result<Vec<String>> {
        self.0.lock().unwrap().list()
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0.lock().unwrap().read(name)
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.0.lock().unwrap().create(name)
    }
    fn append(&mut self, name: &str, octets: &[u8]) -> io::Result<()> {
        self.0.lock().unwrap().append(name, octets)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.0.lock().unwrap().truncate(name, length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.0.lock().unwrap().sync(name)
    }
    fn sync_names(&mut self) -> io::Result<()> {
        self.0.lock().unwrap().sync_names()
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.lock().unwrap().rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.lock().unwrap().remove(name)
    }
}

/// What a folder becomes at a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Folder {
    Kept,
    /// As it was when [`Node::save`] was called last.
    Old,
    Empty,
}

pub struct Node {
    pub peer: Peer,
    pub disk: Shelf,
    pub saved: Disk,
    pub member: Option<Installation<Shelf>>,
    pub life: Life,
    pub paused: bool,
    pub engine: Engine,
    pub clients: BTreeMap<String, Client>,
    /// Its clock: rate in thousandths, and where it began; and what its time of day is off by.
    pub rate: i64,
    pub offset: i64,
    pub skew: i64,
    pub starts: u64,
    /// When this life began.
    pub started: i64,
    /// What came while it was paused.
    pub waiting: Vec<Input>,
    pub wake: i64,
    pub last_live: i64,
    /// When it last woke from a pause.
    pub resumed: i64,
    raised: bool,
    /// What its nodes took on and have not said yet.
    pub waiting_took: Vec<heronroute_region::seam::TakeoverStored>,
    /// Members stand in two regions.
    pub regions: bool,
    /// The detector acts soon.
    pub hasty: bool,
    /// The log is cut behind every few entries: who missed more learns the state as a whole.
    pub short: bool,
    pub rollout: RolloutSettings,
}

fn region(at: usize) -> Region {
    Region(Name::new(["north", "south"][at % 2]).unwrap())
}

/// The time of day at the world's start.
const DAY: i64 = 1_800_000_000_000_000;

impl Node {
    pub fn new(
        peer: Peer,
        clients: BTreeMap<String, Client>,
        rate: i64,
        offset: i64,
        senders: usize,
    ) -> Self {
        let life = Life { name: peer.name.clone(), start: Start(0) };
        Node {
            peer,
            disk: Shelf::default(),
            saved: Disk::default(),
            member: None,
            life,
            paused: false,
            engine: Engine::new(senders),
            clients,
            rate,
            offset,
            skew: 0,
            starts: 0,
            started: 0,
            waiting: Vec::new(),
            wake: i64::MAX,
            last_live: 0,
            resumed: i64::MIN / 2,
            raised: false,
            waiting_took: Vec::new(),
            regions: false,
            hasty: false,
            short: false,
            rollout: RolloutSettings::default(),
        }
    }

    pub fn clock(&self, now: i64) -> i64 {
        self.offset + now * self.rate / 1000
    }

    pub fn world(&self, clock: i64) -> i64 {
        ((clock - self.offset) * 1000 + self.rate - 1) / self.rate
    }

    pub fn wall(&self, now: i64) -> i64 {
        DAY + now + self.skew
    }

    pub fn up(&self) -> bool {
        self.member.is_some() && !self.paused
    }

    pub fn start(&mut self, now: i64, peers: &[Peer], seed: u64, above: Option<Start>) {
        self.starts += 1;
        self.started = now;
        self.raised = above.is_some();
        let wall = self.wall(now);
        let raised = raise(&mut self.disk, wall, above.unwrap_or_default()).unwrap();
        self.life.start = raised.start;
        let seed = seed ^ self.starts << 40 ^ self.offset as u64;
        let mut nonce = [0; 32];
        nonce[..8].copy_from_slice(&seed.to_le_bytes());
        let mut detector = heronroute_drift::Config::new(self.life.name.clone(), nonce);
        if self.hasty {
            (detector.rollout_for, detector.confirm_for) = (3_000_000, 1_000_000);
        }
        let mut replicas = replicas::Tuning::default();
        if self.short {
            (replicas.compact, replicas.keep) = (2_048, 2);
        }
        let cfg = Config {
            installation: "oduya".into(),
            own: self.life.clone(),
            raised: self.raised,
            peers: peers.to_vec(),
            clients: self.clients.clone(),
            senders: (0..self.engine.tables.len()).collect(),
            seed,
            replicas,
            members: members::Tuning::for_size(peers.len()),
            detector,
            timing: Timing::default(),
            rollout: self.rollout,
            regions: self.regions.then(|| Regions {
                of: peers.iter().enumerate().map(|(at, peer)| (peer.name.clone(), region(at))).collect(),
                rights: Default::default(),
            }),
        };
        let storage = self.peer.keeper.then(|| self.disk.clone());
        let member = Installation::new(self.clock(now), self.wall(now), cfg, storage);
        self.member = Some(member.unwrap_or_else(|e| panic!("{} can't start: {e}", self.life.name)));
        (self.paused, self.wake) = (false, now);
        self.waiting.clear();
    }

    pub fn clone_tables(&self) -> Vec<BTreeMap<String, heronroute_rules::RuleSet>> {
        self.engine.tables.clone()
    }

    pub fn save(&mut self) {
        self.saved = self.disk.disk().after_loss(0);
    }

    pub fn kill(&mut self, folder: Folder, seed: u64) {
        self.member = None;
        self.paused = false;
        self.wake = i64::MAX;
        self.waiting.clear();
        self.waiting_took.clear();
        self.engine.fences.clear();
        let found = match folder {
            Folder::Kept => self.disk.disk().after_loss(seed),
            Folder::Old => self.saved.clone(),
            Folder::Empty => Disk::default(),
        };
        self.disk = Shelf::of(found);
    }

    pub fn handle(&mut self, now: i64, input: Input) -> Vec<Output> {
        let (clock, wall) = (self.clock(now), self.wall(now));
        let mut out = Vec::new();
        if let Some(member) = &mut self.member {
            member.handle(clock, wall, input, &mut out);
        }
        out
    }
}

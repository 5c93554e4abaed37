//! A member in the scripted world: its disk, its clock, and what it has applied.

use heronroute_fleet::replicas::{Answer, Lane, Output, Participation, Replicas, StartError, Tuning};
use heronroute_fleet::{Decided, Entry, Life, Micros, Name, Peer, Request, Start};
use heronroute_journal::Storage;
use heronroute_journal::disk::{Disk, Faults};
use std::io;
use std::sync::{Arc, Mutex};

/// A disk that the world can reach while a member uses it.
#[derive(Clone, Default)]
pub struct Shelf {
    pub disk: Arc<Mutex<Disk>>,
    /// Which files these are, as a file system numbers them: a copy has another number.
    pub number: u64,
}

impl Shelf {
    pub fn of(disk: Disk, number: u64) -> Self {
        Shelf { disk: Arc::new(Mutex::new(disk)), number }
    }

    pub fn disk(&self) -> Disk {
        self.disk.lock().unwrap().clone()
    }
}

impl Storage for Shelf {
    fn list(&self) -> io::Result<Vec<String>> {
        self.disk.lock().unwrap().list()
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.disk.lock().unwrap().read(name)
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.disk.lock().unwrap().create(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.disk.lock().unwrap().append(name, bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.disk.lock().unwrap().truncate(name, length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.disk.lock().unwrap().sync(name)
    }
    fn sync_names(&mut self) -> io::Result<()> {
        self.disk.lock().unwrap().sync_names()
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.disk.lock().unwrap().rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.disk.lock().unwrap().remove(name)
    }
    fn identity(&self, _: &str) -> Option<u64> {
        Some(self.number)
    }
}

/// What a member does that the world has to know.
pub enum Act {
    Send(Name, Lane, Vec<u8>),
    Decided(Decided),
    Answer(Request, Answer),
}

pub struct Node {
    pub peer: Peer,
    pub shelf: Shelf,
    pub start: u64,
    pub starts: u64,
    pub member: Option<Replicas<Shelf>>,
    pub applied: Vec<Entry>,
    /// Its clock: rate in thousandths, and where it began.
    pub rate: Micros,
    pub offset: Micros,
    pub paused: bool,
    pub next_number: u64,
    pub halted: Option<String>,
    /// Its disk was lost or put back, and it has not voted since.
    pub lost: bool,
    /// Disks that it had before.
    pub graves: Vec<Disk>,
    pub last_seed: u64,
}

impl Node {
    pub fn new(peer: Peer, rate: Micros, offset: Micros) -> Self {
        Node {
            peer,
            shelf: Shelf::default(),
            start: 0,
            starts: 0,
            member: None,
            applied: Vec::new(),
            rate,
            offset,
            paused: false,
            next_number: 0,
            halted: None,
            lost: false,
            graves: Vec::new(),
            last_seed: 0,
        }
    }

    pub fn clock(&self, now: Micros) -> Micros {
        self.offset + now * self.rate / 1000
    }

    pub fn life(&self) -> Life {
        Life { name: self.peer.name.clone(), start: Start(self.start) }
    }

    pub fn start(
        &mut self,
        now: Micros,
        peers: &[Peer],
        seed: u64,
        tuning: Tuning,
    ) -> Result<(), StartError> {
        self.start += 1;
        self.starts += 1;
        self.applied.clear();
        self.halted = None;
        self.next_number = 0;
        let storage = self.peer.keeper.then(|| self.shelf.clone());
        let seed = seed ^ self.starts << 32 ^ self.offset as u64;
        self.last_seed = seed;
        let clock = self.clock(now);
        self.member = Some(Replicas::new(clock, self.life(), "oduya", peers, storage, seed, tuning)?);
        Ok(())
    }

    /// Power is lost: what was not synced is kept, torn or lost.
    pub fn kill(&mut self, seed: u64) {
        self.member = None;
        self.paused = false;
        let found = self.shelf.disk().after_loss(seed);
        self.shelf = Shelf::of(found, self.shelf.number);
    }

    /// Power is to be lost this many disk steps from now.
    pub fn doom(&mut self, steps: u64) {
        let mut disk = self.shelf.disk.lock().unwrap();
        let power = disk.steps + steps;
        disk.faults = Faults { power, ..disk.faults };
    }

    pub fn up(&self) -> bool {
        self.member.is_some() && !self.paused
    }

    pub fn voting(&self) -> bool {
        self.member.as_ref().is_some_and(|m| *m.standing() == Participation::Voting)
    }

    /// Flushes and takes all outputs, applying what is decided.
    pub fn settle(&mut self, now: Micros) -> Vec<Act> {
        let clock = self.clock(now);
        let Some(member) = &mut self.member else { return Vec::new() };
        let mut acts = Vec::new();
        member.flush(clock);
        while let Some(output) = member.poll() {
            match output {
                Output::Send { to, lane, bytes } => acts.push(Act::Send(to, lane, bytes)),
                Output::Decided(decided) => {
                    assert_eq!(decided.index, self.applied.len() as u64 + 1, "a gap at {}", self.peer.name);
                    self.applied.push(decided.entry.clone());
                    acts.push(Act::Decided(decided));
                }
                Output::Restore { index, machine } => {
                    self.applied =
                        if index > 0 { postcard::from_bytes(&machine).unwrap() } else { Vec::new() };
                    assert_eq!(self.applied.len() as u64, index);
                }
                Output::WantSnapshot { index } => {
                    let machine = postcard::to_stdvec(&self.applied).unwrap();
                    assert_eq!(self.applied.len() as u64, index);
                    member.snapshot(index, machine);
                    member.flush(clock);
                }
                Output::Answer { request, answer } => acts.push(Act::Answer(request, answer)),
                Output::Participation(Participation::Halted(why)) => self.halted = Some(why),
                Output::Participation(standing) => self.lost &= standing != Participation::Voting,
            }
        }
        acts
    }
}

impl Node {
    /// Its number among keepers, as names in order give it.
    pub fn pid(&self) -> u8 {
        self.peer.name.as_str().trim_start_matches('m').parse::<u8>().unwrap() + 1
    }
}

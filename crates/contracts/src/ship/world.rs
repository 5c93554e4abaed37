//! Both sides, their disks, and what lies between.

use super::{Shelf, Shipping};
use crate::ensure;
use crate::ledger::real::On;
use crate::suite::done;
use heronroute_fleet::{Life, Name, Start};
use heronroute_journal::disk::Disk;
use heronroute_journal::entry::{Accepted, Answer, Intent, Named, Outcome, Place, Session, Taken, What};
use heronroute_journal::{Entry, Journal, JournalState, Limits};
use heronroute_ship::wire::{self, FromOrigin, FromPartner, Message};
use heronroute_ship::{
    Cursors, JournalCopy, JournalReplicator, Notice, Origin, ReplicationLimits, ReplicationSource,
    ReplicationTarget, serve,
};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// The implementation.
pub struct Real;

impl Shipping for Real {
    fn shipper(
        &self,
        origin: Origin,
        bounds: ReplicationLimits,
        journal: &Journal<On>,
        promised: u64,
    ) -> Box<dyn ReplicationSource> {
        Box::new(JournalReplicator::new(origin, bounds, journal, promised))
    }
    fn receiver(
        &self,
        shelf: Shelf,
        limits: Limits,
        window: usize,
    ) -> Result<Box<dyn ReplicationTarget>, String> {
        let copy = JournalCopy::open(On(shelf), name(), 0, limits, window);
        Ok(Box::new(copy.map_err(|e| e.to_string())?))
    }
}

fn name() -> Name {
    Name::new("a").expect("a name")
}

/// Snapshots and new segments are often due.
pub const SMALL: Limits = Limits { segment: 900, growth: 2, least: 4_000, most: 1 << 20 };
/// No snapshot is due.
pub const LONG: Limits = Limits { segment: 1 << 20, growth: 4, least: 1 << 20, most: 1 << 20 };
/// Small, so that they are met.
pub const BOUNDS: ReplicationLimits = ReplicationLimits {
    window: 4 << 10,
    octets: 16 << 10,
    entries: 200,
    read: 1 << 10,
    lag_entries: 100,
    lag: 1_000,
    retry: 10_000,
};
const WINDOW: usize = 2 << 10;

/// Entries as a sender writes them; the same for a seed.
pub fn workload(seed: u64, count: usize) -> Vec<Entry> {
    let mut random = crate::random::SeededRandom::new(seed);
    let mut list: Vec<Entry> = Vec::new();
    let mut next = 0;
    while list.len() < count {
        let id = 1 + random.below(next as usize + 1) as u64;
        let what = match random.below(9) {
            0..3 => {
                next += 1;
                let named =
                    (random.below(3) == 0).then_some(Named { high: next, low: seed, id: next, until: 90 });
                let body = random.octets(20);
                What::Accepted(Accepted { id: next, body, taken: next as i64, named, ..Accepted::default() })
            }
            3 => What::Intent(Intent { id, endpoint: format!("e{}", random.below(3)), at: 5 }),
            4 => What::Outcome(Outcome { id, never_ran: random.below(2) == 0 }),
            5 => What::Answer(Answer { id, word: "DELIVRD".into(), retry_after: -1, at: 9 }),
            6 | 7 => What::Taken(Taken { id }),
            _ if random.below(2) == 0 => What::Place(Place {
                endpoint: format!("e{}", random.below(3)),
                wait_until: 3,
                ..Place::default()
            }),
            _ => What::Session(Session {
                client: "c".into(),
                began: 1,
                expiry: random.below(2) as i64,
                ..Session::default()
            }),
        };
        list.push(what.into());
    }
    list
}

/// The book that entries add up to.
pub fn state(entries: &[Entry]) -> JournalState {
    let mut state = JournalState::default();
    entries.iter().for_each(|e| state.apply(e));
    state
}

/// Whether two books are the same, but for the number above all others: that is known of open messages alone.
pub fn same(a: &JournalState, b: &JournalState) -> bool {
    let plain = |state: &JournalState| {
        let mut state = state.clone();
        state.next_id = 0;
        state
    };
    plain(a) == plain(b)
}

/// Both sides. Each is gone while its machine is down.
pub struct World<'a> {
    subject: &'a dyn Shipping,
    /// The time.
    pub now: i64,
    /// Each message takes so long.
    pub delay: i64,
    /// Figures of the next shipper, and of both journals.
    pub bounds: ReplicationLimits,
    pub limits: Limits,
    pub copy_limits: Limits,
    /// The life that writes.
    pub start: u64,
    /// All that was written and is durable at the origin.
    pub written: Vec<Entry>,
    pub origin: Shelf,
    pub copy: Shelf,
    pub journal: Option<Journal<On>>,
    pub shipper: Option<Box<dyn ReplicationSource>>,
    pub receiver: Option<Box<dyn ReplicationTarget>>,
    cursors: Cursors,
    pub up: VecDeque<(i64, Vec<u8>)>,
    pub down: VecDeque<(i64, Vec<u8>)>,
    /// What was delivered, latest last, a few.
    pub past: VecDeque<(bool, Vec<u8>)>,
    connected: bool,
    /// What the operators were told, and the most that was ever said to be durable.
    pub told: Vec<Notice>,
    pub told_there: Vec<Notice>,
    pub promised: u64,
}

impl<'a> World<'a> {
    /// Nothing is written, nobody is up.
    pub fn new(subject: &'a dyn Shipping) -> Self {
        let shelf = || Rc::new(RefCell::new(Disk::default()));
        World {
            subject,
            now: 0,
            delay: 10,
            bounds: BOUNDS,
            limits: LONG,
            copy_limits: LONG,
            start: 1,
            written: Vec::new(),
            origin: shelf(),
            copy: shelf(),
            journal: None,
            shipper: None,
            receiver: None,
            cursors: Cursors::default(),
            up: VecDeque::new(),
            down: VecDeque::new(),
            past: VecDeque::new(),
            connected: false,
            told: Vec::new(),
            told_there: Vec::new(),
            promised: 0,
        }
    }

    /// Both are up, and linked.
    pub fn both(subject: &'a dyn Shipping) -> Result<Self, String> {
        let mut w = World::new(subject);
        w.origin_up()?;
        w.copy_up()?;
        w.link();
        Ok(w)
    }

    /// A life of the origin begins.
    pub fn origin_up(&mut self) -> Result<(), String> {
        let journal = done("open", Journal::open_chained(On(Rc::clone(&self.origin) as _), self.limits))?;
        let origin = Origin { life: Life { name: name(), start: Start(self.start) }, sender: 0 };
        self.shipper = Some(self.subject.shipper(origin, self.bounds, &journal, 0));
        self.cursors = Cursors::default();
        self.journal = Some(journal);
        Ok(())
    }

    /// The partner comes up.
    pub fn copy_up(&mut self) -> Result<(), String> {
        let receiver = self.subject.receiver(Rc::clone(&self.copy), self.copy_limits, WINDOW)?;
        self.receiver = Some(receiver);
        Ok(())
    }

    /// The origin goes down, its disk as a loss of power leaves it; the next life is another.
    pub fn origin_down(&mut self, seed: u64) {
        self.cut(true);
        (self.shipper, self.journal) = (None, None);
        self.start += 1;
        let found = self.origin.borrow().after_loss(seed);
        self.origin = Rc::new(RefCell::new(found));
    }

    /// The partner does.
    pub fn copy_down(&mut self, seed: u64) {
        self.cut(true);
        self.receiver = None;
        let found = self.copy.borrow().after_loss(seed);
        self.copy = Rc::new(RefCell::new(found));
    }

    /// Writes entries in one commit; false where the origin can't.
    pub fn write(&mut self, entries: &[Entry]) -> bool {
        let Some(journal) = &mut self.journal else { return false };
        let first = journal.durable();
        if journal.commit(entries).is_err() {
            return false;
        }
        self.written.extend_from_slice(entries);
        if let Some(s) = &mut self.shipper {
            s.entries_written(self.now, first, entries);
        }
        true
    }

    /// A connection stands.
    pub fn link(&mut self) {
        self.connected = true;
        if let Some(s) = &mut self.shipper {
            s.connected(self.now, true);
        }
    }

    /// It is cut; what is on its way is lost, or comes late.
    pub fn cut(&mut self, lost: bool) {
        self.connected = false;
        if let Some(s) = &mut self.shipper {
            s.connected(self.now, false);
        }
        if lost {
            self.up.clear();
            self.down.clear();
        }
    }

    /// Reads for the shipper what it wants, and takes what both send.
    pub fn turn(&mut self) {
        if let (Some(s), Some(j)) = (&mut self.shipper, &self.journal) {
            while let Some(want) = s.pending_read() {
                match serve(j, &mut self.cursors, want) {
                    Ok(given) => s.read_finished(self.now, given),
                    Err(_) => break,
                }
                if s.held() > 1 << 20 {
                    break;
                }
            }
            while let Some(octets) = s.poll(self.now).filter(|_| self.connected) {
                self.up.push_back((self.now + self.delay, octets));
            }
            self.promised = self.promised.max(s.durable(self.now).0);
            while let Some(n) = s.notice() {
                self.told.push(n);
            }
        }
        if let Some(r) = &mut self.receiver {
            while let Some(octets) = r.poll(self.now) {
                if self.connected {
                    self.down.push_back((self.now + self.delay, octets));
                }
            }
            while let Some(n) = r.notice() {
                self.told_there.push(n);
            }
        }
    }

    /// Time goes on to what comes next, and that is delivered. False where nothing is on its way.
    pub fn step(&mut self) -> bool {
        self.turn();
        let Some(at) = self.up.front().into_iter().chain(self.down.front()).map(|(at, _)| *at).min() else {
            return false;
        };
        self.now = self.now.max(at);
        // All that is there is heard before anything is said, as from a socket.
        while let Some((_, octets)) = self.up.pop_front_if(|(at, _)| *at <= self.now) {
            if let Some(r) = &mut self.receiver {
                r.handle_message(self.now, &octets);
            }
            self.past.push_back((true, octets));
        }
        while let Some((_, octets)) = self.down.pop_front_if(|(at, _)| *at <= self.now) {
            if let Some(s) = &mut self.shipper {
                s.handle_message(self.now, &octets);
            }
            self.past.push_back((false, octets));
        }
        while self.past.len() > 64 {
            self.past.pop_front();
        }
        self.turn();
        true
    }

    /// Runs until nothing is on its way; an error where that never ends.
    pub fn settle(&mut self) -> Result<(), String> {
        for _ in 0..3_000 {
            if !self.step() {
                return Ok(());
            }
        }
        Err("it never comes to rest".into())
    }

    /// The same, with what is tried again after a while.
    pub fn settle_well(&mut self) -> Result<(), String> {
        self.settle()?;
        for _ in 0..4 {
            self.now += self.bounds.retry.max(1_000_000);
            self.settle()?;
        }
        Ok(())
    }

    /// How far the shipper says the copy is durable, and whether it stands.
    pub fn durable(&self) -> (u64, bool) {
        self.shipper.as_ref().map_or((0, false), |s| s.durable(self.now))
    }

    /// How far the copy goes.
    pub fn copied(&self) -> u64 {
        self.receiver.as_ref().and_then(|r| r.state()).map_or(0, |(_, next)| next)
    }

    /// The copy is the origin's book at its number, and no less than what was said to be durable.
    pub fn sound(&self) -> Result<(), String> {
        let Some((found, next)) = self.receiver.as_ref().and_then(|r| r.state()) else { return Ok(()) };
        ensure!(next as usize <= self.written.len(), "the copy has {next} of {} entries", self.written.len());
        let right = state(&self.written[..next as usize]);
        ensure!(same(found, &right), "at {next} the copy's book is not the origin's");
        ensure!(self.durable().0 <= next, "{} are called durable, {next} are there", self.durable().0);
        Ok(())
    }

    /// The copy has all, and that is known.
    pub fn complete(&self) -> Result<(), String> {
        self.sound()?;
        let all = self.written.len() as u64;
        ensure!(self.copied() == all, "the copy has {} of {all}; told {:?}", self.copied(), self.told);
        ensure!(self.durable() == (all, true), "{:?} of {all} are called durable", self.durable());
        Ok(())
    }
}

/// What a message says, where it is one of the origin's.
pub fn up(octets: &[u8]) -> Option<Message<FromOrigin>> {
    wire::read(octets)
}

/// Where it is one of the partner's.
pub fn down(octets: &[u8]) -> Option<Message<FromPartner>> {
    wire::read(octets)
}

//! One member of the model: its clock, its disk, its process.

use crate::world::Plant;
use heronroute_fleet::lease::{Grants, Lease};
use heronroute_fleet::{Life, Name, Start, Term, replicas};
use heronroute_region::agreed::Agreed;
use heronroute_region::duties::Duties;
use heronroute_region::homes::Partners;
use heronroute_region::rights::{Deaths, Giver, Holder, Tuning};
use std::collections::{BTreeMap, BTreeSet};

/// What outlives a process.
#[derive(Default)]
pub struct Disk {
    pub start: u64,
    /// Entries of its journal.
    pub written: u64,
    /// Of others' journals, by life how far.
    pub copies: BTreeMap<Name, BTreeMap<Start, u64>>,
    /// What it took on: between these places.
    pub took: BTreeMap<Life, (u64, u64)>,
    /// A keeper's promise.
    pub promise: Term,
}

pub struct Process {
    pub life: Life,
    pub holder: Holder,
    pub giver: Giver,
    pub deaths: Deaths,
    pub agreed: Agreed,
    pub partners: Partners,
    pub duties: Option<Duties>,
    /// Entries read; the term begun last and by whom.
    pub read: usize,
    pub begun: Term,
    pub leader: Option<usize>,
    pub settled: bool,
    pub grants: Grants,
    pub lease: Lease,
    pub term: Term,
    /// When somebody else was last granted, or it last tried, on its clock.
    pub heard: i64,
    /// Where its journal stood when it began.
    pub from: u64,
    /// What it took on and is its own by the log.
    pub mine: BTreeSet<Life>,
    /// Taken up, not said to be taken on yet: when it will be.
    pub taking: BTreeMap<Life, i64>,
    pub said: bool,
    /// The fence that it knows: a life of its name was taken over, and how far.
    pub fence: Option<Option<u64>>,
    /// When it had a right first.
    pub righted: bool,
}

pub struct Member {
    pub name: Name,
    pub region: usize,
    pub keeper: bool,
    pub rate: i64,
    pub offset: i64,
    /// What its time of day is off by.
    pub skew: i64,
    pub disk: Disk,
    pub up: Option<Box<Process>>,
    pub paused: bool,
    /// Counts starts, for what is on its way to a process that is gone.
    pub epoch: u64,
    pub downed: i64,
    pub list: usize,
}

impl Member {
    pub fn clock(&self, now: i64) -> i64 {
        self.offset + now * self.rate / 1000
    }

    pub fn lives(&self) -> bool {
        self.up.is_some() && !self.paused
    }

    pub fn start(&mut self, now: i64, tuning: Tuning, giver: Tuning, lease: &replicas::Tuning, plant: Plant) {
        self.disk.start += 1;
        self.epoch += 1;
        self.paused = false;
        let clock = self.clock(now);
        let life = Life { name: self.name.clone(), start: Start(self.disk.start) };
        let mut holder = Holder::new(clock, life.clone(), tuning);
        if plant == Plant::AsksBeforeItKnows {
            holder.knows();
        }
        self.up = Some(Box::new(Process {
            life,
            holder,
            giver: Giver::new(giver),
            deaths: Deaths::default(),
            agreed: Agreed::default(),
            partners: Partners::default(),
            duties: None,
            read: 0,
            begun: Term(0),
            leader: None,
            settled: false,
            grants: Grants::new(clock, lease),
            lease: Lease::default(),
            term: Term(0),
            heard: clock,
            from: self.disk.written,
            mine: BTreeSet::new(),
            taking: BTreeMap::new(),
            said: false,
            fence: None,
            righted: false,
        }));
    }
}

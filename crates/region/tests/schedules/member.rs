//! A simulated member: its clock, disk and process.

use crate::world::Plant;
use heronroute_fleet::lease::{Grants, Lease};
use heronroute_fleet::{Life, Name, Start, Term, replicas};
use heronroute_region::agreed::RegionLogState;
use heronroute_region::duties::Duties;
use heronroute_region::homes::Partners;
use heronroute_region::rights::{DeadMembers, LeaseGranter, LeaseHolder, Tuning};
use std::collections::{BTreeMap, BTreeSet};

/// What outlives a process.
#[derive(Default)]
pub struct Disk {
    pub start: u64,
    /// The number of entries in its journal.
    pub written: u64,
    /// How much it has of others' journals, by life.
    pub copies: BTreeMap<Name, BTreeMap<Start, u64>>,
    /// What it took over: the entries between these positions.
    pub took: BTreeMap<Life, (u64, u64)>,
    /// The highest term that it promised as a keeper.
    pub promise: Term,
}

pub struct Process {
    pub life: Life,
    pub holder: LeaseHolder,
    pub giver: LeaseGranter,
    pub deaths: DeadMembers,
    pub agreed: RegionLogState,
    pub partners: Partners,
    pub duties: Option<Duties>,
    /// The number of entries read, then the last term begun and its leader.
    pub read: usize,
    pub begun: Term,
    pub leader: Option<usize>,
    pub settled: bool,
    pub grants: Grants,
    pub lease: Lease,
    pub term: Term,
    /// When another member was last granted the lease, or this one last tried to get it, on its clock.
    pub last_contact: i64,
    /// The end of its journal when the life started.
    pub from: u64,
    /// The lives it took over, confirmed by the log.
    pub mine: BTreeSet<Life>,
    /// Takeovers in progress that are not yet reported complete, and when they will be.
    pub taking: BTreeMap<Life, i64>,
    pub said: bool,
    /// The known fence: whether a life of its name was taken over, and up to which position.
    pub fence: Option<Option<u64>>,
    /// Whether it has had a lease.
    pub lease_granted: bool,
}

pub struct Member {
    pub name: Name,
    pub region: usize,
    pub keeper: bool,
    pub rate: i64,
    pub offset: i64,
    /// The error of its time of day.
    pub skew: i64,
    pub disk: Disk,
    pub up: Option<Box<Process>>,
    pub paused: bool,
    /// The number of starts; identifies messages for a process that has ended.
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
        let mut holder = LeaseHolder::new(clock, life.clone(), tuning);
        if plant == Plant::RequestsBeforeReadingOwnEntry {
            holder.own_entry_read();
        }
        self.up = Some(Box::new(Process {
            life,
            holder,
            giver: LeaseGranter::new(giver),
            deaths: DeadMembers::default(),
            agreed: RegionLogState::default(),
            partners: Partners::default(),
            duties: None,
            read: 0,
            begun: Term(0),
            leader: None,
            settled: false,
            grants: Grants::new(clock, lease),
            lease: Lease::default(),
            term: Term(0),
            last_contact: clock,
            from: self.disk.written,
            mine: BTreeSet::new(),
            taking: BTreeMap::new(),
            said: false,
            fence: None,
            lease_granted: false,
        }));
    }
}

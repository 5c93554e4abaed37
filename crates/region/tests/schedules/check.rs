//! The invariants that the simulation checks.

use crate::world::World;
use heronroute_fleet::{Life, Name};
use heronroute_region::agreed::Effect;
use heronroute_region::duties::Duty;
use heronroute_region::homes::client_key;
use std::collections::BTreeMap;

const S: i64 = 1_000_000;
/// The time limit for moving a duty of a dead member to another one, and for two members doing the same
/// duty.
pub const DUTY_HANDOVER_LIMIT: i64 = 10 * S;
/// The time limit for the takeover of a dead life, with a majority and a live partner.
pub const TAKEOVER_LIMIT: i64 = 12 * S;

/// Counts of what happened in schedules.
#[derive(Debug, Default)]
pub struct Sum {
    pub runs: u64,
    pub steps: u64,
    pub rights: u64,
    /// Valid takeovers, and how many of them were reassigned from dead partners.
    pub takeover: u64,
    pub again: u64,
    pub done: u64,
    /// Lives that found themselves taken over when they returned.
    pub returned: u64,
    /// Entries made void by earlier entries in the log.
    pub void: u64,
    pub record_action: u64,
    /// The longest times: from a death to its takeover and to the move of its duties, and of two members
    /// doing the same duty.
    pub latest: i64,
    pub handed: i64,
    pub both: i64,
}

impl Sum {
    pub fn add(&mut self, one: &Sum) {
        self.runs += one.runs;
        self.steps += one.steps;
        self.rights += one.rights;
        self.takeover += one.takeover;
        self.again += one.again;
        self.done += one.done;
        self.returned += one.returned;
        self.void += one.void;
        self.record_action += one.record_action;
        self.latest = self.latest.max(one.latest);
        self.handed = self.handed.max(one.handed);
        self.both = self.both.max(one.both);
    }
}

/// What was observed.
#[derive(Default)]
pub struct Observations {
    pub sum: Sum,
    pub failed: Option<String>,
    /// The last life that acted on an entry of a member's journal.
    acted: BTreeMap<(Name, u64), Life>,
    lists: BTreeMap<u64, Vec<heronroute_region::Place>>,
    /// By key, since when two members do the duty.
    both: BTreeMap<usize, i64>,
}

impl Observations {
    pub fn fail(&mut self, now: i64, what: String) {
        self.failed.get_or_insert(format!("at {:.3} s: {what}", now as f64 / 1e6));
    }
}

pub fn key(n: usize) -> u64 {
    client_key(&format!("client {n}"))
}

impl World {
    /// Checks a decided entry: no life of a name that is taken over holds a lease.
    pub fn check_decided(&mut self, effect: &Effect) {
        match effect {
            Effect::TakeOver { of, before, .. } => {
                self.observations.sum.takeover += 1;
                self.observations.sum.again += u64::from(before.is_some());
                let member = &self.members[self.place(&of.name)];
                let clock = self.holder_clock(self.place(&of.name));
                let right = member.up.as_ref().and_then(|p| Some((p.life.clone(), p.holder.right(clock)?)));
                if let Some((life, right)) = right {
                    let left = right.until - clock;
                    self.observations.fail(
                        self.now,
                        format!("{of:?} is taken over, and {life:?} has a lease for {left} us"),
                    );
                }
            }
            Effect::TakenOver { .. } => self.observations.sum.done += 1,
            Effect::Nothing => self.observations.sum.void += 1,
            Effect::List | Effect::Copies { .. } => {}
        }
    }

    /// Checks a member that was just granted a lease.
    pub fn lease_granted(&mut self, at: usize) {
        let Some(process) = self.members[at].up.as_ref() else { return };
        self.observations.sum.rights += 1;
        let life = &process.life;
        if process.holder.right(self.holder_clock(at)).is_none() {
            return;
        }
        if self.reference.is_over(life) {
            let what = format!("{life:?} was taken over and has a lease");
            self.observations.fail(self.now, what);
        }
        let start =
            |takeover: Option<&heronroute_region::agreed::Takeover>| takeover.map(|takeover| takeover.start);
        if start(process.agreed.takeover(&life.name)) != start(self.reference.takeover(&life.name)) {
            let what = format!("{life:?} has a lease and does not know that one before it was taken over");
            self.observations.fail(self.now, what);
        }
        let list = process.agreed.list();
        let known = self.observations.lists.entry(list.number).or_insert_with(|| list.places.clone());
        if *known != list.places {
            let what = format!("two lists of number {}", list.number);
            self.observations.fail(self.now, what);
        }
    }

    /// Checks an action on a journal entry: it is done by the owner of the journal, or by the member that
    /// took the entry over; from then on neither the owner nor any other member acts on it.
    pub fn record_action(&mut self, by: &Life, of: &Name, entry: u64) {
        self.observations.sum.record_action += 1;
        let first = self.observations.acted.entry((of.clone(), entry)).or_insert_with(|| by.clone());
        if first.name == *of {
            *first = by.clone();
        } else if first.name != by.name {
            let what = format!("entry {entry} of {of} is acted on by {first:?} and {by:?}");
            self.observations.fail(self.now, what);
        }
    }

    /// Returns the members that do a duty now.
    pub fn members_doing(&self, n: usize) -> impl Iterator<Item = usize> + '_ {
        let does = move |at: &usize| {
            let member = &self.members[*at];
            let Some(process) = member.up.as_ref().filter(|_| !member.paused) else { return false };
            let clock = self.holder_clock(*at);
            let right = process.holder.right(clock);
            let duties = process.duties.as_ref();
            if self.plant == crate::world::Plant::DutiesByBelievedLiveness {
                let believed = |d: &heronroute_region::duties::Duties| {
                    let dead =
                        d.assignee(Duty::Probing, key(n)).is_none_or(|who| self.believes_dead(*at, who));
                    d.is_own(clock, right, Duty::Probing, key(n)) || dead && self.next_in(n, *at)
                };
                return duties.is_some_and(believed);
            }
            duties.is_some_and(|duties| duties.is_own(clock, right, Duty::Probing, key(n)))
        };
        (0..self.members.len()).filter(does)
    }

    /// Checks that no two members do the same duty for long.
    pub fn check_duties(&mut self) {
        for n in 0..crate::world::KEYS {
            if self.members_doing(n).count() < 2 {
                self.observations.both.remove(&n);
                continue;
            }
            let since = *self.observations.both.entry(n).or_insert(self.now);
            self.observations.sum.both = self.observations.sum.both.max(self.now - since);
            if self.now - since > DUTY_HANDOVER_LIMIT {
                let who: Vec<usize> = self.members_doing(n).collect();
                self.observations.fail(self.now, format!("{who:?} do duty {n} since {since}"));
            }
        }
    }
}

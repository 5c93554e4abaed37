//! What must hold.

use crate::world::World;
use heronroute_fleet::{Life, Name};
use heronroute_region::agreed::Effect;
use heronroute_region::duties::Duty;
use heronroute_region::homes::client_key;
use std::collections::BTreeMap;

const S: i64 = 1_000_000;
/// A duty of a dead member is another's, and two do one no longer, within this.
pub const HANDED: i64 = 10 * S;
/// With a majority and a living partner a dead life is taken over within this.
pub const TAKEN: i64 = 12 * S;

/// What schedules came to.
#[derive(Debug, Default)]
pub struct Sum {
    pub runs: u64,
    pub steps: u64,
    pub rights: u64,
    /// Take-overs that count, and of those what dead partners had to do.
    pub taken: u64,
    pub again: u64,
    pub done: u64,
    /// Lives that found themselves taken over when they came back.
    pub returned: u64,
    /// Entries that others before them in the log made void.
    pub void: u64,
    pub acts: u64,
    /// Longest, from a death on and of two at one duty.
    pub latest: i64,
    pub handed: i64,
    pub both: i64,
}

impl Sum {
    pub fn add(&mut self, one: &Sum) {
        self.runs += one.runs;
        self.steps += one.steps;
        self.rights += one.rights;
        self.taken += one.taken;
        self.again += one.again;
        self.done += one.done;
        self.returned += one.returned;
        self.void += one.void;
        self.acts += one.acts;
        self.latest = self.latest.max(one.latest);
        self.handed = self.handed.max(one.handed);
        self.both = self.both.max(one.both);
    }
}

/// What was seen.
#[derive(Default)]
pub struct Book {
    pub sum: Sum,
    pub failed: Option<String>,
    /// Who acted last on an entry of a name's journal.
    acted: BTreeMap<(Name, u64), Life>,
    lists: BTreeMap<u64, Vec<heronroute_region::Place>>,
    /// By key since when two do it.
    both: BTreeMap<usize, i64>,
}

impl Book {
    pub fn fail(&mut self, now: i64, what: String) {
        self.failed.get_or_insert(format!("at {:.3} s: {what}", now as f64 / 1e6));
    }
}

pub fn key(n: usize) -> u64 {
    client_key(&format!("client {n}"))
}

impl World {
    /// An entry was decided. No life of a name that is taken over holds a right.
    pub fn decided(&mut self, effect: &Effect) {
        match effect {
            Effect::TakeOver { of, before, .. } => {
                self.book.sum.taken += 1;
                self.book.sum.again += u64::from(before.is_some());
                let member = &self.members[self.place(&of.name)];
                let clock = self.counts(self.place(&of.name));
                let right = member.up.as_ref().and_then(|p| Some((p.life.clone(), p.holder.right(clock)?)));
                if let Some((life, right)) = right {
                    let left = right.until - clock;
                    self.book.fail(
                        self.now,
                        format!("{of:?} is taken over, and {life:?} has a right for {left} us"),
                    );
                }
            }
            Effect::TakenOver { .. } => self.book.sum.done += 1,
            Effect::Nothing => self.book.sum.void += 1,
            Effect::List | Effect::Copies { .. } => {}
        }
    }

    /// A member has a right, newly given.
    pub fn righted(&mut self, at: usize) {
        let Some(process) = self.members[at].up.as_ref() else { return };
        self.book.sum.rights += 1;
        let life = &process.life;
        if process.holder.right(self.counts(at)).is_none() {
            return;
        }
        if self.truth.is_over(life) {
            let what = format!("{life:?} was taken over and has a right");
            self.book.fail(self.now, what);
        }
        let start = |taken: Option<&heronroute_region::agreed::Takeover>| taken.map(|taken| taken.start);
        if start(process.agreed.taken(&life.name)) != start(self.truth.taken(&life.name)) {
            let what = format!("{life:?} has a right and does not know that one before it was taken over");
            self.book.fail(self.now, what);
        }
        let list = process.agreed.list();
        let known = self.book.lists.entry(list.number).or_insert_with(|| list.places.clone());
        if *known != list.places {
            let what = format!("two lists of number {}", list.number);
            self.book.fail(self.now, what);
        }
    }

    /// Somebody acts on an entry of a journal: its own, or one that it took on from its owner; then that does no more, and nobody
    /// else ever does.
    pub fn acts(&mut self, by: &Life, of: &Name, entry: u64) {
        self.book.sum.acts += 1;
        let first = self.book.acted.entry((of.clone(), entry)).or_insert_with(|| by.clone());
        if first.name == *of {
            *first = by.clone();
        } else if first.name != by.name {
            let what = format!("entry {entry} of {of} is acted on by {first:?} and {by:?}");
            self.book.fail(self.now, what);
        }
    }

    /// Who does each of some duties now.
    pub fn doers(&self, n: usize) -> impl Iterator<Item = usize> + '_ {
        let does = move |at: &usize| {
            let member = &self.members[*at];
            let Some(process) = member.up.as_ref().filter(|_| !member.paused) else { return false };
            let clock = self.counts(*at);
            let right = process.holder.right(clock);
            let duties = process.duties.as_ref();
            if self.plant == crate::world::Plant::DutiesByBelief {
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

    /// Two do no duty for long.
    pub fn shifts(&mut self) {
        for n in 0..crate::world::KEYS {
            if self.doers(n).count() < 2 {
                self.book.both.remove(&n);
                continue;
            }
            let since = *self.book.both.entry(n).or_insert(self.now);
            self.book.sum.both = self.book.sum.both.max(self.now - since);
            if self.now - since > HANDED {
                let who: Vec<usize> = self.doers(n).collect();
                self.book.fail(self.now, format!("{who:?} do duty {n} since {since}"));
            }
        }
    }
}

//! How the log gets on at a member: what is learnt, folded, told on and asked for.

use super::asks::Answer;
use super::check::CONFIGURATION;
use super::fold::Known;
use super::item::Item;
use super::learn::Learnt;
use super::member::{Base, Keepers};
use super::record::Record;
use super::seat::{Offer, Seat};
use super::wire::Told;
use super::{Output, Standing};
use crate::Micros;
use crate::entry::{Entry, MAX_BODY_BYTES};
use crate::name::Name;
use heronroute_journal::Storage;
use omnipaxos::ballot_leader_election::Ballot;

impl<S: Storage> Keepers<S> {
    /// Whether the log is asked of others: where it comes from them alone, and at a keeper that agreement passes by.
    pub(super) fn pulls(&self) -> bool {
        self.learns() || self.seat.as_ref().is_some_and(|seat| seat.adrift(self.now))
    }

    /// Whether the log comes from others by asking: at all that don't agree on it just now, and at a keeper that is out of
    /// its leader's reach.
    pub(super) fn learns(&self) -> bool {
        let lacks = |seat: &Seat<S>| seat.omni.is_none() && !seat.alone() || seat.deaf(self.now);
        // Nothing is put behind a log that is not known to be the others'.
        self.seat.as_ref().is_none_or(|seat| seat.checked && lacks(seat))
    }

    /// The first slot that this member lacks. A keeper out of its leader's reach folds what is decided without touching
    /// what it has promised and taken, which `omnipaxos` holds and would not see change.
    pub(super) fn next_slot(&self) -> u64 {
        self.seat.as_ref().filter(|seat| seat.omni.is_none()).map_or(self.fold.slot, Seat::decided)
    }

    pub(super) fn tell_keeper(&mut self, pid: u8, told: Told) {
        if let Some(name) = self.keepers.get(usize::from(pid).wrapping_sub(1)) {
            self.told.push((name.clone(), told));
        }
    }

    pub(super) fn hear(&mut self, now: Micros, from: &Name, pid: Option<u8>, told: Told) {
        match told {
            Told::Pull { from: slot, part, sent } => {
                if let Some(seat) = self.seat.as_mut().filter(|_| self.watchers.contains_key(from)) {
                    seat.claimed = seat.claimed.max(slot);
                }
                let Some(answer) = self.serve(now, slot, part, sent) else { return };
                let all = matches!(&answer, Told::Items { items, .. } if items.is_empty());
                if let Some(watcher) = self.watchers.get_mut(from) {
                    let until = now.saturating_add(2 * self.tuning.pull);
                    *watcher = all.then_some((slot, until, sent));
                    self.told.push((from.clone(), answer));
                }
            }
            Told::Ask { entry, hops } => self.asked(now, from, entry, hops),
            Told::Refuse { request, busy: true } if pid.is_some() => {
                if self.asks.done(&request) {
                    self.outputs.push_back(Output::Answer { request, answer: Answer::Busy });
                }
            }
            Told::Refuse { request, .. } => {
                let Some(pid) = pid else { return };
                self.learn.refused(now, pid);
                if !self.majority(now) && self.asks.done(&request) {
                    self.outputs.push_back(Output::Answer { request, answer: Answer::NoMajority });
                }
            }
            Told::Items { tip, .. } | Told::Part { tip, .. } => {
                let fits = |b: &Ballot| b.config_id == CONFIGURATION && b.pid <= self.group.count as u64;
                let ballot = tip.ballot.filter(|b| fits(b) && b.n < 1 << 30 && b.priority == 0);
                let (Some(pid), true) = (pid, self.pulls()) else { return };
                let learnt = self.learn.hear(now, pid, self.next_slot(), told);
                self.learnt(now, pid, learnt, ballot);
                if self.learn.due(now)
                    && let Some((pid, pull)) =
                        self.learn.ask(now, self.next_slot(), self.own, self.tuning.pull)
                {
                    self.tell_keeper(pid, pull);
                }
            }
        }
    }

    fn learnt(&mut self, now: Micros, from: u8, learnt: Learnt, ballot: Option<Ballot>) {
        let Some(seat) = self.seat.as_mut().filter(|seat| seat.omni.is_none()) else {
            match learnt {
                Learnt::Items(_, items) => {
                    for item in items {
                        let step = self.fold.apply(&item);
                        self.take_step(step);
                    }
                }
                Learnt::Snapshot(_, octets) => _ = self.restore(&octets),
                Learnt::Nothing | Learnt::All => {}
            }
            return;
        };
        let nobodys = seat.nobodys();
        let all = learnt == Learnt::All;
        let mut log = seat.shared.log();
        let records = match learnt {
            Learnt::Items(slot, items) => log.state().learnt(slot, items, ballot, nobodys),
            Learnt::Snapshot(slot, octets) => {
                // A base that can't be read would stop this keeper at its next start.
                let base = postcard::from_bytes::<Base>(&octets).ok().filter(|b| b.fold.slot == slot);
                let sound = base.is_some();
                let mut records = log.state().follow(ballot);
                if sound && slot >= log.state().end() {
                    records.push(Record::Accepted(nobodys));
                }
                if let Some(base) = base {
                    records.extend([Record::Install(slot, octets), Record::Root(base.head)]);
                }
                records
            }
            Learnt::All | Learnt::Nothing => Vec::new(),
        };
        records.into_iter().for_each(|record| log.write(record));
        // Another that lacks as much has nothing to teach, and would send this one back to be turned away again.
        let decided = log.state().decided;
        seat.catching = seat.catching.filter(|c| decided < c.target && !(all && from == c.teller));
        if let Some(catching) = seat.catching.as_mut().filter(|c| c.teller == from) {
            catching.until = now.saturating_add(4 * self.tuning.pull);
        }
    }

    /// Takes over the state that a snapshot stands for. False where it can't be read or is not newer.
    fn restore(&mut self, octets: &[u8]) -> bool {
        let Ok(base) = postcard::from_bytes::<Base>(octets) else { return false };
        if base.fold.slot <= self.fold.slot {
            return false;
        }
        self.fold = base.fold;
        self.outputs.push_back(Output::Restore { index: self.fold.index, machine: base.machine });
        // Requests that the snapshot covers would hear nothing from the entries that it stands for.
        for request in self.asks.requests() {
            let answer = match self.fold.known(&request) {
                Known::New => continue,
                Known::At(place) => Answer::Decided(place),
                Known::Superseded => Answer::Superseded,
            };
            self.asks.done(&request);
            self.outputs.push_back(Output::Answer { request, answer });
        }
        true
    }

    /// Delivers what is decided and durable.
    pub(super) fn fold_decided(&mut self, now: Micros) {
        let before = self.fold.slot;
        let Some(seat) = &self.seat else { return };
        let shared = seat.shared.clone();
        if self.fold.slot < shared.log().state().compacted {
            let base = std::sync::Arc::clone(&shared.log().state().base);
            if !self.restore(&base) {
                shared.log().fail("the snapshot in the keepers' log can't be read".into());
                return;
            }
        }
        loop {
            let item = {
                let log = shared.log();
                let decided = log.state().decided;
                log.state().item(self.fold.slot).filter(|_| self.fold.slot < decided).cloned()
            };
            let Some(item) = item else { break };
            let step = self.fold.apply(&item);
            self.take_step(step);
        }
        shared.log().fold_to(self.fold.slot);
        if self.fold.slot > before {
            self.tell_watchers(now);
        }
        let grown = {
            let log = shared.log();
            log.state().octets_between(log.state().base_slot, self.fold.slot)
        };
        if grown > self.tuning.compact && !self.wanted && self.fold.slot <= shared.log().state().decided {
            self.wanted = true;
            self.outputs.push_back(Output::WantSnapshot { index: self.fold.index });
        }
    }

    fn tell_watchers(&mut self, now: Micros) {
        let due = |(name, watch): (&Name, &mut Option<(u64, Micros, Micros)>)| {
            let (slot, _, sent) = watch.take().filter(|(_, until, _)| *until >= now)?;
            Some((name.clone(), slot, sent))
        };
        let due: Vec<_> = self.watchers.iter_mut().filter_map(due).collect();
        for (name, slot, sent) in due {
            if let Some(answer) = self.serve(now, slot, None, sent) {
                self.told.push((name, answer));
            }
        }
    }

    fn asked(&mut self, now: Micros, from: &Name, entry: Entry, hops: u8) {
        if entry.body.len() > MAX_BODY_BYTES || !self.watchers.contains_key(from) {
            self.counts.refused += 1;
            return;
        }
        let Some(seat) = &mut self.seat else { return };
        if self.fold.known(&entry.request) != Known::New {
            return;
        }
        let refuse = |busy| Told::Refuse { request: entry.request.clone(), busy };
        if !seat.majority(now) {
            return self.told.push((from.clone(), refuse(false)));
        }
        match seat.offer(Item::Asked(entry.clone())) {
            Offer::Busy => self.told.push((from.clone(), refuse(true))),
            Offer::Leader(pid) if hops < 2 => self.tell_keeper(pid, Told::Ask { entry, hops: hops + 1 }),
            Offer::Taken | Offer::Leader(_) | Offer::Nobody => {}
        }
    }

    /// Sends on what is asked for and not decided.
    pub(super) fn send_due(&mut self, now: Micros) {
        for entry in self.asks.due(now, self.tuning.again) {
            if self.pulls() {
                let window = self.tuning.pull + self.tuning.fresh;
                if let Some(pid) = self.learn.with_majority(now, window) {
                    self.tell_keeper(pid, Told::Ask { entry: entry.clone(), hops: 0 });
                }
            }
            if self.learns() {
                continue;
            }
            let Some(seat) = &mut self.seat else { continue };
            match seat.offer(Item::Asked(entry.clone())) {
                Offer::Busy => {
                    self.asks.done(&entry.request);
                    self.answer_all(vec![entry.request], Answer::Busy);
                }
                Offer::Leader(pid) => self.tell_keeper(pid, Told::Ask { entry, hops: 1 }),
                Offer::Taken | Offer::Nobody => {}
            }
        }
    }

    /// Says so where its standing has changed.
    pub(super) fn stand(&mut self, now: Micros) {
        let Some(seat) = &self.seat else { return };
        let (failed, voting) = {
            let log = seat.shared.log();
            (log.failed().map(str::to_string), log.state().voting)
        };
        let altered = seat.altered;
        let starting = now < seat.born.saturating_add(self.tuning.hear_all);
        let standing = match failed {
            Some(why) => Standing::Halted(why),
            None if voting && (seat.omni.is_some() || seat.leading().is_some()) => Standing::Voting,
            None if voting && seat.catching.is_some() => Standing::CatchingUp,
            None if altered && !voting => Standing::Altered,
            None if voting || starting => Standing::Starting,
            None => Standing::Amnesiac,
        };
        if standing != self.standing {
            self.standing = standing.clone();
            self.outputs.push_back(Output::Standing(standing));
        }
    }
}

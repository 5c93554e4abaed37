//! A member's progress in the log: learning, applying, serving learners and forwarding requests.

use super::asks::Answer;
use super::check::CONFIGURATION;
use super::fold::Known;
use super::item::Item;
use super::learn::Learnt;
use super::member::{Keepers, Snapshot};
use super::record::Record;
use super::replica::{ProposeOutcome, Replica};
use super::wire::Told;
use super::{Output, Standing};
use crate::Micros;
use crate::entry::{Entry, MAX_BODY_BYTES};
use crate::name::Name;
use heronroute_journal::Storage;
use omnipaxos::ballot_leader_election::Ballot;

impl<S: Storage> Keepers<S> {
    /// Returns whether the log is requested from others: by members that get it only that way, and by a
    /// replica that decisions bypass.
    pub(super) fn fetches_log(&self) -> bool {
        self.is_learning() || self.replica.as_ref().is_some_and(|replica| replica.adrift(self.now))
    }

    /// Returns whether the log is received only by requesting it from others: by members that take no part in
    /// consensus at the moment, and by a replica that can't reach its leader.
    pub(super) fn is_learning(&self) -> bool {
        let lacks = |replica: &Replica<S>| {
            replica.omni.is_none() && !replica.is_single() || replica.leader_unreachable(self.now)
        };
        // Nothing is appended to a log that may differ from the others'.
        self.replica.as_ref().is_none_or(|replica| replica.log_verified && lacks(replica))
    }

    /// Returns the first slot that this member lacks. A replica that can't reach its leader applies decisions
    /// without changing its promised and accepted state, which `omnipaxos` holds and wouldn't notice to
    /// change.
    pub(super) fn next_slot(&self) -> u64 {
        self.replica
            .as_ref()
            .filter(|replica| replica.omni.is_none())
            .map_or(self.fold.slot, Replica::decided)
    }

    pub(super) fn send_to_replica(&mut self, pid: u8, message: Told) {
        if let Some(name) = self.keepers.get(usize::from(pid).wrapping_sub(1)) {
            self.log_outbox.push((name.clone(), message));
        }
    }

    pub(super) fn handle_log_message(&mut self, now: Micros, from: &Name, pid: Option<u8>, message: Told) {
        match message {
            Told::Pull { from: slot, part, sent } => {
                if let Some(replica) = self.replica.as_mut().filter(|_| self.watchers.contains_key(from)) {
                    replica.max_requested_slot = replica.max_requested_slot.max(slot);
                }
                let Some(answer) = self.serve(now, slot, part, sent) else { return };
                let all = matches!(&answer, Told::Items { items, .. } if items.is_empty());
                if let Some(watcher) = self.watchers.get_mut(from) {
                    let until = now.saturating_add(2 * self.tuning.pull);
                    *watcher = all.then_some((slot, until, sent));
                    self.log_outbox.push((from.clone(), answer));
                }
            }
            Told::Ask { entry, hops } => self.handle_request(now, from, entry, hops),
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
                let (Some(pid), true) = (pid, self.fetches_log()) else { return };
                let outcome = self.learn.hear(now, pid, self.next_slot(), message);
                self.apply_learnt(now, pid, outcome, ballot);
                if self.learn.due(now)
                    && let Some((pid, pull)) =
                        self.learn.ask(now, self.next_slot(), self.own, self.tuning.pull)
                {
                    self.send_to_replica(pid, pull);
                }
            }
        }
    }

    fn apply_learnt(&mut self, now: Micros, from: u8, outcome: Learnt, ballot: Option<Ballot>) {
        let Some(replica) = self.replica.as_mut().filter(|replica| replica.omni.is_none()) else {
            match outcome {
                Learnt::Items(_, items) => {
                    for item in items {
                        let step = self.fold.apply(&item);
                        self.handle_step(step);
                    }
                }
                Learnt::Snapshot(_, octets) => _ = self.restore(&octets),
                Learnt::Nothing | Learnt::All => {}
            }
            return;
        };
        let unled_ballot = replica.unled_ballot();
        let all = outcome == Learnt::All;
        let mut log = replica.shared.log();
        let records = match outcome {
            Learnt::Items(slot, items) => log.state().learnt(slot, items, ballot, unled_ballot),
            Learnt::Snapshot(slot, octets) => {
                // A snapshot that can't be decoded would prevent this replica's next start.
                let base = postcard::from_bytes::<Snapshot>(&octets).ok().filter(|b| b.fold.slot == slot);
                let sound = base.is_some();
                let mut records = log.state().follow(ballot);
                if sound && slot >= log.state().end() {
                    records.push(Record::Accepted(unled_ballot));
                }
                if let Some(base) = base {
                    records.extend([Record::Install(slot, octets), Record::Root(base.head)]);
                }
                records
            }
            Learnt::All | Learnt::Nothing => Vec::new(),
        };
        records.into_iter().for_each(|record| log.write(record));
        // A source that lacks just as much can't help, and would send this replica back to be refused again.
        let decided = log.state().decided;
        replica.catch_up = replica.catch_up.filter(|c| decided < c.target && !(all && from == c.source));
        if let Some(catch_up) = replica.catch_up.as_mut().filter(|c| c.source == from) {
            catch_up.until = now.saturating_add(4 * self.tuning.pull);
        }
    }

    /// Adopts the state of a snapshot. Returns false if it can't be decoded or isn't newer.
    fn restore(&mut self, octets: &[u8]) -> bool {
        let Ok(base) = postcard::from_bytes::<Snapshot>(octets) else { return false };
        if base.fold.slot <= self.fold.slot {
            return false;
        }
        self.fold = base.fold;
        self.outputs.push_back(Output::Restore { index: self.fold.index, machine: base.machine });
        // Requests that the snapshot covers get no answer from entries, so they are answered here.
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
        let Some(replica) = &self.replica else { return };
        let shared = replica.shared.clone();
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
            self.handle_step(step);
        }
        shared.log().fold_to(self.fold.slot);
        if self.fold.slot > before {
            self.notify_watchers(now);
        }
        let grown = {
            let log = shared.log();
            log.state().bytes_between(log.state().base_slot, self.fold.slot)
        };
        if grown > self.tuning.compact
            && !self.snapshot_requested
            && self.fold.slot <= shared.log().state().decided
        {
            self.snapshot_requested = true;
            self.outputs.push_back(Output::WantSnapshot { index: self.fold.index });
        }
    }

    fn notify_watchers(&mut self, now: Micros) {
        let due = |(name, watch): (&Name, &mut Option<(u64, Micros, Micros)>)| {
            let (slot, _, sent) = watch.take().filter(|(_, until, _)| *until >= now)?;
            Some((name.clone(), slot, sent))
        };
        let due: Vec<_> = self.watchers.iter_mut().filter_map(due).collect();
        for (name, slot, sent) in due {
            if let Some(answer) = self.serve(now, slot, None, sent) {
                self.log_outbox.push((name, answer));
            }
        }
    }

    fn handle_request(&mut self, now: Micros, from: &Name, entry: Entry, hops: u8) {
        if entry.body.len() > MAX_BODY_BYTES || !self.watchers.contains_key(from) {
            self.counts.refused += 1;
            return;
        }
        let Some(replica) = &mut self.replica else { return };
        if self.fold.known(&entry.request) != Known::New {
            return;
        }
        let refuse = |busy| Told::Refuse { request: entry.request.clone(), busy };
        if !replica.majority(now) {
            return self.log_outbox.push((from.clone(), refuse(false)));
        }
        match replica.propose(Item::Asked(entry.clone())) {
            ProposeOutcome::Busy => self.log_outbox.push((from.clone(), refuse(true))),
            ProposeOutcome::Leader(pid) if hops < 2 => {
                self.send_to_replica(pid, Told::Ask { entry, hops: hops + 1 })
            }
            ProposeOutcome::InLog | ProposeOutcome::Leader(_) | ProposeOutcome::NoLeader => {}
        }
    }

    /// Forwards pending requests.
    pub(super) fn forward_requests(&mut self, now: Micros) {
        for entry in self.asks.due(now, self.tuning.again) {
            if self.fetches_log() {
                let window = self.tuning.pull + self.tuning.fresh;
                if let Some(pid) = self.learn.with_majority(now, window) {
                    self.send_to_replica(pid, Told::Ask { entry: entry.clone(), hops: 0 });
                }
            }
            if self.is_learning() {
                continue;
            }
            let Some(replica) = &mut self.replica else { continue };
            match replica.propose(Item::Asked(entry.clone())) {
                ProposeOutcome::Busy => {
                    self.asks.done(&entry.request);
                    self.answer_all(vec![entry.request], Answer::Busy);
                }
                ProposeOutcome::Leader(pid) => self.send_to_replica(pid, Told::Ask { entry, hops: 1 }),
                ProposeOutcome::InLog | ProposeOutcome::NoLeader => {}
            }
        }
    }

    /// Reports a changed participation.
    pub(super) fn update_standing(&mut self, now: Micros) {
        let Some(replica) = &self.replica else { return };
        let (failed, voting) = {
            let log = replica.shared.log();
            (log.failed().map(str::to_string), log.state().voting)
        };
        let log_altered = replica.log_altered;
        let starting = now < replica.started_at.saturating_add(self.tuning.hear_all);
        let standing = match failed {
            Some(why) => Standing::Halted(why),
            None if voting && (replica.omni.is_some() || replica.leading_term().is_some()) => {
                Standing::Voting
            }
            None if voting && replica.catch_up.is_some() => Standing::CatchingUp,
            None if log_altered && !voting => Standing::Altered,
            None if voting || starting => Standing::Starting,
            None => Standing::Amnesiac,
        };
        if standing != self.standing {
            self.standing = standing.clone();
            self.outputs.push_back(Output::Standing(standing));
        }
    }
}

//! A member's progress in the log: learning, applying, serving learners and forwarding requests.

use super::applied_state::Known;
use super::check::CONFIGURATION;
use super::item::Item;
use super::learn::LearnOutcome;
use super::member::{Replicas, Snapshot};
use super::pending_requests::Answer;
use super::record::Record;
use super::replica::{ProposeOutcome, Replica};
use super::wire::LogMessage;
use super::{Output, Participation};
use crate::Micros;
use crate::entry::{Entry, MAX_BODY_BYTES};
use crate::name::Name;
use heronroute_journal::Storage;
use omnipaxos::ballot_leader_election::Ballot;

impl<S: Storage> Replicas<S> {
    /// Returns whether the log is requested from others: by members that get it only that way, and by a
    /// replica that decisions bypass.
    pub(super) fn fetches_log(&self) -> bool {
        self.is_learning() || self.replica.as_ref().is_some_and(|replica| replica.bypassed(self.now))
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
            .map_or(self.applied_state.slot, Replica::decided)
    }

    pub(super) fn send_to_replica(&mut self, pid: u8, message: LogMessage) {
        if let Some(name) = self.replica_names.get(usize::from(pid).wrapping_sub(1)) {
            self.log_outbox.push((name.clone(), message));
        }
    }

    pub(super) fn handle_log_message(
        &mut self,
        now: Micros,
        from: &Name,
        pid: Option<u8>,
        message: LogMessage,
    ) {
        match message {
            LogMessage::Pull { from: slot, part, sent } => {
                if let Some(replica) = self.replica.as_mut().filter(|_| self.watchers.contains_key(from)) {
                    replica.max_requested_slot = replica.max_requested_slot.max(slot);
                }
                let Some(answer) = self.serve(now, slot, part, sent) else { return };
                let all = matches!(&answer, LogMessage::Items { items, .. } if items.is_empty());
                if let Some(watcher) = self.watchers.get_mut(from) {
                    let until = now.saturating_add(2 * self.tuning.pull);
                    *watcher = all.then_some((slot, until, sent));
                    self.log_outbox.push((from.clone(), answer));
                }
            }
            LogMessage::Ask { entry, hops } => self.handle_request(now, from, entry, hops),
            LogMessage::Refuse { request, busy: true } if pid.is_some() => {
                if self.pending_requests.done(&request) {
                    self.outputs.push_back(Output::Answer { request, answer: Answer::Busy });
                }
            }
            LogMessage::Refuse { request, .. } => {
                let Some(pid) = pid else { return };
                self.learn.refused(now, pid);
                if !self.majority(now) && self.pending_requests.done(&request) {
                    self.outputs.push_back(Output::Answer { request, answer: Answer::NoMajority });
                }
            }
            LogMessage::Items { tip, .. } | LogMessage::Part { tip, .. } => {
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

    fn apply_learnt(&mut self, now: Micros, from: u8, outcome: LearnOutcome, ballot: Option<Ballot>) {
        let Some(replica) = self.replica.as_mut().filter(|replica| replica.omni.is_none()) else {
            match outcome {
                LearnOutcome::Items(_, items) => {
                    for item in items {
                        let step = self.applied_state.apply(&item);
                        self.handle_step(step);
                    }
                }
                LearnOutcome::Snapshot(_, bytes) => _ = self.restore(&bytes),
                LearnOutcome::Nothing | LearnOutcome::All => {}
            }
            return;
        };
        let unled_ballot = replica.unled_ballot();
        let all = outcome == LearnOutcome::All;
        let mut log = replica.shared.log();
        let records = match outcome {
            LearnOutcome::Items(slot, items) => log.state().learn_records(slot, items, ballot, unled_ballot),
            LearnOutcome::Snapshot(slot, bytes) => {
                // A snapshot that can't be decoded would prevent this replica's next start.
                let base =
                    postcard::from_bytes::<Snapshot>(&bytes).ok().filter(|b| b.applied_state.slot == slot);
                let readable = base.is_some();
                let mut records = log.state().follow(ballot);
                if readable && slot >= log.state().end() {
                    records.push(Record::Accepted(unled_ballot));
                }
                if let Some(base) = base {
                    records.extend([Record::Install(slot, bytes), Record::Root(base.head)]);
                }
                records
            }
            LearnOutcome::All | LearnOutcome::Nothing => Vec::new(),
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
    fn restore(&mut self, bytes: &[u8]) -> bool {
        let Ok(base) = postcard::from_bytes::<Snapshot>(bytes) else { return false };
        if base.applied_state.slot <= self.applied_state.slot {
            return false;
        }
        self.applied_state = base.applied_state;
        self.outputs.push_back(Output::Restore { index: self.applied_state.index, machine: base.machine });
        // Requests that the snapshot covers get no answer from entries, so they are answered here.
        for request in self.pending_requests.requests() {
            let answer = match self.applied_state.known(&request) {
                Known::New => continue,
                Known::At(place) => Answer::Decided(place),
                Known::Superseded => Answer::Superseded,
            };
            self.pending_requests.done(&request);
            self.outputs.push_back(Output::Answer { request, answer });
        }
        true
    }

    /// Delivers what is decided and durable.
    pub(super) fn fold_decided(&mut self, now: Micros) {
        let before = self.applied_state.slot;
        let Some(replica) = &self.replica else { return };
        let shared = replica.shared.clone();
        if self.applied_state.slot < shared.log().state().compacted {
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
                log.state()
                    .item(self.applied_state.slot)
                    .filter(|_| self.applied_state.slot < decided)
                    .cloned()
            };
            let Some(item) = item else { break };
            let step = self.applied_state.apply(&item);
            self.handle_step(step);
        }
        shared.log().fold_to(self.applied_state.slot);
        if self.applied_state.slot > before {
            self.notify_watchers(now);
        }
        let grown = {
            let log = shared.log();
            log.state().bytes_between(log.state().base_slot, self.applied_state.slot)
        };
        if grown > self.tuning.compact
            && !self.snapshot_requested
            && self.applied_state.slot <= shared.log().state().decided
        {
            self.snapshot_requested = true;
            self.outputs.push_back(Output::WantSnapshot { index: self.applied_state.index });
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
        if self.applied_state.known(&entry.request) != Known::New {
            return;
        }
        let refuse = |busy| LogMessage::Refuse { request: entry.request.clone(), busy };
        if !replica.majority(now) {
            return self.log_outbox.push((from.clone(), refuse(false)));
        }
        match replica.propose(Item::Asked(entry.clone())) {
            ProposeOutcome::Busy => self.log_outbox.push((from.clone(), refuse(true))),
            ProposeOutcome::Leader(pid) if hops < 2 => {
                self.send_to_replica(pid, LogMessage::Ask { entry, hops: hops + 1 })
            }
            ProposeOutcome::InLog | ProposeOutcome::Leader(_) | ProposeOutcome::NoLeader => {}
        }
    }

    /// Forwards pending requests.
    pub(super) fn forward_requests(&mut self, now: Micros) {
        for entry in self.pending_requests.due(now, self.tuning.again) {
            if self.fetches_log() {
                let window = self.tuning.pull + self.tuning.fresh;
                if let Some(pid) = self.learn.with_majority(now, window) {
                    self.send_to_replica(pid, LogMessage::Ask { entry: entry.clone(), hops: 0 });
                }
            }
            if self.is_learning() {
                continue;
            }
            let Some(replica) = &mut self.replica else { continue };
            match replica.propose(Item::Asked(entry.clone())) {
                ProposeOutcome::Busy => {
                    self.pending_requests.done(&entry.request);
                    self.answer_all(vec![entry.request], Answer::Busy);
                }
                ProposeOutcome::Leader(pid) => self.send_to_replica(pid, LogMessage::Ask { entry, hops: 1 }),
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
        let starting = now < replica.started_at.saturating_add(self.tuning.startup_wait);
        let standing = match failed {
            Some(why) => Participation::Halted(why),
            None if voting && (replica.omni.is_some() || replica.leading_term().is_some()) => {
                Participation::Voting
            }
            None if voting && replica.catch_up.is_some() => Participation::CatchingUp,
            None if log_altered && !voting => Participation::Altered,
            None if voting || starting => Participation::Starting,
            None => Participation::Amnesiac,
        };
        if standing != self.standing {
            self.standing = standing.clone();
            self.outputs.push_back(Output::Participation(standing));
        }
    }
}

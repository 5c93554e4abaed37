//! A member's part in the replicated log: with or without a replica, it holds the decided log, makes
//! requests, and answers others.

use super::applied_state::{AppliedState, ApplyOutcome, Known};
use super::chain::Chain;
use super::learn::{self, Learn};
use super::log::Log;
use super::pending_requests::{Answer, PendingRequests};
use super::replica::Replica;
use super::store::SharedLog;
use super::tuning::{MAX_SNAPSHOT_BYTES, Tuning};
use super::wire::{Lane, LogMessage, pack, unpack};
use super::{Counts, Group, Output, Participation, StartError, pending_requests, record};
use crate::Micros;
use crate::entry::{Entry, MAX_BODY_BYTES, Request};
use crate::name::{Life, Name, Peer};
use heronroute_journal::Storage;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

#[derive(Serialize, Deserialize)]
pub(super) struct Snapshot {
    pub(super) applied_state: AppliedState,
    pub(super) machine: Vec<u8>,
    /// The hash chain's head up to there.
    pub(super) head: Chain,
}

/// This member's part in the replicated log. `S` stores the promises of its replica; members without a
/// replica have no storage.
pub struct Replicas<S: Storage> {
    pub(super) life: Life,
    pub(super) nonce: u64,
    pub(super) tuning: Tuning,
    pub(super) group: Group,
    /// The names of the replicas, by number.
    pub(super) replica_names: Vec<Name>,
    pub(super) own: Option<u8>,
    pub(super) replica: Option<Replica<S>>,
    pub(super) applied_state: AppliedState,
    pub(super) learn: Learn,
    pub(super) pending_requests: PendingRequests,
    /// Members that have everything decided: the slot they have, the time until which they are sent news, and
    /// their clock when they asked.
    pub(super) watchers: BTreeMap<Name, Option<(u64, Micros, Micros)>>,
    pub(super) log_outbox: Vec<(Name, LogMessage)>,
    pub(super) outputs: VecDeque<Output>,
    pub(super) next_tick: Micros,
    /// The time of the last input.
    pub(super) now: Micros,
    pub(super) snapshot_requested: bool,
    pub(super) standing: Participation,
    pub(super) counts: Counts,
}

impl<S: Storage> Replicas<S> {
    /// Returns the state of a member that starts now. `peers` lists all members of the settings, including
    /// this one; `installation` is the installation's name; `seed` must differ at each start, as it
    /// distinguishes this life from others under its name. Entries that the disk knows as decided are
    /// delivered after the first [`Replicas::flush`].
    ///
    /// # Errors
    /// Fails when the settings are invalid, or the replica's file can't be used.
    pub fn new(
        now: Micros,
        own: Life,
        installation: &str,
        peers: &[Peer],
        storage: Option<S>,
        seed: u64,
        tuning: Tuning,
    ) -> Result<Self, StartError> {
        let mut replicas: Vec<Name> = peers.iter().filter(|p| p.keeper).map(|p| p.name.clone()).collect();
        replicas.sort();
        replicas.dedup();
        if ![1, 3, 5].contains(&replicas.len()) {
            return Err(StartError::Replicas(replicas.len()));
        }
        let mut digest = crc32fast::Hasher::new();
        for text in std::iter::once(installation).chain(replicas.iter().map(Name::as_str)) {
            digest.update(&(text.len() as u32).to_le_bytes());
            digest.update(text.as_bytes());
        }
        let group = Group { digest: digest.finalize(), count: replicas.len() };
        let pid = replicas.iter().position(|k| *k == own.name).map(|i| i as u8 + 1);
        let nonce = mix(seed ^ mix(own.start.0)) | 1;
        let mut applied_state = AppliedState::default();
        let mut outputs = VecDeque::new();
        let replica = match (pid, storage) {
            (Some(pid), Some(storage)) => {
                let log = Log::open(storage, group.digest, pid, group.count)?;
                let mut mismatch = false;
                if !log.state().base.is_empty() {
                    let base: Snapshot =
                        postcard::from_bytes(&log.state().base).map_err(|_| StartError::Base)?;
                    // Slots before a snapshot that were altered after the snapshot was made don't match its
                    // head.
                    mismatch =
                        log.state().head(base.applied_state.slot).is_some_and(|head| head != base.head);
                    if mismatch && group.count == 1 {
                        return Err(StartError::Altered);
                    }
                    applied_state = base.applied_state;
                    outputs.push_back(Output::Restore { index: applied_state.index, machine: base.machine });
                }
                let mut replica =
                    Replica::new(now, pid, own.clone(), nonce, group, tuning, SharedLog::new(log));
                replica.log_altered = mismatch;
                Some(replica)
            }
            (None, None) => None,
            _ => return Err(StartError::Storage),
        };
        let watchers = peers.iter().filter(|p| p.name != own.name).map(|p| (p.name.clone(), None)).collect();
        let standing = if replica.is_some() { Participation::Starting } else { Participation::Learner };
        Ok(Replicas {
            life: own,
            nonce,
            tuning,
            group,
            own: pid,
            replica,
            applied_state,
            learn: Learn::new(replicas.len(), mix(nonce)),
            replica_names: replicas,
            pending_requests: PendingRequests::default(),
            watchers,
            log_outbox: Vec::new(),
            outputs,
            // Members that start at the same moment don't all send at the same moment.
            next_tick: now + (nonce % tuning.tick.max(1) as u64) as Micros,
            now,
            snapshot_requested: false,
            standing,
            counts: Counts::default(),
        })
    }

    /// Returns the time at which [`Replicas::tick`] is due.
    pub fn next_wake(&self) -> Micros {
        self.next_tick
    }

    /// Handles bytes from a member; the link has authenticated it.
    pub fn handle(&mut self, now: Micros, from: &Name, lane: Lane, bytes: &[u8]) {
        self.now = now;
        let pid = self.pid(from);
        match (lane, pid, &mut self.replica) {
            (Lane::Agreement, Some(pid), Some(replica)) => replica.receive(now, pid, bytes, &mut self.counts),
            (Lane::Agreement, ..) => self.counts.refused += 1,
            (Lane::Log, ..) => match unpack::<(u32, LogMessage)>(bytes) {
                Some((digest, message)) if digest == self.group.digest => {
                    self.handle_log_message(now, from, pid, message)
                }
                Some(_) => self.counts.foreign += 1,
                None => self.counts.undecodable += 1,
            },
        }
    }

    /// Handles that the link to a member is up (again).
    pub fn reconnected(&mut self, _now: Micros, peer: &Name) {
        if let (Some(pid), Some(replica)) = (self.pid(peer), &mut self.replica) {
            replica.reconnected(pid);
        }
    }

    /// Handles that the link to a member is down.
    pub fn lost(&mut self, _now: Micros, peer: &Name) {
        let Some(pid) = self.pid(peer) else { return };
        self.learn.lost(pid);
        if let Some(peer) = self.replica.as_mut().and_then(|s| s.peers.get_mut(usize::from(pid) - 1)) {
            peer.answered_at = None;
        }
    }

    /// Requests an entry. The answer is an [`Output::Answer`], at once if it is known at once. A repetition
    /// with the same request is the same entry. `wall` is the time of day.
    pub fn propose(&mut self, now: Micros, request: Request, wall: Micros, body: Vec<u8>) {
        self.now = now;
        let answer = match self.applied_state.known(&request) {
            _ if body.len() > MAX_BODY_BYTES => Answer::Long,
            Known::At(place) => Answer::Decided(place),
            Known::Superseded => Answer::Superseded,
            Known::New if !self.majority(now) => Answer::NoMajority,
            Known::New => {
                let entry = Entry { request: request.clone(), wall, body };
                if self.pending_requests.take(entry, now.saturating_add(self.tuning.request_timeout)) {
                    return self.forward_requests(now);
                }
                Answer::Busy
            }
        };
        self.outputs.push_back(Output::Answer { request, answer });
    }

    /// Handles a tick. Call it at [`Replicas::next_wake`] or later. A late call counts as one tick: a process
    /// that was paused doesn't catch up on the ticks that it missed.
    pub fn tick(&mut self, now: Micros) {
        self.now = now;
        if now < self.next_tick {
            return;
        }
        self.next_tick = now.saturating_add(self.tuning.tick);
        if let Some(replica) = &mut self.replica {
            let applied_state = &self.applied_state;
            replica.tick(now, &|pid| applied_state.readmissions.get(&pid).copied());
            if let Some(pid) = replica.newer_replica.take() {
                self.learn.switch_to(pid);
            }
            if std::mem::take(&mut replica.log_discarded) {
                // What was delivered from the discarded log may be wrong, so all of it is revoked.
                self.applied_state = AppliedState::default();
                self.learn = Learn::new(self.replica_names.len(), mix(self.nonce));
                self.outputs.push_back(Output::Restore { index: 0, machine: Vec::new() });
            }
        }
        if self.fetches_log()
            && let Some((pid, pull)) = self.learn.ask(now, self.next_slot(), self.own, self.tuning.pull)
        {
            self.send_to_replica(pid, pull);
        }
        let over = self.pending_requests.over(now, !self.majority(now));
        self.answer_all(over, Answer::NoMajority);
        self.forward_requests(now);
    }

    /// Makes the effects of the inputs since the last flush durable, and releases the messages that depend on
    /// them.
    pub fn flush(&mut self, now: Micros) {
        let mut sends = Vec::new();
        if let Some(replica) = &mut self.replica {
            if !replica.flush(now, &mut sends) {
                self.log_outbox.clear();
                return self.update_standing(now);
            }
            self.fold_decided(now);
        }
        for (pid, bytes) in sends {
            if let Some(to) = self.replica_names.get(usize::from(pid).wrapping_sub(1)) {
                self.outputs.push_back(Output::Send { to: to.clone(), lane: Lane::Agreement, bytes });
            }
        }
        for (to, message) in std::mem::take(&mut self.log_outbox) {
            if let Some(bytes) = pack(&(self.group.digest, message)) {
                self.outputs.push_back(Output::Send { to, lane: Lane::Log, bytes });
            }
        }
        self.update_standing(now);
    }

    /// Returns the next output.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Takes a snapshot: the caller's state with all entries up to `index` applied, as
    /// [`Output::WantSnapshot`] requested it. Returns false if it isn't accepted, because there are newer
    /// entries or it is longer than [`MAX_SNAPSHOT_BYTES`].
    pub fn snapshot(&mut self, index: u64, machine: Vec<u8>) -> bool {
        let undelivered =
            self.outputs.iter().any(|o| matches!(o, Output::Decided(_) | Output::Restore { .. }));
        self.snapshot_requested = false;
        if index != self.applied_state.index || undelivered {
            return false;
        }
        // A replica that its leader can't reach may have applied more than its own log can be trimmed to.
        let slot = self.applied_state.slot;
        let Some(replica) = self.replica.as_mut().filter(|replica| slot <= replica.decided()) else {
            return false;
        };
        if machine.len() > MAX_SNAPSHOT_BYTES {
            return false;
        }
        let Some(head) = replica.shared.log().state().head(slot) else { return false };
        let base = Snapshot { applied_state: self.applied_state.clone(), machine, head };
        let Ok(bytes) = postcard::to_stdvec(&base) else { return false };
        replica.shared.log().write(record::Record::Base(slot, bytes));
        replica.trim(slot.saturating_sub(self.tuning.keep));
        true
    }

    pub(super) fn pid(&self, name: &Name) -> Option<u8> {
        self.replica_names.binary_search(name).ok().map(|i| i as u8 + 1)
    }

    pub(super) fn answer_all(&mut self, requests: Vec<Request>, answer: pending_requests::Answer) {
        let answers = requests.into_iter().map(|request| Output::Answer { request, answer });
        self.outputs.extend(answers);
    }

    pub(super) fn handle_step(&mut self, step: ApplyOutcome) {
        let (request, answer) = match step {
            ApplyOutcome::Deliver(decided) => {
                let answer = (decided.entry.request.clone(), Answer::Decided(decided.index));
                self.outputs.push_back(Output::Decided(decided));
                answer
            }
            ApplyOutcome::Duplicate(request, Known::At(place)) => (request, Answer::Decided(place)),
            ApplyOutcome::Duplicate(request, _) => (request, Answer::Superseded),
            ApplyOutcome::Internal => return,
        };
        if self.pending_requests.done(&request) {
            self.outputs.push_back(Output::Answer { request, answer });
        }
    }

    /// Returns the answer to a learner's request, from [`learn::serve`].
    pub(super) fn serve(
        &self,
        now: Micros,
        from: u64,
        part: Option<(u64, u64)>,
        echo: Micros,
    ) -> Option<LogMessage> {
        // A log that may differ from the others' isn't served.
        let replica = self.replica.as_ref().filter(|replica| replica.log_verified)?;
        let majority = replica.majority(now);
        let log = replica.shared.log();
        let state = log.state();
        let tip = super::wire::LogStatus {
            decided: state.known(),
            majority,
            bypassed: replica.bypassed(now),
            ballot: state.promise,
            echo,
        };
        Some(learn::serve(state, from, part, tip))
    }
}

/// The finalizer of SplitMix64: similar numbers give very different results.
fn mix(seed: u64) -> u64 {
    let mut z = seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

//! The periodic work of a replica: it decides whether it may vote, renews its lease if it leads, and readmits
//! others.
//!
//! **A lost or old disk.** A replica that doesn't know its promises must not vote. It starts to vote in one
//! of these ways only:
//!
//! - *Founding*: it never voted. All other replicas have answered this life, and none has ever seen a mark of
//!   it. (Or the operator allows it: [`Tuning::found`](super::Tuning::found).) Whatever it sent in an earlier
//!   life was then never counted.
//! - *Readmission*: the log decides [`Item::Readmit`] for this very life, by a majority of all replicas that
//!   doesn't include this one. This replica holds the decided log up to there, learnt from the others; it
//!   accepts nothing below the ballot of the leader that informs it; and it reports nothing as accepted that
//!   anybody led.
//!
//! Why that is safe. Let Q be the majority that accepted the readmission in ballot b; the lost replica X
//! isn't in it. Any other majority that includes X shares a member other than X with Q, since
//! (q − 1) + q = n > n − 1. (1) Consider what was decided before with X's acceptance. Its ballot's majority
//! of promises was complete before X was lost. If that ballot were above b, a member of Q would have promised
//! it before it accepted in b, which is impossible; if it is below, b's leader learnt of it from the promises
//! that it gathered. So all of it is in the log of Q before the readmission, and every later majority
//! includes a member of Q. (2) Consider a promise of the old X for a ballot above b that its candidate hasn't
//! counted yet. To complete, the candidate needs a member of Q that promised after it accepted the
//! readmission, and the message of that member carries the readmission ([`super::wire::Head::epochs`]); the
//! candidate drops all that it has gathered (`Replica::merge_marks`) before it counts. (3) Consider a promise
//! of the old X below b. X now accepts nothing below the leader's ballot, which is b or above, so no such
//! ballot gets X's acceptance.
//!
//! **An old disk while others are out of reach.** An old disk is detected by the replicas that have seen a
//! later state of it. A replica that receives answers from all others votes; one that doesn't waits for
//! [`Tuning::startup_wait`](super::Tuning::startup_wait) and then votes all the same, as otherwise one
//! unavailable replica would prevent another from starting. Where its file is a copy ([`Log::copied`]: it
//! isn't the file that was written, by its number in the file system), it doesn't: it waits for all others,
//! or to be readmitted.
//!
//! Not covered: a disk that was restored *below* the file system, such as a snapshot of a volume or of a
//! machine, looks as it did when it was written. X then votes from the old state if the replicas that know
//! more of it are unreachable, for X and for all that X reaches, for longer than
//! [`Tuning::startup_wait`](super::Tuning::startup_wait). Among three replicas A, B and X this can lose what
//! B and X alone decided after the copy was taken, while A received messages from neither. As soon as A has
//! received one message from either, A knows X's mark, and X is detected. Both cases are tests in
//! `tests/keepers/copies.rs`.
//!
//! Also, where *all* disks are empty, it can't be determined whether the installation is new.
//!
//! [`Log::copied`]: super::log::Log::copied

use super::item::Item;
use super::record::{Mark, Record};
use super::replica::Replica;
use super::wire::ReplicaMessage;
use crate::Micros;
use heronroute_journal::Storage;
use omnipaxos::ballot_leader_election::Ballot;

impl<S: Storage> Replica<S> {
    /// Handles a tick. `readmissions` returns the slot and life of a replica's last readmission in the log.
    pub(super) fn tick(&mut self, now: Micros, readmissions: &dyn Fn(u8) -> Option<(u64, u64)>) {
        self.start_voting(now, readmissions(self.own));
        if let Some(omni) = &mut self.omni {
            omni.tick();
        }
        if now >= self.next_hello {
            self.next_hello = now.saturating_add(self.tuning.tick * self.tuning.election as Micros);
            if self.omni.is_none() {
                let ask = !self.log_verified;
                self.others().for_each(|pid| self.send_hello(pid, ask));
            }
        }
        self.run_leader(now, readmissions);
    }

    fn start_voting(&mut self, now: Micros, readmitted: Option<(u64, u64)>) {
        if self.omni.is_some() || self.shared.log().failed().is_some() {
            return;
        }
        if !self.verify_log() {
            return;
        }
        let all_answered = self.others().all(|pid| {
            let peer = self.peers.get(usize::from(pid) - 1);
            peer.is_some_and(|p| p.nonce != 0 && p.answered_at.is_some())
        });
        self.resolve_copy(all_answered);
        let time_over = !self.copy_unverified
            && !self.readers_are_ahead()
            && now >= self.started_at.saturating_add(self.tuning.startup_wait);
        if !self.voting() {
            self.ready = self.start_empty(all_answered, time_over) || self.apply_admission(readmitted);
        }
        self.ready |= self.is_single() || all_answered || time_over;
        self.catch_up = self.catch_up.filter(|c| now < c.until);
        if !self.ready || !self.voting() || self.catch_up.is_some() {
            return;
        }
        if self.is_single() {
            if self.leading_term().is_none() || self.announced_term.0 == 0 {
                self.lead_alone();
            }
            return;
        }
        self.rebuild();
    }

    /// Updates whether a restored file is still unverified.
    fn resolve_copy(&mut self, all_answered: bool) {
        if !self.copy_unverified {
            return;
        }
        let mut log = self.shared.log();
        if all_answered {
            // Whatever was sent from this disk, one of the others has seen, and `Replica::merge_marks` has
            // compared it with the disk.
            log.settle();
        } else if self.admission.is_some() {
            // A majority continues without this replica and readmits it, so the promises made from this disk
            // are given up.
            log.write(Record::Lost);
        }
        self.copy_unverified = !all_answered && log.state().voting;
    }

    /// Makes a single replica the leader, in a new term of its own.
    fn lead_alone(&mut self) {
        let mut log = self.shared.log();
        let n = log.state().promise.map_or(0, |b| b.n).saturating_add(1);
        log.write(Record::Promise(Ballot::with(super::check::CONFIGURATION, n, 0, u64::from(self.own))));
    }

    fn start_empty(&mut self, all_answered: bool, time_over: bool) -> bool {
        let unseen = self.peers.iter().all(|p| p.seen_of_us == Mark::default());
        let never = self.seen.get(usize::from(self.own) - 1).is_none_or(|s| s.mark == Mark::default());
        if unseen && never && (all_answered || time_over && self.tuning.found) {
            let mut log = self.shared.log();
            log.settle();
            log.write(Record::Voting(0));
            return true;
        }
        false
    }

    fn apply_admission(&mut self, readmitted: Option<(u64, u64)>) -> bool {
        let (Some((slot, ballot)), Some((decided, nonce))) = (self.admission, readmitted) else {
            return false;
        };
        let unled_ballot = self.unled_ballot();
        let mut log = self.shared.log();
        if nonce != self.nonce || decided != slot || log.state().decided <= slot {
            return false;
        }
        // Only what was learnt from the others is kept.
        log.write(Record::Lost);
        log.write(Record::Accepted(unled_ballot));
        for record in log.state().follow(Some(ballot)) {
            log.write(record);
        }
        log.settle();
        log.write(Record::Voting(slot + 1));
        drop(log);
        self.admission = None;
        self.opened = Mark { epoch: slot + 1, writes: 0 };
        true
    }

    fn run_leader(&mut self, now: Micros, readmissions: &dyn Fn(u8) -> Option<(u64, u64)>) {
        let Some(term) = self.leading_term() else { return };
        if self.announced_term != term {
            // The leader's own entry at the end of a log that holds everything decided before: once it is
            // decided and applied, so is everything that earlier leaders had decided.
            self.announced_term = term;
            self.append(Item::Leadership { term, life: self.life.clone() });
        }
        self.lease.begin(term, self.group.count);
        if now >= self.next_renewal {
            self.next_renewal = now.saturating_add(self.tuning.lease / 8);
            if self.is_single() || self.grants.grant(now, (self.own, self.nonce), term, &self.tuning) {
                self.lease.granted(usize::from(self.own) - 1, term, now, now);
            }
            let held = self.lease.until(&self.tuning).is_some_and(|until| now < until);
            if held {
                self.leader_confirmed_at = now;
            }
            let renew = self.others().map(|pid| (pid, ReplicaMessage::Renew { term, sent: now, held }));
            self.outbox.extend(renew);
        }
        if self.tuning.readmit && self.omni.is_some() {
            self.readmit_others(now, readmissions);
        }
    }

    fn readmit_others(&mut self, now: Micros, readmissions: &dyn Fn(u8) -> Option<(u64, u64)>) {
        let fresh = self.tuning.fresh;
        let Some(ballot) = self.omni.as_ref().map(|o| o.get_promise()) else { return };
        for pid in self.others() {
            let Some(peer) = self.peers.get_mut(usize::from(pid) - 1) else { continue };
            let waits = !peer.voting && peer.nonce != 0 && peer.fresh(now, fresh);
            // A replica that never voted gets time to start by itself.
            if !waits || now < peer.first_seen.saturating_add(2 * fresh) {
                continue;
            }
            if let Some((slot, nonce)) = readmissions(pid)
                && nonce == peer.nonce
            {
                self.outbox.push((pid, ReplicaMessage::Admit { nonce, slot, ballot }));
            } else if peer.readmit_at.is_none_or(|at| now >= at.saturating_add(4 * fresh)) {
                peer.readmit_at = Some(now);
                let nonce = peer.nonce;
                self.append(Item::Readmit { pid, nonce });
            }
        }
    }
}

//! Compares the log that a replica started with to the others', by the heads of the hash chain.
//!
//! A file of whole frames may contain what was never decided, if somebody altered it together with its
//! checksums. Each replica sends in its hellos the head of its decided log, as far as the receiver's log goes
//! too. A replica that starts with a log takes no part in consensus, serves no learner and learns nothing
//! until enough others for a majority have answered. Then
//!
//! - if those with the same log form a majority with it, it continues;
//! - if so many have another log that no majority can have its own, its log is discarded, and it continues
//!   like a replica with an empty disk ([`super::voting`]): it learns, and votes once it is readmitted. The
//!   same holds if one replica has another log and a leader readmits it;
//! - otherwise it waits for the rest.
//!
//! Not detected: a log altered in the same way at a majority; slots that no other reachable replica has; a
//! single replica; and what a snapshot says about earlier slots that are no longer kept.

use super::Counts;
use super::peers::{LogComparison, Peer};
use super::record::Mark;
use super::replica::Replica;
use super::wire::{LogPosition, ReplicaMessage};
use crate::entry::Term;
use heronroute_journal::Storage;

impl<S: Storage> Replica<S> {
    /// Sends a replica a hello with the position of this log.
    pub(super) fn send_hello(&mut self, pid: u8, ask: bool) {
        let Some(peer) = self.peers.get(usize::from(pid).wrapping_sub(1)) else { return };
        let spot = {
            let log = self.shared.log();
            let state = log.state();
            let decided = state.known();
            let at = decided.min(peer.decided.unwrap_or(decided));
            LogPosition { decided, end: state.end(), at, head: state.head(at), ask }
        };
        self.outbox.push((pid, ReplicaMessage::Hello(spot)));
    }

    /// Compares another replica's log with this one.
    pub(super) fn compare(&mut self, from: u8, spot: &LogPosition, counts: &mut Counts) {
        let Some(peer) = self.peers.get_mut(usize::from(from).wrapping_sub(1)) else { return };
        (peer.decided, peer.log_end) = (Some(spot.decided), spot.end);
        let (known, own) = {
            let log = self.shared.log();
            (log.state().known(), log.state().head(spot.at))
        };
        // A head is ignored at a place where the two would agree whatever they hold, which happens when the
        // sender didn't know yet, or knew of an earlier life, how far this log goes.
        if spot.at == known.min(spot.decided) {
            let comparison = match (spot.head, own) {
                (Some(theirs), Some(own)) if theirs == own => LogComparison::Same,
                (Some(_), Some(_)) => LogComparison::Differs,
                _ => peer.comparison.unwrap_or(LogComparison::Apart),
            };
            if comparison == LogComparison::Differs && peer.comparison != Some(comparison) {
                counts.differ += 1;
                tracing::warn!(
                    keeper = from,
                    slots = spot.at,
                    "another keeper's log differs from this one's"
                );
            }
            peer.comparison = Some(comparison);
        }
        if spot.ask {
            self.send_hello(from, false);
        }
    }

    fn count(&self, which: impl Fn(LogComparison) -> bool) -> usize {
        self.peers.iter().filter(|peer| peer.comparison.is_some_and(&which)).count()
    }

    /// Returns whether another replica has another log, and it isn't known yet which one the majority has.
    pub(super) fn log_disputed(&self) -> bool {
        !self.log_verified && self.count(|c| c == LogComparison::Differs) > 0
    }

    /// Verifies the log that the replica started with, and discards it if it differs from the others'.
    /// Returns whether the log is verified.
    pub(super) fn verify_log(&mut self) -> bool {
        let quorum = self.group.count / 2 + 1;
        let differ = self.count(|c| c == LogComparison::Differs);
        let excluded = differ > self.group.count - quorum || differ > 0 && self.admission.is_some();
        if !self.log_verified && (self.log_altered || excluded) {
            self.discard_log();
        }
        // What is learnt from now on comes from replicas whose logs were compared with each other.
        self.log_verified |= self.decided() == 0 || self.count(|c| c != LogComparison::Differs) + 1 >= quorum;
        self.log_verified
    }

    fn discard_log(&mut self) {
        tracing::error!("this keeper's log is not the other keepers': it is given up, and learnt anew");
        self.shared.log().discard_log();
        let count = self.group.count;
        (self.omni, self.catch_up, self.admission) = (None, None, None);
        (self.opened, self.announced_term, self.ready, self.copy_unverified) =
            (Mark::default(), Term(0), false, false);
        (self.seen, self.epochs) = (vec![Default::default(); count], vec![0; count]);
        self.peers.iter_mut().for_each(|peer: &mut Peer| peer.comparison = None);
        (self.log_altered, self.log_discarded) = (true, true);
    }

    /// Returns whether a learner has more of the log than this replica and all others that it knows of. Then
    /// one of them has lost what it accepted, and it may be this one, whose disk was restored.
    pub(super) fn readers_are_ahead(&self) -> bool {
        let end = self.shared.log().state().end();
        self.max_requested_slot > self.peers.iter().map(|peer| peer.log_end).fold(end, u64::max)
    }
}

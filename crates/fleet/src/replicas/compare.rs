//! Whether the log that a keeper came with is the others': the chain's heads held against each other.
//!
//! A file whose frames are whole may say what was never decided: somebody altered it, and the checksums with it. Each keeper
//! tells in its hellos the head of its decided log as far as the receiver's goes too. One that starts with a log takes no
//! part, tells nothing on and learns nothing before as many others as make a majority with it have been heard of; then
//! - where those that have the same log make a majority with it, it goes on;
//! - where so many have another that no majority can have its own, its log is given up, and it goes on as one whose folder is empty
//!   ([`super::office`]): it learns, and votes once it is let in. Likewise where one has another and a leader lets it in;
//! - else it waits for the rest.
//!
//! Not found out: a log altered alike at a majority; slots that no other keeper within reach has; a keeper that is the only
//! one; and what a snapshot says of the slots before it, where the slots themselves are no longer kept.

use super::Counts;
use super::peers::{LogComparison, Peer};
use super::record::Mark;
use super::replica::Replica;
use super::wire::{Said, Spot};
use crate::entry::Term;
use heronroute_journal::Storage;

impl<S: Storage> Replica<S> {
    /// Says hello to a keeper, and how the log stands here.
    pub(super) fn send_hello(&mut self, pid: u8, ask: bool) {
        let Some(peer) = self.peers.get(usize::from(pid).wrapping_sub(1)) else { return };
        let spot = {
            let log = self.shared.log();
            let state = log.state();
            let decided = state.known();
            let at = decided.min(peer.decided.unwrap_or(decided));
            Spot { decided, end: state.end(), at, head: state.head(at), ask }
        };
        self.outbox.push((pid, Said::Hello(spot)));
    }

    /// Holds another's log against this one's.
    pub(super) fn compare(&mut self, from: u8, spot: &Spot, counts: &mut Counts) {
        let Some(peer) = self.peers.get_mut(usize::from(from).wrapping_sub(1)) else { return };
        (peer.decided, peer.log_end) = (Some(spot.decided), spot.end);
        let (known, own) = {
            let log = self.shared.log();
            (log.state().known(), log.state().head(spot.at))
        };
        // Guards against a head of a place where the two would agree whatever they hold: the other did not know yet, or knew of an
        // earlier life, how far this one goes.
        if spot.at == known.min(spot.decided) {
            let comparison = match (spot.head, own) {
                (Some(theirs), Some(own)) if theirs == own => LogComparison::Same,
                (Some(_), Some(_)) => LogComparison::Differs,
                _ => peer.comparison.unwrap_or(LogComparison::Apart),
            };
            if comparison == LogComparison::Differs && peer.comparison != Some(comparison) {
                counts.differ += 1;
                tracing::warn!(keeper = from, slots = spot.at, "another keeper's log is not this one's");
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

    /// Whether another has another log, and it is not known yet whose is the majority's.
    pub(super) fn log_disputed(&self) -> bool {
        !self.log_verified && self.count(|c| c == LogComparison::Differs) > 0
    }

    /// Whether the log that it came with is the others'. Where it is not, it is given up.
    pub(super) fn verify_log(&mut self) -> bool {
        let quorum = self.group.count / 2 + 1;
        let differ = self.count(|c| c == LogComparison::Differs);
        let shut_out = differ > self.group.count - quorum || differ > 0 && self.admission.is_some();
        if !self.log_verified && (self.log_altered || shut_out) {
            self.discard_log();
        }
        // What is learnt from now on comes from those whose logs were held against each other.
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

    /// Whether somebody who learns the log has more of it than this keeper and all that it hears of: then one of them has
    /// forgotten what it took, and it may be this one, whose disk was put back.
    pub(super) fn readers_are_ahead(&self) -> bool {
        let end = self.shared.log().state().end();
        self.max_requested_slot > self.peers.iter().map(|peer| peer.log_end).fold(end, u64::max)
    }
}

//! What a member currently knows about the replicas.

use super::member::Replicas;
use super::{Counts, Leadership, Participation};
use crate::Micros;
use crate::entry::Term;
use crate::name::Life;
use heronroute_journal::Storage;

impl<S: Storage> Replicas<S> {
    /// Returns whether a majority of the replicas was reachable lately, from this replica or from one that
    /// this member has asked. Without such knowledge it returns false.
    pub fn majority(&self, now: Micros) -> bool {
        match &self.replica {
            Some(replica) if !self.is_learning() => replica.majority(now),
            _ => self.learn.with_majority(now, self.tuning.pull + self.tuning.fresh).is_some(),
        }
    }

    /// Returns the greatest term in the log. Orders with a lesser term are to be refused.
    pub fn term(&self) -> Term {
        self.applied_state.leader.as_ref().map_or(Term(0), |(term, _)| *term)
    }

    /// Returns the last leader according to the log. Only that leader itself knows whether it still leads.
    pub fn leader(&self) -> Option<&(Term, Life)> {
        self.applied_state.leader.as_ref()
    }

    /// Returns this member's leadership if it leads now. Call it before each act as leader; see
    /// [`crate::lease`] for what it guarantees.
    pub fn in_charge(&self, now: Micros) -> Option<Leadership> {
        let replica = self.replica.as_ref()?;
        let term = replica.leading_term()?;
        let is_leader_in_log =
            self.applied_state.leader.as_ref().is_some_and(|(t, life)| *t == term && *life == self.life);
        let until = if replica.is_single() { Micros::MAX } else { replica.lease.until(&self.tuning)? };
        let halted = replica.shared.log().failed().is_some();
        (is_leader_in_log && now < until && !halted).then(|| Leadership {
            term,
            life: self.life.clone(),
            until,
        })
    }

    /// Returns this member's participation.
    pub fn standing(&self) -> &Participation {
        &self.standing
    }

    /// Returns the random number that distinguishes this life from others under its name.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    /// Returns the index of the last entry delivered.
    pub fn index(&self) -> u64 {
        self.applied_state.index
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of bytes of decided and undecided log in memory, and of the file.
    pub fn sizes(&self) -> (u64, u64) {
        self.replica.as_ref().map_or((0, 0), |replica| {
            let log = replica.shared.log();
            (log.state().octets_from(0), log.size())
        })
    }
}

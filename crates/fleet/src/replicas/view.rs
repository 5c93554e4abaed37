//! What a member knows of the keepers at a time.

use super::member::Keepers;
use super::{Charge, Counts, Standing};
use crate::Micros;
use crate::entry::Term;
use crate::name::Life;
use heronroute_journal::Storage;

impl<S: Storage> Keepers<S> {
    /// Whether a majority of keepers has been heard lately: by this keeper, or by one that this member has asked. What is not
    /// known is no majority.
    pub fn majority(&self, now: Micros) -> bool {
        match &self.replica {
            Some(replica) if !self.is_learning() => replica.majority(now),
            _ => self.learn.with_majority(now, self.tuning.pull + self.tuning.fresh).is_some(),
        }
    }

    /// The greatest term that the log has told of. Orders of a lesser one are to be refused.
    pub fn term(&self) -> Term {
        self.fold.charge.as_ref().map_or(Term(0), |(term, _)| *term)
    }

    /// Who led last, by the log; whether it still does is for it alone to know.
    pub fn leader(&self) -> Option<&(Term, Life)> {
        self.fold.charge.as_ref()
    }

    /// Whether this member is in charge now. To be asked before each act; see [`crate::lease`] for what it promises.
    pub fn in_charge(&self, now: Micros) -> Option<Charge> {
        let replica = self.replica.as_ref()?;
        let term = replica.leading_term()?;
        let charged = self.fold.charge.as_ref().is_some_and(|(t, life)| *t == term && *life == self.life);
        let until = if replica.is_single() { Micros::MAX } else { replica.lease.until(&self.tuning)? };
        let halted = replica.shared.log().failed().is_some();
        (charged && now < until && !halted).then(|| Charge { term, life: self.life.clone(), until })
    }

    /// How it takes part.
    pub fn standing(&self) -> &Standing {
        &self.standing
    }

    /// The number by which this life is told from others of its name.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    /// Place of the last entry delivered.
    pub fn index(&self) -> u64 {
        self.fold.index
    }

    /// What was dropped or mended.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Octets of decided and undecided log in memory, and of the file.
    pub fn sizes(&self) -> (u64, u64) {
        self.replica.as_ref().map_or((0, 0), |replica| {
            let log = replica.shared.log();
            (log.state().octets_from(0), log.size())
        })
    }
}

//! Until when whoever is in charge may act.
//!
//! The keeper that leads asks the others, again and again, to stay in charge. A keeper that grants it gives no other life a
//! term for [`Tuning::lease`] and the drift allowed, counted on its own clock from when it granted. The one in charge
//! counts [`Tuning::lease`] on its own clock from when it *asked*, and acts only while a majority's grants are that fresh;
//! its own is one of them, under the same rule.
//!
//! What holds, whatever clocks do: a term belongs to one life of one keeper (it is that keeper's ballot), so two members
//! are never in charge in one term, and orders that bear a lesser term than one seen are to be refused.
//!
//! What holds while no clock runs more than [`Tuning::drift`] thousandths faster than another: two members are never in
//! charge at one time, in whatever terms. Two majorities share a keeper; that keeper's grant to the first is over
//! before it grants the second anything. A keeper that starts has forgotten its grants and waits one whole grant
//! before its first. One that was paused finds its lease over by its own clock when it wakes, *if that clock went on*: it
//! does under SIGSTOP; a machine whose clock stands while it is suspended breaks this promise, and only the term in
//! its orders still protects.
//!
//! What does not hold: an act that was begun within the lease may end after it. So an order bears its term, and
//! whoever acts asks again before each act.

use crate::Micros;
use crate::entry::Term;
use crate::keepers::Tuning;

/// Who holds a grant: a keeper, and which life of it.
pub type Holder = (u8, u64);

/// What a keeper has granted.
#[derive(Clone, Debug)]
pub struct Grants {
    /// Nothing is granted to anybody else before it.
    until: Micros,
    holder: Option<Holder>,
    term: Term,
}

impl Grants {
    /// Of a keeper that starts now and may have granted before.
    pub fn new(now: Micros, tuning: &Tuning) -> Self {
        Grants { until: now.saturating_add(grant_duration(tuning)), holder: None, term: Term(0) }
    }

    /// Grants a life the term, unless another life may still be in charge or the term is older than one granted.
    pub fn grant(&mut self, now: Micros, holder: Holder, term: Term, tuning: &Tuning) -> bool {
        if term < self.term || self.holder != Some(holder) && now < self.until {
            return false;
        }
        self.holder = Some(holder);
        self.term = term;
        self.until = self.until.max(now.saturating_add(grant_duration(tuning)));
        true
    }
}

fn grant_duration(tuning: &Tuning) -> Micros {
    tuning.lease.saturating_add(tuning.lease.saturating_mul(tuning.drift) / 1000).saturating_add(1)
}

/// The lease of a keeper that leads.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    term: Term,
    /// For each keeper, when the renewal that it granted last was asked for.
    requested: Vec<Option<Micros>>,
}

impl Lease {
    /// Begins a term among so many keepers; nothing of an older one counts.
    pub fn begin(&mut self, term: Term, keepers: usize) {
        if self.term != term {
            *self = Lease { term, requested: vec![None; keepers] };
        }
    }

    /// A keeper, counted from 0, has granted what was asked for at this time.
    pub fn granted(&mut self, keeper: usize, term: Term, requested: Micros, now: Micros) {
        if term == self.term
            && requested <= now
            && let Some(at) = self.requested.get_mut(keeper)
        {
            *at = (*at).max(Some(requested));
        }
    }

    /// Until when the term may be acted in; nothing where no majority has granted it.
    pub fn until(&self, tuning: &Tuning) -> Option<Micros> {
        let mut requested: Vec<Micros> = self.requested.iter().flatten().copied().collect();
        requested.sort_unstable_by(|a, b| b.cmp(a));
        // Five at most: to sort them costs nothing.
        requested.get(self.requested.len() / 2).map(|at| at.saturating_add(tuning.lease))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const T: Tuning = Tuning {
        lease: 1_000,
        drift: 100,
        tick: 1,
        election: 1,
        resend: 1,
        fresh: 1,
        patience: 1,
        again: 1,
        pull: 1,
        hear_all: 1,
        found: false,
        readmit: true,
        compact: 1,
        keep: 1,
    };

    #[test]
    fn a_grant_binds_beyond_the_lease_by_the_drift_and_from_the_start() {
        let mut grants = Grants::new(0, &T);
        assert!(!grants.grant(1_100, (1, 1), Term(5), &T), "it may have granted before it started");
        assert!(grants.grant(1_101, (1, 1), Term(5), &T));
        assert!(grants.grant(1_500, (1, 1), Term(6), &T), "its holder renews it");
        assert!(!grants.grant(1_600, (1, 2), Term(7), &T), "the same name, another life");
        assert!(!grants.grant(2_600, (2, 1), Term(7), &T));
        assert!(grants.grant(2_601, (2, 1), Term(7), &T));
        assert!(!grants.grant(9_999, (1, 1), Term(6), &T), "an older term is never granted again");
    }

    #[test]
    fn a_lease_counts_from_when_it_was_asked_for_and_needs_a_majority() {
        let mut lease = Lease::default();
        lease.begin(Term(3), 5);
        lease.granted(0, Term(3), 100, 100);
        lease.granted(1, Term(3), 70, 110);
        assert_eq!(lease.until(&T), None);
        lease.granted(1, Term(3), 60, 110);
        lease.granted(4, Term(2), 100, 110);
        lease.granted(3, Term(3), 999, 110);
        assert_eq!(lease.until(&T), None, "other terms and times to come are no grants");
        lease.granted(2, Term(3), 90, 120);
        assert_eq!(lease.until(&T), Some(1_070));
        lease.begin(Term(4), 5);
        assert_eq!(lease.until(&T), None);
    }
}

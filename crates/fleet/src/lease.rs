//! The leader's lease: how long a leader may act.
//!
//! The leading replica repeatedly asks the others to renew its lease. A replica that grants it gives no other
//! life a term for [`Tuning::lease`] plus the allowed drift, counted on its own clock from when it granted.
//! The leader counts [`Tuning::lease`] on its own clock from when it *asked*, and acts only while it has
//! grants of that age from a majority; its own grant is one of them, under the same rule.
//!
//! Guaranteed, whatever the clocks do: a term belongs to one life of one replica (it is that replica's
//! ballot), so two members never lead in the same term, and orders with a term less than one already seen are
//! to be refused.
//!
//! Guaranteed while no clock runs more than [`Tuning::drift`] thousandths faster than another: two members
//! never lead at the same time, in whatever terms. Any two majorities share a replica, and that replica's
//! grant to the first leader expires before it grants the second one anything. A replica that starts doesn't
//! know its earlier grants and waits for the length of one grant before its first. A replica that was paused
//! finds its lease expired by its own clock when it continues, *if that clock went on*: it does under
//! SIGSTOP. A machine whose clock stops while it is suspended breaks this guarantee, and then only the term
//! in its orders protects.
//!
//! Not guaranteed: an act that was begun within the lease may end after it. Therefore an order carries its
//! term, and the leader checks its lease again before each act.

use crate::Micros;
use crate::entry::Term;
use crate::replicas::Tuning;

/// The holder of a grant: a replica, and which life of it.
pub type Holder = (u8, u64);

/// The lease that a replica has granted.
#[derive(Clone, Debug)]
pub struct Grants {
    /// No other life is granted a term before this time.
    until: Micros,
    holder: Option<Holder>,
    term: Term,
}

impl Grants {
    /// Returns the grants of a replica that starts now and may have granted a lease before.
    pub fn new(now: Micros, tuning: &Tuning) -> Self {
        Grants { until: now.saturating_add(grant_duration(tuning)), holder: None, term: Term(0) }
    }

    /// Grants the term to a life, unless another life may still lead or a later term was granted. Returns
    /// whether it was granted.
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

/// The lease of a leading replica.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    term: Term,
    /// For each replica, the time at which the renewal that it granted last was requested.
    requested: Vec<Option<Micros>>,
}

impl Lease {
    /// Begins a term among the given number of replicas; grants of other terms are dropped.
    pub fn begin(&mut self, term: Term, replicas: usize) {
        if self.term != term {
            *self = Lease { term, requested: vec![None; replicas] };
        }
    }

    /// Records that a replica, counted from 0, has granted the renewal that was requested at this time.
    pub fn granted(&mut self, replica: usize, term: Term, requested: Micros, now: Micros) {
        if term == self.term
            && requested <= now
            && let Some(at) = self.requested.get_mut(replica)
        {
            *at = (*at).max(Some(requested));
        }
    }

    /// Returns the end of the lease, or `None` when no majority has granted the term.
    pub fn until(&self, tuning: &Tuning) -> Option<Micros> {
        let mut requested: Vec<Micros> = self.requested.iter().flatten().copied().collect();
        requested.sort_unstable_by(|a, b| b.cmp(a));
        // There are at most five replicas, so sorting is cheap.
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
        request_timeout: 1,
        again: 1,
        pull: 1,
        startup_wait: 1,
        found: false,
        readmit: true,
        compact: 1,
        keep: 1,
    };

    #[test]
    fn a_grant_lasts_for_lease_and_drift_and_a_restart_counts_as_one() {
        let mut grants = Grants::new(0, &T);
        assert!(
            !grants.grant(1_100, (1, 1), Term(5), &T),
            "a grant from before the start may still be valid"
        );
        assert!(grants.grant(1_101, (1, 1), Term(5), &T));
        assert!(grants.grant(1_500, (1, 1), Term(6), &T), "the holder may renew");
        assert!(!grants.grant(1_600, (1, 2), Term(7), &T), "another life under the same name");
        assert!(!grants.grant(2_600, (2, 1), Term(7), &T));
        assert!(grants.grant(2_601, (2, 1), Term(7), &T));
        assert!(!grants.grant(9_999, (1, 1), Term(6), &T), "an older term is never granted");
    }

    #[test]
    fn a_lease_counts_from_the_request_and_needs_a_majority() {
        let mut lease = Lease::default();
        lease.begin(Term(3), 5);
        lease.granted(0, Term(3), 100, 100);
        lease.granted(1, Term(3), 70, 110);
        assert_eq!(lease.until(&T), None);
        lease.granted(1, Term(3), 60, 110);
        lease.granted(4, Term(2), 100, 110);
        lease.granted(3, Term(3), 999, 110);
        assert_eq!(lease.until(&T), None, "grants of other terms or with future times don't count");
        lease.granted(2, Term(3), 90, 120);
        assert_eq!(lease.until(&T), Some(1_070));
        lease.begin(Term(4), 5);
        assert_eq!(lease.until(&T), None);
    }
}

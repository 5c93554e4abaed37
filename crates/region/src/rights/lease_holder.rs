//! The lease of a life, on its own side.

use super::{Ask, LeaseGrant, MembersWithoutLease, Tuning};
use crate::Micros;
use crate::seam::SendLease;
use heronroute_fleet::{Life, Term};

/// What a life knows of its own lease. Every member has one.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    own: Life,
    tuning: Tuning,
    /// Whether it may request leases: it has read an entry of its own in the log.
    own_entry_read: bool,
    /// Whether it was taken over, or replaced by a later life: then it never holds a lease again.
    ended: bool,
    next: Micros,
    until: Option<Micros>,
    /// When the newest lease was requested.
    asked: Option<Micros>,
    term: Term,
    out: MembersWithoutLease,
}

impl LeaseHolder {
    /// Returns the state of a life that starts now, without a lease.
    pub fn new(now: Micros, own: Life, tuning: Tuning) -> Self {
        LeaseHolder {
            own,
            tuning,
            own_entry_read: false,
            ended: false,
            next: now,
            until: None,
            asked: None,
            term: Term(0),
            out: MembersWithoutLease::default(),
        }
    }

    /// Records that the life has read an entry of its own, and so knows of every takeover of the lives
    /// before it.
    pub fn own_entry_read(&mut self) {
        self.own_entry_read = true;
    }

    /// Ends the lease for good, whatever is received later.
    pub fn end(&mut self) {
        (self.ended, self.until) = (true, None);
    }

    /// Returns the request to send to the leader, if one is due.
    pub fn poll(&mut self, now: Micros) -> Option<Ask> {
        if now < self.wake()? {
            return None;
        }
        self.next = now.saturating_add(self.tuning.ask);
        Some(Ask { life: self.own.clone(), asked: now })
    }

    /// Returns when the next request is due.
    pub fn wake(&self) -> Option<Micros> {
        (self.own_entry_read && !self.ended).then_some(self.next)
    }

    /// Handles a grant; returns whether it is the newest one for this life.
    pub fn given(&mut self, now: Micros, give: &LeaseGrant) -> bool {
        let newest = self.asked.is_none_or(|asked| asked <= give.asked);
        if self.ended
            || !self.own_entry_read
            || give.to != self.own
            || give.asked > now
            || give.term < self.term
        {
            return false;
        }
        self.term = give.term;
        if newest {
            self.asked = Some(give.asked);
            self.out = give.out.clone();
        }
        let until = give.asked.saturating_add(self.tuning.span);
        self.until = self.until.max(Some(until));
        newest
    }

    /// Returns the lease that is held now, if any.
    pub fn right(&self, now: Micros) -> Option<SendLease> {
        self.until.filter(|until| now < *until && !self.ended).map(|until| SendLease { until })
    }

    /// Returns the members whose work others do, by the newest lease.
    pub fn out(&self) -> &MembersWithoutLease {
        &self.out
    }
}

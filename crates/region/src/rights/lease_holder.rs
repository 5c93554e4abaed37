//! The lease of a life, on its own side.

use super::{Ask, Give, Out, Tuning};
use crate::Micros;
use crate::seam::Right;
use heronroute_fleet::{Life, Term};

/// What a life knows of its own lease. Every member has one.
#[derive(Clone, Debug)]
pub struct Holder {
    own: Life,
    tuning: Tuning,
    /// Whether it may request leases: it has read an entry of its own in the log.
    knows: bool,
    /// Whether it was taken over, or replaced by a later life: then it never holds a lease again.
    ended: bool,
    next: Micros,
    until: Option<Micros>,
    /// When the newest lease was requested.
    asked: Option<Micros>,
    term: Term,
    out: Out,
}

impl Holder {
    /// Returns the state of a life that starts now, without a lease.
    pub fn new(now: Micros, own: Life, tuning: Tuning) -> Self {
        Holder {
            own,
            tuning,
            knows: false,
            ended: false,
            next: now,
            until: None,
            asked: None,
            term: Term(0),
            out: Out::default(),
        }
    }

    /// Records that the life has read an entry of its own, and so knows of every takeover of the lives
    /// before it.
    pub fn knows(&mut self) {
        self.knows = true;
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
        (self.knows && !self.ended).then_some(self.next)
    }

    /// Handles a grant; returns whether it is the newest one for this life.
    pub fn given(&mut self, now: Micros, give: &Give) -> bool {
        let newest = self.asked.is_none_or(|asked| asked <= give.asked);
        if self.ended || !self.knows || give.to != self.own || give.asked > now || give.term < self.term {
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
    pub fn right(&self, now: Micros) -> Option<Right> {
        self.until.filter(|until| now < *until && !self.ended).map(|until| Right { until })
    }

    /// Returns the members whose work others do, by the newest lease.
    pub fn out(&self) -> &Out {
        &self.out
    }
}

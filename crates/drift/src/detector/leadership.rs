//! Tracks whether this keeper is the leader, and for how long that is certain.

use super::member::Member;
use super::{Detector, Output};
use crate::Micros;
use heronroute_fleet::{Name, Term};

/// The leadership of this keeper.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    /// The term of this keeper.
    term: Term,
    /// The greatest term that any member was seen to know.
    greatest_seen: Term,
    is_leader: bool,
    /// The time of the last confirmation.
    confirmed_at: Micros,
}

impl Leadership {
    pub(super) fn term(&self) -> Term {
        self.term
    }

    /// Returns whether this keeper is certainly the leader: it was confirmed within the lease, and no greater
    /// term is known.
    pub(super) fn holds_lease(&self, now: Micros, lease: Micros) -> bool {
        self.is_leader && self.greatest_seen <= self.term && now <= self.confirmed_at.saturating_add(lease)
    }
}

impl Detector {
    /// Sets the term and whether this member is its leader. This must be confirmed within every
    /// [`super::Config::lease`], or the detector stops acting: a process that was paused does not know that
    /// another one took over.
    pub fn term(&mut self, now: Micros, term: Term, is_leader: bool) {
        if term < self.leadership.greatest_seen || term < self.leadership.term {
            return;
        }
        let was_acting = self.is_leading(now);
        if term > self.leadership.term {
            // Reports that another leader received prove nothing to this one.
            self.members.values_mut().for_each(Member::discard_reports);
        }
        let new_leadership = term > self.leadership.term || !self.leadership.is_leader;
        self.leadership = Leadership { term, greatest_seen: term, is_leader, confirmed_at: now };
        if !is_leader {
            return;
        }
        if new_leadership {
            self.rollouts_resume(now);
        }
        if new_leadership || !was_acting {
            let names: Vec<Name> = self.members.keys().cloned().collect();
            // It is no fault of the members that none of them has reported in this term yet.
            names.iter().for_each(|name| self.check_member(now, name, new_leadership));
        }
    }

    /// Returns whether this keeper is the leader and its lease is valid.
    pub fn is_leading(&self, now: Micros) -> bool {
        self.leadership.holds_lease(now, self.config.lease)
    }

    /// Returns whether this keeper may judge a report of this term.
    pub(super) fn accept_term(&mut self, now: Micros, term: Term) -> bool {
        if term > self.leadership.term && term > self.leadership.greatest_seen {
            let was_acting = self.is_leading(now);
            self.leadership.greatest_seen = term;
            if was_acting {
                self.push(Output::Superseded(term));
            }
        }
        if !self.is_leading(now) {
            self.dropped.not_leader += 1;
            return false;
        }
        true
    }
}

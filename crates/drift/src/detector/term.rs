//! Tracks whether this keeper is the leader, and for how long that is certain.

use super::member::Member;
use super::{Detector, Output};
use crate::Micros;
use heronroute_fleet::{Name, Term};

/// The leadership of this keeper.
#[derive(Debug, Default)]
pub(super) struct Charge {
    /// The term of this keeper.
    term: Term,
    /// The greatest term that any member was seen to know.
    seen: Term,
    in_charge: bool,
    /// The time of the last confirmation.
    at: Micros,
}

impl Charge {
    pub(super) fn term(&self) -> Term {
        self.term
    }

    /// Returns whether this keeper is certainly the leader: it was confirmed within the lease, and no greater
    /// term is known.
    pub(super) fn sure(&self, now: Micros, lease: Micros) -> bool {
        self.in_charge && self.seen <= self.term && now <= self.at.saturating_add(lease)
    }
}

impl Detector {
    /// Sets the term and whether this member is its leader. This must be confirmed within every
    /// [`super::Config::lease`], or the detector stops acting: a process that was paused does not know that
    /// another one took over.
    pub fn term(&mut self, now: Micros, term: Term, in_charge: bool) {
        if term < self.charge.seen || term < self.charge.term {
            return;
        }
        let before = self.acting(now);
        if term > self.charge.term {
            // Reports that another leader received prove nothing to this one.
            self.members.values_mut().for_each(Member::unheard);
        }
        let news = term > self.charge.term || !self.charge.in_charge;
        self.charge = Charge { term, seen: term, in_charge, at: now };
        if !in_charge {
            return;
        }
        if news {
            self.roll_resume(now);
        }
        if news || !before {
            let names: Vec<Name> = self.members.keys().cloned().collect();
            // It is no fault of the members that none of them has reported in this term yet.
            names.iter().for_each(|name| self.look(now, name, news));
        }
    }

    /// Returns whether this keeper is the leader and its lease is valid.
    pub fn acting(&self, now: Micros) -> bool {
        self.charge.sure(now, self.config.lease)
    }

    /// Returns whether this keeper may judge a report of this term.
    pub(super) fn heed(&mut self, now: Micros, term: Term) -> bool {
        if term > self.charge.term && term > self.charge.seen {
            let was = self.acting(now);
            self.charge.seen = term;
            if was {
                self.push(Output::Superseded(term));
            }
        }
        if !self.acting(now) {
            self.dropped.not_in_charge += 1;
            return false;
        }
        true
    }
}

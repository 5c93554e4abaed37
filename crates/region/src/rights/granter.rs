//! The leader's side of leases: which leases it granted.

use super::{Ask, LeaseGrant, MembersWithoutLease, Tuning};
use crate::Micros;
use crate::agreed::RegionLogState;
use crate::list::MAX_PLACES;
use heronroute_fleet::{Life, Name, Start, Term};
use std::collections::BTreeMap;

/// The leases granted to the lives of one name.
#[derive(Clone, Copy, Debug)]
struct GrantedLeases {
    /// The latest start.
    start: Start,
    /// The latest time at which a life of the name can hold a lease, on this clock.
    until: Micros,
}

/// The leases granted while this member leads, and the lives that get none. Bounded by [`MAX_PLACES`]
/// names; other names get no lease.
#[derive(Clone, Debug)]
pub struct LeaseGranter {
    tuning: Tuning,
    term: Term,
    /// Whether this member leads now and has read the beginning of its term in the log.
    may_grant: bool,
    /// Since when this member has led without a gap; `None` while it does not lead.
    since: Option<Micros>,
    given: BTreeMap<Name, GrantedLeases>,
    /// Lives whose takeover was proposed in this term: by name the latest start, and the member to take
    /// over. That life and earlier ones get no lease.
    refused: BTreeMap<Name, (Start, Name)>,
    /// The members without a lease, and until when this result is reused: computing it from the whole list
    /// for each request would cost too much.
    without_lease_cache: (Micros, MembersWithoutLease),
}

impl LeaseGranter {
    /// Returns the state of a member that does not lead.
    pub fn new(tuning: Tuning) -> Self {
        LeaseGranter {
            tuning,
            term: Term(0),
            may_grant: false,
            since: None,
            given: BTreeMap::new(),
            refused: BTreeMap::new(),
            without_lease_cache: (Micros::MIN, MembersWithoutLease::default()),
        }
    }

    /// Returns the settings of leases.
    pub fn tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// Sets the term in which this member leads *now*, if it does, and the last term whose beginning it
    /// read in the log. Must be called before each request and each examination of dead members, with a
    /// time that was read after the input arrived.
    pub fn set_leading_term(&mut self, now: Micros, charge: Option<Term>, begun: Term) {
        let Some(term) = charge else {
            (self.may_grant, self.since) = (false, None);
            return;
        };
        if term != self.term {
            self.term = term;
            self.since = None;
            self.given.clear();
            self.refused.clear();
            self.without_lease_cache.0 = Micros::MIN;
        }
        // Also set anew after a gap within one term: this member does not know who led in between.
        self.since.get_or_insert(now);
        self.may_grant = begun == term;
    }

    /// Returns the term in which this member grants leases now.
    pub fn term(&self) -> Option<Term> {
        self.may_grant.then_some(self.term)
    }

    /// Handles a life's request for a lease; returns `None` if it gets none.
    pub fn ask(&mut self, now: Micros, agreed: &RegionLogState, ask: &Ask) -> Option<LeaseGrant> {
        let Ask { life, asked } = ask;
        let name = &life.name;
        let refused = self.refused.get(name).is_some_and(|(start, _)| life.start <= *start);
        let older = self.given.get(name).is_some_and(|given| life.start < given.start);
        if !self.may_grant || refused || older || !agreed.may_hold_lease(life) {
            return None;
        }
        if !self.given.contains_key(name) && self.given.len() >= MAX_PLACES {
            self.given.retain(|name, _| agreed.list().place(name).is_some());
        }
        let until = now.saturating_add(self.tuning.held_for());
        let given = self.given.entry(name.clone()).or_insert(GrantedLeases { start: life.start, until });
        given.start = life.start;
        given.until = given.until.max(until);
        if now >= self.without_lease_cache.0 || self.without_lease_cache.1.list != agreed.list().number {
            self.without_lease_cache =
                (now.saturating_add(self.tuning.look), self.members_without_lease(now, agreed));
        }
        let out = self.without_lease_cache.1.clone();
        Some(LeaseGrant { term: self.term, to: life.clone(), asked: *asked, out })
    }

    /// Returns whether no life of this name can hold a lease any more, whoever granted it.
    pub fn all_expired(&self, now: Micros, name: &Name) -> bool {
        let waited = |since: Micros| since.saturating_add(self.tuning.held_for()) <= now;
        let own = self.given.get(name).is_none_or(|given| given.until <= now);
        self.may_grant && self.since.is_some_and(waited) && own
    }

    /// Returns whether a life of this name has a lease granted here that may still be valid.
    pub fn holds(&self, now: Micros, name: &Name) -> bool {
        self.may_grant && self.given.get(name).is_some_and(|given| now < given.until)
    }

    /// Grants this life no lease from now on, because its takeover is proposed.
    pub fn refuse(&mut self, life: &Life, by: &Name) {
        self.refused.insert(life.name.clone(), (life.start, by.clone()));
    }

    /// Returns the lives that were refused in this term and are not yet taken over by the log, each with
    /// the member to take over. Guards against a life that returned before its takeover was decided and
    /// whose takeover proposal was lost: it would have no lease for the rest of the term. Granting it one
    /// again is not safe, because the takeover may still be decided.
    pub fn undecided(&self, agreed: &RegionLogState) -> Vec<(Life, Name)> {
        let of = |(name, (start, by)): (&Name, &(Start, Name))| {
            let life = Life { name: name.clone(), start: *start };
            let open = !agreed.is_over(&life) && agreed.newest(name).is_none_or(|newest| newest <= *start);
            open.then(|| (life, by.clone()))
        };
        self.refused.iter().filter_map(of).collect()
    }

    fn members_without_lease(&self, now: Micros, agreed: &RegionLogState) -> MembersWithoutLease {
        let list = agreed.list();
        let out = |name: &Name| agreed.is_gone(name) || self.all_expired(now, name);
        let places = list.places.iter().enumerate().filter(|(_, place)| out(&place.name));
        MembersWithoutLease::of(list.number, places.map(|(at, _)| at))
    }
}

//! What goes through a third member, where two have no link.

use super::Installation;
use crate::Micros;
use crate::wire::Wire;
use heronroute_fleet::{Life, Name};
use heronroute_journal::Storage;

/// Whoever says something.
#[derive(Clone, Debug)]
pub(super) struct Sayer {
    pub name: Name,
    /// Its place.
    pub peer: usize,
    /// Which life of it, by the word of a carrier; none: it came over its own link.
    pub carried: Option<Life>,
}

impl<S: Storage> Installation<S> {
    /// To a member, over its link or else through a neighbour. `life`: which one of it; none: the latest that was heard of.
    pub(super) fn pass(&mut self, now: Micros, peer: usize, life: Option<&Life>, wire: &Wire<'_>) {
        if self.detour.neighbour(peer).is_some() {
            return self.send(peer, wire);
        }
        let known = || self.members.rows().get(peer).and_then(|row| row.life.as_ref());
        let to = life.or_else(known).cloned();
        let first = self.replicas.leader().and_then(|(_, life)| self.places.get(&life.name).copied());
        let through = self.detour.through(now, peer, first);
        let (Some(to), Some(through)) = (to, through) else {
            self.counts.unreached += 1;
            return;
        };
        match wire.pack() {
            Some(payload) => self.send(through, &Wire::Carry { to, payload: &payload }),
            None => self.counts.unsent += 1,
        }
    }

    /// A neighbour wants something handed on. In whose name is not its to say: it is the member that the link belongs to.
    pub(super) fn carry(&mut self, now: Micros, peer: usize, to: Life, payload: &[u8]) {
        let from = self.detour.neighbour(peer).cloned();
        let place =
            self.places.get(&to.name).copied().filter(|at| *at != peer && to.name != self.cfg.own.name);
        let (Some(from), Some(place)) = (from, place) else {
            self.counts.misrouted += 1;
            return;
        };
        // Guards against one that floods: beyond its part not even a word goes back.
        if !self.detour.carries(now, peer, payload.len()) {
            self.counts.overloaded += 1;
            return;
        }
        if self.detour.neighbour(place).is_none() {
            return self.send(peer, &Wire::Astray { to: to.name });
        }
        self.counts.carried += 1;
        self.send(place, &Wire::Carried { from, to, payload });
    }

    /// Something was handed on to this member. Only this life takes it: guards against an answer to what an earlier one asked.
    pub(super) fn carried(&mut self, now: Micros, peer: usize, from: Life, to: &Life, payload: &[u8]) {
        let place = self.places.get(&from.name).copied().filter(|at| *at != peer && from.name != to.name);
        let Some(place) = place.filter(|_| *to == self.cfg.own) else {
            self.counts.misrouted += 1;
            return;
        };
        let Some(wire) = Wire::unpack(payload).filter(Wire::carries) else {
            self.counts.undecodable += 1;
            return;
        };
        self.detour.came(place, peer);
        let sayer = Sayer { name: from.name.clone(), peer: place, carried: Some(from) };
        self.said(now, &sayer, wire);
    }

    /// A neighbour has no link to a member either. What was sent is lost; a report is soon followed by the next.
    pub(super) fn astray(&mut self, now: Micros, peer: usize, to: &Name) {
        let Some(place) = self.places.get(to).copied() else {
            self.counts.misrouted += 1;
            return;
        };
        if self.detour.astray(place, peer) && self.replicas.leader().is_some_and(|(_, life)| life.name == *to)
        {
            self.report_at = self.report_at.min(now);
        }
    }
}

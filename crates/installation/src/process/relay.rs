//! Messages between two members without a link, relayed by a third one.

use super::Installation;
use crate::Micros;
use crate::wire::Wire;
use heronroute_fleet::{Life, Name};
use heronroute_journal::Storage;

/// The origin of a message.
#[derive(Clone, Debug)]
pub(super) struct MessageSource {
    pub name: Name,
    /// Its index in the settings.
    pub peer: usize,
    /// The life, as reported by the relay; none where the message came over the member's own link.
    pub relayed_life: Option<Life>,
}

impl<S: Storage> Installation<S> {
    /// Sends a message to a member over its link or else through a neighbour. `life` is the life that it is
    /// for; none means the latest known one.
    pub(super) fn send_or_relay(&mut self, now: Micros, peer: usize, life: Option<&Life>, wire: &Wire<'_>) {
        if self.relay_routes.neighbour(peer).is_some() {
            return self.send(peer, wire);
        }
        let known = || self.members.rows().get(peer).and_then(|row| row.life.as_ref());
        let to = life.or_else(known).cloned();
        let first = self.replicas.leader().and_then(|(_, life)| self.peer_indexes.get(&life.name).copied());
        let through = self.relay_routes.next_hop(now, peer, first);
        let (Some(to), Some(through)) = (to, through) else {
            self.counts.no_route += 1;
            return;
        };
        match wire.pack() {
            Some(payload) => self.send(through, &Wire::Relay { to, payload: &payload }),
            None => self.counts.unsent += 1,
        }
    }

    /// Relays a message of a neighbour. The origin is the member that the link belongs to, not one that the
    /// message names.
    pub(super) fn relay_message(&mut self, now: Micros, peer: usize, to: Life, payload: &[u8]) {
        let from = self.relay_routes.neighbour(peer).cloned();
        let index =
            self.peer_indexes.get(&to.name).copied().filter(|at| *at != peer && to.name != self.cfg.own.name);
        let (Some(from), Some(index)) = (from, index) else {
            self.counts.misrouted += 1;
            return;
        };
        // Against flooding: a message beyond the neighbour's quota is not even answered.
        if !self.relay_routes.admit(now, peer, payload.len()) {
            self.counts.overloaded += 1;
            return;
        }
        if self.relay_routes.neighbour(index).is_none() {
            return self.send(peer, &Wire::NoRoute { to: to.name });
        }
        self.counts.relayed += 1;
        self.send(index, &Wire::Relayed { from, to, payload });
    }

    /// Handles a message that a neighbour relayed. Only the life that it is for accepts it: it may answer a
    /// question of an earlier life.
    pub(super) fn handle_relayed(&mut self, now: Micros, peer: usize, from: Life, to: &Life, payload: &[u8]) {
        let index =
            self.peer_indexes.get(&from.name).copied().filter(|at| *at != peer && from.name != to.name);
        let Some(index) = index.filter(|_| *to == self.cfg.own) else {
            self.counts.misrouted += 1;
            return;
        };
        let Some(wire) = Wire::unpack(payload).filter(Wire::is_relayable) else {
            self.counts.undecodable += 1;
            return;
        };
        self.relay_routes.learn_route(index, peer);
        let source = MessageSource { name: from.name.clone(), peer: index, relayed_life: Some(from) };
        self.handle_member_message(now, &source, wire);
    }

    /// Handles a neighbour's reply that it has no link to the receiver either. The message is lost; a report
    /// is soon followed by the next one.
    pub(super) fn handle_no_route(&mut self, now: Micros, peer: usize, to: &Name) {
        let Some(index) = self.peer_indexes.get(to).copied() else {
            self.counts.misrouted += 1;
            return;
        };
        if self.relay_routes.no_route(index, peer)
            && self.replicas.leader().is_some_and(|(_, life)| life.name == *to)
        {
            self.report_at = self.report_at.min(now);
        }
    }
}

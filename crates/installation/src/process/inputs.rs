//! Inputs, each to the part that it is for.

use super::Installation;
use super::carry::Sayer;
use crate::Micros;
use crate::asks;
use crate::machine::Body;
use crate::page::Page;
use crate::seam::{Input, Output};
use crate::wire::Wire;
use heronroute_fleet::replicas::Lane;
use heronroute_fleet::{Life, Start};
use heronroute_journal::Storage;

impl<S: Storage> Installation<S> {
    pub(super) fn take(&mut self, now: Micros, input: Input) {
        match input {
            Input::Tick => {}
            Input::Linked { peer, life } => self.link(now, peer, Some(life)),
            Input::Unlinked { peer } => self.link(now, peer, None),
            Input::Message { peer, payload } => self.message(now, peer, &payload),
            Input::Outlived(start) => self.over(start),
            Input::ClientRequest(ask) => self.ask(now, ask),
            Input::Live(live) => self.live(now, live),
            Input::DryRunResult(weighed) => {
                let whole = self.weighings.sender(&weighed);
                self.weighed(whole);
            }
            Input::Health(health) => self.health = health,
            Input::TookUp(took) => self.took_up(took),
            Input::Copies(copies) => self.copied(copies),
            Input::Clients(clients) => {
                self.cfg.clients = clients;
                // As at the beginning of a term, and behind it: guards against plans of before that are still on their way.
                if let Some(charge) = self.in_charge(now) {
                    self.errands.replace(vec![Body::Begin { term: charge.term }]);
                }
            }
        }
    }

    fn link(&mut self, now: Micros, peer: usize, life: Option<Life>) {
        let Some(name) = self.cfg.peers.get(peer).map(|p| p.name.clone()) else { return };
        if name == self.cfg.own.name {
            return;
        }
        let stands = life.is_some();
        match life {
            Some(life) => self.detour.linked(peer, life),
            None => self.detour.unlinked(peer),
        }
        let stood = self.members.rows().get(peer).is_some_and(|row| row.linked);
        self.members.link(now, peer, stands);
        match (stood, stands) {
            (false, true) => self.linked += 1,
            (true, false) => self.linked = self.linked.saturating_sub(1),
            _ => {}
        }
        if stands {
            self.replicas.reconnected(now, &name);
        } else {
            self.replicas.lost(now, &name);
        }
    }

    fn message(&mut self, now: Micros, peer: usize, payload: &[u8]) {
        let name = self.cfg.peers.get(peer).map(|p| p.name.clone());
        let (Some(name), Some(wire)) = (name, Wire::unpack(payload)) else {
            self.counts.undecodable += 1;
            return;
        };
        let agrees = self.allows().agrees;
        match wire {
            Wire::Gossip(octets) => self.members.receive(now, peer, octets),
            // Of a life that is over nothing is promised any more.
            Wire::Agreement(_) | Wire::Log(_) if !agrees => {}
            Wire::Agreement(octets) => self.replicas.handle(now, &name, Lane::Agreement, octets),
            Wire::Log(octets) => self.replicas.handle(now, &name, Lane::Log, octets),
            // As of a life that is over: it hands nothing on.
            Wire::Carry { .. } | Wire::Carried { .. } | Wire::Astray { .. } if !agrees => {}
            Wire::Carry { to, payload } => self.carry(now, peer, to, payload),
            Wire::Carried { from, to, payload } => self.carried(now, peer, from, &to, payload),
            Wire::Astray { to } => self.astray(now, peer, &to),
            wire => self.said(now, &Sayer { name, peer, carried: None }, wire),
        }
    }

    /// What comes over a member's own link or through a neighbour.
    pub(super) fn said(&mut self, now: Micros, sayer: &Sayer, wire: Wire<'_>) {
        match wire {
            Wire::Drift(pieces) => {
                for piece in pieces {
                    self.piece(now, sayer, piece);
                }
            }
            Wire::Seek { number } => self.sought(now, sayer, number, &Page::default()),
            Wire::Page { number, after, most } => match Page::of(&after, most) {
                Ok(page) => self.sought(now, sayer, number, &page),
                Err(_) => self.counts.undecodable += 1,
            },
            Wire::Shown { number, text } => self.shown(&sayer.name, number, text),
            Wire::DryRun { number, client, rules } => self.weigh_for(now, sayer, number, &client, rules),
            Wire::DryRunResult { number, would } => {
                let whole = self.weighings.member(sayer.peer, number, would);
                self.weighed(whole);
            }
            // Never carried, and heard before this.
            Wire::Gossip(_) | Wire::Agreement(_) | Wire::Log(_) => {}
            Wire::Carry { .. } | Wire::Carried { .. } | Wire::Astray { .. } => {}
        }
    }

    /// This life is over.
    pub(super) fn over(&mut self, start: Start) {
        if start <= self.cfg.own.start || self.outlived.is_some_and(|known| known >= start) {
            return;
        }
        tracing::warn!(
            start = start.0,
            "a later start of this member's name is known: this life says nothing more"
        );
        let first = self.outlived.is_none();
        self.outlived = Some(start);
        if first {
            self.end_asks();
            if !self.cfg.raised {
                self.outputs.push(Output::StartAbove(start));
            }
        }
    }

    /// Guards against clients that would never hear: the life that begins anew knows nothing of what this one was asked. What
    /// waits for the keepers may be decided yet; asked again, it is the same request.
    pub(super) fn end_asks(&mut self) {
        self.stand(self.last);
        let (requests, sought) = self.open.end();
        for ask in requests {
            self.told(asks::no_majority(&ask));
        }
        for ask in sought {
            self.nothing_known(&ask);
        }
    }
}

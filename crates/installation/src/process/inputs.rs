//! Dispatch of inputs to the components.

use super::Installation;
use super::relay::MessageSource;
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
    pub(super) fn handle_input(&mut self, now: Micros, input: Input) {
        match input {
            Input::Tick => {}
            Input::Linked { peer, life } => self.handle_link(now, peer, Some(life)),
            Input::Unlinked { peer } => self.handle_link(now, peer, None),
            Input::Message { peer, payload } => self.handle_message(now, peer, &payload),
            Input::Outlived(start) => self.life_is_over(start),
            Input::ClientRequest(client_request) => self.handle_client_request(now, client_request),
            Input::Live(live) => self.handle_live(now, live),
            Input::DryRunResult(weighed) => {
                let complete = self.dry_runs.sender_answered(&weighed);
                self.finish_dry_run(complete);
            }
            Input::Health(health) => self.health = health,
            Input::TakeoverStored(took) => self.handle_takeover_done(took),
            Input::Copies(copies) => self.handle_copies(copies),
            Input::Clients(clients) => {
                self.cfg.clients = clients;
                // As at the beginning of a term, and after it in the log: plans of the old settings may still
                // be on their way.
                if let Some(lease) = self.in_charge(now) {
                    self.proposals.replace(vec![Body::BeginTerm { term: lease.term }]);
                }
            }
        }
    }

    fn handle_link(&mut self, now: Micros, peer: usize, life: Option<Life>) {
        let Some(name) = self.cfg.peers.get(peer).map(|p| p.name.clone()) else { return };
        if name == self.cfg.own.name {
            return;
        }
        let is_linked = life.is_some();
        match life {
            Some(life) => self.relay_routes.linked(peer, life),
            None => self.relay_routes.unlinked(peer),
        }
        let was_linked = self.members.rows().get(peer).is_some_and(|row| row.linked);
        self.members.link(now, peer, is_linked);
        match (was_linked, is_linked) {
            (false, true) => self.linked += 1,
            (true, false) => self.linked = self.linked.saturating_sub(1),
            _ => {}
        }
        if is_linked {
            self.replicas.reconnected(now, &name);
        } else {
            self.replicas.lost(now, &name);
        }
    }

    fn handle_message(&mut self, now: Micros, peer: usize, payload: &[u8]) {
        let name = self.cfg.peers.get(peer).map(|p| p.name.clone());
        let (Some(name), Some(wire)) = (name, Wire::unpack(payload)) else {
            self.counts.undecodable += 1;
            return;
        };
        let agrees = self.allows().agrees;
        match wire {
            Wire::Gossip(bytes) => self.members.receive(now, peer, bytes),
            // A life that is over takes no part in agreement.
            Wire::Agreement(_) | Wire::Log(_) if !agrees => {}
            Wire::Agreement(bytes) => self.replicas.handle(now, &name, Lane::Agreement, bytes),
            Wire::Log(bytes) => self.replicas.handle(now, &name, Lane::Log, bytes),
            // Nor does it relay anything.
            Wire::Relay { .. } | Wire::Relayed { .. } | Wire::NoRoute { .. } if !agrees => {}
            Wire::Relay { to, payload } => self.relay_message(now, peer, to, payload),
            Wire::Relayed { from, to, payload } => self.handle_relayed(now, peer, from, &to, payload),
            Wire::NoRoute { to } => self.handle_no_route(now, peer, &to),
            wire => self.handle_member_message(now, &MessageSource { name, peer, relayed_life: None }, wire),
        }
    }

    /// Handles a message that came over a member's own link or through a neighbour.
    pub(super) fn handle_member_message(&mut self, now: Micros, source: &MessageSource, wire: Wire<'_>) {
        match wire {
            Wire::Drift(pieces) => {
                for piece in pieces {
                    self.handle_piece(now, source, piece);
                }
            }
            Wire::DriftQuery { number } => self.handle_drift_query(now, source, number, &Page::default()),
            Wire::Page { number, after, most } => match Page::of(&after, most) {
                Ok(page) => self.handle_drift_query(now, source, number, &page),
                Err(_) => self.counts.undecodable += 1,
            },
            Wire::DriftAnswer { number, text } => self.handle_drift_answer(&source.name, number, text),
            Wire::DryRun { number, client, rules } => {
                self.dry_run_for_member(now, source, number, &client, rules)
            }
            Wire::DryRunResult { number, would } => {
                let complete = self.dry_runs.member_answered(source.peer, number, would);
                self.finish_dry_run(complete);
            }
            // These are never relayed and were handled before.
            Wire::Gossip(_) | Wire::Agreement(_) | Wire::Log(_) => {}
            Wire::Relay { .. } | Wire::Relayed { .. } | Wire::NoRoute { .. } => {}
        }
    }

    /// Handles the news that this life is over, because a later start of its name is known.
    pub(super) fn life_is_over(&mut self, start: Start) {
        if start <= self.cfg.own.start || self.outlived.is_some_and(|known| known >= start) {
            return;
        }
        tracing::warn!(
            start = start.0,
            "a later start of this member's name is known; this life stops sending"
        );
        let first = self.outlived.is_none();
        self.outlived = Some(start);
        if first {
            self.answer_all_pending();
            if !self.cfg.raised {
                self.outputs.push(Output::StartAbove(start));
            }
        }
    }

    /// Answers all waiting clients: the next life knows nothing of this life's requests, so they would never
    /// get an answer. A request that waits for the keepers may still be committed; repeated, it counts as the
    /// same request.
    pub(super) fn answer_all_pending(&mut self) {
        self.update_condition(self.latest_time);
        let (requests, queries) = self.pending.take_all();
        for client_request in requests {
            self.answer_client(asks::no_majority(&client_request));
        }
        for client_request in queries {
            self.answer_unknown(&client_request);
        }
    }
}

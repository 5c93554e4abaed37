//! Drift messages, sent by the leader and to it.

use super::Installation;
use super::relay::MessageSource;
use crate::Micros;
use crate::leader::DriftMonitor;
use crate::seam::Output;
use crate::wire::Piece;
use heronroute_drift::{Action, Order, accepts};
use heronroute_fleet::Life;
use heronroute_journal::Storage;
use heronroute_rules::seam::Live;

impl<S: Storage> Installation<S> {
    /// Handles a node's report of what it applies.
    pub(super) fn handle_live(&mut self, now: Micros, live: Live) {
        let sent = self.applier.sent(&live.client);
        if let Some(answer) = self.reports.live(self.wall, live, sent) {
            self.send_to_leader(now, Piece::ChallengeAnswer(answer));
        }
        self.report_at = self.report_at.min(now);
    }

    /// Handles a drift message of a member. Whatever it says of itself has to be about that member, and about
    /// the very life named by the relay if it was relayed.
    pub(super) fn handle_piece(&mut self, now: Micros, source: &MessageSource, piece: Piece) {
        let own = &self.cfg.own;
        let its = |life: &Life| match &source.relayed_life {
            Some(relayed) => *life == *relayed,
            None => life.name == source.name,
        };
        let fits = match &piece {
            Piece::Report { report, .. } => its(&report.life),
            Piece::TreeReply(tell) => its(&tell.life),
            Piece::ChallengeAnswer(answer) => its(&answer.life),
            Piece::Ack(ack) => ack.to == *own,
            Piece::Ask(ask) => ask.to == *own,
            Piece::Challenge(challenge) => challenge.to == *own,
            Piece::Order { order, .. } => order.to == *own,
            Piece::LeaseRequest(ask) => its(&ask.life),
            Piece::LeaseGrant(give) => {
                // A relayed lease counts only from the life that the log names as leader, so that a relay
                // can't make one up.
                let leads = |l: &Life| self.replicas.leader().is_some_and(|(_, life)| life == l);
                let keeper = self.cfg.peers.iter().any(|p| p.keeper && p.name == source.name);
                give.to == *own && keeper && source.relayed_life.as_ref().is_none_or(leads)
            }
        };
        if !fits {
            self.counts.misrouted += 1;
            return;
        }
        match piece {
            Piece::Report { .. } | Piece::TreeReply(_) | Piece::ChallengeAnswer(_) => {
                self.handle_at_keeper(now, piece)
            }
            Piece::Ack(ack) => {
                if self.reports.reporter.handle_ack(&ack) {
                    self.report_at = self.report_at.min(now);
                }
            }
            Piece::Ask(ask) => {
                if let Some(tell) = self.reports.reporter.tell(&ask) {
                    self.queue_piece(source.peer, Piece::TreeReply(tell));
                }
            }
            Piece::Challenge(challenge) => self.handle_challenge(now, challenge),
            Piece::Order { order, answers } => self.handle_order(now, source, order, answers),
            Piece::LeaseRequest(ask) => self.handle_lease_request(now, &ask),
            Piece::LeaseGrant(give) => self.handle_lease(now, &give),
        }
    }

    fn handle_at_keeper(&mut self, now: Micros, piece: Piece) {
        let Some(drift_monitor) = &mut self.drift_monitor else { return };
        match piece {
            Piece::Report { report, sent } => drift_monitor.report(now, &report, sent),
            Piece::TreeReply(tell) => drift_monitor.detector_mut().tell(now, &tell),
            Piece::ChallengeAnswer(answer) => {
                let client = drift_monitor.detector().challenged(&answer).map(str::to_owned);
                let desired = client.and_then(|c| self.machine.registry().desired(&c));
                if let Some(desired) = desired {
                    drift_monitor.detector_mut().answer(now, &answer, &desired.set);
                }
            }
            _ => {}
        }
    }

    fn handle_challenge(&mut self, now: Micros, challenge: heronroute_drift::Challenge) {
        let client = challenge.client.clone();
        if let Some(apply) = self.applier.resend(&client)
            && self.reports.challenge(challenge)
        {
            self.reports.expect_answers(now);
            self.outputs.push(Output::Apply(apply));
        }
    }

    /// Handles an order. It counts if it comes from the leader in the log, in its term, and answers a report
    /// that this life sent a short while ago.
    fn handle_order(&mut self, now: Micros, source: &MessageSource, order: Order, answers: Micros) {
        let known = self.replicas.term().max(self.obeyed_term);
        let leads = match self.replicas.leader() {
            Some((term, life)) if *term == order.term => life.name == source.name,
            // A term that this member's log does not have yet: its keeper may know it. A relayed message does
            // not suffice: one that named a term far ahead would have all later orders refused.
            _ => {
                source.relayed_life.is_none()
                    && self.cfg.peers.iter().any(|p| p.keeper && p.name == source.name)
            }
        };
        if !self.allows().obeys || !leads || !accepts(order.term, known) {
            self.counts.orders_refused += 1;
            return;
        }
        if answers > now || now > answers.saturating_add(self.cfg.timing.order_valid_for) {
            self.counts.orders_late += 1;
            return;
        }
        self.obeyed_term = order.term;
        self.reports.reporter.term(order.term);
        self.execute_order(order.act);
    }

    /// Executes an order. An order never says what to apply: it only has the rules from the log applied once
    /// more.
    fn execute_order(&mut self, act: Action) {
        match act {
            Action::SendAgain { clients } | Action::TakeBack { clients } => {
                let known = |client: &&String| self.machine.registry().desired(client).is_some();
                let clients: Vec<_> = clients.iter().filter(known).cloned().collect();
                clients.iter().for_each(|client| self.applier.force_resend(client));
            }
            Action::SendWhole { except } => {
                let all = self.machine.registry().all().map(|d| d.client);
                let all: Vec<String> = all.filter(|client| !except.contains(client)).collect();
                all.iter().for_each(|client| self.applier.force_resend(client));
            }
            // Fences come by the log alone: one set by an order would be forgotten at a restart.
            Action::Fence { .. } | Action::Lift { .. } => self.counts.orders_refused += 1,
            Action::TellOperator { text } => tracing::warn!(text, "drift"),
        }
    }

    /// Sends the outputs of the drift monitor.
    pub(super) fn drain_drift_monitor(&mut self, now: Micros) {
        while let Some(body) = self.drift_monitor.as_mut().and_then(DriftMonitor::next_fence) {
            self.proposals.add(body);
        }
        while let Some((to, piece)) =
            self.drift_monitor.as_mut().and_then(|drift_monitor| drift_monitor.poll())
        {
            if to == self.cfg.own {
                let peer = self.peer_indexes.get(&to.name).copied().unwrap_or(0);
                self.handle_piece(now, &MessageSource { name: to.name, peer, relayed_life: None }, piece);
            } else {
                self.queue_piece_to(&to, piece);
            }
        }
    }

    /// Sends a message to the leader in the log; if that is this member, handles it directly.
    pub(super) fn send_to_leader(&mut self, now: Micros, piece: Piece) {
        let Some(leader) = self.replicas.leader().map(|(_, life)| life.clone()) else { return };
        if leader.name == self.cfg.own.name {
            match piece {
                Piece::LeaseRequest(ask) => self.handle_lease_request(now, &ask),
                piece => self.handle_at_keeper(now, piece),
            }
        } else {
            self.queue_piece_to(&leader, piece);
        }
    }

    pub(super) fn queue_piece_to(&mut self, to: &Life, piece: Piece) {
        if let Some(peer) = self.peer_indexes.get(&to.name).copied() {
            self.queue_piece(peer, piece);
        }
    }

    fn queue_piece(&mut self, peer: usize, piece: Piece) {
        // Nothing is sent to oneself.
        if self.cfg.peers.get(peer).is_some_and(|p| p.name != self.cfg.own.name) {
            self.drift_outbox.entry(peer).or_default().push(piece);
        } else {
            let now = self.latest_time;
            self.handle_at_keeper(now, piece);
        }
    }
}

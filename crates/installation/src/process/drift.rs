//! What is said of drift: by the member in charge and to it.

use super::Installation;
use super::carry::Sayer;
use crate::Micros;
use crate::charge::Watch;
use crate::seam::Output;
use crate::wire::Piece;
use heronroute_drift::{Act, Order, accepts};
use heronroute_fleet::Life;
use heronroute_journal::Storage;
use heronroute_rules::seam::Live;

impl<S: Storage> Installation<S> {
    /// A node says what it applies.
    pub(super) fn live(&mut self, now: Micros, live: Live) {
        let sent = self.applier.sent(&live.client);
        if let Some(answer) = self.reports.live(self.wall, live, sent) {
            self.report_to_charge(now, Piece::Answer(answer));
        }
        self.report_at = self.report_at.min(now);
    }

    /// A piece came from a member; whatever it says of itself has to be its own, and of this very life where another handed it on.
    pub(super) fn piece(&mut self, now: Micros, sayer: &Sayer, piece: Piece) {
        let own = &self.cfg.own;
        let its = |life: &Life| match &sayer.carried {
            Some(carried) => *life == *carried,
            None => life.name == sayer.name,
        };
        let fits = match &piece {
            Piece::Report { report, .. } => its(&report.life),
            Piece::Tell(tell) => its(&tell.life),
            Piece::Answer(answer) => its(&answer.life),
            Piece::Ack(ack) => ack.to == *own,
            Piece::Ask(ask) => ask.to == *own,
            Piece::Challenge(challenge) => challenge.to == *own,
            Piece::Order { order, .. } => order.to == *own,
            Piece::Right(ask) => its(&ask.life),
            Piece::Given(give) => {
                // Handed on by another, it counts only from the life that the log has in charge: guards against a right made up
                // by a carrier.
                let leads = |l: &Life| self.replicas.leader().is_some_and(|(_, life)| life == l);
                let keeper = self.cfg.peers.iter().any(|p| p.keeper && p.name == sayer.name);
                give.to == *own && keeper && sayer.carried.as_ref().is_none_or(leads)
            }
        };
        if !fits {
            self.counts.misrouted += 1;
            return;
        }
        match piece {
            Piece::Report { .. } | Piece::Tell(_) | Piece::Answer(_) => self.watched(now, piece),
            Piece::Ack(ack) => {
                if self.reports.reporter.acked(&ack) {
                    self.report_at = self.report_at.min(now);
                }
            }
            Piece::Ask(ask) => {
                if let Some(tell) = self.reports.reporter.tell(&ask) {
                    self.say(sayer.peer, Piece::Tell(tell));
                }
            }
            Piece::Challenge(challenge) => self.challenged(now, challenge),
            Piece::Order { order, answers } => self.order(now, sayer, order, answers),
            Piece::Right(ask) => self.right_asked(now, &ask),
            Piece::Given(give) => self.right_given(now, &give),
        }
    }

    fn watched(&mut self, now: Micros, piece: Piece) {
        let Some(watch) = &mut self.watch else { return };
        match piece {
            Piece::Report { report, sent } => watch.report(now, &report, sent),
            Piece::Tell(tell) => watch.detector_mut().tell(now, &tell),
            Piece::Answer(answer) => {
                let client = watch.detector().challenged(&answer).map(str::to_owned);
                let desired = client.and_then(|c| self.machine.registry().desired(&c));
                if let Some(desired) = desired {
                    watch.detector_mut().answer(now, &answer, &desired.set);
                }
            }
            _ => {}
        }
    }

    fn challenged(&mut self, now: Micros, challenge: heronroute_drift::Challenge) {
        let client = challenge.client.clone();
        if let Some(apply) = self.applier.again(&client)
            && self.reports.challenge(challenge)
        {
            self.reports.asked(now);
            self.outputs.push(Output::Apply(apply));
        }
    }

    /// An order counts where it comes from the one that the log puts in charge, in its term, as an answer to a report that
    /// this life sent a short while ago.
    fn order(&mut self, now: Micros, sayer: &Sayer, order: Order, answers: Micros) {
        let known = self.replicas.term().max(self.obeyed);
        let leads = match self.replicas.leader() {
            Some((term, life)) if *term == order.term => life.name == sayer.name,
            // A term that the log has not told here yet: its keeper may know. A carrier's word is not enough for that: one that
            // named a term far ahead would have all later orders refused.
            _ => sayer.carried.is_none() && self.cfg.peers.iter().any(|p| p.keeper && p.name == sayer.name),
        };
        if !self.allows().obeys || !leads || !accepts(order.term, known) {
            self.counts.orders_refused += 1;
            return;
        }
        if answers > now || now > answers.saturating_add(self.cfg.pace.order) {
            self.counts.orders_late += 1;
            return;
        }
        self.obeyed = order.term;
        self.reports.reporter.term(order.term);
        self.act(order.act);
    }

    /// Nothing of what is applied comes from an order: it only has what the log says applied once more.
    fn act(&mut self, act: Act) {
        match act {
            Act::SendAgain { clients } | Act::TakeBack { clients } => {
                let known = |client: &&String| self.machine.registry().desired(client).is_some();
                let clients: Vec<_> = clients.iter().filter(known).cloned().collect();
                clients.iter().for_each(|client| self.applier.mend(client));
            }
            Act::SendWhole { except } => {
                let all = self.machine.registry().all().map(|d| d.client);
                let all: Vec<String> = all.filter(|client| !except.contains(client)).collect();
                all.iter().for_each(|client| self.applier.mend(client));
            }
            // Fences come by the log alone: one by an order would be known to nobody after a restart.
            Act::Fence { .. } | Act::Lift { .. } => self.counts.orders_refused += 1,
            Act::TellOperator { text } => tracing::warn!(text, "drift"),
        }
    }

    /// What the watch wants said.
    pub(super) fn watch_out(&mut self, now: Micros) {
        while let Some(body) = self.watch.as_mut().and_then(Watch::fence) {
            self.errands.add(body);
        }
        while let Some((to, piece)) = self.watch.as_mut().and_then(|watch| watch.poll()) {
            if to == self.cfg.own {
                let peer = self.places.get(&to.name).copied().unwrap_or(0);
                self.piece(now, &Sayer { name: to.name, peer, carried: None }, piece);
            } else {
                self.say_to(&to, piece);
            }
        }
    }

    /// To whoever is in charge by the log; to oneself without a detour.
    pub(super) fn report_to_charge(&mut self, now: Micros, piece: Piece) {
        let Some(leader) = self.replicas.leader().map(|(_, life)| life.clone()) else { return };
        if leader.name == self.cfg.own.name {
            match piece {
                Piece::Right(ask) => self.right_asked(now, &ask),
                piece => self.watched(now, piece),
            }
        } else {
            self.say_to(&leader, piece);
        }
    }

    pub(super) fn say_to(&mut self, to: &Life, piece: Piece) {
        if let Some(peer) = self.places.get(&to.name).copied() {
            self.say(peer, piece);
        }
    }

    fn say(&mut self, peer: usize, piece: Piece) {
        // To oneself nothing is sent.
        if self.cfg.peers.get(peer).is_some_and(|p| p.name != self.cfg.own.name) {
            self.pieces.entry(peer).or_default().push(piece);
        } else {
            let now = self.last;
            self.watched(now, piece);
        }
    }
}

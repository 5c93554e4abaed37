//! Handles messages from other replicas: identifies the sender, decides whether the message counts, and only
//! then acts on its content.

use super::Counts;
use super::check::{self, CONFIGURATION, Verdict};
use super::item::Item;
use super::peers::MessageOrder;
use super::record::{Mark, Record, Seen};
use super::replica::{CatchUp, Replica, term_of};
use super::wire::{Head, ReplicaMessage, unpack};
use crate::Micros;
use heronroute_journal::Storage;
use omnipaxos::messages::Message;
use omnipaxos::messages::sequence_paxos::{PaxosMessage, PaxosMsg};

impl<S: Storage> Replica<S> {
    /// Handles a message from another replica.
    pub(super) fn receive(&mut self, now: Micros, from: u8, bytes: &[u8], counts: &mut Counts) {
        let Some((head, content)) = unpack::<(Head, ReplicaMessage)>(bytes) else {
            counts.undecodable += 1;
            return;
        };
        let count = self.group.count;
        let at = usize::from(from).wrapping_sub(1);
        let (Some(peer), Some(known)) = (self.peers.get_mut(at), self.seen.get(at)) else { return };
        if head.group != self.group.digest || head.seen.len() != count || head.epochs.len() != count {
            counts.foreign += 1;
            return;
        }
        if head.nonce == 0 || head.sent < 0 || from == self.own {
            counts.refused += 1;
            return;
        }
        let order = peer.hear(now, self.nonce, &head, known, self.tuning.fresh);
        match order {
            MessageOrder::Late => {
                counts.late += 1;
                return;
            }
            MessageOrder::Stale => {
                counts.stale += 1;
                self.send_hello(from, false);
                return;
            }
            MessageOrder::Gap => {
                counts.gaps += 1;
                if peer.last_gap_report.is_none_or(|at| now >= at.saturating_add(2 * self.tuning.tick)) {
                    peer.last_gap_report = Some(now);
                    self.outbox.push((from, ReplicaMessage::Gap));
                }
                self.reconnected(from);
            }
            MessageOrder::NewLife => self.reconnected(from),
            MessageOrder::Next => {}
        }
        self.merge_marks(at, &head);
        let for_us = head.to == self.nonce && head.voting;
        match content {
            ReplicaMessage::Hello(spot) => self.compare(from, &spot, counts),
            ReplicaMessage::Gap => self.reconnected(from),
            ReplicaMessage::Behind(decided) => {
                let lacks = decided > self.shared.log().state().decided;
                if lacks && self.omni.take().is_some() {
                    let until = now.saturating_add(4 * self.tuning.pull);
                    self.catch_up = Some(CatchUp { source: from, target: decided, until });
                    self.newer_replica = Some(from);
                }
            }
            ReplicaMessage::Paxos(message) if for_us => self.handle_paxos(now, from, message, counts),
            ReplicaMessage::Renew { term, sent, held } if for_us => {
                let follows = self.omni.as_ref().is_some_and(|o| term_of(&o.get_promise()) == term);
                if follows && held {
                    self.leader_confirmed_at = now;
                }
                if follows && self.grants.grant(now, (from, head.nonce), term, &self.tuning) {
                    self.outbox.push((from, ReplicaMessage::Grant { term, sent }));
                }
            }
            ReplicaMessage::Grant { term, sent } if for_us => self.lease.granted(at, term, sent, now),
            ReplicaMessage::Admit { nonce, slot, ballot } if nonce == self.nonce && for_us => {
                if ballot.pid == u64::from(from) && ballot.config_id == CONFIGURATION {
                    self.admission = Some((slot, ballot));
                }
            }
            _ => counts.refused += 1,
        }
    }

    /// Merges the marks and readmissions that the sender knows.
    fn merge_marks(&mut self, from: usize, head: &Head) {
        let own = usize::from(self.own).wrapping_sub(1);
        for (i, (mine, theirs)) in self.seen.iter_mut().zip(&head.seen).enumerate() {
            if i != own && theirs.mark > mine.mark {
                *mine = *theirs;
            }
        }
        if let Some(seen) = self.seen.get_mut(from)
            && head.mark > seen.mark
        {
            *seen = Seen { mark: head.mark, nonce: head.nonce };
        }
        let of_me = head.seen.get(own).map_or(Mark::default(), |s| s.mark);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.seen_of_us = of_me;
        }
        let mut log = self.shared.log();
        if log.state().voting && of_me > log.state().mark() {
            // This disk is older than what was sent from it, so its promises are lost.
            log.write(Record::Lost);
            drop(log);
            self.omni = None;
        } else {
            drop(log);
        }
        let mut newer = false;
        for (i, (mine, theirs)) in self.epochs.iter_mut().zip(&head.epochs).enumerate() {
            if i != own && theirs > mine {
                *mine = *theirs;
                newer = true;
            }
        }
        let led = self.omni.as_ref().is_some_and(|o| o.get_promise().pid == u64::from(self.own));
        if newer && led {
            // A promise counted here may come from a life whose disk was lost and that was readmitted since.
            self.rebuild();
        }
    }

    fn handle_paxos(&mut self, now: Micros, from: u8, mut message: Message<Item>, counts: &mut Counts) {
        let Some(omni) = &mut self.omni else { return };
        let verdict = {
            let log = self.shared.log();
            let (own, count) = (u64::from(self.own), self.group.count as u64);
            let leads = omni.get_current_leader() == Some((own, true));
            check::check(&mut message, u64::from(from), own, count, log.state(), leads)
        };
        match verdict {
            Verdict::Take => {
                if let Message::SequencePaxos(PaxosMessage { msg: PaxosMsg::Prepare(prepare), .. }) = &message
                    && prepare.n == omni.get_promise()
                    && omni.get_current_leader() == Some((u64::from(from), true))
                {
                    // The leader doesn't know of a promise that this replica assumes it has received. It
                    // would ask for ever, because `omnipaxos` treats the message as a repetition.
                    omni.reconnected(u64::from(from));
                }
                let above = matches!(&message,
                    Message::SequencePaxos(PaxosMessage { msg: PaxosMsg::PrepareReq(m), .. }) if m.n > omni.get_promise());
                omni.handle_incoming(message);
                if above {
                    self.raise_ballot(now, from);
                }
            }
            Verdict::Drop => counts.refused += 1,
            Verdict::Behind => {
                let decided = self.shared.log().state().decided;
                self.outbox.push((from, ReplicaMessage::Behind(decided)));
            }
        }
    }

    /// Handles a replica that asks for a prepare but has promised a greater ballot than this leader's: it was
    /// a candidate and restarted. `omnipaxos` makes the leader ignore it and keeps the others satisfied, so
    /// it would be excluded for as long as this leader leads. If a majority follows this leader throughout,
    /// the leader continues in a new ballot that the other replica can follow.
    fn raise_ballot(&mut self, now: Micros, from: u8) {
        let followed =
            self.leading_term().is_some() && self.lease.until(&self.tuning).is_some_and(|at| now < at);
        let Some(peer) = self.peers.get_mut(usize::from(from).wrapping_sub(1)) else { return };
        let fresh = self.tuning.fresh;
        let since = peer.above_since.filter(|since| now < since.saturating_add(3 * fresh)).unwrap_or(now);
        peer.above_since = Some(since);
        if now < since.saturating_add(fresh) {
            return;
        }
        peer.above_since = None;
        if let Some(omni) = self.omni.as_mut().filter(|_| followed) {
            omni.try_become_leader();
        }
    }
}

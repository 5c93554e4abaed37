//! A voting replica: `omnipaxos` on top of the replica's file. It receives only messages that a correct peer
//! may send, and its own messages leave only after the state they depend on is durable.

use super::Group;
use super::check::CONFIGURATION;
use super::item::Item;
use super::peers::Peer;
use super::record::{Mark, Record, Seen};
use super::store::SharedLog;
use super::tuning::{MAX_LOG_BYTES, MAX_UNDECIDED_BYTES, Tuning};
use super::wire::{Head, ReplicaMessage, pack};
use crate::Micros;
use crate::entry::Term;
use crate::lease::{Grants, Lease};
use crate::name::Life;
use heronroute_journal::Storage;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::messages::sequence_paxos::{Compaction, PaxosMessage, PaxosMsg};
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};

/// The result of proposing an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeOutcome {
    /// It is in the log, not decided yet.
    InLog,
    /// Another replica, with this number, leads.
    Leader(u8),
    /// Nobody leads, or this replica takes no part.
    NoLeader,
    /// There is no room.
    Busy,
}

/// Returns the term of a ballot. A greater ballot has a greater term, and a term belongs to one replica only.
pub fn term_of(ballot: &Ballot) -> Term {
    Term(u64::from(ballot.n) << 8 | ballot.pid)
}

/// The state of a replica that catches up before it takes part in consensus again.
#[derive(Clone, Copy, Debug)]
pub struct CatchUp {
    /// The replica that reported that this one lacks too much.
    pub source: u8,
    /// The number of decided slots at the source.
    pub target: u64,
    /// Catching up ends at this time if the source sends nothing: the others may need this replica to
    /// continue without the source.
    pub until: Micros,
}

/// A voting replica.
pub struct Replica<S: Storage> {
    pub(super) own: u8,
    pub(super) life: Life,
    pub(super) nonce: u64,
    pub(super) group: Group,
    pub(super) tuning: Tuning,
    pub(super) shared: SharedLog<S>,
    pub(super) omni: Option<OmniPaxos<Item, SharedLog<S>>>,
    pub(super) peers: Vec<Peer>,
    pub(super) seen: Vec<Seen>,
    pub(super) epochs: Vec<u64>,
    pub(super) opened: Mark,
    pub(super) started_at: Micros,
    /// The last time at which this replica learnt that the leader it follows is confirmed by a majority, or
    /// confirmed so itself as leader.
    pub(super) leader_confirmed_at: Micros,
    /// Whether the others have reported what they know of this replica's disk, or have had the time to.
    pub(super) ready: bool,
    /// Whether its file was restored from a copy and not verified yet. The replica then declares itself as
    /// not voting until all others have reported what they know of it, however long that takes, or have
    /// readmitted it.
    pub(super) copy_unverified: bool,
    /// Whether enough others have the log that this replica started with, as far as theirs go. Before that,
    /// nothing of it is delivered, served or agreed on.
    pub(super) log_verified: bool,
    /// Whether its log differed from the others', or didn't match its snapshot.
    pub(super) log_altered: bool,
    /// Whether its log was discarded since the last tick.
    pub(super) log_discarded: bool,
    /// The highest slot up to which any learner has the log.
    pub(super) max_requested_slot: u64,
    /// Set while it lacks more of the log than consensus may carry, and learns that part first.
    pub(super) catch_up: Option<CatchUp>,
    pub(super) admission: Option<(u64, Ballot)>,
    pub(super) grants: Grants,
    pub(super) lease: Lease,
    pub(super) announced_term: Term,
    pub(super) next_renewal: Micros,
    pub(super) next_hello: Micros,
    pub(super) outbox: Vec<(u8, ReplicaMessage)>,
    /// A replica that has what this one lacks.
    pub(super) newer_replica: Option<u8>,
}

impl<S: Storage> Replica<S> {
    pub(super) fn new(
        now: Micros,
        own: u8,
        life: Life,
        nonce: u64,
        group: Group,
        tuning: Tuning,
        shared: SharedLog<S>,
    ) -> Self {
        let log = shared.log();
        let (seen, epochs, opened) =
            (log.state().seen.clone(), log.state().epochs.clone(), log.state().mark());
        let copy_unverified = log.copied() && log.state().voting && group.count > 1;
        let log_verified = group.count == 1 || log.state().known() == 0;
        drop(log);
        let peers = vec![Peer::default(); group.count];
        let grants = Grants::new(now, &tuning);
        Replica {
            own,
            life,
            nonce,
            group,
            tuning,
            shared,
            omni: None,
            peers,
            seen,
            epochs,
            opened,
            started_at: now,
            leader_confirmed_at: now,
            ready: false,
            copy_unverified,
            log_verified,
            log_altered: false,
            log_discarded: false,
            max_requested_slot: 0,
            catch_up: None,
            admission: None,
            grants,
            lease: Lease::default(),
            announced_term: Term(0),
            next_renewal: now,
            next_hello: now,
            outbox: Vec::new(),
            newer_replica: None,
        }
    }

    pub(super) fn voting(&self) -> bool {
        self.shared.log().state().voting
    }

    pub(super) fn is_single(&self) -> bool {
        self.group.count == 1
    }

    pub(super) fn others(&self) -> impl Iterator<Item = u8> + use<S> {
        let own = self.own;
        (1..=self.group.count as u8).filter(move |pid| *pid != own)
    }

    /// Restarts consensus from the state on disk, as after a crash: nothing that was followed or led before
    /// continues.
    pub(super) fn rebuild(&mut self) {
        self.omni = None;
        if self.is_single() {
            return;
        }
        let cluster = ClusterConfig {
            configuration_id: CONFIGURATION,
            nodes: (1..=self.group.count as u64).collect(),
            flexible_quorum: None,
        };
        let server = ServerConfig {
            pid: u64::from(self.own),
            election_tick_timeout: self.tuning.election.max(1),
            resend_message_tick_timeout: self.tuning.resend.max(1),
            buffer_size: 64,
            ..ServerConfig::default()
        };
        match cluster.build_for_server(server, self.shared.clone()) {
            Ok(omni) => self.omni = Some(omni),
            Err(e) => self.shared.log().fail(e.to_string()),
        }
    }

    /// Returns the term in which this replica leads. The others may not know it yet, or may follow another
    /// one.
    pub(super) fn leading_term(&self) -> Option<Term> {
        if self.is_single() {
            let log = self.shared.log();
            return log.state().promise.filter(|_| self.ready && log.state().voting).as_ref().map(term_of);
        }
        let omni = self.omni.as_ref()?;
        let leads = omni.get_current_leader() == Some((u64::from(self.own), true));
        leads.then(|| term_of(&omni.get_promise()))
    }

    /// Returns whether a majority has answered lately.
    pub(super) fn majority(&self, now: Micros) -> bool {
        if self.is_single() {
            return self.leading_term().is_some();
        }
        let fresh = |p: &&Peer| p.voting && p.fresh(now, self.tuning.fresh);
        self.omni.is_some() && self.peers.iter().filter(fresh).count() + 1 > self.group.count / 2
    }

    /// Returns a ballot of this replica in which nobody leads, below all ballots that are led; see
    /// [`super::state::State::learn_records`].
    pub(super) fn unled_ballot(&self) -> Ballot {
        Ballot::with(CONFIGURATION, 0, 0, u64::from(self.own))
    }

    /// Returns the number of decided slots that its log has.
    pub(super) fn decided(&self) -> u64 {
        self.shared.log().state().known()
    }

    /// Returns whether it follows a leader that doesn't answer it, though others may still follow that leader
    /// (the chain).
    pub(super) fn leader_unreachable(&self, now: Micros) -> bool {
        let leader = self.omni.as_ref().map_or(0, |o| o.get_promise().pid);
        let at = usize::try_from(leader).unwrap_or(0).wrapping_sub(1);
        leader != u64::from(self.own) && self.peers.get(at).is_some_and(|p| !p.fresh(now, self.tuning.fresh))
    }

    /// Returns whether decisions bypass this replica. It may lead, or follow a leader, while a majority has
    /// confirmed another leader and neither is reachable from here: its links are up, but nobody informs it,
    /// and it would wait for ever.
    pub(super) fn bypassed(&self, now: Micros) -> bool {
        !self.is_single() && now >= self.leader_confirmed_at.saturating_add(self.tuning.lease)
    }

    pub(super) fn append(&mut self, item: Item) {
        if let Some(omni) = &mut self.omni {
            _ = omni.append(item);
        } else if self.is_single() {
            let mut log = self.shared.log();
            let end = log.state().end();
            log.write(Record::Put(end, vec![item]));
            log.write(Record::Decided(end + 1));
        }
    }

    pub(super) fn propose(&mut self, item: Item) -> ProposeOutcome {
        if self.leading_term().is_some() {
            let log = self.shared.log();
            let state = log.state();
            let undecided = state.octets_from(state.decided);
            if let Item::Asked(entry) = &item
                && state.is_open(&entry.request)
            {
                return ProposeOutcome::InLog;
            }
            let full =
                state.octets_from(state.compacted) >= MAX_LOG_BYTES || undecided >= MAX_UNDECIDED_BYTES;
            drop(log);
            if full {
                return ProposeOutcome::Busy;
            }
            self.append(item);
            return ProposeOutcome::InLog;
        }
        match self.omni.as_ref().and_then(OmniPaxos::get_current_leader) {
            Some((pid, _)) if pid != u64::from(self.own) => ProposeOutcome::Leader(pid as u8),
            _ => ProposeOutcome::NoLeader,
        }
    }

    /// Removes the log before this slot.
    pub(super) fn trim(&mut self, slot: u64) {
        let Some(omni) = &mut self.omni else { return self.shared.log().write(Record::Trim(slot)) };
        let prepares = omni.get_current_leader() == Some((u64::from(self.own), false));
        if prepares {
            // The promises that it receives may still need the earlier log.
            return;
        }
        let own = u64::from(self.own);
        let msg = PaxosMsg::Compaction(Compaction::Trim(slot as usize));
        omni.handle_incoming(Message::SequencePaxos(PaxosMessage { from: own, to: own, msg }));
    }

    /// Handles a new link to a replica: messages on the old one may be lost.
    pub(super) fn reconnected(&mut self, pid: u8) {
        if let Some(omni) = &mut self.omni {
            omni.reconnected(u64::from(pid));
        }
        self.send_hello(pid, false);
    }

    /// Makes all changes durable and encodes the messages that may be sent then. Sends nothing and returns
    /// false if the disk has failed.
    pub(super) fn flush(&mut self, now: Micros, sends: &mut Vec<(u8, Vec<u8>)>) -> bool {
        if let Some(omni) = &mut self.omni {
            let mut messages = Vec::new();
            omni.take_outgoing_messages(&mut messages);
            let to = |m: Message<Item>| (m.get_receiver() as u8, ReplicaMessage::Paxos(m));
            self.outbox.extend(messages.into_iter().map(to));
        }
        let mut log = self.shared.log();
        if log.has_pending() && log.state().seen != self.seen {
            log.write(Record::Seen(self.seen.clone()));
        }
        if !log.commit() {
            drop(log);
            self.outbox.clear();
            self.omni = None;
            return false;
        }
        let copy_unverified = self.copy_unverified || self.log_disputed();
        let (voting, mark) = (log.state().voting && !copy_unverified, log.state().mark());
        let epochs = log.state().epochs.iter().zip(&self.epochs).map(|(a, b)| *a.max(b)).collect();
        drop(log);
        self.epochs = epochs;
        for (pid, content) in std::mem::take(&mut self.outbox) {
            let Some(peer) = self.peers.get_mut(usize::from(pid).wrapping_sub(1)) else { continue };
            if pid == self.own {
                continue;
            }
            peer.number_out += 1;
            let head = Head {
                group: self.group.digest,
                start: self.life.start,
                nonce: self.nonce,
                to: peer.nonce,
                number: peer.number_out,
                voting,
                opened: self.opened,
                mark,
                seen: self.seen.clone(),
                epochs: self.epochs.clone(),
                sent: now,
                echo: peer.sent,
            };
            if let Some(bytes) = pack(&(head, content)) {
                sends.push((pid, bytes));
            }
        }
        true
    }
}

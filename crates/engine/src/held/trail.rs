//! Trails of open messages, and recovery of trails and held messages after a restart.

use super::{MAX_TRAIL_STEPS, stored_record};
use crate::node::Node;
use heronroute::MsgId;
use heronroute_held::{KnownOutcome, Store, Trail, What};
use heronroute_journal::{JournalState, Open};
use prost::Message as _;

impl Node {
    /// Returns whether the steps of a client's messages are recorded. Guards against recording the messages
    /// of all clients because the rules of one keep something, where the settings keep nothing.
    pub(crate) fn records_trail(&self, client: usize) -> bool {
        let parts = |s: &Store| self.cfg.held.is_some() || s.has_partitions(client as u32);
        self.held.as_ref().is_some_and(parts)
    }

    /// Returns the number that stands for a name in trails.
    pub(crate) fn trail_number(&mut self, name: &str) -> u32 {
        if let Some(n) = self.trail_numbers.get(name) {
            return *n;
        }
        let n = self.trail_names.len() as u32;
        self.trail_names.push(name.to_string());
        self.trail_numbers.insert(name.to_string(), n);
        n
    }

    /// Adds a step to the trail of an open message.
    pub(crate) fn add_trail_step(&mut self, id: MsgId, what: What) {
        let at = self.wall();
        if let Some(trail) = self.messages.get_mut(&id).and_then(|m| m.trail.as_mut()) {
            trail.add(at, what, MAX_TRAIL_STEPS);
        }
    }

    /// Records by which front and session a message came.
    pub(crate) fn set_trail_origin(&mut self, id: MsgId) {
        let Some(m) = self.messages.get(&id).filter(|m| m.trail.is_some()) else { return };
        let session = self.mailboxes.get(m.mailbox).map(|b| b.name.as_str()).unwrap_or_default();
        let name = format!("{:?}/{session}", m.speaks).to_lowercase();
        let number = self.trail_number(&name);
        if let Some(trail) = self.messages.get_mut(&id).and_then(|m| m.trail.as_mut()) {
            trail.by = number;
        }
    }

    /// Restores the trail of an open message after a restart. Attempts that had no effect are not known one
    /// by one any more.
    ///
    /// A message that was handed in again has two records: the held one, with all steps up to the hand-in, and the open one,
    /// with the attempts since. Each counts, as a later hand-in is decided by what may have run before.
    pub(crate) fn restore_trail(&mut self, open: &Open) {
        let accepted = &open.accepted;
        let id = MsgId(accepted.id);
        let client = self.messages.get(&id).map_or(0, |m| m.client);
        let Some(store) = self.held.as_ref().filter(|_| self.records_trail(client)) else { return };
        let before = store.get(id.0).and_then(|f| Trail::read(&f.trail));
        let is_held = before.is_some();
        let mut trail = before.unwrap_or_else(|| Trail::new(accepted.taken, 0));
        // Entries of earlier versions don't say that a message was handed in again.
        if accepted.resubmitted || is_held {
            let party = self.client_party(&accepted.client);
            let step = What::Resubmitted(party);
            trail.add(accepted.taken, step, MAX_TRAIL_STEPS);
            // The held record is shown until the message ends again.
            self.held.iter_mut().for_each(|store| store.note(accepted.taken, id.0, step));
        }
        if let Some(ran) = open.may_run.as_ref().filter(|ran| !trail.has_attempt_at(ran.at)) {
            let number = self.trail_number(&ran.endpoint);
            trail.add(ran.at, What::Began(number), MAX_TRAIL_STEPS);
            trail.add(ran.at, What::Ended(KnownOutcome::Written), MAX_TRAIL_STEPS);
        }
        if let Some(out) = &open.out {
            let number = self.trail_number(&out.endpoint);
            trail.add(out.at, What::Began(number), MAX_TRAIL_STEPS);
            trail.add(out.at, What::Ended(KnownOutcome::Lost), MAX_TRAIL_STEPS);
        }
        trail.add(self.wall(), What::Restarted, MAX_TRAIL_STEPS);
        if let Some(m) = self.messages.get_mut(&id) {
            m.trail = Some(Box::new(trail));
        }
        if !is_held {
            self.set_trail_origin(id);
        }
    }

    /// Returns the number that stands for a client in trails.
    pub(crate) fn client_party(&mut self, client: &str) -> u32 {
        self.trail_number(&format!("client {client}"))
    }

    /// Restores the held messages from the journal's state.
    pub(crate) fn restore_held(&mut self, state: &JournalState) {
        let now = self.wall();
        let mut dropped = Vec::new();
        for (id, held) in &state.held {
            let (Some(a), Some(mut trail)) = (&held.accepted, Trail::read(&held.trail)) else { continue };
            let numbers: Vec<u32> = held.names.iter().map(|n| self.trail_number(n)).collect();
            trail.rename(|n| numbers.get(n as usize).copied().unwrap_or(0));
            let client = self.client_index(&a.client);
            let class = self.class_names.get(&a.class).copied();
            let mut stored = stored_record(client, class, a.dest, &a.key, &trail);
            stored.message = Some(a.encode_to_vec().into());
            match state.open.get(id).map(|o| o.answer.is_some()) {
                Some(true) => _ = self.unacknowledged.insert(*id),
                Some(false) => stored.under_way = true,
                None => {}
            }
            let parts = self.held_parts_for(client, class, &a.destination, &a.key);
            if let Some(store) = &mut self.held {
                dropped.extend(store.file_in(now, *id, stored, parts));
            }
        }
        // The limits may be lower than they were, or the messages too old by now.
        self.write_released(&dropped);
    }
}

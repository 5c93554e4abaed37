//! Trails of open messages, and what is taken up after a restart.

use super::{STEPS, filed};
use crate::node::Node;
use heronroute::MsgId;
use heronroute_held::{Known, Store, Trail, What};
use heronroute_journal::{Book, Open};
use prost::Message as _;

impl Node {
    /// Whether what happens to a client's messages is noted. Guards against a client whose rules keep something, where
    /// the settings keep nothing, and who has all others pay for it.
    pub(crate) fn trails(&self, client: usize) -> bool {
        let parts = |s: &Store| self.cfg.held.is_some() || s.has_parts(client as u32);
        self.held.as_ref().is_some_and(parts)
    }

    /// The number of a name in trails.
    pub(crate) fn trail_number(&mut self, name: &str) -> u32 {
        if let Some(n) = self.trail_numbers.get(name) {
            return *n;
        }
        let n = self.trail_names.len() as u32;
        self.trail_names.push(name.to_string());
        self.trail_numbers.insert(name.to_string(), n);
        n
    }

    /// Something happened to an open message.
    pub(crate) fn step(&mut self, id: MsgId, what: What) {
        let at = self.wall();
        if let Some(trail) = self.messages.get_mut(&id).and_then(|m| m.trail.as_mut()) {
            trail.add(at, what, STEPS);
        }
    }

    /// By which front and session it came.
    pub(crate) fn trail_by(&mut self, id: MsgId) {
        let Some(m) = self.messages.get(&id).filter(|m| m.trail.is_some()) else { return };
        let session = self.mailboxes.get(m.mailbox).map(|b| b.name.as_str()).unwrap_or_default();
        let name = format!("{:?}/{session}", m.speaks).to_lowercase();
        let number = self.trail_number(&name);
        if let Some(trail) = self.messages.get_mut(&id).and_then(|m| m.trail.as_mut()) {
            trail.by = number;
        }
    }

    /// An open message after a restart: attempts that had no effect are not known one by one any more.
    pub(crate) fn trail_again(&mut self, open: &Open) {
        let id = MsgId(open.accepted.id);
        let client = self.messages.get(&id).map_or(0, |m| m.client);
        let Some(store) = self.held.as_ref().filter(|_| self.trails(client)) else { return };
        let before = store.get(id.0).and_then(|f| Trail::read(&f.trail));
        let mut trail = before.clone().unwrap_or_else(|| Trail::new(open.accepted.taken, 0));
        if let Some(ran) = open.may_run.as_ref().filter(|_| before.is_none()) {
            let number = self.trail_number(&ran.endpoint);
            trail.add(ran.at, What::Began(number), STEPS);
            trail.add(ran.at, What::Ended(Known::Written), STEPS);
        }
        if let Some(out) = &open.out {
            let number = self.trail_number(&out.endpoint);
            trail.add(out.at, What::Began(number), STEPS);
            trail.add(out.at, What::Ended(Known::Lost), STEPS);
        }
        trail.add(self.wall(), What::Restarted, STEPS);
        if let Some(m) = self.messages.get_mut(&id) {
            m.trail = Some(Box::new(trail));
        }
        if before.is_none() {
            self.trail_by(id);
        }
    }

    /// What is held, as the journal has it.
    pub(crate) fn take_up_held(&mut self, book: &Book) {
        let now = self.wall();
        for (id, held) in &book.held {
            let (Some(a), Some(mut trail)) = (&held.accepted, Trail::read(&held.trail)) else { continue };
            let numbers: Vec<u32> = held.names.iter().map(|n| self.trail_number(n)).collect();
            trail.rename(|n| numbers.get(n as usize).copied().unwrap_or(0));
            let client = self.client_index(&a.client);
            let class = self.class_names.get(&a.class).copied();
            let mut filed = filed(client, class, a.dest, &a.key, &trail);
            filed.message = Some(a.encode_to_vec().into());
            match book.open.get(id).map(|o| o.answer.is_some()) {
                Some(true) => _ = self.unheard.insert(*id),
                Some(false) => filed.under_way = true,
                None => {}
            }
            let parts = self.held_parts_for(client, class, &a.destination, &a.key);
            if let Some(store) = &mut self.held {
                store.file_in(now, *id, filed, parts);
            }
        }
    }
}

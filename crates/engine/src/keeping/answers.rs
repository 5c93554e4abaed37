//! Final answers that are kept after they were taken, to be told again when the same named message is submitted once
//! more. Bounded for each client: beyond it those that would go first are dropped, and such a repeat is acknowledged
//! and hears nothing.

use crate::Micros;
use crate::mailboxes::MailboxId;
use heronroute_smpp::receipt::Answer;
use std::collections::{BTreeMap, BTreeSet};

/// A final answer, with what it is told with.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Kept {
    pub client: usize,
    pub answer: Answer,
    pub source: String,
    pub destination: String,
    pub taken: Micros,
    pub done: Micros,
    /// It is kept until then, in time of day.
    pub until: Micros,
    /// It is owed here just now, and not heard yet.
    pub owed: Option<MailboxId>,
}

/// All of them.
#[derive(Debug)]
pub(crate) struct Answers {
    most: usize,
    by_id: BTreeMap<u64, Kept>,
    ends: BTreeMap<usize, BTreeSet<(Micros, u64)>>,
}

impl Answers {
    /// For so many of one client.
    pub(crate) fn new(most: usize) -> Self {
        Answers { most: most.max(1), by_id: BTreeMap::new(), ends: BTreeMap::new() }
    }

    /// Keeps an answer, in the place of an earlier one to the same message.
    pub(crate) fn keep(&mut self, now: Micros, id: u64, kept: Kept) {
        self.drop(id);
        self.ends.entry(kept.client).or_default().insert((kept.until, id));
        let client = kept.client;
        self.by_id.insert(id, kept);
        self.trim(now, client);
    }

    fn trim(&mut self, now: Micros, client: usize) {
        while let Some(ends) = self.ends.get(&client) {
            match ends.first().copied() {
                Some((until, id)) if until < now || ends.len() > self.most => self.drop(id),
                _ => return,
            }
        }
    }

    /// Drops what has become too old, of all clients.
    pub(crate) fn expire(&mut self, now: Micros) {
        let clients: Vec<usize> = self.ends.keys().copied().collect();
        clients.into_iter().for_each(|c| self.trim(now, c));
    }

    /// Gives an answer up.
    pub(crate) fn drop(&mut self, id: u64) {
        let Some(kept) = self.by_id.remove(&id) else { return };
        if let Some(ends) = self.ends.get_mut(&kept.client) {
            ends.remove(&(kept.until, id));
            if ends.is_empty() {
                self.ends.remove(&kept.client);
            }
        }
    }

    /// An answer, while it is kept.
    pub(crate) fn get(&mut self, now: Micros, id: u64) -> Option<&mut Kept> {
        self.by_id.get_mut(&id).filter(|k| k.until >= now)
    }

    /// Whether an answer is kept.
    pub(crate) fn has(&self, now: Micros, id: u64) -> bool {
        self.by_id.get(&id).is_some_and(|k| k.until >= now)
    }

    /// It was heard.
    pub(crate) fn heard(&mut self, id: u64) {
        if let Some(kept) = self.by_id.get_mut(&id) {
            kept.owed = None;
        }
    }
}

#[cfg(test)]
mod tests;

//! Final answers retained after the client acknowledged them, to be repeated when the same named message is
//! submitted again. Each client has a limit; beyond it the answers that expire first are dropped, and such a
//! repeated submission is acknowledged but gets no answer.

use crate::Micros;
use crate::mailboxes::MailboxId;
use heronroute_smpp::receipt::Answer;
use std::collections::{BTreeMap, BTreeSet};

/// A final answer, with what is needed to send it again.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RetainedAnswer {
    pub client: usize,
    pub answer: Answer,
    pub source: String,
    pub destination: String,
    pub accepted_at: Micros,
    pub ended_at: Micros,
    /// The time of day until which it is retained.
    pub retain_until: Micros,
    /// The mailbox to which it is owed at the moment, until the client acknowledges it.
    pub owed_to: Option<MailboxId>,
}

/// All retained answers of a node.
#[derive(Debug)]
pub(crate) struct RetainedAnswers {
    limit: usize,
    by_id: BTreeMap<u64, RetainedAnswer>,
    expiries: BTreeMap<usize, BTreeSet<(Micros, u64)>>,
}

impl RetainedAnswers {
    /// Returns an empty store with a limit for each client.
    pub(crate) fn new(limit: usize) -> Self {
        RetainedAnswers { limit: limit.max(1), by_id: BTreeMap::new(), expiries: BTreeMap::new() }
    }

    /// Retains an answer, in place of an earlier one to the same message.
    pub(crate) fn insert(&mut self, now: Micros, id: u64, kept: RetainedAnswer) {
        self.remove(id);
        self.expiries.entry(kept.client).or_default().insert((kept.retain_until, id));
        let client = kept.client;
        self.by_id.insert(id, kept);
        self.trim(now, client);
    }

    fn trim(&mut self, now: Micros, client: usize) {
        while let Some(expiries) = self.expiries.get(&client) {
            match expiries.first().copied() {
                Some((until, id)) if until < now || expiries.len() > self.limit => self.remove(id),
                _ => return,
            }
        }
    }

    /// Drops expired answers of all clients.
    pub(crate) fn expire(&mut self, now: Micros) {
        let clients: Vec<usize> = self.expiries.keys().copied().collect();
        clients.into_iter().for_each(|c| self.trim(now, c));
    }

    /// Drops an answer.
    pub(crate) fn remove(&mut self, id: u64) {
        let Some(kept) = self.by_id.remove(&id) else { return };
        if let Some(expiries) = self.expiries.get_mut(&kept.client) {
            expiries.remove(&(kept.retain_until, id));
            if expiries.is_empty() {
                self.expiries.remove(&kept.client);
            }
        }
    }

    /// Returns an answer, while it is retained.
    pub(crate) fn get(&mut self, now: Micros, id: u64) -> Option<&mut RetainedAnswer> {
        self.by_id.get_mut(&id).filter(|k| k.retain_until >= now)
    }

    /// Returns whether an answer is retained.
    pub(crate) fn has(&self, now: Micros, id: u64) -> bool {
        self.by_id.get(&id).is_some_and(|k| k.retain_until >= now)
    }

    /// Records that the client acknowledged an answer.
    pub(crate) fn acknowledge(&mut self, id: u64) {
        if let Some(kept) = self.by_id.get_mut(&id) {
            kept.owed_to = None;
        }
    }
}

#[cfg(test)]
mod tests;

//! Counts the names remembered under each rule of a client.
//!
//! The names themselves are in the table that all clients share. This module keeps only their order, for
//! rules that set a limit. The oldest name beyond the limit is dropped: it is unsure until its time is over.

use crate::Micros;
use heronroute_seen::Name;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Default)]
struct NameQueue {
    max_names: u64,
    names: VecDeque<(Name, u64, Micros)>,
}

/// Remembered names by client and part, for rules that set a limit.
#[derive(Debug)]
pub(crate) struct RememberedNames {
    /// The limit of any rule: more names than the common table has room for are not counted.
    capacity: u64,
    queues: BTreeMap<(usize, u32), NameQueue>,
}

impl RememberedNames {
    /// Returns an empty queue set beside a common table with room for so many names.
    pub(crate) fn new(capacity: usize) -> Self {
        RememberedNames { capacity: capacity as u64, queues: BTreeMap::new() }
    }

    /// Sets how many names are remembered; `None` sets no limit but the room of the common table.
    pub(crate) fn limit(&mut self, client: usize, part: u32, max_names: Option<u64>) {
        match max_names {
            Some(max_names) => self.queues.entry((client, part)).or_default().max_names = max_names,
            // Names counted so far stay in the common table until their time is over.
            None => _ = self.queues.remove(&(client, part)),
        }
    }

    /// Returns how many names are remembered.
    pub(crate) fn max_names(&self, client: usize, part: u32) -> Option<u64> {
        self.queues.get(&(client, part)).map(|q| q.max_names)
    }

    /// Adds a name that is remembered as this message's until the given time.
    pub(crate) fn add(&mut self, client: usize, part: u32, name: Name, id: u64, until: Micros) {
        if let Some(queue) = self.queues.get_mut(&(client, part)) {
            queue.names.push_back((name, id, until));
        }
    }

    /// Returns the messages whose names would be dropped if `most` names were remembered, without dropping
    /// them. Examines `looks` names at most, and returns whether that was not enough.
    pub(crate) fn excess(
        &self,
        now: Micros,
        (client, part): (usize, u32),
        max_names: u64,
        looks: &mut usize,
    ) -> (Vec<u64>, bool) {
        let mut dropped = Vec::new();
        let Some(queue) = self.queues.get(&(client, part)) else { return (dropped, false) };
        let mut remaining = queue.names.len() as u64;
        for (_, id, until) in &queue.names {
            if *until >= now && remaining <= max_names.min(self.capacity) {
                break;
            }
            if *looks == 0 {
                return (dropped, true);
            }
            *looks -= 1;
            remaining -= 1;
            dropped.extend((*until >= now).then_some(*id));
        }
        (dropped, false)
    }

    /// Drops the oldest names beyond the limit, and returns them with their messages.
    pub(crate) fn trim(&mut self, now: Micros, client: usize, part: u32) -> Vec<(Name, u64)> {
        let mut dropped = Vec::new();
        let Some(queue) = self.queues.get_mut(&(client, part)) else { return dropped };
        while let Some((name, id, until)) = queue.names.front().copied() {
            let too_many = queue.names.len() as u64 > queue.max_names.min(self.capacity);
            if until >= now && !too_many {
                break;
            }
            queue.names.pop_front();
            if until >= now {
                dropped.push((name, id));
            }
        }
        dropped
    }
}

#[cfg(test)]
mod tests;

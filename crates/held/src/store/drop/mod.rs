//! Drops what exceeds the limits: the oldest first, but neither messages under way nor those that an operator
//! keeps.

mod common;
mod partitions;

use super::Store;
use crate::Micros;

impl Store {
    /// Drops what exceeds the limits of a client's storage, after limits were set or time has passed. Returns
    /// the held messages that were dropped.
    pub fn trim(&mut self, now: Micros, client: u32) -> Vec<u64> {
        for (part, _) in self.rooms(client) {
            self.drop_trails(client, part);
        }
        self.drop_plain(now);
        self.drop_held(now, client, None)
    }

    /// Drops what has become too old, of all clients. Returns the held messages that were dropped.
    pub fn expire(&mut self, now: Micros) -> Vec<u64> {
        self.drop_plain(now);
        let clients: Vec<u32> = self.owners.keys().copied().collect();
        clients.into_iter().flat_map(|c| self.drop_held(now, c, None)).collect()
    }
}

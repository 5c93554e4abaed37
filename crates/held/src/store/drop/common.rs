//! Drops messages from the common storage: held messages by client, trails of all clients together.

use crate::Micros;
use crate::partitions::MessagePartitions;
use crate::store::{Store, taken};

impl Store {
    /// Drops held messages that are too old, then the oldest until the rest fits. Messages under way or kept
    /// by an operator stay.
    pub(in crate::store) fn drop_held(
        &mut self,
        now: Micros,
        client: u32,
        only: Option<MessagePartitions>,
    ) -> Vec<u64> {
        if self.partitions.contains_key(&client) {
            return self.drop_partitioned(now, client, only);
        }
        let mut dropped_ids = Vec::new();
        let mut from = 0;
        loop {
            let next = self.held_of.range((client, from)..=(client, u64::MAX)).next().copied();
            let Some((_, id)) = next else { break };
            let o = self.owners.get(&client).copied().unwrap_or_default();
            let old = taken(id) < now.saturating_sub(self.held.age);
            let (many, large) = (o.count > self.held.count, o.octets > self.held.octets);
            if !old && !many && !large {
                break;
            }
            if self.by_id.get(&id).is_some_and(|f| f.under_way || f.kept) {
                from = id + 1;
                continue;
            }
            self.take(id);
            let dropped = &mut self.account(client, true).dropped;
            match (old, many) {
                (true, _) => dropped.age += 1,
                (_, true) => dropped.count += 1,
                _ => dropped.octets += 1,
            }
            dropped_ids.push(id);
        }
        dropped_ids
    }

    /// Drops trails that are too old, then the oldest until the rest fits.
    pub(in crate::store) fn drop_plain(&mut self, now: Micros) {
        while let Some(id) = self.plain.first().copied() {
            let old = taken(id) < now.saturating_sub(self.trails.age);
            if !old && self.all.count <= self.trails.count && self.all.octets <= self.trails.octets {
                break;
            }
            self.take(id);
            self.all.dropped.count += 1;
        }
    }
}

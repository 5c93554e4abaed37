//! Sets and reads the partitions of a client's storage.

use super::{MessageRecord, Store};
use crate::partitions::{ClientPartitions, LimitKind, MessagePartitions, PartitionLimits};

impl Store {
    /// Sets the limits of a partition of a client's storage; no limits remove the partition. Messages counted
    /// for a limit that no longer exists count in the common storage. Must be followed by [`Store::trim`].
    pub fn limit(&mut self, client: u32, part: u32, room: PartitionLimits) {
        if part == 0 || (room == PartitionLimits::default() && !self.partitions.contains_key(&client)) {
            return;
        }
        if !self.partitions.contains_key(&client) {
            // All of the client's messages are in the common storage.
            let mut partitions = ClientPartitions::default();
            for (_, id) in self.held_of.range((client, 0)..=(client, u64::MAX)) {
                partitions.hold(
                    *id,
                    MessagePartitions::default(),
                    self.by_id.get(id).map_or(0, MessageRecord::size),
                );
            }
            self.partitions.insert(client, partitions);
        }
        let Some(partitions) = self.partitions.get_mut(&client) else { return };
        for (kind, id) in partitions.limit(part, room) {
            let size = self.by_id.get(&id).map_or(0, MessageRecord::size);
            partitions.common(kind, id, size);
            if kind == LimitKind::Trails {
                self.plain.insert(id);
                self.all.count += 1;
                self.all.octets += size;
            }
        }
        if partitions.is_empty() {
            self.partitions.remove(&client);
        }
    }

    /// Returns whether a client's storage has partitions.
    pub fn has_partitions(&self, client: u32) -> bool {
        self.partitions.contains_key(&client)
    }

    /// Returns whether a partition of a client's storage is empty.
    pub fn is_partition_empty(&self, client: u32, part: u32) -> bool {
        self.partitions.get(&client).is_none_or(|partitions| partitions.is_partition_empty(part))
    }

    /// Returns the partitions of a client's storage and their limits.
    pub fn rooms(&self, client: u32) -> Vec<(u32, PartitionLimits)> {
        self.partitions.get(&client).map(|a| a.rooms().collect()).unwrap_or_default()
    }
}

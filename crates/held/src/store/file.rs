//! Adds and removes messages, and updates all indexes and counts.

use super::room::Owner;
use super::{MessageRecord, Store};
use crate::Micros;
use crate::partitions::MessagePartitions;

impl Store {
    /// Files a message, replacing an earlier record of it, then drops what exceeds the limits. Returns the
    /// identities of held messages that were dropped.
    pub fn file(&mut self, now: Micros, id: u64, filed: MessageRecord) -> Vec<u64> {
        self.file_in(now, id, filed, MessagePartitions::default())
    }

    /// Files a message in partitions of its client's storage. A partition without a limit is the common
    /// storage.
    pub fn file_in(
        &mut self,
        now: Micros,
        id: u64,
        filed: MessageRecord,
        parts: MessagePartitions,
    ) -> Vec<u64> {
        self.take(id);
        let (client, held) = (filed.client, filed.message.is_some());
        self.by_client.insert((client, id));
        self.by_destination.insert((filed.destination, id));
        if filed.key != 0 {
            self.by_key.insert((filed.key, id));
        }
        let size = filed.size();
        let partitions = self.partitions.get_mut(&client);
        let own = match partitions {
            Some(partitions) if held => {
                partitions.hold(id, parts, size);
                false
            }
            Some(partitions) => partitions.trail(id, parts),
            None => false,
        };
        if held {
            self.held_of.insert((client, id));
            self.held_to.insert((filed.destination, id));
        } else if !own {
            self.plain.insert(id);
        }
        if !own {
            let account = self.account(client, held);
            account.count += 1;
            account.octets += size;
        }
        self.by_id.insert(id, filed);
        if held {
            return self.drop_held(now, client, Some(self.parts(client, id)));
        }
        if own {
            self.drop_trails(client, self.parts(client, id).trails);
        }
        self.drop_plain(now);
        Vec::new()
    }

    /// Removes a message and returns its record.
    pub fn take(&mut self, id: u64) -> Option<MessageRecord> {
        let filed = self.by_id.remove(&id)?;
        self.by_client.remove(&(filed.client, id));
        self.by_destination.remove(&(filed.destination, id));
        self.by_key.remove(&(filed.key, id));
        let held = filed.message.is_some();
        let own = self.partitions.get_mut(&filed.client).is_some_and(|a| a.take(id, held, filed.size()));
        if own {
            return Some(filed);
        }
        if held {
            self.held_of.remove(&(filed.client, id));
            self.held_to.remove(&(filed.destination, id));
        } else {
            self.plain.remove(&id);
        }
        let account = self.account(filed.client, held);
        account.count -= 1;
        account.octets -= filed.size();
        Some(filed)
    }

    /// Returns the partitions of a message.
    pub(in crate::store) fn parts(&self, client: u32, id: u64) -> MessagePartitions {
        self.partitions.get(&client).map_or(MessagePartitions::default(), |a| a.parts(id))
    }

    /// Returns the counts that a message belongs to: those of its client if held, else those of all trails.
    pub(in crate::store) fn account(&mut self, client: u32, held: bool) -> &mut Owner {
        if held { self.owners.entry(client).or_default() } else { &mut self.all }
    }
}

//! The store of trails and held messages, indexed by identity, client, destination, key and time.
//!
//! Identities are ordered by time (an identity begins with the microsecond in which its message was
//! accepted), so a time range is a range of identities, and each index is an ordered set of pairs. The cost
//! of a listing depends on what it shows, not on what is stored.

mod drop;
mod file;
mod identity;
mod partitions;
mod query;
mod record;
mod resubmission;
mod room;
#[cfg(test)]
mod tests;

pub(crate) use identity::taken;
pub use query::{Page, Query};
pub use record::MessageRecord;
pub use room::{Dropped, Room};

use crate::partitions::ClientPartitions;
use room::Owner;
use std::collections::{BTreeMap, BTreeSet};

/// The store of trails and held messages.
#[derive(Debug)]
pub struct Store {
    /// The limits of all trails that are not held, together.
    pub(crate) trails: Room,
    /// The limits of the held messages of each client.
    pub(crate) held: Room,
    by_id: BTreeMap<u64, MessageRecord>,
    by_client: BTreeSet<(u32, u64)>,
    by_destination: BTreeSet<(i64, u64)>,
    by_key: BTreeSet<(u64, u64)>,
    /// Held messages by client.
    pub(crate) held_of: BTreeSet<(u32, u64)>,
    /// Held messages by destination.
    held_to: BTreeSet<(i64, u64)>,
    /// Messages that are not held and whose trail is in no partition.
    pub(crate) plain: BTreeSet<u64>,
    /// The counts of held messages, by client.
    owners: BTreeMap<u32, Owner>,
    /// The counts of the trails in `plain`.
    pub(crate) all: Owner,
    /// The partitions, by client.
    pub(crate) partitions: BTreeMap<u32, ClientPartitions>,
}

impl Store {
    /// Returns an empty store with limits for all trails and for each client's held messages.
    pub fn new(trails: Room, held: Room) -> Self {
        Store {
            trails,
            held,
            by_id: BTreeMap::new(),
            by_client: BTreeSet::new(),
            by_destination: BTreeSet::new(),
            by_key: BTreeSet::new(),
            held_of: BTreeSet::new(),
            held_to: BTreeSet::new(),
            plain: BTreeSet::new(),
            owners: BTreeMap::new(),
            all: Owner::default(),
            partitions: BTreeMap::new(),
        }
    }

    /// Returns the number of messages in the store.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether the store is empty.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the record of a message.
    pub fn get(&self, id: u64) -> Option<&MessageRecord> {
        self.by_id.get(&id)
    }

    /// Returns the number and bytes of a client's held messages, and what was dropped of them.
    pub fn of(&self, client: u32) -> (usize, u64, Dropped) {
        self.owners.get(&client).map_or((0, 0, Dropped::default()), |o| (o.count, o.octets, o.dropped))
    }
}

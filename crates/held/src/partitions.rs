//! Partitions of a client's storage: a message counts in the partitions that it was filed in, each with its
//! own limit for age, number, bytes or trails. A message in no partition counts in the common storage,
//! partition 0.
//!
//! Without partitions, one kind of message could fill its client's storage and push the others out.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The partitions in which a message counts; 0: the common storage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessagePartitions {
    /// The partition that limits its age.
    pub age: u32,
    /// The partition that limits the number of messages.
    pub count: u32,
    /// The partition that limits the bytes.
    pub octets: u32,
    /// The partition that limits the number of trails, where the message is not held.
    pub trails: u32,
}

/// The limits of a partition; what has no limit here counts in the common storage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartitionLimits {
    /// The maximum age, in microseconds.
    pub age: Option<Micros>,
    /// The maximum number of messages.
    pub count: Option<usize>,
    /// The maximum number of bytes.
    pub octets: Option<u64>,
    /// The maximum number of trails of messages that are not held.
    pub trails: Option<usize>,
}

/// The kinds of limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LimitKind {
    Age,
    Count,
    Octets,
    Trails,
}

/// The kinds of limits that apply to held messages.
pub(crate) const HELD_LIMITS: [LimitKind; 3] = [LimitKind::Age, LimitKind::Count, LimitKind::Octets];

impl MessagePartitions {
    fn of(&self, kind: LimitKind) -> u32 {
        match kind {
            LimitKind::Age => self.age,
            LimitKind::Count => self.count,
            LimitKind::Octets => self.octets,
            LimitKind::Trails => self.trails,
        }
    }

    fn set(&mut self, kind: LimitKind, part: u32) {
        match kind {
            LimitKind::Age => self.age = part,
            LimitKind::Count => self.count = part,
            LimitKind::Octets => self.octets = part,
            LimitKind::Trails => self.trails = part,
        }
    }
}

impl PartitionLimits {
    pub(crate) fn has(&self, kind: LimitKind) -> bool {
        match kind {
            LimitKind::Age => self.age.is_some(),
            LimitKind::Count => self.count.is_some(),
            LimitKind::Octets => self.octets.is_some(),
            LimitKind::Trails => self.trails.is_some(),
        }
    }
}

/// The partitions of one client.
#[derive(Debug, Default)]
pub(crate) struct ClientPartitions {
    rooms: BTreeMap<u32, PartitionLimits>,
    /// All held messages of the client and all trails in partitions, by kind of limit and partition, oldest
    /// first.
    index: BTreeSet<(LimitKind, u32, u64)>,
    /// The partitions of messages; those not listed are in the common storage.
    of: BTreeMap<u64, MessagePartitions>,
    /// The number of messages or bytes by kind of limit and partition.
    counts: BTreeMap<(LimitKind, u32), u64>,
}

impl ClientPartitions {
    /// Returns the partitions and their limits.
    pub(crate) fn rooms(&self) -> impl Iterator<Item = (u32, PartitionLimits)> + '_ {
        self.rooms.iter().map(|(part, room)| (*part, *room))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rooms.is_empty()
    }

    /// Returns the limits of a partition.
    pub(crate) fn room(&self, part: u32) -> PartitionLimits {
        self.rooms.get(&part).copied().unwrap_or_default()
    }

    /// Returns the partition in which a message counts for a kind of limit.
    pub(crate) fn at(&self, id: u64, kind: LimitKind) -> u32 {
        self.of.get(&id).map_or(0, |p| p.of(kind))
    }

    fn add(&mut self, kind: LimitKind, part: u32, id: u64, size: u64) {
        if self.index.insert((kind, part, id)) {
            *self.counts.entry((kind, part)).or_default() += if kind == LimitKind::Octets { size } else { 1 };
        }
    }

    fn remove(&mut self, kind: LimitKind, part: u32, id: u64, size: u64) {
        if self.index.remove(&(kind, part, id))
            && let Some(n) = self.counts.get_mut(&(kind, part))
        {
            *n = n.saturating_sub(if kind == LimitKind::Octets { size } else { 1 });
            if *n == 0 {
                self.counts.remove(&(kind, part));
            }
        }
    }

    /// Records a message's partitions, replaced by 0 where the partition has no limit of that kind.
    fn place(&mut self, id: u64, mut parts: MessagePartitions) -> MessagePartitions {
        for kind in [LimitKind::Age, LimitKind::Count, LimitKind::Octets, LimitKind::Trails] {
            let known = self.rooms.get(&parts.of(kind)).is_some_and(|r| r.has(kind));
            if !known {
                parts.set(kind, 0);
            }
        }
        if parts != MessagePartitions::default() {
            self.of.insert(id, parts);
        }
        parts
    }

    /// Adds a held message.
    pub(crate) fn hold(&mut self, id: u64, parts: MessagePartitions, size: u64) {
        let parts = self.place(id, parts);
        HELD_LIMITS.into_iter().for_each(|kind| self.add(kind, parts.of(kind), id, size));
    }

    /// Adds a trail; returns false where it counts in the common storage.
    pub(crate) fn trail(&mut self, id: u64, parts: MessagePartitions) -> bool {
        let parts = self.place(id, parts);
        if parts.trails > 0 {
            self.add(LimitKind::Trails, parts.trails, id, 0);
        }
        parts.trails > 0
    }

    /// Removes a message; returns true where it was a trail counted in a partition.
    pub(crate) fn take(&mut self, id: u64, held: bool, size: u64) -> bool {
        let parts = self.of.remove(&id).unwrap_or_default();
        if held {
            HELD_LIMITS.into_iter().for_each(|kind| self.remove(kind, parts.of(kind), id, size));
        } else if parts.trails > 0 {
            self.remove(LimitKind::Trails, parts.trails, id, 0);
        }
        !held && parts.trails > 0
    }

    /// Returns the partitions of a message.
    pub(crate) fn parts(&self, id: u64) -> MessagePartitions {
        self.of.get(&id).copied().unwrap_or_default()
    }

    /// Adds to the size of a held message.
    pub(crate) fn grew(&mut self, id: u64, by: u64) {
        let part = self.at(id, LimitKind::Octets);
        *self.counts.entry((LimitKind::Octets, part)).or_default() += by;
    }

    /// Returns the number of messages, or of bytes, in a partition.
    pub(crate) fn count(&self, kind: LimitKind, part: u32) -> u64 {
        self.counts.get(&(kind, part)).copied().unwrap_or(0)
    }

    /// Returns whether a partition is empty for every kind of limit.
    pub(crate) fn is_partition_empty(&self, part: u32) -> bool {
        [LimitKind::Age, LimitKind::Count, LimitKind::Octets, LimitKind::Trails]
            .iter()
            .all(|k| self.oldest(*k, part, 0).is_none())
    }

    /// Returns the messages in a partition, oldest first.
    pub(crate) fn all(&self, kind: LimitKind, part: u32) -> impl Iterator<Item = u64> + '_ {
        self.index.range((kind, part, 0)..=(kind, part, u64::MAX)).map(|(.., id)| *id)
    }

    /// Returns the oldest message of a partition, from an identity on.
    pub(crate) fn oldest(&self, kind: LimitKind, part: u32, from: u64) -> Option<u64> {
        self.index.range((kind, part, from)..=(kind, part, u64::MAX)).next().map(|(.., id)| *id)
    }

    /// Sets the limits of a partition. Returns the messages counted in it for limits that it no longer has.
    pub(crate) fn limit(&mut self, part: u32, room: PartitionLimits) -> Vec<(LimitKind, u64)> {
        let before = self.room(part);
        if room == PartitionLimits::default() {
            self.rooms.remove(&part);
        } else {
            self.rooms.insert(part, room);
        }
        let kinds = [LimitKind::Age, LimitKind::Count, LimitKind::Octets, LimitKind::Trails];
        let lost = kinds.into_iter().filter(|k| before.has(*k) && !room.has(*k));
        let of = |kind| self.index.range((kind, part, 0)..=(kind, part, u64::MAX));
        lost.flat_map(|kind| of(kind).map(move |(.., id)| (kind, *id)).collect::<Vec<_>>()).collect()
    }

    /// Moves a message to the common storage for a kind of limit.
    pub(crate) fn common(&mut self, kind: LimitKind, id: u64, size: u64) {
        let Some(parts) = self.of.get_mut(&id) else { return };
        let part = parts.of(kind);
        parts.set(kind, 0);
        if *parts == MessagePartitions::default() {
            self.of.remove(&id);
        }
        self.remove(kind, part, id, size);
        if kind != LimitKind::Trails {
            self.add(kind, 0, id, size);
        }
    }
}

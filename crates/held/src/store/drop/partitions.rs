//! Drops messages from the partitions of a client's storage.

use crate::Micros;
use crate::partitions::{HELD_LIMITS, LimitKind, MessagePartitions};
use crate::store::{Store, taken};

impl Store {
    /// Drops the oldest trails of a partition that exceed its limit.
    pub(in crate::store) fn drop_trails(&mut self, client: u32, part: u32) {
        loop {
            let Some(partitions) = self.partitions.get(&client) else { return };
            let Some(most) = partitions.room(part).trails else { return };
            if partitions.count(LimitKind::Trails, part) <= most as u64 {
                return;
            }
            let Some(id) = partitions.oldest(LimitKind::Trails, part, 0) else { return };
            self.take(id);
            self.all.dropped.count += 1;
        }
    }

    /// Does the work of `drop_held` for a client with partitions: in all of them, or in those of a message
    /// just filed.
    pub(in crate::store) fn drop_partitioned(
        &mut self,
        now: Micros,
        client: u32,
        only: Option<MessagePartitions>,
    ) -> Vec<u64> {
        let mut dropped_ids = Vec::new();
        for kind in HELD_LIMITS {
            let parts: Vec<u32> = match (only, kind) {
                (Some(p), LimitKind::Age) => vec![p.age],
                (Some(p), LimitKind::Count) => vec![p.count],
                (Some(p), _) => vec![p.octets],
                (None, _) => [0].into_iter().chain(self.rooms(client).into_iter().map(|r| r.0)).collect(),
            };
            for part in parts {
                self.drop_part(now, client, kind, part, &mut dropped_ids);
            }
        }
        dropped_ids
    }

    /// Drops the oldest messages of a partition until it is within its limit of one kind.
    pub(in crate::store) fn drop_part(
        &mut self,
        now: Micros,
        client: u32,
        kind: LimitKind,
        part: u32,
        dropped_ids: &mut Vec<u64>,
    ) {
        let mut from = 0;
        loop {
            let Some(partitions) = self.partitions.get(&client) else { return };
            let Some(id) = partitions.oldest(kind, part, from) else { return };
            let room = partitions.room(part);
            let age = room.age.filter(|_| part > 0).unwrap_or(self.held.age);
            let count = room.count.filter(|_| part > 0).unwrap_or(self.held.count);
            let octets = room.octets.filter(|_| part > 0).unwrap_or(self.held.octets);
            let over = match kind {
                LimitKind::Age => taken(id) < now.saturating_sub(age),
                LimitKind::Count => partitions.count(kind, part) > count as u64,
                _ => partitions.count(kind, part) > octets,
            };
            if !over {
                return;
            }
            if self.by_id.get(&id).is_some_and(|f| f.under_way || f.kept) {
                from = id + 1;
                continue;
            }
            self.take(id);
            let dropped = &mut self.account(client, true).dropped;
            match kind {
                LimitKind::Age => dropped.age += 1,
                LimitKind::Count => dropped.count += 1,
                _ => dropped.octets += 1,
            }
            dropped_ids.push(id);
        }
    }
}

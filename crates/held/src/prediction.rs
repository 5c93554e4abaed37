//! Predicts what other limits would drop of a client's messages, without dropping anything, in the same order
//! and with the same bounds as [`Store::trim`].
//!
//! The cost depends on what would be dropped and on the number of partitions, not on what is held, and the
//! number of messages examined is bounded.

use crate::Micros;
use crate::partitions::{ClientPartitions, HELD_LIMITS, LimitKind, PartitionLimits};
use crate::store::{Store, taken};
use std::collections::{BTreeMap, BTreeSet};

/// What would be dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PredictedDrops {
    /// The number of held messages.
    pub messages: u64,
    /// The bytes of the held messages, with their trails.
    pub octets: u64,
    /// The number of trails of messages that are not held.
    pub trails: u64,
    /// Whether the count is incomplete, as the bound on messages examined was reached.
    pub more: bool,
}

impl Store {
    /// Returns what [`Store::limit`] with each of `rooms` (each partition once), followed by [`Store::trim`],
    /// would drop of a client's messages. Examines at most `looks` messages.
    pub fn weigh(
        &self,
        now: Micros,
        client: u32,
        rooms: &[(u32, PartitionLimits)],
        looks: usize,
    ) -> PredictedDrops {
        let none = ClientPartitions::default();
        let partitions = self.partitions.get(&client);
        let mut after: BTreeMap<u32, PartitionLimits> = partitions.unwrap_or(&none).rooms().collect();
        for (part, room) in rooms.iter().filter(|(part, _)| *part > 0) {
            if *room == PartitionLimits::default() {
                after.remove(part);
            } else {
                after.insert(*part, *room);
            }
        }
        let prediction = Prediction {
            store: self,
            now,
            client,
            partitions,
            after,
            remaining: looks,
            out: PredictedDrops::default(),
        };
        prediction.run()
    }
}

/// A prediction in progress.
struct Prediction<'a> {
    store: &'a Store,
    now: Micros,
    client: u32,
    partitions: Option<&'a ClientPartitions>,
    /// The limits of the partitions as they would be.
    after: BTreeMap<u32, PartitionLimits>,
    remaining: usize,
    out: PredictedDrops,
}

type Ids<'a> = Box<dyn Iterator<Item = u64> + 'a>;

impl Prediction<'_> {
    fn run(mut self) -> PredictedDrops {
        self.count_trails();
        let (mut dropped, mut less) = (BTreeSet::new(), BTreeMap::new());
        for kind in HELD_LIMITS {
            let parts: Vec<u32> = [0].into_iter().chain(self.after.keys().copied()).collect();
            for part in parts {
                self.count_part(kind, part, &mut dropped, &mut less);
            }
        }
        self.out
    }

    fn room(&self, part: u32) -> PartitionLimits {
        self.after.get(&part).copied().unwrap_or_default()
    }

    /// Returns the current partitions whose messages would count in this one.
    fn sources(&self, kind: LimitKind, part: u32) -> Vec<u32> {
        let Some(partitions) = self.partitions else { return Vec::new() };
        let limited = partitions.rooms().filter(|(_, room)| room.has(kind)).map(|(part, _)| part);
        let moves_here = |from: &u32| if self.room(*from).has(kind) { *from == part } else { part == 0 };
        let common = (part == 0 && kind != LimitKind::Trails).then_some(0);
        common.into_iter().chain(limited.filter(moves_here)).collect()
    }

    /// Counts what would be dropped from a partition. `less` holds what is already counted as dropped, by
    /// partition where it would count.
    fn count_part(
        &mut self,
        kind: LimitKind,
        part: u32,
        dropped: &mut BTreeSet<u64>,
        less: &mut BTreeMap<(LimitKind, u32), u64>,
    ) {
        let store = self.store;
        let sources = self.sources(kind, part);
        let (mut have, ids): (u64, Ids<'_>) = match self.partitions {
            Some(partitions) => {
                let have = sources.iter().map(|from| partitions.count(kind, *from)).sum();
                (have, Box::new(merged(sources.iter().map(|from| partitions.all(kind, *from)))))
            }
            None if part == 0 => {
                let (count, octets, _) = store.of(self.client);
                let have = if kind == LimitKind::Octets { octets } else { count as u64 };
                let range = (self.client, 0)..=(self.client, u64::MAX);
                (have, Box::new(store.held_of.range(range).map(|(_, id)| *id)))
            }
            // The partition holds none of the client's messages yet.
            None => return,
        };
        have = have.saturating_sub(less.get(&(kind, part)).copied().unwrap_or(0));
        let (room, common) = (self.room(part), store.held);
        let age = room.age.filter(|_| part > 0).unwrap_or(common.age);
        let count = room.count.filter(|_| part > 0).unwrap_or(common.count) as u64;
        let octets = room.octets.filter(|_| part > 0).unwrap_or(common.octets);
        for id in ids {
            let over = match kind {
                LimitKind::Age => taken(id) < self.now.saturating_sub(age),
                LimitKind::Count => have > count,
                _ => have > octets,
            };
            if !over {
                return;
            }
            if self.remaining == 0 {
                self.out.more = true;
                return;
            }
            self.remaining -= 1;
            let Some(filed) = store.get(id).filter(|f| !f.under_way && !f.kept && !dropped.contains(&id))
            else {
                continue;
            };
            let size = filed.size();
            have = have.saturating_sub(if kind == LimitKind::Octets { size } else { 1 });
            dropped.insert(id);
            for other in HELD_LIMITS {
                let at = self.partitions.map_or(0, |a| a.at(id, other));
                let at = if self.room(at).has(other) { at } else { 0 };
                *less.entry((other, at)).or_default() += if other == LimitKind::Octets { size } else { 1 };
            }
            self.out.messages += 1;
            self.out.octets += size;
        }
    }

    /// Counts the trails that would be dropped, from partitions and from the common storage.
    fn count_trails(&mut self) {
        let (store, all) = (self.store, self.store.all);
        let mut moved = Vec::new();
        if let Some(partitions) = self.partitions {
            for (part, room) in partitions.rooms() {
                let have = partitions.count(LimitKind::Trails, part);
                match self.room(part).trails {
                    // The oldest trails are dropped, whatever they are.
                    Some(most) => self.out.trails += have.saturating_sub(most as u64),
                    None if room.trails.is_some() => moved.push(part),
                    None => {}
                }
            }
        }
        let mut moved_ids: Vec<u64> = Vec::new();
        for part in moved {
            let ids = self.partitions.into_iter().flat_map(|a| a.all(LimitKind::Trails, part));
            moved_ids.extend(ids.take(self.remaining.saturating_sub(moved_ids.len()) + 1));
        }
        if moved_ids.len() > self.remaining {
            self.out.more = true;
            return;
        }
        self.remaining -= moved_ids.len();
        let size = |id: &u64| store.get(*id).map_or(0, |f| f.size());
        let (mut count, mut octets) =
            (all.count + moved_ids.len(), all.octets + moved_ids.iter().map(size).sum::<u64>());
        moved_ids.sort_unstable();
        let plain: Ids<'_> = Box::new(store.plain.iter().copied());
        let moved_ids: Ids<'_> = Box::new(moved_ids.into_iter());
        for id in merged([plain, moved_ids].into_iter()) {
            let old = taken(id) < self.now.saturating_sub(store.trails.age);
            if !old && count <= store.trails.count && octets <= store.trails.octets {
                return;
            }
            if self.remaining == 0 {
                self.out.more = true;
                return;
            }
            self.remaining -= 1;
            let filed = store.get(id);
            count -= 1;
            octets = octets.saturating_sub(filed.map_or(0, |f| f.size()));
            // Trails of other clients are dropped as well and not counted.
            self.out.trails += u64::from(filed.is_some_and(|f| f.client == self.client));
        }
    }
}

/// Merges sorted sequences of identities.
fn merged<I: Iterator<Item = u64>>(runs: impl Iterator<Item = I>) -> impl Iterator<Item = u64> {
    let mut runs: Vec<I> = runs.collect();
    let mut heads: BTreeSet<(u64, usize)> =
        runs.iter_mut().enumerate().filter_map(|(at, run)| Some((run.next()?, at))).collect();
    std::iter::from_fn(move || {
        let (id, at) = heads.pop_first()?;
        heads.extend(runs.get_mut(at).and_then(Iterator::next).map(|next| (next, at)));
        Some(id)
    })
}

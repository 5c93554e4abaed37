//! The storage of a home's entries.

use super::{Entry, ReservationKey};
use crate::Micros;
use heronroute_fleet::{Name, Start};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state of a slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// How many transfers the slot has had.
    pub epoch: u64,
    /// Whether this member has the authority.
    pub has_authority: bool,
    /// The member that the slot is being transferred to, and its folder once known; the entries stay here
    /// until that member has them.
    pub transfer_to: Option<(Name, Option<Start>)>,
    /// Until this time of day the slot may have valid names that were forgotten.
    pub forgotten_until: Micros,
}

/// A change of the stored state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Adds or replaces an entry.
    Put(ReservationKey, Entry),
    /// Removes an entry.
    Remove(ReservationKey),
    /// Replaces the state of a slot.
    Slot(u16, Slot),
}

/// The durable storage of a home. Changes take effect in order, and a batch completely or not at all.
pub trait Store {
    /// Adds changes as a batch and returns its number, one above the last one's.
    fn write(&mut self, ops: Vec<Op>) -> u64;
    /// Returns the last durable batch; all earlier ones are durable as well.
    fn durable(&self) -> u64;
    /// Returns the complete durable state; called at a start.
    fn load(&self) -> (BTreeMap<ReservationKey, Entry>, BTreeMap<u16, Slot>);
}

/// A store in memory, for tests: what is not synced is lost by [`MemoryStore::crash`].
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    keys: BTreeMap<ReservationKey, Entry>,
    slots: BTreeMap<u16, Slot>,
    pending: Vec<Vec<Op>>,
    written: u64,
    durable: u64,
}

impl MemoryStore {
    /// Makes all changes durable.
    pub fn sync(&mut self) {
        for op in std::mem::take(&mut self.pending).into_iter().flatten() {
            apply(&mut self.keys, &mut self.slots, op);
        }
        self.durable = self.written;
    }

    /// Drops all changes that are not durable, as when the process is killed.
    pub fn crash(&mut self) {
        self.pending.clear();
        self.durable = self.written;
    }
}

impl Store for MemoryStore {
    fn write(&mut self, ops: Vec<Op>) -> u64 {
        self.pending.push(ops);
        self.written += 1;
        self.written
    }

    fn durable(&self) -> u64 {
        self.durable
    }

    fn load(&self) -> (BTreeMap<ReservationKey, Entry>, BTreeMap<u16, Slot>) {
        (self.keys.clone(), self.slots.clone())
    }
}

pub(super) fn apply(keys: &mut BTreeMap<ReservationKey, Entry>, slots: &mut BTreeMap<u16, Slot>, op: Op) {
    match op {
        Op::Put(key, entry) => drop(keys.insert(key, entry)),
        Op::Remove(key) => drop(keys.remove(&key)),
        Op::Slot(at, slot) => drop(slots.insert(at, slot)),
    }
}

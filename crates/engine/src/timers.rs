//! What falls due when: one entry for each thing that waits, moved or taken out at will.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Timers by key. A key has one time at most.
#[derive(Debug)]
pub struct Timers<K> {
    by_time: BTreeSet<(Micros, K)>,
    by_key: BTreeMap<K, Micros>,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Timers { by_time: BTreeSet::new(), by_key: BTreeMap::new() }
    }
}

impl<K: Ord + Copy> Timers<K> {
    /// Sets, moves or (with `Micros::MAX`) takes out a timer.
    pub fn set(&mut self, key: K, at: Micros) {
        if self.by_key.get(&key) == Some(&at) {
            return;
        }
        self.clear(key);
        if at < Micros::MAX {
            self.by_key.insert(key, at);
            self.by_time.insert((at, key));
        }
    }

    /// Takes out a timer.
    pub fn clear(&mut self, key: K) {
        if let Some(at) = self.by_key.remove(&key) {
            self.by_time.remove(&(at, key));
        }
    }

    /// When the first falls due.
    pub fn next(&self) -> Option<Micros> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// Takes out the first that is due.
    pub fn due(&mut self, now: Micros) -> Option<K> {
        let (at, key) = *self.by_time.first().filter(|(at, _)| *at <= now)?;
        self.by_time.remove(&(at, key));
        self.by_key.remove(&key);
        Some(key)
    }
}

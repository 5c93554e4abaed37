//! Timers with keys, which can be moved and removed.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Timers by key. Each key has at most one time.
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
    /// Sets or moves a timer, or removes it if `at` is `Micros::MAX`.
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

    /// Removes a timer.
    pub fn clear(&mut self, key: K) {
        if let Some(at) = self.by_key.remove(&key) {
            self.by_time.remove(&(at, key));
        }
    }

    /// Returns the time at which the first timer is due.
    pub fn next(&self) -> Option<Micros> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first timer that is due.
    pub fn due(&mut self, now: Micros) -> Option<K> {
        let (at, key) = *self.by_time.first().filter(|(at, _)| *at <= now)?;
        self.by_time.remove(&(at, key));
        self.by_key.remove(&key);
        Some(key)
    }
}

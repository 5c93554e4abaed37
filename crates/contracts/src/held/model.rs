//! The plain map that a store is measured against.

use heronroute_held::{MessageRecord, Query};
use std::collections::BTreeMap;

/// What was filed: client, destination, key, held.
#[derive(Default)]
pub struct Model(BTreeMap<u64, (u32, i64, u64, bool)>);

impl Model {
    pub fn file(&mut self, id: u64, f: &MessageRecord) {
        self.0.insert(id, (f.client, f.destination, f.key, f.message.is_some()));
    }

    pub fn take(&mut self, id: u64) -> bool {
        self.0.remove(&id).is_some()
    }

    pub fn list(&self, q: &Query) -> Vec<u64> {
        let taken = |id: u64| (id >> 6) as i64;
        let fits = |(id, f): &(&u64, &(u32, i64, u64, bool))| {
            q.client.is_none_or(|c| c == f.0)
                && q.destination.is_none_or(|d| d == f.1)
                && q.key.is_none_or(|k| k == f.2)
                && (!q.held || f.3)
                && q.from.is_none_or(|t| taken(**id) >= t)
                && q.to.is_none_or(|t| taken(**id) < t)
        };
        self.0.iter().filter(fits).map(|(id, _)| *id).collect()
    }
}

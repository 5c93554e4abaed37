//! The space that a journal takes: which entries its maximum size holds back, and when its files hold so much that
//! nothing needs any more that a snapshot is due.

use crate::entry::{Entry, Taken, What};
use crate::{Journal, Storage};
use std::collections::BTreeSet;

/// The share of the maximum size above which space is reclaimed. It lies so far below the share at which acceptance
/// resumes that a large message fits in between.
const RECLAIM_SHARE: f64 = 0.5;
/// The part of the maximum size that a snapshot must free to be written for that alone, as a divisor. It bounds how
/// often the files are rewritten while they are almost full.
const MIN_FREED_PER_LIMIT: u64 = 16;

impl Entry {
    /// Returns whether the entry takes on a message that must be ended by later entries.
    pub fn accepts(&self) -> bool {
        matches!(self.what, Some(What::Accepted(_) | What::Heir(_)))
    }
}

/// Removes the entries of messages that are both accepted and closed among them: together they change nothing. Returns
/// how many were removed.
///
/// Where entries can't be written for lack of space, those of messages that were refused meanwhile must not hold up
/// the others.
pub fn remove_closed(entries: &mut Vec<Entry>) -> u64 {
    let mut accepted = BTreeSet::new();
    let mut closed = BTreeSet::new();
    for entry in entries.iter() {
        match &entry.what {
            // A message that replaces a held one also ends that.
            Some(What::Accepted(a)) if a.replaces == 0 => _ = accepted.insert(a.id),
            Some(What::Taken(Taken { id })) if accepted.contains(id) => _ = closed.insert(*id),
            _ => {}
        }
    }
    let before = entries.len();
    entries.retain(|entry| message_of(entry).is_none_or(|id| !closed.contains(&id)));
    (before - entries.len()) as u64
}

/// Returns the message whose progress an entry records.
fn message_of(entry: &Entry) -> Option<u64> {
    match entry.what.as_ref()? {
        What::Accepted(a) => Some(a.id),
        What::Intent(i) => Some(i.id),
        What::Outcome(o) => Some(o.id),
        What::Answer(a) => Some(a.id),
        What::Taken(t) => Some(t.id),
        _ => None,
    }
}

impl<S: Storage> Journal<S> {
    /// Returns about how many bytes a snapshot would free.
    fn reclaimable_bytes(&self) -> u64 {
        let snapshot = (self.snap_size + self.state.estimated_size()).saturating_sub(self.snap_estimate);
        self.usage.octets.saturating_sub(snapshot)
    }

    /// Returns whether the files are so large that acceptance may be refused soon, and a snapshot would make them smaller.
    pub(crate) fn is_space_reclaimable(&self) -> bool {
        let is_large = self.usage.octets as f64 >= RECLAIM_SHARE * self.limits.most as f64;
        is_large && self.reclaimable_bytes() >= (self.limits.most / MIN_FREED_PER_LIMIT).max(1)
    }
}

//! The memory that peers can make a sender hold: one budget, taken from the settings. Performs no I/O.
//!
//! Every buffer, message and list that grows with what clients, endpoints or discovery send is counted here. Each use
//! has a ceiling on the memory that is used in all: what matters less to the messages that were accepted is refused
//! first, so that a crowd of clients leaves room for answers and lists.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// The share of the memory limit for what peers make grow. The rest is for the program itself, the decision library's
/// state, and what the allocator can't reuse.
const BUDGET_SHARE: f64 = 0.5;
/// The budget where the settings have no memory limit, in bytes.
const UNLIMITED: usize = usize::MAX / 4;

/// What memory is used for. A later use may take the budget further than an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryUse {
    /// Connections of clients, with what is read of their requests and not written of their replies.
    Clients,
    /// Messages: their bodies in all places, and what is recorded of them until their end is acknowledged.
    Messages,
    /// Connections to endpoints, with what is read of their answers.
    Endpoints,
    /// Entries of the journal that are not written yet.
    Journal,
    /// Notices that the platform has not acknowledged.
    Notices,
}

const USES: usize = 5;

/// The highest share of the budget that may be used in all for a use to take more.
const CEILINGS: [f64; USES] = [0.5, 0.75, 0.9, 1.0, 1.0];

/// The bytes that each use takes.
type UsedBytes = [AtomicUsize; USES];

/// The budget, and what of it is used.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    used: Arc<UsedBytes>,
}

impl MemoryBudget {
    /// Creates a budget for a memory limit in bytes, if there is one.
    pub fn new(memory_limit: Option<u64>) -> Self {
        let limit = memory_limit.map_or(UNLIMITED, |bytes| (bytes as f64 * BUDGET_SHARE) as usize);
        MemoryBudget { limit, used: Arc::default() }
    }

    /// Returns the size of the budget in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns how many bytes are used in all.
    pub fn used(&self) -> usize {
        self.used.iter().map(|bytes| bytes.load(Relaxed)).sum()
    }

    /// Returns how many further bytes a use may take.
    pub fn room(&self, what: MemoryUse) -> usize {
        let ceiling = (self.limit as f64 * CEILINGS[what as usize]) as usize;
        ceiling.saturating_sub(self.used())
    }

    /// Takes bytes for a use, whether there is room or not. They are given back as the count is dropped.
    pub fn count(&self, what: MemoryUse, bytes: usize) -> MemoryCount {
        let mut count = MemoryCount { used: Arc::clone(&self.used), what, bytes: 0 };
        count.set(bytes);
        count
    }
}

/// Bytes that one holder takes of a budget. It belongs to the holder, is moved with it, and gives the bytes back to the
/// use that they were taken for as it is dropped.
#[derive(Debug)]
pub struct MemoryCount {
    used: Arc<UsedBytes>,
    what: MemoryUse,
    bytes: usize,
}

impl MemoryCount {
    /// Returns how many bytes are taken.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets how many bytes are taken.
    pub fn set(&mut self, bytes: usize) {
        let used = &self.used[self.what as usize];
        used.fetch_add(bytes, Relaxed);
        used.fetch_sub(self.bytes, Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for MemoryCount {
    fn drop(&mut self) {
        self.set(0);
    }
}

#[cfg(test)]
mod tests;

//! Helpers shared by the tests of a node whose journal is on a disk with injected faults.
#![allow(dead_code)] // not every test file uses every item

use heronroute_engine::Node;
use heronroute_journal::disk::Disk;
use heronroute_journal::{Entry, Journal, Limits as JournalLimits};
use heronroute_smpp::server::Limits;

pub const SMALL: JournalLimits = JournalLimits { segment: 2_000, growth: 2, least: 6_000, most: 1 << 20 };
pub const LIMITS: Limits = Limits {
    session_init: 1 << 50,
    enquire_every: 1 << 50,
    inactivity: 1 << 50,
    response: 1 << 50,
    window: 1_000,
    max_pdu: 70_000,
};

/// A pseudorandom generator with a fixed seed.
pub struct TestRng(pub u64);

impl TestRng {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % n
    }
}

/// Commits all waiting entries and notifies the node. Returns false once the disk has lost power.
pub fn commit(
    node: &mut Node,
    journal: &mut Journal<Disk>,
    uncommitted: &mut Vec<Vec<Entry>>,
    committed_entries: &mut u64,
    now: i64,
) -> bool {
    let entries: Vec<Entry> = std::mem::take(uncommitted).into_iter().flatten().collect();
    if !entries.is_empty() {
        if journal.commit(&entries).is_err() {
            return false;
        }
        *committed_entries += entries.len() as u64;
        node.durable(now, *committed_entries, journal.usage());
    }
    true
}

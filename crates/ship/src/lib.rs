//! Replicates a sender's journal to a partner in the other region while it is written.
//!
//! The sending side sends journal entries in order, within a window, and reports how far they are durable at
//! the partner. The receiving side writes them into a copy, which is a journal itself, and acknowledges them
//! once they are durable. After a disconnection replication resumes from the last position that both sides
//! agree on. The [`wire`] module has the messages between the two sides. The thread that owns the journal
//! performs the sending side's reads ([`serve()`]).
//!
//! The crate decides when a copy has to be rebuilt from a snapshot, because the log no longer reaches back
//! far enough; when copy and origin have diverged, so that the copy is rejected; and when the lag is too
//! large to admit messages that must be durable in both regions.
//!
//! The crate reads no clock, uses no sockets and starts no threads. It does not interpret entries, except for
//! the journal state that they add up to.

#![forbid(unsafe_code)]

mod copy;
mod send;
mod serve;
pub mod wire;

pub use copy::{CopyError, JournalCopy};
pub use send::{JournalReplicator, ReplicationLimits};
pub use serve::{Cursors, serve};

use heronroute_fleet::Life;
use heronroute_journal::{Run, SnapshotPart};
use serde::{Deserialize, Serialize};

/// Time in microseconds on the caller's clock.
pub type Micros = i64;

/// The origin of a journal: one sender in one life of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The member's life that writes now. The journal itself continues across lives.
    pub life: Life,
    /// The index of the sender in its process.
    pub sender: u32,
}

/// A read of the journal that the sending side requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRequest {
    /// Reads entries of the log.
    Log {
        /// The number of the first entry.
        from: u64,
        /// The approximate limit in bytes.
        most: usize,
    },
    /// Reads entries of the newest snapshot.
    Snapshot {
        /// The snapshot that the first read returned, by the log position that it represents; none for the
        /// first read.
        of: Option<u64>,
        /// The index of the first entry in the snapshot.
        from: u64,
        /// The approximate limit in bytes.
        most: usize,
    },
}

/// The result of a requested read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// Entries of the log.
    Log(Run),
    /// Entries of the snapshot.
    Snapshot(SnapshotPart),
    /// The log does not reach back that far, the snapshot was replaced by another, or there is none.
    Unavailable {
        /// The position at which the log begins now.
        base: Option<heronroute_journal::Mark>,
    },
}

/// A condition that is reported to an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The buffer limit was reached: unsent entries are dropped, and read from the log again later.
    BufferLimitReached {
        /// The number of the first entry that was dropped.
        from: u64,
    },
    /// The copy has fewer entries than it acknowledged: an old folder was restored, or the disk lost synced
    /// writes.
    CopyLostEntries {
        /// The number of entries that were acknowledged.
        acked: u64,
        /// The number of entries that the copy has.
        found: u64,
    },
    /// Copy and origin have different entries, or the copy has more, because a disk was restored. The copy is
    /// set aside.
    Diverged {
        /// The number of entries in the copy.
        copy: u64,
        /// The number of entries at the origin.
        origin: u64,
    },
    /// The copy is rebuilt from a snapshot of the origin.
    RebuildStarted {
        /// The number of entries that the origin has written.
        number: u64,
        /// The number of entries in the old copy that could not be verified, as no digest is left at that
        /// position.
        unverified: u64,
    },
    /// The copy's folder is full, or a snapshot does not fit into it.
    Full,
    /// The partner can't store an entry unchanged: it has another version, is too large, or was corrupted in
    /// transit.
    EntryRejected {
        /// The number of the entry.
        number: u64,
    },
    /// A newer life of the origin writes the journal.
    NewerLife {
        /// The start number of that life.
        known: u64,
    },
    /// The logs have diverged, and another copy is set aside already. An operator has to resolve that one
    /// first.
    SetAsideExists,
    /// The storage of the copy or the journal of the origin failed.
    Failed,
}

/// The sending side of replication. Each sender of a process has one.
pub trait ReplicationSource {
    /// Handles entries that became durable at the origin. They come in order; `first` is the number of the
    /// first one.
    fn entries_written(&mut self, now: Micros, first: u64, entries: &[heronroute_journal::Entry]);
    /// Returns the journal read that is needed now, if any. The caller passes in its result.
    fn pending_read(&self) -> Option<ReadRequest>;
    /// Handles the result of the requested read.
    fn read_finished(&mut self, now: Micros, given: ReadResult);
    /// Handles a message from the partner.
    fn handle_message(&mut self, now: Micros, payload: &[u8]);
    /// Handles that the connection to the partner was established or lost. Late messages of an old connection
    /// are ignored.
    fn connected(&mut self, now: Micros, connected: bool);
    /// Returns the next message to the partner, if any. Its size is within the limit of the [`wire`] module.
    fn poll(&mut self, now: Micros) -> Option<Vec<u8>>;
    /// Returns the number before which all entries are durable at the partner, and whether the copy is
    /// current enough to admit messages that must be durable in both regions.
    fn durable(&self, now: Micros) -> (u64, bool);
    /// Returns the next notice for the operator. Each is returned once.
    fn notice(&mut self) -> Option<Notice>;
    /// Returns the bytes of entries that are buffered.
    fn held(&self) -> usize;
    /// Returns the time at which it has to be polled again.
    fn next_wakeup(&self) -> Option<Micros>;
}

/// The receiving side of replication. A member has one for each origin that it is the partner of.
pub trait ReplicationTarget {
    /// Handles a message from the origin.
    fn handle_message(&mut self, now: Micros, payload: &[u8]);
    /// Returns the next message to the origin, if any. Commits the buffered entries first, so call it once
    /// all received messages were handled. Entries that a crash could lose are never acknowledged as durable.
    fn poll(&mut self, now: Micros) -> Option<Vec<u8>>;
    /// Returns the journal state of the copy and the number of its next entry, from which a takeover starts.
    /// None if there is no copy yet.
    fn state(&self) -> Option<(&heronroute_journal::JournalState, u64)>;
    /// Returns the next notice for the operator. Each is returned once.
    fn notice(&mut self) -> Option<Notice>;
    /// Returns the bytes of entries that are buffered and not durable yet.
    fn held(&self) -> usize;
    /// Returns the time at which it has to be polled again.
    fn next_wakeup(&self) -> Option<Micros>;
}

/// A bounded queue of unread notices. New ones are dropped when it is full.
#[derive(Debug, Default)]
struct Notices(std::collections::VecDeque<Notice>);

impl Notices {
    fn push(&mut self, notice: Notice) {
        if self.0.len() < 16 && self.0.back() != Some(&notice) {
            self.0.push_back(notice);
        }
    }
}

//! The log: frames in segments. Snapshots are in [`crate::snapshot`], opening is in [`crate::recovery`].
//!
//! Files: `log-N` holds frames from entry N on, `snap-N` the state before entry N, `new` a snapshot that is
//! being written. A snapshot ends with a frame of no entries that names N; only when that frame is written
//! and everything is synced is the file renamed to its final name, and only after that is the log before it
//! removed.

use crate::Storage;
use crate::chain::Chain;
use crate::entry::Entry;
use crate::frame;
use crate::repair::Damage;
use crate::state::JournalState;
use std::io;

/// The size of the encoding buffer that is kept between two commits, in bytes.
const KEPT_BUFFER_BYTES: usize = 256 * 1024;

/// The limits of a journal's files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The size at which a segment is closed, in bytes.
    pub segment: u64,
    /// The growth at which a snapshot is due: the log since the last snapshot is this many times as large as
    /// it,
    pub growth: u64,
    /// and at least this large, in bytes.
    pub least: u64,
    /// The maximum size on disk, in bytes. A commit that accepts messages and would exceed it is refused and
    /// leaves the log unchanged.
    pub most: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { segment: 64 << 20, growth: 4, least: 16 << 20, most: 4 << 30 }
    }
}

/// The size and the counters of a journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The size on disk, in bytes.
    pub octets: u64,
    /// The entries written since the journal was opened.
    pub entries: u64,
    /// The commits since the journal was opened.
    pub commits: u64,
    /// The snapshots written since the journal was opened.
    pub snapshots: u64,
}

/// Why a journal can't be opened or can't commit.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// Data that was durable is damaged.
    #[error(
        "{file}: broken at octet {offset}, though entries up to {durable} were durable; a copy of the folder is needed before anything is tried"
    )]
    Broken {
        /// The name of the file.
        file: String,
        /// The offset of the damage in the file.
        offset: u64,
        /// The number up to which entries were durable.
        durable: u64,
    },
    /// A file has another version of the format.
    #[error(
        "{file}: written in version {version} of the format; this program reads version {}",
        frame::VERSION
    )]
    Version {
        /// The name of the file.
        file: String,
        /// The version found.
        version: u32,
    },
    /// The journal has reached its maximum size or the disk is full; nothing was written.
    #[error("the journal is full")]
    Full,
    /// The storage failed. Entries that were durable still are; the operation may be retried.
    #[error("the journal's storage failed: {0}")]
    Storage(#[from] io::Error),
    /// An earlier replacement of the contents by another journal's snapshot failed midway.
    #[error("the journal could not be replaced by another one and accepts nothing more")]
    Failed,
}

/// An open journal.
#[derive(Debug)]
pub struct Journal<S> {
    pub(crate) storage: S,
    pub(crate) limits: Limits,
    pub(crate) state: JournalState,
    /// The number of the next entry; all entries before it are durable.
    pub(crate) next: u64,
    /// The entry number that the newest snapshot covers up to.
    pub(crate) snap: Option<u64>,
    /// The digest chain now and at the newest snapshot; `None` where the journal is not replicated.
    pub(crate) chain: Option<Chain>,
    pub(crate) snapshot_chain: Option<Chain>,
    /// The name and size of the current segment.
    pub(crate) segment: String,
    pub(crate) segment_size: u64,
    /// The damage to repair before the next write.
    pub(crate) damage: Damage,
    /// The size of closed segments since the last snapshot, and of that snapshot, in bytes.
    pub(crate) log_size: u64,
    pub(crate) snap_size: u64,
    /// The estimated size of the state when the newest snapshot was written, in bytes.
    pub(crate) snap_estimate: u64,
    pub(crate) usage: Usage,
    /// Whether the contents could not be replaced by another journal's snapshot: nothing more is accepted.
    pub(crate) failed: bool,
    /// The buffer in which frames are encoded.
    pub(crate) out: Vec<u8>,
}

/// Returns the number in a file's name, which consists of the prefix and 16 hexadecimal digits.
pub(crate) fn file_number(name: &str, prefix: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(prefix)?, 16).ok().filter(|_| name.len() == prefix.len() + 16)
}

impl<S: Storage> Journal<S> {
    /// Opens a journal, or creates an empty one: reads the newest snapshot and the log after it.
    ///
    /// # Errors
    /// Where durable data is damaged or has another version, or the storage fails.
    pub fn open(storage: S, limits: Limits) -> Result<Self, JournalError> {
        Self::recover(storage, limits, false)
    }

    /// Opens a journal that is replicated or is a replica: its entries are chained by digests.
    ///
    /// # Errors
    /// As [`Journal::open`].
    pub fn open_chained(storage: S, limits: Limits) -> Result<Self, JournalError> {
        Self::recover(storage, limits, true)
    }

    /// Limits the number of client-given names that are kept.
    pub fn limit_names(&mut self, max_names: usize) {
        self.state.limit_names(max_names);
    }

    /// Returns the state that the entries add up to.
    pub fn state(&self) -> &JournalState {
        &self.state
    }

    /// Returns the number of the next entry; all entries before it are durable.
    pub fn durable(&self) -> u64 {
        self.next
    }

    /// Returns the digest chain, where the journal keeps one.
    pub fn chain(&self) -> Option<&Chain> {
        self.chain.as_ref()
    }

    /// Returns the digest chain at the newest snapshot, or at the start of the log where there is no
    /// snapshot.
    pub fn snapshot_chain(&self) -> Option<&Chain> {
        self.snapshot_chain.as_ref()
    }

    /// Returns the storage, for other files that the caller keeps beside the journal's.
    pub fn storage(&mut self) -> &mut S {
        &mut self.storage
    }

    /// Returns the size and the counters of the journal.
    pub fn usage(&self) -> Usage {
        self.usage
    }

    /// Closes the journal and returns its storage.
    pub fn into_storage(self) -> S {
        self.storage
    }

    /// Begins a segment. Its name is durable before any entry in it counts as durable.
    pub(crate) fn rotate(&mut self) -> Result<(), JournalError> {
        let name = format!("log-{:016x}", self.next);
        // A damaged segment of that name holds no entries that count.
        if name != self.segment || self.damage != Damage::None {
            self.storage.create(&name)?;
            self.storage.sync(&name)?;
            self.storage.sync_names()?;
        }
        self.log_size += self.segment_size;
        (self.segment, self.segment_size) = (name, 0);
        Ok(())
    }

    /// Makes entries durable with one write and one sync. Only a commit that accepts messages is held to the maximum
    /// size: the others end what was accepted before, so that refusing them would free no space.
    ///
    /// # Errors
    /// [`JournalError::Full`] where there is no space, [`JournalError::Storage`] where the storage fails:
    /// none of the entries counts, and the same commit may be retried. If the process is killed before that,
    /// the log may contain them.
    pub fn commit(&mut self, entries: &[Entry]) -> Result<u64, JournalError> {
        let limit = if entries.iter().any(Entry::accepts) { self.limits.most } else { u64::MAX };
        self.commit_within(entries, limit)
    }

    /// Makes entries durable as [`Journal::commit`] does, but beyond the maximum size too. For entries that can't be
    /// refused any more and would hold up all those behind them.
    ///
    /// # Errors
    /// As [`Journal::commit`]; [`JournalError::Full`] only where the disk itself is full.
    pub fn commit_beyond_limit(&mut self, entries: &[Entry]) -> Result<u64, JournalError> {
        self.commit_within(entries, u64::MAX)
    }

    fn commit_within(&mut self, entries: &[Entry], limit: u64) -> Result<u64, JournalError> {
        if self.failed {
            return Err(JournalError::Failed);
        }
        self.repair()?;
        if entries.is_empty() {
            return Ok(self.next);
        }
        self.append(entries, limit)?;
        self.apply(entries);
        self.compact_if_due();
        self.out.clear();
        self.out.shrink_to(KEPT_BUFFER_BYTES);
        Ok(self.next)
    }

    /// Writes a frame to the segment and syncs it, unless the files would be larger than `limit` bytes.
    fn append(&mut self, entries: &[Entry], limit: u64) -> Result<(), JournalError> {
        self.out.clear();
        frame::write(self.next, self.next, entries, &mut self.out);
        if self.usage.octets + self.out.len() as u64 > limit {
            return Err(JournalError::Full);
        }
        if let Err(e) = self.storage.append(&self.segment, &self.out) {
            // Part of the frame may have been written; once it is cut off, the log is unchanged.
            if self.storage.truncate(&self.segment, self.segment_size).is_err() {
                self.damage = Damage::TornTail;
            }
            let full = e.kind() == io::ErrorKind::StorageFull && self.damage == Damage::None;
            return Err(if full { JournalError::Full } else { e.into() });
        }
        if let Err(e) = self.storage.sync(&self.segment) {
            self.damage = Damage::Unsynced;
            return Err(e.into());
        }
        Ok(())
    }

    /// Applies entries that are now durable to the state and the counters.
    fn apply(&mut self, entries: &[Entry]) {
        for e in entries {
            self.state.apply(e);
        }
        if let Some(chain) = &mut self.chain {
            frame::encoded_entries(&self.out[frame::HEADER_SIZE..]).for_each(|e| chain.push(e));
        }
        let size = self.out.len() as u64;
        self.next += entries.len() as u64;
        self.segment_size += size;
        self.usage.octets += size;
        self.usage.entries += entries.len() as u64;
        self.usage.commits += 1;
    }

    /// Writes a snapshot or begins a segment where either is due. Where that fails, the journal continues
    /// with the existing log and retries after the next commit.
    fn compact_if_due(&mut self) {
        let since = self.log_size + self.segment_size;
        let is_snapshot_due = since >= self.limits.least.max(self.snap_size * self.limits.growth);
        if is_snapshot_due || self.is_space_reclaimable() {
            _ = self.snapshot();
        } else if self.segment_size >= self.limits.segment {
            _ = self.rotate();
        }
    }
}

//! The durable journal of a sender: a log of entries with group commit, snapshots and recovery.
//!
//! A journal records entries (acceptances, intents, outcomes, answers, confirmations and what is known of
//! endpoints) in a log of checksummed frames: one frame and one sync for all entries of a commit. It keeps
//! the state that the entries add up to, writes snapshots of that state and removes the log before them.
//! Opening a journal rebuilds the state, cuts off a torn tail and refuses a log that is damaged in the middle
//! ([`frame`], [`Journal::open`]). Admission control decides when a sender must refuse messages because the
//! disk is full or slow.
//!
//! For replication, a journal chains its entries by digests ([`chain`]), reads its log and newest snapshot
//! from any position, and can be replaced by the snapshot of another journal.
//!
//! The library reads no clock, starts no thread and knows no protocol. Storage is a trait: [`dir`] implements
//! it on a directory, [`disk`] as a simulated disk with faults.

#![forbid(unsafe_code)]

pub mod admission;
pub mod chain;
pub mod dir;
pub mod disk;
pub mod entry;
pub mod frame;
mod log;
mod reader;
mod recovery;
pub mod relocation;
mod repair;
mod replacement;
mod snapshot;
pub mod space;
pub mod state;
pub mod takeovers;
pub mod timeline;
pub mod tool;

pub use chain::{Chain, Digest, Mark};
pub use entry::Entry;
pub use log::{Journal, JournalError, Limits, Usage};
pub use reader::{Cursor, Run, SnapshotPart};
pub use replacement::Replacement;
pub use state::{JournalState, Open};

use std::io;

/// The storage that holds a journal's files. Nothing is durable before it is synced; file contents and file
/// names are synced separately.
pub trait Storage {
    /// Returns the names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Returns the contents of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Returns up to `most` bytes of a file from `offset` on, fewer where the file ends before.
    fn read_at(&self, name: &str, offset: u64, most: usize) -> io::Result<Vec<u8>> {
        let bytes = self.read(name)?;
        let from = usize::try_from(offset).unwrap_or(usize::MAX).min(bytes.len());
        Ok(bytes[from..bytes.len().min(from.saturating_add(most))].to_vec())
    }
    /// Creates an empty file; an existing file of that name is emptied.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends bytes to a file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to a length.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes a file's contents durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Makes the directory durable: files that were created, renamed or removed.
    fn sync_names(&mut self) -> io::Result<()>;
    /// Renames a file; an existing file of the new name is replaced.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Returns a value that distinguishes this file from a copy put in its place; a rename keeps it. Returns
    /// `None` where the storage can't tell.
    fn identity(&self, _name: &str) -> Option<u64> {
        None
    }
}

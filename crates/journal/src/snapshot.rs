//! Snapshots of the state: written in parts of bounded size, complete with their closing frame, and replacing the log
//! before them; and their reading.

use crate::chain::Chain;
use crate::entry::{Entry, What};
use crate::frame::{self, FrameError};
use crate::log::file_number;
use crate::repair::Damage;
use crate::state::JournalState;
use crate::{Journal, JournalError, Storage};
use prost::Message as _;
use std::io;

/// The most entries in a part of a snapshot, and the size in bytes at which a part is written before.
const MAX_PART_ENTRIES: usize = 1_024;
const MAX_PART_BYTES: usize = 256 * 1024;

impl<S: Storage> Journal<S> {
    /// Writes a snapshot of the state and removes the log before it.
    ///
    /// # Errors
    /// Where the storage fails: the existing log stays valid.
    pub fn snapshot(&mut self) -> Result<(), JournalError> {
        let written = self.write_snapshot();
        if written.is_err() {
            _ = self.storage.remove("new");
        }
        written
    }

    fn write_snapshot(&mut self) -> Result<(), JournalError> {
        self.storage.create("new")?;
        // Taken for as long as its entries are written, so that they are not all copied first.
        let state = std::mem::take(&mut self.state);
        let written = self.write_entries(&state);
        self.state = state;
        let (entries, size) = written?;
        self.finish(entries, size)
    }

    /// Writes the entries of a state to the snapshot, in parts of bounded size. Returns their number and size.
    fn write_entries(&mut self, state: &JournalState) -> Result<(u64, u64), JournalError> {
        let (mut first, mut size, mut part_bytes) = (0, 0, 0);
        let mut part: Vec<Entry> = Vec::new();
        let chained: Option<Entry> = self.chain.as_ref().map(|chain| What::Chain(chain.to_entry()).into());
        for entry in chained.into_iter().chain(state.entries()) {
            part_bytes += entry.encoded_len();
            part.push(entry);
            if part.len() >= MAX_PART_ENTRIES || part_bytes >= MAX_PART_BYTES {
                size += self.write_part(first, &part)?;
                first += part.len() as u64;
                part.clear();
                part_bytes = 0;
            }
        }
        size += self.write_part(first, &part)?;
        Ok((first + part.len() as u64, size))
    }

    /// Completes the snapshot being written, which has `entries` entries, and makes it replace everything
    /// before it.
    pub(crate) fn finish(&mut self, entries: u64, mut size: u64) -> Result<(), JournalError> {
        // The closing frame: no entries, and the number that the snapshot covers up to. Without it the
        // snapshot is incomplete.
        self.out.clear();
        frame::write(self.next, entries, &[], &mut self.out);
        self.storage.append("new", &self.out)?;
        size += self.out.len() as u64;
        self.storage.sync("new")?;
        let name = format!("snap-{:016x}", self.next);
        self.storage.rename("new", &name)?;
        if let Err(e) = self.storage.sync_names().map_err(JournalError::from).and_then(|()| self.rotate()) {
            // The snapshot may already have replaced the segment: nothing more may be written to that.
            self.damage = Damage::Unsynced;
            return Err(e);
        }
        self.damage = Damage::None;
        // Files that can't be removed now are removed with the next snapshot or at the next opening.
        _ = self.remove_before(self.next);
        self.snap = Some(self.next);
        self.snapshot_chain.clone_from(&self.chain);
        (self.snap_size, self.log_size) = (size, 0);
        self.snap_estimate = self.state.estimated_size();
        self.usage.octets = size + self.segment_size;
        self.usage.snapshots += 1;
        Ok(())
    }

    /// Removes snapshots and segments before a number.
    fn remove_before(&mut self, keep: u64) -> io::Result<()> {
        for name in self.storage.list()? {
            let old = file_number(&name, "snap-").or(file_number(&name, "log-")).is_some_and(|n| n < keep);
            if old {
                self.storage.remove(&name)?;
            }
        }
        self.storage.sync_names()
    }

    /// Appends a frame of entries to the snapshot being written, and returns its size in bytes.
    pub(crate) fn write_part(&mut self, first: u64, part: &[Entry]) -> Result<u64, JournalError> {
        if part.is_empty() {
            return Ok(0);
        }
        self.out.clear();
        frame::write(first, 0, part, &mut self.out);
        self.storage.append("new", &self.out)?;
        Ok(self.out.len() as u64)
    }
}

/// Reads a snapshot. It was synced completely before it got its name, so any fault in it is damage.
pub(crate) fn read_snapshot(
    name: &str,
    bytes: &[u8],
    covers_up_to: u64,
) -> Result<(JournalState, Option<Chain>), JournalError> {
    let (mut state, mut chain) = (JournalState::default(), None);
    let (mut at, mut count) = (0, 0);
    loop {
        match frame::read(&bytes[at..]) {
            Ok(f) if f.entries.is_empty() && f.first == covers_up_to && f.durable == count => {
                return Ok((state, chain));
            }
            Ok(f) if f.first == count && !f.entries.is_empty() => {
                count += f.entries.len() as u64;
                for e in &f.entries {
                    state.apply(e);
                    if let Some(What::Chain(c)) = &e.what {
                        chain = Chain::from_entry(c).filter(|c| c.at().number == covers_up_to);
                    }
                }
                at += f.length;
            }
            Err(FrameError::Version(version)) => {
                return Err(JournalError::Version { file: name.to_string(), version });
            }
            _ => {
                let (file, offset) = (name.to_string(), at as u64);
                return Err(JournalError::Broken { file, offset, durable: covers_up_to });
            }
        }
    }
}

//! The damage that a failed write or sync leaves in a segment, and its repair.

use crate::{Journal, JournalError, Storage};

/// The damage to the current segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// No damage.
    None,
    /// The segment ends in a partial frame that could not be cut off.
    TornTail,
    /// A sync failed. It is unknown what reached the disk, and a later sync doesn't tell.
    Unsynced,
}

impl<S: Storage> Journal<S> {
    /// Repairs the segment. A torn tail is cut off; where that fails too, or after a failed sync, the whole
    /// state is written to a snapshot, followed by a new segment.
    ///
    /// # Errors
    /// Where the storage still fails: nothing has changed.
    pub(crate) fn repair(&mut self) -> Result<(), JournalError> {
        if self.damage == Damage::TornTail && self.storage.truncate(&self.segment, self.segment_size).is_ok()
        {
            self.damage = Damage::None;
        }
        if self.damage == Damage::None {
            return Ok(());
        }
        self.snapshot()
    }
}

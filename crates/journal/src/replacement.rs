//! Replaces a journal by the snapshot of another one, received in parts. The old contents stay valid until
//! the new snapshot is complete and durable; an incomplete one is ignored.

use crate::chain::Chain;
use crate::entry::{Entry, What};
use crate::state::JournalState;
use crate::{Journal, JournalError, Storage};

/// A snapshot of another journal that is being received.
#[derive(Debug)]
pub struct Replacement {
    state: JournalState,
    chain: Chain,
    /// The number of entries received, and of entries written, the chain included.
    count: u64,
    written: u64,
    size: u64,
}

impl Replacement {
    /// Returns the number of entries received so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the entry number that the snapshot covers up to.
    pub fn number(&self) -> u64 {
        self.chain.at().number
    }
}

impl<S: Storage> Journal<S> {
    /// Starts to receive a snapshot whose chain is `chain`. A snapshot that was begun before is dropped.
    ///
    /// # Errors
    /// [`JournalError::Full`], [`JournalError::Failed`], or an error of the storage; the old contents stay
    /// valid.
    pub fn begin_replacement(&mut self, chain: Chain) -> Result<Replacement, JournalError> {
        if self.failed {
            return Err(JournalError::Failed);
        }
        self.storage.create("new")?;
        let entry = What::Chain(chain.to_entry()).into();
        let mut base = Replacement { state: JournalState::default(), chain, count: 0, written: 0, size: 0 };
        base.size = self.write_part(0, &[entry])?;
        base.written = 1;
        Ok(base)
    }

    /// Adds entries of the snapshot. Old and new contents together take up to twice the journal's limit on
    /// disk.
    ///
    /// # Errors
    /// As at the start; the snapshot can't be continued then.
    pub fn add_to_replacement(
        &mut self,
        base: &mut Replacement,
        entries: &[Entry],
    ) -> Result<(), JournalError> {
        base.size += self.write_part(base.written, entries)?;
        if base.size > self.limits.most {
            return Err(JournalError::Full);
        }
        entries.iter().for_each(|e| base.state.apply(e));
        base.count += entries.len() as u64;
        base.written += entries.len() as u64;
        Ok(())
    }

    /// Replaces the journal's contents by the snapshot, which is now complete.
    ///
    /// # Errors
    /// [`JournalError::Full`], with nothing changed, where the snapshot covers fewer entries than the journal
    /// holds. Where the storage fails, the journal accepts nothing more; the next opening finds either the
    /// old contents or the new ones.
    pub fn finish_replacement(&mut self, base: Replacement) -> Result<(), JournalError> {
        if base.number() < self.next {
            return Err(JournalError::Full);
        }
        self.next = base.number();
        self.state = base.state;
        self.chain = self.chain.is_some().then_some(base.chain);
        let done = self.finish(base.written, base.size);
        self.failed |= done.is_err();
        done
    }

    /// Drops a snapshot that was not completed.
    ///
    /// # Errors
    /// Where the storage fails.
    pub fn abandon_replacement(&mut self) -> Result<(), JournalError> {
        Ok(self.storage.remove("new")?)
    }
}

//! The replica's file as the storage of `omnipaxos`.
//!
//! No method returns an error, because `omnipaxos` panics on one. The log records the failure, and
//! `replica.rs` checks for it before any message is sent; none is sent after a failure. Reads are
//! served from memory.

use super::item::Item;
use super::log::Log;
use super::record::Record;
use heronroute_journal::Storage;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{NoSnapshot, StopSign, StorageOp, StorageResult};
use std::sync::{Arc, Mutex, MutexGuard};

/// A log shared by the consensus protocol and the rest of the replica.
#[derive(Debug)]
pub struct SharedLog<S>(Arc<Mutex<Log<S>>>);

impl<S> Clone for SharedLog<S> {
    fn clone(&self) -> Self {
        SharedLog(Arc::clone(&self.0))
    }
}

impl<S: Storage> SharedLog<S> {
    /// Returns a shared log.
    pub fn new(log: Log<S>) -> Self {
        SharedLog(Arc::new(Mutex::new(log)))
    }

    /// Locks the log.
    pub fn log(&self) -> MutexGuard<'_, Log<S>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn apply_op(&self, apply_op: StorageOp<Item>) {
        let mut log = self.log();
        let end = log.state().end();
        let record = match apply_op {
            StorageOp::AppendEntry(item) => Record::Put(end, vec![item]),
            StorageOp::AppendEntries(items) if items.is_empty() => return,
            StorageOp::AppendEntries(items) => Record::Put(end, items),
            StorageOp::AppendOnPrefix(from, items) => Record::Put(from as u64, items),
            // `omnipaxos` writes back the promise that it has just read; the initial one belongs to nobody.
            StorageOp::SetPromise(b) if b.n == 0 || log.state().promise == Some(b) => return,
            StorageOp::SetPromise(b) => Record::Promise(b),
            // The decided index never decreases. After the log was learnt from others, `omnipaxos` may write
            // a lower one, and the slots above it could then be overwritten.
            StorageOp::SetDecidedIndex(slot) if log.state().decided >= slot as u64 => return,
            StorageOp::SetDecidedIndex(slot) => Record::Decided(slot as u64),
            StorageOp::SetAcceptedRound(b) => Record::Accepted(b),
            StorageOp::Trim(slot) => Record::Trim(slot as u64),
            StorageOp::SetCompactedIdx(_) | StorageOp::SetSnapshot(_) | StorageOp::SetStopsign(_) => return,
        };
        log.write(record);
    }
}

impl<S: Storage> omnipaxos::storage::Storage<Item> for SharedLog<S> {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Item>>) -> StorageResult<()> {
        // These operations and all others until the next commit are written in one frame.
        ops.into_iter().for_each(|apply_op| self.apply_op(apply_op));
        Ok(())
    }
    fn append_entry(&mut self, entry: Item) -> StorageResult<()> {
        self.apply_op(StorageOp::AppendEntry(entry));
        Ok(())
    }
    fn append_entries(&mut self, entries: Vec<Item>) -> StorageResult<()> {
        self.apply_op(StorageOp::AppendEntries(entries));
        Ok(())
    }
    fn append_on_prefix(&mut self, from_idx: usize, entries: Vec<Item>) -> StorageResult<()> {
        self.apply_op(StorageOp::AppendOnPrefix(from_idx, entries));
        Ok(())
    }
    fn set_promise(&mut self, n_prom: Ballot) -> StorageResult<()> {
        self.apply_op(StorageOp::SetPromise(n_prom));
        Ok(())
    }
    fn set_decided_idx(&mut self, ld: usize) -> StorageResult<()> {
        self.apply_op(StorageOp::SetDecidedIndex(ld));
        Ok(())
    }
    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.log().state().decided as usize)
    }
    fn set_accepted_round(&mut self, na: Ballot) -> StorageResult<()> {
        self.apply_op(StorageOp::SetAcceptedRound(na));
        Ok(())
    }
    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.log().state().accepted)
    }
    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Item>> {
        Ok(self.log().state().range(from as u64, to as u64))
    }
    fn get_log_len(&self) -> StorageResult<usize> {
        let log = self.log();
        Ok((log.state().end() - log.state().compacted) as usize)
    }
    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Item>> {
        let log = self.log();
        Ok(log.state().range(from as u64, log.state().end()))
    }
    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.log().state().promise)
    }
    fn set_stopsign(&mut self, _: Option<StopSign>) -> StorageResult<()> {
        Ok(())
    }
    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }
    fn trim(&mut self, idx: usize) -> StorageResult<()> {
        self.apply_op(StorageOp::Trim(idx));
        Ok(())
    }
    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }
    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.log().state().compacted as usize)
    }
    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }
    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}

//! Writes a sender's journal from the sender's thread.

use super::Reactor;
use heronroute_journal::dir::Dir;
use heronroute_journal::space::remove_closed;
use heronroute_journal::{Entry, Journal, JournalError, Usage};
use std::sync::mpsc::Sender;

/// The delay before a failed commit is retried, in microseconds.
const RETRY_DELAY: i64 = 20_000;

/// The destination of a sender's journal entries.
pub enum JournalSink {
    /// The journal writer's thread, which later reports the entries as durable.
    Thread(Sender<Vec<Entry>>),
    /// The sender's own thread. This suits a process with a fraction of one core whose journal is not synced,
    /// where another thread would only add cost.
    Own(Box<OwnJournal>),
}

/// A journal that is written on the sender's own thread.
///
/// Entries of a failed commit are kept, and later entries queue behind them. Their number is bounded: nothing
/// is accepted while the storage fails, and each open message has a bounded number of attempts.
pub struct OwnJournal {
    journal: Journal<Dir>,
    /// Entries that are not durable yet.
    pending_entries: Vec<Entry>,
    /// The number of durable entries at the start.
    durable_at_start: u64,
    /// The number of entries that were dropped unwritten, as their messages were refused. They count as durable.
    dropped: u64,
    /// The time since which commits have failed.
    failing_since: Option<i64>,
    retry_at: Option<i64>,
}

/// The result of a commit.
enum Commit {
    /// The number of entries that became durable since the start, and the journal's usage.
    Durable(u64, Usage),
    /// The storage has begun to fail.
    BeganToFail,
    /// The storage still fails.
    StillFails,
    /// The journal can't be used any more.
    Unusable,
}

impl OwnJournal {
    /// Wraps an opened journal.
    pub fn new(journal: Journal<Dir>) -> Self {
        let durable_at_start = journal.durable();
        OwnJournal {
            journal,
            pending_entries: Vec::new(),
            durable_at_start,
            dropped: 0,
            failing_since: None,
            retry_at: None,
        }
    }

    /// Writes the waiting entries, as far as their messages were not refused since an earlier failure.
    fn write_pending(&mut self) -> Result<u64, JournalError> {
        if self.failing_since.is_some() {
            // What was not durable at the failure was refused to its clients: it is not written any more, and the rest
            // can't be refused.
            self.dropped += remove_closed(&mut self.pending_entries);
            return self.journal.commit_beyond_limit(&self.pending_entries);
        }
        match self.journal.commit(&self.pending_entries) {
            // A snapshot frees the space of the log.
            Err(JournalError::Full) => {
                self.journal.snapshot().and_then(|()| self.journal.commit(&self.pending_entries))
            }
            result => result,
        }
    }

    /// Commits all waiting entries.
    fn commit(&mut self, now: i64) -> Commit {
        match self.write_pending() {
            Ok(count) => {
                self.pending_entries.clear();
                self.retry_at = None;
                if let Some(since) = self.failing_since.take() {
                    tracing::info!(failed_for_ms = (now - since) / 1_000, "the journal can be written again");
                }
                Commit::Durable(count - self.durable_at_start + self.dropped, self.journal.usage())
            }
            Err(JournalError::Failed) => Commit::Unusable,
            Err(error) => {
                self.retry_at = Some(now + RETRY_DELAY);
                if self.failing_since.is_some() {
                    return Commit::StillFails;
                }
                self.failing_since = Some(now);
                tracing::error!(%error, "the journal can't be written; nothing is accepted until it can");
                Commit::BeganToFail
            }
        }
    }
}

impl Reactor {
    /// Writes entries to the journal, or sends them to its thread.
    pub(super) fn write_journal(&mut self, entries: Vec<Entry>) {
        match &mut self.journal {
            None => {}
            Some(JournalSink::Thread(journal)) => self.journal_failed |= journal.send(entries).is_err(),
            Some(JournalSink::Own(own)) => {
                own.pending_entries.extend(entries);
                // While commits fail, the next one waits for its retry time.
                if own.retry_at.is_none() {
                    self.commit();
                }
            }
        }
    }

    /// Returns the time at which a failed commit is retried.
    pub(super) fn journal_retry_at(&self) -> Option<i64> {
        match &self.journal {
            Some(JournalSink::Own(own)) => own.retry_at,
            _ => None,
        }
    }

    /// Retries a failed commit if its time has come.
    pub(super) fn retry_journal(&mut self) {
        let now = self.clock.now();
        if self.journal_retry_at().is_some_and(|at| at <= now) {
            self.commit();
        }
    }

    fn commit(&mut self) {
        let now = self.clock.now();
        let Some(JournalSink::Own(own)) = &mut self.journal else { return };
        match own.commit(now) {
            Commit::Durable(count, usage) => self.node.durable(now, count, usage),
            Commit::BeganToFail => self.node.storage_failed(now),
            Commit::StillFails => {}
            Commit::Unusable => self.journal_failed = true,
        }
    }
}

#[cfg(test)]
mod tests;

//! The journal writer thread of one sender, which commits all waiting entries together (group commit).
//!
//! Entries that arrive during a sync are part of the next commit. So the size of a commit adapts to the load
//! and the disk without a setting, and at low load an entry waits for one sync.

use crate::acceptor::SenderHandle;
use crate::reactor::Command;
use heronroute_journal::dir::Dir;
use heronroute_journal::{Entry, Journal, JournalError, Storage};
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// The maximum number of entries in one commit, which bounds its duration.
const MAX_COMMIT_ENTRIES: usize = 20_000;
/// The delay before a failed commit is retried. No entry is lost meanwhile, and the sender accepts nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Opens a sender's journal in `folder`.
pub fn open(
    folder: &std::path::Path,
    limits: heronroute_journal::Limits,
) -> Result<Journal<Dir>, JournalError> {
    Journal::open(Dir::open(folder)?, limits)
}

/// Runs until the sender has ended. Before each commit, waits `gather` for more entries, which saves syncs
/// where they are expensive.
///
/// # Errors
/// If the journal can't be used any more. The sender must then end at once.
pub fn run<S: Storage>(
    mut journal: Journal<S>,
    queue: &Receiver<Vec<Entry>>,
    sender: &SenderHandle,
    gather: Duration,
) -> Result<(), JournalError> {
    let mut durable = 0;
    while let Ok(mut entries) = queue.recv() {
        if !gather.is_zero() {
            std::thread::sleep(gather);
        }
        while entries.len() < MAX_COMMIT_ENTRIES {
            match queue.try_recv() {
                Ok(more) => entries.extend(more),
                Err(_) => break,
            }
        }
        if !commit(&mut journal, &entries, sender)? {
            break;
        }
        durable += entries.len() as u64;
        if !sender.send(Command::Durable(durable, journal.usage())) {
            break;
        }
    }
    Ok(())
}

/// Commits entries, and retries while the storage fails. Returns false if the sender ends meanwhile.
fn commit<S: Storage>(
    journal: &mut Journal<S>,
    entries: &[Entry],
    sender: &SenderHandle,
) -> Result<bool, JournalError> {
    let mut failing = false;
    loop {
        let error = match journal.commit(entries) {
            Ok(_) => {
                if failing {
                    tracing::info!("the journal can be written again");
                }
                return Ok(true);
            }
            Err(JournalError::Failed) => {
                sender.send(Command::JournalFailed);
                return Err(JournalError::Failed);
            }
            Err(error) => error,
        };
        if matches!(error, JournalError::Full) {
            // A snapshot frees the space of the log. If that is not enough, the entries are written beyond the limit: their
            // messages can't be refused any more, and all later entries wait for them.
            let written = journal.snapshot().and_then(|()| journal.commit_beyond_limit(entries));
            if written.is_ok() {
                return Ok(true);
            }
        }
        if !failing {
            tracing::error!(%error, "the journal can't be written; nothing is accepted until it can");
        }
        failing = true;
        if !sender.send(Command::JournalFailing) {
            return Ok(false);
        }
        std::thread::sleep(RETRY_PAUSE);
    }
}

#[cfg(test)]
mod tests;

//! The journal writer thread of one sender: commits all waiting entries, again and again (group commit).
//!
//! Entries that arrive during a sync are part of the next commit. The size of a commit thus follows the load and the disk
//! without a setting, and at low load an entry waits for one sync.

use crate::acceptor::SenderHandle;
use crate::reactor::Command;
use heronroute_journal::dir::Dir;
use heronroute_journal::{Entry, Journal, JournalError, Storage};
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// Entries in one commit at most: bounds how long one takes.
const MAX_COMMIT_ENTRIES: usize = 20_000;
/// A write to a full disk is retried after this time. No entry is lost meanwhile, and the sender sheds load.
const FULL_RETRY: Duration = Duration::from_millis(50);

/// Opens a sender's journal.
pub fn open(
    folder: &std::path::Path,
    limits: heronroute_journal::Limits,
) -> Result<Journal<Dir>, JournalError> {
    Journal::open(Dir::open(folder)?, limits)
}

/// Runs until the sender is gone. Each entry waits for others for the time `gather`, where syncs are expensive.
///
/// # Errors
/// Where the journal can't go on: the sender must then end at once.
pub fn run<S: Storage>(
    mut journal: Journal<S>,
    inbox: &Receiver<Vec<Entry>>,
    sender: &SenderHandle,
    gather: Duration,
) -> Result<(), JournalError> {
    let mut count = 0;
    while let Ok(mut entries) = inbox.recv() {
        if !gather.is_zero() {
            std::thread::sleep(gather);
        }
        while entries.len() < MAX_COMMIT_ENTRIES {
            match inbox.try_recv() {
                Ok(more) => entries.extend(more),
                Err(_) => break,
            }
        }
        loop {
            match journal.commit(&entries) {
                Ok(_) => break,
                Err(JournalError::Full) => {
                    tracing::error!("the journal is full; nothing more is accepted until there is room");
                    // A snapshot drops the log; where that doesn't help either, room must come from outside.
                    if !matches!(journal.snapshot(), Ok(()) | Err(JournalError::Full)) {
                        return Err(JournalError::Full);
                    }
                    std::thread::sleep(FULL_RETRY);
                }
                Err(e) => {
                    sender.send(Command::JournalFailed);
                    return Err(e);
                }
            }
        }
        count += entries.len() as u64;
        if !sender.send(Command::Durable(count, journal.usage())) {
            break;
        }
    }
    Ok(())
}

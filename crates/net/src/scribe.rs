//! The journal's thread of one sender: commits all that waits, over and over. While one sync runs, what comes in
//! gathers for the next: the size of a commit follows the load and the disk by itself, and at low load an entry
//! waits for one sync.

use crate::door::Way;
use crate::reactor::Command;
use heronroute_journal::dir::Dir;
use heronroute_journal::{Entry, Journal, JournalError, Storage};
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// Entries in one commit at most: bounds how long one takes.
const MOST: usize = 20_000;
/// A full disk is tried again after this; meanwhile nothing is lost, and the sender sheds.
const FULL: Duration = Duration::from_millis(50);

/// Opens a sender's journal.
pub fn open(
    folder: &std::path::Path,
    limits: heronroute_journal::Limits,
) -> Result<Journal<Dir>, JournalError> {
    Journal::open(Dir::open(folder)?, limits)
}

/// Runs until the sender is gone. `gather`: an entry waits so long for others, where syncs are dear. Gives an error where the journal can't go on: the sender must then end at once.
pub fn run<S: Storage>(
    mut journal: Journal<S>,
    inbox: &Receiver<Vec<Entry>>,
    sender: &Way,
    gather: Duration,
) -> Result<(), JournalError> {
    let mut count = 0;
    while let Ok(mut entries) = inbox.recv() {
        if !gather.is_zero() {
            std::thread::sleep(gather);
        }
        while entries.len() < MOST {
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
                    std::thread::sleep(FULL);
                }
                Err(e) => {
                    sender.tell(Command::JournalFailed);
                    return Err(e);
                }
            }
        }
        count += entries.len() as u64;
        if !sender.tell(Command::Durable(count, journal.usage())) {
            break;
        }
    }
    Ok(())
}

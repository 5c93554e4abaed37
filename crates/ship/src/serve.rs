//! Answers what the sending side wants, from the journal.

use crate::{Given, Want};
use heronroute_journal::{Cursor, Journal, JournalError, Storage};

/// Where reading has come to.
#[derive(Debug, Default)]
pub struct Cursors {
    log: Cursor,
    base: Cursor,
}

/// What the journal has of what is wanted. To be called where the journal is written, between commits.
///
/// # Errors
/// Where the journal is broken or can't be read.
pub fn serve<S: Storage>(
    journal: &Journal<S>,
    cursors: &mut Cursors,
    want: Want,
) -> Result<Given, JournalError> {
    let gone = Given::Gone { base: journal.snapshot_chain().map(|c| c.at()) };
    Ok(match want {
        Want::Log { from, most } => journal.read(&mut cursors.log, from, most)?.map_or(gone, Given::Log),
        Want::Base { of, from, most } => {
            journal.read_snapshot_part(&mut cursors.base, of, from, most)?.map_or(gone, Given::Base)
        }
    })
}

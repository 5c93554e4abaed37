//! Performs the journal reads that the sending side requests.

use crate::{ReadRequest, ReadResult};
use heronroute_journal::{Cursor, Journal, JournalError, Storage};

/// The read positions in the log and in the snapshot.
#[derive(Debug, Default)]
pub struct Cursors {
    log: Cursor,
    base: Cursor,
}

/// Performs a requested read. Call it on the thread that writes the journal, between commits.
///
/// # Errors
/// The journal is corrupt or can't be read.
pub fn serve<S: Storage>(
    journal: &Journal<S>,
    cursors: &mut Cursors,
    want: ReadRequest,
) -> Result<ReadResult, JournalError> {
    let gone = ReadResult::Unavailable { base: journal.snapshot_chain().map(|c| c.at()) };
    Ok(match want {
        ReadRequest::Log { from, most } => {
            journal.read(&mut cursors.log, from, most)?.map_or(gone, ReadResult::Log)
        }
        ReadRequest::Snapshot { of, from, most } => {
            journal.read_snapshot_part(&mut cursors.base, of, from, most)?.map_or(gone, ReadResult::Snapshot)
        }
    })
}

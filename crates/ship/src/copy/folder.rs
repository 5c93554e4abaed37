//! The files of a copy beside its journal: the record of its origin, and the files of a copy that was set
//! aside.

use crate::Origin;
use heronroute_journal::{JournalError, Storage};
use std::io;

const ORIGIN_FILE: &str = "copy-of";
const ORIGIN_FILE_NEW: &str = "copy-of-new";
/// Exists while files are being set aside.
const SET_ASIDE_MARKER: &str = "aside-begun";
const SET_ASIDE_PREFIX: &str = "aside-";

/// The reason why a copy can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum CopyError {
    /// The journal can't be opened.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The storage failed.
    #[error("the copy's storage failed: {0}")]
    Storage(#[from] io::Error),
    /// The origin file is corrupt.
    #[error("{ORIGIN_FILE}: corrupt; move the folder away, and the copy is rebuilt from the origin")]
    CorruptOriginFile,
    /// The folder has the copy of another origin.
    #[error("{ORIGIN_FILE}: the folder contains the copy of sender {1} of member {0}")]
    OtherOrigin(String, u32),
}

/// Reads the origin of the copy, with the newest life that wrote it.
pub fn read_origin<S: Storage>(storage: &mut S) -> Result<Option<Origin>, CopyError> {
    let names = storage.list()?;
    if !names.iter().any(|n| n == ORIGIN_FILE) {
        return Ok(None);
    }
    let octets = storage.read(ORIGIN_FILE)?;
    match postcard::take_from_bytes(&octets) {
        Ok((origin, [])) => Ok(Some(origin)),
        _ => Err(CopyError::CorruptOriginFile),
    }
}

/// Records the origin durably. After a crash the file has either the old content or the new one.
pub fn write_origin<S: Storage>(storage: &mut S, origin: &Origin) -> io::Result<()> {
    let octets = postcard::to_stdvec(origin).map_err(io::Error::other)?;
    storage.create(ORIGIN_FILE_NEW)?;
    storage.append(ORIGIN_FILE_NEW, &octets)?;
    storage.sync(ORIGIN_FILE_NEW)?;
    storage.rename(ORIGIN_FILE_NEW, ORIGIN_FILE)?;
    storage.sync_names()
}

fn is_journal_file(name: &str) -> bool {
    name.starts_with("log-") || name.starts_with("snap-")
}

/// Returns whether a copy was set aside completely.
pub fn has_set_aside_copy<S: Storage>(storage: &S) -> io::Result<bool> {
    Ok(storage.list()?.iter().any(|n| n.strip_prefix(SET_ASIDE_PREFIX).is_some_and(is_journal_file)))
}

/// Sets the journal's files aside under other names. After a crash a marker file shows that the renames are
/// incomplete.
pub fn set_aside<S: Storage>(storage: &mut S) -> io::Result<()> {
    storage.create(SET_ASIDE_MARKER)?;
    storage.sync(SET_ASIDE_MARKER)?;
    storage.sync_names()?;
    finish_set_aside(storage)
}

/// Finishes setting files aside if a crash interrupted it.
pub fn finish_set_aside<S: Storage>(storage: &mut S) -> io::Result<()> {
    let names = storage.list()?;
    if !names.iter().any(|n| n == SET_ASIDE_MARKER) {
        return Ok(());
    }
    for name in names.iter().filter(|n| is_journal_file(n)) {
        storage.rename(name, &format!("{SET_ASIDE_PREFIX}{name}"))?;
    }
    // Sync before the marker is removed, so that it can't be gone while a file still has its old name.
    storage.sync_names()?;
    storage.remove(SET_ASIDE_MARKER)?;
    storage.sync_names()
}

//! The start number on disk. It is raised and made durable before a process sends anything.
//!
//! Two lives of one member must never have the same number: the second would be mistaken for the first, and
//! requests of the first for requests of the second. The next number is the greatest of
//!
//! - the number on disk plus one, which is right whatever the wall clock says;
//! - the time of day in microseconds. Where the disk is empty or an old one was restored, the lost numbers
//!   were assigned before now, and each was at most the time of day then or a count onwards from it. A count
//!   can overtake the clock only by starts that are less than a microsecond apart;
//! - the number above the greatest one that others have seen
//!   ([`Change::Behind`](crate::members::Change::Behind)). Where the disk is old or empty and the clock was
//!   set back as well, the others still know the number, and the member stays silent until its own is
//!   greater.
//!
//! One case remains: the disk is lost, the clock was set back, and no running member remembers the number. A
//! number then repeats only if the clock reads the same microsecond again, and the nonce of
//! [`members`](crate::members) still tells the two processes apart.

use crate::Micros;
use crate::name::Start;
use heronroute_journal::Storage;
use std::io;

/// The name of the file.
pub const FILE: &str = "start";
/// The name of the file while it is being written.
const TEMP_FILE: &str = "start.new";
const MAGIC: [u8; 4] = *b"HRS1";
/// The magic bytes, the number, and a checksum of both; little-endian.
const FILE_BYTES: usize = 16;

/// The content of the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredStart {
    /// There is no file: this is the first start, or the disk is empty.
    Nothing,
    /// A start number.
    Number(Start),
    /// The file is torn, altered or can't be read. An operator has to be informed.
    Unreadable,
}

/// A start number that may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewStart {
    /// The number, which is durable.
    pub start: Start,
    /// The content of the disk before.
    pub found: StoredStart,
}

/// No start number is available; the process must not communicate under its name.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The number can't be made durable.
    #[error("start number can't be stored: {0}")]
    Store(#[from] io::Error),
    /// There is no greater number.
    #[error("start numbers are used up")]
    UsedUp,
}

/// Raises the start number for a new life. `wall` is the time of day in microseconds; `seen_by_others` is the
/// greatest number that others have seen of this member, or 0.
///
/// # Errors
/// Fails when no number can be made durable.
pub fn raise(disk: &mut impl Storage, wall: Micros, seen_by_others: Start) -> Result<NewStart, StartError> {
    let found = read_stored(disk);
    let stored = if let StoredStart::Number(start) = found { start } else { Start(0) };
    let candidate = stored.max(seen_by_others).0.checked_add(1).ok_or(StartError::UsedUp)?;
    let start = Start(candidate.max(u64::try_from(wall).unwrap_or(0)));
    // A power loss at any step leaves either the old or the new file whole.
    disk.create(TEMP_FILE)?;
    disk.append(TEMP_FILE, &pack(start))?;
    disk.sync(TEMP_FILE)?;
    disk.rename(TEMP_FILE, FILE)?;
    disk.sync_names()?;
    Ok(NewStart { start, found })
}

/// Reads the start number on disk.
pub fn read_stored(disk: &impl Storage) -> StoredStart {
    match disk.read(FILE) {
        Ok(bytes) => unpack(&bytes).map_or(StoredStart::Unreadable, StoredStart::Number),
        Err(e) if e.kind() == io::ErrorKind::NotFound => StoredStart::Nothing,
        // An unreadable file doesn't prevent a start: the time of day is greater than the number in it.
        Err(_) => StoredStart::Unreadable,
    }
}

fn pack(start: Start) -> [u8; FILE_BYTES] {
    let mut out = [0; FILE_BYTES];
    out[..4].copy_from_slice(&MAGIC);
    out[4..12].copy_from_slice(&start.0.to_le_bytes());
    let sum = crc32fast::hash(&out[..12]);
    out[12..].copy_from_slice(&sum.to_le_bytes());
    out
}

fn unpack(bytes: &[u8]) -> Option<Start> {
    let bytes: &[u8; FILE_BYTES] = bytes.try_into().ok()?;
    let (body, sum) = bytes.split_last_chunk::<4>()?;
    let (magic, number) = body.split_first_chunk::<4>()?;
    let whole = *magic == MAGIC && crc32fast::hash(body) == u32::from_le_bytes(*sum);
    whole.then(|| number.try_into().ok().map(|n| Start(u64::from_le_bytes(n)))).flatten()
}

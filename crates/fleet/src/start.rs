//! The start number on disk: raised, and durable, before a process says anything.
//!
//! What must never happen is that two lives of one member bear one number: the second would be taken for the first, and
//! what the first asked for would be taken for the second's. The next number is the greatest of
//! - the number on disk plus one: it holds whatever the wall clock says;
//! - the time of day in microseconds: where the disk is empty, or an old one was put back, the numbers lost were given
//!   out before now, and each was at most the time of day then or a count on from it. A count gains on the clock only by
//!   starts less than a microsecond apart;
//! - the number above one that others have seen ([`Change::Behind`](crate::members::Change::Behind)): where the disk
//!   is old or empty and the clock was set back as well, the others still know, and the member keeps still until its
//!   number is above theirs.
//!
//! What is left: disk lost, clock set back, and nobody alive who remembers. A number is then repeated only if the clock
//! reads the same microsecond again, and the nonce of [`members`](crate::members) still tells the two apart.

use crate::Micros;
use crate::name::Start;
use heronroute_journal::Storage;
use std::io;

/// The file.
pub const FILE: &str = "start";
/// What it is before it is whole.
const TEMP_FILE: &str = "start.new";
const MAGIC: [u8; 4] = *b"HRS1";
/// Magic, the number, a checksum of both; little-endian.
const FILE_BYTES: usize = 16;

/// What was on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// No file: the first start, or an empty disk.
    Nothing,
    /// A number.
    Number(Start),
    /// A file that holds none: torn, altered, or not to be read. To be told an operator.
    Unreadable,
}

/// A number that may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewStart {
    /// The number, durable.
    pub start: Start,
    /// What was there before.
    pub found: Found,
}

/// No number can be had; the process must not speak under its name.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// It can't be made durable.
    #[error("start number can't be stored: {0}")]
    Store(#[from] io::Error),
    /// There is no greater number.
    #[error("start numbers are used up")]
    UsedUp,
}

/// Raises the number for a new life. `wall`: time of day in microseconds. `above`: the greatest number that others have
/// seen of this member, or 0.
///
/// # Errors
/// Where none can be made durable.
pub fn raise(disk: &mut impl Storage, wall: Micros, seen_by_others: Start) -> Result<NewStart, StartError> {
    let found = look(disk);
    let stored = if let Found::Number(start) = found { start } else { Start(0) };
    let candidate = stored.max(seen_by_others).0.checked_add(1).ok_or(StartError::UsedUp)?;
    let start = Start(candidate.max(u64::try_from(wall).unwrap_or(0)));
    // A new file beside the old one: power lost at any step leaves one that is whole.
    disk.create(TEMP_FILE)?;
    disk.append(TEMP_FILE, &pack(start))?;
    disk.sync(TEMP_FILE)?;
    disk.rename(TEMP_FILE, FILE)?;
    disk.sync_names()?;
    Ok(NewStart { start, found })
}

/// What is on disk.
pub fn look(disk: &impl Storage) -> Found {
    match disk.read(FILE) {
        Ok(bytes) => unpack(&bytes).map_or(Found::Unreadable, Found::Number),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Found::Nothing,
        // Nor is this a reason not to start: the time of day is above what was there.
        Err(_) => Found::Unreadable,
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

//! Frames, the unit of a commit: a frame is read as a whole or not at all.
//!
//! A frame's header has 36 bytes, little-endian: magic, version, payload length, CRC-32 (of everything but
//! itself and the magic), number of the first entry, count of entries, and the number up to which entries
//! were durable when the frame was written. The last field distinguishes a torn tail from damage in the
//! middle: entries that a later frame calls durable must be present.

use crate::entry::Entry;
use prost::Message as _;

/// The magic number at the start of each frame.
pub const MAGIC: u32 = 0x4A52_4E48;
/// The version of the format.
pub const VERSION: u32 = 1;
/// The size of a frame's header, in bytes.
pub const HEADER_SIZE: usize = 36;
/// The maximum size of a frame's payload, in bytes.
pub const MAX_PAYLOAD: usize = 1 << 28;

/// A decoded frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The number of the first entry.
    pub first: u64,
    /// Entries with lower numbers were durable when the frame was written.
    pub durable: u64,
    /// The entries of the frame.
    pub entries: Vec<Entry>,
    /// The size of the frame, in bytes.
    pub length: usize,
}

/// The header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The number of the first entry.
    pub first: u64,
    /// The count of entries.
    pub count: u32,
    /// Entries with lower numbers were durable when the frame was written.
    pub durable: u64,
    /// The size of the whole frame, in bytes.
    pub length: usize,
}

/// Why no frame could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The input is empty.
    End,
    /// The input doesn't begin with a complete, intact frame.
    Torn,
    /// The frame has another version of the format.
    Version(u32),
}

/// Appends an encoded frame to `out`.
pub fn write(first: u64, durable: u64, entries: &[Entry], out: &mut Vec<u8>) {
    let start = out.len();
    out.resize(start + HEADER_SIZE, 0);
    for e in entries {
        // Encoding into a vector can't fail.
        _ = e.encode_length_delimited(out);
    }
    let payload = (out.len() - start - HEADER_SIZE) as u32;
    let header = &mut out[start..start + HEADER_SIZE];
    header[0..4].copy_from_slice(&MAGIC.to_le_bytes());
    header[4..8].copy_from_slice(&VERSION.to_le_bytes());
    header[8..12].copy_from_slice(&payload.to_le_bytes());
    header[16..24].copy_from_slice(&first.to_le_bytes());
    header[24..28].copy_from_slice(&(entries.len() as u32).to_le_bytes());
    header[28..36].copy_from_slice(&durable.to_le_bytes());
    let crc = checksum(&out[start..]);
    out[start + 12..start + 16].copy_from_slice(&crc.to_le_bytes());
}

/// Returns the checksum of an encoded frame.
pub fn checksum(frame: &[u8]) -> u32 {
    let mut h = crc32fast::Hasher::new();
    h.update(&frame[4..12]);
    h.update(&frame[16..]);
    h.finalize()
}

/// Decodes the header at the start of `bytes` without checking the frame's length or checksum.
///
/// # Errors
/// Where there is no header.
pub fn read_header_unchecked(bytes: &[u8]) -> Result<Header, FrameError> {
    if bytes.is_empty() {
        return Err(FrameError::End);
    }
    if bytes.len() < HEADER_SIZE {
        return Err(FrameError::Torn);
    }
    let u32_at = |i: usize| u32::from_le_bytes([bytes[i], bytes[i + 1], bytes[i + 2], bytes[i + 3]]);
    let u64_at = |i: usize| u64::from(u32_at(i)) | u64::from(u32_at(i + 4)) << 32;
    if u32_at(0) != MAGIC {
        return Err(FrameError::Torn);
    }
    let payload = u32_at(8) as usize;
    if payload > MAX_PAYLOAD {
        return Err(FrameError::Torn);
    }
    Ok(Header { first: u64_at(16), count: u32_at(24), durable: u64_at(28), length: HEADER_SIZE + payload })
}

/// Decodes the header at the start of `bytes`, and checks that the frame is complete and intact.
///
/// # Errors
/// Where there is no such frame.
pub fn read_header(bytes: &[u8]) -> Result<Header, FrameError> {
    let header = read_header_unchecked(bytes)?;
    if bytes.len() < header.length {
        return Err(FrameError::Torn);
    }
    let u32_at = |i: usize| u32::from_le_bytes([bytes[i], bytes[i + 1], bytes[i + 2], bytes[i + 3]]);
    if checksum(&bytes[..header.length]) != u32_at(12) {
        return Err(FrameError::Torn);
    }
    if u32_at(4) != VERSION {
        return Err(FrameError::Version(u32_at(4)));
    }
    Ok(header)
}

/// Decodes the frame at the start of `bytes`.
///
/// # Errors
/// Where there is no such frame.
pub fn read(bytes: &[u8]) -> Result<Frame, FrameError> {
    let Header { first, count, durable, length } = read_header(bytes)?;
    let mut rest = &bytes[HEADER_SIZE..length];
    let mut entries = Vec::new();
    for _ in 0..count {
        entries.push(Entry::decode_length_delimited(&mut rest).map_err(|_| FrameError::Torn)?);
    }
    Ok(Frame { first, durable, entries, length })
}

/// Returns the encoded form of each entry in a sequence of length-prefixed entries. Ends at the first
/// malformed entry.
pub fn encoded_entries(mut bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        if bytes.is_empty() {
            return None;
        }
        let length = prost::decode_length_delimiter(&mut bytes).ok()?;
        let (piece, rest) = bytes.split_at_checked(length)?;
        bytes = rest;
        Some(piece)
    })
}

/// Returns the highest number up to which any intact frame in `bytes` calls entries durable. Scans every
/// byte, as it runs only after damage was found.
pub fn highest_durable_number(bytes: &[u8]) -> u64 {
    let magic = MAGIC.to_le_bytes();
    let starts = bytes.windows(4).enumerate().filter(|(_, w)| *w == magic).map(|(i, _)| i);
    starts.filter_map(|i| read(&bytes[i..]).ok()).map(|f| f.durable).max().unwrap_or(0)
}

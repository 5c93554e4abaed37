//! The frames of a replica's file. Each commit is one frame and is applied whole or not at all.
//!
//! ```text
//! magic    4 bytes
//! length   u32 little-endian, of the payload
//! crc      u32 little-endian, over length, number and payload
//! number   u64 little-endian; one more than that of the previous frame
//! payload  a sequence of postcard-encoded Records
//! ```
//!
//! A frame is synced before the next one is begun, so only the last one can be torn. Where an unreadable
//! place is followed by a whole frame, it was durable once: the file is corrupt, and the replica must not
//! continue with what precedes it.

use super::chain::Chain;
use super::item::Item;
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};

/// How much a replica has made durable, ordered by its readmissions and then by its commits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    /// One more than the slot of its last readmission; 0 if it never lost a disk.
    pub epoch: u64,
    /// The number of commits.
    pub writes: u64,
}

/// The greatest mark that was received of a replica, and the life it came from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The mark.
    pub mark: Mark,
    /// The life, by the random number it drew.
    pub nonce: u64,
}

/// A change in a commit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The owner of the file; the first record in each.
    Owner {
        /// The checksum of the installation and its replicas.
        group: u32,
        /// The replica's number.
        pid: u8,
    },
    /// Nothing below this ballot is accepted any more.
    Promise(Ballot),
    /// The ballot of the last accepted entry.
    Accepted(Ballot),
    /// The number of decided slots.
    Decided(u64),
    /// The items of the log from this slot on.
    Put(u64, Vec<Item>),
    /// The log before this slot was removed.
    Trim(u64),
    /// A snapshot of the state at this slot; the log before it can be removed.
    Base(u64, Vec<u8>),
    /// The same for a snapshot that was learnt from others; it replaces the log.
    Install(u64, Vec<u8>),
    /// The marks of all replicas.
    Seen(Vec<Seen>),
    /// The known readmissions of each replica.
    Epochs(Vec<u64>),
    /// The replica takes part in consensus, with this epoch.
    Voting(u64),
    /// The replica's promises are lost: it takes no part in consensus.
    Lost,
    /// The file system's identity of the file at the time of writing.
    Place(u64),
    /// The hash chain's head before the first slot that is still in the log.
    Root(Chain),
}

/// The version of the file format: frames, records, items, and the snapshots and entry bodies that the
/// installation encodes. Raise it by one, up to 9, whenever the bytes of any of these change, or what they
/// mean: a file of another version is refused. If the frame header changes as well, [`other_format`] has to
/// know the old one. `tests/golden.rs` fails when the bytes change.
pub const FORMAT: u8 = 2;
const MAGIC: [u8; 4] = magic(FORMAT);

const fn magic(format: u8) -> [u8; 4] {
    [b'h', b'k', b'l', b'0' + format]
}

/// The number of bytes before the payload.
pub const HEADER_BYTES: usize = 20;
/// The maximum number of bytes in a payload.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;

/// Appends a frame.
pub fn write(number: u64, payload: &[u8], out: &mut Vec<u8>) {
    let length = (payload.len() as u32).to_le_bytes();
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&length);
    out.extend_from_slice(&checksum(&length, &number.to_le_bytes(), payload).to_le_bytes());
    out.extend_from_slice(&number.to_le_bytes());
    out.extend_from_slice(payload);
}

fn checksum(length: &[u8], number: &[u8], payload: &[u8]) -> u32 {
    let mut h = crc32fast::Hasher::new();
    h.update(length);
    h.update(number);
    h.update(payload);
    h.finalize()
}

/// Decodes the frame at the start of `bytes`: returns its number, its payload and the remaining bytes, or
/// `None` if there is no whole frame.
pub fn read(bytes: &[u8]) -> Option<(u64, &[u8], &[u8])> {
    read_with_magic(MAGIC, bytes)
}

/// Returns the format of the frame at the start of `bytes` if it is a whole frame of another format.
pub fn other_format(bytes: &[u8]) -> Option<u8> {
    (0..=9).filter(|format| *format != FORMAT).find(|format| read_with_magic(magic(*format), bytes).is_some())
}

fn read_with_magic(wanted: [u8; 4], bytes: &[u8]) -> Option<(u64, &[u8], &[u8])> {
    let (magic, rest) = bytes.split_first_chunk::<4>()?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (crc, rest) = rest.split_first_chunk::<4>()?;
    let (number, rest) = rest.split_first_chunk::<8>()?;
    let size = u32::from_le_bytes(*length) as usize;
    if *magic != wanted || size > MAX_PAYLOAD_BYTES || rest.len() < size {
        return None;
    }
    let (payload, rest) = rest.split_at(size);
    (checksum(length, number, payload) == u32::from_le_bytes(*crc))
        .then(|| (u64::from_le_bytes(*number), payload, rest))
}

/// Returns whether a whole frame begins anywhere in `bytes`. It is slow, but only called for a damaged file.
pub fn contains_frame(bytes: &[u8]) -> bool {
    let starts = bytes.windows(4).enumerate().filter(|(_, w)| *w == MAGIC).map(|(i, _)| i);
    starts.filter_map(|i| bytes.get(i..)).any(|rest| read(rest).is_some())
}

/// Decodes the records of a payload.
pub fn records(mut payload: &[u8]) -> Option<Vec<Record>> {
    let mut all = Vec::new();
    while !payload.is_empty() {
        let (record, rest) = postcard::take_from_bytes(payload).ok()?;
        all.push(record);
        payload = rest;
    }
    Some(all)
}

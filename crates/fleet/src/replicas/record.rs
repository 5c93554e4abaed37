//! Frames of the keepers' file: one for each commit, whole or nothing.
//!
//! ```text
//! magic    4 octets
//! length   u32 little-endian, of the payload
//! crc      u32 little-endian, over length, number and payload
//! number   u64 little-endian; one more than the frame before
//! payload  postcard of Record, one after another
//! ```
//!
//! Each frame is synced before the next is begun, so only the last can be torn. A place that can't be read with a whole
//! frame behind it was durable once: it is broken, and a keeper must not go on with what is before it.

use super::chain::Chain;
use super::item::Item;
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};

/// How much a keeper has made durable: its readmissions count first, then its commits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    /// One more than the slot of its last readmission; 0 where it never lost a disk.
    pub epoch: u64,
    /// Commits.
    pub writes: u64,
}

/// The greatest mark heard of a keeper, and of which life of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The mark.
    pub mark: Mark,
    /// The life, by the number it drew.
    pub nonce: u64,
}

/// What a commit says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Whose file it is; begins each.
    Owner {
        /// The installation and its keepers, as a checksum.
        group: u32,
        /// The keeper.
        pid: u8,
    },
    /// Nothing below this ballot is followed any more.
    Promise(Ballot),
    /// The ballot of the last entry taken.
    Accepted(Ballot),
    /// Slots decided.
    Decided(u64),
    /// The log from this slot on is this.
    Put(u64, Vec<Item>),
    /// The log before this slot is not kept.
    Trim(u64),
    /// The state at this slot, by which the log before it can be left out.
    Base(u64, Vec<u8>),
    /// The same, and nothing of the log is kept; it was learnt from others.
    Install(u64, Vec<u8>),
    /// Marks of all keepers.
    Seen(Vec<Seen>),
    /// Readmissions known, for each keeper.
    Epochs(Vec<u64>),
    /// It takes part.
    Voting(u64),
    /// Its promises are lost: it does not take part.
    Lost,
    /// Which file this was when it was written.
    Place(u64),
    /// The chain's head before the first slot that the log still has.
    Root(Chain),
}

/// The number of the file's format: frames, records, items, and the snapshots and bodies of entries that the installation
/// packs. To be raised by one, up to 9, whenever the octets of any of these change, or what they mean: a file of another
/// number is refused. Where a frame's head changes too, [`other_format`] has to know the old one. `tests/golden.rs` fails
/// where octets change.
pub const FORMAT: u8 = 2;
const MAGIC: [u8; 4] = magic(FORMAT);

const fn magic(format: u8) -> [u8; 4] {
    [b'h', b'k', b'l', b'0' + format]
}

/// Octets before the payload.
pub const HEAD: usize = 20;
/// Octets of a payload at most.
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

/// The frame that begins here: its number, its payload, and what follows. Nothing where none is whole.
pub fn read(bytes: &[u8]) -> Option<(u64, &[u8], &[u8])> {
    read_with_magic(MAGIC, bytes)
}

/// The format of the frame that begins here, where it is a whole one of another format.
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

/// Whether a whole frame begins anywhere here. Looked for only once something is wrong, so it may cost.
pub fn contains_frame(bytes: &[u8]) -> bool {
    let starts = bytes.windows(4).enumerate().filter(|(_, w)| *w == MAGIC).map(|(i, _)| i);
    starts.filter_map(|i| bytes.get(i..)).any(|rest| read(rest).is_some())
}

/// The records of a payload.
pub fn records(mut payload: &[u8]) -> Option<Vec<Record>> {
    let mut all = Vec::new();
    while !payload.is_empty() {
        let (record, rest) = postcard::take_from_bytes(payload).ok()?;
        all.push(record);
        payload = rest;
    }
    Some(all)
}

//! The replication messages, encoded with postcard.
//!
//! Each message carries the life of its origin and a session number, so that late messages of an older life
//! or session are ignored.

use crate::Origin;
use heronroute_journal::{Digest, Mark};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The maximum size of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// The maximum size of the entries in one message, in bytes.
pub const MAX_CHUNK_BYTES: usize = 60 << 10;
/// The maximum size of an entry in bytes. A larger one can't be replicated.
pub const MAX_ENTRY_BYTES: usize = 16 << 20;

/// The number of an entry and the digest of all entries before it.
pub type Position = (u64, Digest);

/// Converts a position from its wire form to the journal's form.
pub fn to_mark((number, digest): Position) -> Mark {
    Mark { number, digest }
}

/// Converts a position from the journal's form to its wire form.
pub fn to_position(mark: Mark) -> Position {
    (mark.number, mark.digest)
}

/// A message in either direction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message<B> {
    /// The origin of the journal.
    pub origin: Origin,
    /// The session number, from 1. A later session has a higher one.
    pub session: u32,
    /// The content.
    pub body: B,
}

/// Several whole entries, or a part of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The number of the first entry, or its index in the snapshot.
    pub first: u64,
    /// The number of entries that end in this message.
    pub count: u64,
    /// Whether the entry continues in the next message. This message then has no other entry.
    pub more: bool,
    /// The encoded entries, each prefixed by its length.
    pub octets: Vec<u8>,
    /// The digest of all entries up to the last of these; in a snapshot, of the snapshot's entries.
    pub digest: Digest,
}

/// The content of a message from the origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromOrigin {
    /// Begins a session. The partner replies with its position.
    Hello {
        /// The number of the origin's next entry.
        next: u64,
        /// The highest position that was acknowledged to the origin, as far as it knows.
        acked: u64,
    },
    /// Entries of the log.
    Run(Entries),
    /// Begins a snapshot, which replaces the copy.
    Snapshot {
        /// The position that the snapshot represents.
        at: Position,
        /// Earlier positions.
        marks: Vec<Position>,
    },
    /// Entries of the snapshot.
    SnapshotEntries(Entries),
    /// Ends the snapshot. The partner replies with its position once the copy is replaced.
    SnapshotEnd {
        /// The number of entries in the snapshot.
        count: u64,
    },
    /// Asks to set aside a copy that has diverged from the origin. The partner replies with its position.
    SetAside {
        /// The position of the copy.
        copy: Position,
        /// The number of the origin's next entry.
        origin: u64,
    },
}

/// The content of a message from the partner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromPartner {
    /// Reports the position of the copy, from which entries are to be sent.
    Position {
        /// The position. All entries before it are durable.
        at: Position,
        /// Earlier positions of the copy.
        marks: Vec<Position>,
        /// The bytes of entries that may be in flight.
        window: u32,
    },
    /// Acknowledges the entries before a number as durable.
    Durable {
        /// The number of the first entry that is not durable.
        next: u64,
    },
    /// Acknowledges entries of the snapshot as received. They are not durable yet.
    SnapshotReceived {
        /// The number of entries received so far.
        count: u64,
    },
    /// The storage is full. Received entries are not durable and wait; a snapshot was dropped.
    Full,
    /// An entry can't be stored unchanged.
    EntryRejected {
        /// The number of the entry.
        number: u64,
    },
    /// A newer life of the origin is known.
    NewerLife {
        /// The start number of that life.
        start: u64,
    },
    /// Another copy is set aside already.
    SetAsideExists,
    /// The storage of the copy failed.
    Failed,
}

/// Encodes a message. Returns none if it would be too large.
pub fn write<B: Serialize>(message: &Message<B>) -> Option<Vec<u8>> {
    postcard::to_stdvec(message).ok().filter(|octets| octets.len() <= MAX_MESSAGE_BYTES)
}

/// Decodes a message. Returns none if the input is malformed, too large, or has trailing bytes.
pub fn read<B: DeserializeOwned>(octets: &[u8]) -> Option<Message<B>> {
    if octets.len() > MAX_MESSAGE_BYTES {
        return None;
    }
    postcard::take_from_bytes(octets).ok().filter(|(_, rest)| rest.is_empty()).map(|(message, _)| message)
}

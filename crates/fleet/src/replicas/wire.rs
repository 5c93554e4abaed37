//! The messages about the replicated log: encoded with postcard, at most [`MAX_MESSAGE_BYTES`] bytes.

use super::chain::Chain;
use super::item::Item;
use super::record::{Mark, Seen};
use super::tuning::MAX_MESSAGE_BYTES;
use crate::Micros;
use crate::entry::{Entry, Request, Term};
use crate::name::Start;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

/// The lane of a message. Each lane keeps its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// Messages between replicas.
    Agreement,
    /// Decided log and requests, between any member and a replica.
    Log,
}

/// The header of each message between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The checksum of the installation and its replicas.
    pub group: u32,
    /// The sender's start number.
    pub start: Start,
    /// The sender's life, by the random number it drew.
    pub nonce: u64,
    /// The receiver's life as the sender knows it, or 0.
    pub to: u64,
    /// The sequence number of the message in this direction, from 1, for each pair of lives.
    pub number: u64,
    /// Whether the sender takes part in consensus.
    pub voting: bool,
    /// The sender's mark when it started, and now.
    pub opened: Mark,
    /// See [`Head::opened`].
    pub mark: Mark,
    /// The greatest marks that the sender has received, for each replica.
    pub seen: Vec<Seen>,
    /// See [`super::state::State::epochs`].
    pub epochs: Vec<u64>,
    /// The sender's clock.
    pub sent: Micros,
    /// The receiver's clock in the last message that the sender received from it.
    pub echo: Micros,
}

/// The position and hash chain head of a replica's log, for comparison with another replica's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The number of decided slots.
    pub decided: u64,
    /// The number of slots.
    pub end: u64,
    /// The number of slots that both sender and receiver have decided, as far as the sender knows.
    pub at: u64,
    /// The hash chain's head up to there, or `None` if the sender's log begins later.
    pub head: Option<Chain>,
    /// Whether the receiver is asked to reply with its own.
    pub ask: bool,
}

/// A message between replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Announces the sender and its log position.
    Hello(LogPosition),
    /// A message of the receiver is missing.
    Gap,
    /// The receiver lacks more of the log than the consensus protocol can carry: this many slots are decided.
    Behind(u64),
    /// A message of the consensus protocol.
    Paxos(Message<Item>),
    /// The leader asks to renew its lease.
    Renew {
        /// The term.
        term: Term,
        /// The time of the request, on the leader's clock.
        sent: Micros,
        /// Whether the leader already holds the lease from a majority. A leader that was replaced without
        /// receiving the news keeps asking, and gets no grant.
        held: bool,
    },
    /// The sender gives no other member a term until the lease has expired.
    Grant {
        /// The term.
        term: Term,
        /// The time from the request.
        sent: Micros,
    },
    /// The receiver may take part from here on.
    Admit {
        /// The readmitted life.
        nonce: u64,
        /// The slot of the readmission.
        slot: u64,
        /// The leader's ballot; the receiver may accept nothing below it.
        ballot: Ballot,
    },
}

/// A message about the decided log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogMessage {
    /// Asks for the log from this slot on. While a snapshot is being fetched, `part` holds its slot and the
    /// number of bytes received.
    Pull {
        /// The next slot wanted.
        from: u64,
        /// The incomplete snapshot.
        part: Option<(u64, u64)>,
        /// The learner's clock.
        sent: Micros,
    },
    /// Decided items from a slot on; may be empty.
    Items {
        /// The slot of the first item.
        from: u64,
        /// The items.
        items: Vec<Item>,
        /// The state of the sender's log.
        tip: LogStatus,
    },
    /// A part of a snapshot.
    Part {
        /// The slot of the snapshot.
        slot: u64,
        /// The total number of bytes.
        total: u64,
        /// The offset of this part.
        at: u64,
        /// The bytes of this part.
        bytes: Vec<u8>,
        /// The state of the sender's log.
        tip: LogStatus,
    },
    /// Requests an entry.
    Ask {
        /// The entry.
        entry: Entry,
        /// How often the request was forwarded.
        hops: u8,
    },
    /// The request can't be decided now.
    Refuse {
        /// The request.
        request: Request,
        /// Whether a majority exists but there is no room.
        busy: bool,
    },
}

/// The state of a replica's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// The number of decided slots.
    pub decided: u64,
    /// Whether the replica reaches a majority.
    pub majority: bool,
    /// Whether decisions bypass the replica, so that it has nothing new: a learner should ask another one.
    pub bypassed: bool,
    /// The ballot below which the replica accepts nothing.
    pub ballot: Option<Ballot>,
    /// The learner's clock when it asked.
    pub echo: Micros,
}

/// Encodes a message. Returns `None` if it is too long to be sent.
pub fn pack<T: Serialize>(content: &T) -> Option<Vec<u8>> {
    postcard::to_stdvec(content).ok().filter(|bytes| bytes.len() <= MAX_MESSAGE_BYTES)
}

/// Decodes a message. Returns `None` unless all of the bytes are one message of allowed length.
pub fn unpack<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return None;
    }
    let (content, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(content)
}

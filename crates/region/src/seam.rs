//! What a sender's node and its process exchange about regions. The types are in this crate so that the
//! engine does not depend on how the process obtains them. None of them is used if the settings have no
//! regions.

use crate::Micros;
use heronroute_fleet::{Life, Name};
use serde::{Deserialize, Serialize};

/// The lease of a process: until when its nodes may begin attempts and report final answers, on the
/// process's clock. It is checked where the bytes are written: what was queued under an expired lease is
/// taken back unsent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SendLease {
    /// Nothing is sent at or after this time.
    pub until: Micros,
}

/// A client's name of a message, as the digest that is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameDigest {
    /// The upper half.
    pub high: u64,
    /// The lower half.
    pub low: u64,
}

/// A node's identifier of a reservation request, repeated in the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The sender's number in its process.
    pub sender: usize,
    /// A number that one node never uses twice.
    pub number: u64,
}

/// Requests the reservation of a name that is new at this sender: is it new in the installation?
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservationRequest {
    /// Repeated in the reply.
    pub token: Token,
    /// The client's system_id.
    pub client: String,
    /// The name.
    pub digest: NameDigest,
    /// The name is remembered until this time of day.
    pub until: Micros,
}

/// The reply to a [`ReservationRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReservationReply {
    /// The name is new and reserved for this sender, which soon reports whether it accepted the message
    /// ([`ReservationResult`]).
    New,
    /// The message was accepted at another member. The client is told so, and gets the final answer from
    /// here.
    AcceptedAt {
        /// The member that has the message, or had it last.
        at: Name,
    },
    /// Another reservation of the name is not settled yet: the client should retry later.
    Unsettled {
        /// The delay in microseconds.
        retry_after: Micros,
    },
    /// The home of the name can't be reached. A message that may be repeated is accepted where it arrived;
    /// any other is refused with this delay for a retry.
    Unreached {
        /// The delay in microseconds.
        retry_after: Micros,
    },
}

/// The result of a reservation that was answered with [`ReservationReply::New`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservationResult {
    /// The token of the reservation request.
    pub token: Token,
    /// Whether the message's acceptance is durable; if not, it was refused, and the name is free.
    pub accepted: bool,
}

/// How many entries of a sender's journal are durable at its partner in the other region, by the journal's
/// own numbering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shipped {
    /// The sender's number in its process.
    pub sender: usize,
    /// All entries before this one are durable.
    pub upto: u64,
    /// Whether the partner is reachable and within the allowed lag. If not, messages that have to be in
    /// both regions are refused until it is.
    pub stands: bool,
}

/// The work of an earlier life of this member was given to a partner while the member was away: nothing in
/// its journals before these positions is sent or answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fenced {
    /// The life that was taken over.
    pub of: Life,
    /// The positions by sender. `None` while they are not known: then nothing accepted earlier is sent or
    /// answered at all.
    pub upto: Option<Vec<u64>>,
}

/// Starts a takeover: this member finishes what a life of another member had accepted. The copy is opened
/// as it is and accepts nothing more from that life; the open messages in it are accepted here durably, and
/// then the nodes report it stored. None of them is sent or answered before the log confirms the takeover.
/// Repeated after a restart, and when it covers more than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartTakeover {
    /// The life that is taken over.
    pub of: Life,
    /// The positions by sender: entries before them already belonged to another member and are not taken
    /// over here.
    pub from: Vec<u64>,
}

/// Reports that all messages of a takeover are durable here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeoverStored {
    /// The life that is taken over.
    pub of: Life,
    /// The end of the copy, by sender.
    pub upto: Vec<u64>,
}

/// The log confirms the takeover: from now on this member sends and answers the messages as its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeoverConfirmed {
    /// The life that was taken over.
    pub of: Life,
}

/// Another member was assigned the takeover instead, because this member was dead: what was taken over here
/// is dropped unsent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CancelTakeover {
    /// The life that was to be taken over.
    pub of: Life,
}

/// The members that have a complete copy of this one's journals now, most preferred first. Reported on each
/// change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copies {
    /// At most [`crate::agreed::MAX_COPIES`] members, of other regions.
    pub by: Vec<Name>,
}

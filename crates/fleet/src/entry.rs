//! Entries of the replicated log. Their bodies are opaque to this crate.

use crate::Micros;
use crate::name::Life;
use serde::{Deserialize, Serialize};

/// The maximum number of bytes in an entry's body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A leader's term. Terms are ordered: the greatest one is valid, and orders that carry a lesser one are
/// refused. 0 means that there is no leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// Identifies a request by the process that made it and that process's number for it. A request that is
/// repeated keeps its identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request {
    /// The process that made the request.
    pub from: Life,
    /// The process's number for the request.
    pub number: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The request that it came from. A request that is decided twice takes effect once.
    pub request: Request,
    /// The time of day at the requesting member, in microseconds. Whoever applies the log uses the greatest
    /// value so far, so that time in the log never goes back.
    pub wall: Micros,
    /// The content, at most [`MAX_BODY_BYTES`] bytes.
    pub body: Vec<u8>,
}

/// A decided entry with its index, which is the same at every member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decided {
    /// The index, from 1 and without gaps.
    pub index: u64,
    /// The entry.
    pub entry: Entry,
}

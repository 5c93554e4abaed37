//! What the keepers agree on: an ordered log of entries whose meaning is not known here.

use crate::Micros;
use crate::name::Life;
use serde::{Deserialize, Serialize};

/// Octets of an entry's body at most.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Who is in charge, in order: of two terms the greater one holds, and orders of a lesser one are refused. 0: nobody.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A request by the life that made it and its own number for it: asked again, it is the same request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Who asked first.
    pub from: Life,
    /// Its number.
    pub number: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The request it came from. The same request decided twice counts once.
    pub request: Request,
    /// Time of day at the member that asked, in microseconds. Whoever applies the log takes the greatest seen so far, so
    /// that time in it never goes back.
    pub wall: Micros,
    /// What it says; [`MOST_BODY`] octets at most.
    pub body: Vec<u8>,
}

/// An entry at its place, the same at every member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decided {
    /// Its place, from 1, without gaps.
    pub index: u64,
    /// The entry.
    pub entry: Entry,
}

//! Storage limits, and counts of what is stored and dropped.

use crate::Micros;

/// Storage limits.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// The maximum age.
    pub age: Micros,
    /// The maximum number of messages.
    pub count: usize,
    /// The maximum number of bytes.
    pub octets: u64,
}

/// The number of messages dropped since the start, by the limit that they exceeded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Messages that were too old.
    pub age: u64,
    /// Messages beyond the maximum number.
    pub count: u64,
    /// Messages beyond the maximum number of bytes.
    pub octets: u64,
}

/// What is stored of an owner, and what was dropped.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Owner {
    pub(crate) count: usize,
    pub(crate) octets: u64,
    pub(super) dropped: Dropped,
}

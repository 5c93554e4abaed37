//! Detection of messages that were submitted before.
//!
//! A ring of recent requests remembers what the client of a session may send again; a table of names
//! remembers the identities that all clients of a sender gave their messages themselves. Both use bounded
//! memory. The result is a [`Verdict`]: new, the same as an earlier message, or unknown. A message that may
//! have been forgotten is never called new.
//!
//! The library reads no clock, knows no protocol and keeps no messages.

#![forbid(unsafe_code)]

mod recent;
mod seen;

pub use recent::{RecentRequests, RequestKey};
pub use seen::{GIVEN_UP, Name, SeenNames, digest};

/// Whether a message was submitted before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The message was not submitted before.
    New,
    /// The message is the one with this number.
    Same(u64),
    /// The memory that would decide it was dropped.
    Unsure,
}

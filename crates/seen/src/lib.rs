//! Which messages were handed in before.
//!
//! Does: remembers, for a session, the requests that its client may send once more ([`Recent`]), and, for all
//! clients of a sender, identities that clients gave their messages themselves ([`Seen`]), both in bounded memory.
//! Decides: whether a message is new, the same as one before, or can't be told ([`Verdict`]). It errs on one side
//! only: what may have been forgotten is never called new.
//! Never: reads a clock, knows a protocol, or keeps a message.

#![forbid(unsafe_code)]

mod recent;
mod seen;

pub use recent::{Handle, Recent};
pub use seen::{Name, Seen, digest};

/// Whether a message was handed in before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Surely not.
    New,
    /// It is this one.
    Same(u64),
    /// What would tell was forgotten.
    Unsure,
}

//! The items in the slots of the replicated log.

use crate::entry::{Entry, Term};
use crate::name::Life;
use omnipaxos::storage::NoSnapshot;
use serde::{Deserialize, Serialize};

/// The item in a slot. Slots are the positions of the log, counted from 0. The indexes that members see
/// ([`crate::Decided`]) count only [`Item::Asked`], and only the first occurrence of a request that was
/// decided twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// A requested entry.
    Asked(Entry),
    /// A new leader and its term, from here on.
    Leadership {
        /// The term.
        term: Term,
        /// The leading life.
        life: Life,
    },
    /// A replica that lost its promises (its disk is empty or an old one) may take part again, in this life.
    Readmit {
        /// The replica's number.
        pid: u8,
        /// The life, by the random number it drew at its start.
        nonce: u64,
    },
}

impl omnipaxos::storage::Entry for Item {
    /// No snapshots in the protocol: a follower that lacks more than the log holds first learns the decided
    /// prefix ([`super::learn`]) in bounded pieces, and not in one large protocol message.
    type Snapshot = NoSnapshot;
}

impl Item {
    /// Returns the number of bytes that the item counts towards limits: its body and an allowance for the
    /// encoding.
    pub fn bytes(&self) -> u64 {
        match self {
            Item::Asked(entry) => entry.body.len() as u64 + 128,
            Item::Leadership { .. } | Item::Readmit { .. } => 128,
        }
    }
}

//! What a slot of the keepers' log holds.

use crate::entry::{Entry, Term};
use crate::name::Life;
use omnipaxos::storage::NoSnapshot;
use serde::{Deserialize, Serialize};

/// What a slot holds. Slots are the places of the agreed log, counted from 0; the places that members see ([`crate::Decided`])
/// count [`Item::Asked`] alone, and of a request that was decided twice only the first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// What somebody asked for.
    Asked(Entry),
    /// Who leads from here on, in which term.
    Charge {
        /// The term.
        term: Term,
        /// The life that leads.
        life: Life,
    },
    /// A keeper whose promises were lost (an empty disk, an old one) may take part again, in this life of it.
    Readmit {
        /// The keeper.
        pid: u8,
        /// Its life, by the number it drew at its start.
        nonce: u64,
    },
}

impl omnipaxos::storage::Entry for Item {
    /// None: a follower that lacks more than the log holds learns the decided prefix first ([`super::learn`]), in bounded
    /// pieces, instead of getting all of it in one message of the agreement.
    type Snapshot = NoSnapshot;
}

impl Item {
    /// Octets that it counts for in bounds; its own and an allowance for what surrounds them.
    pub fn octets(&self) -> u64 {
        match self {
            Item::Asked(entry) => entry.body.len() as u64 + 128,
            Item::Charge { .. } | Item::Readmit { .. } => 128,
        }
    }
}

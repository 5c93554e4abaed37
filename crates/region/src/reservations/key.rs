//! The key of a name in the registry of its home.

use crate::homes::{Homes, named_key};
use crate::seam::NameDigest;
use serde::{Deserialize, Serialize};

/// A client's name of a message; sorted by slot, so that the keys of one slot are a contiguous range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReservationKey {
    /// The slot that the hash falls into.
    pub slot: u16,
    /// The hash of client and name, as used for homes.
    pub hash: u64,
    /// The digest of the name.
    pub digest: NameDigest,
}

impl ReservationKey {
    /// Returns the key of a client's name.
    pub fn new(client: &str, digest: NameDigest) -> ReservationKey {
        let hash = named_key(client, digest);
        ReservationKey { slot: Homes::slot(hash) as u16, hash, digest }
    }

    /// Returns the lowest possible key of a slot.
    pub(super) fn first(slot: u16) -> ReservationKey {
        ReservationKey { slot, hash: 0, digest: NameDigest { high: 0, low: 0 } }
    }

    /// Returns the highest possible key of a slot.
    pub(super) fn last(slot: u16) -> ReservationKey {
        ReservationKey { slot, hash: u64::MAX, digest: NameDigest { high: u64::MAX, low: u64::MAX } }
    }

    /// Returns whether slot and hash agree; keys are received from other members.
    pub(super) fn is_valid(&self) -> bool {
        usize::from(self.slot) == Homes::slot(self.hash)
    }
}

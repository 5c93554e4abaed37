//! The members of a list that can hold no lease, as the leader sees it.

use crate::list::MAX_PLACES;
use serde::{Deserialize, Serialize};

/// Places of a list, as a bit set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersWithoutLease {
    /// The number of the list.
    pub list: u64,
    /// Eight places per byte, the first in the lowest bit; places beyond the end are not in the set.
    bits: Vec<u8>,
}

impl MembersWithoutLease {
    /// Returns the set of these places.
    pub fn of(list: u64, places: impl IntoIterator<Item = usize>) -> MembersWithoutLease {
        let mut bits = Vec::new();
        for place in places.into_iter().filter(|place| *place < MAX_PLACES) {
            if bits.len() <= place / 8 {
                bits.resize(place / 8 + 1, 0);
            }
            if let Some(byte) = bits.get_mut(place / 8) {
                *byte |= 1 << (place % 8);
            }
        }
        MembersWithoutLease { list, bits }
    }

    /// Returns whether this place is in the set.
    pub fn has(&self, place: usize) -> bool {
        self.bits.get(place / 8).is_some_and(|byte| byte & 1 << (place % 8) != 0)
    }

    /// Returns whether the size is within bounds.
    pub fn sound(&self) -> bool {
        self.bits.len() <= MAX_PLACES.div_ceil(8)
    }
}

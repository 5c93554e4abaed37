//! The hash chain over the log. Each slot's head is a hash of the previous head and the slot's item, so two
//! logs with the same head are equal up to there. SHA-256 without a key is sufficient: a head is only
//! compared with another replica's, and whoever alters one replica's file can't alter what the others compute
//! from theirs.

use super::item::Item;
use sha2::{Digest, Sha256};

/// The head of a log up to a slot.
pub type Chain = [u8; 32];

/// The head before the first slot.
pub const ROOT: Chain = [0; 32];

/// Returns the head after an item.
pub fn next(before: &Chain, item: &Item) -> Chain {
    // Encoding plain numbers, names and bytes can't fail.
    let bytes = postcard::to_stdvec(item).unwrap_or_default();
    Sha256::new().chain_update(before).chain_update(bytes).finalize().into()
}

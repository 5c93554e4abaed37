//! What binds the items of the log to each other: each slot's head is a hash over the head before it and its item, so two logs
//! of one head are one log up to there. SHA-256 without a key: a head is only ever held against another keeper's, and whoever
//! alters one keeper's file can't alter what the others compute from theirs.

use super::item::Item;
use sha2::{Digest, Sha256};

/// The head of a log up to a slot.
pub type Chain = [u8; 32];

/// The head before the first slot.
pub const ROOT: Chain = [0; 32];

/// The head after an item.
pub fn next(before: &Chain, item: &Item) -> Chain {
    // Plain numbers, names and octets: postcard has nothing to fail on.
    let bytes = postcard::to_stdvec(item).unwrap_or_default();
    Sha256::new().chain_update(before).chain_update(bytes).finalize().into()
}

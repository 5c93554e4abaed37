//! The hash function for all assignments, the same in every build: SipHash-1-3 with fixed keys, over bytes
//! only.

use crate::seam::NameDigest;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// What is hashed; each use has its own hash key, so that results of different uses are independent.
#[derive(Clone, Copy)]
pub(crate) enum HashDomain {
    Key = 1,
    Slot = 2,
    Member = 3,
    Partner = 4,
}

/// Hashes a sequence of byte strings.
pub(crate) fn hash_bytes(of: HashDomain, parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x6865_726f_6e72_6f75, of as u64);
    for part in parts {
        // The length is included, so that "ab", "c" and "a", "bc" have different hashes.
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part);
    }
    hasher.finish()
}

/// Hashes two numbers.
pub(crate) fn hash_pair(of: HashDomain, one: u64, other: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x6865_726f_6e72_6f75, of as u64);
    hasher.write(&one.to_le_bytes());
    hasher.write(&other.to_le_bytes());
    hasher.finish()
}

/// Returns the key of a client, by its system_id.
pub fn client_key(client: &str) -> u64 {
    hash_bytes(HashDomain::Key, &[client.as_bytes()])
}

/// Returns the key of a message name of a client.
pub fn named_key(client: &str, digest: NameDigest) -> u64 {
    hash_bytes(HashDomain::Key, &[client.as_bytes(), &digest.high.to_le_bytes(), &digest.low.to_le_bytes()])
}

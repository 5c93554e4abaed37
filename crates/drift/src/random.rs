//! A deterministic random generator: the same seed gives the same values, and without the seed a nonce cannot
//! be predicted.

use crate::Digest;
use sha2::{Digest as _, Sha256};

#[derive(Clone, Debug)]
pub(crate) struct SeededRandom {
    seed: Digest,
    count: u64,
}

impl SeededRandom {
    pub(crate) fn new(seed: Digest) -> Self {
        SeededRandom { seed, count: 0 }
    }

    /// Returns the next 32 bytes.
    pub(crate) fn bytes(&mut self) -> Digest {
        self.count += 1;
        let mut hash = Sha256::new();
        hash.update(b"heronroute draw 1");
        hash.update(self.seed);
        hash.update(self.count.to_be_bytes());
        hash.finalize().into()
    }

    /// Returns a number below `limit`, or 0 if `limit` is 0.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        let bytes = self.bytes();
        let number = bytes.iter().take(8).fold(0u64, |number, octet| (number << 8) | u64::from(*octet));
        number.checked_rem(limit).unwrap_or(0)
    }
}

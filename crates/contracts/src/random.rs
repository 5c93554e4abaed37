//! Pseudorandom numbers and bytes from a seed, the same in all runs.

use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};

/// A pseudorandom generator.
#[derive(Clone, Debug)]
pub struct SeededRandom(SmallRng);

impl SeededRandom {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        SeededRandom(SmallRng::seed_from_u64(seed))
    }

    /// Returns a number below `end`, or 0 if `end` is 0.
    pub fn below(&mut self, end: usize) -> usize {
        if end == 0 { 0 } else { self.0.random_range(0..end) }
    }

    /// Returns `length` random bytes.
    pub fn octets(&mut self, length: usize) -> Vec<u8> {
        let mut octets = vec![0; length];
        self.0.fill_bytes(&mut octets);
        octets
    }

    /// Splits bytes into pieces of one to `most` bytes.
    pub fn pieces<'a>(&mut self, mut octets: &'a [u8], most: usize) -> Vec<&'a [u8]> {
        let mut pieces = Vec::new();
        while !octets.is_empty() {
            let (piece, rest) = octets.split_at((1 + self.below(most)).min(octets.len()));
            pieces.push(piece);
            octets = rest;
        }
        pieces
    }

    /// Returns the bytes with errors: some are changed, removed, repeated or inserted.
    pub fn spoil(&mut self, octets: &[u8]) -> Vec<u8> {
        let mut spoilt = octets.to_vec();
        for _ in 0..=self.below(3) {
            let at = self.below(spoilt.len());
            match self.below(5) {
                0 if !spoilt.is_empty() => spoilt[at] ^= 1 << self.below(8),
                1 if !spoilt.is_empty() => spoilt[at] = self.octets(1)[0],
                2 => spoilt.truncate(at),
                3 => {
                    let end = (at + self.below(8)).min(spoilt.len());
                    let again = spoilt[at..end].to_vec();
                    spoilt.splice(at..at, again);
                }
                _ => {
                    let noise = self.0.random_range(1..6);
                    let noise = self.octets(noise);
                    spoilt.splice(at..at, noise);
                }
            }
        }
        spoilt
    }
}

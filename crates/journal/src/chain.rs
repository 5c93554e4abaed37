//! A chain of digests over entries: two journals whose digests are equal at a number have the same entries
//! before it.
//!
//! The chain keeps the digest at its current number, and marks: digests at earlier numbers, fewer of them the
//! older they are, so that two logs can find a number that both know. Its size is bounded: a few marks for
//! each power-of-two distance, some 3 KiB for a billion entries.

use crate::entry::{Chained, Marked};
use sha2::{Digest as _, Sha256};

/// A truncated SHA-256 digest. It detects accidental differences and is no protection against forgery.
pub type Digest = [u8; 16];

/// Marks are made at multiples of this number of entries.
pub const STEP: u64 = 1_024;
/// A mark is kept for this many times the largest power-of-two multiple of [`STEP`] that divides its number.
const MARK_RETENTION: u64 = 8;

/// The digest of all entries before a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mark {
    /// The number of the next entry.
    pub number: u64,
    /// The digest of all entries before it.
    pub digest: Digest,
}

impl Mark {
    /// Adds the next entry, in its encoded form without the length prefix.
    pub fn push(&mut self, entry: &[u8]) {
        let mut hash = Sha256::new();
        hash.update(self.digest);
        hash.update(entry);
        self.digest = truncated(hash);
        self.number += 1;
    }
}

/// The digest chain of a journal. An empty chain is at number 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chain {
    at: Mark,
    marks: Vec<Mark>,
}

impl Default for Chain {
    fn default() -> Self {
        Chain { at: Mark::default(), marks: vec![Mark::default()] }
    }
}

fn truncated(hash: Sha256) -> Digest {
    let (mut digest, whole) = (Digest::default(), hash.finalize());
    digest.iter_mut().zip(whole).for_each(|(d, w)| *d = w);
    digest
}

/// Returns for how many entries a mark is kept.
fn mark_retention(number: u64) -> u64 {
    let level = if number.is_multiple_of(STEP) { (number / STEP).trailing_zeros() } else { 0 };
    MARK_RETENTION.saturating_mul(STEP.checked_shl(level).unwrap_or(u64::MAX))
}

impl Chain {
    /// Returns a chain that begins at a number; `before` identifies all entries before it.
    pub fn begin(number: u64, before: &[u8]) -> Self {
        let at = Mark { number, digest: truncated(Sha256::new().chain_update(before)) };
        Chain { at, marks: vec![at] }
    }

    /// Returns a chain from its parts; marks that are out of order or after `at` are left out.
    pub fn new(at: Mark, marks: impl IntoIterator<Item = Mark>) -> Self {
        let mut chain = Chain { at, marks: Vec::new() };
        for m in marks {
            if m.number <= at.number && chain.marks.last().is_none_or(|l| l.number < m.number) {
                chain.marks.push(m);
            }
        }
        chain.drop_old_marks();
        chain
    }

    /// Returns the current number and digest.
    pub fn at(&self) -> Mark {
        self.at
    }

    /// Returns the marks at earlier numbers, lowest number first.
    pub fn marks(&self) -> &[Mark] {
        &self.marks
    }

    /// Adds the next entry, in its encoded form without the length prefix.
    pub fn push(&mut self, entry: &[u8]) {
        let mut next = self.at;
        next.push(entry);
        self.follow(next);
    }

    /// Advances to the mark that the next entry leads to; any other mark changes nothing.
    pub fn follow(&mut self, mark: Mark) {
        if mark.number == self.at.number + 1 {
            self.at = mark;
            if mark.number.is_multiple_of(STEP) {
                self.marks.push(mark);
                self.drop_old_marks();
            }
        }
    }

    /// Drops marks beyond their retention.
    fn drop_old_marks(&mut self) {
        // Measured from the last multiple of the step, so that encoding and decoding a chain doesn't change
        // it.
        let now = self.at.number / STEP * STEP;
        self.marks.retain(|m| now.saturating_sub(m.number) <= mark_retention(m.number));
    }

    /// Returns the digest at a number, where it is known.
    pub fn digest(&self, number: u64) -> Option<Digest> {
        if number == self.at.number {
            return Some(self.at.digest);
        }
        self.marks.binary_search_by_key(&number, |m| m.number).ok().map(|i| self.marks[i].digest)
    }

    /// Returns the chain as a journal entry.
    pub fn to_entry(&self) -> Chained {
        let to_marked = |m: &Mark| Marked { number: m.number, digest: m.digest.to_vec() };
        Chained { at: Some(to_marked(&self.at)), marks: self.marks.iter().map(to_marked).collect() }
    }

    /// Returns the chain of a journal entry, or `None` where it is malformed.
    pub fn from_entry(entry: &Chained) -> Option<Self> {
        let from_marked =
            |m: &Marked| Some(Mark { number: m.number, digest: Digest::try_from(m.digest.as_slice()).ok()? });
        Some(Chain::new(from_marked(entry.at.as_ref()?)?, entry.marks.iter().filter_map(from_marked)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_chains_share_a_mark_near_the_end_of_the_shorter() {
        let mut chain = Chain::default();
        let mut before = vec![chain.clone()];
        for n in 0..300_000u64 {
            chain.push(&n.to_le_bytes());
            if n % 7_919 == 0 {
                before.push(chain.clone());
            }
        }
        assert!(chain.marks().len() < 60, "{}", chain.marks().len());
        for old in &before[2..] {
            let at = old.at().number;
            let common = old.marks().iter().rfind(|m| chain.digest(m.number) == Some(m.digest));
            let apart = at - common.map_or(0, |m| m.number);
            assert!(apart <= STEP.max((300_000 - at) / 2), "{at}: {apart}");
        }
        assert_eq!(Chain::from_entry(&chain.to_entry()), Some(chain));
    }

    #[test]
    fn digest_depends_on_order_and_boundaries() {
        let of = |entries: &[&[u8]]| {
            let mut chain = Chain::default();
            entries.iter().for_each(|e| chain.push(e));
            chain.at().digest
        };
        assert_ne!(of(&[b"a", b"b"]), of(&[b"b", b"a"]));
        assert_ne!(of(&[b"ab", b""]), of(&[b"a", b"b"]));
        assert_eq!(of(&[b"a", b"b"]), of(&[b"a", b"b"]));
    }
}

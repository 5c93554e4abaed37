//! The identities that clients gave their messages, kept for a period in a table of fixed size.
//!
//! A name is stored as a 128-bit digest. 64 bits of it select two buckets of eight slots, and the name goes
//! to the emptier one; the other 64 are kept in the slot, together with the message and the second until
//! which the name is valid. Where both buckets are full, the entry that expires first is dropped, and its
//! bucket records when that entry would have expired: until then a name that is not found there can't be
//! called new. A table that is too small therefore refuses some messages for a while, and never has a message
//! sent twice. Two names are mistaken for one another with a probability below 16 in 2^64 for each lookup.
//!
//! Compared with a map by name, the table allocates nothing for an entry, doesn't grow, and a lookup costs
//! the same however full it is. See `docs/mqtt.md` for the measurement.

use crate::Verdict;

const SLOTS: usize = 8;
const SECOND: i64 = 1_000_000;
/// Stored instead of a message where a name was given up early, so that its message is unknown.
pub const GIVEN_UP: u64 = u64::MAX;

/// The digest of a client and the name that it gave a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name {
    /// The first half of the digest.
    pub high: u64,
    /// The second half of the digest.
    pub low: u64,
}

impl Name {
    /// Returns the digest of a name within a client's own names; it is the same in all processes.
    pub fn new(client: &str, name: &str) -> Self {
        let parts = [client.as_bytes(), name.as_bytes()];
        Name { high: digest(1, &parts), low: digest(2, &parts) }
    }
}

/// Returns a 64-bit digest of a list of byte strings, each with its length: FNV-1a with a finalizer of xor
/// and multiply.
pub fn digest(seed: u64, parts: &[&[u8]]) -> u64 {
    let mut h = mix(seed ^ 0xCBF2_9CE4_8422_2325);
    for part in parts {
        let mut words = part.chunks_exact(8);
        for w in &mut words {
            let word = w.iter().rev().fold(0u64, |n, b| (n << 8) | u64::from(*b));
            h = mix(h ^ word).wrapping_add(0x9E37_79B9_7F4A_7C15);
        }
        let rest = words.remainder().iter().rev().fold(0u64, |n, b| (n << 8) | u64::from(*b));
        h = mix(h ^ rest ^ ((part.len() as u64) << 56));
    }
    h
}

fn mix(mut h: u64) -> u64 {
    h ^= h >> 33;
    h = h.wrapping_mul(0xFF51_AFD7_ED55_8CCD);
    h ^= h >> 33;
    h = h.wrapping_mul(0xC4CE_B9FE_1A85_EC53);
    h ^ (h >> 33)
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    tag: u64,
    id: u64,
    /// The second until which the entry is valid; 0: the slot is empty.
    until: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    slots: [Slot; SLOTS],
    /// The second until which an entry dropped from this bucket would have been valid.
    dropped_until: u32,
}

/// A table of the names seen.
#[derive(Clone, Debug)]
pub struct SeenNames {
    buckets: Vec<Bucket>,
    /// The time from which seconds are counted.
    origin: i64,
    dropped_until: u32,
    seed: u64,
}

impl SeenNames {
    /// Returns a table for about `names` names at once. `now` is the caller's clock in microseconds. `seed`
    /// changes the buckets of names, so that clients can't choose names that share one.
    pub fn new(names: usize, now: i64, seed: u64) -> Self {
        // Filled to two thirds, hardly any bucket overflows.
        let buckets = (names.max(1) * 3 / 2).div_ceil(SLOTS).max(2);
        SeenNames { buckets: vec![Bucket::default(); buckets], origin: now, dropped_until: 0, seed }
    }

    /// Returns the size of the table in bytes.
    pub fn size(&self) -> usize {
        self.buckets.len() * size_of::<Bucket>()
    }

    fn second(&self, at: i64) -> u32 {
        // Starts at 1, as 0 marks an empty slot.
        u32::try_from((at - self.origin).max(0) / SECOND + 1).unwrap_or(u32::MAX)
    }

    /// Returns the two buckets that may hold a name.
    fn buckets_of(&self, name: Name) -> [usize; 2] {
        let n = self.buckets.len() as u128;
        [self.seed, !self.seed].map(|seed| ((u128::from(mix(name.low ^ seed)) * n) >> 64) as usize)
    }

    /// Returns whether a name was seen and is still valid.
    pub fn find(&self, now: i64, name: Name) -> Verdict {
        let second = self.second(now);
        let mut dropped_until = self.dropped_until;
        for place in self.buckets_of(name) {
            let bucket = &self.buckets[place];
            if let Some(slot) = bucket.slots.iter().find(|s| s.until >= second && s.tag == name.high) {
                return if slot.id == GIVEN_UP { Verdict::Unsure } else { Verdict::Same(slot.id) };
            }
            dropped_until = dropped_until.max(bucket.dropped_until);
        }
        if dropped_until >= second { Verdict::Unsure } else { Verdict::New }
    }

    /// Records that a name was accepted as message `id`, valid until a time.
    pub fn add(&mut self, now: i64, name: Name, id: u64, until: i64) {
        let (second, until) = (self.second(now), self.second(until));
        let buckets = self.buckets_of(name);
        let all = buckets.into_iter().flat_map(|p| (0..SLOTS).map(move |s| (p, s)));
        let slot = |(p, s): &(usize, usize)| self.buckets[*p].slots[*s];
        let same = all.clone().find(|at| slot(at).tag == name.high && slot(at).until > 0);
        // Chooses the slot of the same name, else a free slot of the emptier bucket, so that few buckets fill
        // up, else the entry that expires first.
        let free = |p: usize| self.buckets[p].slots.iter().filter(|s| s.until < second).count();
        let emptier = if free(buckets[1]) > free(buckets[0]) { buckets[1] } else { buckets[0] };
        let at = same.or_else(|| {
            all.min_by_key(|at| {
                let until = slot(at).until;
                let live = until >= second;
                (live, !live && at.0 != emptier, if live { until } else { 0 })
            })
        });
        let Some((place, at)) = at else { return };
        let bucket = &mut self.buckets[place];
        let slot = &mut bucket.slots[at];
        if slot.until >= second && slot.tag != name.high {
            bucket.dropped_until = bucket.dropped_until.max(slot.until);
        }
        *slot = Slot { tag: name.high, id, until };
    }

    /// Gives up a name before its time, as its owner has no space left: until then its message is unknown,
    /// and the name is not called new. Other names are not affected. Does nothing where the name is not
    /// known.
    pub fn give_up(&mut self, now: i64, name: Name) {
        let second = self.second(now);
        for place in self.buckets_of(name) {
            let slots = &mut self.buckets[place].slots;
            if let Some(slot) = slots.iter_mut().find(|s| s.until >= second && s.tag == name.high) {
                slot.id = GIVEN_UP;
                return;
            }
        }
    }

    /// Records that names valid until at most this time may have been dropped.
    pub fn forgot(&mut self, until: i64) {
        // Names that expired before this table began are irrelevant to it.
        if until >= self.origin {
            self.dropped_until = self.dropped_until.max(self.second(until));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::HashMap;

    #[test]
    fn a_name_is_known_until_it_expires() {
        let mut s = SeenNames::new(100, 0, 7);
        let name = Name::new("client", "a");
        assert_eq!(s.find(0, name), Verdict::New);
        s.add(0, name, 5, 10 * SECOND);
        assert_eq!(s.find(10 * SECOND, name), Verdict::Same(5));
        assert_eq!(s.find(11 * SECOND, name), Verdict::New);
        assert_eq!(s.find(0, Name::new("clien", "ta")), Verdict::New, "the name of another client");
        s.forgot(-1);
        assert_eq!(s.find(0, Name::new("x", "y")), Verdict::New);
        s.forgot(20 * SECOND);
        assert_eq!(s.find(19 * SECOND, Name::new("x", "y")), Verdict::Unsure);
    }

    #[test]
    fn a_name_given_up_is_unsure_until_it_expires_and_other_names_are_not_affected() {
        let mut s = SeenNames::new(100, 0, 7);
        let name = |n: u64| Name::new("client", &n.to_string());
        (0..50).for_each(|n| s.add(0, name(n), n + 1, 10 * SECOND));
        s.give_up(SECOND, name(7));
        s.give_up(SECOND, name(99));
        assert_eq!(s.find(10 * SECOND, name(7)), Verdict::Unsure);
        assert_eq!((s.find(SECOND, name(8)), s.find(SECOND, name(99))), (Verdict::Same(9), Verdict::New));
        assert_eq!(s.find(11 * SECOND, name(7)), Verdict::New, "it has expired");
        s.add(11 * SECOND, name(7), 70, 12 * SECOND);
        assert_eq!(s.find(11 * SECOND, name(7)), Verdict::Same(70));
    }

    proptest! {
        /// Compared with a map: a name reported as the same is the same, and one reported as new is new, even
        /// if the table is far too small.
        #[test]
        fn a_dropped_name_is_never_called_new(seed: u64, steps in prop::collection::vec((0u64..200, 0i64..3), 1..400)) {
            let mut seen = SeenNames::new(32, 0, seed);
            let mut plain: HashMap<u64, (u64, i64)> = HashMap::new();
            let mut now = 0;
            for (at, (who, pause)) in steps.into_iter().enumerate() {
                now += pause * SECOND;
                let name = Name::new("c", &who.to_string());
                let known = plain.get(&who).filter(|(_, until)| *until >= now).map(|(id, _)| *id);
                match seen.find(now, name) {
                    Verdict::Same(id) => prop_assert_eq!(Some(id), known),
                    Verdict::New => prop_assert_eq!(known, None),
                    Verdict::Unsure => {}
                }
                seen.add(now, name, at as u64, now + 30 * SECOND);
                plain.insert(who, (at as u64, now + 30 * SECOND));
                prop_assert_eq!(seen.find(now, name), Verdict::Same(at as u64));
            }
        }
    }
}

//! The delays before a peer is dialled again.

use crate::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The maximum of the first delay; each further failure doubles it.
pub const FIRST_DELAY: Micros = 100_000;
/// The maximum delay.
pub const MAX_DELAY: Micros = 5_000_000;
/// A link that was up for this long counts as a success, and the next delay is short again. A peer that
/// accepts and closes at once is therefore not dialled without pause.
pub const STABLE_AFTER: Micros = 5_000_000;

/// The backoff for one peer: delays double up to a maximum, and the upper half of each is random. So members
/// that lost the same peer at the same moment don't dial it at the same moment (exponential backoff with
/// "equal jitter", Brooker, AWS Architecture Blog 2015).
#[derive(Debug)]
pub struct RedialBackoff {
    failures: u32,
    rng: SmallRng,
}

impl RedialBackoff {
    /// Returns the backoff of one member for one peer.
    pub fn new(seed: u64, peer: usize) -> Self {
        let mixed = seed ^ (peer as u64).wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        RedialBackoff { failures: 0, rng: SmallRng::seed_from_u64(mixed) }
    }

    /// Returns the delay before the very first dial. It spreads members that start at the same moment over
    /// [`FIRST_DELAY`].
    pub fn initial_delay(&mut self) -> Micros {
        self.rng.random_range(0..=FIRST_DELAY)
    }

    /// Makes the next delay one of the longest, after a failure that doesn't pass by itself.
    pub fn use_longest_delay(&mut self) {
        self.failures = 16;
    }

    /// Returns the delay before the next dial. `uptime` is how long the last link was up, or 0 if it never
    /// was.
    pub fn next_delay(&mut self, uptime: Micros) -> Micros {
        if uptime >= STABLE_AFTER {
            self.failures = 0;
        }
        let whole = FIRST_DELAY.saturating_mul(1 << self.failures.min(16)).min(MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        self.rng.random_range(whole / 2..=whole)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn delays_double_to_the_maximum_vary_by_seed_and_reset_after_a_stable_link() {
        let delays = |seed| {
            let mut redial = RedialBackoff::new(seed, 1);
            (0..40).map(|_| redial.next_delay(0)).collect::<Vec<_>>()
        };
        let (a, b) = (delays(1), delays(2));
        assert_ne!(a, b);
        assert_eq!(a, delays(1), "the same seed must give the same delays");
        for (n, delay) in a.iter().chain(&b).enumerate() {
            let whole = (FIRST_DELAY << (n % 40).min(16)).min(MAX_DELAY);
            assert!((whole / 2..=whole).contains(delay), "{n}: {delay}");
        }
        let mut redial = RedialBackoff::new(3, 0);
        (0..10).for_each(|_| _ = redial.next_delay(0));
        assert!(redial.next_delay(STABLE_AFTER - 1) > FIRST_DELAY, "a link that fails at once is no success");
        assert!(redial.next_delay(STABLE_AFTER) <= FIRST_DELAY);
    }

    #[test]
    fn a_hundred_members_that_lost_one_peer_redial_at_spread_times() {
        let mut at: Vec<Micros> = (0..100).map(|seed| RedialBackoff::new(seed, 7).next_delay(0)).collect();
        at.sort_unstable();
        let most = at.windows(10).map(|w| w[9] - w[0]).min().unwrap_or(0);
        assert!(most > 1_000, "ten dials within {most} µs");
    }
}

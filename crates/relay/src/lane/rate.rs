//! A limit of octets a second: a token bucket.

use crate::Micros;

/// Octets are counted in millionths, so that a microsecond at any rate is a whole number.
const OCTET: u128 = 1_000_000;

/// The bucket. It holds a twentieth of a second's octets at most and, once empty, gives none below a fiftieth, so that a
/// slow link does not wake the relay for single octets.
#[derive(Default)]
pub(super) struct Rate {
    credit: u128,
    at: Micros,
    giving: bool,
}

fn least(rate: u64, want: usize) -> u128 {
    (want as u128).min(u128::from(rate / 50).max(1))
}

impl Rate {
    /// How many of `want` octets may leave now; 0 at `rate`: all.
    pub fn allowed(&mut self, now: Micros, rate: u64, want: usize) -> usize {
        if rate == 0 {
            (self.credit, self.at) = (0, now);
            return want;
        }
        let most = u128::from(rate / 20).max(1) * OCTET;
        let gained = u128::from(now.saturating_sub(self.at)) * u128::from(rate);
        (self.credit, self.at) = ((self.credit + gained).min(most), now);
        let octets = self.credit / OCTET;
        self.giving = octets > 0 && (self.giving || octets >= least(rate, want));
        if self.giving { want.min(octets as usize) } else { 0 }
    }

    pub fn spend(&mut self, octets: usize) {
        self.credit = self.credit.saturating_sub(octets as u128 * OCTET);
    }

    /// When some of `want` octets may leave, if none may now.
    pub fn wake(&self, now: Micros, rate: u64, want: usize) -> Option<Micros> {
        let needed = least(rate, want) * OCTET;
        if rate == 0 || want == 0 || self.giving || self.credit >= needed {
            return None;
        }
        let span = (needed - self.credit).div_ceil(u128::from(rate));
        Some((self.at + span as u64).max(now + 1))
    }
}

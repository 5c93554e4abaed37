//! Whether what is believed may be acted on: not after a start or a pause, until somebody has answered since.

use crate::Micros;

/// Whether it is, and what was asked.
pub(super) struct Freshness {
    /// Stale, and this marks answers to what was asked since.
    pub nonce: Option<u64>,
    pub since: Micros,
    pub next: Micros,
}

impl Freshness {
    /// Stale from now on.
    pub fn begin(now: Micros, nonce: u64) -> Self {
        Freshness { nonce: Some(nonce), since: now, next: now }
    }

    pub fn stale(&self) -> bool {
        self.nonce.is_some()
    }

    /// When it asks again.
    pub fn due(&self) -> Option<Micros> {
        self.nonce.map(|_| self.next)
    }

    /// A link came up: worth asking by then.
    pub fn advance(&mut self, by: Micros) {
        self.next = self.next.min(by);
    }
}

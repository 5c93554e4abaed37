//! Whether the view may be acted on: not after a start or a pause, until a member has answered a request made
//! since.

use crate::Micros;

/// The freshness of the view, and the requests that are to restore it.
pub(super) struct Freshness {
    /// While the view is stale, the nonce that marks answers to requests made since.
    pub nonce: Option<u64>,
    pub since: Micros,
    pub next: Micros,
}

impl Freshness {
    /// Returns a view that is stale from now on.
    pub fn begin(now: Micros, nonce: u64) -> Self {
        Freshness { nonce: Some(nonce), since: now, next: now }
    }

    pub fn stale(&self) -> bool {
        self.nonce.is_some()
    }

    /// Returns the time of the next request.
    pub fn due(&self) -> Option<Micros> {
        self.nonce.map(|_| self.next)
    }

    /// Moves the next request forward to this time, after a link came up.
    pub fn advance(&mut self, by: Micros) {
        self.next = self.next.min(by);
    }
}

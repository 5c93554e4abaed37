//! Removal of endpoints that are no longer listed, so that a sender can run for months while endpoints are
//! replaced.

use super::Node;
use crate::Micros;
use heronroute::EndpointId;
use heronroute_journal::entry::{Place, What};

/// The interval between checks for endpoints to remove.
const PRUNE_INTERVAL: Micros = 10_000_000;

impl Node {
    /// Removes endpoints that are no longer listed, once nothing is in flight to them and the decision
    /// library has forgotten them. Until then an endpoint that is listed again is the same one: its wait, its
    /// health and its drain state still hold.
    pub(super) fn remove_unlisted_endpoints(&mut self) {
        if self.now < self.prune_at {
            return;
        }
        self.prune_at = self.now + PRUNE_INTERVAL;
        let (wall, busy) = (self.wall(), self.calls.endpoints());
        let in_use = |e: &EndpointId| busy.contains(e) || self.dispatcher.belief(*e).is_some();
        let unlisted =
            self.endpoints.idle_unlisted().filter(|(e, r)| r.place.wait_until <= wall && !in_use(e));
        for endpoint in unlisted.map(|(e, _)| e).collect::<Vec<_>>() {
            let Some(removed) = self.endpoints.remove(endpoint) else { continue };
            // The journal's record of the endpoint is cleared too.
            let empty = Place { endpoint: removed.name, ..Place::default() };
            if removed.place != empty {
                self.ledger.write(|| What::Place(empty));
            }
        }
    }
}

//! The state of endpoints that is needed after a restart, journaled when it changes.

use crate::Micros;
use crate::link::Reply;
use crate::node::Node;
use heronroute::{DestId, EndpointId};
use heronroute_journal::entry::{self, What};
use std::collections::BTreeSet;

impl Node {
    /// Journals a wait that an endpoint announced.
    pub(super) fn journal_wait(&mut self, endpoint: EndpointId, reply: Reply) {
        // The waits that the platform's endpoints announced end with a restart.
        if self.cfg.platform.is_some() || reply.wait <= 0 {
            return;
        }
        let until = self.wall() + reply.wait;
        let place = &self.endpoints[endpoint].place;
        self.journal_endpoint_state(
            endpoint,
            entry::Place { wait_until: place.wait_until.max(until), ..place.clone() },
        );
    }

    /// Journals what the decision library knows of destinations where calls have just ended. Without it,
    /// hundreds of senders that restart at once would forget that a destination was down, cold or refusing,
    /// and the first calls and retries of all of them would overload it.
    pub(crate) fn journal_destination_state(&mut self, ended: impl Iterator<Item = EndpointId>) {
        let dests: BTreeSet<DestId> = ended.filter_map(|e| self.endpoints.get(e)).map(|r| r.dest).collect();
        let clock_offset = self.wall;
        let wall_time = |at: Option<Micros>| at.map_or(0, |at| (at + clock_offset).max(1));
        for dest in dests {
            for endpoint in self.endpoints.of(dest) {
                let restart_state = self.dispatcher.restart_state(endpoint);
                let (bad_since, back_since) =
                    (wall_time(restart_state.bad_since), wall_time(restart_state.back_since));
                let budget = restart_state.budget.map_or(0, |b| (b * 1e3).clamp(1.0, 1e9) as u32);
                let place = &self.endpoints[endpoint].place;
                if (place.bad_since, place.back_since, place.budget) == (bad_since, back_since, budget) {
                    continue;
                }
                let place = entry::Place { bad_since, back_since, budget, ..place.clone() };
                self.journal_endpoint_state(endpoint, place);
            }
        }
    }

    fn journal_endpoint_state(&mut self, endpoint: EndpointId, place: entry::Place) {
        let remote = &mut self.endpoints[endpoint];
        if place != remote.place {
            remote.place = place.clone();
            self.ledger.write(|| What::Place(place));
        }
    }
}

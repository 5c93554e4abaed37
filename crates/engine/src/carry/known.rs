//! What a restart must know of endpoints: kept as it changes.

use crate::Micros;
use crate::link::Reply;
use crate::node::Node;
use heronroute::{DestId, EndpointId};
use heronroute_journal::entry::{self, What};
use std::collections::BTreeSet;

impl Node {
    /// Keeps what a restart must know of an endpoint: a wait that it told.
    pub(super) fn note_wait(&mut self, endpoint: EndpointId, reply: Reply) {
        // A restart ends the waits that the platform's endpoints told.
        if self.cfg.platform.is_some() || reply.wait <= 0 {
            return;
        }
        let until = self.wall() + reply.wait;
        let place = &self.endpoints[endpoint].place;
        self.note_place(endpoint, entry::Place { wait_until: place.wait_until.max(until), ..place.clone() });
    }

    /// Keeps what the library believes of destinations where calls have just ended. Guards against hundreds of
    /// senders that restart at once, each of which knew a destination to be down, cold or refusing, and none of which
    /// does any more: first calls and repeats of all of them would push it over.
    pub(crate) fn note_known(&mut self, ended: impl Iterator<Item = EndpointId>) {
        let dests: BTreeSet<DestId> = ended.filter_map(|e| self.endpoints.get(e)).map(|r| r.dest).collect();
        let shift = self.wall;
        let day = |at: Option<Micros>| at.map_or(0, |at| (at + shift).max(1));
        for dest in dests {
            for endpoint in self.endpoints.of(dest) {
                let known = self.dispatcher.known(endpoint);
                let (bad_since, back_since) = (day(known.bad_since), day(known.back_since));
                let budget = known.budget.map_or(0, |b| (b * 1e3).clamp(1.0, 1e9) as u32);
                let place = &self.endpoints[endpoint].place;
                if (place.bad_since, place.back_since, place.budget) == (bad_since, back_since, budget) {
                    continue;
                }
                let place = entry::Place { bad_since, back_since, budget, ..place.clone() };
                self.note_place(endpoint, place);
            }
        }
    }

    fn note_place(&mut self, endpoint: EndpointId, place: entry::Place) {
        let remote = &mut self.endpoints[endpoint];
        if place != remote.place {
            remote.place = place.clone();
            self.ledger.write(|| What::Place(place));
        }
    }
}

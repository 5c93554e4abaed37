//! Relay routes: which neighbour a message to a member without a link goes through, and how much is relayed
//! for each neighbour.
//!
//! There is one hop: the neighbour sends the message on over its own link, or replies that it has none.
//! Members do not announce their links: a route is known where something arrived by it, else neighbours are
//! tried in turn, the leader first.

use crate::Micros;
use crate::limits;
use heronroute_fleet::Life;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// How long a route is used without anything coming back before the next neighbour is tried. A relay may
/// accept everything and deliver nothing, as its link may be dead without its knowing. Longer than the
/// interval of reports.
pub const ROUTE_TIMEOUT: Micros = 3_000_000;

#[derive(Clone, Copy, Debug)]
struct Route {
    through: usize,
    /// Since when something was sent and nothing came back.
    unanswered_since: Option<Micros>,
    /// The number of neighbours in a row that had no link to the member.
    failures: usize,
}

/// What was relayed for a neighbour in the second that began at `since`.
#[derive(Clone, Copy, Debug)]
struct RelayUsage {
    since: Micros,
    messages: u32,
    bytes: usize,
}

/// The links that are up, and routes around those that are not, by members' indexes in the settings; at most
/// one of each for a member.
#[derive(Debug, Default)]
pub struct RelayRoutes {
    neighbours: BTreeMap<usize, Life>,
    routes: BTreeMap<usize, Route>,
    usage: BTreeMap<usize, RelayUsage>,
}

impl RelayRoutes {
    /// Records that a link is up.
    pub fn linked(&mut self, peer: usize, life: Life) {
        self.neighbours.insert(peer, life);
        self.routes.remove(&peer);
    }

    /// Records that a link is down.
    pub fn unlinked(&mut self, peer: usize) {
        self.neighbours.remove(&peer);
        self.usage.remove(&peer);
    }

    /// Returns the life that a link is up to.
    pub fn neighbour(&self, peer: usize) -> Option<&Life> {
        self.neighbours.get(&peer)
    }

    /// Returns the neighbour that a message to a member without a link goes through; none if there is no
    /// other neighbour. `first` is tried first where no route is known.
    pub fn next_hop(&mut self, now: Micros, to: usize, first: Option<usize>) -> Option<usize> {
        let known = self.routes.get(&to).copied();
        let usable = known.filter(|route| self.neighbours.contains_key(&route.through));
        let route = match usable {
            Some(route)
                if route.unanswered_since.is_none_or(|since| now < since.saturating_add(ROUTE_TIMEOUT)) =>
            {
                route
            }
            _ => {
                let first = first.filter(|at| *at != to && self.neighbours.contains_key(at));
                let through = match known {
                    Some(route) => self.neighbour_after(route.through, to),
                    None => first.or_else(|| self.neighbour_after(usize::MAX, to)),
                };
                let failures = known.map_or(0, |route| route.failures);
                Route { through: through?, unanswered_since: None, failures }
            }
        };
        self.routes.insert(to, Route { unanswered_since: route.unanswered_since.or(Some(now)), ..route });
        Some(route.through)
    }

    /// Records that a message from a member arrived through this neighbour: the route back.
    pub fn learn_route(&mut self, from: usize, through: usize) {
        if !self.neighbours.contains_key(&from) && self.neighbours.contains_key(&through) {
            self.routes.insert(from, Route { through, unanswered_since: None, failures: 0 });
        }
    }

    /// Handles a neighbour's reply that it has no link to a member: the next one is tried. Returns true if
    /// that should happen at once: one round of all neighbours, and after that only when there is something
    /// to send. A reply about a route that is not in use changes nothing.
    pub fn no_route(&mut self, to: usize, through: usize) -> bool {
        let Some(route) = self.routes.get(&to).copied().filter(|route| route.through == through) else {
            return false;
        };
        let Some(next) = self.neighbour_after(through, to) else { return false };
        let failures = route.failures.saturating_add(1);
        self.routes.insert(to, Route { through: next, unanswered_since: None, failures });
        failures < self.neighbours.len()
    }

    /// Returns the neighbour after an index, in a circle.
    fn neighbour_after(&self, index: usize, to: usize) -> Option<usize> {
        let following = self.neighbours.range((Excluded(index), Unbounded));
        following.chain(&self.neighbours).map(|(at, _)| *at).find(|at| *at != to)
    }

    /// Returns whether a message of this many bytes is relayed for a neighbour, and counts it.
    pub fn admit(&mut self, now: Micros, peer: usize, bytes: usize) -> bool {
        let fresh = RelayUsage { since: now, messages: 0, bytes: 0 };
        let used = self.usage.entry(peer).or_insert(fresh);
        if now >= used.since.saturating_add(1_000_000) {
            *used = fresh;
        }
        let (messages, bytes) = (used.messages.saturating_add(1), used.bytes.saturating_add(bytes));
        if messages > limits::MAX_RELAYED_PER_SECOND || bytes > limits::MAX_RELAYED_BYTES_PER_SECOND {
            return false;
        }
        (used.messages, used.bytes) = (messages, bytes);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use heronroute_fleet::{Name, Start};

    const S: Micros = 1_000_000;

    fn relay_routes(neighbours: &[usize]) -> RelayRoutes {
        let mut relay_routes = RelayRoutes::default();
        for at in neighbours {
            let life = Life { name: Name::new(&format!("m{at}")).unwrap(), start: Start(1) };
            relay_routes.linked(*at, life);
        }
        relay_routes
    }

    #[test]
    fn neighbours_are_tried_in_turn_until_an_answer_arrives() {
        let mut d = relay_routes(&[1, 2, 5]);
        assert_eq!(d.next_hop(0, 7, Some(5)), Some(5), "the leader first");
        assert!(d.no_route(7, 5));
        assert!(!d.no_route(7, 5), "a repeated reply");
        assert_eq!(d.next_hop(0, 7, Some(5)), Some(1));
        // It does not answer at all.
        assert_eq!(d.next_hop(ROUTE_TIMEOUT - 1, 7, None), Some(1));
        assert_eq!(d.next_hop(ROUTE_TIMEOUT, 7, None), Some(2));
        d.learn_route(7, 2);
        assert_eq!(d.next_hop(99 * S, 7, Some(5)), Some(2), "a working route stays");
        d.unlinked(2);
        assert_eq!(d.next_hop(99 * S, 7, None), Some(5), "its link is gone");
        assert_eq!(relay_routes(&[7]).next_hop(0, 7, None), None);
        assert_eq!(relay_routes(&[]).next_hop(0, 7, None), None);
    }

    #[test]
    fn without_a_route_each_neighbour_is_tried_once_without_delay() {
        let mut d = relay_routes(&[1, 2, 5]);
        let at_once = (0..9).filter(|_| {
            let through = d.next_hop(0, 7, None).unwrap();
            d.no_route(7, through)
        });
        assert_eq!(at_once.count(), 2);
        d.learn_route(7, 2);
        assert!(d.no_route(7, 2), "a working route is lost");
    }

    #[test]
    fn relay_quotas_are_per_neighbour() {
        let mut d = relay_routes(&[1, 2]);
        let admitted =
            |d: &mut RelayRoutes, now, peer, bytes| (0..10_000).filter(|_| d.admit(now, peer, bytes)).count();
        assert_eq!(admitted(&mut d, 0, 1, 10), limits::MAX_RELAYED_PER_SECOND as usize);
        assert_eq!(admitted(&mut d, 0, 2, 1 << 20), limits::MAX_RELAYED_BYTES_PER_SECOND >> 20);
        assert_eq!(admitted(&mut d, S - 1, 1, 10), 0);
        assert_eq!(admitted(&mut d, S, 1, 10), limits::MAX_RELAYED_PER_SECOND as usize);
    }
}

//! The table of endpoints, by number, by name and by destination.

use super::state::Endpoint;
use heronroute::{DestId, EndpointId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::{Index, IndexMut};

/// The table of endpoints, by number, by name and by destination.
#[derive(Debug)]
pub(crate) struct EndpointTable {
    /// The maximum number of endpoints, and of destinations that are remembered as listed. Beyond these, a
    /// destination is removed with its last endpoint.
    max_endpoints: usize,
    /// Endpoints by number.
    all: BTreeMap<EndpointId, Endpoint>,
    /// The numbers of endpoints by name.
    names: BTreeMap<String, EndpointId>,
    /// Endpoints by destination, including unlisted ones until they are removed, and destinations that have
    /// no endpoint any more.
    by_dest: BTreeMap<DestId, BTreeSet<EndpointId>>,
    /// Endpoints that are no longer listed.
    unlisted: BTreeSet<EndpointId>,
    /// The next number. No number is used twice: the decision library may still know it as that of an earlier
    /// endpoint.
    next_number: u32,
    /// Stands in for an endpoint that is not in the table, so that a lookup that fails does not end the whole
    /// sender.
    placeholder: Endpoint,
}

impl Index<EndpointId> for EndpointTable {
    type Output = Endpoint;

    fn index(&self, endpoint: EndpointId) -> &Endpoint {
        debug_assert!(self.all.contains_key(&endpoint), "{endpoint:?} was removed while still in use");
        self.all.get(&endpoint).unwrap_or(&self.placeholder)
    }
}

impl IndexMut<EndpointId> for EndpointTable {
    fn index_mut(&mut self, endpoint: EndpointId) -> &mut Endpoint {
        debug_assert!(self.all.contains_key(&endpoint), "{endpoint:?} was removed while still in use");
        self.all.get_mut(&endpoint).unwrap_or(&mut self.placeholder)
    }
}

impl EndpointTable {
    /// Creates an empty table.
    pub fn new(max_endpoints: usize) -> Self {
        let placeholder = Endpoint::new("", (Ipv4Addr::LOCALHOST, 0).into(), 0, DestId::default());
        EndpointTable {
            max_endpoints,
            all: BTreeMap::new(),
            names: BTreeMap::new(),
            by_dest: BTreeMap::new(),
            unlisted: BTreeSet::new(),
            next_number: 0,
            placeholder,
        }
    }

    /// Returns an endpoint.
    pub fn get(&self, endpoint: EndpointId) -> Option<&Endpoint> {
        self.all.get(&endpoint)
    }

    /// Returns an endpoint to change.
    pub fn get_mut(&mut self, endpoint: EndpointId) -> Option<&mut Endpoint> {
        self.all.get_mut(&endpoint)
    }

    /// Returns the number of the endpoint with a name.
    pub fn named(&self, name: &str) -> Option<EndpointId> {
        self.names.get(name).copied()
    }

    /// Returns the endpoints of a destination.
    pub fn of(&self, dest: DestId) -> Vec<EndpointId> {
        self.by_dest.get(&dest).into_iter().flatten().copied().collect()
    }

    /// Returns whether a destination has been listed.
    pub fn is_known_destination(&self, dest: DestId) -> bool {
        self.by_dest.contains_key(&dest)
    }

    /// Adds or updates an endpoint from a directory entry. Returns its number, and whether its address has
    /// changed. `None` if there is no room for another endpoint.
    pub fn upsert(
        &mut self,
        name: &str,
        address: SocketAddr,
        kind: usize,
        dest: DestId,
    ) -> Option<(EndpointId, bool)> {
        if self.all.len() >= self.max_endpoints && !self.names.contains_key(name) {
            return None;
        }
        let next_number = EndpointId(self.next_number);
        let endpoint = *self.names.entry(name.to_string()).or_insert(next_number);
        if endpoint == next_number {
            self.next_number += 1;
        }
        let entry = self.all.entry(endpoint).or_insert_with(|| Endpoint::new(name, address, kind, dest));
        let (moved, before) = (entry.address != address, entry.dest);
        (entry.address, entry.kind, entry.dest) = (address, kind, dest);
        if before != dest {
            self.by_dest.entry(before).or_default().remove(&endpoint);
        }
        self.by_dest.entry(dest).or_default().insert(endpoint);
        Some((endpoint, moved))
    }

    /// Records whether the directory lists an endpoint.
    pub fn set_listed(&mut self, endpoint: EndpointId, listed: bool) {
        if listed {
            self.unlisted.remove(&endpoint);
        } else {
            self.unlisted.insert(endpoint);
        }
    }

    /// Returns the listed endpoints.
    pub fn listed(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.all.keys().copied().filter(|e| !self.unlisted.contains(e))
    }

    /// Returns the unlisted endpoints that have neither a connection nor a probe.
    pub fn idle_unlisted(&self) -> impl Iterator<Item = (EndpointId, &Endpoint)> + '_ {
        let is_idle = |e: &Endpoint| !e.probing && e.pool.is_empty();
        self.unlisted.iter().filter_map(move |e| Some((*e, self.all.get(e).filter(|r| is_idle(r))?)))
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: EndpointId) -> Option<Endpoint> {
        self.unlisted.remove(&endpoint);
        let removed = self.all.remove(&endpoint)?;
        self.names.remove(&removed.name);
        if let Some(of) = self.by_dest.get_mut(&removed.dest) {
            of.remove(&endpoint);
            if of.is_empty() && self.by_dest.len() > self.max_endpoints {
                self.by_dest.remove(&removed.dest);
            }
        }
        Some(removed)
    }

    /// Returns the numbers of all endpoints.
    pub fn ids(&self) -> Vec<EndpointId> {
        self.all.keys().copied().collect()
    }

    /// Returns the number of records in the table.
    pub fn record_count(&self) -> usize {
        let by_dest = self.by_dest.values().map(|of| of.len().max(1)).sum::<usize>();
        self.all.len() + self.names.len() + by_dest + self.unlisted.len()
    }
}

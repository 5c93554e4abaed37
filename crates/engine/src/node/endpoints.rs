//! The table of endpoints, by number, by name and by destination.

use super::address_claims::AddressClaims;
use super::state::Endpoint;
use heronroute::{DestId, EndpointId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::{Index, IndexMut};

/// What a directory entry says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryEffect {
    /// It was not known.
    Added,
    /// The process that was known runs as it.
    Same,
    /// Another process runs as it: at another address, or started later.
    Replaced,
}

/// A directory entry, as far as the table needs it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DirectoryEntry {
    pub address: SocketAddr,
    pub kind: usize,
    pub dest: DestId,
    pub started_ms: u64,
}

/// The endpoint that a directory entry was applied to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Upserted {
    pub endpoint: EndpointId,
    pub effect: EntryEffect,
    /// The endpoint that had the name before, for another destination or of another kind.
    pub former: Option<EndpointId>,
}

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
    /// Whose an address is.
    pub claims: AddressClaims,
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
            claims: AddressClaims::default(),
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

    /// Adds or updates an endpoint from a directory entry. `None` if there is no room for another endpoint.
    pub fn upsert(&mut self, name: &str, entry: DirectoryEntry) -> Option<Upserted> {
        let mut former = None;
        if let Some(known) = self.named(name) {
            let endpoint = &mut self[known];
            if (endpoint.kind, endpoint.dest) == (entry.kind, entry.dest) {
                // A start "long ago" says nothing new of a process whose start is known.
                let is_replaced = endpoint.address != entry.address || entry.started_ms > endpoint.started_ms;
                endpoint.started_ms = endpoint.started_ms.max(entry.started_ms);
                endpoint.address = entry.address;
                let effect = if is_replaced { EntryEffect::Replaced } else { EntryEffect::Same };
                return Some(Upserted { endpoint: known, effect, former: None });
            }
            former = Some(known);
        }
        if self.all.len() >= self.max_endpoints {
            return None;
        }
        let number = EndpointId(self.next_number);
        self.next_number += 1;
        let mut endpoint = Endpoint::new(name, entry.address, entry.kind, entry.dest);
        endpoint.started_ms = entry.started_ms;
        self.all.insert(number, endpoint);
        self.names.insert(name.to_string(), number);
        self.by_dest.entry(entry.dest).or_default().insert(number);
        Some(Upserted { endpoint: number, effect: EntryEffect::Added, former })
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
        self.claims.withdraw(endpoint);
        let removed = self.all.remove(&endpoint)?;
        if self.named(&removed.name) == Some(endpoint) {
            self.names.remove(&removed.name);
        }
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

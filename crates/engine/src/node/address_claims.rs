//! Whose an address is: which of the endpoints that the directory has listed at it runs there. Free of I/O.
//!
//! An address belongs to the endpoint that was listed there last; in one list, to the one that serves rather than drains,
//! and then to the one that started last. Endpoints that are equal in all of this share it.

use heronroute::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The rank of a claim to an address; the highest one holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClaimRank {
    /// The number of the list that stated it.
    pub list: u64,
    /// Whether the endpoint serves.
    pub serves: bool,
    /// When the endpoint started, in milliseconds since 1970 UTC; 0 for long ago.
    pub started_ms: u64,
}

/// The claims of endpoints to addresses.
#[derive(Debug, Default)]
pub(crate) struct AddressClaims {
    by_address: BTreeMap<SocketAddr, BTreeSet<(ClaimRank, EndpointId)>>,
    by_endpoint: BTreeMap<EndpointId, (SocketAddr, ClaimRank)>,
}

impl AddressClaims {
    /// Sets the address of an endpoint. To state it again is no new claim. Returns the address that it had before.
    pub fn claim(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        mut rank: ClaimRank,
    ) -> Option<SocketAddr> {
        if let Some((known_address, known)) = self.by_endpoint.get(&endpoint)
            && (*known_address, known.started_ms) == (address, rank.started_ms)
        {
            rank.list = known.list;
        }
        let before = self.withdraw(endpoint);
        self.by_address.entry(address).or_default().insert((rank, endpoint));
        self.by_endpoint.insert(endpoint, (address, rank));
        before
    }

    /// Removes the claim of an endpoint that is no longer listed. Returns the address that it had.
    pub fn withdraw(&mut self, endpoint: EndpointId) -> Option<SocketAddr> {
        let (address, rank) = self.by_endpoint.remove(&endpoint)?;
        let claims = self.by_address.get_mut(&address)?;
        claims.remove(&(rank, endpoint));
        if claims.is_empty() {
            self.by_address.remove(&address);
        }
        Some(address)
    }

    /// Returns the endpoints that claim an address, each with whether it owns it.
    pub fn claimants(&self, address: SocketAddr) -> Vec<(EndpointId, bool)> {
        let claims = self.by_address.get(&address);
        let highest = claims.and_then(|claims| claims.last()).map(|(rank, _)| *rank);
        let claims = claims.into_iter().flatten();
        claims.map(|(rank, endpoint)| (*endpoint, Some(*rank) == highest)).collect()
    }
}

#[cfg(test)]
mod tests;

//! Requests that wait for the keepers, and queries that wait for the leader: bounded, the oldest is given up
//! first.

use crate::Micros;
use crate::limits;
use heronroute_rules::registry::Command;
use heronroute_rules::seam::ClientRequest;
use std::collections::BTreeMap;

/// The clients' requests and queries that are not answered yet.
#[derive(Debug, Default)]
pub struct PendingRequests {
    requests: BTreeMap<u64, (ClientRequest, Command)>,
    queries: BTreeMap<u64, (ClientRequest, Micros)>,
}

impl PendingRequests {
    /// Adds a request that goes to the keepers under this number, which is greater than all before. Returns
    /// the one that is given up for it.
    pub fn add_request(
        &mut self,
        number: u64,
        client_request: ClientRequest,
        command: Command,
    ) -> Option<ClientRequest> {
        let own = |(_, (other, _)): &(&u64, &(ClientRequest, Command))| other.client == client_request.client;
        let mut of_client = self.requests.iter().filter(own).map(|(number, _)| *number);
        // A client that sends requests without end displaces its own, not others'.
        let (first, count) = (of_client.next(), of_client.count());
        let evicted = match first {
            Some(first) if count + 1 >= limits::MAX_OPEN_REQUESTS_PER_CLIENT => Some(first),
            _ if self.requests.len() >= limits::MAX_OPEN_REQUESTS => self.requests.keys().next().copied(),
            _ => None,
        };
        let evicted = evicted
            .and_then(|evicted| self.requests.remove(&evicted))
            .map(|(client_request, _)| client_request);
        self.requests.insert(number, (client_request, command));
        evicted
    }

    /// Removes a request that is answered.
    pub fn take_request(&mut self, number: u64) -> Option<(ClientRequest, Command)> {
        self.requests.remove(&number)
    }

    /// Adds a query that goes to the leader. Returns the one that is given up for it.
    pub fn add_query(
        &mut self,
        number: u64,
        client_request: ClientRequest,
        deadline: Micros,
    ) -> Option<ClientRequest> {
        let full = self.queries.len() >= limits::MAX_QUERIES;
        let evicted =
            if full { self.queries.pop_first().map(|(_, (client_request, _))| client_request) } else { None };
        self.queries.insert(number, (client_request, deadline));
        evicted
    }

    /// Removes a query that the leader answered.
    pub fn take_query(&mut self, number: u64) -> Option<ClientRequest> {
        self.queries.remove(&number).map(|(client_request, _)| client_request)
    }

    /// Removes a query that timed out. They are in the order of their numbers, with the same timeout each.
    pub fn take_expired(&mut self, now: Micros) -> Option<ClientRequest> {
        let entry = self.queries.first_entry().filter(|entry| entry.get().1 <= now)?;
        Some(entry.remove().0)
    }

    /// Returns when the next query times out.
    pub fn wake(&self) -> Option<Micros> {
        self.queries.first_key_value().map(|(_, (_, deadline))| *deadline)
    }

    /// Removes all, requests before queries, when this life ends.
    pub fn take_all(&mut self) -> (Vec<ClientRequest>, Vec<ClientRequest>) {
        let requests =
            std::mem::take(&mut self.requests).into_values().map(|(client_request, _)| client_request);
        let queries =
            std::mem::take(&mut self.queries).into_values().map(|(client_request, _)| client_request);
        (requests.collect(), queries.collect())
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.requests.len()
    }
}

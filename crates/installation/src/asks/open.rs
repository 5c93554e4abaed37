//! Requests that wait for the keepers, and questions that wait for the member in charge: bounded, the oldest given up first.

use crate::Micros;
use crate::limits;
use heronroute_rules::registry::Command;
use heronroute_rules::seam::ClientRequest;
use std::collections::BTreeMap;

/// What waits.
#[derive(Debug, Default)]
pub struct Open {
    requests: BTreeMap<u64, (ClientRequest, Command)>,
    sought: BTreeMap<u64, (ClientRequest, Micros)>,
}

impl Open {
    /// A request goes to the keepers under this number, which is greater than all before. Gives back what is given up for it.
    pub fn request(&mut self, number: u64, ask: ClientRequest, command: Command) -> Option<ClientRequest> {
        let own = |(_, (other, _)): &(&u64, &(ClientRequest, Command))| other.client == ask.client;
        let mut of_client = self.requests.iter().filter(own).map(|(number, _)| *number);
        // A client that asks without end gives up its own, not others'.
        let (first, count) = (of_client.next(), of_client.count());
        let over = match first {
            Some(first) if count + 1 >= limits::OPEN_EACH => Some(first),
            _ if self.requests.len() >= limits::OPEN => self.requests.keys().next().copied(),
            _ => None,
        };
        let over = over.and_then(|over| self.requests.remove(&over)).map(|(ask, _)| ask);
        self.requests.insert(number, (ask, command));
        over
    }

    /// A request is answered.
    pub fn answered(&mut self, number: u64) -> Option<(ClientRequest, Command)> {
        self.requests.remove(&number)
    }

    /// A question goes to the member in charge. Gives back what is given up for it.
    pub fn seek(&mut self, number: u64, ask: ClientRequest, until: Micros) -> Option<ClientRequest> {
        let full = self.sought.len() >= limits::SOUGHT;
        let over = if full { self.sought.pop_first().map(|(_, (ask, _))| ask) } else { None };
        self.sought.insert(number, (ask, until));
        over
    }

    /// It answers.
    pub fn shown(&mut self, number: u64) -> Option<ClientRequest> {
        self.sought.remove(&number).map(|(ask, _)| ask)
    }

    /// Questions that are waited for no longer. They were put in order, each with the same patience.
    pub fn late(&mut self, now: Micros) -> Option<ClientRequest> {
        let entry = self.sought.first_entry().filter(|entry| entry.get().1 <= now)?;
        Some(entry.remove().0)
    }

    /// When the next one is.
    pub fn wake(&self) -> Option<Micros> {
        self.sought.first_key_value().map(|(_, (_, until))| *until)
    }

    /// All that waits, requests before questions: whoever would be answered is no more.
    pub fn end(&mut self) -> (Vec<ClientRequest>, Vec<ClientRequest>) {
        let requests = std::mem::take(&mut self.requests).into_values().map(|(ask, _)| ask);
        let sought = std::mem::take(&mut self.sought).into_values().map(|(ask, _)| ask);
        (requests.collect(), sought.collect())
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.requests.len()
    }
}

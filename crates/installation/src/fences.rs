//! Which clients are fenced at which members, as the log has it: the one place that says so.
//!
//! Neither a restart of the member nor one of the member in charge forgets a fence. Both learn it from the log again before
//! they apply or order anything, and only the member in charge, in its term, has it written there or taken out.

use crate::limits;
use heronroute_fleet::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Octets of a client's name at most.
const MOST_CLIENT: usize = heronroute_drift::MAX_CLIENT_NAME_BYTES;

/// Clients by member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fences(BTreeMap<Name, BTreeSet<String>>);

impl Fences {
    /// Sets one, or takes it out. False where nothing changed: it is so already, or there is no room for one more (the
    /// member in charge asks for it again).
    pub fn set(&mut self, member: &Name, client: &str, stands: bool) -> bool {
        if !stands {
            let Some(own) = self.0.get_mut(member) else { return false };
            let was = own.remove(client);
            if own.is_empty() {
                self.0.remove(member);
            }
            return was;
        }
        if client.len() > MOST_CLIENT || self.len() >= limits::FENCED || self.stands(member, client) {
            return false;
        }
        self.0.entry(member.clone()).or_default().insert(client.to_owned())
    }

    /// Whether one stands.
    pub fn stands(&self, member: &Name, client: &str) -> bool {
        self.0.get(member).is_some_and(|own| own.contains(client))
    }

    /// A member's.
    pub fn of(&self, member: &Name) -> impl Iterator<Item = &str> {
        self.0.get(member).into_iter().flatten().map(String::as_str)
    }

    /// All.
    pub fn all(&self) -> impl Iterator<Item = (&Name, &str)> {
        self.0.iter().flat_map(|(member, own)| own.iter().map(move |client| (member, client.as_str())))
    }

    /// How many.
    pub fn len(&self) -> usize {
        self.0.values().map(BTreeSet::len).sum()
    }

    /// None stands.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

//! Which clients are fenced at which members, as replicated by the log.
//!
//! A fence survives restarts of the member and of the leader. Both learn it from the log again before they
//! apply or order anything, and only the leader, in its term, has it set or lifted there.

use crate::limits;
use heronroute_fleet::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The longest client name, in bytes.
const MAX_CLIENT_NAME_BYTES: usize = heronroute_drift::MAX_CLIENT_NAME_BYTES;

/// The fenced clients of each member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fences(BTreeMap<Name, BTreeSet<String>>);

impl Fences {
    /// Sets or lifts a fence. Returns false if nothing changed: it is so already, or there is no room for one
    /// more (the leader requests it again).
    pub fn set(&mut self, member: &Name, client: &str, is_set: bool) -> bool {
        if !is_set {
            let Some(own) = self.0.get_mut(member) else { return false };
            let was = own.remove(client);
            if own.is_empty() {
                self.0.remove(member);
            }
            return was;
        }
        if client.len() > MAX_CLIENT_NAME_BYTES
            || self.len() >= limits::MAX_FENCES
            || self.is_fenced(member, client)
        {
            return false;
        }
        self.0.entry(member.clone()).or_default().insert(client.to_owned())
    }

    /// Returns whether a client is fenced at a member.
    pub fn is_fenced(&self, member: &Name, client: &str) -> bool {
        self.0.get(member).is_some_and(|own| own.contains(client))
    }

    /// Returns the fenced clients of a member.
    pub fn of(&self, member: &Name) -> impl Iterator<Item = &str> {
        self.0.get(member).into_iter().flatten().map(String::as_str)
    }

    /// Returns all fences.
    pub fn all(&self) -> impl Iterator<Item = (&Name, &str)> {
        self.0.iter().flat_map(|(member, own)| own.iter().map(move |client| (member, client.as_str())))
    }

    /// Returns the number of fences.
    pub fn len(&self) -> usize {
        self.0.values().map(BTreeSet::len).sum()
    }

    /// Returns whether there is no fence.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

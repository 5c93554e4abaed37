//! The desired state of each member, as a tree that is compared with the member's own tree.
//!
//! It is the same for all members except those that a rollout has not reached. These have trees of their own,
//! which share the equal nodes.

use super::Desired;
use crate::reporter::held;
use crate::tree::{Leaf, Tree};
use crate::{Digest, Micros};
use heronroute_fleet::Name;
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of clients with a desired version; others are ignored and counted.
pub const MOST_WANTED: usize = 100_000;

/// The desired state of all members.
#[derive(Debug, Default)]
pub(super) struct Approved {
    pub(super) tree: Tree,
    by: BTreeMap<String, Want>,
    seq: u64,
    last: Option<String>,
    /// The members that are pinned to another version of some clients.
    held: BTreeMap<Name, Held>,
}

#[derive(Debug)]
struct Held {
    tree: Tree,
    clients: BTreeSet<String>,
}

/// The desired state of one member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted<'a> {
    pub(super) tree: &'a Tree,
    by: &'a BTreeMap<String, Want>,
    seq: u64,
    /// The client with the latest approval.
    pub(super) last: &'a Option<String>,
    /// The version of that client.
    pub(super) last_version: u64,
}

#[derive(Debug)]
pub(super) struct Want {
    pub(super) at: Micros,
    /// The number of the approval, increasing over time.
    pub(super) seq: u64,
    uncut: Option<Digest>,
    /// The previous content of the same version, if it changed.
    was: Option<Digest>,
}

/// The relation of an applied version to the desired one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    Lagging,
    Ahead,
    Altered,
    Beyond,
}

impl Approved {
    /// Sets the desired version of a client. Returns false if there are too many clients.
    pub(super) fn set(&mut self, desired: &Desired) -> bool {
        if self.by.len() >= MOST_WANTED && !self.by.contains_key(&desired.client) {
            return false;
        }
        let client = &desired.client;
        let before = self.tree.get(client);
        let was = before.filter(|leaf| leaf.version == desired.version && leaf.digest != desired.digest);
        let was = was.map(|leaf| leaf.digest);
        self.seq += 1;
        let want = Want { at: desired.at, seq: self.seq, uncut: desired.uncut, was };
        self.tree.set(client, held(desired.version, desired.digest));
        for one in self.held.values_mut().filter(|one| !one.clients.contains(client)) {
            one.tree.set_like(client, held(desired.version, desired.digest), &self.tree);
        }
        self.by.insert(client.clone(), want);
        self.last = Some(client.clone());
        true
    }

    /// Returns the desired state of a member.
    pub(super) fn of(&self, name: &Name) -> Wanted<'_> {
        let tree = self.held.get(name).map_or(&self.tree, |one| &one.tree);
        let last_version = self.last.as_ref().and_then(|c| tree.get(c)).map_or(0, |leaf| leaf.version);
        Wanted { tree, by: &self.by, seq: self.seq, last: &self.last, last_version }
    }

    /// Pins a member to a version of a client, or unpins it. Returns true if this changed the member's
    /// desired state.
    pub(super) fn hold(&mut self, name: &Name, client: &str, at: Option<(u64, Digest)>) -> bool {
        let Some((version, digest)) = at else {
            let Some(one) = self.held.get_mut(name).filter(|one| one.clients.contains(client)) else {
                return false;
            };
            one.clients.remove(client);
            let leaf = self.tree.get(client).map(|leaf| (leaf.version, leaf.digest));
            one.tree.set_like(client, leaf, &self.tree);
            if one.clients.is_empty() {
                self.held.remove(name);
            }
            return true;
        };
        let new = || Held { tree: self.tree.clone(), clients: BTreeSet::new() };
        let one = self.held.entry(name.clone()).or_insert_with(new);
        one.clients.insert(client.to_owned());
        let before = one.tree.get(client).map(|leaf| (leaf.version, leaf.digest));
        one.tree.set(client, held(version, digest));
        before != held(version, digest)
    }

    /// Unpins all members from their versions of a client and returns these members.
    pub(super) fn release(&mut self, client: &str) -> Vec<Name> {
        let names = self.held.iter().filter(|(_, one)| one.clients.contains(client));
        let names: Vec<Name> = names.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| _ = self.hold(name, client, None));
        names
    }

    /// Restarts the time within which a client's version must be applied, because more members now need it.
    pub(super) fn again(&mut self, now: Micros, client: &str) {
        if let Some(want) = self.by.get_mut(client) {
            self.seq += 1;
            (want.at, want.seq) = (now, self.seq);
        }
    }
}

impl Wanted<'_> {
    pub(super) fn want(&self, client: &str) -> Option<&Want> {
        self.by.get(client)
    }

    /// Returns the number of the latest approval.
    pub(super) fn seq(&self) -> u64 {
        self.seq
    }

    pub(super) fn class(&self, client: &str, desired: Option<&Leaf>, applied: Option<&Leaf>) -> Class {
        let (desired, version) =
            (desired.map_or(0, |leaf| leaf.version), applied.map_or(0, |leaf| leaf.version));
        if version != desired {
            return if version < desired { Class::Lagging } else { Class::Ahead };
        }
        let want = self.want(client);
        let digest = applied.map(|leaf| leaf.digest);
        if digest.is_some() && want.is_some_and(|want| want.uncut == digest) {
            Class::Beyond
        } else if digest.is_some() && want.is_some_and(|want| want.was == digest) {
            Class::Lagging
        } else {
            Class::Altered
        }
    }
}

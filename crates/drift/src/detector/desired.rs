//! The desired state of each member, as a tree that is compared with the member's own tree.
//!
//! It is the same for all members except those that a rollout has not reached. These have trees of their own,
//! which share the equal nodes.

use super::Desired;
use crate::reporter::tree_entry;
use crate::tree::{Leaf, Tree};
use crate::{Digest, Micros};
use heronroute_fleet::Name;
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of clients with a desired version; others are ignored and counted.
pub const MAX_DESIRED_CLIENTS: usize = 100_000;

/// The desired state of all members.
#[derive(Debug, Default)]
pub(super) struct DesiredState {
    pub(super) tree: Tree,
    approvals: BTreeMap<String, Approval>,
    seq: u64,
    last: Option<String>,
    /// The members that are pinned to another version of some clients.
    pinned: BTreeMap<Name, Pinned>,
}

#[derive(Debug)]
struct Pinned {
    tree: Tree,
    clients: BTreeSet<String>,
}

/// The desired state of one member.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemberTarget<'a> {
    pub(super) tree: &'a Tree,
    approvals: &'a BTreeMap<String, Approval>,
    seq: u64,
    /// The client with the latest approval.
    pub(super) last: &'a Option<String>,
    /// The version of that client.
    pub(super) last_version: u64,
}

#[derive(Debug)]
pub(super) struct Approval {
    pub(super) at: Micros,
    /// The number of the approval, increasing over time.
    pub(super) seq: u64,
    uncut: Option<Digest>,
    /// The previous content of the same version, if it changed.
    previous_digest: Option<Digest>,
}

/// The relation of an applied version to the desired one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Deviation {
    Lagging,
    Ahead,
    Altered,
    BeyondPlanLimits,
}

impl DesiredState {
    /// Sets the desired version of a client. Returns false if there are too many clients.
    pub(super) fn set(&mut self, desired: &Desired) -> bool {
        if self.approvals.len() >= MAX_DESIRED_CLIENTS && !self.approvals.contains_key(&desired.client) {
            return false;
        }
        let client = &desired.client;
        let before = self.tree.get(client);
        let previous_digest =
            before.filter(|leaf| leaf.version == desired.version && leaf.digest != desired.digest);
        let previous_digest = previous_digest.map(|leaf| leaf.digest);
        self.seq += 1;
        let approval = Approval { at: desired.at, seq: self.seq, uncut: desired.uncut, previous_digest };
        self.tree.set(client, tree_entry(desired.version, desired.digest));
        for pinned in self.pinned.values_mut().filter(|pinned| !pinned.clients.contains(client)) {
            pinned.tree.set_like(client, tree_entry(desired.version, desired.digest), &self.tree);
        }
        self.approvals.insert(client.clone(), approval);
        self.last = Some(client.clone());
        true
    }

    /// Returns the desired state of a member.
    pub(super) fn of(&self, name: &Name) -> MemberTarget<'_> {
        let tree = self.pinned.get(name).map_or(&self.tree, |pinned| &pinned.tree);
        let last_version = self.last.as_ref().and_then(|c| tree.get(c)).map_or(0, |leaf| leaf.version);
        MemberTarget { tree, approvals: &self.approvals, seq: self.seq, last: &self.last, last_version }
    }

    /// Pins a member to a version of a client, or unpins it. Returns true if this changed the member's
    /// desired state.
    pub(super) fn pin(&mut self, name: &Name, client: &str, to: Option<(u64, Digest)>) -> bool {
        let Some((version, digest)) = to else {
            let Some(pinned) = self.pinned.get_mut(name).filter(|pinned| pinned.clients.contains(client))
            else {
                return false;
            };
            pinned.clients.remove(client);
            let leaf = self.tree.get(client).map(|leaf| (leaf.version, leaf.digest));
            pinned.tree.set_like(client, leaf, &self.tree);
            if pinned.clients.is_empty() {
                self.pinned.remove(name);
            }
            return true;
        };
        let unpinned = || Pinned { tree: self.tree.clone(), clients: BTreeSet::new() };
        let pinned = self.pinned.entry(name.clone()).or_insert_with(unpinned);
        pinned.clients.insert(client.to_owned());
        let before = pinned.tree.get(client).map(|leaf| (leaf.version, leaf.digest));
        pinned.tree.set(client, tree_entry(version, digest));
        before != tree_entry(version, digest)
    }

    /// Unpins all members from their versions of a client and returns these members.
    pub(super) fn unpin_all(&mut self, client: &str) -> Vec<Name> {
        let names = self.pinned.iter().filter(|(_, pinned)| pinned.clients.contains(client));
        let names: Vec<Name> = names.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| _ = self.pin(name, client, None));
        names
    }

    /// Restarts the time within which a client's version must be applied, because more members now need it.
    pub(super) fn renew(&mut self, now: Micros, client: &str) {
        if let Some(approval) = self.approvals.get_mut(client) {
            self.seq += 1;
            (approval.at, approval.seq) = (now, self.seq);
        }
    }
}

impl MemberTarget<'_> {
    pub(super) fn approval(&self, client: &str) -> Option<&Approval> {
        self.approvals.get(client)
    }

    /// Returns the number of the latest approval.
    pub(super) fn seq(&self) -> u64 {
        self.seq
    }

    pub(super) fn classify(&self, client: &str, desired: Option<&Leaf>, applied: Option<&Leaf>) -> Deviation {
        let (desired, version) =
            (desired.map_or(0, |leaf| leaf.version), applied.map_or(0, |leaf| leaf.version));
        if version != desired {
            return if version < desired { Deviation::Lagging } else { Deviation::Ahead };
        }
        let approval = self.approval(client);
        let digest = applied.map(|leaf| leaf.digest);
        if digest.is_some() && approval.is_some_and(|approval| approval.uncut == digest) {
            Deviation::BeyondPlanLimits
        } else if digest.is_some() && approval.is_some_and(|approval| approval.previous_digest == digest) {
            Deviation::Lagging
        } else {
            Deviation::Altered
        }
    }
}

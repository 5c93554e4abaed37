//! The walk down a member's tree to the clients that differ: one query per node, with each reply verified
//! against the digest above it.

use super::assess::MAX_DIFFERENCES;
use super::desired::MemberTarget;
use super::member::Member;
use crate::report::{TreeNode, TreeReply};
use crate::tree::{EMPTY_DIGEST, MAX_DEPTH, Path, diff, node_digest};
use crate::{Digest, Micros};

/// The maximum number of open queries per member.
const MAX_OPEN_QUERIES: usize = 8;

/// The maximum number of pending queries. Differences beyond it are found by a later walk, once these are
/// repaired.
const MAX_PENDING_QUERIES: usize = 64;

#[derive(Debug, Default)]
pub(super) struct Walk {
    open: Vec<(Path, Digest)>,
    pending: Vec<(Path, Digest)>,
    /// The time of the last query.
    asked_at: Option<Micros>,
}

impl Member {
    /// Starts a walk if the member's root is not explained by the assumed tree and no walk in progress still
    /// gets replies. Returns the queries to send; none if enough is known to act on.
    pub(super) fn start_walk(
        &mut self,
        now: Micros,
        retry_after: Micros,
        target: &MemberTarget,
    ) -> Vec<Path> {
        let Some(root) = self.root.filter(|_| !self.matches_root()) else {
            self.walk = Walk::default();
            return Vec::new();
        };
        if self.walk.asked_at.is_some_and(|asked_at| now < asked_at.saturating_add(retry_after)) {
            return Vec::new();
        }
        if self.knows_enough(target) {
            self.walk = Walk { asked_at: Some(now), ..Walk::default() };
            return Vec::new();
        }
        self.walk = Walk { open: Vec::new(), pending: vec![(Path::ROOT, root)], asked_at: None };
        self.send_pending(now)
    }

    /// Returns the next time at which the walk needs attention; none if there is nothing to query.
    pub(super) fn walk_wake_at(&self, now: Micros, retry_after: Micros) -> Option<Micros> {
        (self.root.is_some() && !self.matches_root())
            .then(|| self.walk.asked_at.unwrap_or(now).saturating_add(retry_after).max(now.saturating_add(1)))
    }

    fn knows_enough(&self, target: &MemberTarget) -> bool {
        diff(&self.assumed, target.tree, MAX_DIFFERENCES).len() >= MAX_DIFFERENCES
    }

    fn send_pending(&mut self, now: Micros) -> Vec<Path> {
        let room = MAX_OPEN_QUERIES.saturating_sub(self.walk.open.len()).min(self.walk.pending.len());
        let next: Vec<(Path, Digest)> = self.walk.pending.drain(..room).collect();
        if !next.is_empty() {
            self.walk.asked_at = Some(now);
        }
        let paths = next.iter().map(|(path, _)| path.clone()).collect();
        self.walk.open.extend(next);
        paths
    }

    /// Handles a reply with a valid number. Returns the next queries, or none if the reply does not match an
    /// open query.
    pub(super) fn handle_reply(
        &mut self,
        now: Micros,
        reply: &TreeReply,
        target: &MemberTarget,
    ) -> Option<Vec<Path>> {
        if self.root != Some(reply.root) {
            // The tree has changed in the meantime, so the queried digests are no longer part of it.
            self.walk = Walk::default();
            self.apply_report(now, reply.root, &[], target);
            return Some(self.start_walk(now, 0, target));
        }
        let index = self.walk.open.iter().position(|(path, _)| *path == reply.path)?;
        let (path, expected) = self.walk.open.swap_remove(index);
        if node_digest(&reply.node, &path) != Some(expected) {
            self.walk.open.clear();
            self.walk.pending.clear();
            return None;
        }
        match &reply.node {
            TreeNode::Bucket(clients) => {
                self.assumed.replace_below(&path, clients, target.tree);
                clients.iter().for_each(|applied| self.record_client_status(applied, target));
            }
            TreeNode::Branch(children) => {
                for (step, digest) in children.iter().enumerate() {
                    let below = path.child(step);
                    if *digest == self.assumed.digest_at(&below) {
                        continue;
                    }
                    if *digest == EMPTY_DIGEST {
                        self.assumed.replace_below(&below, &[], target.tree);
                    } else if *digest == target.tree.digest_at(&below) {
                        self.assumed.copy_below(&below, target.tree);
                    } else if self.walk.pending.len() < MAX_PENDING_QUERIES
                        && below.steps().len() <= MAX_DEPTH
                    {
                        self.walk.pending.push((below, *digest));
                    }
                }
            }
        }
        if self.matches_root() || self.knows_enough(target) {
            self.walk.open.clear();
            self.walk.pending.clear();
        }
        if self.matches_root() {
            self.unknown_since = None;
        }
        Some(self.send_pending(now))
    }
}

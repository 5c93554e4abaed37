//! The walk down a member's tree to the clients that differ: one query per node, with each reply verified
//! against the digest above it.

use super::judge::MOST_DIFFERENCES;
use super::member::Member;
use super::wanted::Wanted;
use crate::report::{Tell, Told};
use crate::tree::{DEEPEST, NONE, Path, diff, told_hash};
use crate::{Digest, Micros};

/// The maximum number of open queries per member.
const MOST_OPEN: usize = 8;

/// The maximum number of pending queries. Differences beyond it are found by a later walk, once these are
/// repaired.
const MOST_PENDING: usize = 64;

#[derive(Debug, Default)]
pub(super) struct Walk {
    open: Vec<(Path, Digest)>,
    pending: Vec<(Path, Digest)>,
    /// The time of the last query.
    asked: Option<Micros>,
}

impl Member {
    /// Starts a walk if the member's root is not explained by the assumed tree and no walk in progress still
    /// gets replies. Returns the queries to send; none if enough is known to act on.
    pub(super) fn walk_begin(&mut self, now: Micros, again: Micros, wanted: &Wanted) -> Vec<Path> {
        let Some(root) = self.root.filter(|_| !self.accounted()) else {
            self.walk = Walk::default();
            return Vec::new();
        };
        if self.walk.asked.is_some_and(|asked| now < asked.saturating_add(again)) {
            return Vec::new();
        }
        if self.enough(wanted) {
            self.walk = Walk { asked: Some(now), ..Walk::default() };
            return Vec::new();
        }
        self.walk = Walk { open: Vec::new(), pending: vec![(Path::ROOT, root)], asked: None };
        self.walk_on(now)
    }

    /// Returns the next time at which the walk needs attention; none if there is nothing to query.
    pub(super) fn walk_next(&self, now: Micros, again: Micros) -> Option<Micros> {
        (self.root.is_some() && !self.accounted())
            .then(|| self.walk.asked.unwrap_or(now).saturating_add(again).max(now.saturating_add(1)))
    }

    fn enough(&self, wanted: &Wanted) -> bool {
        diff(&self.believed, wanted.tree, MOST_DIFFERENCES).len() >= MOST_DIFFERENCES
    }

    fn walk_on(&mut self, now: Micros) -> Vec<Path> {
        let room = MOST_OPEN.saturating_sub(self.walk.open.len()).min(self.walk.pending.len());
        let next: Vec<(Path, Digest)> = self.walk.pending.drain(..room).collect();
        if !next.is_empty() {
            self.walk.asked = Some(now);
        }
        let paths = next.iter().map(|(path, _)| path.clone()).collect();
        self.walk.open.extend(next);
        paths
    }

    /// Handles a reply with a valid number. Returns the next queries, or none if the reply does not match an
    /// open query.
    pub(super) fn told(&mut self, now: Micros, tell: &Tell, wanted: &Wanted) -> Option<Vec<Path>> {
        if self.root != Some(tell.root) {
            // The tree has changed in the meantime, so the queried digests are no longer part of it.
            self.walk = Walk::default();
            self.learn(now, tell.root, &[], wanted);
            return Some(self.walk_begin(now, 0, wanted));
        }
        let place = self.walk.open.iter().position(|(path, _)| *path == tell.path)?;
        let (path, expected) = self.walk.open.swap_remove(place);
        if told_hash(&tell.node, &path) != Some(expected) {
            self.walk.open.clear();
            self.walk.pending.clear();
            return None;
        }
        match &tell.node {
            Told::Bucket(clients) => {
                self.believed.graft(&path, clients, wanted.tree);
                clients.iter().for_each(|applied| self.note(applied, wanted));
            }
            Told::Branch(children) => {
                for (step, told) in children.iter().enumerate() {
                    let below = path.child(step);
                    if *told == self.believed.hash_at(&below) {
                        continue;
                    }
                    if *told == NONE {
                        self.believed.graft(&below, &[], wanted.tree);
                    } else if *told == wanted.tree.hash_at(&below) {
                        self.believed.adopt(&below, wanted.tree);
                    } else if self.walk.pending.len() < MOST_PENDING && below.steps().len() <= DEEPEST {
                        self.walk.pending.push((below, *told));
                    }
                }
            }
        }
        if self.accounted() || self.enough(wanted) {
            self.walk.open.clear();
            self.walk.pending.clear();
        }
        if self.accounted() {
            self.unknown_since = None;
        }
        Some(self.walk_on(now))
    }
}

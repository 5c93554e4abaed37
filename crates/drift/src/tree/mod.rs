//! A Merkle tree of digests by client ("A Digital Signature Based on a Conventional Encryption Function",
//! 1987). Equal roots mean the same clients with the same versions and content; where the roots differ, a
//! walk down the tree finds the client in as many steps as the tree is deep.
//!
//! The SHA-256 of a client's name gives its position, with [`FAN_OUT`] children per level. Up to
//! [`MAX_BUCKET_CLIENTS`] clients share a leaf node, so the depth follows from the number of clients (3
//! levels for 10,000). Trees share equal nodes: holding one tree for each of 500 members costs only their
//! differences.

mod diff;
mod node;
mod path;

pub use diff::{Difference, diff};
pub use node::Leaf;
pub use path::{DEEPEST, Path, PathError};

use crate::report::{Applied, Told};
use crate::{Digest, MOST_NAME};
use node::{Link, Node, build, count, hash, scatter};
use path::Key;

/// The number of children of a branch.
pub const FAN: usize = 16;

/// The maximum number of clients in a bucket.
pub const BUCKET: usize = 8;

/// The digest of an empty tree.
pub const NONE: Digest = [0; 32];

/// An immutable hash tree; cloning it is cheap.
#[derive(Clone, Debug, Default)]
pub struct Tree(Link);

impl PartialEq for Tree {
    fn eq(&self, other: &Self) -> bool {
        node::same(&self.0, &other.0)
    }
}

impl Eq for Tree {}

impl Tree {
    /// Returns the root digest over all clients.
    pub fn root(&self) -> Digest {
        hash(&self.0)
    }

    /// Returns the number of clients.
    pub fn len(&self) -> usize {
        count(&self.0)
    }

    /// Returns whether the tree has no clients.
    pub fn is_empty(&self) -> bool {
        self.0.is_none()
    }

    /// Returns the entry of a client.
    pub fn get(&self, client: &str) -> Option<&Leaf> {
        let key = Key::of(client);
        let mut link = &self.0;
        for depth in 0.. {
            match link.as_deref()? {
                Node::Bucket { leaves, .. } => return leaves.iter().find(|leaf| &*leaf.client == client),
                Node::Branch { children, .. } => link = children.get(key.step(depth))?,
            }
        }
        None
    }

    /// Sets the entry of a client, or removes it. The cost is proportional to the depth.
    pub fn set(&mut self, client: &str, held: Option<(u64, Digest)>) {
        self.set_like(client, held, &Tree::default());
    }

    /// Like [`Tree::set`], but shares the nodes of `like` where the result is equal to them.
    pub fn set_like(&mut self, client: &str, held: Option<(u64, Digest)>, like: &Tree) {
        let leaf = held.map(|(version, digest)| Leaf { client: client.into(), version, digest });
        self.0 = edit(&self.0, 0, &Key::of(client), client, leaf, &like.0);
    }

    /// Returns the digest at a path, following the shape of this tree; [`EMPTY_DIGEST`] if there is no
    /// client.
    pub(crate) fn hash_at(&self, path: &Path) -> Digest {
        let mut link = &self.0;
        for (depth, step) in path.steps().iter().enumerate() {
            match link.as_deref() {
                None => return NONE,
                Some(Node::Branch { children, .. }) => match children.get(usize::from(*step)) {
                    Some(child) => link = child,
                    None => return NONE,
                },
                // The bucket lies above the path: only the clients below the path count.
                Some(Node::Bucket { leaves, .. }) => return hash(&build(below(leaves, path), depth)),
            }
        }
        hash(link)
    }

    /// Returns the node at a path, in the form in which it is sent.
    pub fn told(&self, path: &Path) -> Told {
        let mut link = &self.0;
        for step in path.steps() {
            match link.as_deref() {
                Some(Node::Branch { children, .. }) => match children.get(usize::from(*step)) {
                    Some(child) => link = child,
                    None => return Told::Bucket(Vec::new()),
                },
                Some(Node::Bucket { leaves, .. }) => return Told::Bucket(applied(&below(leaves, path))),
                None => return Told::Bucket(Vec::new()),
            }
        }
        match link.as_deref() {
            None => Told::Bucket(Vec::new()),
            Some(Node::Bucket { leaves, .. }) => Told::Bucket(applied(leaves)),
            Some(Node::Branch { children, .. }) => Told::Branch(children.iter().map(hash).collect()),
        }
    }

    /// Replaces all entries below `path` by the received clients.
    pub(crate) fn graft(&mut self, path: &Path, told: &[Applied], like: &Tree) {
        let leaf =
            |a: &Applied| Leaf { client: a.client.as_str().into(), version: a.version, digest: a.digest };
        let place = Place::Leaves(told.iter().map(leaf).collect());
        self.0 = graft(&self.0, 0, path, &place, &like.0);
    }

    /// Replaces the node at `path` by the one that `from` has there.
    pub(crate) fn adopt(&mut self, path: &Path, from: &Tree) {
        let mut link = &from.0;
        for (depth, step) in path.steps().iter().enumerate() {
            match link.as_deref() {
                Some(Node::Branch { children, .. }) => {
                    link = children.get(usize::from(*step)).unwrap_or(&None)
                }
                Some(Node::Bucket { leaves, .. }) => {
                    let place = Place::Leaves(below(leaves, path));
                    debug_assert!(depth < DEEPEST);
                    self.0 = graft(&self.0, 0, path, &place, &from.0);
                    return;
                }
                None => break,
            }
        }
        self.0 = graft(&self.0, 0, path, &Place::Link(link.clone()), &from.0);
    }

    /// Returns the client with this index, below [`Tree::len`], in key order.
    pub(crate) fn nth(&self, mut number: usize) -> Option<&Leaf> {
        let mut link = &self.0;
        loop {
            match link.as_deref()? {
                Node::Bucket { leaves, .. } => return leaves.get(number),
                Node::Branch { children, .. } => {
                    link = children.iter().find(|child| match number.checked_sub(count(child)) {
                        Some(rest) => {
                            number = rest;
                            false
                        }
                        None => true,
                    })?;
                }
            }
        }
    }
}

/// Returns the digest of a received node, or none if a tree cannot have such a node at that path.
pub(crate) fn told_hash(told: &Told, path: &Path) -> Option<Digest> {
    match told {
        Told::Branch(children) if children.len() == FAN => Some(node::branch_hash(children.iter())),
        Told::Branch(_) => None,
        Told::Bucket(clients) => {
            let fits = |a: &Applied| a.client.len() <= MOST_NAME && Key::of(&a.client).below(path.steps());
            let rising = clients.windows(2).all(|pair| matches!(pair, [a, b] if a.client < b.client));
            (clients.len() <= BUCKET && rising && clients.iter().all(fits))
                .then(|| node::bucket_hash(clients.iter().map(|a| (a.client.as_str(), a.version, &a.digest))))
        }
    }
}

fn applied(leaves: &[Leaf]) -> Vec<Applied> {
    let one = |l: &Leaf| Applied {
        client: l.client.to_string(),
        version: l.version,
        digest: l.digest,
        trouble: None,
        partly: None,
    };
    leaves.iter().map(one).collect()
}

fn below(leaves: &[Leaf], path: &Path) -> Vec<Leaf> {
    leaves.iter().filter(|leaf| Key::of(&leaf.client).below(path.steps())).cloned().collect()
}

/// Returns the node of `like` if it is equal to `link`.
fn shared(link: Link, like: &Link) -> Link {
    if node::same(&link, like) { like.clone() } else { link }
}

fn child_of(like: &Link, step: usize) -> &Link {
    match like.as_deref() {
        Some(Node::Branch { children, .. }) => children.get(step).unwrap_or(&None),
        _ => &None,
    }
}

fn edit(link: &Link, depth: usize, key: &Key, client: &str, leaf: Option<Leaf>, like: &Link) -> Link {
    let made = match link.as_deref() {
        None => build(leaf.into_iter().collect(), depth),
        Some(Node::Bucket { leaves, .. }) => {
            let mut leaves: Vec<Leaf> = leaves.iter().filter(|l| &*l.client != client).cloned().collect();
            if let Some(leaf) = leaf {
                let place = leaves.partition_point(|l| l.client < leaf.client);
                leaves.insert(place, leaf);
            }
            build(leaves, depth)
        }
        Some(Node::Branch { children, .. }) => {
            let step = key.step(depth);
            let mut children = children.clone();
            if let Some(child) = children.get_mut(step) {
                *child = edit(child, depth + 1, key, client, leaf, child_of(like, step));
            }
            node::branch(children)
        }
    };
    shared(made, like)
}

enum Place {
    Leaves(Vec<Leaf>),
    Link(Link),
}

fn graft(link: &Link, depth: usize, path: &Path, place: &Place, like: &Link) -> Link {
    let Some(step) = path.steps().get(depth).map(|step| usize::from(*step)) else {
        return match place {
            Place::Leaves(leaves) => shared(build(leaves.clone(), depth), like),
            Place::Link(link) => link.clone(),
        };
    };
    let mut children: [Link; FAN] = match link.as_deref() {
        Some(Node::Branch { children, .. }) => children.clone(),
        Some(Node::Bucket { leaves, .. }) => scatter(leaves.clone(), depth).map(|l| build(l, depth + 1)),
        None => Default::default(),
    };
    if let Some(child) = children.get_mut(step) {
        *child = graft(child, depth + 1, path, place, child_of(like, step));
    }
    shared(node::branch(children), like)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Replacing subtrees gives the same shape as setting single clients, and the counts are right.
    #[test]
    fn gathers_what_was_set() {
        let mut tree = Tree::default();
        for number in 0..300u64 {
            tree.set(&format!("c{number}"), Some((number, [number as u8; 32])));
        }
        let mut all = Vec::new();
        node::gather(&tree.0, &mut all);
        assert_eq!((all.len(), tree.len()), (300, 300));
        assert!((0..300).all(|n| tree.nth(n).is_some()) && tree.nth(300).is_none());
        let mut empty = Tree::default();
        empty.adopt(&Path::ROOT, &tree);
        assert_eq!(empty.root(), tree.root());
        empty.graft(&Path::ROOT.child(3), &[], &tree);
        assert_eq!(empty.hash_at(&Path::ROOT.child(3)), NONE);
        empty.adopt(&Path::ROOT.child(3), &tree);
        assert_eq!(empty.root(), tree.root());
    }
}

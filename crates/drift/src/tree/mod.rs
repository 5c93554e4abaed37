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
pub use path::{MAX_DEPTH, Path, PathError};

use crate::report::{AppliedRules, TreeNode};
use crate::{Digest, MAX_CLIENT_NAME_BYTES};
use node::{Link, Node, build, count, distribute, hash};
use path::Key;

/// The number of children of a branch.
pub const FAN_OUT: usize = 16;

/// The maximum number of clients in a bucket.
pub const MAX_BUCKET_CLIENTS: usize = 8;

/// The digest of an empty tree.
pub const EMPTY_DIGEST: Digest = [0; 32];

/// An immutable hash tree; cloning it is cheap.
#[derive(Clone, Debug, Default)]
pub struct Tree(Link);

impl PartialEq for Tree {
    fn eq(&self, other: &Self) -> bool {
        node::same_content(&self.0, &other.0)
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
        self.0 = set_leaf(&self.0, 0, &Key::of(client), client, leaf, &like.0);
    }

    /// Returns the digest at a path, following the shape of this tree; [`EMPTY_DIGEST`] if there is no
    /// client.
    pub(crate) fn digest_at(&self, path: &Path) -> Digest {
        let mut link = &self.0;
        for (depth, step) in path.steps().iter().enumerate() {
            match link.as_deref() {
                None => return EMPTY_DIGEST,
                Some(Node::Branch { children, .. }) => match children.get(usize::from(*step)) {
                    Some(child) => link = child,
                    None => return EMPTY_DIGEST,
                },
                // The bucket lies above the path: only the clients below the path count.
                Some(Node::Bucket { leaves, .. }) => return hash(&build(leaves_below(leaves, path), depth)),
            }
        }
        hash(link)
    }

    /// Returns the node at a path, in the form in which it is sent.
    pub fn node_at(&self, path: &Path) -> TreeNode {
        let mut link = &self.0;
        for step in path.steps() {
            match link.as_deref() {
                Some(Node::Branch { children, .. }) => match children.get(usize::from(*step)) {
                    Some(child) => link = child,
                    None => return TreeNode::Bucket(Vec::new()),
                },
                Some(Node::Bucket { leaves, .. }) => {
                    return TreeNode::Bucket(to_applied(&leaves_below(leaves, path)));
                }
                None => return TreeNode::Bucket(Vec::new()),
            }
        }
        match link.as_deref() {
            None => TreeNode::Bucket(Vec::new()),
            Some(Node::Bucket { leaves, .. }) => TreeNode::Bucket(to_applied(leaves)),
            Some(Node::Branch { children, .. }) => TreeNode::Branch(children.iter().map(hash).collect()),
        }
    }

    /// Replaces all entries below `path` by the received clients.
    pub(crate) fn replace_below(&mut self, path: &Path, clients: &[AppliedRules], like: &Tree) {
        let leaf = |a: &AppliedRules| Leaf {
            client: a.client.as_str().into(),
            version: a.version,
            digest: a.digest,
        };
        let replacement = Replacement::Leaves(clients.iter().map(leaf).collect());
        self.0 = replace_below(&self.0, 0, path, &replacement, &like.0);
    }

    /// Replaces the node at `path` by the one that `from` has there.
    pub(crate) fn copy_below(&mut self, path: &Path, from: &Tree) {
        let mut link = &from.0;
        for (depth, step) in path.steps().iter().enumerate() {
            match link.as_deref() {
                Some(Node::Branch { children, .. }) => {
                    link = children.get(usize::from(*step)).unwrap_or(&None)
                }
                Some(Node::Bucket { leaves, .. }) => {
                    let replacement = Replacement::Leaves(leaves_below(leaves, path));
                    debug_assert!(depth < MAX_DEPTH);
                    self.0 = replace_below(&self.0, 0, path, &replacement, &from.0);
                    return;
                }
                None => break,
            }
        }
        self.0 = replace_below(&self.0, 0, path, &Replacement::Link(link.clone()), &from.0);
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
pub(crate) fn node_digest(node: &TreeNode, path: &Path) -> Option<Digest> {
    match node {
        TreeNode::Branch(children) if children.len() == FAN_OUT => Some(node::branch_hash(children.iter())),
        TreeNode::Branch(_) => None,
        TreeNode::Bucket(clients) => {
            let fits = |a: &AppliedRules| {
                a.client.len() <= MAX_CLIENT_NAME_BYTES && Key::of(&a.client).below(path.steps())
            };
            let rising = clients.windows(2).all(|pair| matches!(pair, [a, b] if a.client < b.client));
            (clients.len() <= MAX_BUCKET_CLIENTS && rising && clients.iter().all(fits))
                .then(|| node::bucket_hash(clients.iter().map(|a| (a.client.as_str(), a.version, &a.digest))))
        }
    }
}

fn to_applied(leaves: &[Leaf]) -> Vec<AppliedRules> {
    let to_applied = |l: &Leaf| AppliedRules {
        client: l.client.to_string(),
        version: l.version,
        digest: l.digest,
        problem: None,
        partly: None,
    };
    leaves.iter().map(to_applied).collect()
}

fn leaves_below(leaves: &[Leaf], path: &Path) -> Vec<Leaf> {
    leaves.iter().filter(|leaf| Key::of(&leaf.client).below(path.steps())).cloned().collect()
}

/// Returns the node of `like` if it is equal to `link`.
fn shared(link: Link, like: &Link) -> Link {
    if node::same_content(&link, like) { like.clone() } else { link }
}

fn child_of(like: &Link, step: usize) -> &Link {
    match like.as_deref() {
        Some(Node::Branch { children, .. }) => children.get(step).unwrap_or(&None),
        _ => &None,
    }
}

fn set_leaf(link: &Link, depth: usize, key: &Key, client: &str, leaf: Option<Leaf>, like: &Link) -> Link {
    let made = match link.as_deref() {
        None => build(leaf.into_iter().collect(), depth),
        Some(Node::Bucket { leaves, .. }) => {
            let mut leaves: Vec<Leaf> = leaves.iter().filter(|l| &*l.client != client).cloned().collect();
            if let Some(leaf) = leaf {
                let index = leaves.partition_point(|l| l.client < leaf.client);
                leaves.insert(index, leaf);
            }
            build(leaves, depth)
        }
        Some(Node::Branch { children, .. }) => {
            let step = key.step(depth);
            let mut children = children.clone();
            if let Some(child) = children.get_mut(step) {
                *child = set_leaf(child, depth + 1, key, client, leaf, child_of(like, step));
            }
            node::branch(children)
        }
    };
    shared(made, like)
}

enum Replacement {
    Leaves(Vec<Leaf>),
    Link(Link),
}

fn replace_below(link: &Link, depth: usize, path: &Path, replacement: &Replacement, like: &Link) -> Link {
    let Some(step) = path.steps().get(depth).map(|step| usize::from(*step)) else {
        return match replacement {
            Replacement::Leaves(leaves) => shared(build(leaves.clone(), depth), like),
            Replacement::Link(link) => link.clone(),
        };
    };
    let mut children: [Link; FAN_OUT] = match link.as_deref() {
        Some(Node::Branch { children, .. }) => children.clone(),
        Some(Node::Bucket { leaves, .. }) => distribute(leaves.clone(), depth).map(|l| build(l, depth + 1)),
        None => Default::default(),
    };
    if let Some(child) = children.get_mut(step) {
        *child = replace_below(child, depth + 1, path, replacement, child_of(like, step));
    }
    shared(node::branch(children), like)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Replacing subtrees gives the same shape as setting single clients, and the counts are right.
    #[test]
    fn replacing_subtrees_restores_shape_and_counts() {
        let mut tree = Tree::default();
        for number in 0..300u64 {
            tree.set(&format!("c{number}"), Some((number, [number as u8; 32])));
        }
        let mut all = Vec::new();
        node::collect_leaves(&tree.0, &mut all);
        assert_eq!((all.len(), tree.len()), (300, 300));
        assert!((0..300).all(|n| tree.nth(n).is_some()) && tree.nth(300).is_none());
        let mut empty = Tree::default();
        empty.copy_below(&Path::ROOT, &tree);
        assert_eq!(empty.root(), tree.root());
        empty.replace_below(&Path::ROOT.child(3), &[], &tree);
        assert_eq!(empty.digest_at(&Path::ROOT.child(3)), EMPTY_DIGEST);
        empty.copy_below(&Path::ROOT.child(3), &tree);
        assert_eq!(empty.root(), tree.root());
    }
}

//! Immutable tree nodes: equal trees share them, and a change copies only the path down to it.

use super::path::{Key, MAX_DEPTH};
use super::{EMPTY_DIGEST, FAN_OUT, MAX_BUCKET_CLIENTS};
use crate::Digest;
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

/// The applied rules of one client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaf {
    /// The client.
    pub client: Arc<str>,
    /// The version.
    pub version: u64,
    /// The digest of the content.
    pub digest: Digest,
}

pub(crate) type Link = Option<Arc<Node>>;

#[derive(Debug)]
pub(crate) enum Node {
    /// Up to [`MAX_BUCKET_CLIENTS`] clients, in order of name.
    Bucket { hash: Digest, leaves: Vec<Leaf> },
    /// More clients than fit into a bucket.
    Branch { hash: Digest, count: usize, children: [Link; FAN_OUT] },
}

pub(crate) fn hash(link: &Link) -> Digest {
    match link.as_deref() {
        None => EMPTY_DIGEST,
        Some(Node::Bucket { hash, .. } | Node::Branch { hash, .. }) => *hash,
    }
}

pub(crate) fn count(link: &Link) -> usize {
    match link.as_deref() {
        None => 0,
        Some(Node::Bucket { leaves, .. }) => leaves.len(),
        Some(Node::Branch { count, .. }) => *count,
    }
}

/// Returns whether two nodes have the same content: they are the same node or have the same digest.
pub(crate) fn same_content(a: &Link, b: &Link) -> bool {
    match (a, b) {
        (Some(a), Some(b)) if Arc::ptr_eq(a, b) => true,
        _ => hash(a) == hash(b),
    }
}

/// Returns the digest of a bucket; [`EMPTY_DIGEST`] without clients.
pub(crate) fn bucket_hash<'a>(leaves: impl ExactSizeIterator<Item = (&'a str, u64, &'a Digest)>) -> Digest {
    if leaves.len() == 0 {
        return EMPTY_DIGEST;
    }
    let mut hash = Sha256::new();
    hash.update(b"B");
    hash.update((leaves.len() as u64).to_be_bytes());
    for (client, version, digest) in leaves {
        hash.update((client.len() as u64).to_be_bytes());
        hash.update(client.as_bytes());
        hash.update(version.to_be_bytes());
        hash.update(digest);
    }
    hash.finalize().into()
}

/// Returns the digest of a branch over the digests of its children.
pub(crate) fn branch_hash<'a>(children: impl Iterator<Item = &'a Digest>) -> Digest {
    let mut hash = Sha256::new();
    hash.update(b"N");
    children.for_each(|child| hash.update(child));
    hash.finalize().into()
}

/// Builds a node at a depth for these clients, given in order of name. The shape depends only on the set of
/// clients and not on the order of changes, so that two trees with the same clients have the same root.
pub(crate) fn build(leaves: Vec<Leaf>, depth: usize) -> Link {
    if leaves.is_empty() {
        return None;
    }
    if leaves.len() <= MAX_BUCKET_CLIENTS || depth >= MAX_DEPTH {
        let hash = bucket_hash(leaves.iter().map(|leaf| (&*leaf.client, leaf.version, &leaf.digest)));
        return Some(Arc::new(Node::Bucket { hash, leaves }));
    }
    let children = distribute(leaves, depth).map(|below| build(below, depth + 1));
    branch(children)
}

/// Distributes clients over the children of a branch at a depth.
pub(crate) fn distribute(leaves: Vec<Leaf>, depth: usize) -> [Vec<Leaf>; FAN_OUT] {
    let mut below: [Vec<Leaf>; FAN_OUT] = Default::default();
    for leaf in leaves {
        if let Some(place) = below.get_mut(Key::of(&leaf.client).step(depth)) {
            place.push(leaf);
        }
    }
    below
}

/// Builds a branch, or a bucket if there are few enough clients.
pub(crate) fn branch(children: [Link; FAN_OUT]) -> Link {
    let count: usize = children.iter().map(count).sum();
    if count <= MAX_BUCKET_CLIENTS {
        let mut leaves = Vec::with_capacity(count);
        children.iter().for_each(|child| collect_leaves(child, &mut leaves));
        leaves.sort_by(|a, b| a.client.cmp(&b.client));
        return build(leaves, 0);
    }
    let hashes = children.each_ref().map(hash);
    Some(Arc::new(Node::Branch { hash: branch_hash(hashes.iter()), count, children }))
}

/// Collects all clients below a node.
pub(crate) fn collect_leaves(link: &Link, into: &mut Vec<Leaf>) {
    match link.as_deref() {
        None => {}
        Some(Node::Bucket { leaves, .. }) => into.extend(leaves.iter().cloned()),
        Some(Node::Branch { children, .. }) => children.iter().for_each(|child| collect_leaves(child, into)),
    }
}

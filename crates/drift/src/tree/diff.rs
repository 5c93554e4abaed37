//! Finds the differences of two trees, descending only into nodes that differ.

use super::node::{Leaf, Link, Node, build, distribute, same_content};
use super::{FAN_OUT, Tree};

/// A client for which two trees differ; a side without an entry is `None`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The entry in the first tree.
    pub left: Option<Leaf>,
    /// The entry in the second tree.
    pub right: Option<Leaf>,
}

impl Difference {
    /// Returns the name of the client.
    pub fn client(&self) -> &str {
        self.left.as_ref().or(self.right.as_ref()).map_or("", |leaf| &leaf.client)
    }
}

/// Returns the first `max` differences in key order. The cost depends on their number and the depth, not on
/// the size of the trees.
pub fn diff(left: &Tree, right: &Tree, max: usize) -> Vec<Difference> {
    let mut found = Vec::new();
    walk(&left.0, &right.0, 0, max, &mut found);
    found
}

fn walk(left: &Link, right: &Link, depth: usize, max: usize, found: &mut Vec<Difference>) {
    if found.len() >= max || same_content(left, right) {
        return;
    }
    let (a, b) = match (left.as_deref(), right.as_deref()) {
        (Some(Node::Branch { children: a, .. }), Some(Node::Branch { children: b, .. })) => {
            return a.iter().zip(b).for_each(|(a, b)| walk(a, b, depth + 1, max, found));
        }
        (Some(Node::Branch { children, .. }), other) => {
            let other = as_children(other, depth);
            return children.iter().zip(&other).for_each(|(a, b)| walk(a, b, depth + 1, max, found));
        }
        (other, Some(Node::Branch { children, .. })) => {
            let other = as_children(other, depth);
            return other.iter().zip(children).for_each(|(a, b)| walk(a, b, depth + 1, max, found));
        }
        (a, b) => (leaves(a), leaves(b)),
    };
    let mut a = a.iter().peekable();
    let mut b = b.iter().peekable();
    while found.len() < max {
        let (left, right) = match (a.peek(), b.peek()) {
            (None, None) => break,
            (Some(x), Some(y)) if x.client == y.client => (a.next(), b.next()),
            (Some(x), Some(y)) if x.client < y.client => (a.next(), None),
            (Some(_), None) => (a.next(), None),
            _ => (None, b.next()),
        };
        if left != right {
            found.push(Difference { left: left.cloned(), right: right.cloned() });
        }
    }
}

fn leaves(node: Option<&Node>) -> &[Leaf] {
    match node {
        Some(Node::Bucket { leaves, .. }) => leaves,
        _ => &[],
    }
}

/// Returns the children that a bucket would have as a branch.
fn as_children(node: Option<&Node>, depth: usize) -> [Link; FAN_OUT] {
    distribute(leaves(node).to_vec(), depth).map(|below| build(below, depth + 1))
}

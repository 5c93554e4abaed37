//! A radix tree: the cost of a lookup depends on the length of the text, not on the number of prefixes.

/// Marks a node without a value, and a prefix without a shorter one.
const NO_VALUE: u32 = u32::MAX;

/// Prefixes with their values; each value points to that of the next shorter prefix. The labels of all nodes
/// are in one vector, and so are the children, so that a step down touches few cache lines even in a large
/// tree.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trie {
    nodes: Vec<Node>,
    labels: Vec<u8>,
    /// The children of each node, in the order of the bytes that lead to them.
    children: Vec<u32>,
    /// The value of each prefix, and the index of the value of the next shorter prefix.
    values: Vec<(u32, u32)>,
}

/// The byte that leads to a node is not part of its label.
#[derive(Clone, Copy, Debug)]
struct Node {
    label: u32,
    label_len: u32,
    /// A bit set of the bytes that lead to children. The index of a child is the number of bits below its
    /// own; unlike a search, this has no branch that depends on the byte.
    child_bits: [u64; 4],
    children: u32,
    /// Index in `values`, or [`NO_VALUE`].
    value: u32,
}

impl Node {
    fn child_index(&self, byte: u8) -> Option<usize> {
        let (word, bit) = (usize::from(byte >> 6), 1u64 << (byte & 63));
        let bits = *self.child_bits.get(word)?;
        if bits & bit == 0 {
            return None;
        }
        let before: u32 = self.child_bits.iter().take(word).map(|w| w.count_ones()).sum();
        Some((self.children + before + (bits & (bit - 1)).count_ones()) as usize)
    }
}

impl Trie {
    /// Builds the tree from prefixes with values. If a prefix occurs twice, the first one counts.
    pub(crate) fn new(mut prefixes: Vec<(&[u8], u32)>) -> Self {
        prefixes.sort_by_key(|(text, _)| *text);
        prefixes.dedup_by_key(|(text, _)| *text);
        let mut trie = Trie::default();
        if !prefixes.is_empty() {
            trie.build(&prefixes, 0, NO_VALUE);
        }
        trie
    }

    /// Builds a node and the nodes below it. The depth of the recursion is bounded by the longest prefix
    /// ([`crate::limits`]).
    fn build(&mut self, prefixes: &[(&[u8], u32)], depth: usize, shorter: u32) -> u32 {
        let tail =
            |i: Option<&(&[u8], u32)>| i.and_then(|(t, _)| t.get(depth..)).unwrap_or_default().to_vec();
        let (first, last) = (tail(prefixes.first()), tail(prefixes.last()));
        let common = first.iter().zip(&last).take_while(|(a, b)| a == b).count();
        let at = self.nodes.len();
        let (label, label_len) = (self.labels.len() as u32, common as u32);
        self.labels.extend(first.iter().take(common));
        self.nodes.push(Node { label, label_len, child_bits: [0; 4], children: 0, value: NO_VALUE });
        let end = depth + common;
        let (mut value, mut rest, mut shorter) = (NO_VALUE, prefixes, shorter);
        if let Some(((text, value_of_text), more)) = prefixes.split_first()
            && text.len() == end
        {
            value = self.values.len() as u32;
            self.values.push((*value_of_text, shorter));
            (shorter, rest) = (value, more);
        }
        let (mut child_bits, mut next) = ([0u64; 4], Vec::new());
        for group in rest.chunk_by(|a, b| a.0.get(end) == b.0.get(end)) {
            let byte = group.first().and_then(|(text, _)| text.get(end));
            if let Some((byte, word)) =
                byte.and_then(|b| Some((*b, child_bits.get_mut(usize::from(b >> 6))?)))
            {
                *word |= 1 << (byte & 63);
                next.push(self.build(group, end + 1, shorter));
            }
        }
        let children = self.children.len() as u32;
        if let Some(node) = self.nodes.get_mut(at) {
            (node.child_bits, node.children, node.value) = (child_bits, children, value);
        }
        self.children.extend(next);
        at as u32
    }

    /// Returns the values of all prefixes of a text, the longest prefix first.
    pub(crate) fn prefixes(&self, text: &[u8]) -> Prefixes<'_> {
        let (mut at, mut rest, mut found) = (0u32, text, NO_VALUE);
        while let Some(node) = self.nodes.get(at as usize) {
            if node.label_len > 0 {
                let label = self.labels.get(node.label as usize..).unwrap_or_default();
                let label = label.get(..node.label_len as usize).unwrap_or_default();
                let Some(more) = rest.strip_prefix(label) else { break };
                rest = more;
            }
            if node.value != NO_VALUE {
                found = node.value;
            }
            let Some((byte, more)) = rest.split_first() else { break };
            let Some(child) = node.child_index(*byte).and_then(|index| self.children.get(index)) else {
                break;
            };
            (at, rest) = (*child, more);
        }
        Prefixes { trie: self, at: found }
    }
}

/// The iterator of [`Trie::prefixes`].
pub(crate) struct Prefixes<'a> {
    trie: &'a Trie,
    at: u32,
}

impl Iterator for Prefixes<'_> {
    type Item = u32;
    fn next(&mut self) -> Option<u32> {
        let (value, shorter) = *self.trie.values.get(self.at as usize)?;
        self.at = shorter;
        Some(value)
    }
}

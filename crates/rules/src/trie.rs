//! A prefix tree with whole runs of octets on its edges: a look-up costs by the length of the text, not by how many
//! prefixes are held.

/// No value, no node.
const NO_VALUE: u32 = u32::MAX;

/// Prefixes, each with a value; a value knows the one of the next shorter prefix. Labels and children of all nodes stand
/// in one run each: a step down then reads few lines of memory, however many nodes there are.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trie {
    nodes: Vec<Node>,
    labels: Vec<u8>,
    /// Of each node in the order of the octets that lead to them.
    children: Vec<u32>,
    values: Vec<(u32, u32)>,
}

/// The octet that leads to a node is no part of its label.
#[derive(Clone, Copy, Debug)]
struct Node {
    label: u32,
    label_len: u32,
    /// Octets that lead to children, as bits. A child's place is the number of bits below its own: unlike a search, this
    /// takes no branch that depends on the octet.
    child_bits: [u64; 4],
    children: u32,
    /// Place in `ups`, or [`NONE`].
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
    /// Of prefixes with values. Where one stands twice, the first counts.
    pub(crate) fn new(mut items: Vec<(&[u8], u32)>) -> Self {
        items.sort_by_key(|(text, _)| *text);
        items.dedup_by_key(|(text, _)| *text);
        let mut trie = Trie::default();
        if !items.is_empty() {
            trie.build(&items, 0, NO_VALUE);
        }
        trie
    }

    /// Depth of the recursion: the longest prefix, which [`crate::limits`] bounds.
    fn build(&mut self, items: &[(&[u8], u32)], skip: usize, shorter: u32) -> u32 {
        let tail = |i: Option<&(&[u8], u32)>| i.and_then(|(t, _)| t.get(skip..)).unwrap_or_default().to_vec();
        let (first, last) = (tail(items.first()), tail(items.last()));
        let common = first.iter().zip(&last).take_while(|(a, b)| a == b).count();
        let at = self.nodes.len();
        let (label, label_len) = (self.labels.len() as u32, common as u32);
        self.labels.extend(first.iter().take(common));
        self.nodes.push(Node { label, label_len, child_bits: [0; 4], children: 0, value: NO_VALUE });
        let end = skip + common;
        let (mut value, mut rest, mut shorter) = (NO_VALUE, items, shorter);
        if let Some(((text, value_of_text), more)) = items.split_first()
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
                byte.and_then(|o| Some((*o, child_bits.get_mut(usize::from(o >> 6))?)))
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

    /// Values of all prefixes of a text, the longest first.
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

/// See [`Trie::prefixes`].
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

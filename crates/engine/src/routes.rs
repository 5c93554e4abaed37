//! Maps a destination address to a destination by the longest matching route prefix, with a trie over bytes.
//! The cost depends on the length of the address and not on the number of routes. `benches/routes.rs`
//! compares it with a sorted map that is searched for each shorter prefix in turn.

/// A trie that maps prefixes to values.
#[derive(Clone, Debug)]
pub struct Trie<V> {
    nodes: Vec<Node<V>>,
}

#[derive(Clone, Debug)]
struct Node<V> {
    value: Option<V>,
    /// The next byte and its node, sorted by byte. Addresses consist of digits, so there are ten entries at
    /// most, and a scan is faster than a table.
    next: Vec<(u8, u32)>,
}

impl<V> Default for Trie<V> {
    fn default() -> Self {
        Trie { nodes: vec![Node { value: None, next: Vec::new() }] }
    }
}

impl<V: Copy> Trie<V> {
    /// Adds a prefix. It replaces the value of an equal prefix.
    pub fn insert(&mut self, prefix: &str, value: V) {
        let mut node = 0usize;
        for byte in prefix.bytes() {
            node = match self.nodes[node].next.binary_search_by_key(&byte, |n| n.0) {
                Ok(i) => self.nodes[node].next[i].1 as usize,
                Err(i) => {
                    let new = self.nodes.len();
                    self.nodes.push(Node { value: None, next: Vec::new() });
                    self.nodes[node].next.insert(i, (byte, new as u32));
                    new
                }
            };
        }
        self.nodes[node].value = Some(value);
    }

    /// Returns the value of the longest prefix of an address.
    pub fn find(&self, address: &str) -> Option<V> {
        let mut node = &self.nodes[0];
        let mut best = node.value;
        for byte in address.bytes() {
            let Some((_, next)) = node.next.iter().find(|n| n.0 == byte) else { break };
            node = &self.nodes[*next as usize];
            best = node.value.or(best);
        }
        best
    }
}

#[cfg(test)]
mod tests;

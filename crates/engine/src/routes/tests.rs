//! Tests of the route table.

use super::*;

#[test]
fn the_longest_prefix_wins() {
    let mut trie = Trie::default();
    assert_eq!(trie.find("234"), None);
    for (prefix, value) in [("234", 1), ("23480", 2), ("2348", 3), ("", 0)] {
        trie.insert(prefix, value);
    }
    for (address, value) in [("2348012", 2), ("23481", 3), ("234", 1), ("23", 0), ("", 0), ("é", 0)] {
        assert_eq!(trie.find(address), Some(value), "{address}");
    }
}

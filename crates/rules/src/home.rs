//! The assignment of clients to the senders of a process. Free of I/O.
//!
//! All sessions of a client go to one sender, its home. Receipts owed by that sender can then be sent on any
//! of the client's sessions, and senders share no state. The assignment uses rendezvous hashing: when the
//! number of senders changes, only the clients of the added or removed senders move.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the index of the home of a client among `senders` senders.
pub fn home(system_id: &str, senders: usize) -> usize {
    let weight = |sender: &usize| {
        let mut h = DefaultHasher::new();
        (system_id, sender).hash(&mut h);
        h.finish()
    };
    (0..senders.max(1)).max_by_key(weight).unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn clients_spread_evenly_and_few_move() {
        let names: Vec<String> = (0..1000).map(|i| format!("client{i}")).collect();
        let mut counts = [0; 4];
        names.iter().for_each(|n| counts[home(n, 4)] += 1);
        assert!(counts.iter().all(|c| (200..300).contains(c)), "{counts:?}");
        let moved = names.iter().filter(|n| home(n, 4) != home(n, 5)).count();
        assert!((150..250).contains(&moved), "about a fifth should move: {moved}");
    }
}

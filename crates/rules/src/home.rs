//! Which sender of a process a client belongs to. Free of I/O.
//!
//! All of a client's sessions go to one sender, its home: receipts owed by one sender can then be told on any
//! session that the client binds, and senders share nothing. Rendezvous hashing: with another number of senders
//! only the clients of those that come or go move.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The home of a client among `senders`.
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
        assert!((150..250).contains(&moved), "a fifth moves: {moved}");
    }
}

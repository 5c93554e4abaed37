//! Tests of the read budgets.

use super::*;

#[test]
fn a_flood_is_read_in_small_pieces_while_others_are_there() {
    let mut t = ReadBudgets::new(0);
    for i in 0..4_000 {
        t.count(i * 100, if i % 3 == 0 { 1 } else { 0 }, |_| 1.0);
    }
    assert_eq!((t.octets(0), t.octets(1)), (MAX_READ, MAX_READ), "twice the other's is no flood");
    let mut t = ReadBudgets::new(0);
    for i in 0..40_000 {
        let who = if i % 20 < 14 { 0 } else { 1 + (i % 20 - 14) as usize };
        t.count(i * 100, who, |_| 1.0);
    }
    assert_eq!(t.octets(0), MIN_READ, "70 % beside six with 5 % each");
    assert!((1..7).all(|c| t.octets(c) == MAX_READ));
    // The same load, with a weight that entitles the client to it.
    let mut t = ReadBudgets::new(0);
    (0..40_000).for_each(|i| {
        let who = if i % 20 < 14 { 0 } else { 1 + (i % 20 - 14) as usize };
        t.count(i * 100, who, |c| if c == 0 { 14.0 } else { 1.0 });
    });
    assert_eq!(t.limited(), 0);
    // A single client.
    let mut t = ReadBudgets::new(0);
    (0..40_000).for_each(|i| t.count(i * 100, 0, |_| 1.0));
    assert_eq!(t.limited(), 0);
}

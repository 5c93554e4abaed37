//! Tests of the read budgets.

use super::*;

#[test]
fn limits_a_flooding_client_while_others_are_active() {
    let mut budgets = ReadBudgets::new(0);
    for i in 0..4_000 {
        budgets.count(i * 100, if i % 3 == 0 { 1 } else { 0 }, |_| 1.0);
    }
    assert_eq!(
        (budgets.bytes_per_turn(0), budgets.bytes_per_turn(1)),
        (MAX_READ, MAX_READ),
        "twice the other client's traffic is no flood"
    );
    let mut budgets = ReadBudgets::new(0);
    for i in 0..40_000 {
        let client = if i % 20 < 14 { 0 } else { 1 + (i % 20 - 14) as usize };
        budgets.count(i * 100, client, |_| 1.0);
    }
    assert_eq!(budgets.bytes_per_turn(0), MIN_READ, "70 % of the traffic, next to six clients with 5 % each");
    assert!((1..7).all(|client| budgets.bytes_per_turn(client) == MAX_READ));
    // The same load, with a weight that entitles the client to it.
    let mut budgets = ReadBudgets::new(0);
    (0..40_000).for_each(|i| {
        let client = if i % 20 < 14 { 0 } else { 1 + (i % 20 - 14) as usize };
        budgets.count(i * 100, client, |client| if client == 0 { 14.0 } else { 1.0 });
    });
    assert_eq!(budgets.limited(), 0);
    // A single client.
    let mut budgets = ReadBudgets::new(0);
    (0..40_000).for_each(|i| budgets.count(i * 100, 0, |_| 1.0));
    assert_eq!(budgets.limited(), 0);
}

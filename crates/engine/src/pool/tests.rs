//! Tests of the connection pool.

use super::*;

#[test]
fn opens_and_assigns_connections_for_waiting_calls() {
    let mut pool = Pool::default();
    (0..5).for_each(|c| pool.enqueue(c));
    assert_eq!((pool.missing_connections(2), pool.assign_next(2)), (3, None));
    for conn in 10..13 {
        pool.add_connecting(conn);
    }
    assert_eq!(pool.missing_connections(2), 0, "connections being opened count");
    pool.mark_ready(10);
    pool.mark_ready(11);
    let assigned: Vec<_> = std::iter::from_fn(|| pool.assign_next(2)).collect();
    assert_eq!(assigned, [(0, 10), (1, 11), (2, 10), (3, 11)]);
    assert_eq!(pool.remove(12, 2), [4], "the call that waited for the failed connection never ran");
    pool.retire(10);
    pool.enqueue(5);
    assert_eq!(
        (pool.assign_next(2), pool.missing_connections(2)),
        (None, 1),
        "one connection is full, the other retired"
    );
    assert!(!pool.finish_call(11));
    assert_eq!(pool.assign_next(2), Some((5, 11)));
    assert!(!pool.finish_call(10));
    assert!(pool.finish_call(10), "a retired connection without calls is closed");
}

#[test]
fn a_call_that_needs_proof_goes_to_an_idle_connection_on_which_a_refusal_proves_something() {
    let mut pool = Pool::default();
    pool.add_connecting(10);
    pool.mark_ready(10);
    pool.enqueue(0);
    pool.enqueue_for_proof(1);
    assert_eq!(pool.assign_next(4), Some((1, 10)));
    assert_eq!(pool.assign_next(4), Some((0, 10)), "other calls may follow it");
    pool.enqueue_for_proof(2);
    assert_eq!((pool.assign_next(4), pool.missing_connections(4)), (None, 1), "it follows none");
    assert_eq!(pool.retire_replaceable(), None, "that connection is busy");
    pool.finish_call(10);
    pool.finish_call(10);
    pool.mark_ambiguous(10);
    assert_eq!((pool.assign_next(4), pool.missing_connections(4)), (None, 1));
    assert_eq!((pool.retire_replaceable(), pool.retire_replaceable()), (Some(10), None));
    pool.add_connecting(11);
    assert_eq!(pool.remove(11, 4), [2], "the call that waited for the failed connection never ran");
    assert!(!pool.remove_waiting(2));
}

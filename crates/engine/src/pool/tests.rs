//! Tests of the connection pool.

use super::*;

#[test]
fn connections_follow_calls() {
    let mut p = Pool::default();
    (0..5).for_each(|c| p.queue(c));
    assert_eq!((p.wanted(2), p.place(2)), (3, None));
    for conn in 10..13 {
        p.opening(conn);
    }
    assert_eq!(p.wanted(2), 0, "those on their way count");
    p.ready(10);
    p.ready(11);
    let placed: Vec<_> = std::iter::from_fn(|| p.place(2)).collect();
    assert_eq!(placed, [(0, 10), (1, 11), (2, 10), (3, 11)]);
    assert_eq!(p.gone(12, 2), [4], "what waited for a connection that failed never ran");
    p.suspect(10);
    p.queue(5);
    assert_eq!((p.place(2), p.wanted(2)), (None, 1), "full, and suspect");
    assert!(!p.finished(11));
    assert_eq!(p.place(2), Some((5, 11)));
    assert!(!p.finished(10));
    assert!(p.finished(10), "a suspect one without calls is closed");
}

//! Tests of the uptime clock.

use super::*;

#[test]
fn a_gap_counts_as_a_step_and_looks_in_time_miss_nothing() {
    let mut r = Uptime::new(200);
    let begin = r.advance(5_000);
    assert_eq!((r.advance(5_200) - begin, r.advance(5_199) - begin), (200, 200), "it never goes back");
    assert_eq!(r.advance(9_000) - begin, 400);
    for _ in 0..100 {
        r.advance(r.next_update());
    }
    assert_eq!((r.advance(0) - begin, r.next_update()), (10_400, 19_100));
    let mut least = Uptime::new(0);
    least.advance(7);
    assert!(least.next_update() > 7, "no call asks for another at once");
}

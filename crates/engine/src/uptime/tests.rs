//! Tests of the uptime clock.

use super::*;

#[test]
fn a_gap_counts_as_one_step_and_timely_updates_lose_nothing() {
    let mut uptime = Uptime::new(200);
    let start = uptime.advance(5_000);
    assert_eq!(
        (uptime.advance(5_200) - start, uptime.advance(5_199) - start),
        (200, 200),
        "it never goes backwards"
    );
    assert_eq!(uptime.advance(9_000) - start, 400);
    for _ in 0..100 {
        uptime.advance(uptime.next_update());
    }
    assert_eq!((uptime.advance(0) - start, uptime.next_update()), (10_400, 19_100));
    let mut smallest = Uptime::new(0);
    smallest.advance(7);
    assert!(smallest.next_update() > 7, "an update never makes another one due at once");
}

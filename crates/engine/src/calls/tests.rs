//! Tests of the calls.

use super::*;

#[test]
fn only_what_never_left_is_proved_unsent() {
    for end in [End::TimedOut, End::Closed, End::Cancelled] {
        assert!(outcome_of(end, false).never_ran());
        assert!(!outcome_of(end, true).never_ran());
    }
}

#[test]
fn parts_end_once_and_the_call_with_the_last() {
    let mut c = Calls::default();
    let id = c.begin(0, EndpointId(1));
    c.add(id, MsgId(1), 0, 0, Micros::MAX);
    c.add(id, MsgId(2), 0, 0, Micros::MAX);
    c.written(id, 9, &[(0, 10), (10, 30)]);
    assert!(matches!(c.close(id, 0), Some((_, false))));
    assert!(c.close(id, 0).is_none());
    c.shift(9, 0, 10);
    assert!(matches!(c.close(id, 1), Some((Part { range: (0, 20), .. }, true))));
    assert!(c.is_empty() && c.of(9).is_empty());
}

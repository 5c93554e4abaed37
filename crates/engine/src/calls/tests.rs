//! Tests of the calls.

use super::*;

#[test]
fn only_unsent_attempts_are_known_not_to_have_run() {
    for end in [CallEnd::TimedOut, CallEnd::Closed, CallEnd::Cancelled] {
        assert!(outcome_without_answer(end, false).never_ran());
        assert!(!outcome_without_answer(end, true).never_ran());
    }
}

#[test]
fn each_part_closes_once_and_the_call_ends_with_the_last() {
    let mut calls = Calls::default();
    let id = calls.create(0, EndpointId(1));
    calls.add_part(id, MsgId(1), 0, 0, Micros::MAX);
    calls.add_part(id, MsgId(2), 0, 0, Micros::MAX);
    calls.record_written(id, 9, &[(0, 10), (10, 30)]);
    assert!(matches!(calls.close_part(id, 0), Some((_, false))));
    assert!(calls.close_part(id, 0).is_none());
    calls.shift_ranges(9, 0, 10);
    assert!(matches!(calls.close_part(id, 1), Some((CallPart { range: (0, 20), .. }, true))));
    assert!(calls.is_empty() && calls.on_connection(9).is_empty());
}

//! Tests of the record of attempts.

use super::*;

const MESSAGE: MsgId = MsgId(7);

#[test]
fn an_attempt_is_over_once_its_call_is_answered_taken_back_or_its_connection_closed() {
    let mut attempts = OpenAttempts::default();
    assert_eq!(attempts.permission(MESSAGE, true), StartPermission::Granted);
    attempts.started(MESSAGE, 1);
    assert_eq!(attempts.permission(MESSAGE, false), StartPermission::Waiting);
    attempts.withdrawn(MESSAGE, 1);
    assert_eq!(attempts.permission(MESSAGE, true), StartPermission::Granted);
    attempts.started(MESSAGE, 2);
    attempts.written(MESSAGE, 2, 20);
    assert_eq!(attempts.permission(MESSAGE, false), StartPermission::OutOn(20));
    assert_eq!(attempts.permission(MESSAGE, true), StartPermission::MayHaveRun);
    attempts.answered(MESSAGE, 2, Proof::NeverRan);
    assert_eq!(attempts.permission(MESSAGE, true), StartPermission::Granted);
    attempts.written(MESSAGE, 3, 30);
    attempts.connection_closed(20);
    assert_eq!(attempts.permission(MESSAGE, false), StartPermission::OutOn(30));
    attempts.connection_closed(30);
    assert_eq!(attempts.permission(MESSAGE, false), StartPermission::Granted);
    assert_eq!(attempts.permission(MESSAGE, true), StartPermission::MayHaveRun);
    attempts.message_ended(MESSAGE);
    assert!(attempts.is_empty() && attempts.by_connection.is_empty());
}

#[test]
fn an_answer_that_leaves_open_whether_a_message_ran_forbids_a_second_run() {
    let mut attempts = OpenAttempts::default();
    attempts.written(MESSAGE, 1, 10);
    attempts.answered(MESSAGE, 2, Proof::MayHaveRun);
    assert_eq!(attempts.permission(MESSAGE, false), StartPermission::OutOn(10), "the answer to another call");
    attempts.answered(MESSAGE, 1, Proof::MayHaveRun);
    assert_eq!(attempts.permission(MESSAGE, false), StartPermission::Granted);
    assert_eq!(attempts.permission(MESSAGE, true), StartPermission::MayHaveRun);
}

#[test]
fn a_message_that_ended_leaves_no_record_on_its_connection() {
    let mut attempts = OpenAttempts::default();
    attempts.written(MESSAGE, 1, 10);
    attempts.written(MsgId(8), 2, 10);
    attempts.message_ended(MESSAGE);
    assert_eq!((attempts.len(), attempts.by_connection[&10].as_slice()), (1, [MsgId(8)].as_slice()));
    attempts.connection_closed(10);
    assert!(attempts.by_connection.is_empty());
    assert_eq!(attempts.permission(MsgId(8), true), StartPermission::MayHaveRun);
}

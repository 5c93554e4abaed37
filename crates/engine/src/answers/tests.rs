//! Tests of the final answers.

use super::*;

#[test]
fn a_message_that_may_have_run_gets_an_unknown_state() {
    for end in [MessageEnd::Refused(5), MessageEnd::Failed, MessageEnd::Leaving, MessageEnd::Withdrawn] {
        for time_up in [false, true] {
            assert!(matches!(answer(end, true, time_up), Answer::Unknown { .. }));
            assert!(!matches!(answer(end, false, time_up), Answer::Unknown { .. } | Answer::Delivered));
        }
    }
    assert_eq!(answer(MessageEnd::Refused(5), false, true), Answer::Expired);
    assert_eq!(answer(MessageEnd::Refused(5), false, false), Answer::Rejected { retry_after: 5 });
}

//! Tests of the final answers.

use super::*;

#[test]
fn what_may_have_run_is_never_called_unsent() {
    for end in [End::Refused(5), End::Failed, End::Leaving, End::Withdrawn] {
        for late in [false, true] {
            assert!(matches!(answer(end, true, late), Answer::Unknown { .. }));
            assert!(!matches!(answer(end, false, late), Answer::Unknown { .. } | Answer::Delivered));
        }
    }
    assert_eq!(answer(End::Refused(5), false, true), Answer::Expired);
    assert_eq!(answer(End::Refused(5), false, false), Answer::Rejected { retry_after: 5 });
}

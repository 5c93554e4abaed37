//! What a trail says of the attempts that may have taken effect.

use heronroute_held::{KnownOutcome, Trail, What};

/// The most steps of the trails here.
const MAX_STEPS: usize = 64;

fn trail(steps: &[(i64, What)]) -> Trail {
    let mut trail = Trail::new(1_000, 0);
    steps.iter().for_each(|(at, what)| trail.add(*at, *what, MAX_STEPS));
    trail
}

/// Guards against a window that counts from a later attempt: a message that ended while its attempt was out has no end of
/// that attempt, and is handed in again.
#[test]
fn an_attempt_without_an_end_counts_before_later_ones() {
    let steps = [
        (1_100, What::Began(1)),
        (1_500, What::Answered(2)),
        (1_900, What::Resubmitted(3)),
        (2_000, What::Began(1)),
        (2_100, What::Ended(KnownOutcome::Written)),
    ];
    assert_eq!(trail(&steps).may_have_run(), Some(1_100));
    assert_eq!(trail(&steps[..4]).may_have_run(), Some(1_100), "nor has the second one an end");
    let mut refused = steps;
    refused[4].1 = What::Ended(KnownOutcome::Refused);
    assert_eq!(
        trail(&refused).may_have_run(),
        Some(1_100),
        "the second one had no effect, the first one may have"
    );
}

#[test]
fn attempts_that_had_no_effect_do_not_count() {
    let steps = [
        (1_100, What::Began(1)),
        (1_200, What::Ended(KnownOutcome::Refused)),
        (1_300, What::Began(1)),
        (1_400, What::Ended(KnownOutcome::Lost)),
    ];
    assert_eq!(trail(&steps[..2]).may_have_run(), None);
    assert_eq!(trail(&steps).may_have_run(), Some(1_300));
    assert!(trail(&steps).has_attempt_at(1_100) && !trail(&steps).has_attempt_at(1_200));
}

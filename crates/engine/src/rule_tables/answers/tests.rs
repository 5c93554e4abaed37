//! Tests of the retained answers.

use super::*;

#[test]
fn answers_are_retained_by_age_and_number_for_each_client() {
    let mut answers = RetainedAnswers::new(2);
    let kept = |client, until| RetainedAnswer {
        client,
        answer: Answer::Delivered,
        source: String::new(),
        destination: String::new(),
        accepted_at: 0,
        ended_at: 0,
        retain_until: until,
        owed_to: None,
    };
    answers.insert(0, 1, kept(0, 10));
    answers.insert(0, 2, kept(0, 30));
    answers.insert(0, 9, kept(1, 5));
    answers.insert(0, 3, kept(0, 20));
    assert!(answers.get(0, 1).is_none(), "the one of this client that expires first is dropped");
    assert!(answers.get(0, 2).is_some() && answers.get(0, 3).is_some() && answers.get(5, 9).is_some());
    assert!(answers.get(6, 9).is_none() && answers.get(21, 3).is_none(), "its time is up");
    answers.expire(21);
    assert_eq!((answers.by_id.len(), answers.expiries.len()), (1, 1));
}

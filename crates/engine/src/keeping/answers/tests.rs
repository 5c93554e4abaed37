//! Tests of the kept answers.

use super::*;

#[test]
fn answers_are_kept_by_age_and_number_for_each_client() {
    let mut a = Answers::new(2);
    let kept = |client, until| Kept {
        client,
        answer: Answer::Delivered,
        source: String::new(),
        destination: String::new(),
        taken: 0,
        done: 0,
        until,
        owed: None,
    };
    a.keep(0, 1, kept(0, 10));
    a.keep(0, 2, kept(0, 30));
    a.keep(0, 9, kept(1, 5));
    a.keep(0, 3, kept(0, 20));
    assert!(a.get(0, 1).is_none(), "the one that goes first, of this client");
    assert!(a.get(0, 2).is_some() && a.get(0, 3).is_some() && a.get(5, 9).is_some());
    assert!(a.get(6, 9).is_none() && a.get(21, 3).is_none(), "its time is over");
    a.expire(21);
    assert_eq!((a.by_id.len(), a.ends.len()), (1, 1));
}

use super::*;

#[test]
fn answers_differ_after_enough_different_ones_in_a_row() {
    let mut variety = AnswerVariety::default();
    assert!(!variety.answers_differ());
    (0..15).for_each(|digest| variety.record(digest));
    assert!(!variety.answers_differ());
    variety.record(15);
    assert!(variety.answers_differ());
}

#[test]
fn one_answer_that_comes_again_ends_it() {
    let mut variety = AnswerVariety::default();
    (0..16).for_each(|digest| variety.record(digest));
    variety.record(15);
    assert!(!variety.answers_differ());
    (16..30).for_each(|digest| variety.record(digest));
    assert!(!variety.answers_differ(), "15 different ones in a row");
    variety.record(30);
    assert!(variety.answers_differ());
}

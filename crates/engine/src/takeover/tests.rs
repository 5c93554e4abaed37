//! Tests of what is known of a message that is taken over.

use super::*;
use heronroute_journal::entry::{Accepted, Answer};

#[test]
fn attempts_missing_from_the_copy_may_have_run() {
    let at = |at| Intent { id: 1, endpoint: "e".into(), at };
    let open = |both, out: Option<Intent>| Open {
        accepted: Accepted { id: 1, taken: 500, both, ..Accepted::default() },
        attempts: u32::from(out.is_some()),
        may_run: None,
        out,
        answer: None,
    };
    let ran =
        |both, out: Option<i64>, effect| as_taken_over(open(both, out.map(at)), effect).may_run.map(|i| i.at);
    for effect in [Some(Effect::Guarded), Some(Effect::SingleShot), None] {
        assert_eq!(ran(false, None, effect), Some(500), "the copy may lack an attempt");
        assert_eq!(ran(false, Some(700), effect), Some(500), "the copy may lack an earlier attempt");
        assert_eq!((ran(true, None, effect), ran(true, Some(700), effect)), (None, Some(700)));
    }
    assert_eq!(
        (ran(false, None, Some(Effect::Free)), ran(false, Some(7), Some(Effect::Free))),
        (None, Some(7))
    );
    let answered = Open { answer: Some(Answer::default()), ..open(false, None) };
    assert_eq!(as_taken_over(answered, None).may_run, None, "it is answered already");
}

//! Tests of the heir's decisions.

use super::*;
use heronroute_journal::entry::{Accepted, Answer};

#[test]
fn what_the_copy_may_lack_may_have_run() {
    let at = |at| Intent { id: 1, endpoint: "e".into(), at };
    let open = |both, out: Option<Intent>| Open {
        accepted: Accepted { id: 1, taken: 500, both, ..Accepted::default() },
        attempts: u32::from(out.is_some()),
        may_run: None,
        out,
        answer: None,
    };
    let ran = |both, out: Option<i64>, effect| heir(open(both, out.map(at)), effect).may_run.map(|i| i.at);
    for effect in [Some(Effect::Guarded), Some(Effect::SingleShot), None] {
        assert_eq!(ran(false, None, effect), Some(500), "an attempt may be lacking");
        assert_eq!(ran(false, Some(700), effect), Some(500), "an earlier one too");
        assert_eq!((ran(true, None, effect), ran(true, Some(700), effect)), (None, Some(700)));
    }
    assert_eq!(
        (ran(false, None, Some(Effect::Free)), ran(false, Some(7), Some(Effect::Free))),
        (None, Some(7))
    );
    let answered = Open { answer: Some(Answer::default()), ..open(false, None) };
    assert_eq!(heir(answered, None).may_run, None, "its answer stands");
}

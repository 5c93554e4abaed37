//! Tests of the restart decisions.

use super::*;
use heronroute_journal::entry::Accepted;

#[test]
fn each_class_by_what_may_have_run() {
    let intent = Intent { id: 1, endpoint: "e".into(), at: 1_000 };
    let accepted = Accepted { id: 1, deadline: 10_000, ..Accepted::default() };
    let never = Open { accepted, attempts: 0, may_run: None, out: None, answer: None };
    let flying = Open { out: Some(intent.clone()), attempts: 1, ..never.clone() };
    let over = |may_run| Resume::Over { may_run };
    for effect in [Effect::Free, Effect::Guarded, Effect::SingleShot] {
        let at = |o: &Open, now| resume(o, Some((effect, 500)), now);
        assert_eq!(at(&never, 2_000), Resume::GoesOn(None));
        assert_eq!(at(&never, 10_000), over(false), "its time is up");
        assert_eq!(at(&flying, 10_000), over(true));
        let wanted = match effect {
            Effect::SingleShot => [over(true), over(true)],
            Effect::Guarded => [Resume::GoesOn(Some(intent.clone())), over(true)],
            Effect::Free => [Resume::GoesOn(Some(intent.clone())), Resume::GoesOn(Some(intent.clone()))],
        };
        assert_eq!([at(&flying, 1_400), at(&flying, 1_500)], wanted, "{effect:?}");
    }
    assert_eq!(resume(&flying, None, 0), over(true), "a class that is gone");
}

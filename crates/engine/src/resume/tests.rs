//! Tests of the decisions after a restart.

use super::*;
use heronroute_journal::entry::Accepted;

#[test]
fn each_effect_is_decided_by_what_may_have_run() {
    let intent = Intent { id: 1, endpoint: "e".into(), at: 1_000 };
    let accepted = Accepted { id: 1, deadline: 10_000, ..Accepted::default() };
    let not_sent = Open { accepted, attempts: 0, may_run: None, out: None, answer: None };
    let in_flight = Open { out: Some(intent.clone()), attempts: 1, ..not_sent.clone() };
    let over = |may_run| Resume::Fail { may_run };
    for effect in [Effect::Free, Effect::Guarded, Effect::SingleShot] {
        let at = |o: &Open, now| resume(o, Some((effect, 500)), now);
        assert_eq!(at(&not_sent, 2_000), Resume::Continue(None));
        assert_eq!(at(&not_sent, 10_000), over(false), "its deadline has passed");
        assert_eq!(at(&in_flight, 10_000), over(true));
        let wanted = match effect {
            Effect::SingleShot => [over(true), over(true)],
            Effect::Guarded => [Resume::Continue(Some(intent.clone())), over(true)],
            Effect::Free => [Resume::Continue(Some(intent.clone())), Resume::Continue(Some(intent.clone()))],
        };
        assert_eq!([at(&in_flight, 1_400), at(&in_flight, 1_500)], wanted, "{effect:?}");
    }
    assert_eq!(resume(&in_flight, None, 0), over(true), "its class is unknown");
}

//! Tests of the outbox.

use super::*;
use heronroute_smpp::receipt::Answer;

fn receipt(id: usize) -> Receipt {
    Receipt {
        id: id.to_string(),
        answer: Answer::Delivered,
        taken: 0,
        done: 0,
        source: String::new(),
        destination: String::new(),
    }
}

fn owe(o: &mut Outbox, id: usize) {
    o.push(receipt(id), ReplyAddress::default());
}

#[test]
fn unacknowledged_answers_are_owed_again_in_order() {
    let mut o = Outbox::default();
    (0..4).for_each(|i| owe(&mut o, i));
    assert_eq!(o.next_session(0), None, "no session to send to");
    o.add_session(7);
    for n in 1..=3 {
        assert_eq!(o.next_session(0), Some(7));
        let r = o.pop().unwrap();
        o.sent(7, n, r);
    }
    assert!(o.acknowledge(0, 7, 2, true, 100).is_some());
    assert!(o.acknowledge(0, 7, 2, true, 100).is_none(), "only once");
    o.remove_session(7);
    let rest: Vec<(String, Option<u32>)> =
        std::iter::from_fn(|| o.pop()).map(|r| (r.receipt.id, r.before)).collect();
    assert_eq!(rest, [("0".into(), Some(1)), ("2".into(), Some(3)), ("3".into(), None)]);
}

#[test]
fn answers_without_a_subscription_are_set_aside_until_one_may_exist() {
    let mut o = Outbox::default();
    (0..3).for_each(|i| owe(&mut o, i));
    o.add_session(1);
    let first = o.pop().unwrap();
    o.set_aside(first);
    let second = o.pop().unwrap();
    o.set_aside(second);
    assert_eq!((o.owed(), o.is_idle()), (3, false));
    _ = o.pop();
    assert_eq!((o.next_session(0), o.is_idle()), (None, true), "only what is set aside is left");
    o.requeue_set_aside();
    assert_eq!(o.pop().map(|r| r.receipt.id), Some("0".into()));
}

#[test]
fn a_refused_receipt_is_sent_again_after_a_pause() {
    let mut o = Outbox::default();
    owe(&mut o, 0);
    o.add_session(1);
    let r = o.pop().unwrap();
    o.sent(1, 1, r);
    assert!(o.acknowledge(50, 1, 1, false, 100).is_none());
    assert_eq!((o.next_session(149), o.wake(), o.next_session(150)), (None, Some(150), Some(1)));
}

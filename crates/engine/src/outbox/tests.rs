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
    o.owe(receipt(id), Reply::default());
}

#[test]
fn what_a_session_did_not_take_is_owed_again_in_order() {
    let mut o = Outbox::default();
    (0..4).for_each(|i| owe(&mut o, i));
    assert_eq!(o.turn(0), None, "nobody to tell");
    o.join(7);
    for n in 1..=3 {
        assert_eq!(o.turn(0), Some(7));
        let r = o.take().unwrap();
        o.went(7, n, r);
    }
    assert!(o.answered(0, 7, 2, true, 100).is_some());
    assert!(o.answered(0, 7, 2, true, 100).is_none(), "only once");
    o.leave(7);
    let rest: Vec<(String, Option<u32>)> =
        std::iter::from_fn(|| o.take()).map(|r| (r.receipt.id, r.before)).collect();
    assert_eq!(rest, [("0".into(), Some(1)), ("2".into(), Some(3)), ("3".into(), None)]);
}

#[test]
fn what_nobody_asked_for_stands_back_until_somebody_may() {
    let mut o = Outbox::default();
    (0..3).for_each(|i| owe(&mut o, i));
    o.join(1);
    let first = o.take().unwrap();
    o.set_aside(first);
    let second = o.take().unwrap();
    o.set_aside(second);
    assert_eq!((o.owed(), o.rests()), (3, false));
    _ = o.take();
    assert_eq!((o.turn(0), o.rests()), (None, true), "only what is set aside is left");
    o.ask_again();
    assert_eq!(o.take().map(|r| r.receipt.id), Some("0".into()));
}

#[test]
fn a_refused_receipt_waits() {
    let mut o = Outbox::default();
    owe(&mut o, 0);
    o.join(1);
    let r = o.take().unwrap();
    o.went(1, 1, r);
    assert!(o.answered(50, 1, 1, false, 100).is_none());
    assert_eq!((o.turn(149), o.wake(), o.turn(150)), (None, Some(150), Some(1)));
}

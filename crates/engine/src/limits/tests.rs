//! Tests of the admission limits.

use super::*;

#[test]
fn rate_burst_and_room() {
    let part = |rate, burst| Part { rate, burst, weight: 1.0 };
    let mut l = Limits::new(0, &[part(10.0, 5.0), part(f64::INFINITY, 1.0)], &[], 100, 50);
    let held = |open, of_client| Held { open, of_client, worth: 1.0, ..Held::default() };
    let s = &mut false;
    let none = held(0, 0);
    let taken = (0..20).filter(|_| l.admit(0, 0, none, s).is_ok()).count();
    assert_eq!(taken, 5, "the burst");
    assert_eq!(l.admit(0, 0, none, s), Err(Refusal::Rate));
    assert_eq!(l.admit(0, 1, none, s), Ok(()), "another client is untouched");
    let taken = (0..1000).filter(|i| l.admit(i * 10_000, 0, none, s).is_ok()).count();
    assert!((98..=105).contains(&taken), "ten a second for ten seconds: {taken}");
    assert_eq!(l.admit(0, 1, held(100, 0), s), Err(Refusal::Room));
    assert_eq!(l.admit(0, 1, held(0, 50), s), Err(Refusal::Room));
    assert_eq!(l.admit(0, 1, held(80, 45), s), Err(Refusal::Share), "20 are free, it may hold 40");
    assert_eq!(l.admit(0, 0, held(80, 10), s).err(), Some(Refusal::Rate), "another is within its part");
    l.leave();
    assert_eq!(l.admit(0, 1, none, s), Err(Refusal::Leaving));
}

#[test]
fn fronts_and_connections_share_too() {
    let part = Part { rate: f64::INFINITY, burst: 1.0, weight: 1.0 };
    let mut l = Limits::new(0, &[part, part, part], &[1.0, 1.0], 300, 300);
    let by = |front, open, of_front| Held {
        open,
        of_client: 10,
        worth: 1.0,
        front: Some((front, of_front)),
        ..Held::default()
    };
    assert_eq!(l.admit(0, 0, by(1, 200, 199), &mut false), Ok(()));
    assert_eq!(l.admit(0, 1, by(1, 201, 200), &mut false), Err(Refusal::Share), "one front has two thirds");
    assert_eq!(l.admit(0, 1, by(1, 201, 170), &mut false), Err(Refusal::Share), "it has to fall well below");
    assert_eq!(l.admit(0, 1, by(0, 201, 2), &mut false), Ok(()), "the other has room");
    assert_eq!(l.admit(0, 1, by(1, 201, 150), &mut false), Ok(()));
    let among = |of_session, of_client| Held {
        open: 150,
        of_client,
        worth: 1.0,
        of_session,
        sessions: 2,
        ..Held::default()
    };
    let shedding = &mut false;
    assert_eq!(l.admit(0, 0, among(150, 150), shedding), Ok(()));
    assert_eq!(l.admit(0, 0, among(240, 240), shedding), Err(Refusal::Share), "one connection has its part");
    assert!(*shedding);
    assert_eq!(l.admit(0, 0, among(0, 240), &mut false), Ok(()), "the other is let in");
}

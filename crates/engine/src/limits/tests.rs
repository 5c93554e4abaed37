//! Tests of the admission limits.

use super::*;

#[test]
fn enforces_rate_burst_and_room() {
    let part = |rate, burst| ClientLimits { rate, burst, weight: 1.0 };
    let mut limits = Limits::new(0, &[part(10.0, 5.0), part(f64::INFINITY, 1.0)], &[], 100, 50);
    let usage = |open, of_client| Usage { open, of_client, worth: 1.0, ..Usage::default() };
    let shedding = &mut false;
    let empty = usage(0, 0);
    let accepted = (0..20).filter(|_| limits.admit(0, 0, empty, shedding).is_ok()).count();
    assert_eq!(accepted, 5, "the burst");
    assert_eq!(limits.admit(0, 0, empty, shedding), Err(Refusal::Rate));
    assert_eq!(limits.admit(0, 1, empty, shedding), Ok(()), "another client is not limited");
    let accepted = (0..1000).filter(|i| limits.admit(i * 10_000, 0, empty, shedding).is_ok()).count();
    assert!((98..=105).contains(&accepted), "ten a second for ten seconds: {accepted}");
    assert_eq!(limits.admit(0, 1, usage(100, 0), shedding), Err(Refusal::Room));
    assert_eq!(limits.admit(0, 1, usage(0, 50), shedding), Err(Refusal::Room));
    assert_eq!(
        limits.admit(0, 1, usage(80, 45), shedding),
        Err(Refusal::Share),
        "with 20 free it may hold 40"
    );
    assert_eq!(
        limits.admit(0, 0, usage(80, 10), shedding).err(),
        Some(Refusal::Rate),
        "another client is within its share"
    );
    limits.leave();
    assert_eq!(limits.admit(0, 1, empty, shedding), Err(Refusal::Leaving));
}

#[test]
fn fronts_and_connections_share_the_room() {
    let part = ClientLimits { rate: f64::INFINITY, burst: 1.0, weight: 1.0 };
    let mut limits = Limits::new(0, &[part, part, part], &[1.0, 1.0], 300, 300);
    let on_front = |front, open, of_front| Usage {
        open,
        of_client: 10,
        worth: 1.0,
        front: Some((front, of_front)),
        ..Usage::default()
    };
    assert_eq!(limits.admit(0, 0, on_front(1, 200, 199), &mut false), Ok(()));
    assert_eq!(
        limits.admit(0, 1, on_front(1, 201, 200), &mut false),
        Err(Refusal::Share),
        "one front holds two thirds"
    );
    assert_eq!(
        limits.admit(0, 1, on_front(1, 201, 170), &mut false),
        Err(Refusal::Share),
        "its usage must first fall well below"
    );
    assert_eq!(limits.admit(0, 1, on_front(0, 201, 2), &mut false), Ok(()), "the other front has room");
    assert_eq!(limits.admit(0, 1, on_front(1, 201, 150), &mut false), Ok(()));
    let on_session = |of_session, of_client| Usage {
        open: 150,
        of_client,
        worth: 1.0,
        of_session,
        sessions: 2,
        ..Usage::default()
    };
    let shedding = &mut false;
    assert_eq!(limits.admit(0, 0, on_session(150, 150), shedding), Ok(()));
    assert_eq!(
        limits.admit(0, 0, on_session(240, 240), shedding),
        Err(Refusal::Share),
        "one connection exceeds its share"
    );
    assert!(*shedding);
    assert_eq!(
        limits.admit(0, 0, on_session(0, 240), &mut false),
        Ok(()),
        "the other connection is admitted"
    );
}

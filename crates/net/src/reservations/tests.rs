use super::*;

#[test]
fn requests_are_granted_in_order_within_the_budget() {
    let mut reservations = Reservations::new(100);
    [(1, 60), (2, 60), (3, 10)].into_iter().for_each(|(token, bytes)| reservations.request(token, bytes));
    assert_eq!(reservations.grant_next(0), Some((1, 60)));
    assert_eq!(reservations.grant_next(0), None, "the third does not pass the second");
    assert_eq!(reservations.reserved, 60);
    reservations.release(1);
    assert_eq!(reservations.grant_next(1), Some((2, 60)));
    assert_eq!(reservations.grant_next(1), Some((3, 10)));
    [2, 3, 3, 9].into_iter().for_each(|token| reservations.release(token));
    assert_eq!((reservations.reserved, reservations.next_timeout()), (0, None));
}

#[test]
fn a_turn_ends_only_while_others_wait() {
    let mut reservations = Reservations::new(100);
    reservations.request(1, 100);
    reservations.grant_next(0);
    assert_eq!(reservations.overdue(1 << 40), None);
    reservations.request(2, 1);
    assert_eq!((reservations.overdue(TURN - 1), reservations.overdue(TURN)), (None, Some(1)));
    reservations.release(2);
    assert_eq!(reservations.overdue(TURN), None);
}

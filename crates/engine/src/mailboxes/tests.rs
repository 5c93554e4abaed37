//! Tests of the mailboxes.

use super::*;

fn kept(began: Micros) -> NamedSession {
    NamedSession { began, expiry: 10, notes: Vec::new(), recent: RecentRequests::new(4) }
}

#[test]
fn sessions_are_attached_detached_and_ended() {
    let mut m = Mailboxes::default();
    let (a, b) = (m.open(0, "a"), m.open(1, "a"));
    assert_ne!(a, b, "each client has names of its own");
    assert!(!m.attach(a, 1, Some(kept(1))) && !m.attach(b, 2, Some(kept(2))));
    m.detach(b, 20);
    m.detach(a, 30);
    assert_eq!((m.sessions(), m.oldest_detached()), (2, Some(b)));
    assert!(m.attach(b, 3, None), "the earlier session is resumed");
    assert_eq!(m.oldest_detached(), Some(a));
    assert!(!m.remove_if_unused(a), "it holds a session");
    m.end_session(a);
    assert!(m.remove_if_unused(a));
    assert_eq!((m.sessions(), m.oldest_detached(), m.find(0, "a")), (1, None, None));
}

//! Tests that notices are pending until they are acknowledged, and reach the platform in time whatever
//! happens to their connection.

use bytes::BytesMut;
use heronroute::Micros;
use heronroute_platform::notice::{NoticeAction, Notices, UndeliveredEnd};
use std::net::SocketAddr;

/// The time in which the end of a message must be reported after its deadline, in microseconds.
const MAX_REPORT_DELAY: Micros = 300_000;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn a_notice_is_pending_until_acknowledged_across_a_broken_connection_and_a_new_address() {
    let (mut notices, mut out) = (Notices::new(at(1)), BytesMut::new());
    assert_eq!(notices.wake(), Micros::MAX, "no notice is pending");
    notices.add(1, "a", UndeliveredEnd::Failed);
    notices.add(2, "b", UndeliveredEnd::Returned(1_500));
    assert_eq!(notices.tick(0, &mut out), NoticeAction::Connect(at(1)));
    notices.connected(5, &mut out);
    let text = String::from_utf8_lossy(&out).into_owned();
    assert!(text.starts_with("POST /v1/outcomes HTTP/1.1\r\n"));
    assert!(text.contains("{\"id\":\"a\",\"state\":\"failed\"}\n"));
    assert!(text.contains("\"after_ms\":2") && text.contains("\"state\":\"returned\""));
    out.clear();
    notices.moved(10, at(2));
    assert_eq!(
        (notices.pending_count(), notices.tick(10, &mut out)),
        (2, NoticeAction::Connect(at(2))),
        "they are sent again to the new address"
    );
    notices.connected(11, &mut out);
    assert!(out.len() > text.len() - 8);
    notices.add(3, "c", UndeliveredEnd::Failed);
    out.clear();
    let acknowledged = notices.receive(12, b"HTTP/1.1 204 No Content\r\n\r\n", &out).unwrap();
    assert_eq!((acknowledged, notices.pending_count()), (vec![1, 2], 1));
    assert!(notices.is_disconnected() && out.is_empty(), "each request has a connection of its own");
    let next = notices.wake();
    assert_eq!(notices.tick(next, &mut out), NoticeAction::Connect(at(2)));
    notices.connected(next, &mut out);
    assert!(!out.is_empty());
    let unanswered = notices.wake();
    assert_eq!(notices.tick(unanswered, &mut out), NoticeAction::Drop, "the answer timed out");
    let again = notices.wake();
    assert!(again > unanswered);
    assert_eq!(notices.tick(again, &mut out), NoticeAction::Connect(at(2)));
    notices.connected(again, &mut out);
    assert!(notices.receive(again, b"HTTP/1.1 400 Bad\r\ncontent-length: 0\r\n\r\n", &out).is_err());
    assert_eq!(notices.pending_count(), 1);
}

/// The failure of an attempt to send a notice.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// The connection is never established.
    NeverConnected,
    /// The connection is refused.
    Refused,
    /// The connection is established, but no answer arrives.
    Unanswered,
    /// The connection breaks after the notice was written.
    ConnectionLost,
    /// The answer is not one that the protocol allows.
    InvalidAnswer,
}

const FAILURES: [Failure; 5] = [
    Failure::NeverConnected,
    Failure::Refused,
    Failure::Unanswered,
    Failure::ConnectionLost,
    Failure::InvalidAnswer,
];

/// Simulates a failing attempt that begins now, and advances `now` to the time of the next attempt.
fn failing_attempt(notices: &mut Notices<u32>, now: &mut Micros, failure: Failure) {
    let mut out = BytesMut::new();
    assert_eq!(notices.tick(*now, &mut out), NoticeAction::Connect(at(1)));
    if !matches!(failure, Failure::NeverConnected | Failure::Refused) {
        notices.connected(*now, &mut out);
        assert!(!out.is_empty(), "the notice is written at once");
    }
    match failure {
        Failure::Refused | Failure::ConnectionLost => notices.ended(*now),
        Failure::InvalidAnswer => {
            assert!(notices.receive(*now, b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n", &out).is_err());
            notices.ended(*now);
        }
        Failure::NeverConnected | Failure::Unanswered => {
            *now = notices.wake();
            assert_eq!(notices.tick(*now, &mut out), NoticeAction::Drop);
        }
    }
    assert_eq!(notices.pending_count(), 1, "the notice is still pending");
    *now = notices.wake();
}

#[test]
fn a_notice_is_sent_in_time_even_if_any_two_attempts_fail() {
    for first in FAILURES {
        for second in FAILURES {
            let (mut notices, mut now, mut out) = (Notices::new(at(1)), 0, BytesMut::new());
            notices.add(1, "a", UndeliveredEnd::Failed);
            failing_attempt(&mut notices, &mut now, first);
            failing_attempt(&mut notices, &mut now, second);
            assert_eq!(notices.tick(now, &mut out), NoticeAction::Connect(at(1)));
            notices.connected(now, &mut out);
            assert!(now < MAX_REPORT_DELAY, "{first:?}, then {second:?}: sent after {now} us");
            out.clear();
            assert_eq!(notices.receive(now, ACKNOWLEDGED, &out).unwrap(), [1]);
        }
    }
}

#[test]
fn the_number_of_attempts_is_bounded_while_all_fail() {
    let (mut notices, mut now, mut attempts) = (Notices::new(at(1)), 0, 0);
    notices.add(1, "a", UndeliveredEnd::Failed);
    while now < 10_000_000 {
        failing_attempt(&mut notices, &mut now, Failure::Refused);
        attempts += 1;
    }
    assert!((50..=120).contains(&attempts), "{attempts} in 10 s");
}

#[test]
fn each_error_of_a_connection_has_its_text() {
    for (answer, text) in [
        ("HTTP/1.1 400 Bad\r\ncontent-length: 0\r\n\r\n", "notices were answered 400"),
        ("noise\r\n\r\n", "not an HTTP response"),
    ] {
        let (mut notices, mut out) = (Notices::new(at(1)), BytesMut::new());
        notices.add(1, "a", UndeliveredEnd::Failed);
        notices.tick(0, &mut out);
        notices.connected(0, &mut out);
        out.clear();
        let error = notices.receive(0, answer.as_bytes(), &out).unwrap_err();
        assert_eq!(error.to_string(), text);
    }
}

const ACKNOWLEDGED: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

/// Guards against a message whose end is never reported because a copy of an earlier answer acknowledged its
/// notice: no request is written to a connection on which an answer was read.
#[test]
fn a_copy_of_an_answer_acknowledges_no_notice() {
    let (mut notices, mut out) = (Notices::new(at(1)), BytesMut::new());
    notices.add(1, "a", UndeliveredEnd::Failed);
    assert_eq!(notices.tick(0, &mut out), NoticeAction::Connect(at(1)));
    notices.connected(0, &mut out);
    out.clear();
    notices.add(2, "b", UndeliveredEnd::Failed);
    assert_eq!(notices.receive(10, ACKNOWLEDGED, &out).unwrap(), [1]);
    assert!(out.is_empty(), "the next one is not written behind it");
    assert!(notices.receive(11, ACKNOWLEDGED, &out).is_err(), "a copy answers nothing");
    assert_eq!(notices.pending_count(), 1);
    let next = notices.wake();
    assert_eq!(notices.tick(next, &mut out), NoticeAction::Connect(at(1)));
    notices.connected(next, &mut out);
    let unsent = out.clone();
    assert!(notices.receive(next, ACKNOWLEDGED, &unsent).is_err(), "its request has not been sent");
    notices.ended(next);
    assert_eq!(notices.pending_count(), 1, "it is sent again");
}

/// Guards against a notice whose acknowledgement counted by a time in which nothing contradicted it.
#[test]
fn time_acknowledges_no_notice() {
    let (mut notices, mut out) = (Notices::new(at(1)), BytesMut::new());
    notices.add(1, "a", UndeliveredEnd::Failed);
    assert_eq!(notices.tick(0, &mut out), NoticeAction::Connect(at(1)));
    let mut now = 0;
    for _ in 0..100 {
        notices.connected(now, &mut out);
        out.clear();
        notices.ended(now);
        now = notices.wake();
        assert_eq!((notices.tick(now, &mut out), notices.pending_count()), (NoticeAction::Connect(at(1)), 1));
    }
}

#[test]
fn the_number_of_connections_is_bounded_while_all_requests_are_acknowledged() {
    let (mut notices, mut out, mut now, mut connections) = (Notices::new(at(1)), BytesMut::new(), 0, 0);
    while now < 1_000_000 {
        notices.add(1, "a", UndeliveredEnd::Failed);
        now = notices.wake().max(now);
        assert_eq!(notices.tick(now, &mut out), NoticeAction::Connect(at(1)));
        notices.connected(now, &mut out);
        out.clear();
        assert_eq!(notices.receive(now, ACKNOWLEDGED, &out).unwrap(), [1]);
        connections += 1;
    }
    assert!(connections <= 201, "{connections} in 1 s");
}

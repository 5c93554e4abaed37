//! Tests of the requests to endpoints, and of the outcomes that their answers prove.

use bytes::BytesMut;
use heronroute::Finality::{self, Exhausted, Open, Over};
use heronroute::{Micros, Outcome};
use heronroute_platform::call::{AnswerEvent, AnswerReader, OutgoingMessage, write_call};
use serde_json::{Value, json};

fn answer(ids: &[&str], text: &str) -> Option<AnswerEvent> {
    let mut a = AnswerReader::default();
    a.request_sent(ids.iter().map(ToString::to_string).collect());
    a.receive(text.as_bytes(), false)
}

fn one(text: &str) -> (Outcome, Micros, Finality, bool) {
    match answer(&["a"], text) {
        Some(AnswerEvent::Answered { outcomes, unusable }) => {
            (outcomes[0].outcome, outcomes[0].retry_after, outcomes[0].finality, unusable)
        }
        other => panic!("{text:?}: {other:?}"),
    }
}

#[test]
fn each_status_has_its_outcome() {
    use Outcome::*;
    let plain = |status: &str| one(&format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n"));
    assert_eq!(plain("200 OK"), (Done, 0, Over, false));
    assert_eq!(plain("500 No"), (Error, 0, Open, false));
    assert_eq!(plain("429 No\r\nRetry-After: 0.25"), (Busy, 250_000, Open, false));
    assert_eq!(plain("503 No"), (Busy, 0, Open, false));
    assert_eq!(plain("503 No\r\nX-No-Slot: 1"), (Skipped, 0, Open, false));
    assert_eq!(plain("504 No"), (Skipped, 0, Exhausted, false));
    assert_eq!(plain("410 No"), (Skipped, 0, Over, false));
    assert_eq!(plain("200 OK\r\nConnection: close"), (Done, 0, Over, true));
    assert_eq!(
        one("HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").0,
        Done
    );
}

#[test]
fn only_a_503_that_closes_a_new_connection_means_a_full_connection_table() {
    let no = |more: &str| format!("HTTP/1.1 503 No\r\ncontent-length: 0\r\n{more}\r\n");
    let close = no("X-Rejected: 1\r\nConnection: close\r\n");
    assert_eq!(one(&close), (Outcome::Crowded, 0, Open, true));
    assert_eq!(
        one(&no("X-Rejected: 1\r\n")).0,
        Outcome::Busy,
        "the connection stays open, so it concerns the call"
    );
    assert_eq!(
        one(&no("Connection: close\r\nRetry-After: 0.5\r\n")).0,
        Outcome::Busy,
        "the answer states a wait"
    );
    assert_eq!(one(&no("Connection: close\r\nX-No-Slot: 1\r\n")).0, Outcome::Skipped);
    let mut a = AnswerReader::default();
    a.request_sent(vec!["a".into()]);
    a.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", false);
    a.request_sent(vec!["b".into()]);
    match a.receive(close.as_bytes(), false) {
        Some(AnswerEvent::Answered { outcomes, .. }) => {
            assert_eq!(outcomes[0].outcome, Outcome::Busy, "the connection was already in the table")
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_call_of_an_unreadable_answer_may_have_run_unless_its_status_is_200() {
    for (text, outcome) in [
        ("\u{1}\u{2}garbage\r\n\r\n", Outcome::Error),
        ("HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nxxxx", Outcome::Done),
        ("HTTP/1.1 500 No\r\ncontent-length: 3000000000\r\n\r\nxxxx", Outcome::Error),
        ("HTTP/1.1 200 OK\r\ncontent-length: many\r\n\r\n", Outcome::Done),
        ("HTTP/1.1 200 OK\r\nbad head\u{0}\r\n\r\n", Outcome::Done),
        ("HTTP/1.1 200 OK\r\nx: y\r\n", Outcome::Done),
        ("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc", Outcome::Done),
    ] {
        let (got, _, _, unusable) = one(text);
        assert_eq!((got, unusable), (outcome, true), "{text:?}");
    }
    assert_eq!(answer(&["a"], "HTTP/1.1 20"), None, "not yet");
    match answer(&["a", "b"], "HTTP/1.1 200 OK\r\ncontent-length: many\r\n\r\n") {
        Some(AnswerEvent::Answered { outcomes, unusable: true }) => {
            assert!(outcomes.len() == 2 && outcomes.iter().all(|f| f.outcome == Outcome::Error));
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_wait_is_reported_with_the_head_even_if_the_answer_breaks_off_or_is_unreadable() {
    let mut a = AnswerReader::default();
    a.request_sent(vec!["a".into(), "b".into()]);
    let head = b"HTTP/1.1 429 No\r\nretry-after: 0.7\r\ncontent-length: 9\r\n\r\nbo";
    assert_eq!(a.receive(head, false), Some(AnswerEvent::RetryAfter(700_000)));
    assert_eq!(a.receive(b"dy", false), None, "it is reported once");
    assert!(matches!(a.receive(b"", true), Some(AnswerEvent::Answered { .. } | AnswerEvent::Unusable(_))));
    for text in [
        "HTTP/1.1 429 No\r\nretry-after: 0.7\r\ncontent-length: many\r\n\r\n",
        "HTTP/1.1 429 No\r\nretry-after: 0.7\r\ncontent-length: 3000000000\r\n\r\nxx",
    ] {
        let (outcome, wait, ..) = one(text);
        assert_eq!((outcome, wait), (Outcome::Error, 700_000), "the call may have run, and the wait applies");
    }
}

#[test]
fn bytes_after_a_good_answer_make_the_connection_unusable() {
    let good = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    assert_eq!(one(good), (Outcome::Done, 0, Over, false));
    assert_eq!(one(&format!("{good}{good}")), (Outcome::Done, 0, Over, true));
    assert_eq!(one(&format!("{good}noise")), (Outcome::Done, 0, Over, true));
    let mut a = AnswerReader::default();
    assert!(
        matches!(a.receive(good.as_bytes(), false), Some(AnswerEvent::Unusable(_))),
        "no call is in flight"
    );
    assert!(matches!(AnswerReader::default().receive(b"", true), Some(AnswerEvent::Unusable(_))));
}

#[test]
fn the_first_byte_received_while_no_call_is_in_flight_makes_the_connection_unusable() {
    let good = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    for cut in 1..good.len() {
        let mut a = AnswerReader::default();
        a.request_sent(vec!["a".into()]);
        assert!(matches!(
            a.receive(good.as_bytes(), false),
            Some(AnswerEvent::Answered { unusable: false, .. })
        ));
        // Also for a copy that is cut anywhere, and for interim answers.
        for stray in [&good[..cut], "\r\n", "HTTP/1.1 103 Hints\r\n\r\n"] {
            assert!(
                matches!(a.receive(stray.as_bytes(), false), Some(AnswerEvent::Unusable(_))),
                "{stray:?}"
            );
        }
        // Likewise after a good answer in the same read.
        let (_, _, _, unusable) = one(&format!("{good}{}", &good[..cut]));
        assert!(unusable, "{cut}");
    }
    let mut a = AnswerReader::default();
    a.request_sent(vec!["a".into()]);
    a.request_withdrawn();
    assert!(matches!(a.receive(b"H", false), Some(AnswerEvent::Unusable(_))), "the call was withdrawn");
}

#[test]
fn a_batch_answer_that_names_other_messages_proves_nothing_and_makes_the_connection_unusable() {
    let batch_result = |body: &str| {
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let Some(AnswerEvent::Answered { outcomes, unusable }) = answer(&["a", "b"], &text) else {
            panic!("{body}")
        };
        (outcomes.iter().map(|f| f.outcome).collect::<Vec<_>>(), unusable)
    };
    use Outcome::*;
    let line = |id: &str| format!(r#"{{"id":"{id}","state":"ok"}}"#);
    let (a, b, c) = (line("a"), line("b"), line("c"));
    assert_eq!(batch_result(&format!("[{b},{a}]")), (vec![Done, Done], false));
    assert_eq!(batch_result(&format!("[{c}]")), (vec![Error, Error], true), "the answer to another call");
    assert_eq!(batch_result(&format!("[{a}]")), (vec![Done, Error], true), "a message is missing");
    assert_eq!(batch_result(&format!("[{a},{b},{c}]")), (vec![Done, Done], true));
    assert_eq!(batch_result("ok"), (vec![Error, Error], true), "the answer to a single call");
}

#[test]
fn each_message_of_a_batch_has_its_outcome() {
    let body = r#"[{"id":"b","state":"later"},{"id":"a","state":"ok"},{"id":"c","state":"gone"}]"#;
    let text = format!("HTTP/1.1 200 OK\r\nretry-after: 1.5\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let Some(AnswerEvent::Answered { outcomes, .. }) = answer(&["a", "b", "c", "d"], &text) else { panic!() };
    use Outcome::*;
    assert_eq!(outcomes.iter().map(|f| f.outcome).collect::<Vec<_>>(), [Done, Busy, Skipped, Error]);
    assert_eq!(outcomes.iter().map(|f| f.finality).collect::<Vec<_>>(), [Over, Open, Over, Open]);
    assert_eq!(outcomes[1].retry_after, 1_500_000);
}

#[test]
fn calls_are_written_as_the_protocol_defines() {
    let mut out = BytesMut::new();
    let item = |id| OutgoingMessage { id, key: Some("k1"), body: b"hello" };
    write_call(&[item("a")], 1_500_900, "h:1", &mut out);
    let text = String::from_utf8_lossy(&out).into_owned();
    assert!(text.starts_with("POST /inbox HTTP/1.1\r\nhost: h:1\r\nX-Call-Id: a\r\nX-Budget-Ms: 1500\r\n"));
    assert!(text.ends_with("Idempotency-Key: k1\r\ncontent-length: 5\r\n\r\nhello"));
    out.clear();
    write_call(&[item("a"), OutgoingMessage { key: None, ..item("b") }], 1_000, "h:1", &mut out);
    let text = String::from_utf8_lossy(&out).into_owned();
    assert!(text.starts_with("POST /inbox/bulk HTTP/1.1\r\n"));
    let body: Value = serde_json::from_str(text.split("\r\n\r\n").nth(1).unwrap()).unwrap();
    assert_eq!(body[0], json!({"id": "a", "key": "k1", "body": "aGVsbG8="}));
    assert_eq!(body[1], json!({"id": "b", "body": "aGVsbG8="}));
}

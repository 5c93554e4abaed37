//! Messages that an endpoint has ended: none is sent again, whether the answer was certainly its own or may have been a
//! copy of another call's, and each still gets its end.

mod sender;

use heronroute_engine::ConnId;
use sender::*;

const GONE: &str = "HTTP/1.1 410 No\r\ncontent-length: 0\r\n\r\n";
/// Longer than any deadline of the harness.
const UNTIL_ALL_IS_OVER: i64 = 9_000 * MS;

/// Submits a message and answers its call, on a connection that is used already. Returns the connection.
fn deliver(harness: &mut Harness, client: ConnId, id: &str, answer: &str) -> ConnId {
    harness.submit(client, id, SAFE);
    let (conn, text) = harness.take_received(1001).remove(0);
    assert!(text.contains(&format!("X-Call-Id: {id}\r\n")), "{text}");
    harness.peer_sends(conn, answer);
    conn
}

/// Runs to the end of all deadlines. Returns the number of further calls with these messages, and all notices.
fn run_to_the_end(harness: &mut Harness, ids: &[&str]) -> (usize, String) {
    let names_one = |text: &str| ids.iter().any(|id| text.contains(&format!("X-Call-Id: {id}\r\n")));
    let (mut calls, mut notices) = (0, String::new());
    let end = harness.now + UNTIL_ALL_IS_OVER;
    while harness.now < end {
        harness.advance(5 * MS);
        for (conn, text) in harness.take_received(1001) {
            if names_one(&text) {
                calls += 1;
            }
            harness.peer_sends(conn, GONE);
        }
        for (conn, text) in harness.take_received(2) {
            if text.starts_with("POST") {
                notices += &text;
                harness.peer_sends(conn, NO_CONTENT);
            }
        }
    }
    (calls, notices)
}

/// Guards against a further call with a message that an endpoint answered 410 on a connection on which an earlier answer
/// came twice.
#[test]
fn a_message_that_may_have_been_answered_410_is_not_sent_again() {
    // The span between the doubtful delivery and the call: less than the time for which it is watched, and more.
    for span in [20 * MS, 600 * MS] {
        for pairs in [SAFE, KEYED, ONCE] {
            let mut harness = new_harness();
            let client = harness.connect_client();
            deliver(&mut harness, client, "first", OK);
            deliver(&mut harness, client, "second", OK);
            harness.advance(span);
            harness.submit(client, "m", pairs);
            let (conn, _) = harness.take_received(1001).remove(0);
            harness.peer_sends(conn, GONE);
            let (calls, notices) = run_to_the_end(&mut harness, &["m"]);
            assert_eq!(calls, 0, "{pairs}, {span} after a doubtful delivery: sent again");
            assert!(notices.contains(r#"{"id":"m","state":"failed"}"#), "{pairs}: {notices}");
            assert_eq!(harness.node.open(), 0);
        }
    }
}

/// Delivers one message and answers the call of a second with a copy of that answer. Returns the connection.
fn answer_with_a_copy(harness: &mut Harness, client: ConnId, pairs: &str) -> ConnId {
    deliver(harness, client, "first", OK);
    harness.submit(client, "m", pairs);
    let (conn, _) = harness.take_received(1001).remove(0);
    harness.peer_sends(conn, OK);
    conn
}

/// Guards against a message that is sent again as the connection's next call is taken for answered, by the 410 or 504 that
/// was the message's own.
#[test]
fn a_message_whose_end_comes_a_call_late_is_not_sent_again() {
    for answer in [GONE, "HTTP/1.1 504 No\r\ncontent-length: 0\r\n\r\n"] {
        for pairs in [SAFE, KEYED] {
            let mut harness = new_harness();
            let client = harness.connect_client();
            let conn = answer_with_a_copy(&mut harness, client, pairs);
            harness.submit(client, "n", pairs);
            assert_eq!(harness.take_received(1001).remove(0).0, conn);
            harness.peer_sends(conn, answer);
            let (calls, notices) = run_to_the_end(&mut harness, &["m", "n"]);
            assert_eq!(calls, 0, "{answer:?}: sent again");
            assert!(notices.contains(r#"{"id":"m","state":"failed"}"#), "{notices}");
            assert!(notices.contains(r#""id":"n""#), "{notices}");
        }
    }
}

/// Guards against the same where the end comes as the next call is half written.
#[test]
fn a_message_whose_end_comes_before_the_next_call_is_written_is_not_sent_again() {
    for pairs in [SAFE, KEYED] {
        let mut harness = new_harness();
        let client = harness.connect_client();
        let conn = answer_with_a_copy(&mut harness, client, pairs);
        harness.stalled = Some(conn);
        harness.submit(client, "n", SAFE);
        assert!(harness.node.pending(conn).len() > 10);
        harness.node.wrote(conn, 10);
        harness.node.received(harness.now, conn, GONE.as_bytes());
        harness.stalled = None;
        let (calls, notices) = run_to_the_end(&mut harness, &["m"]);
        assert_eq!(calls, 0, "sent again");
        assert!(notices.contains(r#"{"id":"m","state":"failed"}"#), "{notices}");
    }
}

/// Guards against a told wait that is lost because the answer with it comes late, behind a copy.
#[test]
fn a_wait_that_is_told_behind_a_copy_is_kept() {
    const WAIT: i64 = 1_200 * MS;
    let mut harness = new_harness();
    let client = harness.connect_client();
    let conn = answer_with_a_copy(&mut harness, client, SAFE);
    harness.advance(60 * MS);
    let told = harness.now;
    harness.peer_sends(conn, "HTTP/1.1 429 No\r\nretry-after: 1.2\r\ncontent-length: 0\r\n\r\n");
    harness.submit(client, "n", SAFE);
    let mut called = None;
    while called.is_none() && harness.now < told + 3 * WAIT {
        harness.advance(5 * MS);
        called = harness.take_received(1001).pop().map(|_| harness.now);
    }
    let called = called.expect("called after the wait");
    assert!(called >= told + WAIT, "called {} us after a wait of {WAIT} us was told", called - told);
}

/// Guards against a message that is sent after its end, in a call of several that no octet of had left by then.
#[test]
fn a_message_of_an_unsent_call_of_several_is_not_sent_after_its_end() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    harness.submit(client, "before", "c=safe,t=t,d=4000,dest=2");
    let (conn, _) = harness.take_received(1002).remove(0);
    harness.peer_sends(conn, OK);
    harness.stalled = Some(conn);
    let both = out_add_command("short", "c=safe,t=t,d=300,dest=2", "body")
        + &out_add_command("long", "c=safe,t=t,d=4000,dest=2", "body");
    harness.node.received(harness.now, client, both.as_bytes());
    harness.advance(5 * MS);
    let pending = String::from_utf8_lossy(harness.node.pending(conn)).into_owned();
    assert!(pending.contains("short") && pending.contains("long"), "{pending}");
    harness.advance(600 * MS);
    let notices: String = harness.take_received(2).into_iter().map(|(_, text)| text).collect();
    assert!(notices.contains("short"), "{notices}");
    harness.stalled = None;
    harness.advance(5 * MS);
    if harness.node_connections.contains_key(&conn) {
        harness.handle_output(heronroute_engine::Output::Write(conn));
    }
    let mut sent = String::new();
    for _ in 0..200 {
        harness.advance(5 * MS);
        sent.extend(harness.take_received(1002).into_iter().map(|(_, text)| text));
    }
    assert!(!sent.contains("short"), "sent after its end");
    assert!(sent.contains("long"), "the other message is not sent");
}

/// Guards against a message that is sent again though the answer that ends it had arrived when its call was given up.
#[test]
fn a_message_whose_end_lies_unread_as_its_call_is_given_up_is_not_sent_again() {
    for answer in [GONE, "HTTP/1.1 504 No\r\ncontent-length: 0\r\n\r\n", "HTTP/1.1 410 No\r\ncontent-le"] {
        let mut harness = new_harness();
        let client = harness.connect_client();
        // From earlier answers the sender learns not to wait for as long as its message has time.
        for count in 0..20 {
            let own = format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n{count:04}");
            deliver(&mut harness, client, &format!("before-{count}"), &own);
            harness.advance(40 * MS);
        }
        harness.submit(client, "m", SAFE);
        let (conn, _) = harness.take_received(1001).remove(0);
        harness.unread = Some((conn, answer.to_string()));
        let (calls, notices) = run_to_the_end(&mut harness, &["m"]);
        assert!(harness.unread.is_none(), "the call was not given up");
        assert_eq!(calls, 0, "{answer:?}: sent again");
        assert_eq!(notices.matches(r#""id":"m""#).count(), 1, "{answer:?}: {notices}");
    }
}

/// Guards against the same where a copy of another call's list is read first, and closes the connection of a call of several.
/// The message that the unread list does not end goes on.
#[test]
fn a_message_whose_end_lies_unread_behind_a_copied_list_is_not_sent_again() {
    let list = |entries: &[(&str, &str)]| {
        let entry = |(id, state): &(&str, &str)| format!(r#"{{"id":"{id}","state":"{state}"}}"#);
        let body = format!("[{}]", entries.iter().map(entry).collect::<Vec<_>>().join(","));
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
    };
    let mut harness = new_harness();
    let client = harness.connect_client();
    let submit_both = |harness: &mut Harness, ids: [&str; 2]| {
        let pairs = "c=safe,t=t,d=4000,dest=2";
        let both: String = ids.iter().map(|id| out_add_command(id, pairs, "body")).collect();
        harness.node.received(harness.now, client, both.as_bytes());
        harness.advance(5 * MS);
        harness.take_received(1002).remove(0)
    };
    let (conn, _) = submit_both(&mut harness, ["a0", "a1"]);
    let copied = list(&[("a0", "ok"), ("a1", "ok")]);
    harness.peer_sends(conn, &copied);
    let (second, _) = submit_both(&mut harness, ["b0", "b1"]);
    assert_eq!(second, conn, "another connection");
    harness.unread = Some((conn, list(&[("b0", "gone"), ("b1", "later")])));
    harness.peer_sends(conn, &copied);
    let mut further = String::new();
    for _ in 0..400 {
        harness.advance(5 * MS);
        further.extend(harness.take_received(1002).into_iter().map(|(_, text)| text));
    }
    assert!(harness.unread.is_none(), "the connection was not closed");
    assert!(!further.contains("b0"), "sent again");
    assert!(further.contains("b1"), "the other message does not go on");
}

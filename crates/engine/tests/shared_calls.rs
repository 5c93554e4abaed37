//! Tests of the platform's sender with several messages in one call.

mod sender;

use sender::*;

/// Guards against a message that is sent again while its first call is open: two messages of one call differ
/// in how long an answer is waited for, and the endpoint is silent.
#[test]
fn no_message_of_a_shared_call_is_sent_again_while_the_call_is_open() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    // Two messages with different deadlines share one call.
    let text: String = ["c=safe,t=t,d=4000,dest=2", "c=once,t=t,d=7000,dest=2"]
        .iter()
        .enumerate()
        .map(|(i, pairs)| out_add_command(&format!("b{i}"), pairs, "body"))
        .collect();
    harness.node.received(harness.now, client, text.as_bytes());
    harness.advance(10 * MS);
    let (conn, call) = harness.take_received(1002).remove(0);
    assert!(call.starts_with("POST /inbox/bulk ") && call.contains("b0") && call.contains("b1"), "{call}");
    // The endpoint does not answer. While the connection is open, neither message is sent again.
    let mut repeats = Vec::new();
    for _ in 0..800 {
        harness.advance(10 * MS);
        let open = harness.node_connections.contains_key(&conn);
        let new_calls = harness.take_received(1002);
        assert!(
            !open || new_calls.iter().all(|(_, t)| !t.contains("b0") && !t.contains("b1")),
            "{new_calls:?}"
        );
        repeats.extend(new_calls);
    }
    assert!(!harness.node_connections.contains_key(&conn), "the connection is closed with its call");
    assert!(
        repeats.iter().all(|(_, t)| !t.contains("b1")),
        "the message that may have run is never repeated"
    );
}

/// Guards against a duplicate answer that names other messages and leaves its connection in use.
#[test]
fn an_answer_that_names_other_messages_closes_its_connection() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    let two = |a: &str, b: &str| -> String {
        [a, b].iter().map(|id| out_add_command(id, "c=once,t=t,d=7000,dest=2", "body")).collect()
    };
    let body = r#"[{"id":"a1","state":"ok"},{"id":"a2","state":"ok"}]"#;
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    harness.node.received(harness.now, client, two("a1", "a2").as_bytes());
    harness.advance(10 * MS);
    let (conn, _) = harness.take_received(1002).remove(0);
    harness.peer_sends(conn, &answer);
    assert!(harness.node.open() == 0 && !harness.closed.contains(&conn));
    harness.node.received(harness.now, client, two("b1", "b2").as_bytes());
    harness.advance(10 * MS);
    assert_eq!(harness.take_received(1002).remove(0).0, conn);
    harness.peer_sends(conn, &answer);
    harness.advance(50 * MS);
    assert!(
        harness.closed.contains(&conn),
        "its own answer is still to come, and would be read as the next call's"
    );
    let notices: String = harness.take_received(2).into_iter().map(|(_, t)| t).collect();
    for id in ["b1", "b2"] {
        assert!(
            notices.contains(&format!("{{\"id\":\"{id}\",\"state\":\"failed\"}}")),
            "it may have run: {notices}"
        );
    }
}

#[test]
fn messages_over_64_kib_in_total_are_sent_in_several_calls() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    let body = "x".repeat(20_000);
    let text: String =
        (0..5).map(|i| out_add_command(&format!("b{i}"), "c=safe,t=t,d=4000,dest=2", &body)).collect();
    harness.node.received(harness.now, client, text.as_bytes());
    harness.advance(50 * MS);
    let calls = harness.take_received(1002);
    assert!(calls.len() >= 2, "{}", calls.len());
    for (_, call) in &calls {
        assert!(call.split("\r\n\r\n").nth(1).unwrap().len() <= 64 * 1024);
    }
    assert!((0..5).all(|i| calls.iter().any(|(_, t)| t.contains(&format!("b{i}")))), "each message is sent");
}

/// Guards against messages that fail with the first one of their call: an endpoint applies the deadline of
/// the message that a call names first, and an answer after that deadline counts for none of them.
#[test]
fn the_message_with_the_longest_deadline_is_named_first() {
    let short = ("short", "c=once,t=t,d=900,dest=2");
    let long = ("long", "c=keyed,t=t,d=7000,k=abc,dest=2");
    for order in [[short, long], [long, short]] {
        let mut harness = new_harness();
        let client = harness.connect_client();
        let text: String = order.iter().map(|(id, pairs)| out_add_command(id, pairs, "body")).collect();
        harness.node.received(harness.now, client, text.as_bytes());
        harness.advance(10 * MS);
        let (conn, call) = harness.take_received(1002).remove(0);
        let position = |id: &str| call.find(&format!("\"{id}\"")).unwrap();
        assert!(position("long") < position("short"), "{call}");
        // Once the budget of the first message is over, no answer is waited for, and the connection is
        // closed.
        let budget: i64 =
            call.split("X-Budget-Ms: ").nth(1).unwrap().split("\r\n").next().unwrap().parse().unwrap();
        harness.advance((budget - 50) * MS);
        assert!(
            harness.node_connections.contains_key(&conn),
            "the answer is waited for within the budget of the first message"
        );
        harness.advance(100 * MS);
        assert!(!harness.node_connections.contains_key(&conn), "and no longer than that");
        harness.advance(7_000 * MS);
        assert_eq!(harness.node.open(), 0, "each message has ended");
    }
}

/// Guards against an outcome that is recorded for another message when the order in the call differs from
/// that of submission.
#[test]
fn each_outcome_is_recorded_for_its_own_message() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    let text = out_add_command("short", "c=once,t=t,d=900,dest=2", "body")
        + &out_add_command("long", "c=keyed,t=t,d=7000,k=abc,dest=2", "body");
    harness.node.received(harness.now, client, text.as_bytes());
    harness.advance(10 * MS);
    let (conn, _) = harness.take_received(1002).remove(0);
    let body = r#"[{"id":"short","state":"error"},{"id":"long","state":"ok"}]"#;
    harness.peer_sends(conn, &format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()));
    harness.advance(50 * MS);
    let notices: String = harness.take_received(2).into_iter().map(|(_, t)| t).collect();
    assert!(notices.contains(r#"{"id":"short","state":"failed"}"#) && !notices.contains("long"), "{notices}");
    assert_eq!(harness.node.open(), 0);
}

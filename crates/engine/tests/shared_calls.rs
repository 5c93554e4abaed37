//! Several messages in one call of the platform's sender. Each test names what it guards against.

mod sender;

use sender::*;

#[test]
fn a_message_is_never_out_twice_though_others_of_its_call_are_waited_for() {
    let mut w = world();
    let c = w.client();
    // Two of unlike patience in one call.
    let text: String = ["c=safe,t=t,d=4000,dest=2", "c=once,t=t,d=7000,dest=2"]
        .iter()
        .enumerate()
        .map(|(i, p)| out_add(&format!("b{i}"), p, "body"))
        .collect();
    w.node.received(w.now, c, text.as_bytes());
    w.pass(10 * MS);
    let (conn, call) = w.came(1002).remove(0);
    assert!(call.starts_with("POST /inbox/bulk ") && call.contains("b0") && call.contains("b1"), "{call}");
    // The endpoint is silent. While its connection is open, the safe one is not sent again.
    let mut again = Vec::new();
    for _ in 0..800 {
        w.pass(10 * MS);
        let open = w.ours.contains_key(&conn);
        let more = w.came(1002);
        assert!(!open || more.iter().all(|(_, t)| !t.contains("b0") && !t.contains("b1")), "{more:?}");
        again.extend(more);
    }
    assert!(!w.ours.contains_key(&conn), "given up with its connection");
    assert!(again.iter().all(|(_, t)| !t.contains("b1")), "the unsafe one is never repeated");
}

#[test]
fn an_answer_for_other_messages_spends_its_connection() {
    let mut w = world();
    let c = w.client();
    let two = |a: &str, b: &str| -> String {
        [a, b].iter().map(|id| out_add(id, "c=once,t=t,d=7000,dest=2", "body")).collect()
    };
    let body = r#"[{"id":"a1","state":"ok"},{"id":"a2","state":"ok"}]"#;
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    w.node.received(w.now, c, two("a1", "a2").as_bytes());
    w.pass(10 * MS);
    let (conn, _) = w.came(1002).remove(0);
    w.says(conn, &answer);
    assert!(w.node.open() == 0 && !w.ended.contains(&conn));
    w.node.received(w.now, c, two("b1", "b2").as_bytes());
    w.pass(10 * MS);
    assert_eq!(w.came(1002).remove(0).0, conn);
    w.says(conn, &answer);
    w.pass(50 * MS);
    assert!(w.ended.contains(&conn), "its own answer is still to come, and would be the next call's");
    let told: String = w.came(2).into_iter().map(|(_, t)| t).collect();
    for id in ["b1", "b2"] {
        assert!(told.contains(&format!("{{\"id\":\"{id}\",\"state\":\"failed\"}}")), "may have run: {told}");
    }
}

#[test]
fn several_messages_over_64_kib_go_in_several_calls() {
    let mut w = world();
    let c = w.client();
    let body = "x".repeat(20_000);
    let text: String = (0..5).map(|i| out_add(&format!("b{i}"), "c=safe,t=t,d=4000,dest=2", &body)).collect();
    w.node.received(w.now, c, text.as_bytes());
    w.pass(50 * MS);
    let calls = w.came(1002);
    assert!(calls.len() >= 2, "{}", calls.len());
    for (_, call) in &calls {
        assert!(call.split("\r\n\r\n").nth(1).unwrap().len() <= 64 * 1024);
    }
    assert!((0..5).all(|i| calls.iter().any(|(_, t)| t.contains(&format!("b{i}")))), "all of them");
}

/// Guards against messages lost with the first one of their call: an endpoint goes by the message that a call names first,
/// and an answer that comes after that one's time counts for none of them.
#[test]
fn the_message_that_is_waited_for_longest_is_named_first() {
    let short = ("short", "c=once,t=t,d=900,dest=2");
    let long = ("long", "c=keyed,t=t,d=7000,k=abc,dest=2");
    for order in [[short, long], [long, short]] {
        let mut w = world();
        let c = w.client();
        let text: String = order.iter().map(|(id, pairs)| out_add(id, pairs, "body")).collect();
        w.node.received(w.now, c, text.as_bytes());
        w.pass(10 * MS);
        let (conn, call) = w.came(1002).remove(0);
        let place = |id: &str| call.find(&format!("\"{id}\"")).unwrap();
        assert!(place("long") < place("short"), "{call}");
        // Once the first one's time is over nobody waits for an answer, and the connection is closed.
        let budget: i64 =
            call.split("X-Budget-Ms: ").nth(1).unwrap().split("\r\n").next().unwrap().parse().unwrap();
        w.pass((budget - 50) * MS);
        assert!(w.ours.contains_key(&conn), "it is waited for the first one");
        w.pass(100 * MS);
        assert!(!w.ours.contains_key(&conn), "and not longer");
        w.pass(7_000 * MS);
        assert_eq!(w.node.open(), 0, "each message has its end");
    }
}

/// Guards against an end that is taken for another message's where the order in the call is not that of its parts.
#[test]
fn each_end_is_its_own_message_s_whatever_the_order_in_the_call() {
    let mut w = world();
    let c = w.client();
    let text = out_add("short", "c=once,t=t,d=900,dest=2", "body")
        + &out_add("long", "c=keyed,t=t,d=7000,k=abc,dest=2", "body");
    w.node.received(w.now, c, text.as_bytes());
    w.pass(10 * MS);
    let (conn, _) = w.came(1002).remove(0);
    let body = r#"[{"id":"short","state":"error"},{"id":"long","state":"ok"}]"#;
    w.says(conn, &format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()));
    w.pass(50 * MS);
    let told: String = w.came(2).into_iter().map(|(_, t)| t).collect();
    assert!(told.contains(r#"{"id":"short","state":"failed"}"#) && !told.contains("long"), "{told}");
    assert_eq!(w.node.open(), 0);
}

//! Tests of the platform's sender in memory: acceptance, delivery, notices, restarts and shutdown.

mod sender;

use heronroute_engine::platform::config;
use heronroute_engine::{CloseReason, ConnId, Output};
use heronroute_journal::disk::{Disk, Faults};
use heronroute_journal::{Journal, Storage};
use heronroute_platform::start::read;
use sender::*;
use std::net::SocketAddr;

/// Guards against an accepted message that is lost in a crash, because its reply or call is sent before it is
/// durable.
#[test]
fn no_reply_or_call_is_sent_before_the_acceptance_is_durable() {
    let mut harness = new_harness();
    harness.journal_enabled = false;
    let client = harness.connect_client();
    harness.submit(client, "m1", SAFE);
    assert_eq!((harness.take_replies(client), harness.take_received(1001).len()), (String::new(), 0));
    let mut harness = new_harness();
    let client = harness.connect_client();
    harness.submit(client, "m1", SAFE);
    assert_eq!(harness.take_replies(client), "+OK\r\n");
    let (conn, call) = harness.take_received(1001).remove(0);
    assert!(call.starts_with("POST /inbox HTTP/1.1\r\n") && call.contains("X-Call-Id: m1\r\n"), "{call}");
    harness.peer_sends(conn, OK);
    assert!(harness.node.open() == 0 && harness.journal.state().open.is_empty());
    assert!(
        harness.take_received(2).iter().all(|(_, t)| !t.contains("/v1/outcomes")),
        "a delivered message needs no notice"
    );
}

#[test]
fn a_message_with_invalid_fields_or_an_open_id_is_rejected() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    for pairs in [
        "c=what,t=t,d=4000,dest=1",
        "c=safe,t=who,d=4000,dest=1",
        "c=safe,t=t,d=4000,dest=9",
        "c=keyed,t=t,d=4000,dest=1",
    ] {
        harness.submit(client, "m", pairs);
        assert!(harness.take_replies(client).starts_with("-ERR"), "{pairs}");
    }
    harness.submit(client, "m", SAFE);
    assert_eq!(harness.take_replies(client), "+OK\r\n");
    harness.submit(client, "m", SAFE);
    assert!(harness.take_replies(client).starts_with("-ERR"), "the id is open already");
    assert_eq!(harness.node.open(), 1);
}

#[test]
fn a_message_over_the_limit_is_refused_at_once_with_a_retry_time() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    let mut all = String::new();
    for i in 0..60 {
        harness.submit(client, &format!("m{i}"), SAFE);
        all += &harness.take_replies(client);
    }
    let refused: Vec<&str> = all.lines().filter(|l| l.starts_with("-BUSY ")).collect();
    assert!(refused.len() >= 20 && all.lines().count() == 60, "{all}");
    let journalled = harness.journal.state().open.len();
    assert_eq!(journalled, harness.node.open(), "a refused message must leave nothing in the journal");
}

/// Guards against the delivery of a message whose client closed before it got a reply and may submit it
/// again.
#[test]
fn a_message_whose_client_closes_before_the_reply_is_dropped() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    harness.advance(5 * MS);
    let add = "*5\r\n$7\r\nOUT.ADD\r\n$1\r\n0\r\n$1\r\nm\r\n$24\r\nc=once,t=t,d=7000,dest=1\r\n$1\r\nb\r\n";
    harness.node.received(harness.now, client, add.as_bytes());
    harness.node.closed(harness.now, client, CloseReason::Ended);
    harness.advance(50 * MS);
    assert!(
        harness.take_received(1001).is_empty()
            && harness.node.open() == 0
            && harness.journal.state().open.is_empty()
    );
}

/// Guards against a lost notice when the process restarts or discovery moves before the notice is accepted.
#[test]
fn a_notice_is_repeated_until_accepted_across_a_restart_and_a_move() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    harness.submit(client, "m1", ONCE);
    let (conn, _) = harness.take_received(1001).remove(0);
    harness.peer_sends(conn, "HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n");
    let notice = |harness: &mut Harness, port| {
        let mut all = harness.take_received(port);
        all.retain(|(_, t)| t.contains("/v1/outcomes") && t.contains("{\"id\":\"m1\",\"state\":\"failed\"}"));
        all
    };
    assert_eq!(notice(&mut harness, 2).len(), 1, "the notice is sent at once");
    let mut harness = harness.restart();
    harness.advance(50 * MS);
    assert_eq!(notice(&mut harness, 2).len(), 1, "not accepted before the restart: sent again");
    let moved = SocketAddr::from(([127, 0, 0, 1], 3));
    harness.node.discovery_moved(harness.now, moved);
    harness.advance(50 * MS);
    let all = harness.take_received(3);
    let watch = all.iter().find(|(_, t)| t.starts_with("GET /catalog/members?follow=1&since=4 "));
    assert!(watch.is_some(), "{all:?}");
    let (conn, _) =
        all.iter().find(|(_, t)| t.contains("/v1/outcomes")).expect("a notice at the new address").clone();
    harness.peer_sends(conn, NO_CONTENT);
    assert!(harness.journal.state().open.is_empty());
    let mut harness = harness.restart();
    harness.advance(100 * MS);
    assert!(notice(&mut harness, 2).is_empty(), "accepted already");
}

/// Guards against messages that run twice or are lost after a kill: all three classes have an open call.
#[test]
fn after_a_kill_only_messages_that_may_be_repeated_are_sent_again() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    for (id, pairs) in [("s", SAFE), ("k", KEYED), ("o", ONCE)] {
        harness.submit(client, id, pairs);
    }
    harness.advance(50 * MS);
    assert_eq!(
        (harness.take_replies(client), harness.take_received(1001).len()),
        ("+OK\r\n+OK\r\n+OK\r\n".to_string(), 3)
    );
    let mut harness = harness.restart();
    harness.advance(3_000 * MS);
    let calls: String = harness.take_received(1001).into_iter().map(|(_, t)| t).collect();
    assert!(calls.contains("X-Call-Id: s\r\n"), "{calls}");
    assert!(calls.contains("X-Call-Id: k\r\n") && calls.contains("Idempotency-Key: abc\r\n"), "{calls}");
    assert!(!calls.contains("X-Call-Id: o\r\n"), "it may have run, and must not be repeated");
    let notices: String = harness
        .received_before_close(2)
        .into_iter()
        .chain(harness.take_received(2))
        .map(|(_, t)| t)
        .collect();
    assert!(notices.contains("{\"id\":\"o\",\"state\":\"failed\"}"), "{notices}");
}

/// Guards against a duplicate answer that stays in the connection and is read as the answer to the next call.
#[test]
fn a_duplicate_answer_does_not_count_for_the_next_call() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    harness.submit(client, "m1", SAFE);
    let (conn, _) = harness.take_received(1001).remove(0);
    harness.peer_sends(conn, &format!("{OK}{OK}"));
    assert!(
        harness.closed.contains(&conn) && harness.node.open() == 0,
        "delivered, but the connection must not be used again"
    );
    harness.submit(client, "m2", SAFE);
    let (conn, _) = harness.take_received(1001).remove(0);
    harness.peer_sends(conn, "HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nxxxx");
    assert!(harness.closed.contains(&conn) && harness.node.open() == 0, "the status line says 200");
}

/// Guards against a missing outcome of a message that an endpoint answers with 410. Seen on a recorded day,
/// where the client closed its connection at the moment at which it got the reply to its message.
#[test]
fn a_message_answered_with_410_gets_a_failed_notice() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    harness.submit(client, "m1", SAFE);
    let (conn, _) = harness.take_received(1001).remove(0);
    harness.peer_sends(conn, "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n");
    harness.advance(50 * MS);
    let notices: String = harness.take_received(2).into_iter().map(|(_, t)| t).collect();
    assert!(notices.contains("{\"id\":\"m1\",\"state\":\"failed\"}"), "{notices}");
    assert!(harness.take_received(1001).is_empty() && harness.node.open() == 0);
}

/// Guards against calls to a draining endpoint. Seen on a recorded day: connections were established after
/// 1.4 s, while the grace period of a drain is 1 s.
#[test]
fn a_call_is_not_sent_on_a_connection_established_after_a_drain() {
    let mut harness = new_harness();
    harness.slow_port = Some(1001);
    let client = harness.connect_client();
    harness.submit(client, "m1", SAFE);
    assert!(!harness.connecting.is_empty());
    let (watch, _) =
        harness.take_received(2).into_iter().find(|(_, t)| t.starts_with("GET /catalog")).unwrap();
    let line = r#"{"version":5,"full":false,"servers":[{"id":"e1","addr":"127.0.0.1:1001","zone":"a","kind":"one","cell":1,"state":"DRAINING"}]}"#;
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    harness.peer_sends(watch, &format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1));
    harness.advance(500 * MS);
    for conn in std::mem::take(&mut harness.connecting) {
        harness.node.connected(harness.now, conn);
    }
    harness.advance(500 * MS);
    assert!(harness.take_received(1001).is_empty(), "no call may be written to the draining endpoint");
}

/// Guards against a call that waits for its connection and is sent within a Retry-After received meanwhile.
/// Seen in the scenario zone+mass: a connection was established after 1.1 s, when another endpoint of the
/// destination had answered with a Retry-After.
#[test]
fn a_pending_call_is_not_sent_within_a_later_retry_after() {
    for port in [1001, 1003] {
        let mut harness = new_harness();
        if port == 1003 {
            harness.add_endpoint_like_e1();
        }
        let client = harness.connect_client();
        harness.submit(client, "m1", SAFE);
        let (conn, called_port) = [1001, 1003]
            .iter()
            .find_map(|port| Some((harness.take_received(*port).pop()?.0, *port)))
            .unwrap();
        harness.slow_port = Some(if port == 1001 { called_port } else { 1001 + 1003 - called_port });
        harness.submit(client, "m2", SAFE);
        assert!(!harness.connecting.is_empty(), "the call waits for its connection");
        harness.peer_sends(conn, "HTTP/1.1 429 No\r\nretry-after: 0.6\r\ncontent-length: 0\r\n\r\n");
        harness.advance(300 * MS);
        harness.slow_port = None;
        for conn in std::mem::take(&mut harness.connecting) {
            harness.node.connected(harness.now, conn);
        }
        harness.advance(290 * MS);
        assert!(
            harness.take_received(1001).is_empty() && harness.take_received(1003).is_empty(),
            "no call within the Retry-After"
        );
        harness.advance(1_000 * MS);
        assert!(
            harness.take_received(1001).len() + harness.take_received(1003).len() >= 1,
            "calls are sent after it"
        );
    }
}

/// Guards against a repeat that is sent after the idempotency window. Seen in the scenario zone+mass: a keyed
/// message that may have run was sent again 5.05 s later, with a window of 5 s.
#[test]
fn a_repeat_that_waits_for_a_connection_is_not_sent_after_its_window() {
    for restarted in [false, true] {
        let mut harness = new_harness();
        let client = harness.connect_client();
        harness.submit(client, "m1", KEYED);
        let (conn, _) = harness.take_received(1001).remove(0);
        harness.slow_port = Some(1001);
        if restarted {
            harness = harness.restart();
            harness.slow_port = Some(1001);
            harness.advance(5 * MS);
        } else {
            harness.peer_sends(conn, "HTTP/1.1 500 No\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        }
        let began = harness.now;
        harness.advance(began + 3_900 * MS - harness.now);
        // A further connection is being established as the window ends.
        while !harness.connecting.iter().any(|conn| harness.node_connections.contains_key(conn)) {
            assert!(harness.now < began + 3_980 * MS, "no repeat waits for a connection");
            harness.advance(5 * MS);
        }
        harness.advance(began + 4_020 * MS - harness.now);
        for conn in std::mem::take(&mut harness.connecting) {
            harness.node.connected(harness.now, conn);
        }
        harness.advance(1_000 * MS);
        assert!(
            harness.take_received(1001).iter().all(|(_, t)| !t.contains("X-Call-Id: m1")),
            "sent after its window"
        );
        let notices: String = harness.take_received(2).into_iter().map(|(_, t)| t).collect();
        assert!(notices.contains("\"id\":\"m1\",\"state\":\"returned\""), "{notices}");
    }
}

/// Guards against a window that is counted from the wrong attempt. Seen in the scenario herd+mass: a message
/// was sent, and the process killed; sent again and refused, and the process killed; and sent a third time
/// 6.4 s after the first.
#[test]
fn the_idempotency_window_holds_across_two_restarts() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    harness.submit(client, "m1", KEYED);
    assert_eq!(harness.take_received(1001).len(), 1);
    let mut harness = harness.restart();
    harness.advance(5 * MS);
    let (conn, _) = harness.take_received(1001).remove(0);
    harness.peer_sends(conn, "HTTP/1.1 503 No\r\nretry-after: 1.9\r\ncontent-length: 0\r\n\r\n");
    harness.now += 4_000 * MS;
    let mut harness = harness.restart();
    harness.advance(2_000 * MS);
    assert!(harness.take_received(1001).is_empty(), "the window counts from the first attempt, and is over");
    let notices: String = harness.take_received(2).into_iter().map(|(_, t)| t).collect();
    assert!(notices.contains("{\"id\":\"m1\",\"state\":\"failed\"}"), "{notices}");
}

/// Guards against a late answer to a probe that is read as the answer to a call on the same connection.
#[test]
fn a_call_never_uses_a_connection_with_an_unanswered_probe() {
    let probes = START_CONFIG.replace("\"Cancel\":true", "\"Cancel\":true,\"Probes\":true");
    let mut harness =
        start_harness_with(&probes, Journal::open(Disk::new(Faults::default()), JOURNAL_LIMITS).unwrap(), 0);
    let client = harness.connect_client();
    for i in 0..8 {
        harness.submit(client, &format!("q{i}"), SAFE);
        let (conn, _) = harness.take_received(1001).remove(0);
        harness.peer_sends(conn, OK);
    }
    // Two unanswered calls make the endpoint suspect: it is probed, and does not answer the probe either.
    harness.submit(client, "m1", ONCE);
    harness.submit(client, "m2", ONCE);
    let calls = harness.take_received(1001);
    harness.advance(600 * MS);
    harness.submit(client, "held", SAFE);
    let mut probe = None;
    while probe.is_none() {
        assert!(harness.now < 3_000 * MS, "no probe");
        harness.advance(5 * MS);
        probe = harness
            .take_received(1001)
            .into_iter()
            .find(|(_, t)| t.starts_with("GET /ping"))
            .map(|(conn, _)| conn);
    }
    let (probe, probed) = (probe.unwrap(), harness.now);
    // Then it answers the calls and closes their connections; the probe is still unanswered.
    let close = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    calls.into_iter().for_each(|(conn, _)| harness.peer_sends(conn, close));
    harness.advance(50 * MS);
    harness.take_received(1001).into_iter().for_each(|(conn, _)| harness.peer_sends(conn, close));
    harness.advance(probed + 2_000 * MS - harness.now);
    harness.slow_port = Some(1001);
    harness.submit(client, "m3", ONCE);
    assert!(!harness.connecting.is_empty(), "the call waits for a connection");
    harness.advance(probed + 3_050 * MS - harness.now);
    let used_connections: Vec<ConnId> =
        harness.take_received(1001).into_iter().map(|(conn, _)| conn).collect();
    assert!(
        !used_connections.contains(&probe),
        "a late answer to the probe would be read as the call's answer"
    );
    assert!(harness.closed.contains(&probe));
}

/// Returns an idle connection on which one call was answered.
fn idle_connection(harness: &mut Harness, client: ConnId) -> ConnId {
    harness.submit(client, "first", ONCE);
    let (conn, _) = harness.take_received(1001).remove(0);
    harness.peer_sends(conn, OK);
    harness.take_replies(client);
    conn
}

#[test]
fn no_call_uses_a_connection_with_bytes_after_an_answer() {
    for stray in [OK, "HTTP/1.1 503 No\r\ncontent-le", "H", "\r\n"] {
        let mut harness = new_harness();
        let client = harness.connect_client();
        let conn = idle_connection(&mut harness, client);
        harness.peer_sends(conn, stray);
        assert!(harness.closed.contains(&conn), "{stray:?}: not closed at once");
        harness.submit(client, "m2", ONCE);
        let (other, call) = harness.take_received(1001).remove(0);
        assert!(other != conn && call.contains("X-Call-Id: m2\r\n"), "{stray:?}: {call}");
        // The stray bytes come in one read with the answer.
        harness.peer_sends(other, &format!("{OK}{stray}"));
        assert!(harness.closed.contains(&other) && harness.node.open() == 0, "{stray:?}");
    }
}

/// Guards against a duplicate answer that is read when the next call is assigned to the connection but not
/// written yet.
#[test]
fn a_duplicate_answer_before_a_call_is_written_is_not_its_answer() {
    for copy in [OK, "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", "HTTP"] {
        let mut harness = new_harness();
        let client = harness.connect_client();
        let conn = idle_connection(&mut harness, client);
        assert!(!harness.node.reads_first(conn));
        harness.stalled = Some(conn);
        harness.submit(client, "m2", ONCE);
        assert!(
            !harness.node.pending(conn).is_empty() && harness.node.reads_first(conn),
            "assigned, but not written"
        );
        harness.node.received(harness.now, conn, copy.as_bytes());
        assert_eq!(harness.node.open(), 1, "{copy:?}: delivered by the answer to another call");
        harness.advance(500 * MS);
        assert!(harness.closed.contains(&conn), "{copy:?}");
        let calls: Vec<(ConnId, String)> = harness.take_received(1001);
        assert_eq!(
            calls.len(),
            1,
            "{copy:?}: it was never written, so it is sent once, on another connection: {calls:?}"
        );
        assert!(calls[0].0 != conn && calls[0].1.contains("X-Call-Id: m2\r\n"));
        harness.peer_sends(calls[0].0, OK);
        assert_eq!(harness.node.open(), 0);
    }
}

#[test]
fn retry_after_applies_before_the_answer_is_complete() {
    let mut harness = new_harness();
    harness.add_endpoint_like_e1();
    let client = harness.connect_client();
    harness.submit(client, "m1", SAFE);
    let (conn, _) = [1001, 1003].iter().find_map(|p| harness.take_received(*p).pop()).unwrap();
    harness.peer_sends(conn, "HTTP/1.1 429 No\r\nretry-after: 0.6\r\ncontent-length: 40\r\n\r\nslow");
    harness.submit(client, "m2", SAFE);
    harness.advance(500 * MS);
    assert!(
        harness.take_received(1001).is_empty() && harness.take_received(1003).is_empty(),
        "Retry-After must apply before the answer is complete"
    );
    harness.advance(200 * MS);
    assert_eq!(
        harness.take_received(1001).len() + harness.take_received(1003).len(),
        1,
        "the Retry-After is over"
    );
}

#[test]
fn all_of_1100_endpoints_are_served_with_as_many_senders() {
    let server = |cell: usize, state: &str| {
        format!(
            r#"{{"id":"f{cell}","addr":"127.0.0.1:{}","zone":"z{cell}","kind":"one","cell":{cell},"state":"{state}","weight":50.0}}"#,
            2_000 + cell
        )
    };
    let all = |from: usize, to: usize| (from..to).map(|i| server(i, "SERVING")).collect::<Vec<_>>().join(",");
    let (from, to) =
        (START_CONFIG.find("\"servers\":[").unwrap() + 11, START_CONFIG.find("]},\n \"settings\"").unwrap());
    let start = format!("{}{}{}", &START_CONFIG[..from], all(0, 1_100), &START_CONFIG[to..])
        .replace("\"Balancers\":1,", "\"Balancers\":1100,");
    let mut harness =
        start_harness_with(&start, Journal::open(Disk::new(Faults::default()), JOURNAL_LIMITS).unwrap(), 0);
    let client = harness.connect_client();
    let delivers = |harness: &mut Harness, cell: usize| {
        harness.submit(client, &format!("m{cell}"), &format!("c=safe,t=t,d=4000,dest={cell}"));
        harness.advance(20 * MS);
        let calls = harness.take_received(2_000 + cell as u16);
        calls.into_iter().for_each(|(conn, _)| harness.peer_sends(conn, OK));
        harness.take_replies(client) == "+OK\r\n" && harness.node.open() == 0
    };
    assert!([0, 1_023, 1_099].iter().all(|cell| delivers(&mut harness, *cell)), "known from the start");
    let (watch, _) =
        harness.take_received(2).into_iter().find(|(_, t)| t.starts_with("GET /catalog")).unwrap();
    let line = format!(r#"{{"version":5,"full":true,"servers":[{}]}}"#, all(1_100, 2_200));
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    harness.peer_sends(watch, &format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1));
    assert!(
        [1_100, 2_199].iter().all(|cell| delivers(&mut harness, *cell)),
        "one line of the watch lists them all"
    );
    harness.submit(client, "gone", "c=safe,t=t,d=4000,dest=5");
    harness.advance(20 * MS);
    assert!(harness.take_received(2_005).is_empty(), "an endpoint that a full list does not name is removed");
}

/// Guards against a node that doesn't start, or loses earlier messages, after a crash cut the last journal
/// entry.
#[test]
fn a_journal_cut_at_its_last_bytes_keeps_the_earlier_messages() {
    for cut in 1..40 {
        let mut harness = new_harness();
        let client = harness.connect_client();
        harness.submit(client, "m1", SAFE);
        harness.submit(client, "m2", SAFE);
        let mut disk = harness.journal.into_storage();
        let name = disk.list().unwrap().into_iter().max().unwrap();
        let whole = disk.read(&name).unwrap().len() as u64;
        disk.truncate(&name, whole - cut).unwrap();
        let mut harness = start_harness(Journal::open(disk, JOURNAL_LIMITS).unwrap(), harness.now);
        harness.advance(1_500 * MS);
        let calls: String = harness.take_received(1001).into_iter().map(|(_, t)| t).collect();
        assert!(calls.contains("X-Call-Id: m1\r\n"), "cut {cut}: {calls}");
    }
}

#[test]
fn a_full_journal_refuses_messages_and_accepted_ones_still_end() {
    let limits = config(&read(START_CONFIG).unwrap()).journal.limits;
    let mut harness = start_harness(Journal::open(Disk::new(Faults::default()), limits).unwrap(), 0);
    let client = harness.connect_client();
    let (body, mut replies) = ("x".repeat(30_000), String::new());
    for i in 0..30 {
        harness.node.received(harness.now, client, out_add_command(&format!("m{i}"), ONCE, &body).as_bytes());
        harness.advance(10 * MS);
        replies += &harness.take_replies(client);
    }
    let accepted = replies.lines().filter(|l| *l == "+OK").count();
    assert!((5..20).contains(&accepted) && replies.contains("-BUSY"), "{replies}");
    harness.advance(8_000 * MS);
    let outcomes: String = harness.take_received(2).into_iter().map(|(_, t)| t).collect();
    assert_eq!(outcomes.matches("\"state\":").count(), accepted, "each accepted message has one outcome");
    assert_eq!(harness.node.open(), 0);
}

/// Guards against a watch that stays open without data. Seen on a recorded day: two watches in a row fell
/// silent, and drains were received 16 s late.
#[test]
fn a_silent_watch_is_reconnected() {
    let mut harness = new_harness();
    let (watch, _) = harness.take_received(2).remove(0);
    harness.peer_sends(watch, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n");
    harness.advance(2_000 * MS);
    harness.peer_sends(watch, "1\r\n\n\r\n");
    harness.advance(2_000 * MS);
    assert!(
        harness.take_received(2).is_empty() && harness.node_connections.contains_key(&watch),
        "an empty line every 2 s keeps the watch open"
    );
    harness.advance(1_000 * MS);
    let again = harness.take_received(2);
    assert!(again.iter().any(|(_, t)| t.starts_with("GET /catalog/members?follow=1&since=4")), "{again:?}");
}

#[test]
fn shutdown_serves_for_a_while_and_then_starts_no_call() {
    let mut harness = new_harness();
    harness.node.leave(harness.now);
    harness.advance(2_500 * MS);
    let client = harness.connect_client();
    harness.submit(client, "m1", SAFE);
    let idle = harness.connect_client();
    harness.submit(idle, "m2", ONCE);
    assert_eq!(
        (harness.take_replies(client), harness.take_replies(idle)),
        ("+OK\r\n".into(), "+OK\r\n".into()),
        "served as before"
    );
    assert_eq!(harness.take_received(1001).len(), 2);
    harness.advance(420 * MS);
    assert!(
        harness.closed.contains(&client) && harness.closed.contains(&idle),
        "client connections are closed, so that clients go elsewhere at once"
    );
    assert!(
        harness.node.refuses_connections() && !harness.node.is_shut_down(),
        "open calls may still be answered"
    );
    harness.advance(700 * MS);
    assert!(harness.node.is_shut_down());
    let open = harness.journal.state().open.len();
    let mut harness = harness.restart();
    harness.advance(100 * MS);
    assert_eq!(
        (open, harness.take_received(1001).len()),
        (2, 1),
        "the safe message is sent again, and the other ends, since it may have run"
    );
}

#[test]
fn idle_client_connections_are_closed_for_new_ones() {
    let mut harness = new_harness();
    let limit = config(&harness.start).platform.unwrap().sessions;
    let busy = harness.connect_client();
    harness.node.received(harness.now, busy, b"*1\r\n$4\r\nPI");
    let others: Vec<ConnId> = (0..limit - 1).map(|_| harness.connect_client()).collect();
    harness.advance(0);
    let new = harness.connect_client();
    harness.advance(0);
    assert_eq!(harness.closed, [others[0]], "the longest idle one is closed");
    harness.node.received(harness.now, busy, b"NG\r\n");
    harness.advance(0);
    assert_eq!(harness.take_replies(busy), "+PONG\r\n");
    harness.advance(2_100 * MS);
    assert!(harness.closed.contains(&new), "a connection that sends nothing is closed");
}

/// Guards against a flood after many restarts. Seen in the scenario herd+mass, seed 880247: 213 of 300
/// senders were killed at once while destinations were refusing calls, had lost what they had learnt of them
/// when they started, and sent 337 calls in half a second instead of the usual 25.
#[test]
fn a_destination_known_to_refuse_is_not_flooded_after_a_restart() {
    let refuse = |harness: &mut Harness| {
        harness.advance(2_000 * MS);
        for (conn, _) in harness.take_received(1001) {
            harness.peer_sends(conn, "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n");
        }
    };
    let mut harness = new_harness();
    let client = harness.connect_client();
    (0..6).for_each(|i| harness.submit(client, &format!("m{i}"), SAFE));
    refuse(&mut harness);
    let mut harness = harness.restart();
    harness.advance(300 * MS);
    assert!(harness.take_received(1001).is_empty(), "the state learnt before the restart applies after it");
    // The learnt state is cleared once a call succeeds.
    for _ in 0..40 {
        harness.advance(200 * MS);
        for (conn, _) in harness.take_received(1001) {
            harness.peer_sends(conn, OK);
        }
    }
    let mut harness = harness.restart();
    let client = harness.connect_client();
    harness.submit(client, "n1", SAFE);
    harness.advance(10 * MS);
    assert_eq!(harness.take_received(1001).len(), 1, "sent at once");
}

#[test]
fn a_full_connection_table_closes_idle_connections_and_retries() {
    // With 300 senders, each may open few connections.
    let many = START_CONFIG.replace("\"Balancers\":1", "\"Balancers\":300");
    let mut harness = start_harness_with(&many, Journal::open(Disk::default(), JOURNAL_LIMITS).unwrap(), 0);
    harness.advance(50 * MS);
    let client = harness.connect_client();
    let calls = |harness: &mut Harness, n: usize| -> Vec<ConnId> {
        (0..n).for_each(|i| harness.submit(client, &format!("m{}-{i}", harness.now), SAFE));
        harness.take_received(1001).into_iter().map(|(conn, _)| conn).collect()
    };
    // Two connections, both idle.
    let two = calls(&mut harness, 2);
    two.iter().for_each(|conn| harness.peer_sends(*conn, OK));
    assert!(two.len() == 2 && harness.closed.is_empty());
    // Two calls use them; a third opens a connection of its own, and is refused there.
    let three = calls(&mut harness, 3);
    let fresh = *three.iter().find(|conn| !two.contains(conn)).expect("a third connection");
    harness.peer_sends(two[0], OK);
    assert!(harness.closed.is_empty(), "an idle connection is kept as before");
    harness.peer_sends(fresh, "HTTP/1.1 503 No\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    harness.peer_sends(two[1], OK);
    assert!(
        two.iter().all(|conn| harness.closed.contains(conn)),
        "connections without an open call are closed"
    );
    harness.advance(600 * MS);
    assert_eq!(
        harness.take_received(1001).len(),
        1,
        "the refused call is soon sent again, on a new connection"
    );
}

/// Guards against a duplicate delivery: the rest of a call that is dropped while it is being written must not
/// be sent, since its message may be sent elsewhere meanwhile.
#[test]
fn the_rest_of_a_call_dropped_while_being_written_is_never_sent() {
    let mut harness = new_harness();
    harness.slow_port = Some(1001);
    let client = harness.connect_client();
    harness.submit(client, "m1", SAFE);
    let conn = harness.connecting[0];
    harness.stalled = Some(conn);
    harness.node.connected(harness.now, conn);
    harness.advance(5 * MS);
    let whole = harness.node.pending(conn).len();
    assert!(whole > 10, "the call is to be written");
    harness.node.wrote(conn, 10);
    harness.advance(5_000 * MS);
    assert!(harness.closed.contains(&conn), "the call was not dropped");
    let rest: Vec<_> =
        harness.received_before_close(1001).into_iter().filter(|(at, _)| *at == conn).collect();
    assert!(rest.is_empty(), "the rest was sent: {rest:?}");
}

/// Guards against an id that a start takes for used though its message was given up before its acceptance was told: its
/// client hands it in again, and would be told that it has ended.
#[test]
fn an_id_that_was_never_acknowledged_is_free_behind_a_start_too() {
    // The endpoint drains, so that no attempt begins.
    let draining = START_CONFIG.replacen("SERVING", "DRAINING", 1);
    let journal = Journal::open(Disk::new(Faults::default()), JOURNAL_LIMITS).unwrap();
    let mut harness = start_harness_with(&draining, journal, 0);
    let client = harness.connect_client();
    harness.node.received(harness.now, client, out_add_command("m", SAFE, "body").as_bytes());
    harness.now += 5 * MS;
    harness.node.settle(harness.now);
    // The client leaves between the decision and the sync.
    let outputs = harness.node.outputs();
    harness.node.closed(harness.now, client, CloseReason::Ended);
    let written = outputs.iter().any(|output| matches!(output, Output::Journal(_)));
    assert!(written, "its acceptance is in the journal");
    outputs.into_iter().for_each(|output| harness.handle_output(output));
    harness.advance(50 * MS);
    let mut harness = harness.restart();
    let client = harness.connect_client();
    harness.submit(client, "m", SAFE);
    let reply = harness.take_replies(client);
    assert!(reply.starts_with('+'), "{reply}");
}

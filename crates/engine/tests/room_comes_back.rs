//! What peers make a sender hold is given back once it is over, however it ends, without help from new work.

mod rig;
mod sender;

use heronroute_engine::{CloseReason, ConnId};
use rig::TestRng;
use sender::*;

/// Longer than any deadline and any idle time of the harness.
const UNTIL_ALL_IS_OVER: i64 = 20_000 * MS;
const SEEDS: u64 = 20;
const STEPS: usize = 120;

/// The beginning of an answer that never ends.
fn endless_answer() -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: 60000\r\n\r\n{}", "x".repeat(55_000))
}

/// A harness whose connections to discovery are established, with the memory that it takes at rest.
fn resting_harness() -> (Harness, usize) {
    let mut harness = new_harness();
    harness.advance(UNTIL_ALL_IS_OVER);
    harness.take_received(2);
    let used = harness.node.memory_used();
    (harness, used)
}

/// Answers notices until everything is over, and checks that as much memory is taken as at rest before, and that a
/// message is accepted.
fn assert_room_came_back(harness: &mut Harness, at_rest: usize, what: &str) {
    let end = harness.now + UNTIL_ALL_IS_OVER;
    while harness.now < end {
        harness.advance(50 * MS);
        for (conn, text) in harness.take_received(2) {
            if text.starts_with("POST") {
                harness.peer_sends(conn, NO_CONTENT);
            }
        }
    }
    assert_eq!(harness.node.memory_used(), at_rest, "{what}: memory in use");
    let client = harness.connect_client();
    harness.submit(client, "afterwards", SAFE);
    let reply = harness.take_replies(client);
    assert!(reply.starts_with('+'), "{what}: {reply}");
}

/// The connections to endpoints on which a call was received.
fn calls(harness: &mut Harness) -> Vec<ConnId> {
    [1001, 1002].into_iter().flat_map(|port| harness.take_received(port)).map(|(conn, _)| conn).collect()
}

/// Closes a connection from the peer's side.
fn peer_closes(harness: &mut Harness, conn: ConnId, reason: CloseReason) {
    harness.node.closed(harness.now, conn, reason);
    harness.connection_closed(conn);
    harness.advance(5 * MS);
}

/// Guards against counts of answers without an end that stay in the memory budget, until everything is refused: the
/// connection was given another role before its count was taken back.
#[test]
fn answers_without_an_end_give_their_memory_back() {
    let (mut harness, at_rest) = resting_harness();
    let mut endless = 0;
    for number in 0..400 {
        let client = harness.connect_client();
        harness.submit(client, &format!("m{number}"), SAFE);
        for conn in calls(&mut harness) {
            let answer = if number % 8 == 0 { endless_answer() } else { OK.to_string() };
            endless += usize::from(number % 8 == 0);
            harness.peer_sends(conn, &answer);
        }
        harness.advance(100 * MS);
        peer_closes(&mut harness, client, CloseReason::Ended);
        for (conn, _) in harness.take_received(2) {
            harness.peer_sends(conn, NO_CONTENT);
        }
    }
    assert!(endless >= 40, "{endless} answers without an end");
    assert_room_came_back(&mut harness, at_rest, "answers without an end");
}

/// One step of what peers do, drawn by a seed.
fn step(harness: &mut Harness, random: &mut TestRng, clients: &mut Vec<ConnId>, number: usize) {
    match random.below(10) {
        0 => clients.push(harness.connect_client()),
        1 | 2 if !clients.is_empty() => {
            let client = clients[random.below(clients.len() as u64) as usize];
            let pairs = [SAFE, KEYED, ONCE, "c=safe,t=t,d=300,dest=2"][random.below(4) as usize];
            let request =
                out_add_command(&format!("m{number}"), pairs, &"b".repeat(random.below(9_000) as usize));
            let sent = request.len() - random.below(2) as usize * (request.len() / 2);
            harness.node.received(harness.now, client, &request.as_bytes()[..sent]);
        }
        3 if !clients.is_empty() => {
            let client = clients.swap_remove(random.below(clients.len() as u64) as usize);
            peer_closes(harness, client, CloseReason::Ended);
        }
        4 => harness.advance(random.below(600) as i64 * MS),
        5 => harness.advance(5 * MS),
        _ => {
            for conn in calls(harness) {
                match random.below(6) {
                    0 => harness.peer_sends(conn, &endless_answer()),
                    1 => harness.peer_sends(conn, "HTTP/1.1 nonsense\r\n\r\n"),
                    2 => peer_closes(harness, conn, CloseReason::Ended),
                    3 => {
                        harness.peer_sends(conn, &endless_answer());
                        peer_closes(harness, conn, CloseReason::Broken);
                    }
                    4 => {
                        harness.peer_sends(conn, OK);
                        harness.peer_sends(conn, OK);
                    }
                    _ => {}
                }
            }
        }
    }
    harness.closed.retain(|conn| !clients.contains(conn));
}

/// Guards against any other count that is not given back: peers do what they please in any order, then all ends.
#[test]
fn whatever_peers_do_the_memory_comes_back() {
    for seed in 1..=SEEDS {
        let mut random = TestRng(seed);
        let (mut harness, at_rest) = resting_harness();
        let mut clients = Vec::new();
        for number in 0..STEPS {
            step(&mut harness, &mut random, &mut clients, number);
            let closed = std::mem::take(&mut harness.closed);
            clients.retain(|conn| !closed.contains(conn));
        }
        for client in clients {
            peer_closes(&mut harness, client, CloseReason::Ended);
        }
        assert_room_came_back(&mut harness, at_rest, &format!("seed {seed}"));
    }
}

/// Guards against the sizes of submitted bodies that stay counted after their clients have left before the round that
/// would have decided them: with enough of them nothing fits the journal any more, and no round comes that forgets them.
#[test]
fn submissions_whose_clients_leave_at_once_leave_room_for_others() {
    let (mut harness, at_rest) = resting_harness();
    let body = "x".repeat(50_000);
    for number in 0..20 {
        let client = harness.connect_client();
        let request = out_add_command(&format!("gone-{number}"), SAFE, &body);
        harness.node.received(harness.now, client, request.as_bytes());
        harness.node.closed(harness.now, client, CloseReason::Ended);
    }
    assert_room_came_back(&mut harness, at_rest, "20 submissions of clients that left");
}

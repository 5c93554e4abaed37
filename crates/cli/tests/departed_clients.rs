//! The real program and clients that leave, or come again with an id that they used before: nothing is sent on for a client
//! that has left, and no id runs twice.

mod alone;

use alone::*;
use socket2::SockRef;
use std::time::Duration;

/// More requests than the process reads at once.
const MANY: usize = 300;
/// Long enough for a call that is to come.
const CALL_SPAN: Duration = Duration::from_millis(400);

fn many_requests(prefix: &str) -> String {
    let body = "x".repeat(200);
    (0..MANY).map(|number| out_add_with_body(&format!("{prefix}{number}"), SAFE, &body)).collect()
}

/// Guards against requests that are sent on though their client had reset its connection before they were read.
#[test]
fn requests_that_were_unread_when_their_client_reset_are_not_sent_on() {
    let sender = start("reset-unread");
    let mut client = sender.client();
    assert_eq!(client.asks(PING), "+PONG");
    assert!(sender.hold());
    client.write(&many_requests("r"));
    SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).unwrap();
    drop(client);
    sender.go_on();
    assert!(!sender.is_called(CALL_SPAN), "a request of a client that had left was sent on");
    assert_eq!(sender.client().asks(PING), "+PONG");
}

/// The same where the client closes its connection, which is new or has been used.
#[test]
fn requests_that_were_unread_when_their_client_left_are_not_sent_on() {
    let sender = start("left-unread");
    let mut used = sender.client();
    assert_eq!(used.asks(PING), "+PONG");
    assert!(sender.hold());
    let mut new = sender.client();
    for (client, prefix) in [(&mut used, "u"), (&mut new, "n")] {
        client.write(&many_requests(prefix));
        client.end_side();
    }
    sender.go_on();
    assert_eq!(used.until_end().1, End::Closed);
    assert_eq!(new.until_end().1, End::Closed);
    assert!(!sender.is_called(CALL_SPAN), "a request of a client that had left was sent on");
}

/// Guards against an id that is accepted and called again once its message has ended.
#[test]
fn an_id_that_comes_again_after_its_end_is_not_called_again() {
    for (name, pairs) in [("again-safe", SAFE), ("again-once", ONCE)] {
        let mut sender = start(name);
        let mut client = sender.client();
        assert_eq!(client.asks(&out_add_as("m1", pairs)), "+OK");
        let (mut call, _) = sender.call();
        std::io::Write::write_all(&mut call, OK.as_bytes()).unwrap();
        std::thread::sleep(50 * MS);
        drop(client);
        let said = sender.client().asks(&out_add_as("m1", pairs));
        assert_eq!(said, "-ERR the id was used before", "{name}");
        call.set_read_timeout(Some(CALL_SPAN)).unwrap();
        assert!(!has_more(&mut call) && !sender.is_called(CALL_SPAN), "{name}: called again");
        drop(call);
        sender.kill_and_start();
        let said = sender.client().asks(&out_add_as("m1", pairs));
        assert_eq!(said, "-ERR the id was used before", "{name}: over a restart");
        assert!(!sender.is_called(CALL_SPAN), "{name}: called again over a restart");
        assert_eq!(sender.client().asks(&out_add_as("m2", pairs)), "+OK");
        _ = sender.call();
    }
}

/// Whether something comes on a connection.
fn has_more(stream: &mut std::net::TcpStream) -> bool {
    matches!(std::io::Read::read(stream, &mut [0; 16]), Ok(1..))
}

/// Guards against a refused message whose client can't hand it in again.
#[test]
fn an_id_that_was_refused_may_come_again() {
    let sender = start("refused-again");
    let mut client = sender.client();
    let unknown = out_add_as("m1", "c=safe,t=t,d=8000,dest=77");
    assert_eq!(client.asks(&unknown), "-ERR unknown destination");
    assert_eq!(client.asks(&out_add("m1")), "+OK");
    let (_call, text) = sender.call();
    assert!(text.contains("X-Call-Id: m1\r\n"));
}

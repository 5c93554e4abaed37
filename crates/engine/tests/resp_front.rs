//! Tests of the front of a platform client's connection by itself: order of replies, time-outs, batches.

use bytes::BytesMut;
use heronroute_engine::front::{ClientRequest, Front, RespFront};
use heronroute_smpp::receipt::Answer;

/// The same limit as in the front: a first request, and the rest of a partly received one, must come within
/// this time.
const REQUEST_TIMEOUT: i64 = 2_000_000;
/// The number of requests of a connection that are parsed before the first is answered.
const PARSED_AT_ONCE: usize = 32;

/// Returns an `OUT.ADD` command.
fn out_add_command(id: &str) -> String {
    let args = ["OUT.ADD", "k", id, "c=n,t=a,d=8000,dest=7", "body"];
    let strings: String = args.iter().map(|a| format!("${}\r\n{a}\r\n", a.len())).collect();
    format!("*5\r\n{strings}")
}

/// Passes bytes to a front; returns its replies and its requests to the node.
fn receive(front: &mut RespFront, now: i64, text: &str) -> (String, Vec<ClientRequest>) {
    let (mut output, mut requests) = (BytesMut::new(), Vec::new());
    front.receive(now, now, text.as_bytes(), &mut output, &mut requests);
    (String::from_utf8_lossy(&output).into_owned(), requests)
}

#[test]
fn replies_are_sent_in_the_order_of_the_requests() {
    let mut front = RespFront::new(0);
    assert_eq!(receive(&mut front, 0, "*1\r\n$4\r\nPING\r\n").0, "+PONG\r\n");
    let text =
        format!("{}*1\r\n$4\r\nPING\r\n{}*1\r\n$4\r\nWHAT\r\n", out_add_command("a"), out_add_command("b"));
    let (replies, requests) = receive(&mut front, 1, &text);
    assert_eq!((replies.as_str(), requests.len()), ("", 2), "no reply before the first request is answered");
    let tokens: Vec<u32> = requests
        .iter()
        .map(|a| if let ClientRequest::SubmitForTenant { token, .. } = a { *token } else { 99 })
        .collect();
    let mut output = BytesMut::new();
    assert!(front.answered(tokens[1], "", Answer::Rejected { retry_after: 1_200 }, &mut output));
    assert!(output.is_empty());
    front.accepted(tokens[0], "", &mut output);
    assert_eq!(&output[..], b"+OK\r\n+PONG\r\n-BUSY 2\r\n-ERR unknown command\r\n");
    assert_eq!(front.idle_since(), Some(1));
}

#[test]
fn a_silent_or_incomplete_connection_is_closed_in_time() {
    let closes = |front: &mut RespFront, now| {
        let (mut output, mut requests) = (BytesMut::new(), Vec::new());
        front.tick(now, &mut output, &mut requests);
        requests.contains(&ClientRequest::Over(None))
    };
    let mut front = RespFront::new(0);
    assert!(
        !closes(&mut front, REQUEST_TIMEOUT - 1) && closes(&mut front, REQUEST_TIMEOUT),
        "nothing received"
    );
    let mut front = RespFront::new(0);
    receive(&mut front, 5, "*5\r\n$7\r\nOUT.");
    receive(&mut front, 1_000_000, "ADD");
    assert!(
        !closes(&mut front, REQUEST_TIMEOUT) && closes(&mut front, REQUEST_TIMEOUT + 5),
        "half a command"
    );
    let mut front = RespFront::new(0);
    let (replies, requests) = receive(&mut front, 5, "*1\r\n$60000000\r\nxxxx");
    assert!(replies.starts_with("-ERR") && requests.contains(&ClientRequest::Over(None)));
}

#[test]
fn a_large_batch_is_parsed_in_parts() {
    let mut front = RespFront::new(0);
    let text: String = (0..100).map(|i| out_add_command(&format!("m{i}"))).collect();
    let (_, requests) = receive(&mut front, 0, &text);
    assert!(requests.len() == PARSED_AT_ONCE && !front.listens());
    let mut output = BytesMut::new();
    front.accepted(0, "", &mut output);
    assert_eq!(front.wake(), 0, "parsing continues as soon as one request is answered");
    let mut requests = Vec::new();
    front.tick(1, &mut output, &mut requests);
    assert_eq!(requests.len(), 1);
}

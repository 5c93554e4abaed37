//! A platform client's connection as its front alone sees it: order of answers, time-outs, batches.

use bytes::BytesMut;
use heronroute_engine::front::{ClientRequest, Front, RespFront};
use heronroute_smpp::receipt::Answer;

/// As the front has them: a first request, and the rest of one that has begun, must come within this.
const SILENCE: i64 = 2_000_000;
/// Requests of a connection that are looked at before the first is answered.
const AT_ONCE: usize = 32;

fn add(id: &str) -> String {
    let args = ["OUT.ADD", "k", id, "c=n,t=a,d=8000,dest=7", "body"];
    let strings: String = args.iter().map(|a| format!("${}\r\n{a}\r\n", a.len())).collect();
    format!("*5\r\n{strings}")
}

fn given(f: &mut RespFront, now: i64, text: &str) -> (String, Vec<ClientRequest>) {
    let (mut out, mut asks) = (BytesMut::new(), Vec::new());
    f.receive(now, now, text.as_bytes(), &mut out, &mut asks);
    (String::from_utf8_lossy(&out).into_owned(), asks)
}

#[test]
fn answers_in_the_order_of_the_requests() {
    let mut f = RespFront::new(0);
    assert_eq!(given(&mut f, 0, "*1\r\n$4\r\nPING\r\n").0, "+PONG\r\n");
    let text = format!("{}*1\r\n$4\r\nPING\r\n{}*1\r\n$4\r\nWHAT\r\n", add("a"), add("b"));
    let (said, asks) = given(&mut f, 1, &text);
    assert_eq!((said.as_str(), asks.len()), ("", 2), "nothing before the first is answered");
    let tokens: Vec<u32> = asks
        .iter()
        .map(|a| if let ClientRequest::SubmitForTenant { token, .. } = a { *token } else { 99 })
        .collect();
    let mut out = BytesMut::new();
    assert!(f.answered(tokens[1], "", Answer::Rejected { retry_after: 1_200 }, &mut out));
    assert!(out.is_empty());
    f.accepted(tokens[0], "", &mut out);
    assert_eq!(&out[..], b"+OK\r\n+PONG\r\n-BUSY 2\r\n-ERR unknown command\r\n");
    assert_eq!(f.idle_since(), Some(1));
}

#[test]
fn what_says_nothing_or_half_is_ended_in_time() {
    let ended = |f: &mut RespFront, at| {
        let (mut out, mut asks) = (BytesMut::new(), Vec::new());
        f.tick(at, &mut out, &mut asks);
        asks.contains(&ClientRequest::Over(None))
    };
    let mut f = RespFront::new(0);
    assert!(!ended(&mut f, SILENCE - 1) && ended(&mut f, SILENCE), "nothing said");
    let mut f = RespFront::new(0);
    given(&mut f, 5, "*5\r\n$7\r\nOUT.");
    given(&mut f, 1_000_000, "ADD");
    assert!(!ended(&mut f, SILENCE) && ended(&mut f, SILENCE + 5), "half a command");
    let mut f = RespFront::new(0);
    let (said, asks) = given(&mut f, 5, "*1\r\n$60000000\r\nxxxx");
    assert!(said.starts_with("-ERR") && asks.contains(&ClientRequest::Over(None)));
}

#[test]
fn a_flood_is_looked_at_in_parts() {
    let mut f = RespFront::new(0);
    let text: String = (0..100).map(|i| add(&format!("m{i}"))).collect();
    let (_, asks) = given(&mut f, 0, &text);
    assert!(asks.len() == AT_ONCE && !f.listens());
    let mut out = BytesMut::new();
    f.accepted(0, "", &mut out);
    assert_eq!(f.wake(), 0, "the rest goes on as soon as one is answered");
    let mut asks = Vec::new();
    f.tick(1, &mut out, &mut asks);
    assert_eq!(asks.len(), 1);
}

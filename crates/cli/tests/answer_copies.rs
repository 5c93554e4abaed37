//! Second copies of answers, which arrive after the next call has left on the connection. The real program, an endpoint
//! that holds the copy back until it has read the next call whole.

mod alone;

use alone::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a call runs at the endpoint.
const RUNS_FOR: Duration = Duration::from_millis(180);
/// A refusal that says nothing but that.
const UNAVAILABLE: &str = "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n";
/// A repeat would come within this.
const REPEAT_WITHIN: Duration = Duration::from_millis(2_500);

/// Reads calls from a connection until `count` of them are whole, or for at most a span. Gives their text.
fn calls(stream: &mut TcpStream, count: usize, span: Duration) -> String {
    let end = Instant::now() + span;
    stream.set_read_timeout(Some(5 * MS)).unwrap();
    let (mut text, mut buffer) = (String::new(), [0; 4_096]);
    while text.matches("\r\n\r\nbody").count() < count && Instant::now() < end {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => text.push_str(&String::from_utf8_lossy(&buffer[..n])),
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(_) => break,
        }
    }
    text
}

/// Whether a message is called again, on this connection or on a new one.
fn is_called_again(sender: &Sender, stream: &mut TcpStream, id: &str) -> bool {
    let end = Instant::now() + REPEAT_WITHIN;
    sender.endpoint.set_nonblocking(true).unwrap();
    let mut text = String::new();
    while !text.contains(id) && Instant::now() < end {
        text += &calls(stream, 1, 20 * MS);
        if let Ok((mut other, _)) = sender.endpoint.accept() {
            other.set_nonblocking(false).unwrap();
            text += &calls(&mut other, 1, 500 * MS);
        }
        sleep(5 * MS);
    }
    text.contains(id)
}

/// Guards against a message that may not be repeated and runs twice: a copied refusal, taken for the answer to the call
/// that had just left, freed it.
#[test]
fn a_copied_refusal_behind_the_next_call_does_not_free_its_message() {
    for refusal in [
        "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 429 No\r\nretry-after: 0.2\r\ncontent-length: 0\r\n\r\n",
    ] {
        let sender = start("copied-refusal");
        let mut client = sender.client();
        // The first message may be repeated; it is refused, and its repeat is answered.
        assert_eq!(client.asks(&out_add("first")), "+OK");
        let (mut stream, _) = sender.call();
        stream.write_all(refusal.as_bytes()).unwrap();
        let repeat = calls(&mut stream, 1, Duration::from_secs(4));
        if repeat.is_empty() {
            // No call follows on this connection, so that no copy can be taken for its answer.
            assert!(!is_open(&stream), "neither closed nor used again");
            continue;
        }
        assert!(repeat.contains("X-Call-Id: first\r\n"), "{repeat:?}");
        stream.write_all(OK.as_bytes()).unwrap();
        sleep(20 * MS);
        // The next call on the connection, the copy behind its last octet, then its own answer.
        assert_eq!(client.asks(&out_add_as("second", ONCE)), "+OK");
        let call = calls(&mut stream, 1, Duration::from_secs(2));
        assert!(call.contains("X-Call-Id: second\r\n"), "{call:?}");
        stream.write_all(refusal.as_bytes()).unwrap();
        sleep(RUNS_FOR);
        _ = stream.write_all(OK.as_bytes());
        assert!(
            !is_called_again(&sender, &mut stream, "X-Call-Id: second\r\n"),
            "run twice after {refusal:?}"
        );
    }
}

/// Guards against a message that is lost: a copied 200 was taken for the answer to a call that is then turned away.
#[test]
fn a_copied_200_behind_the_next_call_does_not_end_its_message() {
    let sender = start("copied-200");
    let mut client = sender.client();
    assert_eq!(client.asks(&out_add("first")), "+OK");
    let (mut stream, _) = sender.call();
    stream.write_all(OK.as_bytes()).unwrap();
    sleep(20 * MS);
    assert_eq!(client.asks(&out_add("second")), "+OK");
    let call = calls(&mut stream, 1, Duration::from_secs(2));
    assert!(call.contains("X-Call-Id: second\r\n"), "{call:?}");
    stream.write_all(OK.as_bytes()).unwrap();
    sleep(RUNS_FOR);
    _ = stream.write_all(b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n");
    assert!(
        is_called_again(&sender, &mut stream, "X-Call-Id: second\r\n"),
        "neither delivered nor called again"
    );
}

/// Longer than any timer of the program.
const RUNS_LONG: Duration = Duration::from_millis(4_000);

/// Whether the program has neither closed a connection nor ended its sending on it.
fn is_open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    match peeked {
        Ok(octets) => octets > 0,
        Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}

/// Watches for a further call with a message while its earlier call is out on a connection. Gives the time after which it
/// came.
fn called_while_out(sender: &Sender, out: &TcpStream, id: &str, span: Duration) -> Option<Duration> {
    let began = Instant::now();
    let mut others: Vec<(TcpStream, String)> = Vec::new();
    sender.endpoint.set_nonblocking(true).unwrap();
    while began.elapsed() < span {
        if let Ok((other, _)) = sender.endpoint.accept() {
            other.set_nonblocking(true).unwrap();
            others.push((other, String::new()));
        }
        for (other, text) in &mut others {
            let mut buffer = [0; 4_096];
            if let Ok(n @ 1..) = other.read(&mut buffer) {
                text.push_str(&String::from_utf8_lossy(&buffer[..n]));
            }
        }
        if others.iter().any(|(_, text)| text.contains(id)) {
            return is_open(out).then(|| began.elapsed());
        }
        sleep(MS);
    }
    None
}

/// Guards against two attempts that are out at once: a copied refusal frees a message whose own call runs for long.
#[test]
fn a_copied_refusal_frees_no_message_whose_call_is_still_out() {
    let mut out_twice = Vec::new();
    for pairs in [SAFE, "c=keyed,t=t,d=8000,k=abc,dest=1", ONCE] {
        let sender = start("copied-refusal-long");
        let mut client = sender.client();
        assert_eq!(client.asks(&out_add("first")), "+OK");
        let (mut stream, _) = sender.call();
        stream.write_all(UNAVAILABLE.as_bytes()).unwrap();
        let repeat = calls(&mut stream, 1, Duration::from_secs(4));
        if repeat.is_empty() {
            // No call follows on this connection, so that no copy can be taken for its answer.
            assert!(!is_open(&stream), "neither closed nor used again");
            continue;
        }
        assert!(repeat.contains("X-Call-Id: first\r\n"), "{repeat:?}");
        stream.write_all(OK.as_bytes()).unwrap();
        sleep(20 * MS);
        assert_eq!(client.asks(&out_add_as("second", pairs)), "+OK");
        let call = calls(&mut stream, 1, Duration::from_secs(2));
        // Where the program uses another connection, no copy can come before its answer.
        if call.contains("X-Call-Id: second\r\n") {
            stream.write_all(UNAVAILABLE.as_bytes()).unwrap();
            let again = called_while_out(&sender, &stream, "second", RUNS_LONG);
            out_twice.extend(again.map(|after| (pairs, after)));
        }
    }
    assert!(out_twice.is_empty(), "two out at once: {out_twice:?}");
}

/// Guards against two attempts that are out at once: a copied answer of a single call, read as that of a call with
/// several messages, frees all of them.
#[test]
fn a_copied_answer_frees_no_message_of_a_shared_call_that_is_still_out() {
    let mut sender = set_up("copied-answer-shared", 128, 50_000);
    let file = sender.folder.join("config.json");
    let config =
        std::fs::read_to_string(&file).unwrap().replace("\"BatchByKind\":[1]", "\"BatchByKind\":[10]");
    std::fs::write(&file, config).unwrap();
    sender.start_again();
    let mut client = sender.client();
    assert_eq!(client.asks(&out_add("first")), "+OK");
    let (mut stream, _) = sender.call();
    stream.write_all(OK.as_bytes()).unwrap();
    sleep(60 * MS);
    client.write(&(out_add("second") + &out_add("third")));
    assert_eq!((client.line().as_str(), client.line().as_str()), ("+OK", "+OK"));
    let mut call = [0; 4_096];
    stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    let length = stream.read(&mut call).unwrap();
    let call = String::from_utf8_lossy(&call[..length]);
    assert!(call.contains("second") && call.contains("third"), "{call}");
    stream.write_all(OK.as_bytes()).unwrap();
    assert_eq!(called_while_out(&sender, &stream, "second", RUNS_LONG), None, "two out at once");
}

/// A message is over for the endpoint.
const GONE: &str = "HTTP/1.1 410 No\r\ncontent-length: 0\r\n\r\n";

/// Guards against a message that an endpoint answered 410, on a connection on which an earlier answer came twice, and that
/// is called again.
#[test]
fn a_message_that_was_answered_410_on_a_used_connection_is_not_called_again() {
    for pairs in [SAFE, "c=keyed,t=t,d=8000,k=abc,dest=1", ONCE] {
        let sender = start("answered-410");
        let mut client = sender.client();
        assert_eq!(client.asks(&out_add("first")), "+OK");
        let (mut stream, _) = sender.call();
        stream.write_all(OK.as_bytes()).unwrap();
        for (id, pairs, answer) in [("second", SAFE, OK), ("third", pairs, GONE)] {
            sleep(20 * MS);
            assert_eq!(client.asks(&out_add_as(id, pairs)), "+OK");
            let call = calls(&mut stream, 1, Duration::from_secs(2));
            assert!(call.contains(&format!("X-Call-Id: {id}\r\n")), "{call:?}");
            stream.write_all(answer.as_bytes()).unwrap();
        }
        assert!(!is_called_again(&sender, &mut stream, "X-Call-Id: third\r\n"), "{pairs}: sent again");
    }
}

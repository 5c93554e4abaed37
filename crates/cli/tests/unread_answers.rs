//! Answers that arrive while the process is stopped: for longer than it waits for them, or before it sends a call.

mod alone;

use alone::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the process stays stopped after its call has timed out.
const STOPPED_LONGER: Duration = Duration::from_millis(50);
/// Half of a message's time.
const HALF_OF_THE_TIME: Duration = Duration::from_millis(4_000);
/// A further attempt would come within this.
const REPEAT_WITHIN: Duration = Duration::from_millis(2_500);

/// Calls before the one that counts, from whose answers the process learns how long to wait.
const EARLIER_CALLS: usize = 40;

/// How long the process waits for the answer to a call.
fn budget(call: &str) -> Duration {
    let text = call.split("X-Budget-Ms: ").nth(1).and_then(|text| text.split("\r\n").next());
    Duration::from_millis(text.unwrap().parse().unwrap())
}

/// Reads the next call on a connection.
fn next_call(stream: &mut TcpStream) -> String {
    let (mut text, mut buffer) = (String::new(), [0; 4_096]);
    while !text.ends_with("\r\n\r\nbody") {
        match stream.read(&mut buffer) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Ok(length @ 1..) => text.push_str(&String::from_utf8_lossy(&buffer[..length])),
            other => panic!("{other:?}, after {text:?}"),
        }
    }
    text
}

/// Answers some calls. Returns the connection, on which the call of a message `m` has come, and that call.
fn called_after_others(sender: &Sender, client: &mut Client) -> (TcpStream, String) {
    assert_eq!(client.asks(&out_add("first")), "+OK");
    let (mut stream, _) = sender.call();
    for count in 0..EARLIER_CALLS {
        // Each answer is another one, so that none is taken for a copy.
        stream
            .write_all(format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n{count:04}").as_bytes())
            .unwrap();
        assert_eq!(client.asks(&out_add(&format!("next-{count}"))), "+OK");
        next_call(&mut stream);
    }
    stream.write_all(OK.as_bytes()).unwrap();
    assert_eq!(client.asks(&out_add("m")), "+OK");
    let call = next_call(&mut stream);
    (stream, call)
}

/// Whether a message is called again, where an answer comes while the process is stopped.
fn is_called_again(answer: &str) -> bool {
    let status = &answer["HTTP/1.1 ".len()..][..3];
    let sender = start(&format!("unread-answer-{status}"));
    let mut client = sender.client();
    let (mut stream, call) = called_after_others(&sender, &mut client);
    let wait = budget(&call);
    assert!(wait < HALF_OF_THE_TIME, "no time is left for a further attempt: {wait:?}");
    assert!(sender.hold());
    stream.write_all(answer.as_bytes()).unwrap();
    sleep(wait + STOPPED_LONGER);
    sender.go_on();
    sender.is_called(REPEAT_WITHIN)
}

/// Guards against timers that run before what has come is read: the call was given up beside its answer.
#[test]
fn an_answer_that_came_before_the_call_is_given_up_counts() {
    let answers = [
        OK,
        "HTTP/1.1 410 No\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 504 No\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 429 No\r\nretry-after: 20\r\ncontent-length: 0\r\n\r\n",
    ];
    let again: Vec<&str> = std::thread::scope(|threads| {
        let plays = answers.map(|answer| (answer, threads.spawn(move || is_called_again(answer))));
        let again = plays.into_iter().filter_map(|(answer, play)| play.join().unwrap().then_some(answer));
        again.collect()
    });
    assert!(again.is_empty(), "sent again behind {again:?}");
}

/// How long the process is stopped: longer than the time within which calls are let through after a wait was told.
const STOPPED_FOR: Duration = Duration::from_millis(200);
/// What was decided before a stop is sent within this after it.
const SENT_WITHIN: Duration = Duration::from_millis(300);
const TRIES: u32 = 60;
/// Processes at once.
const AT_ONCE: u32 = 4;
/// The moments of the stop, behind a request, are so far apart.
const MOMENT: Duration = Duration::from_micros(40);

/// Whether a message is called within a wait that was told while the process was stopped, soon after it got the message.
fn ignores_a_wait(number: u32) -> bool {
    let sender = start(&format!("stopped-{number}"));
    let mut client = sender.client();
    assert_eq!(client.asks(&out_add("first")), "+OK");
    let (mut stream, _) = sender.call();
    client.write(&out_add("second"));
    sleep(number % 30 * MOMENT);
    assert!(sender.hold());
    if sender.is_called(MS) {
        return false;
    }
    stream.write_all(b"HTTP/1.1 429 No\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n").unwrap();
    sleep(STOPPED_FOR);
    sender.go_on();
    is_sent_a_call(&sender, SENT_WITHIN)
}

/// Whether bytes of a call come within a span. A connection alone is none.
fn is_sent_a_call(sender: &Sender, span: Duration) -> bool {
    let end = Instant::now() + span;
    let mut streams: Vec<TcpStream> = Vec::new();
    sender.endpoint.set_nonblocking(true).unwrap();
    while Instant::now() < end {
        if let Ok((stream, _)) = sender.endpoint.accept() {
            stream.set_nonblocking(true).unwrap();
            streams.push(stream);
        }
        if streams.iter().any(|stream| stream.peek(&mut [0]).is_ok_and(|length| length > 0)) {
            return true;
        }
        sleep(MS);
    }
    false
}

/// Guards against a call that leaves within a wait because it was decided before the process was held up.
#[test]
fn a_call_that_was_decided_before_a_stop_heeds_a_wait_that_is_told_meanwhile() {
    let ignored: u32 = std::thread::scope(|threads| {
        let play =
            |first: u32| (first..TRIES).step_by(AT_ONCE as usize).filter(|n| ignores_a_wait(*n)).count();
        let all: Vec<_> = (0..AT_ONCE).map(|first| threads.spawn(move || play(first) as u32)).collect();
        all.into_iter().map(|thread| thread.join().unwrap()).sum()
    });
    assert_eq!(ignored, 0, "of {TRIES} stops");
}

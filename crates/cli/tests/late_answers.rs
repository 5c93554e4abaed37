//! The real program and answers that come late, behind copies of earlier ones: an end that they tell is kept, a wait binds.

mod alone;

use alone::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longer than an answer in doubt waits for what follows it.
const LATE: Duration = Duration::from_millis(600);
const WAIT: Duration = Duration::from_millis(1_500);
const LIMITED: &str = "HTTP/1.1 429 No\r\nretry-after: 1.5\r\ncontent-length: 0\r\n\r\n";
const GONE: &str = "HTTP/1.1 410 No\r\ncontent-length: 0\r\n\r\n";
/// Calls that come so soon after a wait was told are let through.
const WAIT_GRACE: Duration = Duration::from_millis(100);

/// How a late answer comes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// In one write with the copies before it.
    AtOnce,
    /// Late, while no call is out.
    Idle,
    /// Late, while the next call is out on the connection.
    BehindNextCall,
}

const MOMENTS: [Moment; 3] = [Moment::AtOnce, Moment::Idle, Moment::BehindNextCall];

fn write(stream: &mut TcpStream, text: &str) {
    _ = stream.write_all(text.as_bytes());
}

/// Whether the sender has closed a connection.
fn is_closed(stream: &TcpStream) -> bool {
    sleep(20 * MS);
    stream.set_nonblocking(true).unwrap();
    let is_closed = !stream.peek(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    stream.set_nonblocking(false).unwrap();
    is_closed
}

/// The id of the next call on a connection, if one comes in time.
fn next_call(stream: &mut TcpStream, span: Duration) -> Option<String> {
    stream.set_read_timeout(Some(span)).unwrap();
    let mut buffer = [0; 4_096];
    let length = std::io::Read::read(stream, &mut buffer).ok().filter(|length| *length > 0)?;
    let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
    let id = text.split("X-Call-Id: ").nth(1)?.split("\r\n").next()?;
    Some(id.to_string())
}

/// A sender whose call m1 was answered and whose call m2 has got as many copies of that answer, with the connection.
fn behind_copies(
    name: &str,
    pairs: &str,
    copies: usize,
    moment: Moment,
    late: &str,
) -> (Sender, Client, TcpStream) {
    let sender = start(name);
    let mut client = sender.client();
    assert_eq!(client.asks(&out_add_as("m1", pairs)), "+OK");
    let (mut call, _) = sender.call();
    write(&mut call, OK);
    sleep(50 * MS);
    assert_eq!(client.asks(&out_add_as("m2", pairs)), "+OK");
    assert_eq!(next_call(&mut call, Duration::from_secs(2)).as_deref(), Some("m2"));
    let text = OK.repeat(copies);
    match moment {
        Moment::AtOnce => write(&mut call, &(text + late)),
        Moment::Idle => {
            write(&mut call, &text);
            sleep(LATE);
            write(&mut call, late);
        }
        Moment::BehindNextCall => {
            write(&mut call, &text);
            sleep(LATE);
            assert_eq!(client.asks(&out_add_as("m3", pairs)), "+OK");
            sleep(50 * MS);
            write(&mut call, late);
        }
    }
    (sender, client, call)
}

/// Plays each number of copies at each moment, all at once.
fn play_all(play: impl Fn(usize, Moment) + Sync) {
    let play = &play;
    std::thread::scope(|threads| {
        for copies in [1, 2] {
            MOMENTS.iter().for_each(|moment| _ = threads.spawn(move || play(copies, *moment)));
        }
    });
}

/// Guards against calls within a wait that is told late, behind copies of another answer.
#[test]
fn a_wait_that_is_told_late_behind_copies_binds() {
    play_all(|copies, moment| {
        let name = format!("late-wait-{copies}-{moment:?}");
        let (sender, mut client, call) = behind_copies(&name, SAFE, copies, moment, LIMITED);
        if is_closed(&call) {
            // The sender had given up the call before the wait was told.
            return;
        }
        let told = Instant::now();
        sleep(WAIT_GRACE);
        while sender.is_called(Duration::ZERO) {}
        let said = client.asks(&out_add("m4"));
        assert!(said == "+OK" || said.starts_with("-BUSY"), "{name}: {said}");
        let left = WAIT.saturating_sub(told.elapsed() + WAIT_GRACE);
        assert!(!sender.is_called(left), "{name}: called {:?} into the wait", told.elapsed());
    });
}

/// Guards against a message that is called again though its own 410 came, late and behind copies of another answer.
#[test]
fn a_late_410_behind_copies_ends_its_message() {
    play_all(|copies, moment| {
        let name = format!("late-410-{copies}-{moment:?}");
        let (sender, _client, mut call) = behind_copies(&name, SAFE, copies, moment, GONE);
        let on_same = next_call(&mut call, 500 * MS);
        assert_ne!(on_same.as_deref(), Some("m2"), "{name}");
        sleep(Duration::from_millis(1_000));
        let calls = sender.calls_till_now();
        assert!(!calls.contains("X-Call-Id: m2\r\n"), "{name}: called again: {calls}");
    });
}

const FULL: &str = "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n";

/// A sender whose calls m2 and m3 have got a copy of m1's answer and a 503, which may be m2's own, with the connection.
fn behind_two_answers(name: &str) -> (Sender, Client, TcpStream) {
    let (sender, mut client, mut call) = behind_copies(name, SAFE, 1, Moment::AtOnce, "");
    sleep(50 * MS);
    assert_eq!(client.asks(&out_add("m3")), "+OK");
    assert_eq!(next_call(&mut call, Duration::from_secs(2)).as_deref(), Some("m3"));
    write(&mut call, FULL);
    sleep(50 * MS);
    (sender, client, call)
}

/// Guards against a message that is called again though the first line of its 410 had come, behind two answers that may be
/// others' calls.
#[test]
fn a_slow_410_behind_two_answers_ends_its_message() {
    for first_part in [10, 17, 30] {
        let (sender, _client, mut call) = behind_two_answers(&format!("slow-410-{first_part}"));
        write(&mut call, &GONE[..first_part]);
        sleep(LATE);
        write(&mut call, &GONE[first_part..]);
        sleep(Duration::from_millis(1_000));
        let calls = sender.calls_till_now();
        assert!(
            !calls.contains("X-Call-Id: m"),
            "{first_part} bytes of its 410 had come: called again: {calls}"
        );
    }
}

/// Guards against calls within a wait whose answer had begun behind two others and came to its end late.
#[test]
fn a_wait_that_is_told_slowly_behind_two_answers_binds() {
    for first_part in [17, 30] {
        let (sender, mut client, mut call) = behind_two_answers(&format!("slow-wait-{first_part}"));
        write(&mut call, &LIMITED[..first_part]);
        sleep(LATE);
        assert!(!is_closed(&call), "the connection is kept until the answer has come");
        write(&mut call, &LIMITED[first_part..]);
        let told = Instant::now();
        sleep(WAIT_GRACE);
        while sender.is_called(Duration::ZERO) {}
        let said = client.asks(&out_add("m4"));
        assert!(said == "+OK" || said.starts_with("-BUSY"), "{said}");
        let left = WAIT.saturating_sub(told.elapsed() + WAIT_GRACE);
        assert!(!sender.is_called(left), "called {:?} into the wait", told.elapsed());
    }
}

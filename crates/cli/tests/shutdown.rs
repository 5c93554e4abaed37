//! The real program told to end, with bytes, calls and signals that come at the worst moment. Moments are forced: the
//! process is held (SIGSTOP) while they come, or the test waits for what tells of them.

mod alone;

use alone::*;
use std::net::TcpStream;
use std::process::Command;
use std::time::Instant;

/// From SIGTERM until nothing more is taken on, in milliseconds.
const GOES_ON: u32 = 2_900;

fn sleep_until(start: Instant, ms: u32) {
    std::thread::sleep((start + ms * MS).saturating_duration_since(Instant::now()));
}

#[test]
fn a_request_that_was_read_and_waits_for_its_round_is_answered() {
    forced(waiting_for_its_round);
}

fn waiting_for_its_round() -> bool {
    // So long between rounds that the sender stops between the third and the fourth: each request here sees the next round.
    let mut sender = start_at("waits-for-round", 256, 128, 1_200_000);
    let (mut first, mut late) = (sender.client(), sender.client());
    assert_eq!((first.asks(&out_add("a0")).as_str(), late.asks(PING).as_str()), ("+OK", "+PONG"));
    sender.signal("-TERM");
    let start = Instant::now();
    let third = first.asks(&out_add("a1")) == "+OK" && first.asks(&out_add("a2")) == "+OK";
    if !third {
        return false;
    }
    late.write(&(out_add("m1") + &out_add("m2")));
    // Time to be read as well.
    if start.elapsed() > (GOES_ON - 200) * MS {
        return false;
    }
    let (said, end) = late.until_end();
    assert_eq!((said.matches("-BUSY").count(), said.lines().count(), end), (2, 2, End::Closed), "{said:?}");
    assert_eq!(first.until_end(), (String::new(), End::Closed));
    assert_eq!(sender.ended().code(), Some(0));
    let calls = sender.calls_so_far();
    assert!(calls.contains("X-Call-Id: a0\r\n") && !calls.contains("X-Call-Id: m"), "{calls}");
    true
}

#[test]
fn requests_that_come_in_the_moment_in_which_it_stops_see_no_reset() {
    forced(coming_as_it_stops);
}

fn coming_as_it_stops() -> bool {
    let mut sender = start("stops");
    let mut clients: Vec<Client> = (0..8).map(|_| sender.client()).collect();
    clients.iter_mut().for_each(|c| assert_eq!(c.asks(PING), "+PONG"));
    let start = Instant::now();
    sender.signal("-TERM");
    sleep_until(start, GOES_ON - 500);
    if !sender.hold() || start.elapsed() >= GOES_ON * MS {
        return false;
    }
    for (i, c) in clients.iter_mut().enumerate() {
        c.write(&out_add(&format!("m{i}")));
    }
    sleep_until(start, GOES_ON + 50);
    sender.go_on();
    for (i, c) in clients.iter_mut().enumerate() {
        let (said, end) = c.until_end();
        // Read and refused, or not read: then it comes again elsewhere.
        assert!(said.is_empty() || said.starts_with("-BUSY") && said.lines().count() == 1, "{i}: {said:?}");
        assert_eq!(end, End::Closed, "client {i} after {said:?}");
    }
    assert_eq!(sender.ended().code(), Some(0));
    assert!(!sender.is_called(50 * MS), "nothing is sent on");
    true
}

#[test]
fn resting_clients_see_a_clean_end_and_the_process_ends_in_time_though_they_hold_on() {
    let mut sender = start("clean-end");
    let mut clients: Vec<Client> = (0..40).map(|_| sender.client()).collect();
    clients.iter_mut().for_each(|c| assert_eq!(c.asks(PING), "+PONG"));
    sender.signal("-TERM");
    assert_eq!(clients[0].until_end(), (String::new(), End::Closed));
    // What is written now is read by nobody who could answer it, and is not sent on.
    for (i, c) in clients.iter_mut().enumerate() {
        assert_eq!(c.until_end(), (String::new(), End::Closed), "client {i}");
        c.write(&out_add(&format!("m{i}")));
    }
    assert!(TcpStream::connect(sender.listen).is_err(), "new ones are not taken");
    // They hold on: that it ends is its own doing. By when stands in the engine's `client_orders`, on a clock of its own.
    assert_eq!(sender.ended().code(), Some(0));
    assert!(!sender.is_called(50 * MS));
}

#[test]
fn half_a_request_may_come_whole_and_is_refused() {
    forced(half_as_it_stops);
}

fn half_as_it_stops() -> bool {
    let mut sender = start("half");
    let (mut rests, mut half, mut never) = (sender.client(), sender.client(), sender.client());
    for c in [&mut rests, &mut half, &mut never] {
        assert_eq!(c.asks(PING), "+PONG");
    }
    let start = Instant::now();
    sender.signal("-TERM");
    sleep_until(start, GOES_ON - 500);
    let request = out_add("m1");
    half.write(&request[..30]);
    never.write(&request[..30]);
    if start.elapsed() > (GOES_ON - 200) * MS {
        return false;
    }
    // Its end tells that the sender has stopped.
    assert_eq!(rests.until_end().1, End::Closed);
    assert!(half.asks(&request[30..]).starts_with("-BUSY"));
    assert_eq!(half.until_end(), (String::new(), End::Closed));
    let (said, end) = never.until_end();
    assert!(said.starts_with("-BUSY") && end == End::Closed, "{said:?}");
    assert_eq!(sender.ended().code(), Some(0));
    true
}

#[test]
fn the_last_answer_is_written_down_before_the_process_ends() {
    forced(answered_last);
}

fn answered_last() -> bool {
    let mut sender = start("last-answer");
    let mut client = sender.client();
    assert_eq!(client.asks(PING), "+PONG");
    sender.signal("-TERM");
    std::thread::sleep((GOES_ON - 500) * MS);
    if client.asks(&out_add("m1")) != "+OK" {
        return false;
    }
    let (mut call, text) = sender.call();
    assert!(text.contains("X-Call-Id: m1\r\n"), "{text}");
    assert_eq!(client.until_end().1, End::Closed);
    std::io::Write::write_all(&mut call, b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
    assert_eq!(sender.ended().code(), Some(0));
    sender.start_again();
    assert!(!sender.is_called(1_000 * MS), "it was delivered");
    true
}

#[test]
fn signals_together_and_twice_end_it_once_and_in_time() {
    let mut sender = start("signals");
    let mut client = sender.client();
    assert_eq!(client.asks(PING), "+PONG");
    assert!(sender.hold());
    sender.signal("-HUP");
    sender.signal("-TERM");
    sender.signal("-TERM");
    let start = Instant::now();
    sender.go_on();
    sleep_until(start, 1_000);
    assert_eq!(client.asks(&out_add("m1")), "+OK", "it goes on for a while");
    sender.signal("-TERM");
    assert_eq!(sender.ended().code(), Some(0));
    assert!(start.elapsed() > (GOES_ON - 100) * MS, "{:?}", start.elapsed());
}

#[test]
fn told_to_end_during_its_start_it_ends_in_good_order() {
    let mut sender = set_up("at-start", 128, 1_000);
    let config = sender.folder.join("config.json");
    let text = std::fs::read(&config).unwrap();
    std::fs::remove_file(&config).unwrap();
    // Its configuration comes when the test gives it: until then it stands in the midst of its start.
    assert!(Command::new("mkfifo").arg(&config).status().unwrap().success());
    sender.child = spawn(&sender.folder, 256);
    let status = format!("/proc/{}/status", sender.child.id());
    until("signals are taken", || {
        let text = std::fs::read_to_string(&status).unwrap_or_default();
        let caught = text.lines().find_map(|l| l.strip_prefix("SigCgt:")).unwrap_or("0");
        // SIGTERM is number 15; the shell before `exec` takes none.
        u64::from_str_radix(caught.trim(), 16).unwrap() & 1 << 14 != 0
    });
    sender.signal("-TERM");
    std::fs::write(&config, text).unwrap();
    assert_eq!(sender.ended().code(), Some(0));
}

#[test]
fn killed_right_behind_its_answer_it_has_what_it_took_on() {
    let mut sender = start("behind-ok");
    for i in 0..8 {
        let mut client = sender.client();
        assert_eq!(client.asks(&out_add(&format!("m{i}"))), "+OK");
        sender.child.kill().unwrap();
        sender.child.wait().unwrap();
        // Calls of before have nobody behind them.
        while sender.is_called(50 * MS) {}
        sender.start_again();
        let mut came = String::new();
        while !came.contains(&format!("X-Call-Id: m{i}\r\n")) {
            let (mut call, text) = sender.call();
            came.push_str(&text);
            std::io::Write::write_all(&mut call, b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
        }
    }
}

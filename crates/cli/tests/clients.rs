//! The real program between clients that split, pipeline, flood, go early and hold on. Moments are forced: the process is
//! held (SIGSTOP) while bytes and connections come, so that they are in one turn of it.

mod alone;

use alone::*;
use std::time::{Duration, Instant};

#[test]
fn an_answer_outlives_the_end_that_follows_it_though_more_was_sent() {
    let sender = start("outlives");
    let mut client = sender.client();
    // Taken on, then what can't be read, then more than it reads in a turn.
    client.write(&(out_add("m1") + "*1\r\n$60000000\r\n" + &"x".repeat(150_000)));
    let (said, end) = client.until_end();
    assert!(said.starts_with("+OK\r\n-ERR") && end == End::Closed, "{end:?} after {said:?}");
}

#[test]
fn a_request_that_crosses_the_end_of_its_connection_sees_no_reset() {
    const MOST: usize = 19; // 0.6 of 32
    let sender = start_with("crosses", 256, 32);
    let mut clients: Vec<Client> = (0..MOST).map(|_| sender.client()).collect();
    clients.iter_mut().for_each(|c| assert_eq!(c.asks(PING), "+PONG"));
    assert!(sender.hold());
    clients[0].write(&out_add("m1"));
    let mut new = sender.client();
    new.write(PING);
    sender.go_on();
    assert_eq!(new.line(), "+PONG");
    assert_eq!(clients[0].until_end(), (String::new(), End::Closed), "not read: it may come again elsewhere");
    assert_eq!(new.asks(&out_add("m1")), "+OK", "and does so here");
    let (_call, text) = sender.call();
    assert!(text.contains("X-Call-Id: m1\r\n"));
    assert!(!sender.is_called(100 * MS), "once");
}

#[test]
fn those_that_hold_on_after_their_end_leave_room_for_others() {
    let sender = start_with("hold-on", 64, 40);
    // Each of them rests, sees its end sooner or later, and never ends its own side.
    let mut clients: Vec<Client> = Vec::new();
    for i in 0..200 {
        let mut client = sender.client();
        assert_eq!(client.asks(PING), "+PONG", "client {i}");
        clients.push(client);
    }
    // Listener, epoll, waker, pipes, journal, discovery, and 24 clients.
    assert!(sender.descriptors(64) <= 40, "{}", sender.descriptors(64));
}

#[test]
fn an_octet_at_a_time_is_a_request_as_any_other() {
    let sender = start("octets");
    let mut client = sender.client();
    for octet in out_add("m1").chars() {
        client.write(&octet.to_string());
    }
    assert_eq!(client.line(), "+OK");
}

#[test]
fn many_commands_at_once_are_answered_in_their_order() {
    let sender = start("pipeline");
    let mut client = sender.client();
    let one = |i: usize| format!("{PING}{}*1\r\n$4\r\nWHAT\r\n", out_add(&format!("m{i}")));
    let start = Instant::now();
    client.write(&(0..80).map(one).collect::<String>());
    for i in 0..80 {
        assert_eq!(client.line(), "+PONG", "{i}");
        let said = client.line();
        assert!(said == "+OK" || said.starts_with("-BUSY"), "{i}: {said}");
        assert_eq!(client.line(), "-ERR unknown command", "{i}");
    }
    assert!(client.waits());
    // Each batch waited for 2 s where none is looked at before a time-out.
    assert!(start.elapsed() < 1_500 * MS, "{:?}", start.elapsed());
}

#[test]
fn one_that_floods_and_does_not_read_holds_up_no_other() {
    let sender = start("flood");
    let mut floods = sender.client();
    floods.stream.set_write_timeout(Some(500 * MS)).unwrap();
    let flood = PING.repeat(2_000);
    // Until it blocks: the sender reads no more of it.
    let mut rounds = 0;
    while std::io::Write::write_all(&mut floods.stream, flood.as_bytes()).is_ok() {
        rounds += 1;
        assert!(rounds < 10_000, "it is read without end");
    }
    let mut other = sender.client();
    other.stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    assert_eq!(other.asks(PING), "+PONG");
    drop(floods);
    assert_eq!(other.asks(PING), "+PONG");
}

#[test]
fn those_that_never_read_their_answers_keep_no_descriptor() {
    let sender = start("never-reads");
    let mut floods: Vec<Client> = (0..3).map(|_| sender.client()).collect();
    for flood in &mut floods {
        flood.stream.set_write_timeout(Some(200 * MS)).unwrap();
        while std::io::Write::write_all(&mut flood.stream, PING.repeat(2_000).as_bytes()).is_ok() {}
    }
    // Each is idle for 2 or 8 s, and its answers are held out to it for 5 s.
    let start = Instant::now();
    while sender.connections() > 0 {
        assert!(start.elapsed() < 20_000 * MS, "{} are kept for good", sender.connections());
        std::thread::sleep(50 * MS);
    }
}

#[test]
fn those_that_send_much_and_go_leave_nothing() {
    let sender = start("leave");
    assert!(sender.hold());
    for n in 0..10 {
        let mut client = sender.client();
        client.write(&(0..30).map(|i| out_add(&format!("m{n}-{i}"))).collect::<String>());
    }
    sender.go_on();
    let mut other = sender.client();
    assert_eq!(other.asks(PING), "+PONG");
    // A client that ends its side has gone: what it handed in and has not heard of is nobody's.
    assert!(!sender.is_called(300 * MS));
    assert_eq!(other.asks(&out_add("m")), "+OK");
}

#[test]
fn one_that_ends_its_side_right_behind_its_request_has_given_up() {
    // The protocol's clients give up by closing, which looks the same: nothing is sent that nobody waits for.
    let sender = start("half-closed");
    assert!(sender.hold());
    let mut client = sender.client();
    client.write(&out_add("m1"));
    client.end_side();
    sender.go_on();
    assert_eq!(client.until_end(), (String::new(), End::Closed));
    assert!(!sender.is_called(200 * MS));
}

#[test]
fn one_that_comes_again_under_an_id_that_is_open_hears_so() {
    let sender = start("again");
    let mut client = sender.client();
    assert_eq!(client.asks(&out_add("m1")), "+OK");
    drop(client);
    let mut again = sender.client();
    assert_eq!(again.asks(&out_add("m1")), "-ERR the id is open already");
    let _call = sender.call();
    assert!(!sender.is_called(200 * MS), "one call");
}

#[test]
fn one_that_waits_for_a_descriptor_is_taken_once_one_is_free_though_nobody_knocks() {
    const LIMIT: usize = 32;
    let sender = start_with("waits", LIMIT, 1_000);
    // In the midst of a command, none makes way for another.
    let mut clients = Vec::new();
    for _ in 0..LIMIT {
        let mut client = sender.client();
        client.write(&PING[..6]);
        clients.push(client);
    }
    until("no descriptor is left", || sender.descriptors(LIMIT) == LIMIT);
    let mut waits = sender.client();
    waits.write(PING);
    std::thread::sleep(200 * MS);
    assert!(waits.waits(), "there is none for it");
    drop(clients);
    assert_eq!(waits.line(), "+PONG");
}

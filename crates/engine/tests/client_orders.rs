//! Plays every order of two events in each state of a client's connection. Guards against a request that was
//! read whole and gets no reply or two replies, or is accepted after the sender stopped accepting messages.

mod sender;

use bytes::BytesMut;
use heronroute_engine::front::{ClientRequest, Front, RespFront};
use heronroute_engine::{CloseReason, ConnId};
use sender::*;

/// The time from SIGTERM to the freeze, from which no message is accepted.
const LEAVE_TO_FREEZE: i64 = 2_900 * MS;
/// Longer than the time for which a connection without a request is kept.
const BEYOND_IDLE_TIMEOUT: i64 = 8_100 * MS;

/// The state of the client's connection when the first event happens.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    New,
    PartOfRequest,
    Submitted,
    Pipelined,
    Idle,
    IdleThenPart,
}

const STATES: [State; 6] =
    [State::New, State::PartOfRequest, State::Submitted, State::Pipelined, State::Idle, State::IdleThenPart];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// The rest of a partly received request is received, or else a whole one.
    Whole,
    /// Half of what is missing of a request is received.
    Part,
    /// The same as `Whole`, and then another whole request.
    Two,
    /// The node runs its next round and sends the replies that are due.
    Round,
    /// The client closes its side.
    End,
    Reset,
    Freeze,
    SecondLeave,
    IdleTimeOut,
    CloseIdlest,
}

const EVENTS: [Event; 10] = [
    Event::Whole,
    Event::Part,
    Event::Two,
    Event::Round,
    Event::End,
    Event::Reset,
    Event::Freeze,
    Event::SecondLeave,
    Event::IdleTimeOut,
    Event::CloseIdlest,
];

struct Scenario {
    harness: Harness,
    conn: ConnId,
    /// The missing rest of a partly received request.
    missing_rest: String,
    requests: usize,
    /// Whole requests that were read, and those of them read before the freeze.
    read: usize,
    read_in_time: usize,
    client_closed: bool,
    freeze_at: Option<i64>,
}

impl Scenario {
    fn new(state: State, is_leaving: bool) -> Self {
        let mut harness = new_harness();
        let freeze_at = is_leaving.then(|| harness.now + LEAVE_TO_FREEZE);
        if is_leaving {
            harness.node.leave(harness.now);
            harness.advance(LEAVE_TO_FREEZE - 100 * MS);
        }
        let conn = harness.connect_client();
        let mut scenario = Scenario {
            harness,
            conn,
            missing_rest: String::new(),
            requests: 0,
            read: 0,
            read_in_time: 0,
            client_closed: false,
            freeze_at,
        };
        scenario.harness.advance(10 * MS);
        match state {
            State::New => {}
            State::PartOfRequest => scenario.receive_part(),
            State::Submitted => scenario.receive_whole(),
            State::Pipelined => {
                scenario.receive_whole();
                scenario.receive_whole();
                scenario.receive_part();
            }
            State::Idle => {
                scenario.receive_whole();
                scenario.harness.advance(20 * MS);
            }
            State::IdleThenPart => {
                scenario.receive_whole();
                scenario.harness.advance(20 * MS);
                scenario.receive_part();
            }
        }
        scenario
    }

    /// Returns whether the node no longer reads from the connection.
    fn no_longer_read(&self) -> bool {
        self.client_closed
            || self.harness.closed.contains(&self.conn)
            || !self.harness.node.wants_read(self.conn)
    }

    /// Delivers bytes of the client; `whole` says that they complete a request.
    fn deliver(&mut self, bytes: &str, whole: bool) {
        if whole {
            self.read += 1;
            self.read_in_time += usize::from(!self.harness.node.refuses_connections());
        }
        self.harness.node.received(self.harness.now, self.conn, bytes.as_bytes());
    }

    /// Returns the missing rest of the current request, or else a new request.
    fn next_bytes(&mut self) -> String {
        if self.missing_rest.is_empty() {
            self.requests += 1;
            self.missing_rest = out_add_command(&format!("m{}", self.requests), SAFE, "body");
        }
        std::mem::take(&mut self.missing_rest)
    }

    fn receive_whole(&mut self) {
        if self.no_longer_read() {
            return;
        }
        let bytes = self.next_bytes();
        self.deliver(&bytes, true);
    }

    fn receive_part(&mut self) {
        if self.no_longer_read() {
            return;
        }
        let mut bytes = self.next_bytes();
        self.missing_rest = bytes.split_off(bytes.len() / 2);
        self.deliver(&bytes, false);
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Whole => self.receive_whole(),
            Event::Part => self.receive_part(),
            Event::Two => {
                self.receive_whole();
                self.receive_whole();
            }
            Event::Round => self.harness.advance(5 * MS),
            Event::End | Event::Reset if self.client_closed || self.harness.closed.contains(&self.conn) => {}
            Event::End | Event::Reset => {
                self.client_closed = true;
                let reason = if event == Event::End { CloseReason::Ended } else { CloseReason::Broken };
                self.harness.node.closed(self.harness.now, self.conn, reason);
            }
            Event::Freeze => {
                // The clock jumps, so that a request read in this turn has not been handled by any round yet.
                self.harness.now = self.harness.now.max(self.freeze_at.unwrap());
                self.harness.node.settle(self.harness.now);
            }
            Event::SecondLeave => self.harness.node.leave(self.harness.now),
            Event::IdleTimeOut => self.harness.advance(BEYOND_IDLE_TIMEOUT),
            Event::CloseIdlest => _ = self.harness.node.close_idlest_client(),
        }
    }
}

fn run_order(state: State, events: [Event; 2]) -> Result<(), String> {
    let is_leaving = events.iter().any(|e| matches!(e, Event::Freeze | Event::SecondLeave));
    let mut scenario = Scenario::new(state, is_leaving);
    let mut calls_at_freeze = None;
    for event in events {
        scenario.apply(event);
        if event == Event::Freeze && calls_at_freeze.is_none() {
            calls_at_freeze = Some(scenario.harness.node.stats().calls);
        }
    }
    let is_frozen = scenario.harness.node.refuses_connections();
    let accepted = scenario.harness.node.stats().accepted;
    scenario.harness.advance(30 * MS);
    if is_frozen && scenario.harness.node.stats().accepted != accepted {
        return Err("a message was accepted after the freeze".into());
    }
    if calls_at_freeze.is_some_and(|calls| calls != scenario.harness.node.stats().calls) {
        return Err("a call was started after the freeze".into());
    }
    scenario.harness.advance(if is_leaving { 4_000 * MS } else { 50 * MS });
    let replies = scenario.harness.take_replies(scenario.conn);
    let answers = replies.lines().count();
    let unfinished_error =
        replies.lines().last().is_some_and(|l| l.contains("not finished") || l.starts_with("-BUSY"));
    let (accepted_replies, closed) =
        (replies.matches("+OK").count(), scenario.harness.closed.contains(&scenario.conn));
    if scenario.client_closed {
        let too_many = answers > scenario.read;
        return if too_many {
            Err(format!("{answers} answers to {}: {replies:?}", scenario.read))
        } else {
            Ok(())
        };
    }
    // An unfinished request may get an error, on a connection that is then closed.
    if answers != scenario.read
        && !(answers == scenario.read + 1 && unfinished_error && closed && !scenario.missing_rest.is_empty())
    {
        return Err(format!("{} requests were read, {answers} answered: {replies:?}", scenario.read));
    }
    if accepted_replies > scenario.read_in_time {
        return Err(format!("{accepted_replies} accepted, {} read in time", scenario.read_in_time));
    }
    if is_leaving && !(closed && scenario.harness.node.is_shut_down()) {
        return Err("the connection or the node did not end after the shutdown".into());
    }
    Ok(())
}

#[test]
fn each_whole_request_is_answered_once_in_every_order_of_events() {
    let mut failures = Vec::new();
    let mut orders = 0;
    for state in STATES {
        for first in EVENTS {
            for second in EVENTS {
                orders += 1;
                if let Err(e) = run_order(state, [first, second]) {
                    failures.push(format!("{state:?}: {first:?}, {second:?}: {e}"));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{} of {orders} orders:\n{}", failures.len(), failures.join("\n"));
}

#[test]
fn a_request_read_in_the_turn_of_the_freeze_is_refused() {
    let mut scenario = Scenario::new(State::Submitted, true);
    scenario.apply(Event::Freeze);
    scenario.harness.advance(5 * MS);
    assert!(
        scenario.harness.take_replies(scenario.conn).starts_with("-BUSY"),
        "a request that was read must be answered before the process ends"
    );
    assert!(
        scenario.harness.closed.contains(&scenario.conn) && scenario.harness.take_received(1001).is_empty()
    );
}

#[test]
fn a_request_completed_after_the_freeze_is_refused() {
    let mut scenario = Scenario::new(State::PartOfRequest, true);
    scenario.apply(Event::Freeze);
    scenario.harness.advance(50 * MS);
    assert!(
        !scenario.harness.closed.contains(&scenario.conn) && !scenario.harness.node.is_shut_down(),
        "the rest of the request may still come"
    );
    scenario.receive_whole();
    scenario.harness.advance(5 * MS);
    assert!(
        scenario.harness.take_replies(scenario.conn).starts_with("-BUSY")
            && scenario.harness.closed.contains(&scenario.conn)
    );
}

#[test]
fn an_unfinished_request_does_not_delay_the_shutdown() {
    let mut scenario = Scenario::new(State::PartOfRequest, true);
    scenario.apply(Event::Freeze);
    scenario.harness.advance(500 * MS);
    assert!(
        scenario.harness.take_replies(scenario.conn).starts_with("-BUSY")
            && scenario.harness.closed.contains(&scenario.conn)
    );
    assert!(scenario.harness.node.is_shut_down());
}

/// Guards against a shutdown that takes too long: the process is killed 3.7 s after the first request to
/// leave.
#[test]
fn a_second_leave_does_not_delay_the_shutdown() {
    let mut harness = new_harness();
    harness.node.leave(harness.now);
    let unfinished = harness.connect_client();
    harness.advance(1_000 * MS);
    let call = harness.connect_client();
    harness.submit(call, "m1", SAFE);
    harness.node.leave(harness.now);
    harness.advance(1_900 * MS - 10 * MS);
    harness.node.received(harness.now, unfinished, b"*1\r\n$4\r\nPI");
    assert!(!harness.node.refuses_connections());
    harness.advance(20 * MS);
    assert!(harness.node.refuses_connections() && !harness.node.is_shut_down());
    harness.advance(700 * MS);
    assert!(harness.node.is_shut_down(), "must shut down despite an open call and half a request");
}

#[test]
fn a_message_with_an_open_id_is_rejected() {
    let mut scenario = Scenario::new(State::Idle, false);
    // The client closes its connection, and submits again with the same id.
    scenario.harness.node.closed(scenario.harness.now, scenario.conn, CloseReason::Ended);
    scenario.harness.take_replies(scenario.conn);
    let second_client = scenario.harness.connect_client();
    scenario.harness.submit(second_client, "m1", SAFE);
    assert_eq!(scenario.harness.take_replies(second_client), "-ERR the id is open already\r\n");
    assert_eq!((scenario.harness.node.open(), scenario.harness.take_received(1001).len()), (1, 1));
}

#[test]
fn a_request_is_read_alike_wherever_it_is_split() {
    let text = out_add_command("m1", SAFE, "b\r\n$");
    for split in 0..=text.len() {
        let mut harness = new_harness();
        let client = harness.connect_client();
        harness.node.received(harness.now, client, &text.as_bytes()[..split]);
        harness.advance(5 * MS);
        harness.node.received(harness.now, client, &text.as_bytes()[split..]);
        harness.advance(5 * MS);
        assert_eq!(
            (harness.take_replies(client).as_str(), harness.node.open()),
            ("+OK\r\n", 1),
            "split at {split}"
        );
    }
}

/// Passes text to a front; returns its requests and the time at which it wants to be called next.
fn receive(front: &mut RespFront, text: &str) -> (Vec<ClientRequest>, i64) {
    let (mut output, mut requests) = (BytesMut::new(), Vec::new());
    front.receive(0, 0, text.as_bytes(), &mut output, &mut requests);
    (requests, front.wake())
}

#[test]
fn unreadable_bytes_after_an_open_request_cause_no_busy_loop() {
    let mut front = RespFront::new(0);
    let (requests, wake) =
        receive(&mut front, &(out_add_command("m1", SAFE, "body") + "*1\r\n$60000000\r\nxxxx"));
    assert_eq!(requests.len(), 1);
    // A front that asks to be called at once, with nothing to do, would keep the thread busy for ever.
    assert_eq!(wake, i64::MAX, "there is nothing to do before the first request is answered");
}

#[test]
fn a_batch_continues_at_once_when_all_earlier_requests_are_answered() {
    let mut harness = new_harness();
    let client = harness.connect_client();
    let pings = 1_000;
    harness.node.received(harness.now, client, "*1\r\n$4\r\nPING\r\n".repeat(pings).as_bytes());
    harness.advance(0);
    assert_eq!(harness.take_replies(client).matches("+PONG").count(), pings);
    let messages = 100;
    let text: String = (0..messages).map(|i| out_add_command(&format!("m{i}"), SAFE, "body")).collect();
    harness.node.received(harness.now, client, text.as_bytes());
    harness.advance(100 * MS);
    assert_eq!(harness.take_replies(client).lines().count(), messages);
    assert!(!harness.closed.contains(&client));
}

#[test]
fn a_client_that_closes_its_side_after_a_request_is_gone() {
    // The protocol has no half-closed clients: a client that closes its sending side is gone, and its message
    // is dropped.
    let mut scenario = Scenario::new(State::Submitted, false);
    scenario.apply(Event::End);
    scenario.harness.advance(50 * MS);
    assert!(scenario.harness.take_received(1001).is_empty() && scenario.harness.node.open() == 0);
}

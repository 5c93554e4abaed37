//! Plays every order of two events in each state of a connection to an endpoint. In each order a message must
//! end once and in time, never have two open calls, not be repeated where its class forbids it, and count as
//! delivered only if it was.

mod sender;

use heronroute_engine::{CloseReason, ConnId};
use sender::*;
use std::collections::BTreeSet;

/// How far the call has come when the first event happens.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Its connection is being established.
    Connecting,
    /// Ten of its bytes are written.
    HalfWritten,
    /// It is written whole.
    Written,
    /// Half of the head of an answer was received.
    HalfAnswered,
    /// An earlier call was answered, and the connection is idle.
    Idle,
}

/// An event on the connection or beside it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// A whole answer.
    Answer(Status),
    /// An answer with status 200 whose body is never complete.
    IncompleteOk,
    /// Bytes that are no answer.
    InvalidBytes,
    /// The endpoint closes its side.
    End,
    /// A reset.
    Reset,
    /// The connection is established.
    Established,
    /// The endpoint is listed as draining.
    Drain,
    /// The message's deadline passes.
    DeadlinePasses,
    /// 20 ms in which nothing is received.
    ShortPause,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Status {
    Delivered,
    Failed,
    RateLimited,
    Unavailable,
    GatewayTimeout,
    Gone,
}

const STATES: [State; 5] =
    [State::Connecting, State::HalfWritten, State::Written, State::HalfAnswered, State::Idle];
const EVENTS: [Event; 14] = [
    Event::Answer(Status::Delivered),
    Event::Answer(Status::Failed),
    Event::Answer(Status::RateLimited),
    Event::Answer(Status::Unavailable),
    Event::Answer(Status::GatewayTimeout),
    Event::Answer(Status::Gone),
    Event::IncompleteOk,
    Event::InvalidBytes,
    Event::End,
    Event::Reset,
    Event::Established,
    Event::Drain,
    Event::DeadlinePasses,
    Event::ShortPause,
];
const CLASSES: [&str; 3] = ["safe", "keyed", "once"];
/// The message's deadline, from its submission.
const DEADLINE: i64 = 1_200 * MS;
/// The outcome must be reported within this time after the deadline.
const REPORT_SLACK: i64 = 300 * MS;
const DRAINING: &str = r#"{"version":5,"full":false,"servers":[{"id":"e1","addr":"127.0.0.1:1001","zone":"a","kind":"one","cell":1,"state":"DRAINING","weight":50.0}]}"#;

impl Status {
    fn text(self) -> &'static str {
        match self {
            Status::Delivered => OK,
            Status::Failed => "HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n",
            Status::RateLimited => "HTTP/1.1 429 No\r\nretry-after: 0.2\r\ncontent-length: 0\r\n\r\n",
            Status::Unavailable => "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
            Status::GatewayTimeout => "HTTP/1.1 504 No\r\ncontent-length: 0\r\n\r\n",
            Status::Gone => "HTTP/1.1 410 No\r\ncontent-length: 0\r\n\r\n",
        }
    }
}

/// A call that is at least partly written.
struct Call {
    conn: ConnId,
    /// Whether it was answered, and so is no longer open.
    answered: bool,
    /// Whether its answer says that it never ran.
    never_ran: bool,
}

/// One order of events, and what the node did in it.
struct Scenario {
    harness: Harness,
    /// The connection on which the events happen.
    conn: ConnId,
    class: &'static str,
    submitted_at: i64,
    calls: Vec<Call>,
    /// Whether the events happen on a connection on which an earlier call was answered with 200.
    reused: bool,
    /// Whether the call was answered with 200 while it was open.
    delivered: bool,
    /// Whether bytes were received that may be part of an answer.
    answer_begun: bool,
    drained: bool,
    /// The notices of the message's outcome.
    notices: BTreeSet<String>,
    label: String,
}

impl Scenario {
    fn new(class: &'static str, state: State, label: String) -> Self {
        let mut harness = new_harness();
        let client = harness.connect_client();
        if state == State::Idle {
            harness.submit(client, "before", "c=safe,t=t,d=4000,dest=1");
            let (conn, _) = harness.take_received(1001).remove(0);
            harness.peer_sends(conn, OK);
        } else {
            harness.slow_port = (state != State::Written && state != State::HalfAnswered).then_some(1001);
        }
        let submitted_at = harness.now;
        let pairs = format!("c={class},t=t,d={},k=abc,dest=1", DEADLINE / MS);
        if state != State::Idle {
            harness.submit(client, "m", &pairs);
        }
        let conn = harness
            .node_connections
            .iter()
            .find(|(_, (at, _))| at.port() == 1001)
            .map(|(conn, _)| *conn)
            .unwrap();
        let (calls, notices) = (Vec::new(), BTreeSet::new());
        let (delivered, answer_begun, drained) = (false, false, false);
        let mut scenario = Scenario {
            harness,
            conn,
            class,
            submitted_at,
            calls,
            reused: state == State::Idle,
            delivered,
            answer_begun,
            drained,
            notices,
            label,
        };
        match state {
            State::HalfWritten => {
                scenario.harness.stalled = Some(conn);
                scenario.harness.node.connected(scenario.harness.now, conn);
                scenario.advance(5 * MS);
                scenario.harness.node.wrote(conn, 10);
                // This call may run, and an answer counts as its own.
                scenario.calls.push(Call { conn, answered: false, never_ran: false });
            }
            State::HalfAnswered => {
                scenario.check_output();
                scenario.peer_sends("HTTP/1.1 2");
                scenario.answer_begun = true;
            }
            State::Idle => {
                // Submitted just before the first event, so that both are handled in the same turn.
                let text = out_add_command("m", &pairs, "body");
                scenario.harness.node.received(scenario.harness.now, client, text.as_bytes());
            }
            State::Connecting | State::Written => scenario.check_output(),
        }
        scenario
    }

    /// Returns whether the connection is open.
    fn connection_open(&self) -> bool {
        self.harness.node_connections.contains_key(&self.conn)
    }

    fn peer_sends(&mut self, text: &str) {
        self.harness.node.received(self.harness.now, self.conn, text.as_bytes());
        self.advance(0);
    }

    /// Returns whether an answer counts: no bytes came before it, and the call is open.
    fn answer_counts(&self) -> bool {
        self.connection_open()
            && !self.answer_begun
            && self.calls.last().is_some_and(|c| c.conn == self.conn && !c.answered)
    }

    /// Lets one event happen.
    fn apply(&mut self, event: Event) {
        match event {
            Event::DeadlinePasses => self.advance(DEADLINE + REPORT_SLACK),
            Event::ShortPause => self.advance(20 * MS),
            Event::Drain => {
                self.drained = true;
                let watch = self
                    .harness
                    .node_connections
                    .iter()
                    .find(|(_, (at, _))| at.port() == 2)
                    .map(|(conn, _)| *conn);
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                let text = format!("{head}{:x}\r\n{DRAINING}\n\r\n", DRAINING.len() + 1);
                self.harness.node.received(self.harness.now, watch.unwrap(), text.as_bytes());
                self.advance(0);
            }
            _ if !self.connection_open() => {}
            Event::Answer(status) => {
                if self.answer_counts() {
                    self.delivered |= status == Status::Delivered;
                    let never_ran = !matches!(status, Status::Delivered | Status::Failed);
                    let call = self.calls.last_mut().unwrap();
                    (call.answered, call.never_ran) = (true, never_ran);
                } else {
                    self.answer_begun = true;
                }
                self.peer_sends(status.text());
            }
            Event::IncompleteOk => {
                self.delivered |= self.answer_counts();
                self.peer_sends("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc");
                self.answer_begun = true;
            }
            Event::InvalidBytes => {
                self.peer_sends("\u{1}\u{2}\r\n\r\n");
                self.answer_begun = true;
            }
            Event::End | Event::Reset => {
                let reason = if event == Event::End { CloseReason::Ended } else { CloseReason::Broken };
                self.harness.connection_closed(self.conn);
                self.harness.node.closed(self.harness.now, self.conn, reason);
                self.advance(0);
            }
            Event::Established if self.harness.connecting.contains(&self.conn) => {
                self.harness.connecting.retain(|c| *c != self.conn);
                self.harness.node.connected(self.harness.now, self.conn);
                self.advance(0);
            }
            Event::Established => {}
        }
    }

    /// Advances the clock, and checks the node's output after each turn.
    fn advance(&mut self, span: i64) {
        let end = self.harness.now + span;
        loop {
            self.harness.advance(0);
            self.check_output();
            if self.harness.now >= end {
                return;
            }
            self.harness.now = (self.harness.now + 5 * MS).min(end);
        }
    }

    /// Records and checks the calls and notices that the node sent.
    fn check_output(&mut self) {
        for (conn, text) in self.harness.take_received(1001) {
            if !text.contains("X-Call-Id: m\r\n") {
                continue;
            }
            assert!(text.ends_with("body"), "{}: incomplete call: {text}", self.label);
            let earlier = self.calls.iter().filter(|c| !c.never_ran);
            assert!(
                earlier.clone().all(|c| c.answered || !self.harness.node_connections.contains_key(&c.conn)),
                "{}: two open calls at once",
                self.label
            );
            let repeats = earlier.count();
            assert!(self.class != "once" || repeats == 0, "{}: repeated, and may have run", self.label);
            assert!(!self.delivered, "{}: sent again after it was delivered", self.label);
            assert!(!self.drained, "{}: sent to a draining endpoint", self.label);
            self.calls.push(Call { conn, answered: false, never_ran: false });
        }
        let requests = self.harness.take_received(2);
        for (conn, text) in requests.iter().filter(|(_, text)| text.contains("/v1/outcomes")) {
            self.notices.extend(text.lines().filter(|l| l.contains("\"m\"")).map(str::to_string));
            self.harness.node.received(self.harness.now, *conn, NO_CONTENT.as_bytes());
        }
    }

    /// Waits for the deadline, and checks that the message ended once.
    fn check_end(mut self) {
        let left = self.submitted_at + DEADLINE + REPORT_SLACK - self.harness.now;
        self.advance(left.max(0));
        assert_eq!(self.harness.node.open(), 0, "{}: not ended in time", self.label);
        let notices = self.notices.len();
        assert!(notices <= 1, "{}: {:?}", self.label, self.notices);
        assert!(self.delivered || notices == 1, "{}: neither delivered nor reported", self.label);
        // A second 200 on a connection may be a copy of the first: the delivery is not proved, and its message
        // is reported as failed, which does a delivered one no harm. It is never returned for a repeat.
        let unproven = self.reused;
        let allowed = |notice: &String| unproven && notice.contains("\"state\":\"failed\"");
        assert!(
            !self.delivered || self.notices.iter().all(allowed),
            "{}: delivered, and reported {:?}",
            self.label,
            self.notices
        );
    }
}

#[test]
fn every_order_of_two_events_ends_each_message_once() {
    for class in CLASSES {
        for state in STATES {
            for first in EVENTS {
                for second in EVENTS {
                    let label = format!("{class}, {state:?}, {first:?}, then {second:?}");
                    let mut scenario = Scenario::new(class, state, label);
                    scenario.apply(first);
                    scenario.apply(second);
                    scenario.check_end();
                }
            }
        }
    }
}

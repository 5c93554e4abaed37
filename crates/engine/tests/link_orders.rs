//! Every order of two events at each state of a connection to an endpoint. Whatever comes: a message has one end in time,
//! is never out twice, is not repeated where its class forbids it, and is told as delivered only where it was.

mod sender;

use heronroute_engine::{CloseReason, ConnId};
use sender::*;
use std::collections::BTreeSet;

/// How far the call has come when the first event happens.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Its connection is coming up.
    Connecting,
    /// Ten of its octets have left.
    HalfWritten,
    /// It is written.
    Written,
    /// Half of an answer's head has come.
    HalfAnswered,
    /// An earlier call was answered, and the connection rests.
    Resting,
}

/// What may come on the connection, or happen beside it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// A whole answer.
    Answer(Status),
    /// A first line that says 200, and no more of the answer.
    EndlessDone,
    /// Octets that are no answer.
    Spoilt,
    /// The endpoint closes its side.
    End,
    /// A reset.
    Reset,
    /// The connection stands.
    Up,
    /// The endpoint is listed as draining.
    Drain,
    /// The message's time passes.
    TimeOut,
    /// A moment in which nothing comes.
    Moment,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Status {
    Done,
    Failed,
    Limited,
    Full,
    NoAttempts,
    Over,
}

const STATES: [State; 5] =
    [State::Connecting, State::HalfWritten, State::Written, State::HalfAnswered, State::Resting];
const EVENTS: [Event; 14] = [
    Event::Answer(Status::Done),
    Event::Answer(Status::Failed),
    Event::Answer(Status::Limited),
    Event::Answer(Status::Full),
    Event::Answer(Status::NoAttempts),
    Event::Answer(Status::Over),
    Event::EndlessDone,
    Event::Spoilt,
    Event::End,
    Event::Reset,
    Event::Up,
    Event::Drain,
    Event::TimeOut,
    Event::Moment,
];
const CLASSES: [&str; 3] = ["safe", "keyed", "once"];
/// The message's time.
const TIME: i64 = 1_200 * MS;
/// An end is told within this after the time is up.
const SLACK: i64 = 300 * MS;
const DRAINING: &str = r#"{"version":5,"full":false,"servers":[{"id":"e1","addr":"127.0.0.1:1001","zone":"a","kind":"one","cell":1,"state":"DRAINING","weight":50.0}]}"#;

impl Status {
    fn text(self) -> &'static str {
        match self {
            Status::Done => OK,
            Status::Failed => "HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n",
            Status::Limited => "HTTP/1.1 429 No\r\nretry-after: 0.2\r\ncontent-length: 0\r\n\r\n",
            Status::Full => "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
            Status::NoAttempts => "HTTP/1.1 504 No\r\ncontent-length: 0\r\n\r\n",
            Status::Over => "HTTP/1.1 410 No\r\ncontent-length: 0\r\n\r\n",
        }
    }
}

/// A call of which something has left.
struct Call {
    conn: ConnId,
    /// It was answered, so that it is out no more.
    answered: bool,
    /// It was answered in a way that says that it never ran.
    never_ran: bool,
}

struct Play {
    w: World,
    /// The connection that the events come on.
    conn: ConnId,
    class: &'static str,
    began: i64,
    calls: Vec<Call>,
    /// A 200 was said to the call while it was out.
    delivered: bool,
    /// Octets have come that may be a part of an answer.
    begun_answer: bool,
    drained: bool,
    /// What the platform was told of the message.
    notices: BTreeSet<String>,
    what: String,
}

impl Play {
    fn new(class: &'static str, state: State, what: String) -> Self {
        let mut w = world();
        let client = w.client();
        if state == State::Resting {
            w.add(client, "before", "c=safe,t=t,d=4000,dest=1");
            let (conn, _) = w.came(1001).remove(0);
            w.says(conn, OK);
        } else {
            w.silent = (state != State::Written && state != State::HalfAnswered).then_some(1001);
        }
        let began = w.now;
        let pairs = format!("c={class},t=t,d={},k=abc,dest=1", TIME / MS);
        if state != State::Resting {
            w.add(client, "m", &pairs);
        }
        let conn = w.ours.iter().find(|(_, (at, _))| at.port() == 1001).map(|(conn, _)| *conn).unwrap();
        let (calls, notices) = (Vec::new(), BTreeSet::new());
        let (delivered, begun_answer, drained) = (false, false, false);
        let mut play = Play { w, conn, class, began, calls, delivered, begun_answer, drained, notices, what };
        match state {
            State::HalfWritten => {
                play.w.stuck = Some(conn);
                play.w.node.connected(play.w.now, conn);
                play.pass(5 * MS);
                play.w.node.wrote(conn, 10);
                // It counts as one that may run, and an answer to it as its own.
                play.calls.push(Call { conn, answered: false, never_ran: false });
            }
            State::HalfAnswered => {
                play.look();
                play.says("HTTP/1.1 2");
                play.begun_answer = true;
            }
            State::Resting => {
                // Handed in just before the first event: decided in the same turn.
                let text = out_add("m", &pairs, "body");
                play.w.node.received(play.w.now, client, text.as_bytes());
            }
            State::Connecting | State::Written => play.look(),
        }
        play
    }

    fn out(&self) -> bool {
        self.w.ours.contains_key(&self.conn)
    }

    fn says(&mut self, text: &str) {
        self.w.node.received(self.w.now, self.conn, text.as_bytes());
        self.pass(0);
    }

    /// An answer means what it says only where nothing came before it, and the call is out.
    fn answers(&self) -> bool {
        self.out()
            && !self.begun_answer
            && self.calls.last().is_some_and(|c| c.conn == self.conn && !c.answered)
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::TimeOut => self.pass(TIME + SLACK),
            Event::Moment => self.pass(20 * MS),
            Event::Drain => {
                self.drained = true;
                let watch = self.w.ours.iter().find(|(_, (at, _))| at.port() == 2).map(|(conn, _)| *conn);
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                let text = format!("{head}{:x}\r\n{DRAINING}\n\r\n", DRAINING.len() + 1);
                self.w.node.received(self.w.now, watch.unwrap(), text.as_bytes());
                self.pass(0);
            }
            _ if !self.out() => {}
            Event::Answer(status) => {
                if self.answers() {
                    self.delivered |= status == Status::Done;
                    let proves = !matches!(status, Status::Done | Status::Failed);
                    let call = self.calls.last_mut().unwrap();
                    (call.answered, call.never_ran) = (true, proves);
                } else {
                    self.begun_answer = true;
                }
                self.says(status.text());
            }
            Event::EndlessDone => {
                self.delivered |= self.answers();
                self.says("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc");
                self.begun_answer = true;
            }
            Event::Spoilt => {
                self.says("\u{1}\u{2}\r\n\r\n");
                self.begun_answer = true;
            }
            Event::End | Event::Reset => {
                let gone = if event == Event::End { CloseReason::Ended } else { CloseReason::Broken };
                self.w.gone(self.conn);
                self.w.node.closed(self.w.now, self.conn, gone);
                self.pass(0);
            }
            Event::Up if self.w.coming.contains(&self.conn) => {
                self.w.coming.retain(|c| *c != self.conn);
                self.w.node.connected(self.w.now, self.conn);
                self.pass(0);
            }
            Event::Up => {}
        }
    }

    /// Time passes, and what the node does is looked at after each turn.
    fn pass(&mut self, span: i64) {
        let end = self.w.now + span;
        loop {
            self.w.pass(0);
            self.look();
            if self.w.now >= end {
                return;
            }
            self.w.now = (self.w.now + 5 * MS).min(end);
        }
    }

    fn look(&mut self) {
        for (conn, text) in self.w.came(1001) {
            if !text.contains("X-Call-Id: m\r\n") {
                continue;
            }
            assert!(text.ends_with("body"), "{}: half a call: {text}", self.what);
            let earlier = self.calls.iter().filter(|c| !c.never_ran);
            assert!(
                earlier.clone().all(|c| c.answered || !self.w.ours.contains_key(&c.conn)),
                "{}: out twice at once",
                self.what
            );
            let repeats = earlier.count();
            assert!(self.class != "once" || repeats == 0, "{}: repeated, and may have run", self.what);
            assert!(!self.delivered, "{}: sent again after it was delivered", self.what);
            assert!(!self.drained, "{}: sent where it drains", self.what);
            self.calls.push(Call { conn, answered: false, never_ran: false });
        }
        let told = self.w.came(2);
        for (conn, text) in told.iter().filter(|(_, text)| text.contains("/v1/outcomes")) {
            self.notices.extend(text.lines().filter(|l| l.contains("\"m\"")).map(str::to_string));
            self.w.node.received(self.w.now, *conn, TAKEN.as_bytes());
        }
    }

    fn ends(mut self) {
        let left = self.began + TIME + SLACK - self.w.now;
        self.pass(left.max(0));
        assert_eq!(self.w.node.open(), 0, "{}: no end in time", self.what);
        let told = self.notices.len();
        assert!(told <= 1, "{}: {:?}", self.what, self.notices);
        assert!(self.delivered || told == 1, "{}: neither delivered nor told", self.what);
        assert!(!self.delivered || told == 0, "{}: delivered, and told {:?}", self.what, self.notices);
    }
}

#[test]
fn every_order_of_two_events_at_each_state() {
    for class in CLASSES {
        for state in STATES {
            for first in EVENTS {
                for second in EVENTS {
                    let what = format!("{class}, {state:?}, {first:?}, then {second:?}");
                    let mut play = Play::new(class, state, what);
                    play.happens(first);
                    play.happens(second);
                    play.ends();
                }
            }
        }
    }
}

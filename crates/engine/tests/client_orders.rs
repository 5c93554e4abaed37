//! Every order of two events at each state of a client's connection. Guards against a request that was read whole and
//! hears nothing, hears twice, or is taken on after the sender stopped taking on.

mod sender;

use bytes::BytesMut;
use heronroute_engine::front::{ClientRequest, Front, RespFront};
use heronroute_engine::{CloseReason, ConnId};
use sender::*;

/// SIGTERM to the moment from which nothing is taken on.
const GOES_ON: i64 = 2_900 * MS;
/// Longer than a connection without a request is kept.
const IDLE: i64 = 8_100 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    New,
    Begun,
    HandedIn,
    Pipelined,
    Rests,
    RestsAndBegun,
}

const STATES: [State; 6] =
    [State::New, State::Begun, State::HandedIn, State::Pipelined, State::Rests, State::RestsAndBegun];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Happens {
    /// The rest of a request that has begun, else a whole one.
    Whole,
    /// Half of what is left of a request.
    Part,
    /// The same as `Whole`, and another.
    Two,
    /// The next round: answers that are due are given.
    Round,
    /// The peer ends its side.
    End,
    Break,
    Freeze,
    SecondLeave,
    IdleTimeOut,
    MakeWay,
}

const EVENTS: [Happens; 10] = [
    Happens::Whole,
    Happens::Part,
    Happens::Two,
    Happens::Round,
    Happens::End,
    Happens::Break,
    Happens::Freeze,
    Happens::SecondLeave,
    Happens::IdleTimeOut,
    Happens::MakeWay,
];

struct Play {
    w: World,
    conn: ConnId,
    /// What is left of a request that has begun.
    left: String,
    requests: usize,
    /// Whole requests that were read, and those read before the sender stopped taking on.
    read: usize,
    read_in_time: usize,
    gone: bool,
    freezes_at: Option<i64>,
}

impl Play {
    fn new(state: State, leaves: bool) -> Self {
        let mut w = world();
        let freezes_at = leaves.then(|| w.now + GOES_ON);
        if leaves {
            w.node.leave(w.now);
            w.pass(GOES_ON - 100 * MS);
        }
        let conn = w.client();
        let mut p = Play {
            w,
            conn,
            left: String::new(),
            requests: 0,
            read: 0,
            read_in_time: 0,
            gone: false,
            freezes_at,
        };
        p.w.pass(10 * MS);
        match state {
            State::New => {}
            State::Begun => p.part(),
            State::HandedIn => p.whole(),
            State::Pipelined => {
                p.whole();
                p.whole();
                p.part();
            }
            State::Rests => {
                p.whole();
                p.w.pass(20 * MS);
            }
            State::RestsAndBegun => {
                p.whole();
                p.w.pass(20 * MS);
                p.part();
            }
        }
        p
    }

    /// Nothing of the connection is read any more.
    fn over(&self) -> bool {
        self.gone || self.w.ended.contains(&self.conn) || !self.w.node.wants_read(self.conn)
    }

    fn comes(&mut self, octets: &str, whole: bool) {
        if whole {
            self.read += 1;
            self.read_in_time += usize::from(!self.w.node.refuses_connections());
        }
        self.w.node.received(self.w.now, self.conn, octets.as_bytes());
    }

    fn next(&mut self) -> String {
        if self.left.is_empty() {
            self.requests += 1;
            self.left = out_add(&format!("m{}", self.requests), SAFE, "body");
        }
        std::mem::take(&mut self.left)
    }

    fn whole(&mut self) {
        if self.over() {
            return;
        }
        let octets = self.next();
        self.comes(&octets, true);
    }

    fn part(&mut self) {
        if self.over() {
            return;
        }
        let mut octets = self.next();
        self.left = octets.split_off(octets.len() / 2);
        self.comes(&octets, false);
    }

    fn happens(&mut self, event: Happens) {
        match event {
            Happens::Whole => self.whole(),
            Happens::Part => self.part(),
            Happens::Two => {
                self.whole();
                self.whole();
            }
            Happens::Round => self.w.pass(5 * MS),
            Happens::End | Happens::Break if self.gone || self.w.ended.contains(&self.conn) => {}
            Happens::End | Happens::Break => {
                self.gone = true;
                let how = if event == Happens::End { CloseReason::Ended } else { CloseReason::Broken };
                self.w.node.closed(self.w.now, self.conn, how);
            }
            Happens::Freeze => {
                // Time passes at once: a request that was read in this turn has seen no round yet.
                self.w.now = self.w.now.max(self.freezes_at.unwrap());
                self.w.node.settle(self.w.now);
            }
            Happens::SecondLeave => self.w.node.leave(self.w.now),
            Happens::IdleTimeOut => self.w.pass(IDLE),
            Happens::MakeWay => _ = self.w.node.close_idlest_client(),
        }
    }
}

fn play(state: State, events: [Happens; 2]) -> Result<(), String> {
    let leaves = events.iter().any(|e| matches!(e, Happens::Freeze | Happens::SecondLeave));
    let mut p = Play::new(state, leaves);
    let mut calls_at_freeze = None;
    for event in events {
        p.happens(event);
        if event == Happens::Freeze && calls_at_freeze.is_none() {
            calls_at_freeze = Some(p.w.node.stats().calls);
        }
    }
    let frozen = p.w.node.refuses_connections();
    let accepted = p.w.node.stats().accepted;
    p.w.pass(30 * MS);
    if frozen && p.w.node.stats().accepted != accepted {
        return Err("a message was taken on after the freeze".into());
    }
    if calls_at_freeze.is_some_and(|calls| calls != p.w.node.stats().calls) {
        return Err("a call was begun after the freeze".into());
    }
    p.w.pass(if leaves { 4_000 * MS } else { 50 * MS });
    let said = p.w.told(p.conn);
    let answers = said.lines().count();
    let half = said.lines().last().is_some_and(|l| l.contains("not finished") || l.starts_with("-BUSY"));
    let (taken, ended) = (said.matches("+OK").count(), p.w.ended.contains(&p.conn));
    if p.gone {
        let many = answers > p.read;
        return if many { Err(format!("{answers} answers to {}: {said:?}", p.read)) } else { Ok(()) };
    }
    // A request that was not finished may hear so, on a connection that then ends.
    if answers != p.read && !(answers == p.read + 1 && half && ended && !p.left.is_empty()) {
        return Err(format!("{} requests were read, {answers} answered: {said:?}", p.read));
    }
    if taken > p.read_in_time {
        return Err(format!("{taken} taken on, {} read in time", p.read_in_time));
    }
    if leaves && !(ended && p.w.node.is_shut_down()) {
        return Err("the connection outlives the sender's service".into());
    }
    Ok(())
}

#[test]
fn each_request_read_whole_is_answered_once_whatever_comes_between() {
    let mut wrong = Vec::new();
    let mut plays = 0;
    for state in STATES {
        for first in EVENTS {
            for second in EVENTS {
                plays += 1;
                if let Err(e) = play(state, [first, second]) {
                    wrong.push(format!("{state:?}: {first:?}, {second:?}: {e}"));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{} of {plays} orders:\n{}", wrong.len(), wrong.join("\n"));
}

#[test]
fn a_request_read_in_the_turn_of_the_freeze_is_refused() {
    let mut p = Play::new(State::HandedIn, true);
    p.happens(Happens::Freeze);
    p.w.pass(5 * MS);
    assert!(p.w.told(p.conn).starts_with("-BUSY"), "read, and answered before the process ends");
    assert!(p.w.ended.contains(&p.conn) && p.w.came(1001).is_empty());
}

#[test]
fn half_a_request_at_the_freeze_may_come_whole_and_is_refused() {
    let mut p = Play::new(State::Begun, true);
    p.happens(Happens::Freeze);
    p.w.pass(50 * MS);
    assert!(!p.w.ended.contains(&p.conn) && !p.w.node.is_shut_down(), "its rest may be on its way");
    p.whole();
    p.w.pass(5 * MS);
    assert!(p.w.told(p.conn).starts_with("-BUSY") && p.w.ended.contains(&p.conn));
}

#[test]
fn a_client_that_never_finishes_its_request_does_not_hold_up_the_end() {
    let mut p = Play::new(State::Begun, true);
    p.happens(Happens::Freeze);
    p.w.pass(500 * MS);
    assert!(p.w.told(p.conn).starts_with("-BUSY") && p.w.ended.contains(&p.conn));
    assert!(p.w.node.is_shut_down());
}

#[test]
fn a_second_leave_puts_nothing_off_and_the_end_comes_before_the_kill() {
    // Killed 3.7 s after the first.
    let mut w = world();
    w.node.leave(w.now);
    let half = w.client();
    w.pass(1_000 * MS);
    let call = w.client();
    w.add(call, "m1", SAFE);
    w.node.leave(w.now);
    w.pass(1_900 * MS - 10 * MS);
    w.node.received(w.now, half, b"*1\r\n$4\r\nPI");
    assert!(!w.node.refuses_connections());
    w.pass(20 * MS);
    assert!(w.node.refuses_connections() && !w.node.is_shut_down());
    w.pass(700 * MS);
    assert!(w.node.is_shut_down(), "with a call out and half a request");
}

#[test]
fn an_id_that_is_open_is_not_taken_on_again() {
    let mut p = Play::new(State::Rests, false);
    // Its client gave up, and comes again under the same id.
    p.w.node.closed(p.w.now, p.conn, CloseReason::Ended);
    p.w.told(p.conn);
    let again = p.w.client();
    p.w.add(again, "m1", SAFE);
    assert_eq!(p.w.told(again), "-ERR the id is open already\r\n");
    assert_eq!((p.w.node.open(), p.w.came(1001).len()), (1, 1));
}

#[test]
fn a_request_is_read_alike_wherever_it_is_split() {
    let text = out_add("m1", SAFE, "b\r\n$");
    for at in 0..=text.len() {
        let mut w = world();
        let c = w.client();
        w.node.received(w.now, c, &text.as_bytes()[..at]);
        w.pass(5 * MS);
        w.node.received(w.now, c, &text.as_bytes()[at..]);
        w.pass(5 * MS);
        assert_eq!((w.told(c).as_str(), w.node.open()), ("+OK\r\n", 1), "split at {at}");
    }
}

/// What one connection is given, and when it is to be turned to next.
fn given(front: &mut RespFront, text: &str) -> (Vec<ClientRequest>, i64) {
    let (mut out, mut asks) = (BytesMut::new(), Vec::new());
    front.receive(0, 0, text.as_bytes(), &mut out, &mut asks);
    (asks, front.wake())
}

#[test]
fn what_can_not_be_read_behind_an_open_request_does_not_turn_without_end() {
    let mut front = RespFront::new(0);
    let (asks, wake) = given(&mut front, &(out_add("m1", SAFE, "body") + "*1\r\n$60000000\r\nxxxx"));
    assert_eq!(asks.len(), 1);
    // A front that is to be turned to at once, and has nothing to do, keeps the thread for good.
    assert_eq!(wake, i64::MAX, "nothing is to be done before the first is answered");
}

#[test]
fn a_batch_goes_on_at_once_when_all_before_it_are_answered() {
    let mut w = world();
    let c = w.client();
    let pings = 1_000;
    w.node.received(w.now, c, "*1\r\n$4\r\nPING\r\n".repeat(pings).as_bytes());
    w.pass(0);
    assert_eq!(w.told(c).matches("+PONG").count(), pings);
    let adds = 100;
    let text: String = (0..adds).map(|i| out_add(&format!("m{i}"), SAFE, "body")).collect();
    w.node.received(w.now, c, text.as_bytes());
    w.pass(100 * MS);
    assert_eq!(w.told(c).lines().count(), adds);
    assert!(!w.ended.contains(&c));
}

#[test]
fn ends_of_a_side_behind_a_request_are_a_client_that_went() {
    // A client ends by ending its sending (the protocol has no half-closed clients): nothing is owed, nothing is sent.
    let mut p = Play::new(State::HandedIn, false);
    p.happens(Happens::End);
    p.w.pass(50 * MS);
    assert!(p.w.came(1001).is_empty() && p.w.node.open() == 0);
}

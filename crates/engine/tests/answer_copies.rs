//! Plays duplicate answers in every order with the next call and its own answer. In each order a message that
//! may not be repeated runs at most once, a keyed one is repeated only within its window, and each is
//! delivered or reported.

mod sender;

use heronroute_engine::ConnId;
use heronroute_journal::Journal;
use heronroute_journal::disk::Disk;
use sender::*;

const REFUSED: &str = "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n";
const RATE_LIMITED: &str = "HTTP/1.1 429 No\r\nretry-after: 0.2\r\ncontent-length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n";
const GATEWAY_TIMEOUT: &str = "HTTP/1.1 504 No\r\ncontent-length: 0\r\n\r\n";
/// Answers that may be duplicated.
const ANSWERS: [&str; 5] = [OK, REFUSED, RATE_LIMITED, FAILED, GATEWAY_TIMEOUT];
/// How long a call runs before its own answer comes; at last longer than any timer of the node.
const RUN_TIMES: [i64; 5] = [5 * MS, 60 * MS, 180 * MS, 700 * MS, 2_500 * MS];
/// The idempotency window of the keyed class.
const WINDOW: i64 = 4_000 * MS;

/// When the duplicate is received.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// While no call is open.
    BeforeTheCall,
    /// When ten bytes of the call are written.
    HalfWritten,
    /// When the whole call is written.
    Written,
    /// Its first 20 bytes when the whole call is written, the rest 20 ms later.
    InTwoReads,
    /// Twice, when the whole call is written.
    Twice,
    /// Byte by byte, when the whole call is written.
    ByteByByte,
    /// In one read with the call's own answer.
    WithTheAnswer,
    /// After the call's own answer.
    AfterTheAnswer,
}

const MOMENTS: [Moment; 8] = [
    Moment::BeforeTheCall,
    Moment::HalfWritten,
    Moment::Written,
    Moment::InTwoReads,
    Moment::Twice,
    Moment::ByteByByte,
    Moment::WithTheAnswer,
    Moment::AfterTheAnswer,
];

/// Returns whether an answer says that the call ran.
fn means_run(answer: &str) -> bool {
    [OK, FAILED].contains(&answer)
}

/// One order of an earlier answer, its duplicate, and the next call's own answer.
struct Scenario {
    harness: Harness,
    /// The times at which calls with the message ran.
    runs: Vec<i64>,
    delivered: bool,
    notices: String,
}

impl Scenario {
    fn new() -> Self {
        Scenario { harness: new_harness(), runs: Vec::new(), delivered: false, notices: String::new() }
    }

    /// Returns a connection to e1 on which a call got this answer, followed by a call answered 200 if this
    /// one was not.
    fn connection_answered_with(&mut self, client: ConnId, answer: &str) -> Option<ConnId> {
        self.harness.submit(client, "before", SAFE);
        let (conn, _) = self.harness.take_received(1001).remove(0);
        self.harness.peer_sends(conn, answer);
        if answer == OK {
            return Some(conn);
        }
        for _ in 0..800 {
            self.harness.advance(5 * MS);
            if let Some((again, _)) = self.harness.take_received(1001).pop() {
                self.harness.peer_sends(again, OK);
                let closed = self.harness.closed.contains(&conn);
                assert!(again == conn || closed, "{answer:?}: neither closed nor used again");
                return (again == conn).then_some(conn);
            }
        }
        None
    }

    /// Advances the clock while a call with the message is out. A further call with it is answered 200, and must
    /// not come before the first one's connection is closed.
    fn run_while_out(&mut self, first: ConnId, run_time: i64, label: &str) {
        let end = self.harness.now + run_time;
        while self.harness.now < end {
            self.harness.advance(5 * MS);
            if let Some(conn) = self.take_call_with("m") {
                let is_out = self.harness.node_connections.contains_key(&first);
                assert!(!is_out, "{label}: out on two open connections");
                self.record_answer(OK);
                self.answer(conn, OK);
            }
        }
    }

    /// Returns the connection of a call with the message since the last look.
    fn take_call_with(&mut self, id: &str) -> Option<ConnId> {
        let header = format!("X-Call-Id: {id}\r\n");
        let calls = self.harness.take_received(1001);
        calls.into_iter().find(|(_, text)| text.contains(&header)).map(|(conn, _)| conn)
    }

    /// Answers a call if its connection is still open; returns whether it is.
    fn answer(&mut self, conn: ConnId, text: &str) -> bool {
        let is_open = self.harness.node_connections.contains_key(&conn);
        if is_open {
            self.harness.peer_sends(conn, text);
        }
        is_open
    }

    /// Records that an endpoint answered a call with the message.
    fn record_answer(&mut self, answer: &str) {
        if means_run(answer) {
            self.runs.push(self.harness.now);
        }
        self.delivered |= answer == OK;
    }

    /// Advances the clock beyond the message's deadline; each further call with it is answered 200.
    fn run_to_deadline(&mut self) {
        for _ in 0..2_000 {
            self.harness.advance(5 * MS);
            if let Some(conn) = self.take_call_with("m") {
                self.record_answer(OK);
                self.answer(conn, OK);
            }
            for (conn, text) in self.harness.take_received(2) {
                if text.starts_with("POST") {
                    self.notices += &text;
                    self.harness.peer_sends(conn, NO_CONTENT);
                }
            }
        }
    }
}

fn run_order(class: &str, answer: &str, own_answer: &str, run_time: i64, moment: Moment) {
    let label =
        format!("{class}: duplicate of {answer:?} {moment:?}, own answer {own_answer:?} after {run_time}");
    let mut scenario = Scenario::new();
    let client = scenario.harness.connect_client();
    let Some(conn) = scenario.connection_answered_with(client, answer) else { return };
    scenario.harness.advance(40 * MS);
    if moment == Moment::BeforeTheCall {
        scenario.harness.peer_sends(conn, answer);
    }
    if moment == Moment::HalfWritten {
        scenario.harness.stalled = Some(conn);
    }
    scenario.harness.submit(client, "m", &format!("c={class},t=t,d=7000,k=abc,dest=1"));
    if moment == Moment::HalfWritten && scenario.harness.node.pending(conn).len() > 10 {
        scenario.harness.node.wrote(conn, 10);
        scenario.harness.node.received(scenario.harness.now, conn, answer.as_bytes());
        scenario.harness.stalled = None;
        scenario.harness.advance(5 * MS);
    }
    if let Some(called_conn) = scenario.take_call_with("m") {
        let (first, rest) = answer.split_at(20);
        match moment {
            Moment::Written => _ = scenario.answer(called_conn, answer),
            Moment::InTwoReads => {
                scenario.answer(called_conn, first);
                scenario.harness.advance(20 * MS);
                scenario.answer(called_conn, rest);
            }
            Moment::Twice => _ = scenario.answer(called_conn, answer) && scenario.answer(called_conn, answer),
            Moment::ByteByByte => answer.chars().for_each(|byte| {
                scenario.answer(called_conn, &byte.to_string());
            }),
            _ => {}
        }
        // The endpoint runs the call that it has read, whether its connection is still open or not.
        scenario.run_while_out(called_conn, run_time, &label);
        scenario.record_answer(own_answer);
        match moment {
            Moment::WithTheAnswer => _ = scenario.answer(called_conn, &format!("{answer}{own_answer}")),
            Moment::AfterTheAnswer => {
                _ = scenario.answer(called_conn, own_answer) && scenario.answer(called_conn, answer)
            }
            _ => _ = scenario.answer(called_conn, own_answer),
        }
    }
    scenario.run_to_deadline();
    match class {
        "once" => assert!(scenario.runs.len() <= 1, "{label}: ran at {:?}", scenario.runs),
        "keyed" => {
            let (first, last) = (scenario.runs.first(), scenario.runs.last());
            let span = last.zip(first).map_or(0, |(last, first)| last - first);
            assert!(span <= WINDOW, "{label}: ran at {:?}", scenario.runs);
        }
        _ => {}
    }
    assert!(
        scenario.delivered || scenario.notices.contains("\"id\":\"m\""),
        "{label}: neither delivered nor reported"
    );
    assert_eq!(scenario.harness.node.open(), 0, "{label}: still open");
}

/// Guards against an outcome that is recorded from the answer to another call.
#[test]
fn a_duplicate_answer_never_repeats_or_loses_a_message() {
    for class in ["safe", "keyed", "once"] {
        for answer in ANSWERS {
            for own_answer in ANSWERS {
                for run_time in RUN_TIMES {
                    for moment in MOMENTS {
                        run_order(class, answer, own_answer, run_time, moment);
                    }
                }
            }
        }
    }
}

/// Guards against a message that may be sent again because of the answer to the call before it: after a
/// duplicate, each answer is read one call too late.
#[test]
fn an_answer_delayed_by_a_duplicate_does_not_count_for_a_later_call() {
    for class in ["safe", "keyed", "once"] {
        let mut scenario = Scenario::new();
        let client = scenario.harness.connect_client();
        let conn = scenario.connection_answered_with(client, OK).unwrap();
        scenario.harness.submit(client, "a", SAFE);
        assert!(scenario.harness.take_received(1001).remove(0).1.contains("X-Call-Id: a\r\n"));
        scenario.harness.peer_sends(conn, OK);
        scenario.harness.submit(client, "m", &format!("c={class},t=t,d=7000,k=abc,dest=1"));
        assert_eq!(scenario.take_call_with("m"), Some(conn));
        // The first call's own answer comes, then the second's.
        scenario.harness.peer_sends(conn, REFUSED);
        scenario.harness.advance(60 * MS);
        scenario.record_answer(OK);
        scenario.answer(conn, OK);
        let mut called_again = false;
        for _ in 0..2_000 {
            scenario.harness.advance(5 * MS);
            for (again, text) in scenario.harness.take_received(1001) {
                called_again |= text.contains("X-Call-Id: a\r\n");
                assert!(
                    class != "once" || !text.contains("X-Call-Id: m\r\n"),
                    "sent again, though it may have run"
                );
                scenario.harness.peer_sends(again, OK);
            }
        }
        assert!(called_again, "{class}: the first message was refused, and was not sent again");
        assert_eq!(scenario.harness.node.open(), 0);
    }
}

/// Guards against messages of a shared call that are sent again after a duplicate refusal, which names none
/// of them.
#[test]
fn a_duplicate_refusal_repeats_no_message_of_a_shared_call() {
    for refusal in [REFUSED, RATE_LIMITED] {
        let mut harness = new_harness();
        let client = harness.connect_client();
        let add = |harness: &mut Harness, class: &str, ids: [&str; 2]| {
            let pairs = format!("c={class},t=t,d=7000,k=abc,dest=2");
            let text: String = ids.iter().map(|id| out_add_command(id, &pairs, "body")).collect();
            harness.node.received(harness.now, client, text.as_bytes());
            harness.advance(5 * MS);
        };
        let ok_answer = |ids: [&str; 2]| {
            let body = format!(r#"[{{"id":"{}","state":"ok"}},{{"id":"{}","state":"ok"}}]"#, ids[0], ids[1]);
            format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
        };
        add(&mut harness, "safe", ["a1", "a2"]);
        let (conn, _) = harness.take_received(1002).remove(0);
        harness.peer_sends(conn, refusal);
        let mut again = None;
        while again.is_none() {
            harness.advance(5 * MS);
            again = harness.take_received(1002).pop();
        }
        if again.unwrap().0 != conn {
            assert!(harness.closed.contains(&conn), "neither closed nor used again");
            continue;
        }
        harness.peer_sends(conn, &ok_answer(["a1", "a2"]));
        add(&mut harness, "once", ["b1", "b2"]);
        assert_eq!(harness.take_received(1002).remove(0).0, conn);
        harness.peer_sends(conn, refusal);
        harness.advance(180 * MS);
        harness.peer_sends(conn, &ok_answer(["b1", "b2"]));
        harness.advance(3_000 * MS);
        let calls = harness.take_received(1002);
        assert!(calls.iter().all(|(_, t)| !t.contains("b1") && !t.contains("b2")), "{refusal:?}: {calls:?}");
    }
}

/// Guards against an uncertain delivery that counts because its connection is closed before the real answer
/// comes: a sender that is refused for a full connection table closes its idle connections.
#[test]
fn an_uncertain_delivery_does_not_count_once_its_connection_is_closed() {
    let many = START_CONFIG.replace("\"Balancers\":1", "\"Balancers\":300");
    let mut harness = start_harness_with(&many, Journal::open(Disk::default(), JOURNAL_LIMITS).unwrap(), 0);
    harness.advance(50 * MS);
    let client = harness.connect_client();
    harness.submit(client, "before", SAFE);
    let (conn, _) = harness.take_received(1001).remove(0);
    harness.peer_sends(conn, OK);
    harness.submit(client, "doubtful", SAFE);
    assert_eq!(harness.take_received(1001).remove(0).0, conn);
    harness.submit(client, "turned-away", SAFE);
    let (fresh, _) = harness.take_received(1001).remove(0);
    harness.peer_sends(conn, OK);
    harness.peer_sends(fresh, "HTTP/1.1 503 No\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    assert!(harness.closed.contains(&conn), "the idle connection is closed at once");
    harness.advance(50 * MS);
    let notices: String = harness.take_received(2).into_iter().map(|(_, text)| text).collect();
    assert!(
        notices.contains("{\"id\":\"doubtful\",\"state\":"),
        "its own answer was never received: {notices}"
    );
}

/// Guards against a delivery that is believed from two copies whose bytes were mixed: together they are an answer that is
/// new on its connection.
#[test]
fn mixed_copies_of_an_answer_are_no_new_answer() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
    for cut in answer.len() - 3..answer.len() {
        let mut harness = new_harness();
        let client = harness.connect_client();
        harness.submit(client, "before", SAFE);
        let (conn, _) = harness.take_received(1001).remove(0);
        harness.peer_sends(conn, answer);
        harness.submit(client, "doubtful", SAFE);
        assert_eq!(harness.take_received(1001).remove(0).0, conn);
        harness.peer_sends(conn, &format!("{}{answer}{}", &answer[..cut], &answer[cut..]));
        harness.advance(2_000 * MS);
        let called_again = harness.take_received(1001).iter().any(|(_, text)| text.contains("doubtful"));
        let has_ended = harness.take_received(2).iter().any(|(_, text)| text.contains("doubtful"));
        assert!(called_again || has_ended, "cut at {cut}: its own answer was never received");
    }
}

/// Guards against a call that is out on an open connection once its message's time is over: a second copy was taken
/// for its answer, and the endpoint is still busy with the call before it.
#[test]
fn a_connection_with_an_uncertain_delivery_is_closed_once_the_messages_time_is_over() {
    const TIME: i64 = 2_500 * MS;
    // The page allows so much beyond it.
    const SLACK: i64 = 50 * MS;
    for further_calls in [false, true] {
        let mut harness = new_harness();
        let client = harness.connect_client();
        harness.submit(client, "before", SAFE);
        let (conn, _) = harness.take_received(1001).remove(0);
        harness.peer_sends(conn, OK);
        harness.submit(client, "long", SAFE);
        assert_eq!(harness.take_received(1001).remove(0).0, conn);
        harness.peer_sends(conn, OK);
        let end = harness.now + TIME + SLACK;
        harness.submit(client, "m", &format!("c=once,t=t,d={},dest=1", TIME / MS));
        assert_eq!(harness.take_received(1001).remove(0).0, conn);
        harness.peer_sends(conn, OK);
        // The endpoint reads neither the message's call nor any that follows it.
        while harness.now < end {
            if further_calls && (harness.now / MS) % 200 == 0 {
                harness.submit(client, &format!("further-{}", harness.now), SAFE);
            }
            harness.advance(5 * MS);
            for (other, _) in harness.take_received(1001) {
                harness.peer_sends(other, OK);
            }
        }
        assert!(harness.closed.contains(&conn), "still open, further calls: {further_calls}");
    }
}

/// Guards against the same for one message of several in a call, behind a call that a second copy has answered.
#[test]
fn a_shared_call_behind_an_uncertain_delivery_is_given_up_once_the_time_of_one_message_is_over() {
    const TIME: i64 = 600 * MS;
    const SLACK: i64 = 50 * MS;
    let mut harness = new_harness();
    let client = harness.connect_client();
    let safe = "c=safe,t=t,d=7000,dest=2";
    harness.submit(client, "before", safe);
    let (conn, _) = harness.take_received(1002).remove(0);
    harness.peer_sends(conn, OK);
    harness.submit(client, "long", safe);
    assert_eq!(harness.take_received(1002).remove(0).0, conn);
    harness.peer_sends(conn, OK);
    let short = out_add_command("short", &format!("c=safe,t=t,d={},dest=2", TIME / MS), "body");
    let both = short + &out_add_command("other", safe, "body");
    harness.node.received(harness.now, client, both.as_bytes());
    let end = harness.now + TIME + SLACK;
    harness.advance(5 * MS);
    let (shared, text) = harness.take_received(1002).remove(0);
    assert!(shared == conn && text.contains("short") && text.contains("other"), "{text}");
    harness.advance(end - harness.now);
    assert!(harness.closed.contains(&conn), "still open");
}

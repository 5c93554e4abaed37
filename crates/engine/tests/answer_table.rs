//! Plays the table "What an answer allows" of docs/platform.md: every answer of the protocol, certain or doubtful, for each
//! effect, alone or in a call of several, after each history of the connection, with and without a restart behind it.
//! What is expected is written down here from the protocol page, not from the code.

mod sender;

use heronroute_engine::{CloseReason, ConnId};
use sender::*;
use std::collections::BTreeSet;

const DEADLINE: i64 = 2_500 * MS;
/// The end of a message must be reported this long after its deadline.
const REPORT_SLACK: i64 = 300 * MS;
/// The wait that a 429 demands.
const WAIT: i64 = 900 * MS;
const MAX_ATTEMPTS: usize = 4;
const CLASSES: [&str; 3] = ["safe", "keyed", "once"];
/// The first OK on a connection and its copies.
const COPIED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// What comes back for a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Delivered,
    Failed,
    Wait,
    Unavailable,
    NoSlot,
    Exhausted,
    Gone,
    /// 413 and 400: nothing ran.
    TooLarge,
    BadRequest,
    Spoilt,
    /// A 410 or 504 whose body never comes; then the connection ends.
    GoneHead,
    ExhaustedHead,
    /// The status line of a 410; then the connection ends.
    GoneStatusLine,
    /// A 410 whose head can't be read behind its status line.
    SpoiltGone,
    /// The connection ends, or is reset, without an answer.
    Ended,
    Reset,
    Nothing,
    /// A list with this state for each message of a call of several.
    List(&'static str),
    /// A list with "gone" for the first message and "ok" for the others.
    MixedList,
    /// A list with "gone" for the first message that breaks off behind its entry; then the connection ends.
    PartialList,
    /// A list without any of the messages.
    EmptyList,
}

const FOR_ANY_CALL: [Answer; 17] = [
    Answer::Delivered,
    Answer::Failed,
    Answer::Wait,
    Answer::Unavailable,
    Answer::NoSlot,
    Answer::Exhausted,
    Answer::Gone,
    Answer::TooLarge,
    Answer::BadRequest,
    Answer::Spoilt,
    Answer::GoneHead,
    Answer::ExhaustedHead,
    Answer::GoneStatusLine,
    Answer::SpoiltGone,
    Answer::Ended,
    Answer::Reset,
    Answer::Nothing,
];
const FOR_SEVERAL: [Answer; 8] = [
    Answer::List("ok"),
    Answer::List("error"),
    Answer::List("later"),
    Answer::List("gone"),
    Answer::List("exhausted"),
    Answer::MixedList,
    Answer::PartialList,
    Answer::EmptyList,
];

/// What came before the call on its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum History {
    /// Nothing: the call is the first.
    Fresh,
    /// One answer, different from all others.
    Used,
    /// The same answer twice, so that each later one may be an earlier call's; longer ago than any timer, or just now.
    Doubtful,
    DoubtfulNow,
    /// One answer, of which a copy comes behind the call, this long before the call's own answer; 0: in the same read.
    CopyBefore(i64),
}

const HISTORIES: [History; 7] = [
    History::Fresh,
    History::Used,
    History::Doubtful,
    History::DoubtfulNow,
    History::CopyBefore(0),
    History::CopyBefore(60 * MS),
    History::CopyBefore(700 * MS),
];

/// Whether a message may be sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Again {
    Never,
    /// It may have run: not if it must not run twice.
    IfRepeatable,
    /// It has not run.
    Yes,
}

/// A row of the table, for one message.
#[derive(Clone, Copy, Debug)]
struct Row {
    again: Again,
    /// The states that a notice may have, if the message is never delivered.
    owed: &'static [&'static str],
}

const EITHER: &[&str] = &["failed", "returned"];

impl Answer {
    /// The row for a message of a call, by its place in it, if the answer certainly is the call's own.
    fn row(self, place: usize) -> Row {
        let again = match self {
            Answer::Delivered | Answer::List("ok") => Again::Never,
            Answer::Wait | Answer::Unavailable | Answer::NoSlot | Answer::List("later") => Again::Yes,
            Answer::Exhausted | Answer::ExhaustedHead | Answer::List("exhausted") => Again::Never,
            Answer::MixedList => Again::Never,
            Answer::PartialList if place > 0 => Again::IfRepeatable,
            answer if answer.says_gone() => Again::Never,
            _ => Again::IfRepeatable,
        };
        let owed = if self.says_gone() && place == 0 { &EITHER[..1] } else { EITHER };
        Row { again, owed }
    }

    fn says_gone(self) -> bool {
        matches!(
            self,
            Answer::Gone
                | Answer::GoneHead
                | Answer::GoneStatusLine
                | Answer::SpoiltGone
                | Answer::List("gone")
                | Answer::MixedList
                | Answer::PartialList
        )
    }

    /// Whether a message may have run by this answer.
    fn may_have_run(self) -> bool {
        let never = [
            Answer::Wait,
            Answer::Unavailable,
            Answer::NoSlot,
            Answer::Exhausted,
            Answer::TooLarge,
            Answer::BadRequest,
            Answer::List("later"),
            Answer::List("exhausted"),
        ];
        !never.contains(&self) && !self.says_gone()
    }

    /// Whether it delivers the message at a place in the call.
    fn delivers(self, place: usize, several: bool) -> bool {
        match self {
            // A call of several has to be told of each message.
            Answer::Delivered => !several,
            Answer::List("ok") => true,
            Answer::MixedList => place > 0,
            _ => false,
        }
    }

    /// Whether it names the messages of its call, so that it is certain wherever it comes.
    fn names_its_call(self) -> bool {
        matches!(self, Answer::List(_) | Answer::MixedList)
    }

    fn text(self, ids: &[&str]) -> String {
        let plain = |status: &str| format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
        let head = |status: &str| format!("HTTP/1.1 {status}\r\ncontent-length: 9\r\n\r\nhalf");
        let entry = |id: &&str, state: &str| format!(r#"{{"id":"{id}","state":"{state}"}}"#);
        let list = |states: &[&str]| {
            let entries: Vec<String> = ids.iter().zip(states).map(|(id, state)| entry(id, state)).collect();
            let body = format!("[{}]", entries.join(","));
            format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
        };
        match self {
            Answer::Delivered => "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown".to_string(),
            Answer::Failed => plain("500 No"),
            Answer::Wait => plain("429 No\r\nretry-after: 0.9"),
            Answer::Unavailable => plain("503 No"),
            Answer::NoSlot => plain("503 No\r\nx-no-slot: 1"),
            Answer::Exhausted => plain("504 No"),
            Answer::Gone => plain("410 No"),
            Answer::TooLarge => plain("413 No"),
            Answer::BadRequest => plain("400 No"),
            Answer::Spoilt => "HTTP/1.1 5O3 No\r\ncontent-length: x\r\n\r\n".to_string(),
            Answer::GoneHead => head("410 No"),
            Answer::ExhaustedHead => head("504 No"),
            Answer::GoneStatusLine => "HTTP/1.1 410 No\r\n".to_string(),
            Answer::SpoiltGone => "HTTP/1.1 410 No\r\ncontent-length: x\r\n\r\n".to_string(),
            Answer::Ended | Answer::Reset | Answer::Nothing => String::new(),
            Answer::List(state) => list(&vec![state; ids.len()]),
            Answer::MixedList => list(&["gone", "ok"]),
            Answer::PartialList => {
                let body = format!("[{},{{\"id\":\"", entry(&ids[0], "gone"));
                format!("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{body}")
            }
            Answer::EmptyList => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]".to_string(),
        }
    }

    fn ends_connection(self) -> bool {
        matches!(
            self,
            Answer::GoneHead
                | Answer::ExhaustedHead
                | Answer::GoneStatusLine
                | Answer::PartialList
                | Answer::Ended
                | Answer::Reset
        )
    }
}

/// One call, its answer, and all that follows.
struct Play {
    harness: Harness,
    port: u16,
    ids: Vec<&'static str>,
    /// The connection of the call, its answer's time, and whether it has been answered.
    call: Option<(ConnId, i64)>,
    is_out: bool,
    /// The times of further calls, by message.
    further: Vec<Vec<i64>>,
    /// The places of the messages that a further call has delivered.
    delivered: BTreeSet<usize>,
    notices: String,
    answers: u32,
    label: String,
}

impl Play {
    fn new(several: bool, label: String) -> Self {
        let (port, ids) = if several { (1002, vec!["m0", "m1"]) } else { (1001, vec!["m0"]) };
        Play {
            harness: new_harness(),
            port,
            further: vec![Vec::new(); ids.len()],
            ids,
            call: None,
            is_out: false,
            delivered: BTreeSet::new(),
            notices: String::new(),
            answers: 0,
            label,
        }
    }

    fn pairs(&self, class: &str) -> String {
        format!("c={class},t=t,d={},k=abc,dest={}", DEADLINE / MS, self.port - 1_000)
    }

    /// Sets up the connection's history, and submits the messages. Returns the connection of their call.
    fn call_after(&mut self, history: History, class: &str) -> ConnId {
        let client = self.harness.connect_client();
        let answers = match history {
            History::Fresh => vec![],
            History::Used => vec!["HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nused"],
            History::Doubtful | History::DoubtfulNow => vec![COPIED, COPIED],
            History::CopyBefore(_) => vec![COPIED],
        };
        let mut used = None;
        for (count, answer) in answers.iter().enumerate() {
            let pairs = self.pairs("safe");
            self.harness.submit(client, &format!("before-{count}"), &pairs);
            let (conn, _) = self.harness.take_received(self.port).remove(0);
            self.harness.peer_sends(conn, answer);
            used = Some(conn);
        }
        self.harness.advance(if history == History::Doubtful { 600 * MS } else { 20 * MS });
        let pairs = self.pairs(class);
        let text: String = self.ids.iter().map(|id| out_add_command(id, &pairs, "body")).collect();
        self.harness.node.received(self.harness.now, client, text.as_bytes());
        self.harness.advance(5 * MS);
        let (conn, text) = self.harness.take_received(self.port).remove(0);
        assert!(self.ids.iter().all(|id| text.contains(id)), "{}: {text}", self.label);
        assert!(used.is_none_or(|used| used == conn), "{}: another connection", self.label);
        self.is_out = true;
        conn
    }

    /// Writes the call's own answer, if its connection is still open. Returns whether it is.
    fn answer(&mut self, conn: ConnId, history: History, answer: Answer) -> bool {
        if let History::CopyBefore(span) = history {
            if span > 0 {
                self.peer_sends(conn, COPIED);
                self.advance(span);
            }
            let together = if span == 0 { COPIED } else { "" };
            return self.write_answer(conn, &format!("{together}{}", answer.text(&self.ids)), answer);
        }
        self.write_answer(conn, &answer.text(&self.ids), answer)
    }

    fn write_answer(&mut self, conn: ConnId, text: &str, answer: Answer) -> bool {
        if !self.harness.node_connections.contains_key(&conn) {
            return false;
        }
        self.call = Some((conn, self.harness.now));
        self.is_out = answer == Answer::Nothing;
        self.peer_sends(conn, text);
        if answer.ends_connection() && self.harness.node_connections.contains_key(&conn) {
            let now = self.harness.now;
            let reason = if answer == Answer::Reset { CloseReason::Broken } else { CloseReason::Ended };
            self.harness.node.closed(now, conn, reason);
            if self.harness.node_connections.contains_key(&conn) {
                self.harness.connection_closed(conn);
            }
            self.advance(5 * MS);
        }
        true
    }

    fn peer_sends(&mut self, conn: ConnId, text: &str) {
        self.harness.node.received(self.harness.now, conn, text.as_bytes());
        self.advance(5 * MS);
    }

    fn restart(self) -> Self {
        let harness = self.harness.restart();
        Play { harness, is_out: false, ..self }
    }

    /// Advances the clock; answers further calls and notices.
    fn advance(&mut self, span: i64) {
        let end = self.harness.now + span;
        while self.harness.now < end {
            self.harness.advance(5 * MS);
            for (conn, text) in self.harness.take_received(self.port) {
                self.take_further_call(conn, &text);
            }
            for (conn, text) in self.harness.take_received(2) {
                if text.starts_with("POST") {
                    self.notices += &text;
                    self.harness.peer_sends(conn, NO_CONTENT);
                }
            }
        }
    }

    fn take_further_call(&mut self, conn: ConnId, text: &str) {
        let first = self.call.map(|(conn, _)| conn);
        let is_out =
            first.is_some_and(|first| self.is_out && self.harness.node_connections.contains_key(&first));
        let mut called = Vec::new();
        for (place, id) in self.ids.iter().enumerate().filter(|(_, id)| text.contains(*id)) {
            assert!(!is_out, "{}: {id} is out on two open connections", self.label);
            self.further[place].push(self.harness.now);
            self.delivered.insert(place);
            called.push(*id);
        }
        self.answers += 1;
        let answer = if text.starts_with("POST /inbox/bulk") {
            Answer::List("ok").text(&called)
        } else {
            let body = format!("{:04}", self.answers);
            format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n{body}")
        };
        self.harness.peer_sends(conn, &answer);
    }

    fn notice_states(&self, id: &str) -> BTreeSet<&'static str> {
        let of = |state: &&&str| {
            self.notices.contains(&format!(r#""id":"{id}","state":"{state}""#))
                || self
                    .notices
                    .lines()
                    .any(|line| line.contains(&format!(r#""id":"{id}""#)) && line.contains(**state))
        };
        EITHER.iter().filter(of).copied().collect()
    }
}

/// What is expected of a message, and whether a further call has to come.
fn expected(answer: Answer, history: History, place: usize, several: bool) -> (Row, bool) {
    let certain = answer.row(place);
    let doubted = Row {
        again: if certain.again == Again::Yes { Again::IfRepeatable } else { certain.again },
        ..certain
    };
    // Where no time is owed to a further call: the page says that nothing ran, and that the call itself is wrong.
    let is_rejected = matches!(answer, Answer::TooLarge | Answer::BadRequest | Answer::Nothing);
    match history {
        History::Fresh | History::Used => (certain, !is_rejected),
        History::Doubtful | History::DoubtfulNow if answer.names_its_call() => (certain, true),
        History::Doubtful | History::DoubtfulNow => (doubted, !is_rejected),
        // A delivery beside another answer may be repeated where that does no harm.
        History::CopyBefore(_) if answer.delivers(place, several) => {
            (Row { again: Again::IfRepeatable, owed: EITHER }, false)
        }
        History::CopyBefore(0) if several => (doubted, false),
        // The copy answers no call of several, and the connection is closed before the own answer comes.
        History::CopyBefore(span) if several && span > 0 => {
            (Row { again: Again::IfRepeatable, owed: EITHER }, true)
        }
        // The copy is reported as a delivery that is not proved.
        History::CopyBefore(span) if span > 400 * MS => {
            (Row { again: Again::Never, owed: &EITHER[..1] }, false)
        }
        History::CopyBefore(_) => {
            let says_nothing = matches!(answer, Answer::Spoilt | Answer::Nothing | Answer::EmptyList);
            (doubted, !is_rejected && !says_nothing)
        }
    }
}

fn judge(play: &Play, class: &str, history: History, answer: Answer, restarted: bool) -> Vec<String> {
    let mut broken = Vec::new();
    let mut check = |holds: bool, message: String| {
        if !holds {
            broken.push(message);
        }
    };
    let several = play.ids.len() > 1;
    for (place, id) in play.ids.iter().enumerate() {
        let label = format!("{id}, {}", play.label);
        let (row, must_come) = expected(answer, history, place, several);
        let further = &play.further[place];
        let delivered = play.delivered.contains(&place);
        let own_delivery = answer.delivers(place, several) && play.call.is_some();
        let again = match row.again {
            // A call of several whose answer names none of them says nothing.
            Again::Never if several && answer == Answer::Delivered => Again::IfRepeatable,
            again => again,
        };
        // A process that ends with a doubtful answer at hand has only the intent.
        let forgot = restarted && own_delivery && !matches!(history, History::Fresh | History::Used);
        match again {
            Again::Never if forgot => {
                check(class != "once" || further.is_empty(), format!("{label}: sent again"))
            }
            Again::Never => check(further.is_empty(), format!("{label}: sent again at {further:?}")),
            Again::IfRepeatable if class == "once" => {
                let never_ran = !answer.may_have_run() && matches!(history, History::Fresh | History::Used);
                check(never_ran || further.is_empty(), format!("{label}: sent again at {further:?}"));
            }
            Again::IfRepeatable => {
                check(!must_come || restarted || !further.is_empty(), format!("{label}: not sent again"))
            }
            Again::Yes => check(restarted || !further.is_empty(), format!("{label}: not sent again")),
        }
        check(further.len() < MAX_ATTEMPTS, format!("{label}: sent again at {further:?}"));
        if let (Answer::Wait, Some((_, told)), Some(first), false) =
            (answer, play.call, further.first(), restarted)
        {
            check(first - told >= WAIT, format!("{label}: sent {} us after a wait was told", first - told));
        }
        let states = play.notice_states(id);
        if !delivered && !own_delivery {
            check(!states.is_empty(), format!("{label}: neither delivered nor reported"));
            check(states.iter().all(|state| row.owed.contains(state)), format!("{label}: {states:?}"));
        }
        let may_have_run = answer.may_have_run() || !matches!(history, History::Fresh | History::Used);
        if class == "once" && may_have_run && !answer.names_its_call() {
            check(!states.contains("returned"), format!("{label}: returned though it may have run"));
        }
    }
    check(play.harness.node.open() == 0, format!("{}: still open", play.label));
    broken
}

fn run(class: &str, several: bool, history: History, answer: Answer, restarts: bool) -> Vec<String> {
    let label = format!("{class}, several: {several}, {history:?}, {answer:?}, restarted: {restarts}");
    let mut play = Play::new(several, label);
    let conn = play.call_after(history, class);
    play.answer(conn, history, answer);
    if restarts {
        play = play.restart();
    }
    play.advance(DEADLINE + REPORT_SLACK);
    judge(&play, class, history, answer, restarts)
}

/// Guards against a message that is sent again though an answer has ended it, sooner than it may, or that loses its end.
#[test]
fn each_answer_allows_what_the_table_says() {
    let (mut plays, mut broken) = (0, Vec::new());
    for class in CLASSES {
        for history in HISTORIES {
            for restarts in [false, true] {
                for answer in FOR_ANY_CALL {
                    broken.extend(run(class, false, history, answer, restarts));
                    broken.extend(run(class, true, history, answer, restarts));
                    plays += 2;
                }
                for answer in FOR_SEVERAL {
                    broken.extend(run(class, true, history, answer, restarts));
                    plays += 1;
                }
            }
        }
    }
    assert!(broken.is_empty(), "{} of {plays} plays:\n{}", broken.len(), broken.join("\n"));
}

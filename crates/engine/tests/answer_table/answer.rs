//! The answers of the protocol page, and what each says by itself.

use crate::sender::MS;
use crate::table::{Again, EITHER, Row};

/// The wait that an answer may tell.
pub const WAIT: i64 = 900 * MS;

/// What comes back for a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
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
    /// A list with "later" for each message, and the same wait as that of `Wait`.
    WaitingList,
    /// A list with "gone" for the first message that breaks off behind its entry; then the connection ends.
    PartialList,
    /// A list without any of the messages.
    EmptyList,
}

pub const FOR_ANY_CALL: [Answer; 17] = [
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
pub const FOR_SEVERAL: [Answer; 9] = [
    Answer::List("ok"),
    Answer::List("error"),
    Answer::List("later"),
    Answer::List("gone"),
    Answer::List("exhausted"),
    Answer::MixedList,
    Answer::WaitingList,
    Answer::PartialList,
    Answer::EmptyList,
];

impl Answer {
    /// The row for a message of a call, by its place in it, if the answer certainly is the call's own.
    pub fn row(self, place: usize) -> Row {
        let again = match self {
            Answer::Delivered | Answer::List("ok") => Again::Never,
            Answer::Wait | Answer::Unavailable | Answer::NoSlot => Again::Yes,
            Answer::List("later") | Answer::WaitingList => Again::Yes,
            Answer::Exhausted | Answer::ExhaustedHead | Answer::List("exhausted") => Again::Never,
            Answer::MixedList => Again::Never,
            Answer::PartialList if place > 0 => Again::IfRepeatable,
            answer if answer.says_gone() => Again::Never,
            _ => Again::IfRepeatable,
        };
        let owed = if self.says_gone() && place == 0 { &EITHER[..1] } else { EITHER };
        Row { again, owed }
    }

    pub fn says_gone(self) -> bool {
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
    pub fn may_have_run(self) -> bool {
        let never = [
            Answer::Wait,
            Answer::Unavailable,
            Answer::NoSlot,
            Answer::Exhausted,
            Answer::TooLarge,
            Answer::BadRequest,
            Answer::List("later"),
            Answer::WaitingList,
            Answer::List("exhausted"),
        ];
        !never.contains(&self) && !self.says_gone()
    }

    /// Whether it delivers the message at a place in the call.
    pub fn delivers(self, place: usize, several: bool) -> bool {
        match self {
            // A call of several has to be told of each message.
            Answer::Delivered => !several,
            Answer::List("ok") => true,
            Answer::MixedList => place > 0,
            _ => false,
        }
    }

    /// Whether it tells a wait of [`WAIT`].
    pub fn tells_wait(self) -> bool {
        matches!(self, Answer::Wait | Answer::WaitingList)
    }

    /// Whether it names the messages of its call, so that it is certain wherever it comes.
    pub fn names_its_call(self) -> bool {
        matches!(self, Answer::List(_) | Answer::MixedList | Answer::WaitingList)
    }

    pub fn text(self, ids: &[&str]) -> String {
        let plain = |status: &str| format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
        let head = |status: &str| format!("HTTP/1.1 {status}\r\ncontent-length: 9\r\n\r\nhalf");
        let entry = |id: &&str, state: &str| format!(r#"{{"id":"{id}","state":"{state}"}}"#);
        let list = |field: &str, states: &[&str]| {
            let entries: Vec<String> = ids.iter().zip(states).map(|(id, state)| entry(id, state)).collect();
            let body = format!("[{}]", entries.join(","));
            format!("HTTP/1.1 200 OK\r\n{field}content-length: {}\r\n\r\n{body}", body.len())
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
            Answer::List(state) => list("", &vec![state; ids.len()]),
            Answer::WaitingList => list("retry-after: 0.9\r\n", &vec!["later"; ids.len()]),
            Answer::MixedList => list("", &["gone", "ok"]),
            Answer::PartialList => {
                let body = format!("[{},{{\"id\":\"", entry(&ids[0], "gone"));
                format!("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{body}")
            }
            Answer::EmptyList => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]".to_string(),
        }
    }

    pub fn ends_connection(self) -> bool {
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

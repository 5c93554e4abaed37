//! What an answer allows, by what came before it on its connection.

use crate::answer::Answer;
use crate::sender::MS;

/// What came before the call on its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum History {
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

pub const HISTORIES: [History; 7] = [
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
pub enum Again {
    Never,
    /// It may have run: not if it must not run twice.
    IfRepeatable,
    /// It has not run.
    Yes,
}

/// A row of the table, for one message.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    pub again: Again,
    /// The states that a notice may have, if the message is never delivered.
    pub owed: &'static [&'static str],
}

pub const EITHER: &[&str] = &["failed", "returned"];

/// What is expected of a message, and whether a further call has to come.
pub fn expected(answer: Answer, history: History, place: usize, several: bool) -> (Row, bool) {
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

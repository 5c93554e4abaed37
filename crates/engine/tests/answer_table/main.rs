//! Plays the table "What an answer allows" of docs/platform.md: every answer of the protocol, certain or doubtful, for each
//! effect, alone or in a call of several, after each history of the connection, with and without a restart behind it.
//! What is expected is written down here from the protocol page, not from the code.

mod answer;
mod play;
#[path = "../sender/mod.rs"]
mod sender;
mod table;

use answer::{Answer, FOR_ANY_CALL, FOR_SEVERAL, WAIT};
use play::{DEADLINE, Further, Play};
use sender::MS;
use table::{Again, HISTORIES, History, expected};

/// The end of a message must be reported this long after its deadline.
const REPORT_SLACK: i64 = 300 * MS;
/// The most calls with a message.
const MAX_ATTEMPTS: usize = 4;
const CLASSES: [&str; 3] = ["safe", "keyed", "once"];

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
        if let (true, Some((_, told)), Some(first), false) =
            (answer.tells_wait(), play.call, further.first(), restarted)
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

/// One case of the table.
#[derive(Clone, Copy, Debug)]
struct Case {
    class: &'static str,
    several: bool,
    history: History,
    answer: Answer,
    restarts: bool,
}

fn all_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for class in CLASSES {
        for history in HISTORIES {
            for restarts in [false, true] {
                let case = |several, answer| Case { class, several, history, answer, restarts };
                cases.extend(FOR_ANY_CALL.map(|answer| case(false, answer)));
                cases.extend(FOR_ANY_CALL.map(|answer| case(true, answer)));
                cases.extend(FOR_SEVERAL.map(|answer| case(true, answer)));
            }
        }
    }
    cases
}

fn run(case: Case, further: Further) -> Play {
    let Case { class, several, history, answer, restarts } = case;
    let mut play = Play::new(several, further, format!("{case:?}"));
    let conn = play.call_after(history, class);
    play.answer(conn, history, answer);
    if restarts {
        play = play.restart();
    }
    play.advance(DEADLINE + REPORT_SLACK);
    play
}

/// Guards against a message that is sent again though an answer has ended it, sooner than it may, or that loses its end.
#[test]
fn each_answer_allows_what_the_table_says() {
    let cases = all_cases();
    let judged = cases.iter().flat_map(|case| {
        let play = run(*case, Further::Deliver);
        judge(&play, case.class, case.history, case.answer, case.restarts)
    });
    let broken: Vec<String> = judged.collect();
    assert!(broken.is_empty(), "{} in {} plays:\n{}", broken.len(), cases.len(), broken.join("\n"));
}

/// Guards against further attempts because it is in doubt whose answer an earlier one got, and against a message that loses
/// its end with its last attempt.
#[test]
fn no_message_gets_more_attempts_than_allowed() {
    let mut broken = Vec::new();
    for case in all_cases() {
        let play = run(case, Further::Refuse);
        for (place, id) in play.ids.iter().enumerate() {
            let further = &play.further[place];
            if further.len() >= MAX_ATTEMPTS {
                broken.push(format!("{id}, {}: sent again at {further:?}", play.label));
            }
            let is_delivered = case.answer.delivers(place, case.several) && play.call.is_some();
            if !is_delivered && play.notice_states(id).is_empty() {
                broken.push(format!("{id}, {}: no end", play.label));
            }
        }
        if play.harness.node.open() > 0 {
            broken.push(format!("{}: still open", play.label));
        }
    }
    assert!(broken.is_empty(), "{}:\n{}", broken.len(), broken.join("\n"));
}

/// Guards against a message that is sent after its notice, or returned though it may run and must not run twice, where its time
/// is over while its call with another message is out. Only a later answer can tell of the call.
#[test]
fn a_message_whose_time_is_over_while_its_call_is_out_is_never_sent_again() {
    const SHORT: i64 = 600 * MS;
    for answer in FOR_ANY_CALL.into_iter().chain(FOR_SEVERAL) {
        for class in CLASSES {
            for restarts in [false, true] {
                let label =
                    format!("{class}, {answer:?} after the time of one message, restarts: {restarts}");
                let mut play = Play::new(true, Further::Deliver, label.clone());
                let client = play.harness.connect_client();
                let conn = play.submit_together(client, class, &[SHORT, DEADLINE]);
                play.advance(SHORT + REPORT_SLACK);
                let states = play.notice_states(play.ids[0]);
                assert!(states.len() == 1, "{label}: {states:?}");
                assert!(class != "once" || states.contains("failed"), "{label}: {states:?}");
                play.answer(conn, History::Fresh, answer);
                if restarts {
                    play = play.restart();
                }
                play.advance(DEADLINE + REPORT_SLACK);
                assert!(play.further[0].is_empty(), "{label}: sent again at {:?}", play.further[0]);
                assert_eq!(play.notice_states(play.ids[0]), states, "{label}: another end");
                assert_eq!(play.harness.node.open(), 0, "{label}");
            }
        }
    }
}

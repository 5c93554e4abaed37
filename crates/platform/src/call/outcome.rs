//! What a whole answer proves of each message of its call.

use heronroute::{Micros, Outcome};
use heronroute_http::Message;
use serde_json::Value;
use std::collections::BTreeSet;

/// How one message fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fate {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The wait that was told.
    pub wait: Micros,
    /// The message is over; nothing more is owed.
    pub over: bool,
}

impl Fate {
    pub(super) fn of(outcome: Outcome, wait: Micros) -> Self {
        Fate { outcome, wait, over: outcome == Outcome::Done }
    }
}

pub(super) fn in_micros(seconds: f64) -> Micros {
    (seconds * 1e6).ceil() as Micros
}

/// `turned_away`: the answer is the first on its connection, and closes it. A 503 then speaks of the connection: the
/// endpoint's table of them is full. One for the call (limit, queue, drain) leaves the connection open. Guards against
/// a full table being taken for a limit, so that those who hold idle connections never learn to let them go.
pub(super) fn fates(m: &Message, ids: &[String], turned_away: bool, spent: &mut bool) -> Vec<Fate> {
    let wait = m.retry_after().map_or(0, in_micros);
    let no_slot = m.field("x-no-slot").is_some_and(|v| v.trim() == "1");
    let fate = match m.status() {
        200 if ids.len() > 1 => return each(&m.body, ids, wait, spent),
        200 => Fate::of(Outcome::Done, wait),
        429 => Fate::of(Outcome::Busy, wait),
        503 if no_slot => Fate::of(Outcome::Skipped, wait),
        503 if turned_away && wait == 0 => Fate::of(Outcome::Crowded, 0),
        503 => Fate::of(Outcome::Busy, wait),
        504 => Fate::of(Outcome::Skipped, wait),
        410 => Fate { outcome: Outcome::Skipped, wait, over: true },
        _ => Fate::of(Outcome::Error, wait),
    };
    vec![fate; ids.len().max(1)]
}

/// An answer that gives the end of each message. One that is not named, or not in a known word, may have run.
/// Where it names others than were asked, the connection is `spent`. Guards against a second copy of an earlier answer:
/// this call's own is still to come, and would be taken for the next one's.
fn each(body: &[u8], ids: &[String], wait: Micros, spent: &mut bool) -> Vec<Fate> {
    let told: Value = serde_json::from_slice(body).unwrap_or_default();
    let lines = told.as_array().map(Vec::as_slice).unwrap_or_default();
    let named: BTreeSet<&str> = lines.iter().filter_map(|l| l["id"].as_str()).collect();
    *spent |= named != ids.iter().map(String::as_str).collect();
    let of = |id: &String| {
        let state = lines.iter().find(|l| l["id"] == id.as_str()).and_then(|l| l["state"].as_str());
        match state {
            Some("ok") => Fate::of(Outcome::Done, wait),
            Some("later") => Fate::of(Outcome::Busy, wait),
            Some("gone") => Fate { outcome: Outcome::Skipped, wait, over: true },
            Some("exhausted") => Fate::of(Outcome::Skipped, wait),
            _ => Fate::of(Outcome::Error, wait),
        }
    };
    ids.iter().map(of).collect()
}

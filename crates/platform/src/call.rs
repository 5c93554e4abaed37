//! Calls to endpoints: one message, or several in one; and what their answers prove.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::BytesMut;
use heronroute::{Micros, Outcome};
use heronroute_http::{Message, Reader, Side, write_request};
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// Octets of an answer's body at most.
const MOST_BODY: usize = 64 * 1024;

/// A message on its way.
#[derive(Clone, Copy, Debug)]
pub struct Item<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its idempotency key.
    pub key: Option<&'a str>,
    /// Its body.
    pub body: &'a [u8],
}

/// Octets of a message in a call of several, at most: its body in Base64, its id and key with each octet escaped.
pub fn size(id: usize, key: usize, body: usize) -> usize {
    body.div_ceil(3) * 4 + 6 * (id + key) + 32
}

/// Writes a call of one message or several. `wait`: an answer is waited for so long.
pub fn write(items: &[Item<'_>], wait: Micros, host: &str, out: &mut BytesMut) {
    let budget = (wait.max(0) / 1_000).to_string();
    if let [one] = items {
        let mut fields = vec![("X-Call-Id", one.id), ("X-Budget-Ms", &budget)];
        fields.extend(one.key.map(|k| ("Idempotency-Key", k)));
        return write_request("POST", "/inbox", host, &fields, one.body, out);
    }
    let object = |i: &Item<'_>| {
        let mut o = json!({"id": i.id, "body": STANDARD.encode(i.body)});
        if let Some(k) = i.key {
            o["key"] = json!(k);
        }
        o
    };
    let body = Value::Array(items.iter().map(object).collect()).to_string();
    let fields = [("Content-Type", "application/json"), ("X-Budget-Ms", &budget)];
    write_request("POST", "/inbox/bulk", host, &fields, body.as_bytes(), out);
}

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
    fn of(outcome: Outcome, wait: Micros) -> Self {
        Fate { outcome, wait, over: outcome == Outcome::Done }
    }
}

/// What was heard on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// The call is answered, for each of its messages in order. `spent`: the connection is of no more use.
    Answer {
        /// By message.
        fates: Vec<Fate>,
        /// See above.
        spent: bool,
    },
    /// An answer is on its way whose head tells a wait.
    Wait(Micros),
    /// The connection is of no more use, and answered nothing.
    Spent(&'static str),
}

/// Reads answers on one connection, which carries one call at a time.
#[derive(Debug)]
pub struct Answers {
    reader: Reader,
    /// Ids of the messages of the call that is out; empty for a probe.
    asked: Option<Vec<String>>,
    /// The wait of the answer that is being read was handed on.
    told: bool,
    /// Nothing was answered here yet.
    fresh: bool,
}

impl Default for Answers {
    fn default() -> Self {
        Answers { reader: Reader::new(Side::Responses, MOST_BODY), asked: None, told: false, fresh: true }
    }
}

impl Answers {
    /// A call has been written, or a probe (of no messages).
    pub fn ask(&mut self, ids: Vec<String>) {
        (self.asked, self.told) = (Some(ids), false);
    }

    /// The call was taken back: none of it left.
    pub fn unask(&mut self) {
        self.asked = None;
    }

    /// The wait that the answer being read tells, 0 if none.
    fn wait(&self) -> Micros {
        self.reader.wait_so_far().map_or(0, in_micros)
    }

    /// Octets came, or (`ended`) the peer closed its side.
    pub fn receive(&mut self, octets: &[u8], ended: bool) -> Option<Heard> {
        // Guards against a second copy of an answer that comes in pieces: what of it comes before the next call would
        // be taken, with the rest, for that call's answer.
        if self.asked.is_none() && !octets.is_empty() {
            return Some(Heard::Spent("octets that nobody asked for"));
        }
        self.reader.push(octets);
        if ended {
            self.reader.end();
        }
        loop {
            match self.reader.next_message() {
                // Interim answers say nothing yet.
                Ok(Some(m)) if (100..200).contains(&m.status()) => {}
                Ok(Some(m)) => {
                    let Some(ids) = self.asked.take() else {
                        return Some(Heard::Spent("an answer that nobody asked for"));
                    };
                    // Guards against a second copy, or noise, behind a good answer: what comes next on this
                    // connection belongs to nothing.
                    let mut spent = m.last || ended || self.reader.begun();
                    let turned_away = std::mem::take(&mut self.fresh) && m.last;
                    let fates = fates(&m, &ids, turned_away, &mut spent);
                    return Some(Heard::Answer { fates, spent });
                }
                Ok(None) => {
                    // Guards against an answer that says 200 and does not come to its end: the call has been
                    // delivered all the same.
                    if self.reader.status_so_far() == Some(200)
                        && self.asked.as_ref().is_some_and(|ids| ids.len() == 1)
                    {
                        self.asked = None;
                        let fates = vec![Fate::of(Outcome::Done, self.wait())];
                        return Some(Heard::Answer { fates, spent: true });
                    }
                    // Guards against a wait that binds from the answer's head on, and would be heard with its last octet
                    // only, or never where it breaks off.
                    if !self.told && self.asked.is_some() && self.wait() > 0 {
                        self.told = true;
                        return Some(Heard::Wait(self.wait()));
                    }
                    return ended.then_some(Heard::Spent("closed by the endpoint"));
                }
                Err(e) => {
                    let Some(ids) = self.asked.take() else { return Some(Heard::Spent(e.0)) };
                    // A spoilt answer: the request has run, and only the first line can still be true.
                    let says = self.reader.status_so_far();
                    let done = ids.len() == 1 && says == Some(200);
                    let outcome = if done { Outcome::Done } else { Outcome::Error };
                    let fates = vec![Fate::of(outcome, self.wait()); ids.len().max(1)];
                    return Some(Heard::Answer { fates, spent: true });
                }
            }
        }
    }
}

fn in_micros(seconds: f64) -> Micros {
    (seconds * 1e6).ceil() as Micros
}

/// `turned_away`: the answer is the first on its connection, and closes it. A 503 then speaks of the connection: the
/// endpoint's table of them is full. One for the call (limit, queue, drain) leaves the connection open. Guards against
/// a full table being taken for a limit, so that those who hold idle connections never learn to let them go.
fn fates(m: &Message, ids: &[String], turned_away: bool, spent: &mut bool) -> Vec<Fate> {
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

//! Derives the outcome of each message of a call from a complete answer.

use heronroute::{Finality, Micros, Outcome};
use heronroute_http::Message;
use serde_json::Value;
use std::collections::BTreeSet;

/// The outcome of one attempt to deliver a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageOutcome {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The wait that the answer demands before the next attempt, or 0.
    pub retry_after: Micros,
    /// Whether the message may be sent again.
    pub finality: Finality,
}

impl MessageOutcome {
    /// Returns an outcome that is final only if the message was delivered.
    pub(super) fn of(outcome: Outcome, retry_after: Micros) -> Self {
        let finality = if outcome == Outcome::Done { Finality::Over } else { Finality::Open };
        MessageOutcome { outcome, retry_after, finality }
    }

    /// Returns the outcome if a later answer, which is not a delivery alone, may have been the message's own.
    #[must_use]
    pub fn or_later(self, later: Finality) -> Self {
        match self.outcome {
            Outcome::Done => MessageOutcome { outcome: Outcome::Error, finality: later, ..self },
            _ => MessageOutcome { finality: self.finality.max(later), ..self },
        }
    }

    /// Returns the outcome of a message that the endpoint will never accept, for this reason.
    fn refused_for_good(finality: Finality, retry_after: Micros) -> Self {
        MessageOutcome { outcome: Outcome::Skipped, retry_after, finality }
    }
}

/// Converts seconds into microseconds, rounded up.
pub(super) fn seconds_to_micros(seconds: f64) -> Micros {
    (seconds * 1e6).ceil() as Micros
}

/// Returns whether a batch answer names the messages of the call, and no others. Guards against a second copy
/// of an earlier answer.
pub(super) fn names_its_call(answer: &Message, ids: &[String]) -> bool {
    if answer.status() != 200 || ids.len() < 2 {
        return false;
    }
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let entries = body.as_array().map(Vec::as_slice).unwrap_or_default();
    let named: BTreeSet<&str> = entries.iter().filter_map(|entry| entry["id"].as_str()).collect();
    named == ids.iter().map(String::as_str).collect()
}

/// Returns the outcome of each message, in the order of `ids`.
///
/// `closed_at_once` means that the answer is the first on its connection and closes it. A 503 then concerns
/// the connection: the endpoint's connection table is full. A 503 that concerns the call (limit, queue,
/// drain) leaves the connection open. Guards against taking a full table for a limit: senders with idle
/// connections would never close them.
pub(super) fn message_outcomes(
    answer: &Message,
    ids: &[String],
    closed_at_once: bool,
) -> Vec<MessageOutcome> {
    let retry_after = answer.retry_after().map_or(0, seconds_to_micros);
    let has_no_slot = answer.field("x-no-slot").is_some_and(|value| value.trim() == "1");
    let outcome = match answer.status() {
        200 if ids.len() > 1 => return batch_outcomes(&answer.body, ids, retry_after),
        200 => MessageOutcome::of(Outcome::Done, retry_after),
        429 => MessageOutcome::of(Outcome::Busy, retry_after),
        503 if has_no_slot => MessageOutcome::of(Outcome::Skipped, retry_after),
        503 if closed_at_once && retry_after == 0 => MessageOutcome::of(Outcome::Crowded, 0),
        503 => MessageOutcome::of(Outcome::Busy, retry_after),
        status => match finality_of_status(status) {
            Finality::Open => MessageOutcome::of(Outcome::Error, retry_after),
            finality => MessageOutcome::refused_for_good(finality, retry_after),
        },
    };
    vec![outcome; ids.len().max(1)]
}

/// Returns whether messages may be sent again that were answered with this status, other than 200.
pub(super) fn finality_of_status(status: u16) -> Finality {
    match status {
        410 => Finality::Over,
        504 => Finality::Exhausted,
        _ => Finality::Open,
    }
}

/// Returns the outcome of each message whose answer has this status and can't be read to its end.
pub(super) fn unreadable_outcomes(
    status: Option<u16>,
    count: usize,
    retry_after: Micros,
) -> Vec<MessageOutcome> {
    let outcome = match (status, status.map_or(Finality::Open, finality_of_status)) {
        // The status line of a single message's delivery is enough.
        (Some(200), _) if count == 1 => MessageOutcome::of(Outcome::Done, retry_after),
        (_, Finality::Open) => MessageOutcome::of(Outcome::Error, retry_after),
        (_, finality) => MessageOutcome::refused_for_good(finality, retry_after),
    };
    vec![outcome; count.max(1)]
}

/// Returns the outcomes of a batch, whose answer states one for each message. A message that is missing, or
/// whose state is unknown, may have run.
fn batch_outcomes(body: &[u8], ids: &[String], retry_after: Micros) -> Vec<MessageOutcome> {
    let Ok(Value::Array(entries)) = serde_json::from_slice(body) else {
        return broken_batch_outcomes(body, ids, retry_after);
    };
    let outcome = |id: &String| match state_of(&entries, id) {
        Some("ok") => MessageOutcome::of(Outcome::Done, retry_after),
        Some("later") => MessageOutcome::of(Outcome::Busy, retry_after),
        state => match finality_of_state(state) {
            Finality::Open => MessageOutcome::of(Outcome::Error, retry_after),
            finality => MessageOutcome::refused_for_good(finality, retry_after),
        },
    };
    ids.iter().map(outcome).collect()
}

/// Returns the outcomes of a batch whose answer can't be read to its end. Only what ends a message counts.
fn broken_batch_outcomes(body: &[u8], ids: &[String], retry_after: Micros) -> Vec<MessageOutcome> {
    let outcome = |finality| match finality {
        Finality::Open => MessageOutcome::of(Outcome::Error, retry_after),
        finality => MessageOutcome::refused_for_good(finality, retry_after),
    };
    finality_in_partial_batch(body, ids).into_iter().map(outcome).collect()
}

/// Returns whether each message of a batch may be sent again, by the part of its answer's body that has been
/// received.
pub(super) fn finality_in_partial_batch(body: &[u8], ids: &[String]) -> Vec<Finality> {
    let entries = complete_entries(body);
    ids.iter().map(|id| finality_of_state(state_of(&entries, id))).collect()
}

/// Returns the messages that a batch answer, which may be incomplete, states may not be sent again.
pub(super) fn ended_in_batch(body: &[u8]) -> Vec<(String, Finality)> {
    let ended = |entry: &Value| {
        let finality = finality_of_state(entry["state"].as_str());
        let id = entry["id"].as_str().filter(|_| finality != Finality::Open)?;
        Some((id.to_string(), finality))
    };
    complete_entries(body).iter().filter_map(ended).collect()
}

/// Returns the strictest finality that a batch answer, which may be incomplete, states for any message.
pub(super) fn strictest_in_batch(body: &[u8]) -> Finality {
    let entries = complete_entries(body);
    entries.iter().map(|entry| finality_of_state(entry["state"].as_str())).max().unwrap_or_default()
}

/// Returns the entries of a JSON array that are complete, though the array may not be.
fn complete_entries(body: &[u8]) -> Vec<Value> {
    if let Ok(entries) = serde_json::from_slice(body) {
        return entries;
    }
    let Some(end) = body.iter().rposition(|byte| *byte == b'}') else { return Vec::new() };
    let closed = [&body[..=end], b"]"].concat();
    serde_json::from_slice(&closed).unwrap_or_default()
}

fn state_of<'a>(entries: &'a [Value], id: &str) -> Option<&'a str> {
    entries.iter().find(|entry| entry["id"] == id)?["state"].as_str()
}

fn finality_of_state(state: Option<&str>) -> Finality {
    match state {
        Some("gone") => Finality::Over,
        Some("exhausted") => Finality::Exhausted,
        _ => Finality::Open,
    }
}

//! Derives the outcome of each message of a call from a complete answer.

use heronroute::{Micros, Outcome};
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
    /// Whether the message needs no further attempt.
    pub is_final: bool,
}

impl MessageOutcome {
    /// Returns an outcome that is final only if the message was delivered.
    pub(super) fn of(outcome: Outcome, retry_after: Micros) -> Self {
        MessageOutcome { outcome, retry_after, is_final: outcome == Outcome::Done }
    }

    /// Returns the outcome of a message that the endpoint will never accept.
    fn rejected_for_good(retry_after: Micros) -> Self {
        MessageOutcome { outcome: Outcome::Skipped, retry_after, is_final: true }
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
        504 => MessageOutcome::of(Outcome::Skipped, retry_after),
        410 => MessageOutcome::rejected_for_good(retry_after),
        _ => MessageOutcome::of(Outcome::Error, retry_after),
    };
    vec![outcome; ids.len().max(1)]
}

/// Returns the outcomes of a batch, whose answer states one for each message. A message that is missing, or
/// whose state is unknown, may have run.
fn batch_outcomes(body: &[u8], ids: &[String], retry_after: Micros) -> Vec<MessageOutcome> {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    let entries = answer.as_array().map(Vec::as_slice).unwrap_or_default();
    let outcome = |id: &String| {
        let entry = entries.iter().find(|entry| entry["id"] == id.as_str());
        match entry.and_then(|entry| entry["state"].as_str()) {
            Some("ok") => MessageOutcome::of(Outcome::Done, retry_after),
            Some("later") => MessageOutcome::of(Outcome::Busy, retry_after),
            Some("gone") => MessageOutcome::rejected_for_good(retry_after),
            Some("exhausted") => MessageOutcome::of(Outcome::Skipped, retry_after),
            _ => MessageOutcome::of(Outcome::Error, retry_after),
        }
    };
    ids.iter().map(outcome).collect()
}

//! A call as an endpoint reads it, and whether its form is that of the protocol page.

use crate::clients::{MESSAGE_TIME, body_of};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use std::time::Instant;

/// The most messages that a call of several may have.
pub const MOST_IN_BULK: usize = 8;
/// Stands for the id of a message that is not named.
const NO_ID: &str = "?";

/// A call as an endpoint read it.
pub struct IncomingCall {
    pub ids: Vec<String>,
    /// What is wrong with it, by the protocol page.
    pub malformed: Vec<String>,
    pub in_bulk: bool,
    /// When its first octet came.
    pub sent: Instant,
    /// Whether its connection was open when it was read.
    pub is_open: bool,
    /// Whether the endpoint hung when it came.
    pub met_hang: bool,
}

impl IncomingCall {
    pub fn read(request: &str, sent: Instant) -> Self {
        let in_bulk = request.starts_with("POST /inbox/bulk ");
        let (ids, mut malformed) = if in_bulk { read_bulk(request) } else { read_single(request) };
        malformed.extend(budget_fault(request));
        IncomingCall { ids, malformed, in_bulk, sent, is_open: false, met_hang: false }
    }

    /// Whether the process has to close the connection before any message's time is over. A call of several that
    /// meets a hang is given up with the last of its messages: an endpoint answers 410 for those that are over.
    pub fn is_owed_in_time(&self) -> bool {
        self.is_open && !(self.met_hang && self.ids.len() > 1)
    }
}

/// The value of a header field.
fn field<'a>(request: &'a str, name: &str) -> Option<&'a str> {
    request.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

fn body(request: &str) -> &str {
    request.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

fn key_of(id: &str) -> String {
    format!("key-{id}")
}

/// "X-Budget-Ms should give, in whole milliseconds, how long the sender will wait."
fn budget_fault(request: &str) -> Option<String> {
    let text = field(request, "X-Budget-Ms");
    let budget = text.and_then(|text| text.parse::<u128>().ok());
    let is_right = budget.is_some_and(|budget| budget <= MESSAGE_TIME.as_millis());
    (!is_right).then(|| format!("a budget of {text:?}"))
}

/// The message of a call of one, and what is wrong with its form.
fn read_single(request: &str) -> (Vec<String>, Vec<String>) {
    let id = field(request, "X-Call-Id").unwrap_or(NO_ID);
    let mut faults = Vec::new();
    if !request.starts_with("POST /inbox HTTP/1.1\r\n") {
        faults.push("another path".to_string());
    }
    if body(request) != body_of(id) {
        faults.push(format!("another body: {:?}", body(request)));
    }
    if field(request, "Idempotency-Key") != Some(key_of(id).as_str()) {
        faults.push("another key".to_string());
    }
    (vec![id.to_string()], faults)
}

/// The messages of a call of several, and what is wrong with its form.
fn read_bulk(request: &str) -> (Vec<String>, Vec<String>) {
    let parsed: Value = serde_json::from_str(body(request)).unwrap_or_default();
    let entries = parsed.as_array().map_or(&[][..], Vec::as_slice);
    let mut faults = Vec::new();
    if entries.is_empty() || entries.len() > MOST_IN_BULK {
        faults.push(format!("{} messages in a call", entries.len()));
    }
    let mut ids: Vec<String> = Vec::new();
    for entry in entries {
        let id = entry["id"].as_str().unwrap_or(NO_ID);
        if entry["body"] != STANDARD.encode(body_of(id)) || entry["key"] != key_of(id) {
            faults.push(format!("another body or key: {entry}"));
        }
        if ids.iter().any(|other| other == id) {
            faults.push(format!("a message twice: {entry}"));
        }
        ids.push(id.to_string());
    }
    if ids.is_empty() {
        ids.push(NO_ID.to_string());
    }
    (ids, faults)
}

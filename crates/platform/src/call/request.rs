//! Writes the requests that carry messages to endpoints.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::BytesMut;
use heronroute::Micros;
use heronroute_http::write_request;
use serde_json::{Value, json};

/// Octets that the JSON of a batch adds to a message: names of its fields, quotes, commas and braces.
const BATCH_ENTRY_OVERHEAD: usize = 32;
/// Octets of one octet of a JSON string when it is escaped as `\u00XX`.
const JSON_ESCAPE: usize = 6;

/// A message to be sent.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingMessage<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its idempotency key.
    pub key: Option<&'a str>,
    /// Its body.
    pub body: &'a [u8],
}

/// The upper bound of the octets that a message takes up in a batch. The body is in Base64; each octet of the id and of
/// the key may be escaped.
pub fn max_batch_entry_size(id: usize, key: usize, body: usize) -> usize {
    body.div_ceil(3) * 4 + JSON_ESCAPE * (id + key) + BATCH_ENTRY_OVERHEAD
}

/// Writes a call that carries one message or a batch. `timeout` is how long the caller waits for the answer.
pub fn write_call(messages: &[OutgoingMessage<'_>], timeout: Micros, host: &str, out: &mut BytesMut) {
    let budget_ms = (timeout.max(0) / 1_000).to_string();
    if let [message] = messages {
        let mut fields = vec![("X-Call-Id", message.id), ("X-Budget-Ms", &budget_ms)];
        fields.extend(message.key.map(|key| ("Idempotency-Key", key)));
        return write_request("POST", "/inbox", host, &fields, message.body, out);
    }
    let body = Value::Array(messages.iter().map(batch_entry).collect()).to_string();
    let fields = [("Content-Type", "application/json"), ("X-Budget-Ms", &budget_ms)];
    write_request("POST", "/inbox/bulk", host, &fields, body.as_bytes(), out);
}

fn batch_entry(message: &OutgoingMessage<'_>) -> Value {
    let mut entry = json!({"id": message.id, "body": STANDARD.encode(message.body)});
    if let Some(key) = message.key {
        entry["key"] = json!(key);
    }
    entry
}

//! Writes the requests that carry messages to endpoints.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::BytesMut;
use heronroute::Micros;
use heronroute_http::write_request;
use serde_json::{Value, json};

/// The number of bytes that the JSON of a batch adds to a message: field names, quotes, commas and braces.
const BATCH_ENTRY_OVERHEAD_BYTES: usize = 32;
/// The size of one byte of a JSON string that is escaped as `\u00XX`.
const JSON_ESCAPE_BYTES: usize = 6;

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

/// Returns an upper bound of the size of a message in a batch, in bytes, for an id, key and body of these
/// sizes. The body is in Base64; each byte of the id and of the key may be escaped.
pub fn max_batch_entry_size(id: usize, key: usize, body: usize) -> usize {
    body.div_ceil(3) * 4 + JSON_ESCAPE_BYTES * (id + key) + BATCH_ENTRY_OVERHEAD_BYTES
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

//! Requests to endpoints, as they are written.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::BytesMut;
use heronroute::Micros;
use heronroute_http::write_request;
use serde_json::{Value, json};

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

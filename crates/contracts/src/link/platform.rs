//! An endpoint of the platform: one call at a time on a connection.

use super::http::{kind, requests, response};
use super::{CallOutcome, Receiver};
use heronroute_config::Protocol;
use heronroute_engine::link::{self, Link};
use heronroute_http::Message;
use serde_json::{Value, json};

/// An endpoint of the platform.
pub struct Platform;

/// Returns the body that states the end of each message of a batch.
fn each(request: &Message, how: CallOutcome) -> Vec<u8> {
    let asked: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let state = match how {
        CallOutcome::Done => "ok",
        CallOutcome::Busy(_) => "later",
        CallOutcome::Error => "failed",
        CallOutcome::Gone => "gone",
        CallOutcome::Exhausted => "exhausted",
    };
    let of = |m: &Value| json!({"id": m["id"], "state": state});
    let told: Vec<Value> = asked.as_array().into_iter().flatten().map(of).collect();
    Value::Array(told).to_string().into_bytes()
}

impl Receiver for Platform {
    fn link(&self) -> Box<dyn Link> {
        link::new(&kind(Protocol::Platform, 3), crate::front::SMPP_LIMITS, "h:1".into(), 0)
    }
    fn opening_reply(&self, _: &[u8]) -> Option<Vec<u8>> {
        None
    }
    fn answers(&self, sent: &[u8], how: CallOutcome) -> Vec<Vec<u8>> {
        let is_single = |request: &Message| request.field("x-call-id").is_some();
        let answer = |request: &Message| match how {
            CallOutcome::Gone if is_single(request) => response(410, 0, b""),
            CallOutcome::Exhausted if is_single(request) => response(504, 0, b""),
            CallOutcome::Done | CallOutcome::Gone | CallOutcome::Exhausted => {
                response(200, 0, &each(request, how))
            }
            CallOutcome::Busy(wait) => response(429, wait, b""),
            CallOutcome::Error => response(500, 0, b""),
        };
        requests(sent).iter().map(answer).collect()
    }
    fn unrequested_answer(&self) -> Vec<u8> {
        response(200, 0, b"")
    }
    fn max_open_calls(&self) -> usize {
        1
    }
    fn may_reorder(&self) -> bool {
        false
    }
    fn batch(&self) -> usize {
        3
    }
    fn can_end_messages(&self) -> bool {
        true
    }
}

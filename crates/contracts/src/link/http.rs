//! A receiver that speaks HTTP/1.1.

use super::{CallOutcome, Receiver};
use bytes::BytesMut;
use heronroute_config::{KindConfig, Protocol};
use heronroute_engine::link::{self, Link};
use heronroute_http::{Message, Reader, Side, write_response};

/// An HTTP receiver, with the maximum number of messages in a call.
pub struct Http(pub usize);

/// Returns the settings of a kind with this protocol.
pub fn kind(protocol: Protocol, batch: usize) -> KindConfig {
    KindConfig {
        name: "bulk".into(),
        protocol,
        batch,
        window: 8,
        system_id: "sender".into(),
        password: "secret".into(),
        path: "/messages".into(),
        probe_path: "/health".into(),
    }
}

/// Returns the complete requests in the bytes sent.
pub fn requests(sent: &[u8]) -> Vec<Message> {
    let mut reader = Reader::new(Side::Requests, 1 << 20);
    reader.push(sent);
    std::iter::from_fn(|| reader.next_message().ok().flatten()).collect()
}

/// Returns an HTTP response.
pub fn response(status: u16, wait: i64, body: &[u8]) -> Vec<u8> {
    let (mut out, wait) = (BytesMut::new(), (wait as f64 / 1e6).to_string());
    let fields = [("retry-after", wait.as_str())];
    write_response(status, if wait == "0" { &[] } else { &fields }, body, &mut out);
    out.to_vec()
}

impl Receiver for Http {
    fn link(&self) -> Box<dyn Link> {
        link::new(&kind(Protocol::Http, self.0), crate::front::SMPP_LIMITS, "h:1".into(), 0)
    }
    fn opening_reply(&self, _: &[u8]) -> Option<Vec<u8>> {
        None
    }
    fn answers(&self, sent: &[u8], how: CallOutcome) -> Vec<Vec<u8>> {
        let answer = match how {
            CallOutcome::Done => response(200, 0, b"taken"),
            CallOutcome::Busy(wait) => response(503, wait, b""),
            CallOutcome::Error | CallOutcome::Gone | CallOutcome::Exhausted => response(500, 0, b"no"),
        };
        requests(sent).iter().map(|_| answer.clone()).collect()
    }
    fn unrequested_answer(&self) -> Vec<u8> {
        response(200, 0, b"taken")
    }
    fn max_open_calls(&self) -> usize {
        8
    }
    fn may_reorder(&self) -> bool {
        false
    }
    fn batch(&self) -> usize {
        self.0
    }
}

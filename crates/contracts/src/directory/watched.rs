//! The platform's discovery: one answer that stays open.

use super::{Catalog, HERE};
use heronroute::Status;
use heronroute_engine::Micros;
use heronroute_engine::directory::{self, Directory};
use serde_json::{Value, json};

/// The size of a list that the directory may send, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// A watch.
pub struct Watched;

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

impl Catalog for Watched {
    fn directory(&self, now: Micros) -> Box<dyn Directory> {
        Box::new(directory::Watched::new(now, HERE, MAX_LIST_BYTES))
    }
    fn head(&self) -> Vec<u8> {
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec()
    }
    fn list(&self, version: u64, whole: bool, endpoints: &[(&str, Status)]) -> Vec<u8> {
        let row = |(name, status): &(&str, Status)| {
            let state = match status {
                Status::Up => "SERVING",
                Status::Draining => "DRAINING",
                Status::Removed => "DELETED",
            };
            json!({"id": name, "addr": "127.0.0.1:9001", "zone": "east", "kind": "bulk", "cell": 7, "state": state})
        };
        let servers: Vec<Value> = endpoints.iter().map(row).collect();
        chunk(&format!("{}\n", json!({"version": version, "full": whole, "servers": servers})))
    }
    fn nothing(&self) -> Vec<u8> {
        chunk("\n")
    }
    fn broken(&self) -> Vec<Vec<u8>> {
        vec![
            chunk("{\"version\":6}\n"),
            chunk("no JSON\n"),
            b"zz\r\n".to_vec(),
            // The watch is ended.
            b"0\r\n\r\n".to_vec(),
        ]
    }
}

//! A directory that is asked by long polls.

use super::{Catalog, HERE};
use bytes::BytesMut;
use heronroute::Status;
use heronroute_config::{raw, write_listing};
use heronroute_engine::Micros;
use heronroute_engine::directory::{self, Directory};
use heronroute_http::write_response;

/// Long polls over HTTP.
pub struct Polled;

fn response(status: u16, body: &str) -> Vec<u8> {
    let mut out = BytesMut::new();
    write_response(status, &[], body.as_bytes(), &mut out);
    out.to_vec()
}

impl Catalog for Polled {
    fn directory(&self, now: Micros) -> Box<dyn Directory> {
        Box::new(directory::Polled::new(now, Some(HERE), 20_000_000, true))
    }
    fn head(&self) -> Vec<u8> {
        Vec::new()
    }
    fn list(&self, version: u64, whole: bool, endpoints: &[(&str, Status)]) -> Vec<u8> {
        let row = |(name, status): &(&str, Status)| raw::Endpoint {
            name: (*name).into(),
            address: "127.0.0.1:9001".into(),
            destination: 7,
            kind: "bulk".into(),
            status: match status {
                Status::Up => "up",
                Status::Draining => "draining",
                Status::Removed => "removed",
            }
            .into(),
            ..raw::Endpoint::default()
        };
        let endpoint = endpoints.iter().map(row).collect();
        response(200, &write_listing(&raw::Listing { version, whole, endpoint }))
    }
    fn nothing(&self) -> Vec<u8> {
        response(204, "")
    }
    fn broken(&self) -> Vec<Vec<u8>> {
        vec![
            response(500, "no"),
            response(200, "version: \"six\""),
            response(200, "version: 6 whole: true endpoint { name: \"b\" address: \"nowhere\" }"),
            b"no HTTP at all\r\n\r\n".to_vec(),
        ]
    }
}

//! Tests of streams that are split at every byte, pipelined, chunked, or malformed.

use bytes::BytesMut;
use heronroute_http::{Reader, Side, Start, write_request, write_response};

fn read_all(side: Side, stream: &[u8], step: usize) -> Result<Vec<(Start, Vec<u8>)>, &'static str> {
    let mut reader = Reader::new(side, 1000);
    let mut messages = Vec::new();
    for part in stream.chunks(step) {
        reader.push(part);
        while let Some(message) = reader.next_message().map_err(|e| e.0)? {
            messages.push((message.start, message.body));
        }
    }
    reader.end();
    while let Some(message) = reader.next_message().map_err(|e| e.0)? {
        messages.push((message.start, message.body));
    }
    Ok(messages)
}

#[test]
fn pipelined_messages_are_the_same_however_they_are_cut() {
    let mut out = BytesMut::new();
    write_request("POST", "/in", "a", &[("x", "evil\r\ny: 1")], b"first", &mut out);
    write_request("GET", "/health", "a", &[], b"", &mut out);
    let expected = read_all(Side::Requests, &out, out.len()).unwrap();
    assert_eq!((expected.len(), expected[0].1.as_slice()), (2, b"first".as_slice()));
    for step in 1..out.len() {
        assert_eq!(read_all(Side::Requests, &out, step).unwrap(), expected);
    }
    let mut out = BytesMut::new();
    write_response(429, &[("retry-after", "2")], b"", &mut out);
    out.extend_from_slice(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nt: 1\r\n\r\n",
    );
    out.extend_from_slice(b"HTTP/1.1 200 OK\r\n\r\nto the end");
    let expected = read_all(Side::Responses, &out, out.len()).unwrap();
    let bodies: Vec<&[u8]> = expected.iter().map(|message| message.1.as_slice()).collect();
    assert_eq!(bodies, [b"".as_slice(), b"abcde", b"to the end"]);
    for step in 1..out.len() {
        assert_eq!(read_all(Side::Responses, &out, step).unwrap(), expected);
    }
}

#[test]
fn malformed_messages_are_errors() {
    for broken in [
        "POST / HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: +5\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 5000\r\n\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nabc",
        "\x00\x00\x00\x10",
    ] {
        assert!(read_all(Side::Requests, broken.as_bytes(), 7).is_err(), "{broken}");
    }
}

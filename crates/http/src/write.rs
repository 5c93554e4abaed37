//! Writes requests and responses.

use bytes::BytesMut;
use std::fmt::Write;

/// Appends a request with a body of known length.
pub fn write_request(
    method: &str,
    target: &str,
    host: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    out: &mut BytesMut,
) {
    _ = write!(out, "{method} {target} HTTP/1.1\r\nhost: {host}\r\n");
    write_rest(fields, body, out);
}

/// Appends a response with a body of known length.
pub fn write_response(status: u16, fields: &[(&str, &str)], body: &[u8], out: &mut BytesMut) {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "",
    };
    _ = write!(out, "HTTP/1.1 {status} {reason}\r\n");
    write_rest(fields, body, out);
}

/// Writes the header fields, the Content-Length and the body.
fn write_rest(fields: &[(&str, &str)], body: &[u8], out: &mut BytesMut) {
    for (name, value) in fields {
        // Guards against an end of line in a value, which would start another field.
        let clean: String = value.chars().filter(|c| !c.is_control()).collect();
        _ = write!(out, "{name}: {clean}\r\n");
    }
    _ = write!(out, "content-length: {}\r\n\r\n", body.len());
    out.extend_from_slice(body);
}

//! Reads the user name of the first CONNECT of a connection before a session exists.

use crate::codec::{Decoder, Packet};

/// The type of a CONNECT, with its flags.
const CONNECT: u8 = 0x10;
/// The maximum number of bytes that give a packet's length.
const MAX_LENGTH_BYTES: usize = 4;

/// Returns the length in bytes of the CONNECT that a connection begins with: `None` while more bytes are needed, and
/// `Some(None)` if it begins with something else or its length can't be read.
pub fn packet_length(bytes: &[u8]) -> Option<Option<usize>> {
    let (first, rest) = bytes.split_first()?;
    if *first != CONNECT {
        return Some(None);
    }
    let mut remaining = 0;
    for (index, byte) in rest.iter().take(MAX_LENGTH_BYTES).enumerate() {
        remaining |= usize::from(byte & 0x7F) << (7 * index);
        if byte & 0x80 == 0 {
            return Some(Some(1 + index + 1 + remaining));
        }
    }
    (rest.len() >= MAX_LENGTH_BYTES).then_some(None)
}

/// Returns the user name in the first bytes of a connection: `None` while more bytes are needed, an empty
/// name if there is none. The CONNECT must be complete within `max_bytes`.
pub fn user_name(bytes: &[u8], max_bytes: usize) -> Option<String> {
    // A stream that does not begin with a CONNECT never gives a user name.
    if bytes.first().is_some_and(|byte| *byte != CONNECT) {
        return Some(String::new());
    }
    let limit = u32::try_from(max_bytes).unwrap_or(u32::MAX);
    let mut decoder = Decoder::new(limit);
    decoder.push(bytes);
    match decoder.next_packet() {
        None if bytes.len() < max_bytes => None,
        Some(Ok(Packet::Connect(c))) => Some(c.user.unwrap_or_default()),
        _ => Some(String::new()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn returns_the_user_name_or_an_empty_name() {
        let connect = b"\x10\x12\x00\x04MQTT\x04\x82\x00\x0a\x00\x00\x00\x04anna";
        for n in 0..connect.len() {
            assert_eq!(user_name(&connect[..n], 4_096), None, "{n}");
        }
        assert_eq!(user_name(connect, 4_096).as_deref(), Some("anna"));
        assert_eq!(user_name(b"GET / HTTP/1.1\r\n", 4_096).as_deref(), Some(""));
        assert_eq!(user_name(&[0x10, 0xFF, 0xFF, 0xFF, 0x7F], 4_096).as_deref(), Some(""));
    }
}

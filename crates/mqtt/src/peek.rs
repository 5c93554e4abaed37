//! Who a connection comes from, before it is a session: the user name of a first CONNECT.

use crate::codec::{Decoder, Packet};

/// The user name that the first octets of a connection give: nothing while more may come, an empty name where none
/// will. `most`: octets in which it must stand.
pub fn user_name(octets: &[u8], most: usize) -> Option<String> {
    // What does not begin with a CONNECT says nobody's name, however long it goes on.
    if octets.first().is_some_and(|o| *o != 0x10) {
        return Some(String::new());
    }
    let limit = u32::try_from(most).unwrap_or(u32::MAX);
    let mut decoder = Decoder::new(limit);
    decoder.push(octets);
    match decoder.take() {
        None if octets.len() < most => None,
        Some(Ok(Packet::Connect(c))) => Some(c.user.unwrap_or_default()),
        _ => Some(String::new()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_name_is_found_or_known_to_be_missing() {
        let connect = b"\x10\x12\x00\x04MQTT\x04\x82\x00\x0a\x00\x00\x00\x04anna";
        for n in 0..connect.len() {
            assert_eq!(user_name(&connect[..n], 4_096), None, "{n}");
        }
        assert_eq!(user_name(connect, 4_096).as_deref(), Some("anna"));
        assert_eq!(user_name(b"GET / HTTP/1.1\r\n", 4_096).as_deref(), Some(""));
        assert_eq!(user_name(&[0x10, 0xFF, 0xFF, 0xFF, 0x7F], 4_096).as_deref(), Some(""));
    }
}

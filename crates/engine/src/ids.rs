//! Identifiers of connections and messages, and the keys of clients.

use heronroute::MsgId;

/// The number of a connection. Numbers are never reused.
pub type ConnId = u64;

/// The number of low bits of a message number that identify the sender; there are at most 64 senders in a
/// process.
pub(crate) const ID_SENDER_BITS: u32 = 6;

/// Returns a client's key in the form that the decision library uses. Each client has its own key space, so
/// that clients with equal keys do not wait for each other.
pub(crate) fn scoped_key(client: usize, key: &str) -> String {
    format!("{client}/{key}")
}

/// Formats a message's number for clients.
pub(crate) fn format_id(id: MsgId) -> String {
    format!("{:016x}", id.0)
}

/// Parses a message number given by a client.
pub(crate) fn parse_id(text: &str) -> Option<MsgId> {
    let well_formed = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    well_formed.then(|| u64::from_str_radix(text, 16).ok().map(MsgId)).flatten()
}

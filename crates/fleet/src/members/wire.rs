//! Messages between members: `foca`'s packets, and extensions for what `foca` lacks.

use super::member_id::MemberId;
use super::tuning::MAX_MESSAGE_BYTES;
use foca::{Header, Incarnation, Member};
use serde::{Deserialize, Serialize};
use std::ops::Range;

/// The maximum number of members in a view; an entry has at most 31 bytes.
pub(super) const MAX_MEMBERS: usize = 750;

const SWIM: u8 = 0;
const EXTENSION: u8 = 1;

/// A message that isn't part of `foca`'s protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Extension {
    /// Asks for the receiver's view. Sent by a member that has just started or was paused.
    ViewRequest { from: MemberId, nonce: u64 },
    /// The sender's whole view. The `nonce` shows that it was sent after the request: a message that waited
    /// in a socket buffer during a pause doesn't carry it.
    View { from: MemberId, nonce: u64, fresh: bool, members: Vec<Member<MemberId>> },
    /// Tells a member that the sender suspects it, so that its answer need not wait until gossip reaches it.
    Suspicion { from: MemberId, about: Member<MemberId> },
    /// Refutes a suspicion: the sender is alive in this incarnation.
    AliveReply { from: MemberId, incarnation: Incarnation },
    /// Tells the receiver that another process uses, or used, its name.
    NameTaken { from: MemberId, other: Member<MemberId> },
}

impl Extension {
    pub fn from(&self) -> MemberId {
        match self {
            Extension::ViewRequest { from, .. }
            | Extension::View { from, .. }
            | Extension::Suspicion { from, .. } => *from,
            Extension::AliveReply { from, .. } | Extension::NameTaken { from, .. } => *from,
        }
    }

    /// Encodes the message; returns `None` if it would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![EXTENSION]).ok()?;
        (bytes.len() <= MAX_MESSAGE_BYTES).then_some(bytes)
    }
}

/// A decoded packet of `foca`.
pub(super) struct Swim<'a> {
    pub header: Header<MemberId>,
    /// The updates about members, and their positions in the packet.
    pub updates: Vec<(Member<MemberId>, Range<usize>)>,
    bytes: &'a [u8],
    header_len: usize,
}

impl Swim<'_> {
    /// Returns the packet without the updates that aren't wanted. Dropping the whole packet would cut two
    /// members off from each other as soon as one's settings list a member that the other's don't have yet.
    pub fn with_updates(&self, wanted: impl Fn(&Member<MemberId>) -> bool) -> Vec<u8> {
        let kept: Vec<_> =
            self.updates.iter().filter(|(member, _)| wanted(member)).map(|(_, at)| at).collect();
        let mut out = self.bytes.get(..self.header_len).unwrap_or_default().to_vec();
        if self.bytes.len() > self.header_len {
            out.extend_from_slice(&u16::try_from(kept.len()).unwrap_or(u16::MAX).to_be_bytes());
        }
        for at in kept {
            out.extend_from_slice(self.bytes.get(at.clone()).unwrap_or_default());
        }
        out
    }

    /// Returns the length of the packet without updates.
    pub fn len_without_updates(&self) -> usize {
        if self.bytes.len() > self.header_len { self.header_len + 2 } else { self.header_len }
    }
}

pub(super) enum Packet<'a> {
    Swim(Swim<'a>),
    Extension(Extension),
}

/// Encodes a packet of `foca`.
pub(super) fn swim(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len() + 1);
    out.push(SWIM);
    out.extend_from_slice(bytes);
    out
}

/// Decodes a message. Returns `None` unless all of the bytes are one message.
pub(super) fn read(bytes: &[u8]) -> Option<Packet<'_>> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return None;
    }
    match bytes.split_first()? {
        (&SWIM, rest) => read_swim(rest).map(Packet::Swim),
        (&EXTENSION, rest) => match postcard::take_from_bytes(rest).ok()? {
            (note, []) => Some(Packet::Extension(note)),
            _ => None,
        },
        _ => None,
    }
}

fn read_swim(bytes: &[u8]) -> Option<Swim<'_>> {
    let (header, mut rest) = postcard::take_from_bytes::<Header<MemberId>>(bytes).ok()?;
    let header_len = bytes.len() - rest.len();
    let mut updates = Vec::new();
    if !rest.is_empty() {
        let (count, members) = rest.split_first_chunk::<2>()?;
        rest = members;
        for _ in 0..u16::from_be_bytes(*count) {
            let start = bytes.len() - rest.len();
            let (member, remaining) = postcard::take_from_bytes::<Member<MemberId>>(rest).ok()?;
            rest = remaining;
            updates.push((member, start..bytes.len() - rest.len()));
        }
    }
    // Custom broadcasts would follow; they aren't used here.
    rest.is_empty().then_some(Swim { header, updates, bytes, header_len })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::link::hello::VERSION;
    use foca::State;

    const GOLDEN: [&str; 6] = [
        "01002c01000000000000ad02ae020305",
        "01012c01000000000000ad02ae02030501012c01000000000000ad02ae02030401",
        "01022c01000000000000ad02ae02032c01000000000000ad02ae02030401",
        "01032c01000000000000ad02ae020306",
        "01042c01000000000000ad02ae02032c01000000000000ad02ae02030401",
        "002c01000000000000ad02ae0203042c01000000000000ad02ae02030009",
    ];

    /// When these bytes change, raise [`VERSION`] and update them here.
    #[test]
    fn messages_keep_the_bytes_of_their_version() {
        let from = MemberId { key: 300, start: crate::name::Start(301), nonce: 302, renewals: 3 };
        let member = Member::new(from, 4, State::Suspect);
        let notes = [
            Extension::ViewRequest { from, nonce: 5 },
            Extension::View { from, nonce: 5, fresh: true, members: vec![member.clone()] },
            Extension::Suspicion { from, about: member.clone() },
            Extension::AliveReply { from, incarnation: 6 },
            Extension::NameTaken { from, other: member },
        ];
        let mut bytes: Vec<_> = notes.iter().filter_map(Extension::encode).collect();
        let header = Header { src: from, src_incarnation: 4, dst: from, message: foca::Message::Ping(9) };
        bytes.push(swim(&postcard::to_stdvec(&header).unwrap()));
        let hex = |bytes: Vec<u8>| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
        let bytes: Vec<_> = bytes.into_iter().map(hex).collect();
        assert_eq!((VERSION, bytes.as_slice()), (3, GOLDEN.map(String::from).as_slice()));
    }
}

//! Messages between members: `foca`'s packets, and notes of our own for what it has no words for.

use super::member_id::MemberId;
use super::tuning::MOST_MESSAGE;
use foca::{Header, Incarnation, Member};
use serde::{Deserialize, Serialize};
use std::ops::Range;

/// Members told in one answer, at most; an entry has 31 octets at most.
pub(super) const MAX_MEMBERS: usize = 750;

const SWIM: u8 = 0;
const EXTENSION: u8 = 1;

/// What `foca` does not say.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Extension {
    /// Who is there? Asked by one that knows nothing, or only what it knew before it slept.
    ViewRequest { from: MemberId, nonce: u64 },
    /// The whole state. `nonce` shows that it was sent after the question: what lay in a socket while a process slept
    /// does not bear it.
    View { from: MemberId, nonce: u64, fresh: bool, members: Vec<Member<MemberId>> },
    /// You are suspected here: said to the suspect itself, so that its answer need not wait for gossip to reach it.
    Suspicion { from: MemberId, about: Member<MemberId> },
    /// The answer: I live, in this incarnation.
    AliveReply { from: MemberId, incarnation: Incarnation },
    /// Another process bears, or bore, your name.
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

    /// As octets; none where it would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![EXTENSION]).ok()?;
        (bytes.len() <= MOST_MESSAGE).then_some(bytes)
    }
}

/// A packet of `foca`, taken apart.
pub(super) struct Swim<'a> {
    pub header: Header<MemberId>,
    /// What it says of members, and where.
    pub updates: Vec<(Member<MemberId>, Range<usize>)>,
    bytes: &'a [u8],
    header_len: usize,
}

impl Swim<'_> {
    /// Its octets, without those updates that are not wanted. Dropping the whole packet instead would cut two members
    /// off from each other as soon as the settings of one list a member that the other's do not have yet.
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

    /// Octets of it without any update.
    pub fn len_without_updates(&self) -> usize {
        if self.bytes.len() > self.header_len { self.header_len + 2 } else { self.header_len }
    }
}

pub(super) enum Packet<'a> {
    Swim(Swim<'a>),
    Extension(Extension),
}

/// A packet of `foca`, as octets.
pub(super) fn swim(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len() + 1);
    out.push(SWIM);
    out.extend_from_slice(bytes);
    out
}

/// Reads a message. None where it is not wholly one.
pub(super) fn read(bytes: &[u8]) -> Option<Packet<'_>> {
    if bytes.len() > MOST_MESSAGE {
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
            let (member, behind) = postcard::take_from_bytes::<Member<MemberId>>(rest).ok()?;
            rest = behind;
            updates.push((member, start..bytes.len() - rest.len()));
        }
    }
    // Custom broadcasts would follow; this installation has none.
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

    /// Where these octets change, raise [`VERSION`] and write the new ones here.
    #[test]
    fn notes_have_the_octets_of_their_version() {
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

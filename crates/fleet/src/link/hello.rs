//! The handshake in which two members authenticate each other.
//!
//! ```text
//! dialler  -> Hello 1   tag under the installation's key
//! answerer -> Hello 2   tag under the installation's key, also covering hello 1's tag
//! dialler  -> Alive     tag under the key of this link and direction
//! ```
//!
//! The keys of a link, one for each direction, are derived from the installation's key and hello 2's tag,
//! which depends on both hellos and therefore on both nonces. A hello 2 of another connection doesn't match
//! hello 1. A replayed hello 1 gets an answer, but no earlier frame verifies under the keys that follow. A
//! frame that is reflected to its sender was made under the other direction's key. Each side names the member
//! that it takes the peer for, so an address that leads to another member is detected.

use super::reason::Reason;
use super::roster::Roster;
use crate::frames::{FrameType, Head, RawFrame, seal};
use crate::key::{Key, Tag};
use crate::name::{Life, Name, Start};
use serde::{Deserialize, Serialize};

/// The version of everything that members send each other: frames, hellos, gossip, the replicas' messages,
/// and what the installation encodes in them (reports, verdicts, orders, questions). Raise it by one whenever
/// the bytes of any of these change, or what they mean: members of different versions are not linked. It is
/// the first field of a hello in every version. `tests/golden.rs` fails when the bytes change.
pub const VERSION: u32 = 3;

/// Bytes that no other connection uses.
pub type Nonce = [u8; 32];

const DIALLER_HELLO: &[u8] = b"heronroute hello of the dialler\0";
const ANSWERER_HELLO: &[u8] = b"heronroute hello of the answerer\0";
const DIALLER_FRAMES: &[u8] = b"heronroute link from the dialler\0";
const ANSWERER_FRAMES: &[u8] = b"heronroute link from the answerer\0";

/// The content of a hello after the version.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    installation: String,
    from: Life,
    to: Name,
    /// The latest start of the peer that is known here. From it, a process restored from an old disk learns
    /// that it must not continue under its start number.
    known: Start,
    nonce: Nonce,
}

/// The verified content of the peer's hello.
#[derive(Debug)]
pub(crate) struct PeerHello {
    pub life: Life,
    /// The latest start of this member that the peer knows.
    pub known: Start,
    pub tag: Tag,
}

/// The keys of one link.
#[derive(Debug)]
pub(crate) struct Keys {
    pub outgoing: Key,
    pub incoming: Key,
}

/// The role of a side of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Dialler,
    Answerer,
}

fn key(roster: &Roster, from: Side) -> Key {
    roster.key.derive(if from == Side::Dialler { DIALLER_HELLO } else { ANSWERER_HELLO }, &[])
}

/// Appends a hello and returns its tag.
pub(crate) fn write(
    out: &mut Vec<u8>,
    roster: &Roster,
    side: Side,
    to: &Name,
    nonce: Nonce,
    before: &[u8],
) -> Tag {
    let hello = Hello {
        installation: roster.installation.clone(),
        from: roster.me.clone(),
        to: to.clone(),
        known: roster.latest_start(to),
        nonce,
    };
    // Encoding plain strings and numbers into a vector can't fail.
    let payload = postcard::to_stdvec(&(VERSION, hello)).unwrap_or_default();
    seal(out, &key(roster, side), before, Head { what: FrameType::Hello, number: 0 }, &payload)
}

/// Appends the answerer's reply to a dialler of another version. It holds only this side's version, which the
/// dialler reads first, so that it knows as well why there is no link.
pub(crate) fn write_refusal(out: &mut Vec<u8>, roster: &Roster) {
    let payload = postcard::to_stdvec(&VERSION).unwrap_or_default();
    seal(out, &key(roster, Side::Answerer), &[], Head { what: FrameType::Hello, number: 0 }, &payload);
}

/// Returns the version of a hello if it differs from this one. It is checked before the tag, so that an
/// operator is informed of an upgrade, or of two installations that share a port, and not of a forgery. An
/// unverified version has no effect except that the connection is closed.
pub(crate) fn other_version(raw: &RawFrame<'_>) -> Option<u32> {
    let (head, payload) = raw.parse_unverified().ok()?;
    let (version, _) = postcard::take_from_bytes::<u32>(payload).ok()?;
    (head.what == FrameType::Hello && version != VERSION).then_some(version)
}

/// Verifies the peer's hello. `meant` is the member that this side dialled.
pub(crate) fn verify(
    raw: &RawFrame<'_>,
    roster: &Roster,
    from: Side,
    meant: Option<&Name>,
    before: &[u8],
) -> Result<PeerHello, Reason> {
    let (head, payload) = raw.parse_unverified()?;
    if head != (Head { what: FrameType::Hello, number: 0 }) {
        return Err(Reason::Unreadable);
    }
    let unreadable = |_| Reason::Unreadable;
    let (version, rest) = postcard::take_from_bytes::<u32>(payload).map_err(unreadable)?;
    if version != VERSION {
        return Err(Reason::Version);
    }
    let (hello, rest) = postcard::take_from_bytes::<Hello>(rest).map_err(unreadable)?;
    if hello.installation != roster.installation {
        return Err(Reason::Foreign);
    }
    raw.open(&key(roster, from), before)?;
    if !rest.is_empty() {
        return Err(Reason::Unreadable);
    }
    if roster.member(&hello.from.name).is_none() {
        return Err(Reason::Stranger);
    }
    if hello.from.name == roster.me.name {
        return Err(Reason::Namesake);
    }
    // The peer must be the member that was dialled, and only the lower name may dial, so that a pair of
    // members has one link.
    let dials = if from == Side::Dialler { &hello.from.name } else { &roster.me.name };
    let answers = if from == Side::Dialler { &roster.me.name } else { &hello.from.name };
    if hello.to != roster.me.name || meant.is_some_and(|n| *n != hello.from.name) || dials >= answers {
        return Err(Reason::Misplaced);
    }
    Ok(PeerHello { life: hello.from, known: hello.known, tag: raw.tag() })
}

/// Derives the keys of the link from hello 2's tag.
pub(crate) fn keys(roster: &Roster, side: Side, second: &Tag) -> Keys {
    let dialler = roster.key.derive(DIALLER_FRAMES, &[second]);
    let answerer = roster.key.derive(ANSWERER_FRAMES, &[second]);
    match side {
        Side::Dialler => Keys { outgoing: dialler, incoming: answerer },
        Side::Answerer => Keys { outgoing: answerer, incoming: dialler },
    }
}

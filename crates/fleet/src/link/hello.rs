//! How two members prove who they are.
//!
//! ```text
//! dialler  -> Hello 1   tag under the installation's key
//! answerer -> Hello 2   tag under the installation's key, over hello 1's tag too
//! dialler  -> Alive     tag under the key of this link and way
//! ```
//!
//! The keys of the link, one for each way, are made from the installation's key and hello 2's tag, which rests on both
//! hellos and so on both nonces. A hello 2 of another connection does not fit hello 1; a hello 1 of another
//! connection gets an answer, but nothing of before fits the keys that follow; and a frame sent back to its sender is
//! under the other way's key. Each side says whom it takes the other for: an address that leads to another member
//! ends there.

use super::reason::Reason;
use super::roster::Roster;
use crate::frames::{Head, Raw, What, seal};
use crate::key::{Key, Tag};
use crate::name::{Life, Name, Start};
use serde::{Deserialize, Serialize};

/// The number of all that members say to each other: frames, hellos, gossip, the keepers' messages, and what the
/// installation packs into them (reports, verdicts, orders, questions). To be raised by one whenever the octets of any of
/// these change, or what they mean: members of two numbers are not linked. It stands first in a hello, whatever else changes.
/// `tests/golden.rs` fails where octets change.
pub const VERSION: u32 = 3;

/// Octets that no other connection has.
pub type Nonce = [u8; 32];

const DIALLER_HELLO: &[u8] = b"heronroute hello of the dialler\0";
const ANSWERER_HELLO: &[u8] = b"heronroute hello of the answerer\0";
const DIALLER_FRAMES: &[u8] = b"heronroute link from the dialler\0";
const ANSWERER_FRAMES: &[u8] = b"heronroute link from the answerer\0";

/// Who speaks, after the version.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    installation: String,
    from: Life,
    to: Name,
    /// The latest start of the other side that is known here: one that was brought back from an old disk learns by it
    /// that it must not go on under its start.
    known: Start,
    nonce: Nonce,
}

/// What the other side's hello proved, or said.
#[derive(Debug)]
pub(crate) struct PeerHello {
    pub life: Life,
    /// The latest start of this member that the other side knows.
    pub known: Start,
    pub tag: Tag,
}

/// The keys of one link.
#[derive(Debug)]
pub(crate) struct Keys {
    pub outgoing: Key,
    pub incoming: Key,
}

/// Which side of a connection this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Dialler,
    Answerer,
}

fn key(roster: &Roster, from: Side) -> Key {
    roster.key.derive(if from == Side::Dialler { DIALLER_HELLO } else { ANSWERER_HELLO }, &[])
}

/// Appends a hello; gives its tag.
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
    // Plain strings and numbers into a vector: postcard has nothing to fail on.
    let payload = postcard::to_stdvec(&(VERSION, hello)).unwrap_or_default();
    seal(out, &key(roster, side), before, Head { what: What::Hello, number: 0 }, &payload)
}

/// Appends what the answerer says to a dialler of another version: its own and nothing else, so that the dialler, which
/// reads it first, knows as well why there is no link.
pub(crate) fn write_refusal(out: &mut Vec<u8>, roster: &Roster) {
    let payload = postcard::to_stdvec(&VERSION).unwrap_or_default();
    seal(out, &key(roster, Side::Answerer), &[], Head { what: What::Hello, number: 0 }, &payload);
}

/// The version that a hello is of, where it is not this one. Looked at before the tag is, so that an operator is told of an
/// upgrade or of two installations that share a port rather than of a forger. Nothing is done on the word of it but to close.
pub(crate) fn other_version(raw: &Raw<'_>) -> Option<u32> {
    let (head, payload) = raw.parse_unverified().ok()?;
    let (version, _) = postcard::take_from_bytes::<u32>(payload).ok()?;
    (head.what == What::Hello && version != VERSION).then_some(version)
}

/// Hears the other side's hello. `meant`: whom this side dialled.
pub(crate) fn verify(
    raw: &Raw<'_>,
    roster: &Roster,
    from: Side,
    meant: Option<&Name>,
    before: &[u8],
) -> Result<PeerHello, Reason> {
    let (head, payload) = raw.parse_unverified()?;
    if head != (Head { what: What::Hello, number: 0 }) {
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
    // Guards against a member taken for another, and against two links of one pair: the lower name dials.
    let dials = if from == Side::Dialler { &hello.from.name } else { &roster.me.name };
    let answers = if from == Side::Dialler { &roster.me.name } else { &hello.from.name };
    if hello.to != roster.me.name || meant.is_some_and(|n| *n != hello.from.name) || dials >= answers {
        return Err(Reason::Misplaced);
    }
    Ok(PeerHello { life: hello.from, known: hello.known, tag: raw.tag() })
}

/// The keys of the link that follows hello 2.
pub(crate) fn keys(roster: &Roster, side: Side, second: &Tag) -> Keys {
    let dialler = roster.key.derive(DIALLER_FRAMES, &[second]);
    let answerer = roster.key.derive(ANSWERER_FRAMES, &[second]);
    match side {
        Side::Dialler => Keys { outgoing: dialler, incoming: answerer },
        Side::Answerer => Keys { outgoing: answerer, incoming: dialler },
    }
}

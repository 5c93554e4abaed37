//! Frames on a link: length, head, payload, tag.
//!
//! ```text
//! length   u32, greatest octet first: octets that follow it, MOST_FRAME at most
//! head     postcard of Head: what it is, its number on this link and way
//! payload  the rest, up to the tag
//! tag      32 octets: HMAC-SHA256 over length, head and payload under a key of this link and way
//! ```
//!
//! The number is not trusted before the tag is: whatever of a frame is looked at first only says how long it is.

use crate::key::{Key, TAG_BYTES, Tag};
use crate::kind::Kind;
use serde::{Deserialize, Serialize};

/// Octets of a frame after its length at most.
pub const MOST_FRAME: usize = 256 * 1024;
/// The same before the other side is proved: nobody unknown has more held for him.
pub const MOST_HELLO: usize = 1_024;
/// Octets of payload in a frame that is sent; a longer message goes as pieces, between which other kinds go out.
pub const PIECE: usize = 64 * 1024;

const LENGTH_BYTES: usize = 4;
const FRAME_LABEL: &[u8] = b"heronroute frame\0";

/// What a frame is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// Who speaks; the first of each side.
    Hello,
    /// Nothing but that its sender lives.
    Alive,
    /// A message, or the last piece of one.
    Message(Kind),
    /// A piece of a message; more of it follows.
    Piece(Kind),
}

/// A frame's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// What it is.
    pub what: What,
    /// Its number on this link and way, from 0 without gaps.
    pub number: u64,
}

/// Why no frame can be had from here on: where the next one begins is not known any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// It says that it is longer than is allowed.
    #[error("a frame is too long")]
    Long,
    /// It has no room for a tag.
    #[error("a frame is too short")]
    Short,
    /// Its tag does not fit.
    #[error("a frame was not made under this link's key, or was altered")]
    Forged,
    /// Its head is none.
    #[error("a frame can't be read")]
    Unreadable,
}

/// A whole frame as it came.
#[derive(Clone, Copy, Debug)]
pub struct Raw<'a> {
    /// Length, head and payload.
    covered: &'a [u8],
    tag: &'a [u8],
}

impl<'a> Raw<'a> {
    /// Its head and payload, not proved by anything yet.
    ///
    /// # Errors
    /// [`FrameError::Unreadable`].
    pub fn parse_unverified(&self) -> Result<(Head, &'a [u8]), FrameError> {
        let body = self.covered.get(LENGTH_BYTES..).unwrap_or_default();
        postcard::take_from_bytes(body).map_err(|_| FrameError::Unreadable)
    }

    /// Its head and payload, if it was made under this key and not altered since. `before` is what it must have been made
    /// after, as for [`seal`].
    ///
    /// # Errors
    /// [`FrameError::Forged`], [`FrameError::Unreadable`].
    pub fn open(&self, key: &Key, context: &[u8]) -> Result<(Head, &'a [u8]), FrameError> {
        if !key.verify(FRAME_LABEL, &[context, self.covered], self.tag) {
            return Err(FrameError::Forged);
        }
        self.parse_unverified()
    }

    /// Its tag.
    pub fn tag(&self) -> Tag {
        self.tag.try_into().unwrap_or([0; TAG_BYTES])
    }
}

/// Appends a frame. `before` goes into the tag alone: a frame so sealed holds only after what it names. Gives the tag.
pub fn seal(out: &mut Vec<u8>, key: &Key, context: &[u8], head: Head, payload: &[u8]) -> Tag {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    // The head is of plain numbers and the writer takes all: postcard has nothing to fail on.
    let mut bytes = postcard::to_extend(&head, std::mem::take(out)).unwrap_or_default();
    bytes.extend_from_slice(payload);
    let length = (bytes.len() - start - LENGTH_BYTES + TAG_BYTES) as u32;
    if let Some(place) = bytes.get_mut(start..start + LENGTH_BYTES) {
        place.copy_from_slice(&length.to_be_bytes());
    }
    let tag = key.tag(FRAME_LABEL, &[context, bytes.get(start..).unwrap_or_default()]);
    bytes.extend_from_slice(&tag);
    *out = bytes;
    tag
}

/// Cuts a stream of octets into frames.
#[derive(Debug, Default)]
pub struct Reader {
    bytes: Vec<u8>,
    /// Where the next frame begins.
    position: usize,
}

impl Reader {
    /// Takes octets in. What is held is the octets of one call and less than a frame from before.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.position > 0 {
            self.bytes.drain(..self.position);
            self.position = 0;
            // Nobody holds room for ever because a long message came once.
            self.bytes.shrink_to(2 * PIECE);
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole frame, of `most` octets after its length at most.
    ///
    /// # Errors
    /// [`FrameError::Long`] and [`FrameError::Short`], as soon as its length is there.
    pub fn next(&mut self, most: usize) -> Result<Option<Raw<'_>>, FrameError> {
        let rest = self.bytes.get(self.position..).unwrap_or_default();
        let Some(length) = rest.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > most {
            return Err(FrameError::Long);
        }
        let Some(covered) = length.checked_sub(TAG_BYTES).filter(|n| *n > 0) else {
            return Err(FrameError::Short);
        };
        let Some(frame) = rest.get(..LENGTH_BYTES + length) else { return Ok(None) };
        let (covered, tag) = frame.split_at(LENGTH_BYTES + covered);
        self.position += frame.len();
        Ok(Some(Raw { covered, tag }))
    }
}

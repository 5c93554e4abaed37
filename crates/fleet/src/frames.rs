//! Encodes and decodes the frames on a link.
//!
//! ```text
//! length   u32, big-endian: the number of bytes that follow, at most MAX_FRAME_BYTES
//! head     postcard of Head: the frame's type, and its sequence number on this link and direction
//! payload  everything up to the tag
//! tag      32 bytes: HMAC-SHA256 over length, head and payload under the key of this link and direction
//! ```
//!
//! Nothing in a frame is trusted before the tag has been verified; until then only the length is used, to
//! find the end of the frame.

use crate::key::{Key, TAG_BYTES, Tag};
use crate::kind::Kind;
use serde::{Deserialize, Serialize};

/// The maximum number of bytes in a frame after its length field.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// The same before the peer is authenticated, so that an unknown peer can't make this side buffer much.
pub const MAX_HELLO_BYTES: usize = 1_024;
/// The number of payload bytes in a sent frame. A longer message is split into pieces, between which messages
/// of other kinds are sent.
pub const PIECE_BYTES: usize = 64 * 1024;

const LENGTH_BYTES: usize = 4;
const FRAME_LABEL: &[u8] = b"heronroute frame\0";

/// The type of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameType {
    /// The handshake; the first frame of each side.
    Hello,
    /// A keepalive without payload.
    Alive,
    /// A whole message, or the last piece of one.
    Message(Kind),
    /// A piece of a message that continues in a later frame.
    Piece(Kind),
}

/// The head of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The type.
    pub what: FrameType,
    /// The sequence number on this link and direction, from 0 without gaps.
    pub number: u64,
}

/// A framing error. It is final: the start of the next frame is no longer known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length exceeds the allowed maximum.
    #[error("a frame is too long")]
    Long,
    /// The frame is too short to hold a tag.
    #[error("a frame is too short")]
    Short,
    /// The tag doesn't verify.
    #[error("a frame was not made under this link's key, or was altered")]
    Forged,
    /// The head can't be decoded.
    #[error("a frame can't be read")]
    Unreadable,
}

/// A whole received frame, not verified yet.
#[derive(Clone, Copy, Debug)]
pub struct RawFrame<'a> {
    /// Length, head and payload: the bytes that the tag covers.
    covered: &'a [u8],
    tag: &'a [u8],
}

impl<'a> RawFrame<'a> {
    /// Decodes the head and payload without verifying the tag.
    ///
    /// # Errors
    /// [`FrameError::Unreadable`].
    pub fn parse_unverified(&self) -> Result<(Head, &'a [u8]), FrameError> {
        let body = self.covered.get(LENGTH_BYTES..).unwrap_or_default();
        postcard::take_from_bytes(body).map_err(|_| FrameError::Unreadable)
    }

    /// Verifies the tag and decodes the head and payload. `context` must be the value that the sender passed
    /// to [`seal`].
    ///
    /// # Errors
    /// [`FrameError::Forged`], [`FrameError::Unreadable`].
    pub fn open(&self, key: &Key, context: &[u8]) -> Result<(Head, &'a [u8]), FrameError> {
        if !key.verify(FRAME_LABEL, &[context, self.covered], self.tag) {
            return Err(FrameError::Forged);
        }
        self.parse_unverified()
    }

    /// Returns the tag.
    pub fn tag(&self) -> Tag {
        self.tag.try_into().unwrap_or([0; TAG_BYTES])
    }
}

/// Appends a frame and returns its tag. `context` is covered by the tag but not sent, so the frame verifies
/// only for a receiver with the same context.
pub fn seal(out: &mut Vec<u8>, key: &Key, context: &[u8], head: Head, payload: &[u8]) -> Tag {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    // Encoding plain numbers into a vector can't fail.
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

/// Splits a stream of bytes into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
    /// The offset at which the next frame begins.
    position: usize,
}

impl FrameReader {
    /// Appends received bytes. The buffer holds at most the bytes of this call and an incomplete frame from
    /// earlier calls.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.position > 0 {
            self.bytes.drain(..self.position);
            self.position = 0;
            // Releases the memory that an earlier long message needed.
            self.bytes.shrink_to(2 * PIECE_BYTES);
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next whole frame, if there is one. `most` is the maximum number of bytes after the length
    /// field.
    ///
    /// # Errors
    /// Fails with [`FrameError::Long`] or [`FrameError::Short`] as soon as the length field has arrived.
    pub fn next(&mut self, most: usize) -> Result<Option<RawFrame<'_>>, FrameError> {
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
        Ok(Some(RawFrame { covered, tag }))
    }
}

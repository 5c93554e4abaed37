//! Reasons why links end.

use crate::frames::FrameError;

/// The reason why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The connection ended, broke or couldn't be made.
    Ended,
    /// The peer wasn't authenticated in time.
    Unproved,
    /// No whole frame arrived for too long.
    Silent,
    /// A frame has an impossible length.
    Length,
    /// A frame's tag doesn't verify: it was made under another key, for another link or direction, or was
    /// altered.
    Forged,
    /// A frame can't be decoded, or isn't allowed at this point.
    Unreadable,
    /// A frame is missing.
    Gap,
    /// The peer uses another version of the protocol.
    Version,
    /// The peer belongs to another installation.
    Foreign,
    /// The peer has the key but isn't listed among the members.
    Stranger,
    /// The peer uses this member's own name.
    Namesake,
    /// The peer isn't the member that was dialled, or is the side that shouldn't dial.
    Misplaced,
    /// The peer is an earlier life of a member whose later life is known.
    Stale,
    /// The peer knows a later life of this member.
    Outlived,
    /// A later connection of the same member took its place.
    Replaced,
    /// The queue of messages that must not be left out is full: the peer doesn't read fast enough.
    Full,
    /// There were too many unauthenticated connections, and this was the oldest.
    Crowded,
}

impl From<FrameError> for Reason {
    fn from(e: FrameError) -> Reason {
        match e {
            FrameError::Long | FrameError::Short => Reason::Length,
            FrameError::Forged => Reason::Forged,
            FrameError::Unreadable => Reason::Unreadable,
        }
    }
}

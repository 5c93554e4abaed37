//! Reassembles messages that arrive in pieces.

use super::reason::Reason;
use crate::frames::FrameType;
use crate::kind::Kind;
use crate::queue::MAX_MESSAGE_BYTES;

/// The received pieces of incomplete messages, by kind.
#[derive(Debug, Default)]
pub(crate) struct Pieces([Vec<u8>; Kind::COUNT]);

impl Pieces {
    /// Handles a frame's payload; returns a message once it is complete.
    pub fn take(&mut self, what: FrameType, payload: &[u8]) -> Result<Option<(Kind, Vec<u8>)>, Reason> {
        let (kind, whole) = match what {
            FrameType::Alive => return Ok(None),
            FrameType::Hello => return Err(Reason::Unreadable),
            FrameType::Message(kind) => (kind, true),
            FrameType::Piece(kind) => (kind, false),
        };
        let held = self.0.get_mut(kind.index()).ok_or(Reason::Unreadable)?;
        // An incomplete message is bounded like a whole one, so that a faulty member can't make this side
        // buffer without limit.
        if held.len() + payload.len() > MAX_MESSAGE_BYTES {
            return Err(Reason::Length);
        }
        held.extend_from_slice(payload);
        Ok(whole.then(|| (kind, std::mem::take(held))))
    }

    /// Returns the number of buffered bytes.
    pub fn bytes(&self) -> usize {
        self.0.iter().map(Vec::len).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_incomplete_message_is_bounded() {
        let mut pieces = Pieces::default();
        let piece = vec![0; 65_536];
        let taken =
            (0..1_000).take_while(|_| pieces.take(FrameType::Piece(Kind::Log), &piece).is_ok()).count();
        assert_eq!(taken * piece.len(), MAX_MESSAGE_BYTES);
        assert_eq!(pieces.take(FrameType::Message(Kind::Drift), &[1]), Ok(Some((Kind::Drift, vec![1]))));
        assert_eq!(pieces.take(FrameType::Hello, &[]), Err(Reason::Unreadable));
    }
}

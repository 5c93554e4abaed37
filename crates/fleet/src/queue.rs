//! The bounded queue of outgoing messages for one peer, by kind.
//!
//! [`Kind::Agreement`] and [`Kind::Log`] are sent in order and without omissions. When one of them is full,
//! the link has to be reset, so that the sender learns that its messages were lost. Of [`Kind::Gossip`],
//! [`Kind::Drift`] and [`Kind::Relayed`] the queue keeps the newest few messages and discards the oldest; the
//! remaining ones are sent in order, so that a peer never receives an older state after a newer one. The
//! kinds are served in turn, piece by piece: a message waits at most for one piece of each other kind.

use crate::frames::{FrameType, PIECE_BYTES};
use crate::kind::Kind;
use std::collections::VecDeque;

/// The maximum number of bytes in a message.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// The maximum number of bytes queued for a peer in one ordered kind.
pub const MAX_ORDERED_BYTES: usize = 8 * 1024 * 1024;
/// The maximum number of messages queued for a peer in one ordered kind.
pub const MAX_ORDERED_MESSAGES: usize = 8_192;
/// The maximum number of messages queued for a peer in one kind that keeps the newest.
pub const MAX_LATEST_MESSAGES: usize = 8;
/// The maximum number of bytes queued in such a kind; a single message is always accepted.
pub const MAX_LATEST_BYTES: usize = 1024 * 1024;

/// The result of queueing a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    /// The message was queued.
    Added,
    /// The message was queued, and this many older ones of its kind were discarded.
    Replaced(usize),
    /// There is no room for a message that must not be left out: the link has to be reset.
    Full,
    /// The message has more than [`MAX_MESSAGE_BYTES`] bytes and was discarded.
    TooLong,
}

#[derive(Debug, Default)]
struct KindQueue {
    waiting: VecDeque<Vec<u8>>,
    bytes: usize,
    /// The number of bytes of the first message that were sent already, in pieces.
    sent_bytes: usize,
}

/// The queue for one peer.
#[derive(Debug, Default)]
pub struct Queue {
    kinds: [KindQueue; Kind::COUNT],
    /// The kind to serve next.
    turn: usize,
}

impl Queue {
    /// Queues a message.
    pub fn push(&mut self, kind: Kind, payload: Vec<u8>) -> PushOutcome {
        let Some(kind_queue) = self.kinds.get_mut(kind.index()) else { return PushOutcome::TooLong };
        let size = payload.len();
        if size > MAX_MESSAGE_BYTES {
            return PushOutcome::TooLong;
        }
        let mut discarded = 0;
        if kind.ordered() {
            if kind_queue.waiting.len() >= MAX_ORDERED_MESSAGES || kind_queue.bytes + size > MAX_ORDERED_BYTES
            {
                return PushOutcome::Full;
            }
        } else {
            // A message that was sent in part has to be completed: the receiver holds its beginning.
            let first = usize::from(kind_queue.sent_bytes > 0);
            while kind_queue.waiting.len() > first
                && (kind_queue.waiting.len() >= MAX_LATEST_MESSAGES
                    || kind_queue.bytes + size > MAX_LATEST_BYTES)
            {
                let Some(old) = kind_queue.waiting.remove(first) else { break };
                kind_queue.bytes -= old.len();
                discarded += 1;
            }
        }
        kind_queue.bytes += size;
        kind_queue.waiting.push_back(payload);
        if discarded > 0 { PushOutcome::Replaced(discarded) } else { PushOutcome::Added }
    }

    /// Passes the next piece to `out` and returns true, or returns false when nothing is queued.
    pub fn next(&mut self, out: impl FnOnce(FrameType, &[u8])) -> bool {
        for step in 0..Kind::COUNT {
            let at = (self.turn + step) % Kind::COUNT;
            let (Some(kind_queue), Some(kind)) = (self.kinds.get_mut(at), Kind::ALL.get(at)) else {
                return false;
            };
            let Some(first) = kind_queue.waiting.front() else { continue };
            self.turn = at + 1;
            let rest = first.get(kind_queue.sent_bytes..).unwrap_or_default();
            if let Some((piece, more)) =
                rest.split_at_checked(PIECE_BYTES).filter(|(_, more)| !more.is_empty())
            {
                out(FrameType::Piece(*kind), piece);
                kind_queue.sent_bytes = first.len() - more.len();
            } else {
                out(FrameType::Message(*kind), rest);
                kind_queue.bytes -= first.len();
                kind_queue.sent_bytes = 0;
                kind_queue.waiting.pop_front();
            }
            return true;
        }
        false
    }

    /// Returns the number of queued bytes, over all kinds.
    pub fn bytes(&self) -> usize {
        self.kinds.iter().map(|kind_queue| kind_queue.bytes).sum()
    }

    /// Returns the number of queued messages, over all kinds.
    pub fn waiting(&self) -> usize {
        self.kinds.iter().map(|kind_queue| kind_queue.waiting.len()).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn drain(queue: &mut Queue) -> Vec<(FrameType, Vec<u8>)> {
        let mut all = Vec::new();
        while queue.next(|what, piece| all.push((what, piece.to_vec()))) {}
        all
    }

    #[test]
    fn the_newest_messages_are_kept_and_sent_in_order() {
        let mut queue = Queue::default();
        for n in 0..100_u8 {
            let wanted = if n < 8 { PushOutcome::Added } else { PushOutcome::Replaced(1) };
            assert_eq!(queue.push(Kind::Gossip, vec![n]), wanted);
        }
        let out: Vec<u8> = drain(&mut queue).iter().map(|(_, p)| p[0]).collect();
        assert_eq!(out, (92..100).collect::<Vec<u8>>());
        assert_eq!((queue.bytes(), queue.waiting()), (0, 0));
    }

    #[test]
    fn a_message_sent_in_part_is_not_discarded() {
        let mut queue = Queue::default();
        queue.push(Kind::Drift, vec![1; PIECE_BYTES + 1]);
        assert!(queue.next(|what, _| assert_eq!(what, FrameType::Piece(Kind::Drift))));
        (2..100).for_each(|n| _ = queue.push(Kind::Drift, vec![n; 1_000]));
        let out = drain(&mut queue);
        assert_eq!((out[0].0, out[0].1.as_slice()), (FrameType::Message(Kind::Drift), [1].as_slice()));
        assert_eq!(out[1].1[0], 93);
    }

    #[test]
    fn an_ordered_kind_is_limited_by_count_and_by_bytes() {
        let mut queue = Queue::default();
        let taken = |queue: &mut Queue, size: usize| {
            (0..100_000).take_while(|_| queue.push(Kind::Log, vec![0; size]) == PushOutcome::Added).count()
        };
        assert_eq!(taken(&mut queue, 1), MAX_ORDERED_MESSAGES);
        let mut queue = Queue::default();
        assert_eq!(taken(&mut queue, 65_536), MAX_ORDERED_BYTES / 65_536);
        assert_eq!(queue.push(Kind::Agreement, vec![0; MAX_MESSAGE_BYTES + 1]), PushOutcome::TooLong);
        assert_eq!(
            queue.push(Kind::Agreement, vec![0; 9]),
            PushOutcome::Added,
            "each kind has its own limit"
        );
    }

    #[test]
    fn other_kinds_are_sent_between_the_pieces_of_a_long_message() {
        let mut queue = Queue::default();
        queue.push(Kind::Log, vec![7; PIECE_BYTES * 4]);
        queue.push(Kind::Gossip, vec![1]);
        let out: Vec<FrameType> = drain(&mut queue).into_iter().map(|(what, _)| what).collect();
        let (piece, end) = (FrameType::Piece(Kind::Log), FrameType::Message(Kind::Log));
        assert_eq!(out, [FrameType::Message(Kind::Gossip), piece, piece, piece, end]);
    }
}

//! What a replica knows about the others: their current lives, their last messages, and whether their disks
//! are old ones.
//!
//! Each replica counts its commits and sends the count with each message. All replicas keep the greatest
//! count received of each, store it with their own commits, and pass it on. A replica that starts from a disk
//! with a lesser count has lost promises: its messages are refused, and it learns why, as every message
//! carries what its sender has seen of the receiver. Everything that a decision relies on has been seen,
//! because whoever counts a promise or an acceptance commits after receiving it.

use super::record::{Mark, Seen};
use super::wire::Head;
use crate::Micros;
use crate::name::Start;

/// Another replica, as this one knows it.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// The life, or 0 if none is known.
    pub nonce: u64,
    /// The start number.
    pub start: Start,
    /// Whether it takes part in consensus.
    pub voting: bool,
    /// Its clock in its last message.
    pub sent: Micros,
    /// The time, on our clock, at which we sent the latest message that it has answered.
    pub answered_at: Option<Micros>,
    /// The greatest mark of ours that it knows.
    pub seen_of_us: Mark,
    /// The sequence numbers of the last message in each direction.
    pub number_in: u64,
    /// See [`Peer::number_in`].
    pub number_out: u64,
    /// The time at which a gap was last reported to it.
    pub last_gap_report: Option<Micros>,
    /// The time at which a readmission of this life was last proposed.
    pub readmit_at: Option<Micros>,
    /// The time since which it asks to be prepared above the ballot that leads here.
    pub above_since: Option<Micros>,
    /// The number of decided slots in its last message; `None` before the first.
    pub decided: Option<u64>,
    /// The number of slots in its last message.
    pub log_end: u64,
    /// The result of comparing its log with ours.
    pub comparison: Option<LogComparison>,
    /// The time of the first message of this life.
    pub first_seen: Micros,
}

/// The result of comparing another replica's decided log with ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogComparison {
    /// They are equal, as far as both go.
    Same,
    /// They differ.
    Differs,
    /// One begins after the end of the other.
    Apart,
}

/// The position of a message relative to those received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageOrder {
    /// The next in order.
    Next,
    /// A previous message is missing.
    Gap,
    /// The first message of a life.
    NewLife,
    /// A message of an ended life, repeated or late: dropped.
    Late,
    /// A message from a replica whose disk has lost its promises: dropped.
    Stale,
}

impl Peer {
    /// Handles the header of a message. `known` is the greatest mark of the sender received from any replica.
    pub fn hear(&mut self, now: Micros, own: u64, head: &Head, known: &Seen, window: Micros) -> MessageOrder {
        let order = if head.nonce != self.nonce {
            if head.voting && head.opened < known.mark && head.nonce != known.nonce {
                return MessageOrder::Stale;
            }
            // A lesser start belongs to a life that has ended, unless the known life has become silent: a
            // restored folder counts its starts again from an earlier number.
            if self.nonce != 0 && head.start < self.start && self.fresh(now, window) {
                return MessageOrder::Late;
            }
            // Our own sequence numbers continue: the new life may have received some of them before we learnt
            // of it.
            let number_out = self.number_out;
            *self =
                Peer { nonce: head.nonce, start: head.start, first_seen: now, number_out, ..Peer::default() };
            MessageOrder::NewLife
        } else if head.number <= self.number_in {
            return MessageOrder::Late;
        } else if head.number > self.number_in + 1 {
            MessageOrder::Gap
        } else {
            MessageOrder::Next
        };
        self.number_in = head.number;
        self.voting = head.voting;
        self.sent = head.sent;
        if head.to == own && head.echo <= now {
            self.answered_at = self.answered_at.max(Some(head.echo));
        }
        order
    }

    /// Returns whether it has answered lately.
    pub fn fresh(&self, now: Micros, window: Micros) -> bool {
        self.answered_at.is_some_and(|at| at.saturating_add(window) >= now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn head(nonce: u64, start: u64, number: u64, opened: u64) -> Head {
        let opened = Mark { epoch: 0, writes: opened };
        Head {
            group: 1,
            start: Start(start),
            nonce,
            to: 9,
            number,
            voting: true,
            opened,
            mark: opened,
            seen: vec![],
            epochs: vec![],
            sent: 5,
            echo: 7,
        }
    }

    /// An older acceptance or log that is handled after a newer one would revoke what was sent since.
    #[test]
    fn each_message_counts_once_and_in_order_and_a_stale_disk_is_refused() {
        let mut peer = Peer::default();
        let known = Seen { mark: Mark { epoch: 0, writes: 10 }, nonce: 1 };
        let mut hear = |at, h: Head| peer.hear(at, 9, &h, &known, 100);
        assert_eq!(hear(10, head(1, 1, 4, 3)), MessageOrder::NewLife);
        assert_eq!(hear(10, head(1, 1, 4, 3)), MessageOrder::Late, "repeated");
        assert_eq!(hear(10, head(1, 1, 6, 3)), MessageOrder::Gap);
        assert_eq!(hear(10, head(1, 1, 5, 3)), MessageOrder::Late, "overtaken");
        assert_eq!(hear(10, head(1, 1, 7, 3)), MessageOrder::Next);
        assert_eq!(
            hear(10, head(2, 2, 1, 9)),
            MessageOrder::Stale,
            "its disk is older than its last messages"
        );
        assert_eq!(hear(10, head(2, 2, 1, 10)), MessageOrder::NewLife);
        assert_eq!(hear(11, head(1, 1, 8, 10)), MessageOrder::Late, "a message of the previous life");
        assert_eq!(
            hear(500, head(3, 1, 1, 10)),
            MessageOrder::NewLife,
            "a restored folder while the newer life is silent"
        );
    }
}

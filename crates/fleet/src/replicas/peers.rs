//! What a keeper knows of the others: which life each is in, what it said last, and whether its disk is an old one.
//!
//! Each keeper counts its commits and says the count with each message. All keep the greatest count heard of each, write it
//! with their own commits and tell it on. A keeper that starts from a disk with a lesser count has forgotten what it
//! promised: its messages are refused, and as every message bears what its sender has seen of its receiver, it hears
//! so. What a decision rests on is always among what was seen: whoever counts a promise or an acceptance commits
//! after it has heard it.

use super::record::{Mark, Seen};
use super::wire::Head;
use crate::Micros;
use crate::name::Start;

/// Another keeper, as this one knows it.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Its life; 0: none was heard of.
    pub nonce: u64,
    /// Its start.
    pub start: Start,
    /// It takes part.
    pub voting: bool,
    /// Its clock, as it last said.
    pub sent: Micros,
    /// When we sent the latest message that it has answered; on our clock.
    pub answered_at: Option<Micros>,
    /// The greatest mark of ours that it knows of.
    pub seen_of_us: Mark,
    /// Numbers of the last message each way.
    pub number_in: u64,
    /// See [`Peer::number_in`].
    pub number_out: u64,
    /// When the last gap was told.
    pub last_gap_report: Option<Micros>,
    /// When a readmission of this life was last asked of the log.
    pub readmit_at: Option<Micros>,
    /// Since when it asks to be prepared above the ballot that is led here.
    pub above_since: Option<Micros>,
    /// Slots decided there, as it last said; none where it has not said yet.
    pub decided: Option<u64>,
    /// Slots in all there, as it last said.
    pub log_end: u64,
    /// How its log stands to ours.
    pub comparison: Option<LogComparison>,
    /// When this life was first heard.
    pub first_seen: Micros,
}

/// How another keeper's decided log stands to ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogComparison {
    /// The same, as far as both go.
    Same,
    /// Another.
    Differs,
    /// One begins behind the end of the other.
    Apart,
}

/// How a message stands to what was heard before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageOrder {
    /// The next in order.
    Next,
    /// One before it is missing.
    Gap,
    /// The first of a life.
    NewLife,
    /// Of a life that is over, or come twice, or late: dropped.
    Late,
    /// From a disk that has forgotten what it promised: dropped.
    Stale,
}

impl Peer {
    /// Takes the head of a message. `known` is the greatest mark heard of the sender from anybody.
    pub fn hear(&mut self, now: Micros, own: u64, head: &Head, known: &Seen, window: Micros) -> MessageOrder {
        let order = if head.nonce != self.nonce {
            if head.voting && head.opened < known.mark && head.nonce != known.nonce {
                return MessageOrder::Stale;
            }
            // A lesser start is of a life that is over, unless the one known has fallen silent: a folder that was put
            // back counts its starts again from where it was.
            if self.nonce != 0 && head.start < self.start && self.fresh(now, window) {
                return MessageOrder::Late;
            }
            // Our own numbers go on: the new life may have heard some of them before we heard of it.
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

    /// Whether it has answered lately.
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

    /// An acceptance or a log that overtakes a later one would take back what was said since.
    #[test]
    fn each_message_counts_once_and_in_order_and_a_forgetful_life_not_at_all() {
        let mut peer = Peer::default();
        let known = Seen { mark: Mark { epoch: 0, writes: 10 }, nonce: 1 };
        let mut hear = |at, h: Head| peer.hear(at, 9, &h, &known, 100);
        assert_eq!(hear(10, head(1, 1, 4, 3)), MessageOrder::NewLife);
        assert_eq!(hear(10, head(1, 1, 4, 3)), MessageOrder::Late, "twice");
        assert_eq!(hear(10, head(1, 1, 6, 3)), MessageOrder::Gap);
        assert_eq!(hear(10, head(1, 1, 5, 3)), MessageOrder::Late, "overtaken");
        assert_eq!(hear(10, head(1, 1, 7, 3)), MessageOrder::Next);
        assert_eq!(
            hear(10, head(2, 2, 1, 9)),
            MessageOrder::Stale,
            "its disk knows less than was heard from it"
        );
        assert_eq!(hear(10, head(2, 2, 1, 10)), MessageOrder::NewLife);
        assert_eq!(hear(11, head(1, 1, 8, 10)), MessageOrder::Late, "the life before");
        assert_eq!(
            hear(500, head(3, 1, 1, 10)),
            MessageOrder::NewLife,
            "a folder put back, and the newer life is silent"
        );
    }
}

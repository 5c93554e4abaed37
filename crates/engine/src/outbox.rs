//! Receipts owed to clients, until each is taken. Free of I/O.
//!
//! Guards against answers lost with a session: a receipt goes out on one session at a time, and where that
//! session ends or refuses it, it is owed again, first in line. Room is bounded before acceptance (see `limits`):
//! a client whose answers pile up is not accepted more from, so none is ever dropped.

use crate::Micros;
use heronroute_smpp::receipt::Receipt;
use std::collections::{BTreeMap, VecDeque};

/// A session, by the number that the sender gives its connection.
pub type SessionId = u64;

/// The answers owed to one client.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: VecDeque<Receipt>,
    /// Out on a session, by session and sequence number.
    out: BTreeMap<(SessionId, u32), Receipt>,
    /// Sessions that can take receipts, next one first.
    sessions: VecDeque<SessionId>,
    not_before: Micros,
}

impl Outbox {
    /// Receipts owed, those out included.
    pub fn owed(&self) -> usize {
        self.waiting.len() + self.out.len()
    }

    /// Receipts out on sessions.
    pub fn out(&self) -> usize {
        self.out.len()
    }

    /// Sessions that can take receipts.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// A further receipt is owed.
    pub fn owe(&mut self, receipt: Receipt) {
        self.waiting.push_back(receipt);
    }

    /// A session that takes receipts was bound.
    pub fn join(&mut self, session: SessionId) {
        self.sessions.push_back(session);
        self.not_before = 0;
    }

    /// A session ended: what was out on it is owed again, in its order.
    pub fn leave(&mut self, session: SessionId) {
        self.sessions.retain(|s| *s != session);
        let keys: Vec<(SessionId, u32)> =
            self.out.range((session, 0)..=(session, u32::MAX)).map(|(k, _)| *k).collect();
        for key in keys.into_iter().rev() {
            if let Some(receipt) = self.out.remove(&key) {
                self.waiting.push_front(receipt);
            }
        }
    }

    /// The session to try next; sessions take turns.
    pub fn turn(&mut self, now: Micros) -> Option<SessionId> {
        if self.waiting.is_empty() || now < self.not_before {
            return None;
        }
        self.sessions.rotate_left(usize::from(!self.sessions.is_empty()));
        self.sessions.back().copied()
    }

    /// When to try again, where a peer asked for it.
    pub fn wake(&self) -> Option<Micros> {
        (self.not_before > 0 && !self.waiting.is_empty() && !self.sessions.is_empty())
            .then_some(self.not_before)
    }

    /// The next receipt to go out; then say where it went with [`Outbox::went`].
    pub fn take(&mut self) -> Option<Receipt> {
        self.waiting.pop_front()
    }

    /// A receipt went out on a session.
    pub fn went(&mut self, session: SessionId, sequence: u32, receipt: Receipt) {
        self.out.insert((session, sequence), receipt);
    }

    /// The peer answered; gives the receipt where it was taken. A receipt that it could not take now is owed again, after a pause: guards against a
    /// peer that refuses at once being asked at once, for ever.
    pub fn answered(
        &mut self,
        now: Micros,
        session: SessionId,
        sequence: u32,
        taken: bool,
        pause: Micros,
    ) -> Option<Receipt> {
        let receipt = self.out.remove(&(session, sequence))?;
        if taken {
            return Some(receipt);
        }
        self.waiting.push_front(receipt);
        self.not_before = now + pause;
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use heronroute_smpp::receipt::Answer;

    fn receipt(id: usize) -> Receipt {
        Receipt {
            id: id.to_string(),
            answer: Answer::Delivered,
            taken: 0,
            done: 0,
            source: String::new(),
            destination: String::new(),
        }
    }

    #[test]
    fn what_a_session_did_not_take_is_owed_again_in_order() {
        let mut o = Outbox::default();
        (0..4).for_each(|i| o.owe(receipt(i)));
        assert_eq!(o.turn(0), None, "nobody to tell");
        o.join(7);
        for n in 1..=3 {
            assert_eq!(o.turn(0), Some(7));
            let r = o.take().unwrap();
            o.went(7, n, r);
        }
        assert!(o.answered(0, 7, 2, true, 100).is_some());
        assert!(o.answered(0, 7, 2, true, 100).is_none(), "only once");
        o.leave(7);
        let rest: Vec<String> = std::iter::from_fn(|| o.take()).map(|r| r.id).collect();
        assert_eq!(rest, ["0", "2", "3"]);
    }

    #[test]
    fn a_refused_receipt_waits() {
        let mut o = Outbox::default();
        o.owe(receipt(0));
        o.join(1);
        let r = o.take().unwrap();
        o.went(1, 1, r);
        assert!(o.answered(50, 1, 1, false, 100).is_none());
        assert_eq!((o.turn(149), o.wake(), o.turn(150)), (None, Some(150), Some(1)));
    }
}

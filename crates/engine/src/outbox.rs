//! Answers owed to a mailbox, until each is taken. Free of I/O.
//!
//! Guards against answers lost with a session: an answer goes out on one session at a time, and where that
//! session ends or refuses it, it is owed again, first in line. Room is bounded before acceptance (see `limits`):
//! a client whose answers pile up is not accepted more from, so none is ever dropped.

use crate::Micros;
use heronroute_smpp::receipt::Receipt;
use std::collections::{BTreeMap, VecDeque};

/// A session, by the number that the sender gives its connection.
pub type SessionId = u64;

/// Where an answer goes, in protocols that let clients say so.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The topic; empty for the usual one.
    pub topic: String,
    /// What comes back with it.
    pub correlation: Vec<u8>,
}

/// An answer that is owed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owed {
    /// What is told.
    pub receipt: Receipt,
    /// Where.
    pub reply: Reply,
    /// The number under which it was out when a connection was lost.
    pub before: Option<u32>,
}

/// The answers owed to one mailbox.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: VecDeque<Owed>,
    /// Those that the sessions there did not ask for.
    aside: VecDeque<Owed>,
    /// Out on a session, by session and sequence number.
    out: BTreeMap<(SessionId, u32), Owed>,
    /// Sessions that can take answers, next one first.
    sessions: VecDeque<SessionId>,
    not_before: Micros,
}

impl Outbox {
    /// Answers owed, those out included.
    pub fn owed(&self) -> usize {
        self.waiting.len() + self.aside.len() + self.out.len()
    }

    /// Whether nothing is out, and nothing waits that a session here would take.
    pub fn rests(&self) -> bool {
        self.out.is_empty() && (self.waiting.is_empty() || self.sessions.is_empty())
    }

    /// Sessions that can take answers.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// A further answer is owed.
    pub fn owe(&mut self, receipt: Receipt, reply: Reply) {
        self.waiting.push_back(Owed { receipt, reply, before: None });
    }

    /// A session that takes answers is there.
    pub fn join(&mut self, session: SessionId) {
        self.sessions.push_back(session);
        self.not_before = 0;
        self.ask_again();
    }

    /// What was set aside may be asked for now; it goes first, as it is older.
    pub fn ask_again(&mut self) {
        while let Some(owed) = self.aside.pop_back() {
            self.waiting.push_front(owed);
        }
    }

    /// Nobody here asked for this one.
    pub fn set_aside(&mut self, owed: Owed) {
        self.aside.push_back(owed);
    }

    /// A session ended: what was out on it is owed again, in its order.
    pub fn leave(&mut self, session: SessionId) {
        self.sessions.retain(|s| *s != session);
        let keys: Vec<(SessionId, u32)> =
            self.out.range((session, 0)..=(session, u32::MAX)).map(|(k, _)| *k).collect();
        for key in keys.into_iter().rev() {
            if let Some(mut owed) = self.out.remove(&key) {
                owed.before = Some(key.1);
                self.waiting.push_front(owed);
            }
        }
    }

    /// The numbers of lost connections mean nothing any more: their session is over.
    pub fn forget_numbers(&mut self) {
        self.waiting.iter_mut().chain(&mut self.aside).for_each(|o| o.before = None);
    }

    /// Takes out what is not to be told from here, also where it is out and was not taken; gives the answers' identities.
    pub fn withdraw(&mut self, which: impl Fn(&Owed) -> bool) -> Vec<String> {
        let mut gone = Vec::new();
        for queue in [&mut self.waiting, &mut self.aside] {
            queue.retain(|o| {
                !which(o) || {
                    gone.push(o.receipt.id.clone());
                    false
                }
            });
        }
        self.out.retain(|_, o| {
            !which(o) || {
                gone.push(o.receipt.id.clone());
                false
            }
        });
        gone
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

    /// The next answer to go out; then say where it went with [`Outbox::went`].
    pub fn take(&mut self) -> Option<Owed> {
        self.waiting.pop_front()
    }

    /// An answer went out on a session.
    pub fn went(&mut self, session: SessionId, sequence: u32, owed: Owed) {
        let before = self.out.insert((session, sequence), owed);
        debug_assert!(before.is_none(), "a number in use was given out again");
    }

    /// The peer answered; gives the answer where it was taken. One that it could not take now is owed again, after a
    /// pause: guards against a peer that refuses at once being asked at once, for ever.
    pub fn answered(
        &mut self,
        now: Micros,
        session: SessionId,
        sequence: u32,
        taken: bool,
        pause: Micros,
    ) -> Option<Owed> {
        let owed = self.out.remove(&(session, sequence))?;
        if taken {
            return Some(owed);
        }
        self.waiting.push_front(owed);
        self.not_before = now + pause;
        None
    }
}

#[cfg(test)]
mod tests;

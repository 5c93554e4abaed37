//! Answers owed to a mailbox, until the client has acknowledged each. Free of I/O.
//!
//! Guards against answers that are lost with a session: an answer is sent on one session at a time, and if
//! that session ends or refuses it, it is owed again, at the front of the queue. Room is bounded before
//! acceptance (see `limits`): a client whose answers pile up gets no more messages accepted, so no answer is
//! ever dropped.

use crate::Micros;
use heronroute_smpp::receipt::Receipt;
use std::collections::{BTreeMap, VecDeque};

/// The number of a session, which is that of its connection.
pub type SessionId = u64;

/// The address for an answer, in protocols that let clients choose it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyAddress {
    /// The topic; empty for the default one.
    pub topic: String,
    /// The correlation data, returned with the answer.
    pub correlation: Vec<u8>,
}

/// An answer that is owed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwedAnswer {
    /// The answer.
    pub receipt: Receipt,
    /// The address for it.
    pub reply: ReplyAddress,
    /// The packet number under which it was sent on a connection that was lost.
    pub before: Option<u32>,
}

/// The answers owed to one mailbox.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Answers to send, the next one first.
    waiting: VecDeque<OwedAnswer>,
    /// Answers to which no session here has subscribed.
    unsubscribed: VecDeque<OwedAnswer>,
    /// Sent and not acknowledged, by session and sequence number.
    in_flight: BTreeMap<(SessionId, u32), OwedAnswer>,
    /// Sessions that receive answers, the next one first.
    sessions: VecDeque<SessionId>,
    /// The time before which no answer is sent, after a client refused one; 0 if there is none.
    retry_at: Micros,
}

impl Outbox {
    /// Returns the number of answers owed, including those sent and not acknowledged.
    pub fn owed(&self) -> usize {
        self.waiting.len() + self.unsubscribed.len() + self.in_flight.len()
    }

    /// Returns whether no answer is in flight, and none waits that a session here would take.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && (self.waiting.is_empty() || self.sessions.is_empty())
    }

    /// Returns the number of sessions that receive answers.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Adds an answer.
    pub fn push(&mut self, receipt: Receipt, reply: ReplyAddress) {
        self.waiting.push_back(OwedAnswer { receipt, reply, before: None });
    }

    /// Adds a session that receives answers.
    pub fn add_session(&mut self, session: SessionId) {
        self.sessions.push_back(session);
        self.retry_at = 0;
        self.requeue_set_aside();
    }

    /// Queues the answers that were set aside again, as a session may have subscribed to them now. They go
    /// first, as they are older.
    pub fn requeue_set_aside(&mut self) {
        while let Some(owed) = self.unsubscribed.pop_back() {
            self.waiting.push_front(owed);
        }
    }

    /// Sets an answer aside to which no session here has subscribed.
    pub fn set_aside(&mut self, owed: OwedAnswer) {
        self.unsubscribed.push_back(owed);
    }

    /// Removes a session. The answers in flight on it are owed again, in their order.
    pub fn remove_session(&mut self, session: SessionId) {
        self.sessions.retain(|s| *s != session);
        let keys: Vec<(SessionId, u32)> =
            self.in_flight.range((session, 0)..=(session, u32::MAX)).map(|(k, _)| *k).collect();
        for key in keys.into_iter().rev() {
            if let Some(mut owed) = self.in_flight.remove(&key) {
                owed.before = Some(key.1);
                self.waiting.push_front(owed);
            }
        }
    }

    /// Clears the packet numbers of lost connections, whose session is over.
    pub fn clear_packet_numbers(&mut self) {
        self.waiting.iter_mut().chain(&mut self.unsubscribed).for_each(|o| o.before = None);
    }

    /// Removes the matching answers, including those in flight, and returns their ids.
    pub fn remove_matching(&mut self, which: impl Fn(&OwedAnswer) -> bool) -> Vec<String> {
        let mut removed = Vec::new();
        for queue in [&mut self.waiting, &mut self.unsubscribed] {
            queue.retain(|o| {
                !which(o) || {
                    removed.push(o.receipt.id.clone());
                    false
                }
            });
        }
        self.in_flight.retain(|_, o| {
            !which(o) || {
                removed.push(o.receipt.id.clone());
                false
            }
        });
        removed
    }

    /// Returns the session to try next, in rotation.
    pub fn next_session(&mut self, now: Micros) -> Option<SessionId> {
        if self.waiting.is_empty() || now < self.retry_at {
            return None;
        }
        self.sessions.rotate_left(usize::from(!self.sessions.is_empty()));
        self.sessions.back().copied()
    }

    /// Returns when to try again, after a client refused an answer for now.
    pub fn wake(&self) -> Option<Micros> {
        (self.retry_at > 0 && !self.waiting.is_empty() && !self.sessions.is_empty()).then_some(self.retry_at)
    }

    /// Takes the next answer to send. [`Outbox::sent`] must be called once it is sent.
    pub fn pop(&mut self) -> Option<OwedAnswer> {
        self.waiting.pop_front()
    }

    /// Records that an answer was sent on a session.
    pub fn sent(&mut self, session: SessionId, sequence: u32, owed: OwedAnswer) {
        let before = self.in_flight.insert((session, sequence), owed);
        debug_assert!(before.is_none(), "a sequence number in use was assigned again");
    }

    /// Handles the client's reply to an answer, and returns the answer if the client took it. An answer that
    /// the client could not take is owed again after a pause, which guards against a client that refuses at
    /// once being sent the same answer in an endless loop.
    pub fn acknowledge(
        &mut self,
        now: Micros,
        session: SessionId,
        sequence: u32,
        taken: bool,
        pause: Micros,
    ) -> Option<OwedAnswer> {
        let owed = self.in_flight.remove(&(session, sequence))?;
        if taken {
            return Some(owed);
        }
        self.waiting.push_front(owed);
        self.retry_at = now + pause;
        None
    }
}

#[cfg(test)]
mod tests;

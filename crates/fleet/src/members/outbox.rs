//! Pending outputs, and the runtime that `foca` acts through.

use super::change::{Change, Counts};
use super::member_id::MemberId;
use super::rows::Rows;
use super::timers::Timers;
use super::wire;
use crate::Micros;
use foca::{Notification, Runtime, Timer};
use std::collections::VecDeque;

/// The maximum number of pending messages. Further ones are lost, as on a bad link.
const MAX_SENDS: usize = 4096;
/// The maximum number of pending changes, except changes of state, which the rows hold once for each member.
const MAX_CHANGES: usize = 1024;

/// Outputs that the caller hasn't taken yet.
#[derive(Default)]
pub(super) struct Outbox {
    pub sends: VecDeque<(usize, Vec<u8>)>,
    pub changes: VecDeque<Change>,
    pub counts: Counts,
}

impl Outbox {
    /// Queues a message for a peer if its link is up.
    pub fn send(&mut self, rows: &Rows, to: usize, bytes: Vec<u8>) {
        if !rows.all.get(to).is_some_and(|row| row.linked) || self.sends.len() >= MAX_SENDS {
            self.counts.unsent += 1;
            return;
        }
        self.counts.sent += 1;
        self.counts.sent_octets += bytes.len() as u64;
        self.sends.push_back((to, bytes));
    }

    pub fn change(&mut self, change: Change) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push_back(change);
        }
    }
}

/// Gives `foca` access to the outbox and the timers.
pub(super) struct FocaRuntime<'a> {
    pub now: Micros,
    pub rows: &'a Rows,
    pub timers: &'a mut Timers,
    pub out: &'a mut Outbox,
}

impl Runtime<MemberId> for FocaRuntime<'_> {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        if let Notification::Rejoin(_) = notification {
            self.out.counts.renewed += 1;
        }
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        match self.rows.index(to.key) {
            Some(index) => self.out.send(self.rows, index, wire::swim(data)),
            None => self.out.counts.unsent += 1,
        }
    }

    fn submit_after(&mut self, event: Timer<MemberId>, after: std::time::Duration) {
        let after = Micros::try_from(after.as_micros()).unwrap_or(Micros::MAX);
        self.timers.add(self.now.saturating_add(after), event);
    }
}

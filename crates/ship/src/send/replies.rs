//! Sessions with the partner, and the handling of its replies at the sending side.

use super::{JournalReplicator, State};
use crate::wire::{self, FromOrigin, FromPartner, Position};
use crate::{Micros, Notice};
use heronroute_journal::Mark;

impl JournalReplicator {
    /// Begins a session.
    pub(super) fn begin_session(&mut self, now: Micros) {
        // A life never has that many sessions; the last number would be used again.
        self.session = self.session.saturating_add(1);
        (self.hello_pending, self.control_message, self.copy_full) = (true, None, false);
        self.end_session();
        self.restart_reply_timeout(now);
    }

    /// Ends a session. Buffered log entries are kept, as the connection may come back soon.
    pub(super) fn end_session(&mut self) {
        (self.hello_pending, self.control_message) = (self.hello_pending && self.connected, None);
        if matches!(self.state, State::Streaming | State::AwaitingPosition) {
            // Sent entries may not have arrived.
            self.queue.restart(self.acked.number, self.tail.number);
            if self.queue.bytes() == 0 && self.tail.number != self.acked.number {
                self.tail = self.acked;
            }
        } else {
            self.queue = super::Queue::default();
            self.tail = self.acked;
        }
        self.state = State::AwaitingPosition;
    }

    /// Returns whether no reply is outstanding.
    pub(super) fn is_idle(&self) -> bool {
        self.is_streaming() && !self.queue.in_flight() && !self.copy_full
    }

    pub(super) fn handle(&mut self, now: Micros, down: FromPartner) {
        match down {
            FromPartner::Position { at, marks, window } => {
                self.window = self.bounds.window.min(window as usize);
                self.copy_full = false;
                self.compare_position(wire::to_mark(at), &marks);
            }
            FromPartner::Durable { next } => {
                if self.is_streaming() && next <= self.tail.number {
                    self.copy_full = false;
                    if let Some(mark) = self.queue.acked(next) {
                        self.acknowledged_to(mark);
                    }
                }
                if self.is_idle() {
                    self.new_session_at = None;
                }
            }
            FromPartner::SnapshotReceived { count } => {
                if matches!(self.state, State::Snapshot { .. }) {
                    self.queue.acked(count);
                }
            }
            FromPartner::Full => {
                self.copy_full = true;
                self.notices.push(Notice::Full);
                // The partner dropped the snapshot; entries of the log wait there.
                if matches!(self.state, State::Snapshot { .. }) {
                    self.halt();
                }
            }
            FromPartner::EntryRejected { number } => {
                self.notices.push(Notice::EntryRejected { number });
                self.halt();
            }
            FromPartner::NewerLife { start } => {
                if start > self.origin.life.start.0 {
                    self.superseded = true;
                    self.notices.push(Notice::NewerLife { known: start });
                    self.halt();
                }
            }
            FromPartner::SetAsideExists => {
                self.notices.push(Notice::SetAsideExists);
                self.halt();
            }
            FromPartner::Failed => {
                self.notices.push(Notice::Failed);
                self.halt();
            }
        }
        if matches!(self.state, State::Halted) {
            self.restart_reply_timeout(now);
        }
    }

    fn acknowledged_to(&mut self, mark: Mark) {
        self.acked = mark;
        self.highest_acked = self.highest_acked.max(mark.number);
        self.lag.acked(mark.number);
    }

    /// Compares the copy's position with the own log.
    fn compare_position(&mut self, copy: Mark, marks: &[Position]) {
        // Buffered snapshot entries are numbered differently.
        if matches!(self.state, State::Snapshot { .. }) {
            self.queue = super::Queue::default();
            self.tail = self.acked;
        }
        let differs =
            |m: &Position| m.0 <= copy.number && self.own_mark(m.0).is_some_and(|own| own.digest != m.1);
        // Detects a disk at either side that was restored to an earlier state.
        if copy.number > self.written || marks.iter().any(differs) {
            return self.report_diverged(copy);
        }
        if let Some(own) = self.own_mark(copy.number) {
            return if own == copy { self.resume_from(copy) } else { self.report_diverged(copy) };
        }
        self.queue = super::Queue::default();
        match self.last_mark_at(copy.number) {
            Some(mark) => {
                self.tail = mark;
                self.state = State::Verifying { copy };
            }
            None => self.begin_snapshot(copy.number),
        }
    }

    /// Compares digests once the own log was read up to the copy's position.
    pub(super) fn compare_verified(&mut self, copy: Mark) {
        if self.tail == copy { self.resume_from(copy) } else { self.report_diverged(copy) }
    }

    fn resume_from(&mut self, copy: Mark) {
        if copy.number < self.highest_acked {
            self.notices.push(Notice::CopyLostEntries { acked: self.highest_acked, found: copy.number });
        }
        if !self.queue.restart(copy.number, self.tail.number) {
            self.tail = copy;
        }
        self.state = State::Streaming;
        self.acknowledged_to(copy);
    }

    fn report_diverged(&mut self, copy: Mark) {
        self.notices.push(Notice::Diverged { copy: copy.number, origin: self.written });
        // The other region has no valid entries any more, so no acknowledgement counts.
        (self.acked, self.highest_acked) = (Mark::default(), 0);
        self.halt();
        self.control_message =
            Some(FromOrigin::SetAside { copy: wire::to_position(copy), origin: self.written });
    }

    /// Sends a snapshot, as the log does not reach back far enough.
    pub(super) fn begin_snapshot(&mut self, unverified: u64) {
        if !matches!(self.state, State::Snapshot { .. }) {
            self.notices.push(Notice::RebuildStarted { number: self.written, unverified });
        }
        self.queue = super::Queue::default();
        self.state = State::Snapshot {
            chain: None,
            read: Mark::default(),
            fully_read: false,
            end_sent: false,
            begin_sent: false,
        };
    }
}

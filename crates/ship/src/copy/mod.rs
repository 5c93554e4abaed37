//! The receiving side of replication.

mod folder;
mod take;

pub use folder::CopyError;

use crate::wire::{self, FromOrigin, FromPartner, Message};
use crate::{Micros, Notice, Notices, Origin, ReplicationTarget};
use heronroute_fleet::{Life, Name, Start};
use heronroute_journal::{Entry, Journal, JournalError, JournalState, Limits, Mark, Replacement, Storage};
use std::collections::VecDeque;

/// The delay before a commit that found the storage full is retried, in microseconds.
const FULL_RETRY_DELAY: Micros = 1_000_000;
/// The maximum number of queued replies. Further ones are dropped, and the origin begins a new session.
const MAX_QUEUED_REPLIES: usize = 64;

/// The copy of one sender's journal, with the receiving side of its replication.
#[derive(Debug)]
pub struct JournalCopy<S> {
    name: Name,
    sender: u32,
    limits: Limits,
    window: usize,
    /// None only after its storage was lost while a copy was set aside.
    journal: Option<Journal<S>>,
    /// The newest life that wrote, which is recorded durably, and its session.
    life: Option<Start>,
    session: u32,
    /// Received entries that are not durable, their bytes, and the position after them.
    uncommitted: Vec<Entry>,
    uncommitted_bytes: usize,
    next_mark: Mark,
    /// The received part of an entry that is incomplete.
    partial_entry: Vec<u8>,
    replacement: Option<Replacement>,
    /// The position after the received entries of the snapshot. It counts more entries than are stored, as
    /// entries that belong to the origin's snapshot only are left out.
    snapshot_mark: Mark,
    /// The position was sent after a gap, and no entry has followed since.
    position_resent: bool,
    commit_retry_at: Option<Micros>,
    failed: bool,
    replies: VecDeque<FromPartner>,
    /// The latest reply to an older life.
    old_life_reply: Option<Message<FromPartner>>,
    notices: Notices,
    /// The number of invalid messages.
    invalid_messages: u64,
}

impl<S: Storage> JournalCopy<S> {
    /// Opens the copy of a member's sender in a folder, or creates one. `limits.most` bounds the folder,
    /// except for one copy that is set aside and, while a snapshot is received, the previous copy; each is at
    /// most as large. `window` is the number of bytes of entries that may be in flight or wait for their
    /// commit.
    ///
    /// # Errors
    /// The folder has the copy of another origin or is corrupt, or the storage fails.
    pub fn open(
        mut storage: S,
        name: Name,
        sender: u32,
        limits: Limits,
        window: usize,
    ) -> Result<Self, CopyError> {
        folder::finish_set_aside(&mut storage)?;
        let origin = folder::read_origin(&mut storage)?;
        if let Some(o) = origin.as_ref().filter(|o| o.life.name != name || o.sender != sender) {
            return Err(CopyError::OtherOrigin(o.life.name.to_string(), o.sender));
        }
        let journal = Journal::open_chained(storage, limits)?;
        let mut copy = JournalCopy {
            name,
            sender,
            limits,
            window,
            journal: Some(journal),
            life: origin.map(|o| o.life.start),
            session: 0,
            uncommitted: Vec::new(),
            uncommitted_bytes: 0,
            next_mark: Mark::default(),
            partial_entry: Vec::new(),
            replacement: None,
            snapshot_mark: Mark::default(),
            position_resent: false,
            commit_retry_at: None,
            failed: false,
            replies: VecDeque::new(),
            old_life_reply: None,
            notices: Notices::default(),
            invalid_messages: 0,
        };
        copy.discard_uncommitted();
        Ok(copy)
    }

    /// Returns the journal of the copy, for a takeover. Entries that are not durable are dropped. None if the
    /// storage failed.
    pub fn into_journal(self) -> Option<Journal<S>> {
        self.journal.filter(|_| !self.failed)
    }

    /// Returns the number of invalid messages, which were ignored.
    pub fn invalid_messages(&self) -> u64 {
        self.invalid_messages
    }

    /// Discards everything that is not durable.
    fn discard_uncommitted(&mut self) {
        (self.uncommitted, self.uncommitted_bytes, self.partial_entry) = (Vec::new(), 0, Vec::new());
        if self.replacement.take().is_some()
            && let Some(journal) = &mut self.journal
            && journal.abandon_replacement().is_err()
        {
            self.fail_storage();
        }
        (self.snapshot_mark, self.position_resent, self.commit_retry_at) = (Mark::default(), false, None);
        self.next_mark = self.position();
    }

    /// Returns the position of the copy.
    fn position(&self) -> Mark {
        self.journal.as_ref().and_then(Journal::chain).map(|c| c.at()).unwrap_or_default()
    }

    fn reply(&mut self, down: FromPartner) {
        if self.replies.len() < MAX_QUEUED_REPLIES {
            self.replies.push_back(down);
        }
    }

    fn reply_position(&mut self) {
        let Some(chain) = self.journal.as_ref().and_then(Journal::chain) else { return };
        let marks = chain.marks().iter().copied().map(wire::to_position).collect();
        let window = u32::try_from(self.window).unwrap_or(u32::MAX);
        let reply = FromPartner::Position { at: wire::to_position(chain.at()), marks, window };
        self.reply(reply);
    }

    /// Handles a storage failure. Only the next opening of the folder shows which entries are durable.
    fn fail_storage(&mut self) {
        if !self.failed {
            self.failed = true;
            self.notices.push(Notice::Failed);
        }
        (self.uncommitted, self.uncommitted_bytes, self.partial_entry) = (Vec::new(), 0, Vec::new());
        self.reply(FromPartner::Failed);
    }

    fn hello(&mut self, origin: &Origin, session: u32, acked: u64) {
        if self.life != Some(origin.life.start) {
            // Recorded durably first, so that messages of an older life are still rejected after a restart of
            // this process.
            let recorded =
                self.journal.as_mut().is_some_and(|j| folder::write_origin(j.storage(), origin).is_ok());
            if !recorded {
                return self.fail_storage();
            }
            self.life = Some(origin.life.start);
        } else if session <= self.session {
            return;
        }
        self.session = session;
        self.replies.clear();
        self.discard_uncommitted();
        if self.failed {
            return self.reply(FromPartner::Failed);
        }
        let found = self.position().number;
        if found < acked {
            self.notices.push(Notice::CopyLostEntries { acked, found });
        }
        self.reply_position();
    }

    /// Sets aside a copy that has diverged from the origin.
    fn set_aside_copy(&mut self, copy: Mark, origin: u64) {
        if self.position() != copy {
            return;
        }
        self.discard_uncommitted();
        self.notices.push(Notice::Diverged { copy: copy.number, origin });
        let Some(mut journal) = self.journal.take() else { return };
        // Only one copy is kept, as the folder's space is limited.
        if folder::has_set_aside_copy(journal.storage()).unwrap_or(true) {
            self.journal = Some(journal);
            self.notices.push(Notice::SetAsideExists);
            return self.reply(FromPartner::SetAsideExists);
        }
        let mut storage = journal.into_storage();
        let opened = match folder::set_aside(&mut storage) {
            Ok(()) => Journal::open_chained(storage, self.limits).ok(),
            Err(_) => None,
        };
        let Some(journal) = opened else { return self.fail_storage() };
        self.journal = Some(journal);
        self.discard_uncommitted();
        self.reply_position();
    }

    /// Makes all received entries durable in one commit.
    fn commit(&mut self, now: Micros) {
        if self.uncommitted.is_empty() || self.failed || self.commit_retry_at.is_some_and(|at| now < at) {
            return;
        }
        let Some(journal) = &mut self.journal else { return };
        let mut result = journal.commit(&self.uncommitted);
        if matches!(result, Err(JournalError::Full)) {
            // A snapshot frees the space of the log before it.
            result = match journal.snapshot() {
                Ok(()) => journal.commit(&self.uncommitted),
                Err(JournalError::Storage(e)) if e.kind() == std::io::ErrorKind::StorageFull => {
                    Err(JournalError::Full)
                }
                Err(e) => Err(e),
            };
        }
        match result {
            Ok(next) => {
                (self.uncommitted, self.uncommitted_bytes, self.commit_retry_at) = (Vec::new(), 0, None);
                self.replies.retain(|d| !matches!(d, FromPartner::Durable { .. } | FromPartner::Full));
                self.reply(FromPartner::Durable { next });
            }
            Err(JournalError::Full) => {
                if self.commit_retry_at.is_none() {
                    self.notices.push(Notice::Full);
                    self.reply(FromPartner::Full);
                }
                self.commit_retry_at = Some(now.saturating_add(FULL_RETRY_DELAY));
            }
            Err(_) => self.fail_storage(),
        }
    }
}

impl<S: Storage> ReplicationTarget for JournalCopy<S> {
    fn handle_message(&mut self, _now: Micros, payload: &[u8]) {
        let Some(Message { origin, session, body }) = wire::read::<FromOrigin>(payload) else {
            self.invalid_messages += 1;
            return;
        };
        if origin.life.name != self.name || origin.sender != self.sender {
            self.invalid_messages += 1;
            return;
        }
        // Rejects a life that was paused or disconnected and has been superseded by another.
        if let Some(known) = self.life.filter(|known| origin.life.start < *known) {
            self.notices.push(Notice::NewerLife { known: known.0 });
            // Sent in that life's own session, whichever session is current.
            let old = Message { origin, session, body: FromPartner::NewerLife { start: known.0 } };
            self.old_life_reply = Some(old);
            return;
        }
        if let FromOrigin::Hello { acked, .. } = body {
            return self.hello(&origin, session, acked);
        }
        if self.life != Some(origin.life.start) || self.session != session {
            return;
        }
        if self.failed {
            return self.reply(FromPartner::Failed);
        }
        self.handle(body);
    }

    fn poll(&mut self, now: Micros) -> Option<Vec<u8>> {
        if let Some(old) = self.old_life_reply.take() {
            return wire::write(&old);
        }
        self.commit(now);
        let life = Life { name: self.name.clone(), start: self.life? };
        let origin = Origin { life, sender: self.sender };
        let body = self.replies.pop_front()?;
        wire::write(&Message { origin, session: self.session, body })
    }

    fn state(&self) -> Option<(&JournalState, u64)> {
        let journal = self.journal.as_ref().filter(|_| !self.failed)?;
        self.life.map(|_| (journal.state(), journal.durable()))
    }

    fn notice(&mut self) -> Option<Notice> {
        self.notices.0.pop_front()
    }

    fn held(&self) -> usize {
        self.uncommitted_bytes + self.partial_entry.len()
    }

    fn next_wakeup(&self) -> Option<Micros> {
        self.commit_retry_at.filter(|_| !self.uncommitted.is_empty() && !self.failed)
    }
}

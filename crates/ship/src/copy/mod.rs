//! The receiving side.

mod folder;
mod take;

pub use folder::CopyError;

use crate::wire::{self, Down, Message, Up};
use crate::{Micros, Notice, Notices, Origin, Receiver};
use heronroute_fleet::{Life, Name, Start};
use heronroute_journal::{Entry, Journal, JournalError, JournalState, Limits, Mark, Replacement, Storage};
use std::collections::VecDeque;

/// Commits that found no room are tried again after this, in microseconds.
const RETRY: Micros = 1_000_000;
/// Answers that wait at most; beyond them the origin hears nothing, and begins a new talk.
const ANSWERS: usize = 64;

/// A copy of one sender's journal, and the receiving side of it.
#[derive(Debug)]
pub struct Copying<S> {
    name: Name,
    sender: u32,
    limits: Limits,
    window: usize,
    /// None only after its storage was lost in putting a copy aside.
    journal: Option<Journal<S>>,
    /// The newest life that wrote, which is durable, and its talk.
    life: Option<Start>,
    talk: u32,
    /// What came and is not durable: entries, their octets, and where they lead.
    waiting: Vec<Entry>,
    octets: usize,
    coming: Mark,
    /// The beginning of an entry whose end has not come.
    piece: Vec<u8>,
    base: Option<Replacement>,
    /// Where the entries of the base that came lead; more than it has, as what is of a snapshot alone is left out.
    taken: Mark,
    /// It was told where to go on from, after something was missing.
    told: bool,
    full: Option<Micros>,
    failed: bool,
    out: VecDeque<Down>,
    /// What an older life is told; the last of them.
    refused: Option<Message<Down>>,
    notices: Notices,
    /// Messages that made no sense.
    bad: u64,
}

impl<S: Storage> Copying<S> {
    /// Opens the copy of a member's sender in a folder, or makes one. `limits.most` bounds the folder, but for one copy that is
    /// kept aside and, while a book comes, the copy before it; each is at most as large. `window`: octets of entries that may be on their way or wait for their
    /// commit.
    ///
    /// # Errors
    /// Where the folder is another's or broken, or the storage fails.
    pub fn open(
        mut storage: S,
        name: Name,
        sender: u32,
        limits: Limits,
        window: usize,
    ) -> Result<Self, CopyError> {
        folder::go_on(&mut storage)?;
        let origin = folder::whose(&mut storage)?;
        if let Some(o) = origin.as_ref().filter(|o| o.life.name != name || o.sender != sender) {
            return Err(CopyError::Another(o.life.name.to_string(), o.sender));
        }
        let journal = Journal::open_chained(storage, limits)?;
        let mut copy = Copying {
            name,
            sender,
            limits,
            window,
            journal: Some(journal),
            life: origin.map(|o| o.life.start),
            talk: 0,
            waiting: Vec::new(),
            octets: 0,
            coming: Mark::default(),
            piece: Vec::new(),
            base: None,
            taken: Mark::default(),
            told: false,
            full: None,
            failed: false,
            out: VecDeque::new(),
            refused: None,
            notices: Notices::default(),
            bad: 0,
        };
        copy.start_over();
        Ok(copy)
    }

    /// The journal that the copy is, for a take-over. What is not durable is let go. None where its storage has failed.
    pub fn into_journal(self) -> Option<Journal<S>> {
        self.journal.filter(|_| !self.failed)
    }

    /// Messages that made no sense, and were passed over.
    pub fn bad(&self) -> u64 {
        self.bad
    }

    /// Forgets all that is not durable.
    fn start_over(&mut self) {
        (self.waiting, self.octets, self.piece) = (Vec::new(), 0, Vec::new());
        if self.base.take().is_some()
            && let Some(journal) = &mut self.journal
            && journal.abandon_replacement().is_err()
        {
            self.fail();
        }
        (self.taken, self.told, self.full) = (Mark::default(), false, None);
        self.coming = self.at();
    }

    /// Where the copy stands.
    fn at(&self) -> Mark {
        self.journal.as_ref().and_then(Journal::chain).map(|c| c.at()).unwrap_or_default()
    }

    fn say(&mut self, down: Down) {
        if self.out.len() < ANSWERS {
            self.out.push_back(down);
        }
    }

    fn have(&mut self) {
        let Some(chain) = self.journal.as_ref().and_then(Journal::chain) else { return };
        let marks = chain.marks().iter().copied().map(wire::point).collect();
        let window = u32::try_from(self.window).unwrap_or(u32::MAX);
        let have = Down::Have { at: wire::point(chain.at()), marks, window };
        self.say(have);
    }

    /// The storage has failed: what is durable is known to the next opening alone.
    fn fail(&mut self) {
        if !self.failed {
            self.failed = true;
            self.notices.tell(Notice::Failed);
        }
        (self.waiting, self.octets, self.piece) = (Vec::new(), 0, Vec::new());
        self.say(Down::Failed);
    }

    fn hello(&mut self, origin: &Origin, talk: u32, acked: u64) {
        if self.life != Some(origin.life.start) {
            // Durable first: guards against an older life's messages after a restart here.
            let claimed = self.journal.as_mut().is_some_and(|j| folder::claim(j.storage(), origin).is_ok());
            if !claimed {
                return self.fail();
            }
            self.life = Some(origin.life.start);
        } else if talk <= self.talk {
            return;
        }
        self.talk = talk;
        self.out.clear();
        self.start_over();
        if self.failed {
            return self.say(Down::Failed);
        }
        let found = self.at().number;
        if found < acked {
            self.notices.tell(Notice::OldCopy { acked, found });
        }
        self.have();
    }

    /// The copy that stands there is not the origin's.
    fn aside(&mut self, copy: Mark, origin: u64) {
        if self.at() != copy {
            return;
        }
        self.start_over();
        self.notices.tell(Notice::Parted { copy: copy.number, origin });
        let Some(mut journal) = self.journal.take() else { return };
        // One is kept, and no more: a folder has an end.
        if folder::has_aside(journal.storage()).unwrap_or(true) {
            self.journal = Some(journal);
            self.notices.tell(Notice::Blocked);
            return self.say(Down::Blocked);
        }
        let mut storage = journal.into_storage();
        let opened = match folder::put_aside(&mut storage) {
            Ok(()) => Journal::open_chained(storage, self.limits).ok(),
            Err(_) => None,
        };
        let Some(journal) = opened else { return self.fail() };
        self.journal = Some(journal);
        self.start_over();
        self.have();
    }

    /// Makes durable what waits, all of it in one commit.
    fn commit(&mut self, now: Micros) {
        if self.waiting.is_empty() || self.failed || self.full.is_some_and(|at| now < at) {
            return;
        }
        let Some(journal) = &mut self.journal else { return };
        let mut done = journal.commit(&self.waiting);
        if matches!(done, Err(JournalError::Full)) {
            // A snapshot drops the log before it.
            done = match journal.snapshot() {
                Ok(()) => journal.commit(&self.waiting),
                Err(JournalError::Storage(e)) if e.kind() == std::io::ErrorKind::StorageFull => {
                    Err(JournalError::Full)
                }
                Err(e) => Err(e),
            };
        }
        match done {
            Ok(next) => {
                (self.waiting, self.octets, self.full) = (Vec::new(), 0, None);
                self.out.retain(|d| !matches!(d, Down::Durable { .. } | Down::Full));
                self.say(Down::Durable { next });
            }
            Err(JournalError::Full) => {
                if self.full.is_none() {
                    self.notices.tell(Notice::Full);
                    self.say(Down::Full);
                }
                self.full = Some(now.saturating_add(RETRY));
            }
            Err(_) => self.fail(),
        }
    }
}

impl<S: Storage> Receiver for Copying<S> {
    fn heard(&mut self, _now: Micros, payload: &[u8]) {
        let Some(Message { origin, talk, body }) = wire::read::<Up>(payload) else {
            self.bad += 1;
            return;
        };
        if origin.life.name != self.name || origin.sender != self.sender {
            self.bad += 1;
            return;
        }
        // Guards against a life that was paused or cut off, and has been followed by another.
        if let Some(known) = self.life.filter(|known| origin.life.start < *known) {
            self.notices.tell(Notice::OldLife { known: known.0 });
            // Said in that life's own talk, whatever talk stands.
            let old = Message { origin, talk, body: Down::Old { start: known.0 } };
            self.refused = Some(old);
            return;
        }
        if let Up::Hello { acked, .. } = body {
            return self.hello(&origin, talk, acked);
        }
        if self.life != Some(origin.life.start) || self.talk != talk {
            return;
        }
        if self.failed {
            return self.say(Down::Failed);
        }
        self.take(body);
    }

    fn poll(&mut self, now: Micros) -> Option<Vec<u8>> {
        if let Some(old) = self.refused.take() {
            return wire::write(&old);
        }
        self.commit(now);
        let life = Life { name: self.name.clone(), start: self.life? };
        let origin = Origin { life, sender: self.sender };
        let body = self.out.pop_front()?;
        wire::write(&Message { origin, talk: self.talk, body })
    }

    fn state(&self) -> Option<(&JournalState, u64)> {
        let journal = self.journal.as_ref().filter(|_| !self.failed)?;
        self.life.map(|_| (journal.state(), journal.durable()))
    }

    fn notice(&mut self) -> Option<Notice> {
        self.notices.0.pop_front()
    }

    fn held(&self) -> usize {
        self.octets + self.piece.len()
    }

    fn wake(&self) -> Option<Micros> {
        self.full.filter(|_| !self.waiting.is_empty() && !self.failed)
    }
}

//! A sender's journal, copied to a partner in the other region as it is written.
//!
//! Does: sends entries on in order, a window at a time, and says how far they are durable at the partner ([`Shipper`]); takes
//! them there, writes them into a copy that is a journal itself, and says how far ([`Receiver`]); after a cut goes on
//! from the last place both agree on.
//! Between them [`wire`]; the sending side is [`Sender`], the receiving one [`Copying`]. The thread that has the journal answers what
//! the sending side wants of the log ([`serve()`]).
//! Decides: when a copy must begin anew from the book, as the log no longer reaches back; when two logs have parted, and the
//! copy is refused; when the lag is such that what must be in both regions is taken on no more.
//! Never: reads a clock, touches a socket or starts a thread; knows what an entry means, but for the book that entries add up to.

#![forbid(unsafe_code)]

mod copy;
mod send;
mod serve;
pub mod wire;

pub use copy::{CopyError, Copying};
pub use send::{Bounds, Sender};
pub use serve::{Cursors, serve};

use heronroute_fleet::Life;
use heronroute_journal::{Run, SnapshotPart};
use serde::{Deserialize, Serialize};

/// Time in microseconds on the caller's clock.
pub type Micros = i64;

/// Whose journal it is: one sender of one life of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The member's life that writes now; the journal itself goes on over lives.
    pub life: Life,
    /// The sender's number in its process.
    pub sender: u32,
}

/// What the sending side wants of the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    /// Entries from a number on, some `most` octets.
    Log {
        /// The number.
        from: u64,
        /// Octets.
        most: usize,
    },
    /// Entries of the newest snapshot from a place in it on.
    Base {
        /// The one that it began with, by the number that it stands for.
        of: Option<u64>,
        /// The place.
        from: u64,
        /// Octets.
        most: usize,
    },
}

/// What the journal gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Given {
    /// Entries of the log.
    Log(Run),
    /// Entries of the snapshot.
    Base(SnapshotPart),
    /// The log does not reach back so far; the snapshot is another, or there is none.
    Gone {
        /// Where the log begins now.
        base: Option<heronroute_journal::Mark>,
    },
}

/// What an operator is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// More waits than may: it is let go, and read from the log again.
    Behind {
        /// From this number on.
        from: u64,
    },
    /// The copy remembers less than it has acknowledged: an old folder was put back, or a disk that lies.
    OldCopy {
        /// Entries that were acknowledged.
        acked: u64,
        /// Entries that are there.
        found: u64,
    },
    /// Copy and origin have other entries, or the copy has more: a disk was put back. The copy is kept aside.
    Parted {
        /// Entries of the copy.
        copy: u64,
        /// Entries of the origin.
        origin: u64,
    },
    /// The copy begins anew from the book.
    Anew {
        /// Entries that the book stands for.
        number: u64,
        /// Entries of the old copy that could not be proved to be the origin's: neither has a digest there any more.
        unproved: u64,
    },
    /// The copy's folder is full, or a base does not fit.
    Full,
    /// The partner can't keep an entry as it is: another version, too large, or octets that were changed on the way.
    Odd {
        /// Which.
        number: u64,
    },
    /// A newer life of the origin has written.
    OldLife {
        /// The start of that life.
        known: u64,
    },
    /// Logs have parted, and another copy is kept aside already: somebody has to look at that first.
    Blocked,
    /// The storage of the copy, or the journal of the origin, has failed.
    Failed,
}

/// The sending side: one for each sender of a process.
pub trait Shipper {
    /// Entries were made durable here, in order; `first` is the number of the first one.
    fn wrote(&mut self, now: Micros, first: u64, entries: &[heronroute_journal::Entry]);
    /// What it wants of the journal now, if anything; to be answered by [`Shipper::gave`].
    fn wants(&self) -> Option<Want>;
    /// What the journal has of that.
    fn gave(&mut self, now: Micros, given: Given);
    /// A message of the partner's came.
    fn heard(&mut self, now: Micros, payload: &[u8]);
    /// The way to the partner stands, or does no more. Messages of the old way may still come, and count for nothing.
    fn linked(&mut self, now: Micros, stands: bool);
    /// What is to be sent to the partner next, if anything; [`wire::MOST`] octets at most.
    fn poll(&mut self, now: Micros) -> Option<Vec<u8>>;
    /// Entries before this one are durable at the partner; and whether it is near enough for what must be in both regions.
    fn durable(&self, now: Micros) -> (u64, bool);
    /// What an operator has to know, each once.
    fn notice(&mut self) -> Option<Notice>;
    /// Octets that it holds of entries.
    fn held(&self) -> usize;
    /// When it wants to be asked again.
    fn wake(&self) -> Option<Micros>;
}

/// The receiving side: one for each origin that this member is the partner of.
pub trait Receiver {
    /// A message of the origin's came.
    fn heard(&mut self, now: Micros, payload: &[u8]);
    /// What is to be sent to the origin next, if anything. Commits what waits; so to be called once all that came was heard.
    /// Never says durable what a crash could lose.
    fn poll(&mut self, now: Micros) -> Option<Vec<u8>>;
    /// The book of the copy, and the number of its next entry: what a take-over starts from. None where there is no copy yet.
    fn state(&self) -> Option<(&heronroute_journal::JournalState, u64)>;
    /// What an operator has to know, each once.
    fn notice(&mut self) -> Option<Notice>;
    /// Octets that it holds of entries that are not durable yet.
    fn held(&self) -> usize;
    /// When it wants to be asked again.
    fn wake(&self) -> Option<Micros>;
}

/// Notices that wait to be read, a few; beyond them new ones are let go.
#[derive(Debug, Default)]
struct Notices(std::collections::VecDeque<Notice>);

impl Notices {
    fn tell(&mut self, notice: Notice) {
        if self.0.len() < 16 && self.0.back() != Some(&notice) {
            self.0.push_back(notice);
        }
    }
}

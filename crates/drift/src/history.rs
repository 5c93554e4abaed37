//! A bounded history of the members' verdicts. It survives restarts and a change of the leader.

use crate::report::Verdict;
use crate::{Micros, truncate_reason};
use heronroute_fleet::{Name, Start, Term};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of records; the oldest are dropped first.
pub const MAX_RECORDS: usize = 4096;

/// The maximum number of records of one member.
pub const MAX_RECORDS_PER_MEMBER: usize = 32;

/// A verdict from the moment it was reached. Records are ordered by term and time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Record {
    /// The term of the leader that reached the verdict.
    pub term: Term,
    /// The time from which the verdict holds, as wall time in microseconds.
    pub since: Micros,
    /// The member.
    pub member: Name,
    /// The start (incarnation) of the member.
    pub start: Start,
    /// The verdict.
    pub verdict: Verdict,
    /// The client that shows the verdict; none if it concerns all clients or there is no client.
    pub client: Option<String>,
    /// The version that the member applies for that client.
    pub version: u64,
    /// The member that reached the verdict.
    pub seen_by: Name,
    /// The reason.
    pub reason: Option<String>,
}

/// The snapshot could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadableSnapshot;

impl std::fmt::Display for UnreadableSnapshot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the snapshot can't be read")
    }
}

impl std::error::Error for UnreadableSnapshot {}

/// The recorded verdicts. The kept set does not depend on the order of arrival, so that merging two histories
/// gives the same result in either direction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    all: BTreeSet<Record>,
    by_member: BTreeMap<Name, BTreeSet<Record>>,
}

impl History {
    /// Adds a record and drops the oldest ones beyond the limits.
    pub fn add(&mut self, mut record: Record) {
        record.reason = record.reason.as_deref().map(truncate_reason);
        let own = self.by_member.entry(record.member.clone()).or_default();
        if !own.insert(record.clone()) {
            return;
        }
        let over = if own.len() > MAX_RECORDS_PER_MEMBER { own.pop_first() } else { None };
        self.all.insert(record);
        if let Some(over) = over {
            self.all.remove(&over);
        }
        if self.all.len() > MAX_RECORDS
            && let Some(oldest) = self.all.pop_first()
            && let Some(own) = self.by_member.get_mut(&oldest.member)
        {
            own.remove(&oldest);
            if own.is_empty() {
                self.by_member.remove(&oldest.member);
            }
        }
    }

    /// Adds all records of another history. The result does not depend on the order of merging.
    pub fn merge(&mut self, other: &History) {
        other.all.iter().for_each(|record| self.add(record.clone()));
    }

    /// Returns all records, oldest first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = &Record> {
        self.all.iter()
    }

    /// Returns the records of one member, oldest first.
    pub fn of(&self, member: &Name) -> impl Iterator<Item = &Record> {
        self.by_member.get(member).into_iter().flatten()
    }

    /// Returns the newest records, as many as fit into `max_bytes`, encoded with postcard.
    pub fn snapshot(&self, max_bytes: usize) -> Vec<u8> {
        // The length prefix takes up to 3 bytes for MAX_RECORDS records.
        let mut room = max_bytes.saturating_sub(3);
        let mut kept = Vec::new();
        for record in self.all.iter().rev() {
            let size = postcard::to_stdvec(record).map_or(usize::MAX, |bytes| bytes.len());
            if size > room {
                break;
            }
            room -= size;
            kept.push(record);
        }
        // Encoding to memory cannot fail for these types; an empty snapshot is rejected as unreadable on
        // restore.
        postcard::to_stdvec(&kept).unwrap_or_default()
    }

    /// Decodes a snapshot; records beyond the limits are dropped as in [`History::add`].
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, UnreadableSnapshot> {
        let all: Vec<Record> = postcard::from_bytes(bytes).map_err(|_| UnreadableSnapshot)?;
        let mut history = History::default();
        all.into_iter().for_each(|record| history.add(record));
        Ok(history)
    }
}

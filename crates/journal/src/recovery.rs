//! Opening a journal: the newest snapshot, and the log behind it up to the end of what was being written.

use crate::chain::Chain;
use crate::frame::{self, Frame, FrameError};
use crate::log::{Limits, Usage, file_number};
use crate::repair::Damage;
use crate::snapshot::read_snapshot;
use crate::state::JournalState;
use crate::{Journal, JournalError, Storage};

/// What was read of a journal so far.
struct Recovery {
    state: JournalState,
    chain: Option<Chain>,
    /// The number of the next entry.
    next: u64,
    /// The size of the log that was read, in bytes.
    log_size: u64,
    /// Whether the end of the log was cut off. Nothing behind a cut was durable.
    is_cut: bool,
}

/// The newest snapshot of a journal, if there is one.
struct NewestSnapshot {
    /// The entry number that it covers up to.
    at: Option<u64>,
    /// Its size, in bytes.
    size: u64,
}

/// Returns the numbers of the files with a prefix, in order.
fn numbers(names: &[String], prefix: &str) -> Vec<u64> {
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| file_number(name, prefix)).collect();
    numbers.sort_unstable();
    numbers
}

impl Recovery {
    /// Reads the newest of the snapshots with these numbers.
    fn from_snapshot<S: Storage>(
        storage: &S,
        snapshots: &[u64],
        is_chained: bool,
    ) -> Result<(Self, NewestSnapshot), JournalError> {
        let chain = is_chained.then(Chain::default);
        let mut recovery =
            Recovery { state: JournalState::default(), chain, next: 0, log_size: 0, is_cut: false };
        let Some(at) = snapshots.last().copied() else {
            return Ok((recovery, NewestSnapshot { at: None, size: 0 }));
        };
        let name = format!("snap-{at:016x}");
        let bytes = storage.read(&name)?;
        let (state, chain) = read_snapshot(&name, &bytes, at)?;
        // A snapshot without a chain was written while the journal was not replicated: the chain begins
        // with it.
        recovery.chain = is_chained.then(|| chain.unwrap_or_else(|| Chain::begin(at, &bytes)));
        (recovery.state, recovery.next) = (state, at);
        Ok((recovery, NewestSnapshot { at: Some(at), size: bytes.len() as u64 }))
    }

    /// Reads the segments of the log, and removes those that hold nothing that counts.
    fn read_log<S: Storage>(&mut self, storage: &mut S, segments: &[u64]) -> Result<(), JournalError> {
        for (i, first) in segments.iter().enumerate() {
            let name = format!("log-{first:016x}");
            let bytes = storage.read(&name)?;
            // Segments wholly covered by the snapshot are left over from an interrupted removal.
            let is_covered = segments.get(i + 1).is_some_and(|n| *n <= self.next && *first < self.next);
            if is_covered || self.is_cut {
                storage.remove(&name)?;
                continue;
            }
            self.read_segment(storage, &name, &bytes, &segments[i + 1..])?;
        }
        Ok(())
    }

    /// Reads the frames of a segment, up to its end or to a torn frame, which is cut off.
    fn read_segment<S: Storage>(
        &mut self,
        storage: &mut S,
        name: &str,
        bytes: &[u8],
        later: &[u64],
    ) -> Result<(), JournalError> {
        let mut at = 0;
        loop {
            let error = match frame::read(&bytes[at..]) {
                Ok(frame) if frame.first <= self.next || frame.entries.is_empty() => {
                    self.apply(&frame, &bytes[at + frame::HEADER_SIZE..at + frame.length]);
                    at += frame.length;
                    continue;
                }
                // A gap: an earlier frame was lost.
                Ok(_) => FrameError::Torn,
                Err(error) => error,
            };
            match error {
                FrameError::End => break,
                FrameError::Version(version) => {
                    return Err(JournalError::Version { file: name.to_string(), version });
                }
                FrameError::Torn => {
                    self.cut(storage, name, at, &bytes[at..], later)?;
                    break;
                }
            }
        }
        self.log_size += at as u64;
        Ok(())
    }

    /// Applies the entries of a frame that are not in the state yet. `encoded` is what follows the frame's header.
    fn apply(&mut self, frame: &Frame, encoded: &[u8]) {
        let entries = frame.entries.iter().enumerate().zip(frame::encoded_entries(encoded));
        for ((n, entry), raw) in entries {
            if frame.first + n as u64 != self.next {
                continue;
            }
            self.state.apply(entry);
            if let Some(chain) = &mut self.chain {
                chain.push(raw);
            }
            self.next += 1;
        }
    }

    /// Cuts a segment off at a torn frame, unless anything behind it says that it was durable.
    fn cut<S: Storage>(
        &mut self,
        storage: &mut S,
        name: &str,
        at: usize,
        rest: &[u8],
        later: &[u64],
    ) -> Result<(), JournalError> {
        let mut durable = frame::highest_durable_number(rest);
        for number in later {
            let bytes = storage.read(&format!("log-{number:016x}"))?;
            durable = durable.max(frame::highest_durable_number(&bytes));
        }
        if durable > self.next {
            return Err(JournalError::Broken { file: name.to_string(), offset: at as u64, durable });
        }
        storage.truncate(name, at as u64)?;
        storage.sync(name)?;
        self.is_cut = true;
        Ok(())
    }
}

impl<S: Storage> Journal<S> {
    /// Opens a journal, whose entries are chained by digests or not.
    pub(crate) fn recover(mut storage: S, limits: Limits, is_chained: bool) -> Result<Self, JournalError> {
        let names = storage.list()?;
        // An unfinished snapshot is discarded.
        if names.iter().any(|n| n == "new") {
            storage.remove("new")?;
        }
        let snapshots = numbers(&names, "snap-");
        let (mut recovery, newest) = Recovery::from_snapshot(&storage, &snapshots, is_chained)?;
        let (snapshot_chain, snap_estimate) = (recovery.chain.clone(), recovery.state.estimated_size());
        recovery.read_log(&mut storage, &numbers(&names, "log-"))?;
        for old in snapshots.iter().rev().skip(1) {
            storage.remove(&format!("snap-{old:016x}"))?;
        }
        let mut journal = Journal {
            storage,
            limits,
            state: recovery.state,
            next: recovery.next,
            snap: newest.at,
            chain: recovery.chain,
            snapshot_chain,
            segment: String::new(),
            segment_size: 0,
            damage: Damage::None,
            log_size: recovery.log_size,
            snap_size: newest.size,
            snap_estimate,
            usage: Usage { octets: recovery.log_size + newest.size, ..Usage::default() },
            failed: false,
            out: Vec::new(),
        };
        journal.rotate()?;
        // Acceptance may be refused until there is space, and then nothing else would free it.
        if journal.is_space_reclaimable() {
            _ = journal.snapshot();
        }
        Ok(journal)
    }
}

//! Reads a journal while it is being written: its log from any number on, and its newest snapshot. Both are
//! read in order and in pieces, so that neither is held in memory.

use crate::chain::Chain;
use crate::frame::{self, FrameError};
use crate::log::file_number;
use crate::{Journal, JournalError, Storage};
use std::io;

/// The number of bytes read at once, unless a frame is larger.
const CHUNK: usize = 1 << 20;

/// A run of consecutive encoded entries, each with its length prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Run {
    /// The number of the first entry; in a snapshot, its position.
    pub first: u64,
    /// The number of entries.
    pub count: u64,
    /// The encoded entries.
    pub octets: Vec<u8>,
}

/// A part of the newest snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotPart {
    /// The digest chain at the number that the snapshot covers up to.
    pub chain: Chain,
    /// The entries. Those that describe only the snapshot itself are among them and change no state.
    pub run: Run,
    /// Whether this is the last part.
    pub end: bool,
}

/// A position in a journal that is being read; a new cursor can start anywhere. Holds a chunk of a file, or
/// one frame where that is larger.
#[derive(Debug, Default)]
pub struct Cursor {
    file: String,
    /// The offset of the buffer in the file; `at` is the position in the buffer.
    offset: u64,
    buffer: Vec<u8>,
    at: usize,
    /// The end of the current frame in the buffer, and the number of its next entry.
    frame: usize,
    next: u64,
}

impl Cursor {
    fn seek(&mut self, file: String, next: u64) {
        *self = Cursor { file, next, ..Cursor::default() };
    }

    /// Fills the buffer with at least this many bytes after the position; returns false where the file ends
    /// before.
    fn fill<S: Storage>(&mut self, storage: &S, bytes: usize) -> io::Result<bool> {
        if self.buffer.len() - self.at >= bytes {
            return Ok(true);
        }
        self.offset += self.at as u64;
        self.buffer = storage.read_at(&self.file, self.offset, bytes.max(CHUNK))?;
        (self.frame, self.at) = (self.frame.saturating_sub(self.at), 0);
        Ok(self.buffer.len() >= bytes)
    }

    /// Enters the next frame that has entries from `from` on; returns false where the file ends.
    fn enter<S: Storage>(&mut self, storage: &S, from: u64) -> Result<bool, JournalError> {
        while self.fill(storage, frame::HEADER_SIZE)? {
            let broken = |at: u64, file: &str| JournalError::Broken {
                file: file.to_string(),
                offset: at,
                durable: from,
            };
            let place = self.offset + self.at as u64;
            let header = frame::read_header_unchecked(&self.buffer[self.at..])
                .map_err(|_| broken(place, &self.file))?;
            if !self.fill(storage, header.length)? {
                return Err(broken(place, &self.file));
            }
            if header.first + u64::from(header.count) <= from && header.count > 0 {
                self.at += header.length;
                continue;
            }
            match frame::read_header(&self.buffer[self.at..]) {
                Ok(header) => {
                    (self.frame, self.next) = (self.at + header.length, header.first);
                    self.at += frame::HEADER_SIZE;
                    return Ok(true);
                }
                Err(FrameError::Version(version)) => {
                    return Err(JournalError::Version { file: self.file.clone(), version });
                }
                Err(_) => return Err(broken(place, &self.file)),
            }
        }
        Ok(false)
    }

    /// Copies entries of the current frame, without those before `from`, until the run has `most` bytes.
    fn take(&mut self, from: u64, most: usize, run: &mut Run) {
        while self.at < self.frame && (run.octets.len() < most || run.count == 0) {
            let mut rest = &self.buffer[self.at..self.frame];
            let all = rest.len();
            let Ok(length) = prost::decode_length_delimiter(&mut rest) else {
                self.at = self.frame;
                return;
            };
            let end = (self.at + (all - rest.len()).saturating_add(length)).min(self.frame);
            if self.next >= from {
                run.octets.extend_from_slice(&self.buffer[self.at..end]);
                run.count += 1;
            }
            self.at = end;
            self.next += 1;
        }
    }
}

impl<S: Storage> Journal<S> {
    /// Returns entries from a number on: about `most` bytes and at least one entry, or an empty run where
    /// everything was read. Returns `None` where the log doesn't reach back to `from` or ends before it.
    ///
    /// # Errors
    /// Where the log is damaged or can't be read.
    pub fn read(&self, cursor: &mut Cursor, from: u64, most: usize) -> Result<Option<Run>, JournalError> {
        let mut run = Run { first: from, ..Run::default() };
        if from > self.next {
            return Ok(None);
        }
        if cursor.next != from || !cursor.file.starts_with("log-") {
            let names = self.storage.list()?;
            let Some(file) = names.iter().filter_map(|n| file_number(n, "log-")).filter(|n| *n <= from).max()
            else {
                return Ok(None);
            };
            cursor.seek(format!("log-{file:016x}"), from);
        }
        while run.octets.len() < most && from + run.count < self.next {
            if cursor.at >= cursor.frame {
                let found = match cursor.enter(&self.storage, from + run.count) {
                    // The segment was removed after a snapshot.
                    Err(JournalError::Storage(e)) if e.kind() == io::ErrorKind::NotFound => {
                        cursor.seek(String::new(), 0);
                        return Ok(Some(run).filter(|r| r.count > 0));
                    }
                    found => found?,
                };
                if !found {
                    let file = format!("log-{:016x}", from + run.count);
                    if file == cursor.file {
                        return Ok(None);
                    }
                    cursor.seek(file, from + run.count);
                    continue;
                }
                if cursor.next > from + run.count {
                    return Ok(None);
                }
            }
            cursor.take(from + run.count, most, &mut run);
        }
        Ok(Some(run))
    }

    /// Returns entries of the newest snapshot from a position on; `of` is the snapshot that the reader began
    /// with. Returns `None` where that is gone or there is no snapshot.
    ///
    /// # Errors
    /// Where the snapshot is damaged or can't be read.
    pub fn read_snapshot_part(
        &self,
        cursor: &mut Cursor,
        of: Option<u64>,
        from: u64,
        most: usize,
    ) -> Result<Option<SnapshotPart>, JournalError> {
        let (Some(snap), Some(chain)) = (self.snap, &self.snapshot_chain) else { return Ok(None) };
        if of.is_some_and(|of| of != snap) {
            return Ok(None);
        }
        let file = format!("snap-{snap:016x}");
        if cursor.file != file || cursor.next != from {
            cursor.seek(file, from);
        }
        let mut run = Run { first: from, ..Run::default() };
        loop {
            if cursor.at >= cursor.frame {
                if !cursor.enter(&self.storage, from + run.count)? {
                    return Ok(None);
                }
                // The last frame has no entries, and its number is the one that the snapshot covers up to.
                if cursor.at == cursor.frame {
                    cursor.seek(String::new(), 0);
                    return Ok(Some(SnapshotPart { chain: chain.clone(), run, end: true }));
                }
            }
            cursor.take(from + run.count, most, &mut run);
            if run.octets.len() >= most {
                return Ok(Some(SnapshotPart { chain: chain.clone(), run, end: false }));
            }
        }
    }
}

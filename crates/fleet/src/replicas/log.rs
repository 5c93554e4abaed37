//! A replica's file. Promises and accepted items are durable in it before any other member learns of them.
//!
//! The file, `agreed`, is append-only. When it has grown far beyond the size of its state, it is rewritten
//! under another name and renamed. After the first failure nothing more is written: the content of the disk
//! is then unknown, and a replica that continued might break a promise.

use super::record::{self, FORMAT, HEADER_BYTES, Record};
use super::state::State;
use heronroute_journal::Storage;
use std::io;

const FILE: &str = "agreed";
const TEMP_FILE: &str = "agreed.new";
/// A file smaller than this isn't rewritten.
const MIN_REWRITE_BYTES: u64 = 256 * 1024;

/// The reason why a replica's file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The storage failed.
    #[error("the keepers' log: the storage failed: {0}")]
    Storage(#[from] io::Error),
    /// A durable part of the file can't be read.
    #[error(
        "the keepers' log is broken at octet {0}, before places that were durable; a copy of the folder is needed before anything is tried"
    )]
    Broken(usize),
    /// The file was written by another version of the program.
    #[error(
        "the keepers' log has format {0}, and this program has format {FORMAT}: start the program that wrote it, or, while the \
         other keepers run this one, delete `agreed` from the folder, and this keeper learns from them"
    )]
    Format(u8),
    /// The file belongs to another replica, or the settings list other replicas than when it was written.
    #[error("the keepers' log was written by another keeper, or the settings named other keepers")]
    Other,
}

/// The file and its state.
#[derive(Debug)]
pub struct Log<S> {
    storage: S,
    state: State,
    group: u32,
    pid: u8,
    pending: Vec<u8>,
    size: u64,
    /// The size of the file when it was last rewritten.
    rewritten_size: u64,
    failed: Option<String>,
    /// Whether the file is a copy of the one that was written.
    copied: bool,
}

impl<S: Storage> Log<S> {
    /// Opens the file, or begins with an empty state if there is none.
    ///
    /// # Errors
    /// Fails when the storage fails, a durable part of the file is broken, or the file belongs to another
    /// replica.
    pub fn open(mut storage: S, group: u32, pid: u8, replicas: usize) -> Result<Self, LogError> {
        let names = storage.list()?;
        // A rewritten file that wasn't renamed holds nothing that the old file doesn't.
        if names.iter().any(|n| n == TEMP_FILE) {
            storage.remove(TEMP_FILE)?;
        }
        let mut state = State::new(replicas);
        let (mut size, mut identity) = (0, None);
        if names.iter().any(|n| n == FILE) {
            let bytes = storage.read(FILE)?;
            if let Some(format) = record::other_format(&bytes) {
                return Err(LogError::Format(format));
            }
            let mut rest = &bytes[..];
            while let Some((number, payload, after)) = record::read(rest) {
                let at = bytes.len() - rest.len();
                let records = record::records(payload).ok_or(LogError::Broken(at))?;
                if at > 0 && number != state.writes + 1 {
                    return Err(LogError::Broken(at));
                }
                for record in records {
                    if let Record::Place(written) = record {
                        identity = Some(written);
                    }
                    if let Record::Owner { group: g, pid: p } = record
                        && (g, p) != (group, pid)
                    {
                        return Err(LogError::Other);
                    }
                    if !state.apply(record) {
                        return Err(LogError::Broken(at));
                    }
                }
                state.writes = number;
                rest = after;
            }
            let end = bytes.len() - rest.len();
            if !rest.is_empty() {
                if record::contains_frame(rest) {
                    return Err(LogError::Broken(end));
                }
                storage.truncate(FILE, end as u64)?;
                storage.sync(FILE)?;
            }
            if end == 0 {
                // The very first commit was torn, so no other member knows of it.
                storage.remove(FILE)?;
            }
            size = end as u64;
        }
        let copied =
            identity.is_some_and(|identity| storage.identity(FILE).is_some_and(|now| now != identity));
        let (pending, failed) = (Vec::new(), None);
        Ok(Log { storage, state, group, pid, pending, size, rewritten_size: size, failed, copied })
    }

    /// Returns the state, including changes that aren't committed yet.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Records that all slots before this one are applied. Nothing durable changes.
    pub fn fold_to(&mut self, slot: u64) {
        self.state.fold_to(slot);
    }

    /// Returns whether the file was restored from a copy or moved here from elsewhere: it may be older than
    /// what was sent from it.
    pub fn copied(&self) -> bool {
        self.copied
    }

    /// Accepts the file as up to date. The next commit rewrites it as this storage's own.
    pub fn settle(&mut self) {
        self.rewritten_size = if std::mem::take(&mut self.copied) { 0 } else { self.rewritten_size };
    }

    /// Discards the state except the number of commits. The next commit rewrites the file.
    pub fn discard_log(&mut self) {
        if self.failed.is_some() {
            return;
        }
        let empty = State::new(self.state.seen.len());
        let writes = std::mem::replace(&mut self.state, empty).writes;
        self.state.writes = writes;
        (self.rewritten_size, self.copied) = (0, false);
        self.pending.clear();
        self.write(Record::Lost);
    }

    /// Returns the failure, if there was one.
    pub fn failed(&self) -> Option<&str> {
        self.failed.as_deref()
    }

    /// Applies a change; it is durable after the next commit.
    pub fn write(&mut self, record: Record) {
        if self.failed.is_some() {
            return;
        }
        match postcard::to_extend(&record, std::mem::take(&mut self.pending)) {
            Ok(pending) => self.pending = pending,
            Err(e) => return self.fail(format!("a record can't be written: {e}")),
        }
        if !self.state.apply(record) {
            self.fail("a change does not fit the log".into());
        }
    }

    /// Fails the log for good.
    pub fn fail(&mut self, why: String) {
        self.pending.clear();
        self.failed.get_or_insert(why);
    }

    /// Returns whether there are uncommitted changes.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Makes all changes durable. Returns false if this or an earlier commit failed: then no other member may
    /// learn of them.
    pub fn commit(&mut self) -> bool {
        if self.failed.is_none()
            && self.has_pending()
            && let Err(e) = self.try_commit()
        {
            self.fail(e.to_string());
        }
        self.failed.is_none()
    }

    fn try_commit(&mut self) -> io::Result<()> {
        let grown = self.size + self.pending.len() as u64;
        if self.rewritten_size == 0 || grown > MIN_REWRITE_BYTES && grown > 3 * self.rewritten_size {
            return self.rewrite();
        }
        let mut frame = Vec::with_capacity(HEADER_BYTES + self.pending.len());
        record::write(self.state.writes + 1, &self.pending, &mut frame);
        self.storage.append(FILE, &frame)?;
        self.storage.sync(FILE)?;
        self.size += frame.len() as u64;
        self.committed();
        Ok(())
    }

    /// Writes the whole state to a new file, which replaces the old file and the uncommitted changes.
    fn rewrite(&mut self) -> io::Result<()> {
        self.storage.create(TEMP_FILE)?;
        let mut payload = Vec::new();
        let identity = self.storage.identity(TEMP_FILE).map(Record::Place);
        for record in self.state.full_records(self.group, self.pid).into_iter().chain(identity) {
            payload = postcard::to_extend(&record, payload).map_err(io::Error::other)?;
        }
        if payload.len() > record::MAX_PAYLOAD_BYTES {
            return Err(io::Error::other("the keepers' log is too large"));
        }
        let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
        record::write(self.state.writes + 1, &payload, &mut frame);
        self.storage.append(TEMP_FILE, &frame)?;
        self.storage.sync(TEMP_FILE)?;
        self.storage.rename(TEMP_FILE, FILE)?;
        self.storage.sync_names()?;
        self.size = frame.len() as u64;
        self.rewritten_size = self.size;
        self.committed();
        Ok(())
    }

    fn committed(&mut self) {
        self.pending.clear();
        self.state.writes += 1;
    }

    /// Returns the size of the file in bytes.
    pub fn size(&self) -> u64 {
        self.size
    }
}

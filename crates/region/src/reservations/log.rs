//! A log file of frames with the entries of a home, on the journal's storage.
//!
//! There is one file at a time, `claims-` and its number in hex. It starts with one frame with the complete
//! state; each [`LogStore::sync`] appends one frame with all pending changes. A file gets its name once it
//! is durable, and then the previous file is removed. A frame states the batch that was durable when it was
//! written, which distinguishes a torn end from corruption in the middle.

use super::store::{Op, Slot, Store, apply};
use super::{Entry, ReservationKey};
use heronroute_journal::Storage;
use std::collections::BTreeMap;
use std::io;

const MAGIC: u32 = 0x4D43_4E48;
/// The header: magic, payload length, crc32 of everything but magic and itself, last batch, last durable
/// batch.
const HEADER_BYTES: usize = 28;
/// The maximum size of a frame's payload.
const MAX_PAYLOAD_BYTES: usize = 1 << 28;
const FILE_PREFIX: &str = "claims-";

/// Why a log could not be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The storage failed.
    #[error("names' log: {0}")]
    Io(#[from] io::Error),
    /// Durable data can't be read.
    #[error("names' log {0} is broken at octet {1}")]
    Broken(String, usize),
    /// The data does not fit in one frame.
    #[error("names' log: a frame of {0} bytes; at most {MAX_PAYLOAD_BYTES} are allowed")]
    Large(usize),
    /// An earlier write or sync failed: what is durable can't be known before a restart.
    #[error("names' log: an earlier write failed")]
    Failed,
}

/// The log store. The state is also held in memory, and rewritten once the file exceeds twice the size of
/// the state plus `spare`: the cost of the rewrite is spread over at least as many bytes of changes.
pub struct LogStore<S> {
    storage: S,
    keys: BTreeMap<ReservationKey, Entry>,
    slots: BTreeMap<u16, Slot>,
    file: u64,
    bytes: usize,
    state_bytes: usize,
    spare: usize,
    pending: Vec<Op>,
    written: u64,
    durable: u64,
    failed: bool,
}

impl<S: Storage> LogStore<S> {
    /// Opens the log, or creates it; a torn end is cut off.
    ///
    /// # Errors
    /// If the storage fails, or durable data can't be read.
    pub fn open(storage: S, spare: usize) -> Result<Self, LogError> {
        let mut log = LogStore {
            storage,
            keys: BTreeMap::new(),
            slots: BTreeMap::new(),
            file: 0,
            bytes: 0,
            state_bytes: 0,
            spare,
            pending: Vec::new(),
            written: 0,
            durable: 0,
            failed: false,
        };
        let number = |file_name: &String| u64::from_str_radix(file_name.strip_prefix(FILE_PREFIX)?, 16).ok();
        match log.storage.list()?.iter().filter_map(number).max() {
            None => log.rewrite()?,
            Some(file) => log.read(file)?,
        }
        log.durable = log.written;
        for old in log
            .storage
            .list()?
            .into_iter()
            .filter(|old| old.starts_with(FILE_PREFIX) && *old != file_name(log.file))
        {
            log.storage.remove(&old)?;
        }
        Ok(log)
    }

    /// Makes all written changes durable, as one frame.
    ///
    /// # Errors
    /// If the storage fails; from then on nothing more becomes durable.
    pub fn sync(&mut self) -> Result<(), LogError> {
        if self.failed {
            return Err(LogError::Failed);
        }
        if self.pending.is_empty() {
            self.durable = self.written;
            return Ok(());
        }
        let done = self.append();
        self.failed = done.is_err();
        done
    }

    /// Returns the storage.
    pub fn into_storage(self) -> S {
        self.storage
    }

    fn append(&mut self) -> Result<(), LogError> {
        let ops = std::mem::take(&mut self.pending);
        let frame = encode_frame(self.written, self.durable, &ops)?;
        self.storage.append(&file_name(self.file), &frame)?;
        self.storage.sync(&file_name(self.file))?;
        self.bytes += frame.len();
        self.durable = self.written;
        ops.into_iter().for_each(|op| apply(&mut self.keys, &mut self.slots, op));
        if self.bytes > self.state_bytes.saturating_mul(2).saturating_add(self.spare) {
            self.rewrite()?;
        }
        Ok(())
    }

    /// Replaces the file by a new one that has only the current state.
    fn rewrite(&mut self) -> Result<(), LogError> {
        let entries = self.keys.iter().map(|(key, entry)| Op::Put(*key, entry.clone()));
        let slots = self.slots.iter().map(|(at, slot)| Op::Slot(*at, slot.clone()));
        let frame = encode_frame(self.written, self.written, &entries.chain(slots).collect::<Vec<_>>())?;
        let (old, new) = (file_name(self.file), file_name(self.file + 1));
        let draft = format!("{new}.new");
        self.storage.create(&draft)?;
        self.storage.append(&draft, &frame)?;
        self.storage.sync(&draft)?;
        self.storage.rename(&draft, &new)?;
        self.storage.sync_names()?;
        self.file += 1;
        (self.bytes, self.state_bytes) = (frame.len(), frame.len());
        if self.storage.list()?.contains(&old) {
            self.storage.remove(&old)?;
        }
        Ok(())
    }

    fn read(&mut self, file: u64) -> Result<(), LogError> {
        self.file = file;
        let bytes = self.storage.read(&file_name(file))?;
        let mut at = 0;
        while let Some(rest) = bytes.get(at..).filter(|rest| !rest.is_empty()) {
            let Some(frame) = decode_frame(rest) else { break };
            frame.ops.into_iter().for_each(|op| apply(&mut self.keys, &mut self.slots, op));
            self.written = frame.upto;
            at += frame.length;
            if self.state_bytes == 0 {
                self.state_bytes = at;
            }
        }
        // The first frame was durable before the file got its name; of the others, those that a later frame
        // states to be durable.
        let magic = MAGIC.to_le_bytes();
        let rest_bytes = bytes.get(at..).unwrap_or_default();
        let starts = rest_bytes
            .windows(magic.len())
            .enumerate()
            .filter(|(_, window)| *window == magic)
            .map(|(start, _)| start);
        let mut later = starts.filter_map(|start| decode_frame(rest_bytes.get(start..)?));
        if at == 0 || later.any(|frame| frame.durable > self.written) {
            return Err(LogError::Broken(file_name(file), at));
        }
        if at < bytes.len() {
            self.storage.truncate(&file_name(file), at as u64)?;
            self.storage.sync(&file_name(file))?;
        }
        self.bytes = at;
        Ok(())
    }
}

impl<S: Storage> Store for LogStore<S> {
    fn write(&mut self, ops: Vec<Op>) -> u64 {
        self.pending.extend(ops);
        self.written += 1;
        self.written
    }

    fn durable(&self) -> u64 {
        self.durable
    }

    fn load(&self) -> (BTreeMap<ReservationKey, Entry>, BTreeMap<u16, Slot>) {
        (self.keys.clone(), self.slots.clone())
    }
}

fn file_name(file: u64) -> String {
    format!("{FILE_PREFIX}{file:016x}")
}

struct Frame {
    upto: u64,
    durable: u64,
    ops: Vec<Op>,
    length: usize,
}

fn encode_frame(upto: u64, durable: u64, ops: &[Op]) -> Result<Vec<u8>, LogError> {
    let payload = postcard::to_stdvec(ops).map_err(io::Error::other)?;
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(LogError::Large(payload.len()));
    }
    let length = (payload.len() as u32).to_le_bytes();
    let crc = checksum(&[&length, &upto.to_le_bytes(), &durable.to_le_bytes(), &payload]).to_le_bytes();
    Ok([&MAGIC.to_le_bytes()[..], &length, &crc, &upto.to_le_bytes(), &durable.to_le_bytes(), &payload]
        .concat())
}

fn decode_frame(bytes: &[u8]) -> Option<Frame> {
    let (magic, rest) = bytes.split_first_chunk::<4>()?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (crc, rest) = rest.split_first_chunk::<4>()?;
    let (upto, rest) = rest.split_first_chunk::<8>()?;
    let (durable, rest) = rest.split_first_chunk::<8>()?;
    let payload = rest.get(..usize::try_from(u32::from_le_bytes(*length)).ok()?)?;
    let is_valid = u32::from_le_bytes(*magic) == MAGIC
        && payload.len() <= MAX_PAYLOAD_BYTES
        && checksum(&[length, upto, durable, payload]) == u32::from_le_bytes(*crc);
    let ops = postcard::from_bytes(payload).ok().filter(|_| is_valid)?;
    let (upto, durable) = (u64::from_le_bytes(*upto), u64::from_le_bytes(*durable));
    Some(Frame { upto, durable, ops, length: HEADER_BYTES + payload.len() })
}

fn checksum(parts: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    parts.iter().for_each(|part| hasher.update(part));
    hasher.finalize()
}

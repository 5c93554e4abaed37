//! Handles the messages of the origin at the receiving side.

use super::JournalCopy;
use crate::Notice;
use crate::wire::{self, Entries, FromOrigin, FromPartner, MAX_CHUNK_BYTES, MAX_ENTRY_BYTES};
use heronroute_journal::entry::What;
use heronroute_journal::{Chain, Entry, JournalError, Mark, Storage, frame};
use prost::Message as _;

/// The reason why entries were rejected.
enum Rejection {
    /// Entries before them are missing, or they were received already.
    OutOfSequence,
    /// They can't be stored unchanged.
    Invalid,
}

/// Appends a part of an entry to its earlier parts. Returns the encoded entries once they are complete.
fn append_part(partial_entry: &mut Vec<u8>, entries: &Entries) -> Result<Option<Vec<u8>>, Rejection> {
    if partial_entry.len() + entries.octets.len() > MAX_ENTRY_BYTES + MAX_CHUNK_BYTES {
        return Err(Rejection::Invalid);
    }
    if entries.more || !partial_entry.is_empty() {
        partial_entry.extend_from_slice(&entries.octets);
        return Ok((!entries.more).then(|| std::mem::take(partial_entry)));
    }
    Ok(Some(entries.octets.clone()))
}

/// Decodes entries and checks that they lead to the expected position.
fn decode_entries(octets: &[u8], entries: &Entries, mark: &mut Mark) -> Result<Vec<Entry>, Rejection> {
    let mut next = *mark;
    let mut list = Vec::new();
    for raw in frame::encoded_entries(octets) {
        let entry = Entry::decode(raw).map_err(|_| Rejection::Invalid)?;
        // Rejects an entry with a field that this version does not know and would leave out of the copy.
        if entry.encoded_len() != raw.len() {
            return Err(Rejection::Invalid);
        }
        next.push(raw);
        list.push(entry);
    }
    if next != (Mark { number: mark.number + entries.count, digest: entries.digest }) {
        return Err(Rejection::Invalid);
    }
    *mark = next;
    Ok(list)
}

impl<S: Storage> JournalCopy<S> {
    pub(super) fn handle(&mut self, up: FromOrigin) {
        match up {
            FromOrigin::Run(entries) => {
                let (first, result) = (entries.first, self.receive_log_entries(&entries));
                self.finish(first, result);
            }
            FromOrigin::SnapshotEntries(entries) => {
                let result = self.receive_snapshot_entries(&entries);
                self.finish(entries.first, result);
            }
            FromOrigin::Snapshot { at, marks } => {
                self.discard_uncommitted();
                let chain = Chain::new(wire::to_mark(at), marks.into_iter().map(wire::to_mark));
                if at.0 < self.position().number {
                    return self.finish(at.0, Err(Rejection::Invalid));
                }
                let result = self.journal.as_mut().map(|j| j.begin_replacement(chain));
                match result {
                    Some(Ok(replacement)) => self.replacement = Some(replacement),
                    Some(Err(JournalError::Full)) => self.reject_snapshot_for_space(),
                    Some(Err(e)) => self.handle_storage_error(&e),
                    None => {}
                }
            }
            FromOrigin::SnapshotEnd { count } => {
                let Some(replacement) = self.replacement.take() else { return };
                if count != self.snapshot_mark.number || !self.partial_entry.is_empty() {
                    self.replacement = Some(replacement);
                    return self.finish(count, Err(Rejection::OutOfSequence));
                }
                let result = self.journal.as_mut().map(|j| j.finish_replacement(replacement));
                match result {
                    Some(Ok(())) => {
                        self.discard_uncommitted();
                        self.reply_position();
                    }
                    Some(Err(e)) => self.handle_storage_error(&e),
                    None => {}
                }
            }
            FromOrigin::SetAside { copy, origin } => self.set_aside_copy(wire::to_mark(copy), origin),
            FromOrigin::Hello { .. } => {}
        }
    }

    fn finish(&mut self, number: u64, result: Result<(), Rejection>) {
        match result {
            Ok(()) => {}
            // The position is sent once, until entries follow from there.
            Err(Rejection::OutOfSequence) if self.position_resent => {}
            Err(Rejection::OutOfSequence) => {
                self.discard_uncommitted();
                self.position_resent = true;
                self.reply_position();
            }
            Err(Rejection::Invalid) => {
                self.discard_uncommitted();
                self.notices.push(Notice::EntryRejected { number });
                self.reply(FromPartner::EntryRejected { number });
            }
        }
    }

    fn receive_log_entries(&mut self, entries: &Entries) -> Result<(), Rejection> {
        // Never buffers more than the window, in case the origin ignores it.
        let partial = entries.more || !self.partial_entry.is_empty();
        if self.replacement.is_some()
            || entries.first != self.next_mark.number
            || (!partial
                && self.uncommitted_bytes > 0
                && self.uncommitted_bytes + entries.octets.len() > self.window)
        {
            return Err(Rejection::OutOfSequence);
        }
        self.position_resent = false;
        let Some(octets) = append_part(&mut self.partial_entry, entries)? else { return Ok(()) };
        let list = decode_entries(&octets, entries, &mut self.next_mark)?;
        self.uncommitted_bytes += octets.len();
        self.uncommitted.extend(list);
        Ok(())
    }

    fn receive_snapshot_entries(&mut self, entries: &Entries) -> Result<(), Rejection> {
        if self.replacement.is_none() || entries.first != self.snapshot_mark.number {
            return Err(Rejection::OutOfSequence);
        }
        let Some(octets) = append_part(&mut self.partial_entry, entries)? else { return Ok(()) };
        let list = decode_entries(&octets, entries, &mut self.snapshot_mark)?;
        // Entries that belong to the origin's snapshot only.
        let is_snapshot_only = |e: &Entry| matches!(e.what, Some(What::Chain(_)));
        let list: Vec<Entry> = list.into_iter().filter(|e| !is_snapshot_only(e)).collect();
        let result = match (&mut self.journal, &mut self.replacement) {
            (Some(journal), Some(replacement)) => journal.add_to_replacement(replacement, &list),
            _ => Ok(()),
        };
        match result {
            Ok(()) => {
                let count = self.snapshot_mark.number;
                self.replies.retain(|d| !matches!(d, FromPartner::SnapshotReceived { .. }));
                self.reply(FromPartner::SnapshotReceived { count });
            }
            Err(JournalError::Full) => self.reject_snapshot_for_space(),
            Err(e) => self.handle_storage_error(&e),
        }
        Ok(())
    }

    /// Handles a snapshot that does not fit. The previous copy remains valid.
    fn reject_snapshot_for_space(&mut self) {
        self.discard_uncommitted();
        self.notices.push(Notice::Full);
        self.reply(FromPartner::Full);
    }

    fn handle_storage_error(&mut self, e: &JournalError) {
        let full = matches!(e, JournalError::Storage(e) if e.kind() == std::io::ErrorKind::StorageFull);
        if full { self.reject_snapshot_for_space() } else { self.fail_storage() }
    }
}

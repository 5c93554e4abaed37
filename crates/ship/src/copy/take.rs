//! What the receiving side makes of what the origin sends.

use super::Copying;
use crate::Notice;
use crate::wire::{self, Down, Entries, LARGEST, PIECE, Up};
use heronroute_journal::entry::What;
use heronroute_journal::{Chain, Entry, JournalError, Mark, Storage, frame};
use prost::Message as _;

/// Why entries were not taken.
enum No {
    /// Something before them is missing, or they are here.
    Elsewhere,
    /// They can't be kept as they are.
    Odd,
}

/// Puts a piece behind what came of its entry before. Gives the entries once they are whole.
fn whole(piece: &mut Vec<u8>, entries: &Entries) -> Result<Option<Vec<u8>>, No> {
    if piece.len() + entries.octets.len() > LARGEST + PIECE {
        return Err(No::Odd);
    }
    if entries.more || !piece.is_empty() {
        piece.extend_from_slice(&entries.octets);
        return Ok((!entries.more).then(|| std::mem::take(piece)));
    }
    Ok(Some(entries.octets.clone()))
}

/// The entries, if they lead where they should.
fn read(octets: &[u8], entries: &Entries, mark: &mut Mark) -> Result<Vec<Entry>, No> {
    let mut to = *mark;
    let mut list = Vec::new();
    for raw in frame::encoded_entries(octets) {
        let entry = Entry::decode(raw).map_err(|_| No::Odd)?;
        // Guards against a field that this version does not know, and would leave out of the copy.
        if entry.encoded_len() != raw.len() {
            return Err(No::Odd);
        }
        to.push(raw);
        list.push(entry);
    }
    if to != (Mark { number: mark.number + entries.count, digest: entries.digest }) {
        return Err(No::Odd);
    }
    *mark = to;
    Ok(list)
}

impl<S: Storage> Copying<S> {
    pub(super) fn take(&mut self, up: Up) {
        match up {
            Up::Run(entries) => {
                let (first, done) = (entries.first, self.run(&entries));
                self.end(first, done);
            }
            Up::Part(entries) => {
                let done = self.part(&entries);
                self.end(entries.first, done);
            }
            Up::Base { at, marks } => {
                self.start_over();
                let chain = Chain::new(wire::mark(at), marks.into_iter().map(wire::mark));
                if at.0 < self.at().number {
                    return self.end(at.0, Err(No::Odd));
                }
                let begun = self.journal.as_mut().map(|j| j.begin_replacement(chain));
                match begun {
                    Some(Ok(base)) => self.base = Some(base),
                    Some(Err(JournalError::Full)) => self.no_room(),
                    Some(Err(e)) => self.storage_failed(&e),
                    None => {}
                }
            }
            Up::BaseEnd { count } => {
                let Some(base) = self.base.take() else { return };
                if count != self.taken.number || !self.piece.is_empty() {
                    self.base = Some(base);
                    return self.end(count, Err(No::Elsewhere));
                }
                let done = self.journal.as_mut().map(|j| j.finish_replacement(base));
                match done {
                    Some(Ok(())) => {
                        self.start_over();
                        self.have();
                    }
                    Some(Err(e)) => self.storage_failed(&e),
                    None => {}
                }
            }
            Up::Aside { copy, origin } => self.aside(wire::mark(copy), origin),
            Up::Hello { .. } => {}
        }
    }

    fn end(&mut self, number: u64, done: Result<(), No>) {
        match done {
            Ok(()) => {}
            // Once, until it goes on from there.
            Err(No::Elsewhere) if self.told => {}
            Err(No::Elsewhere) => {
                self.start_over();
                self.told = true;
                self.have();
            }
            Err(No::Odd) => {
                self.start_over();
                self.notices.tell(Notice::Odd { number });
                self.say(Down::Odd { number });
            }
        }
    }

    fn run(&mut self, entries: &Entries) -> Result<(), No> {
        // Never more than was allowed: guards against an origin that heeds no window.
        let piece = entries.more || !self.piece.is_empty();
        if self.base.is_some()
            || entries.first != self.coming.number
            || (!piece && self.octets > 0 && self.octets + entries.octets.len() > self.window)
        {
            return Err(No::Elsewhere);
        }
        self.told = false;
        let Some(octets) = whole(&mut self.piece, entries)? else { return Ok(()) };
        let list = read(&octets, entries, &mut self.coming)?;
        self.octets += octets.len();
        self.waiting.extend(list);
        Ok(())
    }

    fn part(&mut self, entries: &Entries) -> Result<(), No> {
        if self.base.is_none() || entries.first != self.taken.number {
            return Err(No::Elsewhere);
        }
        let Some(octets) = whole(&mut self.piece, entries)? else { return Ok(()) };
        let list = read(&octets, entries, &mut self.taken)?;
        // What is of the origin's snapshot alone.
        let own = |e: &Entry| matches!(e.what, Some(What::Chain(_)));
        let list: Vec<Entry> = list.into_iter().filter(|e| !own(e)).collect();
        let done = match (&mut self.journal, &mut self.base) {
            (Some(journal), Some(base)) => journal.add_to_replacement(base, &list),
            _ => Ok(()),
        };
        match done {
            Ok(()) => {
                let count = self.taken.number;
                self.out.retain(|d| !matches!(d, Down::Taken { .. }));
                self.say(Down::Taken { count });
            }
            Err(JournalError::Full) => self.no_room(),
            Err(e) => self.storage_failed(&e),
        }
        Ok(())
    }

    /// A book does not fit: what was there before still counts.
    fn no_room(&mut self) {
        self.start_over();
        self.notices.tell(Notice::Full);
        self.say(Down::Full);
    }

    fn storage_failed(&mut self, e: &JournalError) {
        let full = matches!(e, JournalError::Storage(e) if e.kind() == std::io::ErrorKind::StorageFull);
        if full { self.no_room() } else { self.fail() }
    }
}

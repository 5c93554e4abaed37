//! Inspects a journal without changing it, also while its sender runs. Files are read into memory and opened
//! there, so that everything is checked as at a start, and nothing is truncated, locked or written.

use crate::disk::Disk;
use crate::entry::{Entry, What};
use crate::frame::{self, FrameError};
use crate::{Journal, JournalError, JournalState, Limits, Storage};
use std::io;
use std::path::Path;

/// What was found in one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileReport {
    /// The name of the file.
    pub name: String,
    /// The size of the file, in bytes.
    pub octets: u64,
    /// The number of intact frames.
    pub frames: u64,
    /// The number of entries in intact frames.
    pub entries: u64,
    /// The offset of the first unreadable frame, if any.
    pub torn: Option<u64>,
}

/// What was found in a journal.
#[derive(Debug)]
pub struct Inspection {
    /// The files, in order of name.
    pub files: Vec<FileReport>,
    /// All entries of the log with their numbers.
    pub entries: Vec<(u64, Entry)>,
    /// The state, or why the journal can't be opened.
    pub state: Result<JournalState, JournalError>,
}

/// Reads the journal in a folder. A file that disappears meanwhile (a running sender removes its old log) is
/// skipped.
///
/// # Errors
/// Where the folder can't be read.
pub fn inspect(folder: &Path) -> io::Result<Inspection> {
    let mut disk = Disk::default();
    let (mut files, mut entries) = (Vec::new(), Vec::new());
    let mut names: Vec<String> = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        names.push(entry?.file_name().to_string_lossy().into_owned());
    }
    names.sort();
    for name in names.into_iter().filter(|n| n.starts_with("log-") || n.starts_with("snap-")) {
        let Ok(bytes) = std::fs::read(folder.join(&name)) else { continue };
        let mut report =
            FileReport { name: name.clone(), octets: bytes.len() as u64, frames: 0, entries: 0, torn: None };
        let mut at = 0;
        loop {
            match frame::read(&bytes[at..]) {
                Ok(f) => {
                    report.frames += 1;
                    report.entries += f.entries.len() as u64;
                    if name.starts_with("log-") {
                        entries
                            .extend(f.entries.into_iter().enumerate().map(|(i, e)| (f.first + i as u64, e)));
                    }
                    at += f.length;
                }
                Err(FrameError::End) => break,
                Err(_) => {
                    report.torn = Some(at as u64);
                    break;
                }
            }
        }
        files.push(report);
        disk.create(&name)?;
        disk.append(&name, &bytes)?;
    }
    let state = Journal::open(disk, Limits::default()).map(|j| j.state().clone());
    Ok(Inspection { files, entries, state })
}

/// Returns the number of the message that an entry is about.
pub fn message_of(entry: &Entry) -> Option<u64> {
    Some(match entry.what.as_ref()? {
        What::Accepted(a) => a.id,
        What::Intent(i) => i.id,
        What::Outcome(o) => o.id,
        What::Answer(a) => a.id,
        What::Taken(t) => t.id,
        What::Place(_) | What::Session(_) | What::Applied(_) => return None,
        What::Inherited(_) | What::Chain(_) => return None,
        What::Heir(h) => h.accepted.as_ref().or(h.held.as_ref()?.accepted.as_ref())?.id,
        What::Named(n) => n.id,
        What::Held(h) => h.accepted.as_ref()?.id,
        What::Released(r) => r.id,
        What::Final(f) => f.answer.as_ref()?.id,
    })
}

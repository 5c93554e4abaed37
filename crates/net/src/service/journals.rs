//! Opens the senders' journals, and moves what is kept for clients to their home senders.

use super::StartError;
use crate::journal_writer;
use heronroute_config::Config;
use heronroute_engine::home::home;
use heronroute_journal::dir::Dir;
use heronroute_journal::{Entry, Journal, JournalError, JournalState};
use std::path::{Path, PathBuf};

/// The file with the number of senders that last used the folder.
const COUNT_FILE: &str = "senders";
/// The maximum number of entries of a commit.
const MAX_COMMIT_ENTRIES: usize = 20_000;

/// Opens the journals, one folder for each sender, or none if the settings have no journal.
///
/// # Errors
/// If a journal can't be used, or was written by another number of senders with messages open.
pub fn open_journals(cfg: &Config) -> Result<Vec<Option<Journal<Dir>>>, StartError> {
    let senders = cfg.service.senders;
    let Some(folder) = &cfg.journal.folder else { return Ok((0..senders).map(|_| None).collect()) };
    let folder = PathBuf::from(folder);
    std::fs::create_dir_all(&folder)?;
    let previous_count = previous_count(&folder).unwrap_or(senders);
    let mut journals = Vec::new();
    for index in 0..senders.max(previous_count) {
        journals.push(journal_writer::open(&folder.join(format!("sender-{index}")), cfg.journal.limits)?);
    }
    // With another number of senders, most clients have another home. Under clients' rules, only the home sender has room
    // for held messages.
    let needs_same_count = |journal: &Journal<Dir>| {
        !journal.state().open.is_empty() || (cfg.fleet.is_some() && !journal.state().held.is_empty())
    };
    if previous_count != senders && journals.iter().any(needs_same_count) {
        return Err(StartError::SenderCount(previous_count));
    }
    move_to_homes(&mut journals, senders)?;
    journals.truncate(senders);
    std::fs::write(folder.join(COUNT_FILE), senders.to_string())?;
    Ok(journals.into_iter().map(Some).collect())
}

fn previous_count(folder: &Path) -> Option<usize> {
    std::fs::read_to_string(folder.join(COUNT_FILE)).ok()?.trim().parse().ok()
}

/// Moves what is kept for clients at other senders than their homes.
fn move_to_homes(journals: &mut [Journal<Dir>], senders: usize) -> Result<(), JournalError> {
    for from in 0..journals.len() {
        for to in (0..senders).filter(|to| *to != from) {
            let (source, target): (&JournalState, &JournalState) =
                (journals[from].state(), journals[to].state());
            let relocation = source.relocation(target, |client| home(client, senders) == to);
            if relocation.is_empty() {
                continue;
            }
            commit_all(&mut journals[to], &relocation.arriving)?;
            commit_all(&mut journals[from], &relocation.leaving)?;
            let moved = relocation.leaving.len();
            tracing::info!(from, to, moved, "moved what is kept for clients to their home sender");
        }
    }
    Ok(())
}

/// Makes entries durable, whatever the limit of the journal: what they are about was accepted before.
fn commit_all(journal: &mut Journal<Dir>, entries: &[Entry]) -> Result<(), JournalError> {
    for chunk in entries.chunks(MAX_COMMIT_ENTRIES) {
        match journal.commit(chunk) {
            Err(JournalError::Full) => {
                journal.snapshot()?;
                journal.commit_beyond_limit(chunk)?;
            }
            other => _ = other?,
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;

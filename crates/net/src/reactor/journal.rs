//! How a sender's thread writes its journal.

use super::Reactor;
use heronroute_journal::dir::Dir;
use heronroute_journal::{Entry, Journal, JournalError};
use std::sync::mpsc::Sender;

/// Where a sender's journal entries are written.
pub enum JournalSink {
    /// Sent to the journal writer's thread, which reports them durable later.
    Thread(Sender<Vec<Entry>>),
    /// Written on the sender's own thread. For a process with a fraction of one core whose journal is not synced: another
    /// thread would only add cost.
    Own(Box<Journal<Dir>>),
}

impl Reactor {
    /// Writes entries to the journal, or submits them to its thread.
    pub(super) fn write_journal(&mut self, entries: Vec<Entry>) {
        match &mut self.journal {
            None => {}
            Some(JournalSink::Thread(journal)) => self.failed |= journal.send(entries).is_err(),
            Some(JournalSink::Own(journal)) => {
                let mut result = journal.commit(&entries);
                if matches!(result, Err(JournalError::Full)) {
                    // A snapshot drops the log. Acceptance has stopped long before, so that there is room for ends.
                    result = journal.snapshot().and_then(|()| journal.commit(&entries));
                }
                match result {
                    Ok(count) => {
                        let usage = journal.usage();
                        self.node.durable(self.clock.now(), count - self.before, usage);
                    }
                    Err(e) => {
                        tracing::error!(error = %e, "the journal can't go on");
                        self.failed = true;
                    }
                }
            }
        }
    }
}

//! Moves what a journal keeps for clients to another sender's journal.
//!
//! A client has one home among the senders of a process, where all that is kept for it belongs. What an earlier version,
//! or a process with another number of senders, left elsewhere is moved at a start, before any sender runs. The entries
//! for the new journal are made durable first; where the process ends in between, the same is done again, which changes
//! nothing that has arrived.

use crate::Entry;
use crate::entry::{Held, Named, Released, Session, Taken, What};
use crate::state::{JournalState, Open};

/// The entries of a move.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Relocation {
    /// For the journal to which it is moved. To be made durable first.
    pub arriving: Vec<Entry>,
    /// For the journal from which it is moved.
    pub leaving: Vec<Entry>,
}

impl Relocation {
    /// Returns whether nothing is to be moved.
    pub fn is_empty(&self) -> bool {
        self.leaving.is_empty()
    }
}

fn client_of(held: &Held) -> &str {
    held.accepted.as_ref().map_or("", |accepted| accepted.client.as_str())
}

impl JournalState {
    /// Returns the entries that move open messages, sessions, held messages and kept answers of the clients for which
    /// `moves` is true to a journal with the state `target`. A session that exists there too is the later one. Names that
    /// clients gave their messages are digests, and are all copied where anything is moved.
    pub fn relocation(&self, target: &JournalState, moves: impl Fn(&str) -> bool) -> Relocation {
        let mut relocation = Relocation::default();
        for (key, kept) in self.sessions.iter().filter(|((client, _), _)| moves(client)) {
            if !target.sessions.contains_key(key) {
                relocation.arriving.push(What::Session(kept.to_entry()).into());
            }
            let over = Session { expiry: 0, notes: Vec::new(), ..kept.session.clone() };
            relocation.leaving.push(What::Session(over).into());
        }
        for open in self.open.values().filter(|open| moves(&open.accepted.client)) {
            relocation.arriving.extend(open.entries());
            relocation.leaving.push(What::Taken(Taken { id: open.accepted.id }).into());
        }
        // Held messages come after the open ones, as an answer among those would remove a held message.
        for (id, held) in self.held.iter().filter(|(_, held)| moves(client_of(held))) {
            relocation.arriving.push(What::Held(held.clone()).into());
            relocation.leaving.push(What::Released(Released { id: *id }).into());
        }
        if !relocation.is_empty() {
            relocation.arriving.extend(self.names_to_copy());
            let finals = self.finals.values().filter(|kept| moves(&kept.client));
            relocation.arriving.extend(finals.map(|kept| What::Final(kept.clone()).into()));
        }
        relocation
    }

    fn names_to_copy(&self) -> impl Iterator<Item = Entry> + '_ {
        let forgot = (self.forgot > 0).then(|| Named { until: self.forgot, ..Named::default() });
        forgot.into_iter().chain(self.names.iter().copied()).map(|named| What::Named(named).into())
    }
}

impl Open {
    /// Returns the entries that rebuild the message.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        use crate::entry::{Intent, Outcome};
        let id = self.accepted.id;
        let mut list: Vec<Entry> = vec![What::Accepted(self.accepted.clone()).into()];
        // Rebuilds the number of attempts, among them the one that may have taken effect.
        let without_effect =
            self.attempts - u32::from(self.may_run.is_some()) - u32::from(self.out.is_some());
        for _ in 0..without_effect {
            list.push(What::Intent(Intent { id, ..Intent::default() }).into());
            list.push(What::Outcome(Outcome { id, never_ran: true }).into());
        }
        if let Some(intent) = &self.may_run {
            list.push(What::Intent(intent.clone()).into());
            list.push(What::Outcome(Outcome { id, never_ran: false }).into());
        }
        list.extend(self.out.iter().map(|intent| What::Intent(intent.clone()).into()));
        list.extend(self.answer.iter().map(|answer| What::Answer(answer.clone()).into()));
        list
    }
}

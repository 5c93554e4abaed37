//! Whose an id is that a platform client gives a message: of no message yet, of an open one, or of one that has ended.
//! Free of I/O.
//!
//! An id stands for one message. It is remembered for a while after its message's time, in a table of fixed size and over a
//! restart, so that a message which is handed in again under its id does not run again.

use crate::Micros;
use heronroute::MsgId;
use heronroute_journal::entry::Named;
use heronroute_seen::{GIVEN_UP, Name, SeenNames, Verdict};
use std::collections::BTreeMap;

/// How long an id is remembered after the time of its message.
const RETENTION: Micros = 60_000_000;

/// Whose an id is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// No message that is remembered.
    Nobody,
    /// An open message.
    Open(MsgId),
    /// A message that was accepted and has ended.
    Ended,
}

/// The ids of open messages, and of messages that have ended.
#[derive(Debug)]
pub struct Identities {
    open: BTreeMap<String, MsgId>,
    accepted: SeenNames,
}

impl Identities {
    /// Creates an empty table that remembers about `remembered` ids. `wall` is the time of day.
    pub fn new(remembered: usize, wall: Micros, seed: u64) -> Self {
        Identities { open: BTreeMap::new(), accepted: SeenNames::new(remembered, wall, seed) }
    }

    /// Returns whose an id is.
    pub fn owner(&self, wall: Micros, identity: &str) -> Owner {
        if let Some(id) = self.open.get(identity) {
            return Owner::Open(*id);
        }
        match self.accepted.find(wall, name_of(identity)) {
            Verdict::Same(_) => Owner::Ended,
            // An id that may have been forgotten is taken for a new one, as each is by the protocol.
            Verdict::New | Verdict::Unsure => Owner::Nobody,
        }
    }

    /// Gives an id to a message that is open.
    pub fn open(&mut self, identity: String, id: MsgId) {
        self.open.insert(identity, id);
    }

    /// Ends the use of an id by an open message.
    pub fn close(&mut self, identity: &str) {
        self.open.remove(identity);
    }

    /// Remembers the id of a message that is accepted and expires at `deadline`, by the time of day. Returns what the
    /// journal keeps of it.
    pub fn accept(&mut self, wall: Micros, identity: &str, id: MsgId, deadline: Micros) -> Named {
        let (name, until) = (name_of(identity), deadline.saturating_add(RETENTION));
        self.accepted.add(wall, name, id.0, until);
        Named { high: name.high, low: name.low, id: id.0, until }
    }

    /// Forgets the id of a message whose client was never told that it was accepted, and that was never sent. Returns
    /// what the journal keeps of that, for a message that expires at `deadline`, by the time of day.
    pub fn withdraw(&mut self, wall: Micros, identity: &str, deadline: Micros) -> Named {
        let name = name_of(identity);
        self.accepted.give_up(wall, name);
        Named { high: name.high, low: name.low, id: GIVEN_UP, until: deadline.saturating_add(RETENTION) }
    }

    /// Restores an id that the journal has kept.
    pub fn restore(&mut self, wall: Micros, named: &Named) {
        let name = Name { high: named.high, low: named.low };
        self.accepted.add(wall, name, named.id, named.until);
    }
}

fn name_of(identity: &str) -> Name {
    Name::new("", identity)
}

#[cfg(test)]
mod tests;

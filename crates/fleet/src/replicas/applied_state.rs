//! The state that follows from the decided log, identical at every member: the index of each entry, the
//! requests already applied, the leader, and readmitted replicas.
//!
//! It is bounded: [`MAX_NAMES`] names, the newest [`MAX_LIVES`] lives of each, and [`REQUEST_WINDOW`] request
//! numbers of each life. A request outside these bounds is never delivered, because it could be a repetition;
//! it is answered as superseded.

use super::item::Item;
use crate::entry::{Decided, Request, Term};
use crate::name::{Life, Name, Start};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum number of names whose requests are tracked.
pub const MAX_NAMES: usize = 1_024;
/// The maximum number of lives of each name; requests of older ones are refused.
pub const MAX_LIVES: usize = 4;
/// The number of request numbers tracked for each life, up to the highest decided.
pub const REQUEST_WINDOW: u64 = 128;

/// What is known about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// It isn't decided.
    New,
    /// It was decided at this index.
    At(u64),
    /// It is so old that it isn't known whether it was decided; it isn't delivered (again).
    Superseded,
}

/// The result of applying an item.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// An entry is delivered at its index.
    Deliver(Decided),
    /// The request was applied before, or can't be distinguished from one that was.
    Duplicate(Request, Known),
    /// The item doesn't concern the caller.
    Internal,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct RequestWindow {
    highest: u64,
    indexes: BTreeMap<u64, u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct NameHistory {
    floor: Start,
    lives: BTreeMap<Start, RequestWindow>,
}

/// The state that follows from the log up to a slot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AppliedState {
    /// The number of slots applied.
    pub slot: u64,
    /// The index of the last entry delivered; 0 if there was none.
    pub index: u64,
    /// The leader according to the log.
    pub leader: Option<(Term, Life)>,
    /// Readmitted replicas, with the slot and the life.
    pub readmissions: BTreeMap<u8, (u64, u64)>,
    names: BTreeMap<Name, NameHistory>,
}

impl AppliedState {
    /// Returns what is known about a request.
    pub fn known(&self, request: &Request) -> Known {
        let Some(lives) = self.names.get(&request.from.name) else {
            return if self.names.len() < MAX_NAMES { Known::New } else { Known::Superseded };
        };
        if request.from.start < lives.floor {
            return Known::Superseded;
        }
        let Some(numbers) = lives.lives.get(&request.from.start) else { return Known::New };
        match numbers.indexes.get(&request.number) {
            Some(index) => Known::At(*index),
            None if request.number.saturating_add(REQUEST_WINDOW) <= numbers.highest => Known::Superseded,
            None => Known::New,
        }
    }

    /// Applies the item of the next slot.
    pub fn apply(&mut self, item: &Item) -> ApplyOutcome {
        let slot = self.slot;
        self.slot += 1;
        match item {
            Item::Leadership { term, life } => {
                if self.leader.as_ref().is_none_or(|(t, _)| t < term) {
                    self.leader = Some((*term, life.clone()));
                }
                ApplyOutcome::Internal
            }
            Item::Readmit { pid, nonce } => {
                self.readmissions.insert(*pid, (slot, *nonce));
                ApplyOutcome::Internal
            }
            Item::Asked(entry) => match self.known(&entry.request) {
                Known::New => {
                    self.index += 1;
                    self.remember(&entry.request);
                    ApplyOutcome::Deliver(Decided { index: self.index, entry: entry.clone() })
                }
                known => ApplyOutcome::Duplicate(entry.request.clone(), known),
            },
        }
    }

    fn remember(&mut self, request: &Request) {
        let lives = self.names.entry(request.from.name.clone()).or_default();
        let numbers = lives.lives.entry(request.from.start).or_default();
        numbers.highest = numbers.highest.max(request.number);
        numbers.indexes.insert(request.number, self.index);
        let lowest = numbers.highest.saturating_sub(REQUEST_WINDOW - 1);
        while numbers.indexes.first_key_value().is_some_and(|(n, _)| *n < lowest) {
            numbers.indexes.pop_first();
        }
        while lives.lives.len() > MAX_LIVES {
            lives.lives.pop_first();
            lives.floor = lives.lives.first_key_value().map_or(lives.floor, |(start, _)| *start);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::entry::Entry;

    fn entry_item(name: &str, start: u64, number: u64) -> Item {
        let from = Life { name: Name::new(name).unwrap(), start: Start(start) };
        Item::Asked(Entry { request: Request { from, number }, wall: 0, body: vec![] })
    }
    fn index_of(step: ApplyOutcome) -> Option<u64> {
        if let ApplyOutcome::Deliver(d) = step { Some(d.index) } else { None }
    }

    #[test]
    fn a_request_decided_twice_is_delivered_once_and_keeps_its_index() {
        let mut applied_state = AppliedState::default();
        assert_eq!(index_of(applied_state.apply(&entry_item("a", 1, 7))), Some(1));
        assert_eq!(index_of(applied_state.apply(&entry_item("a", 2, 7))), Some(2));
        let Item::Asked(entry) = entry_item("a", 1, 7) else { panic!() };
        assert_eq!(
            applied_state.apply(&entry_item("a", 1, 7)),
            ApplyOutcome::Duplicate(entry.request, Known::At(1))
        );
        assert_eq!(
            index_of(applied_state.apply(&entry_item("a", 1, 6))),
            Some(3),
            "numbers may be out of order within the window"
        );
        assert_eq!((applied_state.index, applied_state.slot), (3, 4));
    }

    #[test]
    fn requests_outside_the_window_or_the_newest_lives_are_never_delivered() {
        let mut applied_state = AppliedState::default();
        applied_state.apply(&entry_item("a", 1, 1));
        applied_state.apply(&entry_item("a", 1, 1 + REQUEST_WINDOW));
        assert_eq!(index_of(applied_state.apply(&entry_item("a", 1, 1))), None);
        assert_eq!(index_of(applied_state.apply(&entry_item("a", 1, 2))), Some(3));
        for start in 2..=MAX_LIVES as u64 + 1 {
            applied_state.apply(&entry_item("a", start, 1));
        }
        assert_eq!(
            index_of(applied_state.apply(&entry_item("a", 1, 200))),
            None,
            "a life older than the newest four"
        );
        let mut full = AppliedState::default();
        for i in 0..MAX_NAMES {
            full.apply(&entry_item(&format!("n{i}"), 1, 1));
        }
        assert_eq!(index_of(full.apply(&entry_item("one-more", 1, 1))), None);
        assert_eq!(index_of(full.apply(&entry_item("n0", 1, 2))), Some(MAX_NAMES as u64 + 1));
    }
}

//! The book: what the entries add up to. Open messages, answers not yet taken, what is known of places.

use crate::entry::{Accepted, Answer, Entry, Intent, Place, Taken, What};
use std::collections::BTreeMap;

/// A message whose answer was not taken yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Open {
    /// As it was accepted.
    pub accepted: Accepted,
    /// Attempts that were about to leave.
    pub attempts: u32,
    /// The first attempt that may have run.
    pub may_run: Option<Intent>,
    /// The attempt that has no outcome.
    pub out: Option<Intent>,
    /// Its final answer, if it has one.
    pub answer: Option<Answer>,
}

/// The book.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Book {
    /// Messages by number.
    pub open: BTreeMap<u64, Open>,
    /// Places by endpoint.
    pub places: BTreeMap<String, Place>,
    /// Above all numbers given so far.
    pub next_id: u64,
}

impl Book {
    /// Takes an entry. Entries about messages that are not open change nothing.
    pub fn apply(&mut self, entry: &Entry) {
        match &entry.what {
            Some(What::Accepted(a)) => {
                self.next_id = self.next_id.max(a.id + 1);
                let open = Open { accepted: a.clone(), attempts: 0, may_run: None, out: None, answer: None };
                self.open.insert(a.id, open);
            }
            Some(What::Intent(i)) => {
                if let Some(o) = self.open.get_mut(&i.id) {
                    o.attempts += 1;
                    o.out = Some(i.clone());
                }
            }
            Some(What::Outcome(end)) => {
                if let Some(o) = self.open.get_mut(&end.id) {
                    let out = o.out.take();
                    if !end.never_ran && o.may_run.is_none() {
                        o.may_run = out;
                    }
                }
            }
            Some(What::Answer(a)) => {
                // The first answer holds: there are never two.
                if let Some(o) = self.open.get_mut(&a.id).filter(|o| o.answer.is_none()) {
                    o.answer = Some(a.clone());
                    // What only served delivery is not needed any more.
                    o.accepted.body = Vec::new();
                }
            }
            Some(What::Taken(Taken { id })) => _ = self.open.remove(id),
            Some(What::Place(p)) => {
                if p.wait_until == 0 && p.bad_since == 0 {
                    self.places.remove(&p.endpoint);
                } else {
                    self.places.insert(p.endpoint.clone(), p.clone());
                }
            }
            None => {}
        }
    }

    /// Entries that make the same book anew.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        let messages = self.open.values().flat_map(|o| {
            let id = o.accepted.id;
            let mut list: Vec<Entry> = vec![What::Accepted(o.accepted.clone()).into()];
            // As many attempts as there were, the one that may have run among them.
            let others = o.attempts - u32::from(o.may_run.is_some()) - u32::from(o.out.is_some());
            let never = Intent { id, ..Intent::default() };
            for _ in 0..others {
                list.push(What::Intent(never.clone()).into());
                list.push(What::Outcome(crate::entry::Outcome { id, never_ran: true }).into());
            }
            if let Some(i) = &o.may_run {
                list.push(What::Intent(i.clone()).into());
                list.push(What::Outcome(crate::entry::Outcome { id, never_ran: false }).into());
            }
            if let Some(i) = &o.out {
                list.push(What::Intent(i.clone()).into());
            }
            if let Some(a) = &o.answer {
                list.push(What::Answer(a.clone()).into());
            }
            list
        });
        messages.chain(self.places.values().map(|p| What::Place(p.clone()).into()))
    }
}

//! Questions of what would be let go, until all that were asked have answered or time is over: bounded, the oldest given up
//! first.

use crate::Micros;
use crate::limits;
use heronroute_fleet::Life;
use heronroute_rules::check::LossCounts;
use heronroute_rules::seam::{ClientRequest, DryRunResult};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Who is to be told.
#[derive(Clone, Debug, PartialEq)]
pub enum Whose {
    /// A client of this member's, with the rest of its answer.
    Client(ClientRequest, Value, &'static str),
    /// Another member, by its place and its number for the question; which life of it, where it asked through a third one.
    Member(usize, u64, Option<Life>),
}

/// One question.
#[derive(Clone, Debug, PartialEq)]
pub struct Weighing {
    /// Who is to be told.
    pub whose: Whose,
    /// Senders of this process that have not answered.
    pub senders: BTreeSet<usize>,
    /// What those that have said, together.
    pub here: LossCounts,
    /// Other members that were asked, by their places, with what they said.
    pub others: BTreeMap<usize, Option<LossCounts>>,
    /// It is waited for so long.
    pub until: Micros,
}

impl Weighing {
    fn done(&self) -> bool {
        self.senders.is_empty() && self.others.values().all(Option::is_some)
    }
}

/// All that are open, by number.
#[derive(Debug, Default)]
pub struct Weighings {
    open: BTreeMap<u64, Weighing>,
}

impl Weighings {
    /// Other members may be asked of one more.
    pub fn may_go_abroad(&self) -> bool {
        self.open.values().filter(|w| !w.others.is_empty()).count() < limits::WEIGHINGS_ABROAD
    }

    /// Opens one, under a number greater than all before. Gives back what is given up for it.
    pub fn open(&mut self, number: u64, weighing: Weighing) -> Option<Weighing> {
        let full = self.open.len() >= limits::WEIGHINGS;
        let over = if full { self.open.pop_first().map(|(_, over)| over) } else { None };
        self.open.insert(number, weighing);
        over
    }

    /// A sender of this process answers. Gives back what is whole by that.
    pub fn sender(&mut self, weighed: &DryRunResult) -> Option<Weighing> {
        let one = self.open.get_mut(&weighed.number)?;
        if one.senders.remove(&weighed.sender) {
            one.here = one.here.and(weighed.would);
        }
        self.whole(weighed.number)
    }

    /// Another member does.
    pub fn member(&mut self, peer: usize, number: u64, would: LossCounts) -> Option<Weighing> {
        let said = self.open.get_mut(&number)?.others.get_mut(&peer)?;
        said.get_or_insert(would);
        self.whole(number)
    }

    /// What is whole as it stands.
    pub fn whole(&mut self, number: u64) -> Option<Weighing> {
        if self.open.get(&number)?.done() { self.open.remove(&number) } else { None }
    }

    /// One that is waited for no longer. They were opened in order, each with the same patience.
    pub fn late(&mut self, now: Micros) -> Option<Weighing> {
        let entry = self.open.first_entry().filter(|entry| entry.get().until <= now)?;
        Some(entry.remove())
    }

    /// When the next one is.
    pub fn wake(&self) -> Option<Micros> {
        self.open.first_key_value().map(|(_, one)| one.until)
    }
}

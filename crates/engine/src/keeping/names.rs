//! How many names are remembered under each rule of a client.
//!
//! The names themselves are in the table that all clients share; here only their order is kept, for rules that set a
//! number. The oldest beyond it is dropped: it is unsure until its time is over.

use crate::Micros;
use heronroute_seen::Name;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Default)]
struct Account {
    most: u64,
    names: VecDeque<(Name, u64, Micros)>,
}

/// Names by client and part, for rules that set a number.
#[derive(Debug)]
pub(crate) struct Names {
    /// Of one rule at most: more names than the common table has room for are not counted.
    room: u64,
    accounts: BTreeMap<(usize, u32), Account>,
}

impl Names {
    /// Beside a common table for so many names.
    pub(crate) fn new(room: usize) -> Self {
        Names { room: room as u64, accounts: BTreeMap::new() }
    }

    /// Sets how many are remembered; none: as many as there is room for.
    pub(crate) fn limit(&mut self, client: usize, part: u32, most: Option<u64>) {
        match most {
            Some(most) => self.accounts.entry((client, part)).or_default().most = most,
            // What was counted stays in the common table until its time is over.
            None => _ = self.accounts.remove(&(client, part)),
        }
    }

    /// How many are remembered.
    pub(crate) fn most(&self, client: usize, part: u32) -> Option<u64> {
        self.accounts.get(&(client, part)).map(|a| a.most)
    }

    /// A name is remembered as this message's until a time.
    pub(crate) fn add(&mut self, client: usize, part: u32, name: Name, id: u64, until: Micros) {
        if let Some(account) = self.accounts.get_mut(&(client, part)) {
            account.names.push_back((name, id, until));
        }
    }

    /// The messages whose names would be dropped if so many were remembered, without dropping them; looks at `looks` names at
    /// most, and says whether that was not enough.
    pub(crate) fn weigh(
        &self,
        now: Micros,
        (client, part): (usize, u32),
        most: u64,
        looks: &mut usize,
    ) -> (Vec<u64>, bool) {
        let mut gone = Vec::new();
        let Some(account) = self.accounts.get(&(client, part)) else { return (gone, false) };
        let mut left = account.names.len() as u64;
        for (_, id, until) in &account.names {
            if *until >= now && left <= most.min(self.room) {
                break;
            }
            if *looks == 0 {
                return (gone, true);
            }
            *looks -= 1;
            left -= 1;
            gone.extend((*until >= now).then_some(*id));
        }
        (gone, false)
    }

    /// Gives up the oldest that are too many, with their messages.
    pub(crate) fn trim(&mut self, now: Micros, client: usize, part: u32) -> Vec<(Name, u64)> {
        let mut gone = Vec::new();
        let Some(account) = self.accounts.get_mut(&(client, part)) else { return gone };
        while let Some((name, id, until)) = account.names.front().copied() {
            let many = account.names.len() as u64 > account.most.min(self.room);
            if until >= now && !many {
                break;
            }
            account.names.pop_front();
            if until >= now {
                gone.push((name, id));
            }
        }
        gone
    }
}

#[cfg(test)]
mod tests;

//! One member's share of limits that are for the whole installation.
//!
//! Counts and sizes are divided permanently. A release rate is not: with more members than releases per
//! second, some members would have a rate of zero and never release what they hold. The rate stays whole in
//! the rules, and members take turns from second to second ([`Turn`]), so that in no second they release more
//! together than the rate allows.
//!
//! Within a process nothing is divided. All sessions of a client are at its home among the senders
//! ([`mod@crate::home`]), together with its names, answers and held messages, so the home has the whole share
//! of the process and the other senders have none.

use crate::Micros;
use crate::field::Field;
use crate::home::home;
use crate::limits;
use crate::model::RuleSet;
use crate::registry::Notice;
use serde::{Deserialize, Serialize};

const SECOND: Micros = 1_000_000;

/// Returns the rules as the member at index `place` (from 0, in the order of the members' names) of `members`
/// applies them. Durations and rates are unchanged; counts and sizes are divided so that all members' shares
/// add up to the limit. The remainder goes one each to the first members. A limit below the number of members
/// leaves some members with 0.
pub fn share(set: &RuleSet, place: usize, members: usize) -> RuleSet {
    let mut out = set.clone();
    let (place, members) = (place as u64, (members as u64).max(1));
    for rule in &mut out.rules {
        for field in Field::ALL.into_iter().filter(|f| f.is_divided()) {
            let share = field.get(&rule.limits).map(|v| v / members + u64::from(place < v % members));
            field.set(&mut rule.limits, share);
        }
    }
    out
}

/// Returns the rules for a sender that is not the client's home: counts, sizes and rates are 0, since the
/// home has the whole share of the process. Durations are unchanged.
pub fn empty_share(set: &RuleSet) -> RuleSet {
    let mut out = set.clone();
    for rule in &mut out.rules {
        for field in Field::ALL.into_iter().filter(|f| f.is_summed()) {
            let none = field.get(&rule.limits).map(|_| 0);
            field.set(&mut rule.limits, none);
        }
    }
    out
}

/// A member's turn in release rates: its index among all members, and the number of senders in its process.
/// All senders of a process get the same value; each knows its own index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The index of the member, from 0, in the order of the members' names.
    pub place: u32,
    /// The number of members.
    pub members: u32,
    /// The number of senders in the member's process.
    pub senders: u32,
}

impl Default for Turn {
    /// Returns the turn of a single member with a single sender, which has the whole rate.
    fn default() -> Self {
        Turn { place: 0, members: 1, senders: 1 }
    }
}

impl Turn {
    /// Returns how many of `rate` releases per second this member may make in the second of the time of day
    /// `wall`. The releases of a rate are numbered from 1970 on and assigned to the members round-robin. In
    /// each second the members' parts add up to the rate, and in the long run all members get the same
    /// number.
    pub fn rate_share(&self, rate: u64, wall: Micros) -> u64 {
        let (second, rate) = (u128::try_from(wall.div_euclid(SECOND)).unwrap_or(0), u128::from(rate));
        let members = u128::from(self.members.max(1));
        let place = u128::from(self.place) % members;
        // The number of this member's releases among the `first` ones.
        let own = |first: u128| (first + members - 1 - place) / members;
        u64::try_from(own(rate * (second + 1)) - own(rate * second)).unwrap_or(u64::MAX)
    }

    /// Returns whether a sender of the process, by its index, is the client's home, which has the whole share
    /// of the process.
    pub fn is_home(&self, client: &str, sender: usize) -> bool {
        let senders = (self.senders as usize).max(1);
        home(client, senders) == sender % senders
    }
}

/// Returns notices to the rules' owner about limits so small that some members get a share of 0, where
/// messages to be held are dropped at once. At most [`limits::MAX_FINDINGS`].
pub fn empty_share_notices(set: &RuleSet, members: usize) -> Vec<Notice> {
    let members = members.max(1) as u64;
    let mut out = Vec::new();
    for rule in &set.rules {
        for field in Field::ALL.into_iter().filter(|f| f.is_divided()) {
            let Some(value) = field.get(&rule.limits).filter(|v| *v > 0 && *v < members) else { continue };
            let without = members - value;
            out.push(Notice {
                rule: rule.name.clone(),
                field: field.name().into(),
                plan: String::new(),
                fits: field.format(members),
                why: format!("{} for {members} members: {without} of them have none", field.format(value)),
                until: None,
            });
        }
    }
    out.truncate(limits::MAX_FINDINGS);
    out
}

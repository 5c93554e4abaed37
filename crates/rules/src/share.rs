//! One member's share of figures that are for the whole installation.
//!
//! Counts and octets are divided once and for all. A pace is not: where there are more members than it has releases in a
//! second, some would have nought for ever, and what they hold would never go. It stays whole in the rules, and members
//! take turns from second to second ([`Turn`]), so that in no second they have more together than the pace.
//!
//! Within a process nothing is divided: a client's sessions all meet at its home among the senders ([`mod@home`]), where its
//! names, answers and held messages are, so that the home has all of its process's share and the others have none.

use crate::Micros;
use crate::field::Field;
use crate::home::home;
use crate::limits;
use crate::model::RuleSet;
use crate::registry::Notice;
use serde::{Deserialize, Serialize};

const SECOND: Micros = 1_000_000;

/// The rules as the member at `place` (from 0, by the order of the members' names) of `members` applies them: spans and
/// pace as they are, counts and octets divided so that all members' shares add up to the figure. What does not divide goes
/// one each to the first places; a figure smaller than the number of members leaves some members with 0 ([`thin`]).
pub fn share(set: &RuleSet, place: usize, members: usize) -> RuleSet {
    let mut out = set.clone();
    let (place, members) = (place as u64, (members as u64).max(1));
    for rule in &mut out.rules {
        for field in Field::ALL.into_iter().filter(|f| f.is_divided()) {
            let part = field.get(&rule.figures).map(|v| v / members + u64::from(place < v % members));
            field.set(&mut rule.figures, part);
        }
    }
    out
}

/// The same for a sender of the process that is not the client's home: no room and no release, as what the home has is all
/// of the process's share. Spans stay.
pub fn away(set: &RuleSet) -> RuleSet {
    let mut out = set.clone();
    for rule in &mut out.rules {
        for field in Field::ALL.into_iter().filter(|f| f.is_summed()) {
            let none = field.get(&rule.figures).map(|_| 0);
            field.set(&mut rule.figures, none);
        }
    }
    out
}

/// Whose turn it is: a member's place among all of them, and how many senders its process has. The senders are told alike,
/// each knows its own number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The member's place, from 0, by the order of the members' names.
    pub place: u32,
    /// Members.
    pub members: u32,
    /// Senders of the member's process.
    pub senders: u32,
}

impl Default for Turn {
    /// Of one alone, which has the whole.
    fn default() -> Self {
        Turn { place: 0, members: 1, senders: 1 }
    }
}

impl Turn {
    /// How many of a pace of `pace` in a second are this member's in the second of the time of day `wall`. All of a pace's
    /// releases are numbered on from 1970, and go round among the members: over all of them it is the pace in each second,
    /// and in the long run each has as many.
    pub fn part(&self, pace: u64, wall: Micros) -> u64 {
        let (second, pace) = (u128::try_from(wall.div_euclid(SECOND)).unwrap_or(0), u128::from(pace));
        let members = u128::from(self.members.max(1));
        let place = u128::from(self.place) % members;
        // Of the first so many, those that are one's own.
        let own = |of: u128| (of + members - 1 - place) / members;
        u64::try_from(own(pace * (second + 1)) - own(pace * second)).unwrap_or(u64::MAX)
    }

    /// Whether a sender of the process, by its number, is the client's home, which has all of the process's share.
    pub fn is_home(&self, client: &str, sender: usize) -> bool {
        let senders = (self.senders as usize).max(1);
        home(client, senders) == sender % senders
    }
}

/// Figures so small that some of the members have none of them, said to the rules' owner: what a member with none holds
/// is dropped at once. At most [`limits::MAX_FINDINGS`].
pub fn thin(set: &RuleSet, members: usize) -> Vec<Notice> {
    let members = members.max(1) as u64;
    let mut out = Vec::new();
    for rule in &set.rules {
        for field in Field::ALL.into_iter().filter(|f| f.is_divided()) {
            let Some(value) = field.get(&rule.figures).filter(|v| *v > 0 && *v < members) else { continue };
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

//! One client's rules as they were applied, and what they say of a message.

use super::pace::Pace;
use crate::Micros;
use heronroute_held::{PartRoom, Parts};
use heronroute_rules::{EffectiveLimits, Field, Plan, Rule, RuleLimits, RuleSet, Table, Turn};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Parts from here on are fences': no rule that is applied has one of them.
pub(crate) const FENCED: u32 = 1 << 31;

/// What holds for a message at its hand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Keep {
    /// It expires after this at the latest.
    pub validity: Option<Micros>,
    /// Its name counts so long.
    pub remember: Option<Micros>,
    /// The part in which its name is counted; 0: in none.
    pub names: u32,
    /// Its final answer is kept so long.
    pub answer_for: Micros,
}

const AT_HAND_IN: [Field; 4] = [Field::AnswerFor, Field::Remember, Field::Remembered, Field::Validity];
const LATER: [Field; 5] =
    [Field::HoldFor, Field::HoldCount, Field::HoldOctets, Field::Trails, Field::Release];

/// A rule without its figures, and the part that it has in the tables beside this one.
#[derive(Debug)]
pub(crate) struct Place {
    name: String,
    class: String,
    to: String,
    key: String,
    pub part: u32,
}

impl Place {
    pub(crate) fn name(&self) -> &str {
        &self.name
    }
}

/// A client's rules.
#[derive(Debug)]
pub(crate) struct Rules {
    pub version: u64,
    pub plan: Arc<Plan>,
    /// What counts at a hand-in. Each field stands in one of the two tables, so that a hand-in passes over rules that only
    /// say something of what is held.
    at_hand_in: Table,
    /// What counts later.
    later: Table,
    pub places: Vec<Place>,
    /// Which part of the paces is this process's.
    pub turn: Turn,
    /// Releases by part.
    pub paces: BTreeMap<u32, Pace>,
    /// Parts are never used twice, so that what one rule has left is not taken for another's.
    next: u32,
}

impl Rules {
    /// A version in the place of another. A rule of the same name keeps its part.
    pub(crate) fn new(set: &RuleSet, plan: Arc<Plan>, turn: Turn, before: Option<&Rules>) -> Self {
        Self::from(set, plan, turn, before, 1)
    }

    /// What is approved, beside what is applied: with parts that no applied rule has.
    pub(crate) fn fenced(set: &RuleSet, turn: Turn, before: Option<&Rules>) -> Self {
        Self::from(set, Arc::new(Plan::default()), turn, before, FENCED)
    }

    fn from(set: &RuleSet, plan: Arc<Plan>, turn: Turn, before: Option<&Rules>, first: u32) -> Self {
        let old: BTreeMap<&str, u32> =
            before.iter().flat_map(|b| &b.places).map(|p| (p.name.as_str(), p.part)).collect();
        let mut next = before.map_or(first, |b| b.next);
        let mut paces = BTreeMap::new();
        let mut place = |r: &Rule| {
            let part = old.get(r.name.as_str()).copied().unwrap_or_else(|| {
                next = next.wrapping_add(1).max(first);
                next
            });
            if let Some(most) = r.limits.release {
                let mut pace = before.and_then(|b| b.paces.get(&part)).cloned().unwrap_or_default();
                pace.whole = most;
                paces.insert(part, pace);
            }
            let (name, class) = (r.name.clone(), r.class.clone());
            Place { name, class, to: r.to.clone(), key: r.key.clone(), part }
        };
        let places = set.rules.iter().map(&mut place).collect();
        let table = |fields: &[Field]| Table::of(&set.rules, fields);
        let (at_hand_in, later) = (table(&AT_HAND_IN), table(&LATER));
        Rules { version: set.version, plan, at_hand_in, later, places, turn, paces, next }
    }

    /// What its rules say of a message at its hand-in.
    pub(crate) fn at_hand_in(&self, class: &str, to: &str, key: &str) -> EffectiveLimits {
        self.at_hand_in.lookup(class, to.as_bytes(), key.as_bytes())
    }

    /// What they say of it later.
    pub(crate) fn later(&self, class: &str, to: &str, key: &str) -> EffectiveLimits {
        self.later.lookup(class, to.as_bytes(), key.as_bytes())
    }

    /// The part of a rule; 0: of none.
    pub(crate) fn part(&self, rule: Option<u16>) -> u32 {
        rule.and_then(|r| self.places.get(usize::from(r))).map_or(0, |p| p.part)
    }

    /// What holds for a message that is submitted.
    pub(crate) fn keep(&self, class: &str, to: &str, key: &str) -> Keep {
        let found = self.at_hand_in.lookup(class, to.as_bytes(), key.as_bytes());
        Keep {
            validity: found.limits.validity,
            remember: found.limits.remember,
            names: self.part(found.by(Field::Remembered)),
            answer_for: found.limits.answer_for.unwrap_or(0).max(0),
        }
    }

    /// The parts in which a message counts while it is held.
    pub(crate) fn parts(&self, class: &str, to: &str, key: &str) -> Parts {
        let found = self.later.lookup(class, to.as_bytes(), key.as_bytes());
        Parts {
            age: self.part(found.by(Field::HoldFor)),
            count: self.part(found.by(Field::HoldCount)),
            octets: self.part(found.by(Field::HoldOctets)),
            trails: self.part(found.by(Field::Trails)),
        }
    }

    /// The part whose pace holds a message's release.
    pub(crate) fn pace(&self, class: &str, to: &str, key: &str) -> u32 {
        self.part(self.later.lookup(class, to.as_bytes(), key.as_bytes()).by(Field::Release))
    }

    /// The rules as the tables have them: those figures that the look-up finds for exactly what a rule matches, and of
    /// those that stand in other tables what stands there.
    pub(crate) fn read_back(&self, rooms: &[(u32, PartRoom)], names: impl Fn(u32) -> Option<u64>) -> RuleSet {
        let rooms: BTreeMap<u32, PartRoom> = rooms.iter().copied().collect();
        let rules = self.places.iter().zip(0u16..).map(|(p, at)| {
            let mut limits = RuleLimits::default();
            for (fields, table) in [(&AT_HAND_IN[..], &self.at_hand_in), (&LATER[..], &self.later)] {
                let found: EffectiveLimits = table.lookup(&p.class, p.to.as_bytes(), p.key.as_bytes());
                for field in fields.iter().filter(|f| found.by(**f) == Some(at)) {
                    field.set(&mut limits, field.get(&found.limits));
                }
            }
            let room = rooms.get(&p.part).copied().unwrap_or_default();
            limits.hold_for = room.age;
            limits.hold_count = room.count.map(|n| n as u64);
            limits.hold_octets = room.octets;
            limits.trails = room.trails.map(|n| n as u64);
            limits.remembered = names(p.part);
            limits.release = self.paces.get(&p.part).map(|p| p.whole);
            let (name, class) = (p.name.clone(), p.class.clone());
            Rule { name, class, to: p.to.clone(), key: p.key.clone(), limits }
        });
        RuleSet { version: self.version, rules: rules.collect() }
    }
}

/// What a rule gives the held store.
pub(crate) fn room(limits: &RuleLimits) -> PartRoom {
    let size = |n: Option<u64>| n.map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    PartRoom {
        age: limits.hold_for,
        count: size(limits.hold_count),
        octets: limits.hold_octets,
        trails: size(limits.trails),
    }
}

#[cfg(test)]
mod tests;

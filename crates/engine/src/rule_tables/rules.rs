//! One client's applied rules, and what they say of a message.

use super::pace::Pace;
use crate::Micros;
use heronroute_held::{MessagePartitions, PartitionLimits};
use heronroute_rules::{EffectiveLimits, Field, Plan, Rule, RuleLimits, RuleSet, Table, Turn};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Parts from this number on belong to fences; no applied rule has one of them.
pub(crate) const FIRST_FENCED_PART: u32 = 1 << 31;

/// What a client's rules say of a message at its submission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RuleTerms {
    /// The longest time until the message expires.
    pub validity: Option<Micros>,
    /// How long its name is remembered.
    pub remember: Option<Micros>,
    /// The part in which its name is counted, or 0 for none.
    pub names_part: u32,
    /// How long its final answer is retained.
    pub answer_for: Micros,
}

const SUBMISSION_FIELDS: [Field; 4] = [Field::AnswerFor, Field::Remember, Field::Remembered, Field::Validity];
const HELD_FIELDS: [Field; 5] =
    [Field::HoldFor, Field::HoldCount, Field::HoldOctets, Field::Trails, Field::Release];

/// What a rule matches, without its figures, and the part that it has in the tables beside this one.
#[derive(Debug)]
pub(crate) struct RulePart {
    name: String,
    class: String,
    to: String,
    key: String,
    pub part: u32,
}

impl RulePart {
    pub(crate) fn name(&self) -> &str {
        &self.name
    }
}

/// A client's rules.
#[derive(Debug)]
pub(crate) struct ClientRules {
    pub version: u64,
    pub plan: Arc<Plan>,
    /// Figures used at submission. Each field is in one of the two tables, so that a submission skips rules
    /// that only concern held messages.
    at_submission: Table,
    /// Figures used while a message is held.
    while_held: Table,
    pub rule_parts: Vec<RulePart>,
    /// Which part of the paces belongs to this process.
    pub turn: Turn,
    /// Release paces by part.
    pub paces: BTreeMap<u32, Pace>,
    /// The last part given out. Parts are never reused, so that what one rule left is not taken for
    /// another's.
    last_part: u32,
}

impl ClientRules {
    /// Compiles a version that replaces another. A rule of the same name keeps its part.
    pub(crate) fn new(set: &RuleSet, plan: Arc<Plan>, turn: Turn, before: Option<&ClientRules>) -> Self {
        Self::compile(set, plan, turn, before, 1)
    }

    /// Compiles approved rules beside the applied ones, with parts that no applied rule has.
    pub(crate) fn fenced(set: &RuleSet, turn: Turn, before: Option<&ClientRules>) -> Self {
        Self::compile(set, Arc::new(Plan::default()), turn, before, FIRST_FENCED_PART)
    }

    fn compile(set: &RuleSet, plan: Arc<Plan>, turn: Turn, before: Option<&ClientRules>, first: u32) -> Self {
        let old: BTreeMap<&str, u32> =
            before.iter().flat_map(|b| &b.rule_parts).map(|p| (p.name.as_str(), p.part)).collect();
        let mut last_part = before.map_or(first, |b| b.last_part);
        let mut paces = BTreeMap::new();
        let mut rule_part = |r: &Rule| {
            let part = old.get(r.name.as_str()).copied().unwrap_or_else(|| {
                last_part = last_part.wrapping_add(1).max(first);
                last_part
            });
            if let Some(limit) = r.limits.release {
                let mut pace = before.and_then(|b| b.paces.get(&part)).cloned().unwrap_or_default();
                pace.fleet_limit = limit;
                paces.insert(part, pace);
            }
            let (name, class) = (r.name.clone(), r.class.clone());
            RulePart { name, class, to: r.to.clone(), key: r.key.clone(), part }
        };
        let rule_parts = set.rules.iter().map(&mut rule_part).collect();
        let table = |fields: &[Field]| Table::of(&set.rules, fields);
        let (at_submission, while_held) = (table(&SUBMISSION_FIELDS), table(&HELD_FIELDS));
        ClientRules {
            version: set.version,
            plan,
            at_submission,
            while_held,
            rule_parts,
            turn,
            paces,
            last_part,
        }
    }

    /// Returns what the rules say of a message at submission.
    pub(crate) fn at_submission(&self, class: &str, to: &str, key: &str) -> EffectiveLimits {
        self.at_submission.lookup(class, to.as_bytes(), key.as_bytes())
    }

    /// Returns what the rules say of a message while it is held.
    pub(crate) fn while_held(&self, class: &str, to: &str, key: &str) -> EffectiveLimits {
        self.while_held.lookup(class, to.as_bytes(), key.as_bytes())
    }

    /// Returns the part of a rule, or 0 for no rule.
    pub(crate) fn part(&self, rule: Option<u16>) -> u32 {
        rule.and_then(|r| self.rule_parts.get(usize::from(r))).map_or(0, |p| p.part)
    }

    /// Returns the terms of a message that is being submitted.
    pub(crate) fn terms(&self, class: &str, to: &str, key: &str) -> RuleTerms {
        let found = self.at_submission.lookup(class, to.as_bytes(), key.as_bytes());
        RuleTerms {
            validity: found.limits.validity,
            remember: found.limits.remember,
            names_part: self.part(found.by(Field::Remembered)),
            answer_for: found.limits.answer_for.unwrap_or(0).max(0),
        }
    }

    /// Returns the parts in which a message counts while it is held.
    pub(crate) fn held_parts(&self, class: &str, to: &str, key: &str) -> MessagePartitions {
        let found = self.while_held.lookup(class, to.as_bytes(), key.as_bytes());
        MessagePartitions {
            age: self.part(found.by(Field::HoldFor)),
            count: self.part(found.by(Field::HoldCount)),
            octets: self.part(found.by(Field::HoldOctets)),
            trails: self.part(found.by(Field::Trails)),
        }
    }

    /// Returns the part whose pace limits a message's release.
    pub(crate) fn pace_part(&self, class: &str, to: &str, key: &str) -> u32 {
        self.part(self.while_held.lookup(class, to.as_bytes(), key.as_bytes()).by(Field::Release))
    }

    /// Reads the rules back from the tables: the figures that the look-up finds for exactly what a rule
    /// matches, and for figures held in other tables what those have.
    pub(crate) fn read_back(
        &self,
        rooms: &[(u32, PartitionLimits)],
        names: impl Fn(u32) -> Option<u64>,
    ) -> RuleSet {
        let rooms: BTreeMap<u32, PartitionLimits> = rooms.iter().copied().collect();
        let rules = self.rule_parts.iter().zip(0u16..).map(|(p, at)| {
            let mut limits = RuleLimits::default();
            for (fields, table) in
                [(&SUBMISSION_FIELDS[..], &self.at_submission), (&HELD_FIELDS[..], &self.while_held)]
            {
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
            limits.release = self.paces.get(&p.part).map(|p| p.fleet_limit);
            let (name, class) = (p.name.clone(), p.class.clone());
            Rule { name, class, to: p.to.clone(), key: p.key.clone(), limits }
        });
        RuleSet { version: self.version, rules: rules.collect() }
    }
}

/// Returns the room that a rule gives the held store.
pub(crate) fn part_room(limits: &RuleLimits) -> PartitionLimits {
    let size = |n: Option<u64>| n.map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    PartitionLimits {
        age: limits.hold_for,
        count: size(limits.hold_count),
        octets: limits.hold_octets,
        trails: size(limits.trails),
    }
}

#[cfg(test)]
mod tests;

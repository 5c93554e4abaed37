//! A fence around one client: what comes goes by the stricter of its rules as they are applied and as they are approved.
//!
//! What is applied stays as it is, and is read back as it is. What is approved stands beside it with parts of its own, so
//! that what is accepted under a smaller figure counts there: nothing that was kept before is let go for it. Once
//! the fence is lifted, that stays under the figures that it was accepted under, until it is gone.

use super::rules::{Keep, Rules};
use heronroute_held::Parts;
use heronroute_rules::strict::{Side, stricter};
use heronroute_rules::{EffectiveLimits, Field, RuleLimits, RuleSet, Turn};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A client's fence, or what is left of one.
#[derive(Debug, Default)]
pub(crate) struct Fence {
    /// What is approved, while it stands.
    pub under: Option<Arc<RuleSet>>,
    /// The same, made ready; after it was lifted the last one, so that a rule of the same name keeps its part.
    rules: Option<Rules>,
    /// Parts that may still have something in them.
    pub parts: BTreeSet<u32>,
}

impl Fence {
    /// Sets it, over what is approved now. Gives the figures of each part, and the parts whose names are not counted any more.
    pub(crate) fn set(&mut self, under: Arc<RuleSet>, turn: Turn) -> (Vec<(u32, RuleLimits)>, Vec<u32>) {
        let rules = Rules::fenced(&under, turn, self.rules.as_ref());
        let has: Vec<(u32, RuleLimits)> =
            rules.places.iter().zip(&under.rules).map(|(p, r)| (p.part, r.limits.clone())).collect();
        let gone = self.parts.iter().copied().filter(|p| has.iter().all(|(part, _)| part != p)).collect();
        self.parts.extend(has.iter().map(|(part, _)| *part));
        (self.under, self.rules) = (Some(under), Some(rules));
        (has, gone)
    }

    /// Whether it stands over just this.
    pub(crate) fn is(&self, under: &Arc<RuleSet>, turn: Turn) -> bool {
        self.under.as_ref() == Some(under) && self.rules.as_ref().is_some_and(|r| r.turn == turn)
    }

    /// What is approved, while the fence stands.
    pub(crate) fn stands(&self) -> Option<&Rules> {
        self.rules.as_ref().filter(|_| self.under.is_some())
    }

    /// The same, to count releases.
    pub(crate) fn stands_mut(&mut self) -> Option<&mut Rules> {
        self.rules.as_mut().filter(|_| self.under.is_some())
    }
}

/// What holds for one message under a fence.
pub(crate) struct Strict<'a> {
    applied: Option<(&'a Rules, EffectiveLimits)>,
    approved: (&'a Rules, EffectiveLimits),
    common: &'a RuleLimits,
}

impl<'a> Strict<'a> {
    /// For a message as these tables of both rules find it. `common`: what holds where a rule leaves a figure out.
    fn new(
        applied: Option<&'a Rules>,
        approved: &'a Rules,
        common: &'a RuleLimits,
        table: impl Fn(&'a Rules) -> EffectiveLimits,
    ) -> Self {
        let look = |rules: &'a Rules| (rules, table(rules));
        Strict { applied: applied.map(look), approved: look(approved), common }
    }

    /// At the hand-in of a message of a class, to an address, under a key.
    pub(crate) fn at_hand_in(
        applied: Option<&'a Rules>,
        approved: &'a Rules,
        common: &'a RuleLimits,
        (class, to, key): (&str, &str, &str),
    ) -> Keep {
        Self::new(applied, approved, common, |rules| rules.at_hand_in(class, to, key)).keep()
    }

    /// While it is held.
    pub(crate) fn later(
        applied: Option<&'a Rules>,
        approved: &'a Rules,
        common: &'a RuleLimits,
        (class, to, key): (&str, &str, &str),
    ) -> Parts {
        Self::new(applied, approved, common, |rules| rules.later(class, to, key)).parts()
    }

    /// A figure, and the part in which the message counts for it.
    fn pick(&self, field: Field) -> (Option<u64>, u32) {
        let figure = |found: &EffectiveLimits| field.get(&found.limits);
        let applied = self.applied.as_ref().and_then(|(_, found)| figure(found));
        let approved = figure(&self.approved.1);
        let side = stricter(field, applied, approved, field.get(self.common));
        match (side, &self.applied) {
            (Side::Approved, _) => (approved, self.approved.0.part(self.approved.1.by(field))),
            (Side::Applied, Some((rules, found))) => (applied, rules.part(found.by(field))),
            (Side::Applied, None) => (None, 0),
        }
    }

    fn keep(&self) -> Keep {
        let span = |field| self.pick(field).0.map(|v| i64::try_from(v).unwrap_or(i64::MAX));
        Keep {
            validity: span(Field::Validity),
            remember: span(Field::Remember),
            names: self.pick(Field::Remembered).1,
            answer_for: span(Field::AnswerFor).unwrap_or(0),
        }
    }

    fn parts(&self) -> Parts {
        Parts {
            age: self.pick(Field::HoldFor).1,
            count: self.pick(Field::HoldCount).1,
            octets: self.pick(Field::HoldOctets).1,
            trails: self.pick(Field::Trails).1,
        }
    }
}

#[cfg(test)]
mod tests;

//! A fence around one client: new messages follow the stricter of its applied and its approved rules.
//!
//! The applied rules stay unchanged and are read back unchanged. The approved rules have parts of their own
//! beside them, so that what is accepted under a smaller figure counts there, and nothing that was held
//! before is dropped for it. After the fence is lifted, that stays under the figures under which it was
//! accepted until it is gone.

use super::rules::{ClientRules, RuleTerms};
use heronroute_held::MessagePartitions;
use heronroute_rules::strict::{Side, stricter};
use heronroute_rules::{EffectiveLimits, Field, RuleLimits, RuleSet, Turn};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A client's fence, or what is left of one.
#[derive(Debug, Default)]
pub(crate) struct Fence {
    /// The approved rules, while the fence is set.
    pub approved: Option<Arc<RuleSet>>,
    /// The approved rules in compiled form. The last ones stay after the fence is lifted, so that a rule of
    /// the same name keeps its part.
    compiled: Option<ClientRules>,
    /// Parts that may not be empty.
    pub parts: BTreeSet<u32>,
}

impl Fence {
    /// Sets the fence with the rules approved now. Returns the figures of each part, and the parts whose
    /// names are not counted any more.
    pub(crate) fn set(&mut self, approved: Arc<RuleSet>, turn: Turn) -> (Vec<(u32, RuleLimits)>, Vec<u32>) {
        let rules = ClientRules::fenced(&approved, turn, self.compiled.as_ref());
        let figures_by_part: Vec<(u32, RuleLimits)> =
            rules.rule_parts.iter().zip(&approved.rules).map(|(p, r)| (p.part, r.limits.clone())).collect();
        let removed = self
            .parts
            .iter()
            .copied()
            .filter(|p| figures_by_part.iter().all(|(part, _)| part != p))
            .collect();
        self.parts.extend(figures_by_part.iter().map(|(part, _)| *part));
        (self.approved, self.compiled) = (Some(approved), Some(rules));
        (figures_by_part, removed)
    }

    /// Returns whether the fence is set with just these rules.
    pub(crate) fn matches(&self, approved: &Arc<RuleSet>, turn: Turn) -> bool {
        self.approved.as_ref() == Some(approved) && self.compiled.as_ref().is_some_and(|r| r.turn == turn)
    }

    /// Returns the approved rules, while the fence is set.
    pub(crate) fn active_rules(&self) -> Option<&ClientRules> {
        self.compiled.as_ref().filter(|_| self.approved.is_some())
    }

    /// Returns the approved rules for counting releases, while the fence is set.
    pub(crate) fn active_rules_mut(&mut self) -> Option<&mut ClientRules> {
        self.compiled.as_mut().filter(|_| self.approved.is_some())
    }
}

/// The rules that apply to one message under a fence.
pub(crate) struct StricterRules<'a> {
    applied: Option<(&'a ClientRules, EffectiveLimits)>,
    approved: (&'a ClientRules, EffectiveLimits),
    common: &'a RuleLimits,
}

impl<'a> StricterRules<'a> {
    /// Looks a message up in one table of both rule sets. `common` holds the figures where a rule leaves one
    /// out.
    fn new(
        applied: Option<&'a ClientRules>,
        approved: &'a ClientRules,
        common: &'a RuleLimits,
        table: impl Fn(&'a ClientRules) -> EffectiveLimits,
    ) -> Self {
        let look_up = |rules: &'a ClientRules| (rules, table(rules));
        StricterRules { applied: applied.map(look_up), approved: look_up(approved), common }
    }

    /// Returns the terms of a message at submission, by its class, address and key.
    pub(crate) fn at_submission(
        applied: Option<&'a ClientRules>,
        approved: &'a ClientRules,
        common: &'a RuleLimits,
        (class, to, key): (&str, &str, &str),
    ) -> RuleTerms {
        Self::new(applied, approved, common, |rules| rules.at_submission(class, to, key)).terms()
    }

    /// Returns the parts in which a message counts while it is held.
    pub(crate) fn while_held(
        applied: Option<&'a ClientRules>,
        approved: &'a ClientRules,
        common: &'a RuleLimits,
        (class, to, key): (&str, &str, &str),
    ) -> MessagePartitions {
        Self::new(applied, approved, common, |rules| rules.while_held(class, to, key)).parts()
    }

    /// Returns the stricter value of a figure, and the part in which the message counts for it.
    fn stricter_figure(&self, field: Field) -> (Option<u64>, u32) {
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

    fn terms(&self) -> RuleTerms {
        let span = |field| self.stricter_figure(field).0.map(|v| i64::try_from(v).unwrap_or(i64::MAX));
        RuleTerms {
            validity: span(Field::Validity),
            remember: span(Field::Remember),
            names_part: self.stricter_figure(Field::Remembered).1,
            answer_for: span(Field::AnswerFor).unwrap_or(0),
        }
    }

    fn parts(&self) -> MessagePartitions {
        MessagePartitions {
            age: self.stricter_figure(Field::HoldFor).1,
            count: self.stricter_figure(Field::HoldCount).1,
            octets: self.stricter_figure(Field::HoldOctets).1,
            trails: self.stricter_figure(Field::Trails).1,
        }
    }
}

#[cfg(test)]
mod tests;

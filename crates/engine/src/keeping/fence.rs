//! A fence around one client: what comes goes by the stricter of its rules as they are applied and as they are approved.
//!
//! What is applied stays as it is, and is read back as it is. What is approved stands beside it with parts of its own, so
//! that what is accepted under a smaller figure counts there: nothing that was kept before is let go for it. Once
//! the fence is lifted, that stays under the figures that it was accepted under, until it is gone.

use super::rules::{Keep, Rules};
use heronroute_held::Parts;
use heronroute_rules::strict::{Side, stricter};
use heronroute_rules::{Effective, Field, Figures, RuleSet, Turn};
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
    pub(crate) fn set(&mut self, under: Arc<RuleSet>, turn: Turn) -> (Vec<(u32, Figures)>, Vec<u32>) {
        let rules = Rules::fenced(&under, turn, self.rules.as_ref());
        let has: Vec<(u32, Figures)> =
            rules.places.iter().zip(&under.rules).map(|(p, r)| (p.part, r.figures.clone())).collect();
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
    applied: Option<(&'a Rules, Effective)>,
    approved: (&'a Rules, Effective),
    common: &'a Figures,
}

impl<'a> Strict<'a> {
    /// For a message as these tables of both rules find it. `common`: what holds where a rule leaves a figure out.
    fn new(
        applied: Option<&'a Rules>,
        approved: &'a Rules,
        common: &'a Figures,
        table: impl Fn(&'a Rules) -> Effective,
    ) -> Self {
        let look = |rules: &'a Rules| (rules, table(rules));
        Strict { applied: applied.map(look), approved: look(approved), common }
    }

    /// At the hand-in of a message of a class, to an address, under a key.
    pub(crate) fn at_hand_in(
        applied: Option<&'a Rules>,
        approved: &'a Rules,
        common: &'a Figures,
        (class, to, key): (&str, &str, &str),
    ) -> Keep {
        Self::new(applied, approved, common, |rules| rules.at_hand_in(class, to, key)).keep()
    }

    /// While it is held.
    pub(crate) fn later(
        applied: Option<&'a Rules>,
        approved: &'a Rules,
        common: &'a Figures,
        (class, to, key): (&str, &str, &str),
    ) -> Parts {
        Self::new(applied, approved, common, |rules| rules.later(class, to, key)).parts()
    }

    /// A figure, and the part in which the message counts for it.
    fn pick(&self, field: Field) -> (Option<u64>, u32) {
        let figure = |found: &Effective| field.get(&found.figures);
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
mod tests {
    use super::*;
    use crate::keeping::rules::FENCED as PARTS;
    use heronroute_rules::{Plan, Rule};

    fn set(figures: Figures) -> RuleSet {
        RuleSet { version: 1, rules: vec![Rule { name: "r".into(), figures, ..Rule::default() }] }
    }

    fn all(n: i64) -> Figures {
        let m = n as u64;
        Figures {
            answer_for: Some(n),
            remember: Some(n),
            remembered: Some(m),
            hold_for: Some(n),
            hold_count: Some(m),
            hold_octets: Some(m),
            trails: Some(m),
            validity: Some(n),
            release: Some(m),
        }
    }

    #[test]
    fn each_figure_of_a_message_is_the_stricter_and_counts_with_its_rule() {
        let common = Figures::default();
        let of = |applied: Figures, approved: Figures| {
            let applied = Rules::new(&set(applied), Arc::new(Plan::default()), Turn::default(), None);
            let mut fence = Fence::default();
            let (has, _) = fence.set(Arc::new(set(approved)), Turn::default());
            let (mine, theirs) = (applied.places[0].part, has[0].0);
            assert!(mine < PARTS && theirs >= PARTS);
            let (approved, at) = (fence.stands().unwrap(), ("RESP", "1", ""));
            let keep = Strict::at_hand_in(Some(&applied), approved, &common, at);
            (keep, Strict::later(Some(&applied), approved, &common, at), mine, theirs)
        };
        let (keep, parts, _, theirs) = of(all(9), all(5));
        assert_eq!((keep.validity, keep.answer_for, keep.names), (Some(5), 5, theirs));
        assert_eq!(keep.remember, Some(9), "a name is new no earlier than either says");
        assert_eq!(parts, Parts { age: theirs, count: theirs, octets: theirs, trails: theirs });
        let (keep, parts, mine, _) = of(all(5), all(9));
        assert_eq!((keep.validity, keep.answer_for, keep.names), (Some(5), 5, mine));
        assert_eq!(keep.remember, Some(9));
        assert_eq!(parts, Parts { age: mine, count: mine, octets: mine, trails: mine });
        // Each by itself.
        let (_, parts, mine, theirs) =
            of(Figures { hold_for: Some(9), ..all(5) }, Figures { hold_for: Some(5), ..all(9) });
        assert_eq!(parts, Parts { age: theirs, count: mine, octets: mine, trails: mine });
    }

    #[test]
    fn a_rule_of_one_name_keeps_its_part_from_fence_to_fence() {
        let mut fence = Fence::default();
        let first = fence.set(Arc::new(set(all(5))), Turn::default()).0[0].0;
        fence.under = None;
        assert!(fence.stands().is_none() && fence.stands_mut().is_none());
        assert_eq!(fence.set(Arc::new(set(all(6))), Turn::default()).0[0].0, first);
        let mut other = set(all(7));
        other.rules[0].name = "s".into();
        let (has, gone) = fence.set(Arc::new(other), Turn::default());
        assert_eq!((has[0].0 != first, gone), (true, vec![first]));
        assert!(fence.parts.contains(&first), "something may still count there");
    }
}

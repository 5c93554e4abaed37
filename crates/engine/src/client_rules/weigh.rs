//! Computes what a version of a client's rules would discard if it were applied now, from the tables
//! concerned.

use crate::Micros;
use crate::node::Node;
use crate::rule_tables::rules::part_room;
use heronroute_held::PartitionLimits;
use heronroute_rules::check::LossCounts;
use heronroute_rules::seam::{DryRun, DryRunResult};
use std::collections::{BTreeMap, BTreeSet};

/// The most names, and the most messages, examined for one question; the result is a lower bound beyond that.
const MAX_LOOKS: usize = 2_000;

impl Node {
    /// Returns what [`Node::apply`] of these rules would discard if they took effect at once. Changes
    /// nothing.
    pub fn weigh(&mut self, now: Micros, weigh: &DryRun) -> DryRunResult {
        self.now = now.max(self.now);
        let losses = self.losses_of(weigh).unwrap_or_default();
        DryRunResult { number: weigh.number, sender: self.index, would: losses }
    }

    fn losses_of(&self, weigh: &DryRun) -> Option<LossCounts> {
        let (rule_tables, now) = (self.rule_tables.as_ref()?, self.wall());
        let client = *self.client_names.get(&weigh.client)?;
        let rule_parts = rule_tables.rules.get(&client).map(|r| r.rule_parts.as_slice()).unwrap_or_default();
        let part_by_name: BTreeMap<&str, u32> = rule_parts.iter().map(|p| (p.name(), p.part)).collect();
        // A rule that is new here holds nothing yet, and takes nothing from other rules.
        let set = self.own_share(&weigh.client, weigh.set.clone(), weigh.turn);
        let remaining =
            set.rules.iter().filter_map(|r| Some((*part_by_name.get(r.name.as_str())?, &r.limits)));
        let remaining: Vec<_> = remaining.collect();
        let mut losses = LossCounts::default();
        let mut looks = MAX_LOOKS;
        for (part, limits) in &remaining {
            let Some(most) = limits.remembered else { continue };
            let (dropped, more) = rule_tables.names.excess(now, (client, *part), most, &mut looks);
            losses.names += dropped.len() as u64;
            losses.at_least |= more;
            let repeatable: BTreeSet<u64> =
                dropped.into_iter().filter(|id| rule_tables.answers.has(now, *id)).collect();
            losses.answers += repeatable.len() as u64;
        }
        if let Some(store) = &self.held {
            let known: BTreeSet<u32> = remaining.iter().map(|(part, _)| *part).collect();
            let dropped = rule_parts.iter().filter(|p| !known.contains(&p.part));
            let dropped = dropped.map(|p| (p.part, PartitionLimits::default()));
            let rooms: Vec<_> =
                dropped.chain(remaining.iter().map(|(part, f)| (*part, part_room(f)))).collect();
            let held = store.weigh(now, client as u32, &rooms, MAX_LOOKS);
            (losses.messages, losses.octets, losses.trails) = (held.messages, held.octets, held.trails);
            losses.at_least |= held.more;
        }
        Some(losses)
    }
}

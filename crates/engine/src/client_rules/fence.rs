//! Fences off a client's changes: new messages follow the stricter of the applied and the approved rules.

use crate::Micros;
use crate::node::{Node, TimerKey};
use crate::rule_tables::rules;
use heronroute_held::PartitionLimits;
use heronroute_rules::seam::Fence;

use super::apply::EXPIRY_INTERVAL;

impl Node {
    /// Sets or lifts a client's fence. Does nothing on a node outside a fleet, or for an unknown client. The
    /// fence is not stored: it lasts as long as the node, and the caller has to set it again after a restart.
    pub fn fence(&mut self, now: Micros, fence: Fence) {
        self.now = now.max(self.now);
        let client = self.client_names.get(&fence.client).copied();
        let Some(client) = client.filter(|c| *c < self.cfg.clients.len()) else { return };
        let approved = fence.under.map(|rules| self.own_share(&fence.client, rules, fence.turn));
        let Some(rule_tables) = &mut self.rule_tables else { return };
        let Some(approved) = approved else {
            if let Some(current) = rule_tables.fences.get_mut(&client) {
                current.approved = None;
                tracing::info!(client = fence.client, "fence lifted");
            }
            return;
        };
        let current = rule_tables.fences.entry(client).or_default();
        if current.matches(&approved, fence.turn) {
            return;
        }
        tracing::info!(
            client = fence.client,
            version = approved.version,
            "fence set: the stricter of the applied and the approved rules holds"
        );
        let (figures_by_part, removed) = current.set(approved, fence.turn);
        removed.iter().for_each(|part| rule_tables.names.limit(client, *part, None));
        for (part, limits) in &figures_by_part {
            rule_tables.names.limit(client, *part, limits.remembered);
        }
        if let Some(store) = &mut self.held {
            figures_by_part
                .iter()
                .for_each(|(part, f)| store.limit(client as u32, *part, rules::part_room(f)));
        }
        figures_by_part.iter().for_each(|(part, _)| self.trim_names(client, *part));
        self.trim_held(client);
        self.timers.set(TimerKey::RuleTables, self.now + EXPIRY_INTERVAL);
    }

    /// Removes what is left of lifted fences once nothing counts in their parts.
    pub(super) fn clear_fences(&mut self) {
        let Some(rule_tables) = &mut self.rule_tables else { return };
        let (names, store) = (&mut rule_tables.names, &mut self.held);
        rule_tables.fences.retain(|client, fence| {
            if fence.approved.is_some() {
                return true;
            }
            fence.parts.retain(|part| {
                names.limit(*client, *part, None);
                let Some(store) = store else { return false };
                let stays = !store.is_partition_empty(*client as u32, *part);
                if !stays {
                    store.limit(*client as u32, *part, PartitionLimits::default());
                }
                stays
            });
            !fence.parts.is_empty()
        });
    }
}

//! A client's changes are fenced off: what comes from now on goes by the stricter of what is applied and what is approved.

use crate::Micros;
use crate::keeping::rules;
use crate::node::{Node, TimerKey};
use heronroute_held::PartRoom;
use heronroute_rules::seam::Fence;

use super::apply::LOOK;

impl Node {
    /// Sets a client's fence, or lifts it. Nothing on a node that is in no fleet, and for a client that it does not know. It
    /// lives as long as the node: whoever tells of it does so again after a restart.
    pub fn fence(&mut self, now: Micros, fence: Fence) {
        self.now = now.max(self.now);
        let client = self.client_names.get(&fence.client).copied();
        let Some(client) = client.filter(|c| *c < self.cfg.clients.len()) else { return };
        let under = fence.under.map(|under| self.own_part(&fence.client, under, fence.turn));
        let Some(keeping) = &mut self.keeping else { return };
        let Some(under) = under else {
            if let Some(known) = keeping.fences.get_mut(&client) {
                known.under = None;
                tracing::info!(client = fence.client, "the fence is lifted");
            }
            return;
        };
        let known = keeping.fences.entry(client).or_default();
        if known.is(&under, fence.turn) {
            return;
        }
        tracing::info!(client = fence.client, version = under.version, "fenced: the stricter of both holds");
        let (has, gone) = known.set(under, fence.turn);
        gone.iter().for_each(|part| keeping.names.limit(client, *part, None));
        for (part, limits) in &has {
            keeping.names.limit(client, *part, limits.remembered);
        }
        if let Some(store) = &mut self.held {
            has.iter().for_each(|(part, f)| store.limit(client as u32, *part, rules::room(f)));
        }
        has.iter().for_each(|(part, _)| self.trim_names(client, *part));
        self.trim_held(client);
        self.timers.set(TimerKey::Keeping, self.now + LOOK);
    }

    /// What is left of fences that were lifted goes once nothing counts there.
    pub(super) fn clear_fences(&mut self) {
        let Some(keeping) = &mut self.keeping else { return };
        let (names, store) = (&mut keeping.names, &mut self.held);
        keeping.fences.retain(|client, fence| {
            if fence.under.is_some() {
                return true;
            }
            fence.parts.retain(|part| {
                names.limit(*client, *part, None);
                let Some(store) = store else { return false };
                let stays = !store.is_part_empty(*client as u32, *part);
                if !stays {
                    store.limit(*client as u32, *part, PartRoom::default());
                }
                stays
            });
            !fence.parts.is_empty()
        });
    }
}

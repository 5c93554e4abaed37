//! What a version of a client's rules would let go of if it were applied now, by the tables that would let it go.

use crate::Micros;
use crate::keeping::rules::room;
use crate::node::Node;
use heronroute_held::PartRoom;
use heronroute_rules::check::LossCounts;
use heronroute_rules::seam::{DryRun, DryRunResult};
use std::collections::{BTreeMap, BTreeSet};

/// Names, and messages, that are looked at for one question at most: what is beyond is said to be more.
const LOOKS: usize = 2_000;

impl Node {
    /// What [`Node::apply`] of these rules would let go of, were it in force at once. Nothing changes.
    pub fn weigh(&mut self, now: Micros, weigh: &DryRun) -> DryRunResult {
        self.now = now.max(self.now);
        let would = self.would_let_go(weigh).unwrap_or_default();
        DryRunResult { number: weigh.number, sender: self.index, would }
    }

    fn would_let_go(&self, weigh: &DryRun) -> Option<LossCounts> {
        let (keeping, now) = (self.keeping.as_ref()?, self.wall());
        let client = *self.client_names.get(&weigh.client)?;
        let places = keeping.rules.get(&client).map(|r| r.places.as_slice()).unwrap_or_default();
        let of: BTreeMap<&str, u32> = places.iter().map(|p| (p.name(), p.part)).collect();
        // A rule that is new here has nothing yet, and takes nothing of others'.
        let set = self.own_part(&weigh.client, weigh.set.clone(), weigh.turn);
        let stays = set.rules.iter().filter_map(|r| Some((*of.get(r.name.as_str())?, &r.limits)));
        let stays: Vec<_> = stays.collect();
        let mut out = LossCounts::default();
        let mut looks = LOOKS;
        for (part, limits) in &stays {
            let Some(most) = limits.remembered else { continue };
            let (gone, more) = keeping.names.weigh(now, (client, *part), most, &mut looks);
            out.names += gone.len() as u64;
            out.at_least |= more;
            let told: BTreeSet<u64> = gone.into_iter().filter(|id| keeping.answers.has(now, *id)).collect();
            out.answers += told.len() as u64;
        }
        if let Some(store) = &self.held {
            let known: BTreeSet<u32> = stays.iter().map(|(part, _)| *part).collect();
            let gone = places.iter().filter(|p| !known.contains(&p.part));
            let gone = gone.map(|p| (p.part, PartRoom::default()));
            let rooms: Vec<_> = gone.chain(stays.iter().map(|(part, f)| (*part, room(f)))).collect();
            let held = store.weigh(now, client as u32, &rooms, LOOKS);
            (out.messages, out.octets, out.trails) = (held.messages, held.octets, held.trails);
            out.at_least |= held.more;
        }
        Some(out)
    }
}

//! What is known of a version's trial: whose silence says something of it, and what it is compared with.

use super::{GONE, Pass, Spread, WAVES, Waves, place};
use heronroute_drift::rollout::{Baseline, MAX_LOGGED_RESPONSES, MAX_SKIPS_PER_WAVE};
use heronroute_fleet::Name;
use heronroute_rules::RuleSet;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Of a version on its way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Members of the first wave beside the first: those that were passed over, and whoever stands in for them. They stay in
    /// it, also for the versions that take this one's place: whoever may apply a version is never meant to go back from it.
    pub also: BTreeSet<Name>,
    /// Members that gave word since their wave left: their silence is evidence.
    pub heard: BTreeSet<Name>,
    /// How often members were passed over: of all waves, and of the one that left last.
    pub passes: (usize, usize),
    /// What the wave that left last is compared with.
    pub baseline: Baseline,
}

/// Those of all rollouts, by client.
pub type Trials = BTreeMap<String, Trial>;

impl Trial {
    /// Of the version that takes this one's place.
    pub(super) fn next(self) -> Trial {
        Trial { also: self.also, ..Trial::default() }
    }

    fn sound(&self) -> bool {
        let (all, wave) = self.passes;
        let few = wave <= MAX_SKIPS_PER_WAVE && all <= WAVES * MAX_SKIPS_PER_WAVE;
        few && self.also.len() <= GONE && self.heard.len() <= MAX_LOGGED_RESPONSES && self.baseline.sound()
    }
}

impl Waves {
    /// For a snapshot: they stand apart there, as one from before there were any has none.
    pub(crate) fn trials(&self) -> Trials {
        self.spreads.iter().map(|(client, spread)| (client.clone(), spread.trial.clone())).collect()
    }

    /// Of a snapshot. Those that can't be so are as none.
    pub(crate) fn try_on(&mut self, trials: Trials) {
        for (client, trial) in trials.into_iter().filter(|(_, trial)| trial.sound()) {
            if let Some(spread) = self.spreads.get_mut(&client) {
                spread.trial = trial;
            }
        }
    }

    /// Members gave word. False where that is void.
    pub(crate) fn heard(&mut self, client: &str, version: u64, members: BTreeSet<Name>) -> bool {
        let Some(spread) = self.spreads.get_mut(client) else { return false };
        let heard = &mut spread.trial.heard;
        let void = spread.version != version || spread.wave.is_none() || spread.halted.is_some();
        let new: Vec<Name> = members.difference(heard).cloned().collect();
        if void || new.is_empty() || heard.len() + new.len() > MAX_LOGGED_RESPONSES {
            return false;
        }
        heard.extend(new);
        true
    }

    /// Members are passed over. False where that is void: one of them gave word meanwhile, or it was done too often.
    pub(crate) fn pass(&mut self, pass: &Pass, set: &Arc<RuleSet>) -> bool {
        let Some(spread) = self.spreads.get_mut(&pass.client) else { return false };
        let void = spread.version != pass.version
            || set.version != pass.version
            || spread.halted.is_some()
            || spread.wave != Some(pass.wave)
            || spread.trial.passes.1 >= MAX_SKIPS_PER_WAVE
            || spread.without.len() + pass.members.len() > WAVES * GONE
            || pass.members.is_subset(&spread.without)
            || !pass.members.is_disjoint(&spread.trial.heard);
        if void || pass.wave == 0 && !spread.stand_in(pass.next.as_ref()) {
            return false;
        }
        spread.without.extend(pass.members.iter().cloned());
        spread.trial.passes.0 += 1;
        spread.trial.passes.1 += 1;
        true
    }
}

impl Spread {
    /// The wave that reaches a member; none where the first one was not chosen yet.
    pub fn place(&self, name: &Name, zones: &super::Zones) -> Option<usize> {
        let first = self.first.as_ref()?;
        Some(if self.trial.also.contains(name) { 0 } else { place(first, name, zones) })
    }

    /// The first wave leaves for another member. False where nobody is named, or there is no room.
    fn stand_in(&mut self, next: Option<&Name>) -> bool {
        let (Some(next), Some(first)) = (next, self.first.clone()) else { return false };
        if *next == first || self.trial.also.contains(next) || self.trial.also.len() >= GONE {
            return false;
        }
        // The next wave is its zone then; but where a version before this one reached the zone of the one before, those there
        // must not be meant to go back from that: then that zone stays the next wave.
        let [_, zone, rest] = &self.meant;
        if zone.version == rest.version {
            self.first = Some(next.clone());
            self.trial.also.insert(first);
        } else {
            self.trial.also.insert(next.clone());
        }
        true
    }
}

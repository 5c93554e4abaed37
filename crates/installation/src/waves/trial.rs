//! The evidence of a rollout: which members' silence counts, and what the members are compared with.

use super::{MAX_GONE_MEMBERS, PassOver, Rollout, WAVES, Waves, wave_of};
use heronroute_drift::rollout::{Baseline, MAX_LOGGED_RESPONSES, MAX_SKIPS_PER_WAVE};
use heronroute_fleet::Name;
use heronroute_rules::RuleSet;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The evidence of a version under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Members of the first wave besides the first: those that were passed over, and their replacements. They
    /// stay in it for later versions too: a member that may apply a version must never be made to go back
    /// from it.
    pub first_wave_extras: BTreeSet<Name>,
    /// Members that reported since their wave started: their silence is evidence.
    pub heard: BTreeSet<Name>,
    /// How often members were passed over: in all waves, and in the one that started last.
    pub passes: (usize, usize),
    /// What the wave that started last is compared with.
    pub baseline: Baseline,
}

/// The trials of all rollouts, by client.
pub type Trials = BTreeMap<String, Trial>;

impl Trial {
    /// Returns the trial of the version that replaces this one.
    pub(super) fn for_next_version(self) -> Trial {
        Trial { first_wave_extras: self.first_wave_extras, ..Trial::default() }
    }

    fn is_valid(&self) -> bool {
        let (all, wave) = self.passes;
        let few = wave <= MAX_SKIPS_PER_WAVE && all <= WAVES * MAX_SKIPS_PER_WAVE;
        few && self.first_wave_extras.len() <= MAX_GONE_MEMBERS
            && self.heard.len() <= MAX_LOGGED_RESPONSES
            && self.baseline.sound()
    }
}

impl Waves {
    /// Returns the trials, for a snapshot. They are a separate part of it, as old snapshots have none.
    pub(crate) fn trials(&self) -> Trials {
        self.rollouts.iter().map(|(client, rollout)| (client.clone(), rollout.trial.clone())).collect()
    }

    /// Restores the trials of a snapshot, without those that are not valid.
    pub(crate) fn restore_trials(&mut self, trials: Trials) {
        for (client, trial) in trials.into_iter().filter(|(_, trial)| trial.is_valid()) {
            if let Some(rollout) = self.rollouts.get_mut(&client) {
                rollout.trial = trial;
            }
        }
    }

    /// Records that members reported. Returns false where that is void.
    pub(crate) fn record_reports(&mut self, client: &str, version: u64, members: BTreeSet<Name>) -> bool {
        let Some(rollout) = self.rollouts.get_mut(client) else { return false };
        let reported = &mut rollout.trial.heard;
        let is_void = rollout.version != version || rollout.wave.is_none() || rollout.halted.is_some();
        let new: Vec<Name> = members.difference(reported).cloned().collect();
        if is_void || new.is_empty() || reported.len() + new.len() > MAX_LOGGED_RESPONSES {
            return false;
        }
        reported.extend(new);
        true
    }

    /// Passes members over. Returns false where that is void: one of them reported meanwhile, or it was done
    /// too often.
    pub(crate) fn pass_over(&mut self, pass: &PassOver, set: &Arc<RuleSet>) -> bool {
        let Some(rollout) = self.rollouts.get_mut(&pass.client) else { return false };
        let is_void = rollout.version != pass.version
            || set.version != pass.version
            || rollout.halted.is_some()
            || rollout.wave != Some(pass.wave)
            || rollout.trial.passes.1 >= MAX_SKIPS_PER_WAVE
            || rollout.without.len() + pass.members.len() > WAVES * MAX_GONE_MEMBERS
            || pass.members.is_subset(&rollout.without)
            || !pass.members.is_disjoint(&rollout.trial.heard);
        if is_void || pass.wave == 0 && !rollout.replace_first(pass.next.as_ref()) {
            return false;
        }
        rollout.without.extend(pass.members.iter().cloned());
        rollout.trial.passes.0 += 1;
        rollout.trial.passes.1 += 1;
        true
    }
}

impl Rollout {
    /// Returns the wave of a member; none if the first member was not chosen yet.
    pub fn wave_of(&self, name: &Name, zones: &super::Zones) -> Option<usize> {
        let first = self.first.as_ref()?;
        Some(if self.trial.first_wave_extras.contains(name) { 0 } else { wave_of(first, name, zones) })
    }

    /// Replaces the first member. Returns false if no replacement is named, or there is no room.
    fn replace_first(&mut self, next: Option<&Name>) -> bool {
        let (Some(next), Some(first)) = (next, self.first.clone()) else { return false };
        if *next == first
            || self.trial.first_wave_extras.contains(next)
            || self.trial.first_wave_extras.len() >= MAX_GONE_MEMBERS
        {
            return false;
        }
        // The next wave is then the replacement's zone. But if an earlier version reached the zone of the
        // member before, those members must not be made to go back from it: then that zone stays the next
        // wave.
        let [_, zone, rest] = &self.targets;
        if zone.version == rest.version {
            self.first = Some(next.clone());
            self.trial.first_wave_extras.insert(first);
        } else {
            self.trial.first_wave_extras.insert(next.clone());
        }
        true
    }
}

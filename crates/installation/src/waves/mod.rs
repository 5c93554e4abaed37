//! Rollouts of approved versions in waves: one member, its zone, all. Part of the replicated state.
//!
//! A version that a client submitted is for nobody until the leader starts its first wave, and then for the
//! waves that started. Until its wave starts, a member keeps applying what it was to apply before. Versions
//! cut by a plan, and rollbacks, are for all members at once.
//!
//! The first member is named in the entry, not computed from the settings: the first one by name may be gone,
//! and members' settings may differ while they are changed. The rest of the waves follows from its zone, and
//! from the replacements of first members that were passed over ([`Trial`]).

mod entry;
mod trial;

pub use entry::{Halt, PassOver, Wave};
pub use trial::{Trial, Trials};

use crate::Micros;
use heronroute_drift::detector;
use heronroute_drift::rollout::Baseline;
use heronroute_fleet::Name;
use heronroute_rules::check::plan_violations;
use heronroute_rules::registry::{Desired, Registry};
use heronroute_rules::{RuleSet, limits};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The number of waves of a rollout; a wave may have no members.
pub const WAVES: usize = 3;
/// The most rollouts at once; a version approved beyond that goes to all members at once.
pub const MAX_ROLLOUTS: usize = detector::MAX_ROLLOUTS;
/// The most rolled-back rollouts that are remembered; beyond it the oldest is dropped.
const MAX_ROLLED_BACK: usize = 64;
/// The most members in a list of members that are gone: as many as there can be.
const MAX_GONE_MEMBERS: usize = 512;

/// The zone of each member, by the settings.
pub type Zones = BTreeMap<Name, String>;

/// Returns the wave of a member, without replacements of the first one.
fn wave_of(first: &Name, name: &Name, zones: &Zones) -> usize {
    if first == name {
        return 0;
    }
    let zone = zones.get(first);
    if zone.is_some() && zones.get(name) == zone { 1 } else { 2 }
}

/// All rollouts, and those that were rolled back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waves {
    /// Whether versions go in waves, by the leader's settings.
    enabled: bool,
    rollouts: BTreeMap<String, Rollout>,
    stops: BTreeMap<String, Stop>,
}

/// A rollout under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that is rolled out.
    pub version: u64,
    /// The member of the first wave, once chosen.
    pub first: Option<Name>,
    /// The wave that started last, counted from 0.
    pub wave: Option<usize>,
    /// Members that were gone when their wave started, or were passed over since; they are not waited for.
    pub without: BTreeSet<Name>,
    /// The reason if it was stopped.
    pub halted: Option<String>,
    /// The rules that each wave is to apply.
    pub targets: [Arc<RuleSet>; WAVES],
    /// The rules that all members were to apply last, without a rollout under way: the target of a rollback.
    pub last_stable: Arc<RuleSet>,
    /// The members that reported or were passed over, and the baseline.
    #[serde(skip)]
    pub trial: Trial,
}

/// A rollout that was stopped and rolled back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The version that was rolled out.
    pub version: u64,
    /// The reason.
    pub why: String,
    /// The version with the rules from before.
    pub back: u64,
    /// The time of day when it was rolled back.
    pub at: Micros,
}

impl Waves {
    /// Returns whether versions go in waves.
    pub fn enabled(&self) -> bool {
        self.enabled
    }

    /// Returns the rollout of a client.
    pub fn of(&self, client: &str) -> Option<&Rollout> {
        self.rollouts.get(client)
    }

    /// Returns all rollouts under way, by client.
    pub fn all(&self) -> impl Iterator<Item = (&String, &Rollout)> {
        self.rollouts.iter()
    }

    /// Returns a client's last rollout, if it was rolled back.
    pub fn stop(&self, client: &str) -> Option<&Stop> {
        self.stops.get(client)
    }

    /// Returns all rolled-back rollouts, by client.
    pub fn stops(&self) -> impl Iterator<Item = (&String, &Stop)> {
        self.stops.iter()
    }

    /// Returns whether the value is valid: a decoded value has the same bounds as one built here.
    pub(crate) fn is_valid(&self) -> bool {
        let fits = |one: &Rollout| {
            one.wave.is_none_or(|wave| wave < WAVES) && one.without.len() <= WAVES * MAX_GONE_MEMBERS
        };
        self.rollouts.len() <= MAX_ROLLOUTS
            && self.stops.len() <= MAX_ROLLED_BACK
            && self.rollouts.values().all(fits)
    }

    /// Returns whether any rollout still starts waves.
    pub fn running(&self) -> bool {
        self.rollouts.values().any(|rollout| rollout.halted.is_none())
    }

    /// Returns the rules that a member should apply for a client; none means the desired ones.
    pub fn target(&self, client: &str, name: &Name, zones: &Zones) -> Option<&Arc<RuleSet>> {
        let rollout = self.rollouts.get(client)?;
        rollout.targets.get(rollout.wave_of(name, zones).unwrap_or(WAVES - 1))
    }

    /// Handles a change of what is desired for a client, which had these rules before.
    pub(crate) fn desired_changed(&mut self, before: &Arc<RuleSet>, now: &Desired) {
        let client = &now.client;
        if before.version == now.set.version {
            // Only the plan changed. Where it is stricter than the rules that some members still apply, but
            // not than the new ones, nothing will be cut: those members must not exceed it until their wave
            // starts, so the rollout ends.
            let exceeds_plan = |set: &Arc<RuleSet>| !plan_violations(&set.rules, &now.plan).is_empty();
            if !exceeds_plan(&now.set)
                && self.rollouts.get(client).is_some_and(|one| one.targets.iter().any(exceeds_plan))
            {
                self.rollouts.remove(client);
            }
            return;
        }
        self.stops.remove(client);
        let room = self.rollouts.len() < MAX_ROLLOUTS || self.rollouts.contains_key(client);
        if !self.enabled || now.by_plan || !room {
            self.rollouts.remove(client);
            return;
        }
        let last = self.rollouts.remove(client);
        // The same member is the first again, so that a member that applied more than others stays in the
        // first wave.
        let (first, targets, last_stable, trial) = match last {
            Some(last) => (last.first, last.targets, last.last_stable, last.trial.for_next_version()),
            None => {
                let targets = std::array::from_fn(|_| Arc::clone(before));
                (None, targets, Arc::clone(before), Trial::default())
            }
        };
        let rollout = Rollout {
            version: now.set.version,
            first,
            wave: None,
            without: BTreeSet::new(),
            halted: None,
            targets,
            last_stable,
            trial,
        };
        self.rollouts.insert(client.clone(), rollout);
    }

    /// Switches waves on or off. Returns the clients whose rollouts ended with that.
    pub(crate) fn set_enabled(&mut self, on: bool) -> Vec<String> {
        self.enabled = on;
        if on { Vec::new() } else { std::mem::take(&mut self.rollouts).into_keys().collect() }
    }

    /// Starts a wave. Returns false where that is void: the wave started before, the rollout was stopped, or
    /// another version replaced it.
    pub(crate) fn start_wave(&mut self, wave: &Wave, baseline: Baseline, set: &Arc<RuleSet>) -> bool {
        let Some(rollout) = self.rollouts.get_mut(&wave.client) else { return false };
        let is_void = rollout.version != wave.version
            || set.version != wave.version
            || rollout.halted.is_some()
            || wave.wave >= WAVES
            || wave.without.len() > MAX_GONE_MEMBERS
            || !baseline.sound()
            || rollout.wave.is_some_and(|last| last >= wave.wave);
        if is_void {
            return false;
        }
        rollout.first.get_or_insert_with(|| wave.first.clone());
        rollout.wave = Some(wave.wave);
        rollout.without.extend(wave.without.iter().cloned());
        rollout.trial.passes.1 = 0;
        rollout.trial.baseline = baseline;
        rollout.targets.iter_mut().take(wave.wave + 1).for_each(|target| *target = Arc::clone(set));
        true
    }

    /// Ends a rollout that all members are in line with. Returns false where that is void.
    pub(crate) fn finish(&mut self, client: &str, version: u64) -> bool {
        let fits = |one: &Rollout| one.version == version && one.halted.is_none() && one.wave.is_some();
        self.rollouts.get(client).is_some_and(fits) && self.rollouts.remove(client).is_some()
    }

    /// Stops a rollout, and rolls it back if that is wanted and possible. Returns none where that is void.
    pub(crate) fn halt(
        &mut self,
        registry: &mut Registry,
        wall: Micros,
        halt: &Halt,
    ) -> Option<Vec<Desired>> {
        let rollout = self.rollouts.get_mut(&halt.client)?;
        if rollout.version != halt.version || rollout.halted.is_some() {
            return None;
        }
        let why = limits::shorten(&halt.why, limits::MAX_REASON_CHARS);
        rollout.halted = Some(why.clone());
        let back =
            halt.back.then(|| registry.undo_rollout(wall, &halt.client, halt.version, &rollout.last_stable));
        let changed = back.unwrap_or_default();
        if let Some(desired) = changed.iter().find(|desired| desired.client == halt.client) {
            self.rollouts.remove(&halt.client);
            if self.stops.len() >= MAX_ROLLED_BACK
                && let Some(oldest) =
                    self.stops.iter().min_by_key(|(_, stop)| stop.at).map(|(c, _)| c.clone())
            {
                self.stops.remove(&oldest);
            }
            let stop = Stop { version: halt.version, why, back: desired.set.version, at: wall };
            self.stops.insert(halt.client.clone(), stop);
        }
        Some(changed)
    }
}

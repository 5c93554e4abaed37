//! How far approved versions have gone: one member, its zone, all. Part of what all members hold alike, from the same entries
//! in the same order.
//!
//! A version that a client wished for is meant for nobody until the member in charge has its first wave leave, and then for
//! the waves that left. Until its wave has, a member is meant to apply what it was meant to before. What a plan makes of rules,
//! and what goes back, is for all at once.
//!
//! The first member is named in the entry, not found from the settings alone: the first one by name may be gone, and
//! members' settings may differ while they are changed. All else of the waves follows from its zone, and from who stands in
//! for a first member that was passed over ([`Trial`]).

mod entry;
mod trial;

pub use entry::{Halt, Pass, Wave};
pub use trial::{Trial, Trials};

use crate::Micros;
use heronroute_drift::detector::MAX_ROLLOUTS;
use heronroute_drift::rollout::Baseline;
use heronroute_fleet::Name;
use heronroute_rules::check::plan_violations;
use heronroute_rules::registry::{Desired, Registry};
use heronroute_rules::{RuleSet, limits};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Waves of a rollout, some of which may have nobody.
pub const WAVES: usize = 3;
/// Rollouts at once at most; a version approved beyond that is for all at once.
pub const MOST: usize = MAX_ROLLOUTS;
/// Rollouts that stopped and went back that are known at most; the first that did is let go.
const STOPS: usize = 64;
/// Members named as gone at most, as many as there can be.
const GONE: usize = 512;

/// Members by name, with their zones, as the settings have them.
pub type Zones = BTreeMap<Name, String>;

/// The wave that reaches a member, where nobody stands in for the first.
fn place(first: &Name, name: &Name, zones: &Zones) -> usize {
    if first == name {
        return 0;
    }
    let zone = zones.get(first);
    if zone.is_some() && zones.get(name) == zone { 1 } else { 2 }
}

/// All rollouts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waves {
    /// By the settings of the member in charge.
    on: bool,
    spreads: BTreeMap<String, Spread>,
    stops: BTreeMap<String, Stop>,
}

/// A version on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread {
    /// Which.
    pub version: u64,
    /// The member of the first wave, once one was chosen.
    pub first: Option<Name>,
    /// The wave that left last.
    pub wave: Option<usize>,
    /// Members that were gone when their wave left, or were passed over since, and are not waited for.
    pub without: BTreeSet<Name>,
    /// It was stopped, and why.
    pub halted: Option<String>,
    /// What each wave is meant to apply.
    pub meant: [Arc<RuleSet>; WAVES],
    /// What all were meant to apply last, without a rollout under way: where it goes back to.
    pub proved: Arc<RuleSet>,
    /// Who gave word of it, who was passed over, and what it is compared with.
    #[serde(skip)]
    pub trial: Trial,
}

/// A rollout that stopped and went back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// Of this version.
    pub version: u64,
    /// Why.
    pub why: String,
    /// The version that has the rules from before.
    pub back: u64,
    /// When, by the time of day.
    pub at: Micros,
}

impl Waves {
    /// Whether versions go in waves.
    pub fn on(&self) -> bool {
        self.on
    }

    /// The rollout of a client.
    pub fn of(&self, client: &str) -> Option<&Spread> {
        self.spreads.get(client)
    }

    /// All rollouts, by client.
    pub fn all(&self) -> impl Iterator<Item = (&String, &Spread)> {
        self.spreads.iter()
    }

    /// A client's last rollout, where that stopped and went back.
    pub fn stop(&self, client: &str) -> Option<&Stop> {
        self.stops.get(client)
    }

    /// All that stopped and went back, by client.
    pub fn stops(&self) -> impl Iterator<Item = (&String, &Stop)> {
        self.stops.iter()
    }

    /// Whether it can be so; the bounds hold for what is read as for what is made.
    pub(crate) fn sound(&self) -> bool {
        let fits =
            |one: &Spread| one.wave.is_none_or(|wave| wave < WAVES) && one.without.len() <= WAVES * GONE;
        self.spreads.len() <= MOST && self.stops.len() <= STOPS && self.spreads.values().all(fits)
    }

    /// Waves still leave.
    pub fn running(&self) -> bool {
        self.spreads.values().any(|spread| spread.halted.is_none())
    }

    /// What a member is meant to apply for a client; none: what is desired.
    pub fn meant(&self, client: &str, name: &Name, zones: &Zones) -> Option<&Arc<RuleSet>> {
        let spread = self.spreads.get(client)?;
        spread.meant.get(spread.place(name, zones).unwrap_or(WAVES - 1))
    }

    /// What is desired of a client changed from these rules.
    pub(crate) fn changed(&mut self, before: &Arc<RuleSet>, now: &Desired) {
        let client = &now.client;
        if before.version == now.set.version {
            // The plan alone. Where it is stricter than what some are held at, and not than what the others apply, nothing
            // will be cut: they must not stay beyond it until their wave comes.
            let over = |set: &Arc<RuleSet>| !plan_violations(&set.rules, &now.plan).is_empty();
            if !over(&now.set) && self.spreads.get(client).is_some_and(|one| one.meant.iter().any(over)) {
                self.spreads.remove(client);
            }
            return;
        }
        self.stops.remove(client);
        let room = self.spreads.len() < MOST || self.spreads.contains_key(client);
        if !self.on || now.by_plan || !room {
            self.spreads.remove(client);
            return;
        }
        let last = self.spreads.remove(client);
        // The same member is the first again: so whoever has gone further than others is among them each time.
        let (first, meant, proved, trial) = match last {
            Some(last) => (last.first, last.meant, last.proved, last.trial.next()),
            None => {
                let meant = std::array::from_fn(|_| Arc::clone(before));
                (None, meant, Arc::clone(before), Trial::default())
            }
        };
        let spread = Spread {
            version: now.set.version,
            first,
            wave: None,
            without: BTreeSet::new(),
            halted: None,
            meant,
            proved,
            trial,
        };
        self.spreads.insert(client.clone(), spread);
    }

    /// Versions go in waves from here on, or for all at once. Whose rollouts that ended.
    pub(crate) fn set(&mut self, on: bool) -> Vec<String> {
        self.on = on;
        if on { Vec::new() } else { std::mem::take(&mut self.spreads).into_keys().collect() }
    }

    /// A wave leaves. False where that is void: it left before, it was stopped, or another version took its place.
    pub(crate) fn reach(&mut self, wave: &Wave, baseline: Baseline, set: &Arc<RuleSet>) -> bool {
        let Some(spread) = self.spreads.get_mut(&wave.client) else { return false };
        let void = spread.version != wave.version
            || set.version != wave.version
            || spread.halted.is_some()
            || wave.wave >= WAVES
            || wave.without.len() > GONE
            || !baseline.sound()
            || spread.wave.is_some_and(|last| last >= wave.wave);
        if void {
            return false;
        }
        spread.first.get_or_insert_with(|| wave.first.clone());
        spread.wave = Some(wave.wave);
        spread.without.extend(wave.without.iter().cloned());
        spread.trial.passes.1 = 0;
        spread.trial.baseline = baseline;
        spread.meant.iter_mut().take(wave.wave + 1).for_each(|meant| *meant = Arc::clone(set));
        true
    }

    /// All are in line. False where that is void.
    pub(crate) fn done(&mut self, client: &str, version: u64) -> bool {
        let fits = |one: &Spread| one.version == version && one.halted.is_none() && one.wave.is_some();
        self.spreads.get(client).is_some_and(fits) && self.spreads.remove(client).is_some()
    }

    /// It stops, and goes back where that is wanted and can be done. None where that is void.
    pub(crate) fn halt(
        &mut self,
        registry: &mut Registry,
        wall: Micros,
        halt: &Halt,
    ) -> Option<Vec<Desired>> {
        let spread = self.spreads.get_mut(&halt.client)?;
        if spread.version != halt.version || spread.halted.is_some() {
            return None;
        }
        let why = limits::shorten(&halt.why, limits::MAX_REASON_CHARS);
        spread.halted = Some(why.clone());
        let back = halt.back.then(|| registry.undo_rollout(wall, &halt.client, halt.version, &spread.proved));
        let changed = back.unwrap_or_default();
        if let Some(desired) = changed.iter().find(|desired| desired.client == halt.client) {
            self.spreads.remove(&halt.client);
            if self.stops.len() >= STOPS
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

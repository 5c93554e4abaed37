//! The replicated state: all members compute the same one from the same entries in the same order.

mod body;

pub use body::Body;

use crate::Micros;
use crate::fences::Fences;
use crate::waves::{Trials, Wave, Waves, Zones};
use heronroute_drift::rollout::Baseline;
use heronroute_fleet::{Decided, Name, Term};
use heronroute_region::agreed::{self, RegionLogState};
use heronroute_rules::registry::{Command, Desired, Outcome, Registry};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The largest saved findings of the leader that are kept in the log, in bytes.
pub const MAX_FINDINGS_BYTES: usize = 16 * 1024;

/// The effect of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A command about clients' rules was executed.
    Rules(Outcome),
    /// A member joined.
    Joined,
    /// A term began.
    TermBegan(Term),
    /// Findings were saved, in a term not older than the one before.
    FindingsSaved,
    /// Rollouts of these clients changed.
    RolloutsChanged {
        /// The clients.
        clients: Vec<String>,
        /// What is desired now where a rollout was rolled back: a version with the rules from before.
        changed: Vec<Desired>,
    },
    /// Members' first reports about this client's version were recorded.
    MembersReported {
        /// The client.
        client: String,
    },
    /// A fence was set at a member, or lifted.
    Fenced {
        /// The member with the fence.
        member: Name,
        /// The client whose changes are fenced.
        client: String,
        /// True if it was set, false if it was lifted.
        is_set: bool,
    },
    /// An entry about regions was executed.
    Region(agreed::Effect),
    /// None: the entry can't be read, here as at every other member, or is of an older term.
    Nothing,
}

/// The replicated state of an installation.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    registry: Registry,
    term: Term,
    findings: Vec<u8>,
    waves: Waves,
    fences: Fences,
    agreed: RegionLogState,
    index: u64,
}

#[derive(Serialize, Deserialize)]
struct SnapshotFields {
    registry: Vec<u8>,
    term: Term,
    findings: Vec<u8>,
}

/// Reads the next part of a snapshot. Without any bytes left it is the default: the snapshot is of a version
/// that did not have this part.
fn next_part<T: Default + DeserializeOwned>(rest: &[u8]) -> Option<(T, &[u8])> {
    if rest.is_empty() { Some((T::default(), rest)) } else { postcard::take_from_bytes(rest).ok() }
}

impl Machine {
    /// Returns the clients' rules.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the findings that a leader saved last; empty if there are none.
    pub fn findings(&self) -> &[u8] {
        &self.findings
    }

    /// Returns the rollouts.
    pub fn waves(&self) -> &Waves {
        &self.waves
    }

    /// Returns what a member should apply for a client now.
    pub fn target(&self, client: &str, name: &Name, zones: &Zones) -> Option<Desired> {
        let desired = self.registry.desired(client)?;
        Some(match self.waves.target(client, name, zones) {
            Some(set) => Desired { set: Arc::clone(set), ..desired },
            None => desired,
        })
    }

    /// Returns which clients are fenced at which members.
    pub fn fences(&self) -> &Fences {
        &self.fences
    }

    /// Returns the agreed state of regions.
    pub fn agreed(&self) -> &RegionLogState {
        &self.agreed
    }

    /// Returns the term that began last.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the index of the last entry applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Applies the next entry.
    pub fn apply(&mut self, decided: &Decided) -> Effect {
        self.index = decided.index;
        self.agreed.life_seen(&decided.entry.request.from);
        let Some(body) = Body::unpack(&decided.entry.body) else { return Effect::Nothing };
        // Entries proposed in an older term are void.
        if body.term().is_some_and(|term| term < self.term) {
            return Effect::Nothing;
        }
        let wall = decided.entry.wall;
        let rollouts_changed = |clients| Effect::RolloutsChanged { clients, changed: Vec::new() };
        match body {
            Body::Rules(command) | Body::Settings { command, .. } => {
                Effect::Rules(self.execute(wall, &command))
            }
            Body::Joined => Effect::Joined,
            Body::BeginTerm { term } => {
                self.term = term;
                Effect::TermBegan(term)
            }
            Body::Findings { saved, .. } if saved.len() <= MAX_FINDINGS_BYTES => {
                self.findings = saved;
                Effect::FindingsSaved
            }
            Body::SetWaves { waves, .. } => rollouts_changed(self.waves.set_enabled(waves)),
            Body::StartWaveWithoutBaseline { wave, .. } => self.start_wave(wave, Baseline::default()),
            Body::StartWave { wave, baseline, .. } => self.start_wave(wave, baseline),
            Body::MembersReported { client, version, members, .. } => {
                match self.waves.record_reports(&client, version, members) {
                    true => Effect::MembersReported { client },
                    false => Effect::Nothing,
                }
            }
            Body::PassOver { pass, .. } => {
                let set = self.registry.desired(&pass.client).map(|desired| desired.set);
                match set.is_some_and(|set| self.waves.pass_over(&pass, &set)) {
                    true => rollouts_changed(vec![pass.client]),
                    false => Effect::Nothing,
                }
            }
            Body::FinishRollout { client, version, .. } if self.waves.finish(&client, version) => {
                rollouts_changed(vec![client])
            }
            Body::Halt { halt, .. } => match self.waves.halt(&mut self.registry, wall, &halt) {
                Some(changed) => Effect::RolloutsChanged { clients: vec![halt.client], changed },
                None => Effect::Nothing,
            },
            Body::Fence { member, client, is_set, .. } => match self.fences.set(&member, &client, is_set) {
                true => Effect::Fenced { member, client, is_set },
                false => Effect::Nothing,
            },
            Body::Region(command) => Effect::Region(self.agreed.apply(&command)),
            Body::Findings { .. } | Body::FinishRollout { .. } => Effect::Nothing,
        }
    }

    fn start_wave(&mut self, wave: Wave, baseline: Baseline) -> Effect {
        let set = self.registry.desired(&wave.client).map(|desired| desired.set);
        match set.is_some_and(|set| self.waves.start_wave(&wave, baseline, &set)) {
            true => Effect::RolloutsChanged { clients: vec![wave.client], changed: Vec::new() },
            false => Effect::Nothing,
        }
    }

    /// Executes a command and updates the rollouts: only a version that the command's own client submitted
    /// goes in waves.
    fn execute(&mut self, wall: Micros, command: &Command) -> Outcome {
        let own = command.client();
        let mut before =
            own.and_then(|client| self.registry.desired(client)).map(|d| d.set).unwrap_or_default();
        let outcome = self.registry.apply(wall, command);
        for desired in &outcome.changed {
            if Some(desired.client.as_str()) == own {
                self.waves.desired_changed(&before, desired);
                before = Arc::clone(&desired.set);
            } else {
                // A cut by a plan that was due.
                self.waves.desired_changed(&Arc::default(), desired);
            }
        }
        outcome
    }

    /// Encodes the state, for [`heronroute_fleet::replicas::Replicas::snapshot`].
    pub fn snapshot(&self) -> Vec<u8> {
        let fields = SnapshotFields {
            registry: self.registry.snapshot(),
            term: self.term,
            findings: self.findings.clone(),
        };
        let mut bytes = postcard::to_stdvec(&fields).unwrap_or_default();
        // Appended in the order in which they were introduced: a snapshot from before there were waves,
        // fences, trials or regions ends earlier.
        bytes.extend(postcard::to_stdvec(&self.waves).unwrap_or_default());
        bytes.extend(postcard::to_stdvec(&self.fences).unwrap_or_default());
        bytes.extend(postcard::to_stdvec(&self.waves.trials()).unwrap_or_default());
        bytes.extend(postcard::to_stdvec(&self.agreed).unwrap_or_default());
        bytes
    }

    /// Restores the state after entry `index`; the state before the first entry has no bytes. Returns false,
    /// and changes nothing, where the bytes are not a valid snapshot.
    pub fn restore(&mut self, index: u64, bytes: &[u8]) -> bool {
        if index == 0 && bytes.is_empty() {
            *self = Machine::default();
            return true;
        }
        let Ok((fields, rest)) = postcard::take_from_bytes::<SnapshotFields>(bytes) else { return false };
        let Ok(registry) = Registry::restore(&fields.registry) else { return false };
        let Some((mut waves, rest)) = next_part::<Waves>(rest) else { return false };
        let Some((fences, rest)) = next_part::<Fences>(rest) else { return false };
        let Some((trials, rest)) = next_part::<Trials>(rest) else { return false };
        let Some((agreed, _)) = next_part::<RegionLogState>(rest) else { return false };
        waves.restore_trials(trials);
        if !waves.is_valid() || !agreed.sound() {
            return false;
        }
        *self =
            Machine { registry, term: fields.term, findings: fields.findings, waves, fences, agreed, index };
        true
    }
}

#[cfg(test)]
mod tests;

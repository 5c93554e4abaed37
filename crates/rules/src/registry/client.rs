//! The versions of one client's rules.

use super::outcome::{Desired, Reply};
use crate::Micros;
use crate::check::{self, Cut, Finding, Findings};
use crate::digest::Digest;
use crate::limits;
use crate::model::{Plan, Rule, RuleSet};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// One client: its plan, its versions and its recent requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Client {
    pub plan: Arc<Plan>,
    pub plan_digest: Digest,
    /// Whether the last plan could be read. If not, the one before it stays, and nothing is changed or cut
    /// under it.
    pub plan_usable: bool,
    /// When the client was removed from the settings. It stays known for its last version number, which must
    /// not be reused.
    pub dropped: Option<Micros>,
    /// The last version number assigned.
    pub last_version: u64,
    /// The desired version; 0: none yet.
    pub current: u64,
    pub versions: BTreeMap<u64, Version>,
    /// The original form of those desired rules whose limits a plan lowered.
    pub reduced: Vec<Rule>,
    /// The original form of rules that a plan removed.
    pub removed: Vec<Rule>,
    /// When rules that exceed the plan are cut.
    pub cut_at: Option<Micros>,
    /// The times of the client's changes within the last hour.
    pub changes: VecDeque<Micros>,
    pub requests: VecDeque<AnsweredRequest>,
}

/// One version of the rules, and how it was created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Version {
    pub set: Arc<RuleSet>,
    pub stage: Stage,
    pub origin: Origin,
    /// The version that was desired when this one was submitted.
    pub base: u64,
    pub at: Micros,
    /// The operator who decided; empty: no decision was needed.
    pub by: String,
    pub bytes: u64,
}

/// The stage of a version. Drafts are not stored; they stay with the client ([`crate::json::Draft`]).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Stage {
    /// Submitted; waits for an operator.
    Waiting,
    /// Approved and in effect.
    Desired,
    /// Approved, then replaced by a later version.
    Superseded,
    /// Approved by an operator after another version: it is in effect merged with that one, under another
    /// number.
    Merged(u64),
    /// Rejected, with the reason.
    Rejected(String),
}

/// What created a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Origin {
    Client,
    /// A rollback to an earlier version.
    RollBack(u64),
    /// Cut to a plan, or restored by one.
    Plan,
    Dropped,
}

/// A request that created a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AnsweredRequest {
    pub request: Digest,
    pub content: Digest,
    pub version: u64,
    /// The stage of the version when it was removed.
    pub removed_stage: Option<Stage>,
}

impl Client {
    /// Returns the desired rules; version 0 without rules if there never were any.
    pub(super) fn set(&self) -> Arc<RuleSet> {
        self.versions.get(&self.current).map_or_else(Arc::default, |v| v.set.clone())
    }

    pub(super) fn desired(&self, name: &str, destroys: bool) -> Desired {
        let origin = self.versions.get(&self.current).map(|v| v.origin);
        let by_plan = matches!(origin, Some(Origin::Plan | Origin::Dropped));
        Desired { client: name.into(), set: self.set(), plan: self.plan.clone(), destroys, by_plan }
    }

    /// Returns the rules of a version that is or was in effect.
    pub(super) fn approved(&self, version: u64) -> Option<Arc<RuleSet>> {
        if version == 0 {
            return Some(Arc::default());
        }
        let found = self.versions.get(&version)?;
        matches!(found.stage, Stage::Desired | Stage::Superseded).then(|| found.set.clone())
    }

    /// Returns the rules in effect and those that plans reduced or removed.
    pub(super) fn cut(&self) -> Cut {
        Cut { rules: self.set().rules.clone(), reduced: self.reduced.clone(), removed: self.removed.clone() }
    }

    pub(super) fn bytes(&self) -> u64 {
        let versions: u64 = self.versions.values().map(|v| v.bytes).sum();
        versions + check::octets(&self.reduced) + check::octets(&self.removed)
    }

    /// Returns when the rules are to be cut, if they can be.
    pub(super) fn due(&self) -> Option<Micros> {
        self.cut_at.filter(|_| self.plan_usable && self.dropped.is_none())
    }

    /// Adds a waiting version. Version numbers are never reused, so that a number always stands for the same
    /// content.
    pub(super) fn add_version(&mut self, rules: Vec<Rule>, origin: Origin, at: Micros) -> u64 {
        self.last_version += 1;
        let bytes = check::octets(&rules) + 64;
        let set = Arc::new(RuleSet { version: self.last_version, rules });
        let (base, by) = (self.current, String::new());
        self.versions
            .insert(self.last_version, Version { set, stage: Stage::Waiting, origin, base, at, by, bytes });
        self.last_version
    }

    /// Makes a version the desired one.
    pub(super) fn make_desired(&mut self, name: &str, version: u64, by: &str, changed: &mut Vec<Desired>) {
        let old = self.set();
        let Some(found) = self.versions.get_mut(&version) else { return };
        found.stage = Stage::Desired;
        found.by = limits::shorten(by, limits::MAX_CLIENT_NAME_BYTES);
        let (new, origin) = (found.set.clone(), found.origin);
        if let Some(was) = self.versions.get_mut(&self.current) {
            was.stage = Stage::Superseded;
        }
        self.current = version;
        match origin {
            // The client's new rules replace the old ones. Rules that it left as the plan had cut them are
            // still wanted in full.
            Origin::Client if !new.rules.is_empty() => {
                let same = |name: &str| {
                    let find = |set: &RuleSet| set.rules.iter().find(|r| r.name == name).cloned();
                    find(&old) == find(&new)
                };
                self.reduced.retain(|r| same(&r.name));
                let replaced = |r: &Rule| {
                    let conflicts =
                        |n: &Rule| n.name == r.name || (n.to == r.to && n.class == r.class && n.key == r.key);
                    new.rules.iter().any(conflicts)
                };
                self.removed.retain(|r| !replaced(r));
            }
            Origin::Plan => {}
            Origin::Client | Origin::RollBack(_) | Origin::Dropped => {
                self.reduced.clear();
                self.removed.clear();
            }
        }
        self.cut_at = None;
        changed.push(self.desired(name, check::destroys(&old.rules, &new.rules)));
        self.trim(limits::MAX_VERSIONS);
    }

    /// Removes the oldest versions until `most` are left, except for those that are desired, wait, or are the
    /// base of a waiting one.
    pub(super) fn trim(&mut self, most: usize) {
        let waiting = self.versions.iter().filter(|(_, v)| v.stage == Stage::Waiting);
        let mut keep: Vec<u64> = waiting.flat_map(|(number, v)| [*number, v.base]).collect();
        keep.push(self.current);
        let mut over = self.versions.len().saturating_sub(most);
        let old: Vec<u64> = self.versions.keys().copied().filter(|v| !keep.contains(v)).collect();
        for version in old {
            if over == 0 {
                break;
            }
            over -= 1;
            let Some(removed) = self.versions.remove(&version) else { continue };
            for request in self.requests.iter_mut().filter(|r| r.version == version) {
                request.removed_stage = Some(removed.stage.clone());
            }
        }
    }

    pub(super) fn waiting(&self) -> usize {
        self.versions.values().filter(|v| v.stage == Stage::Waiting).count()
    }

    /// Returns the answer about a version.
    pub(super) fn reply_for(&self, version: u64, removed_stage: Option<&Stage>) -> Reply {
        match self.versions.get(&version).map(|v| &v.stage).or(removed_stage) {
            Some(Stage::Waiting) => Reply::Waiting { version },
            Some(Stage::Desired | Stage::Superseded) => Reply::Approved { version },
            Some(Stage::Merged(into)) => Reply::Approved { version: *into },
            Some(Stage::Rejected(why)) => {
                let findings = Findings::one(Finding::new("", "", "", "", why));
                Reply::Refused { version: Some(version), findings }
            }
            None => Reply::Unknown,
        }
    }
}

//! One client's rules through their versions.

use super::outcome::{Desired, Reply};
use crate::Micros;
use crate::check::{self, Cut, Finding, Findings};
use crate::digest::Digest;
use crate::limits;
use crate::model::{Plan, Rule, RuleSet};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Client {
    pub plan: Arc<Plan>,
    pub plan_digest: Digest,
    /// The last plan could be read; else it is the one before, and nothing is changed or cut by it.
    pub plan_usable: bool,
    /// The settings have it no more, since then. It stays known for its last version, which must not be given again.
    pub dropped: Option<Micros>,
    /// The last version number given.
    pub last_version: u64,
    /// The desired version; 0: none yet.
    pub current: u64,
    pub versions: BTreeMap<u64, Version>,
    /// Of the desired rules, those that a plan made smaller, as they were wanted.
    pub reduced: Vec<Rule>,
    /// Rules that a plan took out whole, as they were wanted.
    pub removed: Vec<Rule>,
    /// What is beyond the plan is cut then.
    pub cut_at: Option<Micros>,
    /// When the client changed something, within the last hour.
    pub changes: VecDeque<Micros>,
    pub requests: VecDeque<AnsweredRequest>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Version {
    pub set: Arc<RuleSet>,
    pub stage: Stage,
    pub origin: Origin,
    /// The version that was desired when it was submitted.
    pub base: u64,
    pub at: Micros,
    /// The operator who decided; empty: none had to.
    pub by: String,
    pub bytes: u64,
}

/// Where a version stands. Drafts and checked drafts are with the client, as [`crate::json::Draft`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Stage {
    /// Submitted, for an operator to decide.
    Waiting,
    /// Approved, and what holds.
    Desired,
    /// Approved once.
    Superseded,
    /// An operator approved it after another: it holds joined with that one, under another number.
    Merged(u64),
    Rejected(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Origin {
    Client,
    Back(u64),
    /// Cut to a plan, or brought back by one.
    Plan,
    Dropped,
}

/// A request that made a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AnsweredRequest {
    pub request: Digest,
    pub content: Digest,
    pub version: u64,
    /// Where the version stood when it was let go.
    pub removed_stage: Option<Stage>,
}

impl Client {
    /// What is desired: no rules at version 0 where nothing ever was.
    pub(super) fn set(&self) -> Arc<RuleSet> {
        self.versions.get(&self.current).map_or_else(Arc::default, |v| v.set.clone())
    }

    pub(super) fn desired(&self, name: &str, destroys: bool) -> Desired {
        let origin = self.versions.get(&self.current).map(|v| v.origin);
        let by_plan = matches!(origin, Some(Origin::Plan | Origin::Dropped));
        Desired { client: name.into(), set: self.set(), plan: self.plan.clone(), destroys, by_plan }
    }

    /// The rules of a version that holds or held.
    pub(super) fn approved(&self, version: u64) -> Option<Arc<RuleSet>> {
        if version == 0 {
            return Some(Arc::default());
        }
        let found = self.versions.get(&version)?;
        matches!(found.stage, Stage::Desired | Stage::Superseded).then(|| found.set.clone())
    }

    /// What holds and what plans took of it.
    pub(super) fn cut(&self) -> Cut {
        Cut { rules: self.set().rules.clone(), reduced: self.reduced.clone(), removed: self.removed.clone() }
    }

    pub(super) fn bytes(&self) -> u64 {
        let versions: u64 = self.versions.values().map(|v| v.bytes).sum();
        versions + check::octets(&self.reduced) + check::octets(&self.removed)
    }

    /// When it is to be cut, if nothing stands in the way.
    pub(super) fn due(&self) -> Option<Micros> {
        self.cut_at.filter(|_| self.plan_usable && self.dropped.is_none())
    }

    /// Adds a version that waits. The numbers never come again, so that one number has one content for ever.
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
        found.by = limits::short(by, limits::CLIENT);
        let (new, origin) = (found.set.clone(), found.origin);
        if let Some(was) = self.versions.get_mut(&self.current) {
            was.stage = Stage::Superseded;
        }
        self.current = version;
        match origin {
            // A new wish takes the place of the old one; what it leaves as the plan left it is still wanted whole.
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
            Origin::Client | Origin::Back(_) | Origin::Dropped => {
                self.reduced.clear();
                self.removed.clear();
            }
        }
        self.cut_at = None;
        changed.push(self.desired(name, check::destroys(&old.rules, &new.rules)));
        self.trim(limits::MAX_VERSIONS);
    }

    /// Lets the oldest versions go down to `most`, but for those that hold, wait, or are what a waiting one was built on.
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
            for request in self.requests.iter_mut().filter(|k| k.version == version) {
                request.removed_stage = Some(removed.stage.clone());
            }
        }
    }

    pub(super) fn waiting(&self) -> usize {
        self.versions.values().filter(|v| v.stage == Stage::Waiting).count()
    }

    /// What is answered of a version.
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

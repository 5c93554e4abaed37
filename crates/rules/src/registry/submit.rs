//! Drafts and rollbacks that become versions.

use super::client::{AnsweredRequest, Client, Origin, Stage};
use super::merge::merge;
use super::outcome::{Desired, Reply};
use crate::Micros;
use crate::check::{check, octets};
use crate::digest::{Digest, digest_parts, rules_digest};
use crate::limits;
use crate::model::{Rule, RuleSet};

const HOUR: Micros = 3_600_000_000;

/// The context in which a client is changed.
pub(super) struct ChangeContext<'a> {
    pub name: &'a str,
    pub clock: Micros,
    /// The bytes that versions of this client may take, given the size of all others.
    pub bytes_available: u64,
    pub changed: &'a mut Vec<Desired>,
}

/// A change that passed its checks.
struct Change {
    request: Digest,
    content: Digest,
    rules: Vec<Rule>,
    origin: Origin,
}

impl Client {
    pub(super) fn submit(
        &mut self,
        request: Digest,
        base: u64,
        rules: &[Rule],
        context: ChangeContext<'_>,
    ) -> Reply {
        let content = digest_parts("content", &[&base.to_be_bytes(), &rules_digest(rules)]);
        if let Some(reply) = self.earlier_reply(request, content).or_else(|| self.unavailable()) {
            return reply;
        }
        let findings = check(rules, &self.plan);
        if !findings.is_empty() {
            return Reply::Refused { version: None, findings };
        }
        let mut rules = rules.to_vec();
        rules.sort_by(|a, b| a.name.cmp(&b.name));
        let rules = match self.merge_with_current(base, rules) {
            Ok(rules) => rules,
            Err(reply) => return reply,
        };
        self.propose(Change { request, content, rules, origin: Origin::Client }, context)
    }

    pub(super) fn roll_back(&mut self, request: Digest, version: u64, context: ChangeContext<'_>) -> Reply {
        let content = digest_parts("back to", &[&version.to_be_bytes()]);
        if let Some(reply) = self.earlier_reply(request, content).or_else(|| self.unavailable()) {
            return reply;
        }
        let Some(set) = self.approved(version).filter(|_| version > 0) else { return Reply::Unknown };
        let findings = check(&set.rules, &self.plan);
        if !findings.is_empty() {
            return Reply::Refused { version: None, findings };
        }
        let origin = Origin::RollBack(version);
        self.propose(Change { request, content, rules: set.rules.clone(), origin }, context)
    }

    /// Rolls back from the version in effect to earlier rules, as a new version. It neither counts as a
    /// change of the client nor needs an operator, since these rules were approved before. Returns false if
    /// another version is in effect by now, or if the plan no longer allows the rules.
    pub(super) fn undo_rollout(&mut self, version: u64, to: &RuleSet, context: ChangeContext<'_>) -> bool {
        if version != self.current || self.unavailable().is_some() || !check(&to.rules, &self.plan).is_empty()
        {
            return false;
        }
        if self.bytes() + octets(&to.rules) + 64 > context.bytes_available {
            self.trim(1);
        }
        let back = self.add_version(to.rules.clone(), Origin::RollBack(to.version), context.clock);
        self.make_desired(context.name, back, "", context.changed);
        true
    }

    /// Returns the answer to a request that was answered before.
    fn earlier_reply(&self, request: Digest, content: Digest) -> Option<Reply> {
        let earlier = self.requests.iter().find(|r| r.request == request)?;
        if earlier.content != content {
            return Some(Reply::refused("request", "", "another name", "another request had this name"));
        }
        Some(self.reply_for(earlier.version, earlier.removed_stage.as_ref()))
    }

    /// Returns a refusal if nothing can be changed now.
    pub(super) fn unavailable(&self) -> Option<Reply> {
        if self.dropped.is_some() {
            return Some(Reply::refused("plan", "none", "", "the settings give this client no plan"));
        }
        let why = "the plan can't be read: what is approved stays, and nothing can be approved";
        (!self.plan_usable).then(|| Reply::refused("plan", "", "", why))
    }

    /// Merges rules edited on `base` with what was approved since.
    pub(super) fn merge_with_current(&self, base: u64, rules: Vec<Rule>) -> Result<Vec<Rule>, Reply> {
        let now = self.set();
        let version = self.current;
        if base == version {
            return Ok(rules);
        }
        let Some(base_rules) = self.approved(base) else {
            let differs = |r: &&Rule| !now.rules.contains(r);
            let rules = rules.iter().filter(differs).map(|r| r.name.clone()).collect();
            return Err(Reply::Conflict { version, rules, why: format!("version {base} is not kept") });
        };
        let merged = merge(&base_rules.rules, &now.rules, &rules).map_err(|rules| {
            let why = format!("changed since version {base}; begin again from version {version}");
            Reply::Conflict { version, rules, why }
        })?;
        let findings = check(&merged, &self.plan);
        if let Some(first) = findings.list.first() {
            // The rules of each editor are valid by themselves, but not together.
            let mut rules: Vec<String> = findings.list.iter().map(|f| f.rule.clone()).collect();
            rules.sort_unstable();
            rules.dedup();
            let why = format!("together with version {version}: {}", first.why);
            return Err(Reply::Conflict { version, rules, why });
        }
        Ok(merged)
    }

    fn propose(&mut self, change: Change, context: ChangeContext<'_>) -> Reply {
        let Change { request, content, rules, origin } = change;
        let now = self.set();
        if rules == now.rules {
            if rules.is_empty() {
                // The client wants no rules, so none are to be restored either.
                self.reduced.clear();
                self.removed.clear();
            }
            return Reply::Approved { version: self.current };
        }
        let is_same = |v: &super::client::Version| v.stage == Stage::Waiting && v.base == self.current;
        let duplicate = self.versions.iter().find(|(_, v)| is_same(v) && v.set.rules == rules);
        if let Some((version, _)) = duplicate {
            return Reply::Waiting { version: *version };
        }
        if let Some(reply) = self.limit_exceeded(&rules, &context) {
            return reply;
        }
        self.changes.push_back(context.clock);
        let version = self.add_version(rules, origin, context.clock);
        if self.requests.len() >= limits::MAX_REMEMBERED_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(AnsweredRequest { request, content, version, removed_stage: None });
        if self.plan.approval {
            self.trim(limits::MAX_VERSIONS + limits::MAX_WAITING_VERSIONS);
            return Reply::Waiting { version };
        }
        self.make_desired(context.name, version, "", context.changed);
        Reply::Approved { version }
    }

    /// Returns a refusal if the change rate, the number of waiting versions or the size is exceeded.
    fn limit_exceeded(&mut self, rules: &[Rule], context: &ChangeContext<'_>) -> Option<Reply> {
        while self.changes.front().is_some_and(|at| *at <= context.clock.saturating_sub(HOUR)) {
            self.changes.pop_front();
        }
        let most = (self.plan.changes_an_hour as usize).min(limits::MAX_CHANGES_AN_HOUR);
        if self.changes.len() >= most {
            let why = "as many changes as an hour may have";
            return Some(Reply::refused("changes_an_hour", &most.to_string(), "later", why));
        }
        if self.plan.approval && self.waiting() >= limits::MAX_WAITING_VERSIONS {
            let why = "as many versions wait for an operator as may";
            return Some(Reply::refused("", &limits::MAX_WAITING_VERSIONS.to_string(), "later", why));
        }
        let bytes_needed = octets(rules) + 64;
        if self.bytes() + bytes_needed > context.bytes_available {
            // The client's history is dropped before a change is refused.
            self.trim(1);
        }
        (self.bytes() + bytes_needed > context.bytes_available)
            .then(|| Reply::refused("", "", "later", "no room for more rules"))
    }
}

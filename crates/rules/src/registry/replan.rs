//! Changes of a plan under approved rules.

use super::client::{Client, Origin};
use super::outcome::Reply;
use super::submit::ChangeContext;
use crate::check::{self, Cut, covers, cut, is_usable, restore};
use crate::digest::Digest;
use crate::model::Plan;
use std::sync::Arc;

impl Client {
    pub(super) fn replan(
        &mut self,
        plan: Option<&Plan>,
        digest: Digest,
        context: ChangeContext<'_>,
    ) -> Reply {
        let Some(plan) = plan.filter(|p| is_usable(p)) else {
            self.plan_usable = false;
            return Reply::Done;
        };
        if self.plan_usable && self.dropped.is_none() && self.plan_digest == digest && *self.plan == *plan {
            return Reply::Done;
        }
        let lower = !covers(plan, &self.plan);
        self.plan = Arc::new(plan.clone());
        (self.plan_digest, self.plan_usable, self.dropped) = (digest, true, None);
        let ChangeContext { name, clock, changed, .. } = context;
        if check::plan_violations(&self.set().rules, plan).is_empty() {
            self.cut_at = None;
            let back = restore(&self.cut(), plan);
            if self.apply_cut(back, &mut ChangeContext { name, clock, bytes_available: 0, changed }) {
                return Reply::Done;
            }
        } else if lower || self.cut_at.is_none() {
            // New violations get the whole grace period; a plan that only allows more does not extend it.
            self.cut_at = Some(clock.saturating_add(plan.grace));
        }
        changed.push(self.desired(name, false));
        self.cut_if_due(ChangeContext { name, clock, bytes_available: 0, changed });
        Reply::Done
    }

    /// Cuts the rules to the plan if the grace period is over.
    pub(super) fn cut_if_due(&mut self, mut context: ChangeContext<'_>) {
        if self.due().is_some_and(|at| at <= context.clock) {
            self.cut_at = None;
            let cut = restore(&cut(&self.cut(), &self.plan), &self.plan);
            self.apply_cut(cut, &mut context);
        }
    }

    /// Adopts what a plan leaves of the rules, as a new version. Returns false if the rules do not change.
    fn apply_cut(&mut self, to: Cut, context: &mut ChangeContext<'_>) -> bool {
        (self.reduced, self.removed) = (to.reduced, to.removed);
        if to.rules == self.set().rules {
            return false;
        }
        let version = self.add_version(to.rules, Origin::Plan, context.clock);
        self.make_desired(context.name, version, "", context.changed);
        true
    }

    /// Handles the removal of the client from the settings: no rules stay in effect, and only the last
    /// version is kept.
    pub(super) fn drop_all(&mut self, context: ChangeContext<'_>) -> Reply {
        if self.dropped.is_some() {
            return Reply::Done;
        }
        let had_rules = !self.set().rules.is_empty();
        self.dropped = Some(context.clock);
        self.plan = Arc::default();
        (self.plan_digest, self.plan_usable, self.cut_at) = (Digest::default(), false, None);
        self.changes.clear();
        self.requests.clear();
        if had_rules {
            let version = self.add_version(Vec::new(), Origin::Dropped, context.clock);
            self.make_desired(context.name, version, "", context.changed);
        } else {
            context.changed.push(self.desired(context.name, false));
        }
        self.versions.retain(|version, _| *version == self.current);
        self.reduced.clear();
        self.removed.clear();
        Reply::Done
    }
}

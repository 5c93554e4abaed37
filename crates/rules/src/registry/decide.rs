//! Operators' decisions on waiting versions.

use super::client::{Client, Stage};
use super::outcome::Reply;
use super::submit::ChangeContext;
use crate::check::check;
use crate::limits;

impl Client {
    pub(super) fn approve(&mut self, version: u64, by: &str, context: ChangeContext<'_>) -> Reply {
        let Some(found) = self.versions.get(&version) else { return Reply::Unknown };
        if found.stage != Stage::Waiting {
            return self.reply_for(version, None);
        }
        let (set, base, origin) = (found.set.clone(), found.base, found.origin);
        if let Some(reply) = self.unavailable() {
            return reply;
        }
        // The plan may have changed since the version was submitted.
        let findings = check(&set.rules, &self.plan);
        if let Some(first) = findings.list.first() {
            let why = format!("beyond the plan: {}", first.why);
            self.reject(version, by, &why);
            return Reply::Refused { version: Some(version), findings };
        }
        if base == self.current {
            self.make_desired(context.name, version, by, context.changed);
            return Reply::Approved { version };
        }
        match self.merge_with_current(base, set.rules.clone()) {
            Err(reply) => {
                self.reject(version, by, &format!("another version ({}) came before it", self.current));
                reply
            }
            Ok(rules) if rules == self.set().rules => {
                self.stage(version, by, Stage::Merged(self.current));
                Reply::Approved { version: self.current }
            }
            Ok(rules) => {
                // The waiting number identifies what the operator saw, so the merged rules need a number of
                // their own.
                let merged_version = self.add_version(rules, origin, context.clock);
                self.stage(version, by, Stage::Merged(merged_version));
                self.make_desired(context.name, merged_version, by, context.changed);
                Reply::Approved { version: merged_version }
            }
        }
    }

    pub(super) fn refuse(&mut self, version: u64, by: &str, why: &str) -> Reply {
        match self.versions.get(&version) {
            None => return Reply::Unknown,
            Some(found) if found.stage == Stage::Waiting => self.reject(version, by, why),
            Some(_) => {}
        }
        self.reply_for(version, None)
    }

    fn reject(&mut self, version: u64, by: &str, why: &str) {
        self.stage(version, by, Stage::Rejected(limits::shorten(why, limits::MAX_REASON_CHARS)));
        self.trim(limits::MAX_VERSIONS + limits::MAX_WAITING_VERSIONS);
    }

    fn stage(&mut self, version: u64, by: &str, stage: Stage) {
        if let Some(found) = self.versions.get_mut(&version) {
            found.stage = stage;
            found.by = limits::shorten(by, limits::MAX_CLIENT_NAME_BYTES);
        }
    }
}

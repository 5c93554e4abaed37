//! The published state of members and rollouts.

use super::Detector;
use super::assess::assess;
use crate::Micros;
use crate::report::Verdict;
use crate::rollout::Phase;
use crate::view::{MemberLine, RolloutLine};
use heronroute_fleet::Term;

impl Detector {
    /// Returns the term of this keeper.
    pub fn current_term(&self) -> Term {
        self.leadership.term()
    }

    /// Returns the current verdict on a member, also if no tick came since its report became outdated.
    pub fn verdict(&self, now: Micros, name: &heronroute_fleet::Name) -> Option<Verdict> {
        let member = self.members.get(name)?;
        if !self.is_leading(now) {
            return Some(Verdict::NotReporting);
        }
        if member.published.verdict != Verdict::InLine {
            return Some(member.published.verdict);
        }
        Some(assess(now, name, member, &self.desired_state.of(name), &self.rollouts, &self.config).verdict)
    }

    pub(crate) fn member_lines(&self, now: Micros, known: bool) -> Vec<MemberLine> {
        let line = |(name, member): (&heronroute_fleet::Name, &super::member::Member)| {
            let published = &member.published;
            let verdict = self.verdict(now, name).unwrap_or(Verdict::NotReporting);
            let as_shown = known && verdict == published.verdict;
            MemberLine {
                name: name.clone(),
                verdict,
                version: published.version,
                client: published.client.clone(),
                since: if as_shown { published.since } else { now }.saturating_add(self.config.wall),
                seen_by: self.config.own_name.clone(),
                term: self.leadership.term(),
                reason: if known { published.reason.clone() } else { Some("not known".to_owned()) },
                partly: published
                    .client
                    .as_ref()
                    .and_then(|client| member.partly.get(client))
                    .copied()
                    .filter(|_| as_shown && verdict == Verdict::PartlyApplied),
            }
        };
        self.members.iter().map(line).collect()
    }

    pub(crate) fn rollout_lines(&self) -> Vec<RolloutLine> {
        let line = |rollout: &crate::Rollout| {
            let (state, reason) = match rollout.phase() {
                Phase::Running => ("running", None),
                Phase::Stopped(why) => ("stopped", Some(why.to_string())),
                Phase::Done => return None,
            };
            let plan = rollout.plan();
            Some(RolloutLine {
                client: plan.client.clone(),
                version: plan.version,
                state: state.to_owned(),
                reason,
            })
        };
        self.rollouts.values().filter_map(line).collect()
    }
}

//! Derives the verdict on a member from what is known about it.

use super::desired::{Deviation, MemberTarget};
use super::member::Member;
use super::{Config, Rollouts};
use crate::Micros;
use crate::report::{PartlyApplied, Verdict};
use crate::rollout::Phase;
use crate::tree::{Difference, diff};
use heronroute_fleet::{Name, Standing};

/// The maximum number of differences examined for a verdict. It is enough to act on and bounds the cost.
pub(super) const MAX_DIFFERENCES: usize = 32;

/// The number of unanswered challenges from which a member no longer counts as in line.
const MAX_UNANSWERED: u8 = 3;

#[derive(Clone, Debug)]
pub(super) struct Assessment {
    pub(super) verdict: Verdict,
    pub(super) reason: Option<String>,
    pub(super) client: Option<String>,
    pub(super) version: u64,
    /// The next time at which the verdict may change without an event.
    pub(super) recheck_at: Option<Micros>,
    /// The clients to repair.
    pub(super) repair: Vec<String>,
    /// The member differs, and not all of the differences are known.
    pub(super) unknown: bool,
}

impl Assessment {
    fn of(verdict: Verdict, reason: Option<String>) -> Self {
        Assessment {
            verdict,
            reason,
            client: None,
            version: 0,
            recheck_at: None,
            repair: Vec::new(),
            unknown: false,
        }
    }
}

pub(super) fn assess(
    now: Micros,
    name: &Name,
    member: &Member,
    target: &MemberTarget,
    rollouts: &Rollouts,
    config: &Config,
) -> Assessment {
    let silent = |why: &str| Assessment::of(Verdict::NotReporting, Some(why.to_owned()));
    let mut until = Micros::MAX;
    match member.standing {
        Standing::Dead => return silent("it is gone"),
        Standing::Suspect => until = member.standing_since.saturating_add(config.suspect_for),
        Standing::Alive => {}
    }
    if now > until {
        return silent("it has been suspected for too long");
    }
    let Some(written_after) = member.written_after else { return silent("no report in this term yet") };
    let fresh = written_after.saturating_add(config.fresh_for);
    if now > fresh {
        return silent("its last report is too old");
    }
    let mut assessment = assess_differences(now, name, member, target, rollouts, config);
    let until = until.min(fresh).saturating_add(1);
    assessment.recheck_at = Some(assessment.recheck_at.map_or(until, |recheck_at| recheck_at.min(until)));
    assessment
}

fn assess_differences(
    now: Micros,
    name: &Name,
    member: &Member,
    target: &MemberTarget,
    rollouts: &Rollouts,
    config: &Config,
) -> Assessment {
    let version = |client: &str| member.assumed.get(client).map_or(0, |leaf| leaf.version);
    if member.root == Some(target.tree.root()) {
        // This concerns only members that claim to be in line: others are repaired according to their reports
        // and are not challenged.
        if member.challenges.unanswered >= MAX_UNANSWERED {
            let why = "it reports, but does not show what it applies";
            return Assessment::of(Verdict::NotReporting, Some(why.to_owned()));
        }
        let mut assessment = Assessment::of(Verdict::InLine, None);
        assessment.client = target.last.clone();
        assessment.version = target.last_version;
        if let Some(client) = &member.challenges.disproved_client {
            assessment.verdict = Verdict::Altered;
            assessment.reason = Some(format!("{client}: what it shows is not what it reports"));
            assessment.client = Some(client.clone());
            assessment.repair.push(client.clone());
            assessment.version = version(client);
        }
        return assessment;
    }
    let found = diff(&member.assumed, target.tree, MAX_DIFFERENCES);
    let groups = DifferenceGroups::new(now, name, member, target, rollouts, config, &found);
    let mut assessment = groups.verdict(member, target);
    assessment.unknown = !member.matches_root();
    if assessment.unknown && assessment.verdict == Verdict::Converging {
        let due = member.unknown_since.unwrap_or(now).saturating_add(config.rollout_for);
        if now <= due {
            assessment.recheck_at = Some(assessment.recheck_at.unwrap_or(due).min(due).saturating_add(1));
        } else if found.is_empty() {
            assessment.verdict = Verdict::Lagging;
            assessment.reason = Some("it differs, and it is not known yet where".to_owned());
        }
    }
    assessment.client = assessment
        .repair
        .first()
        .cloned()
        .or_else(|| found.first().map(|difference| difference.client().to_owned()));
    assessment.version = assessment.client.as_deref().map_or(0, version);
    assessment
}

/// The differences, grouped by kind.
struct DifferenceGroups<'a> {
    unable: Vec<(&'a str, &'a str)>,
    beyond_plan: Vec<&'a str>,
    /// The clients for which the member's senders differ.
    partly: Vec<(&'a str, PartlyApplied)>,
    altered: Vec<&'a str>,
    ahead: Vec<&'a str>,
    lagging: Vec<&'a str>,
    /// The first lagging client whose rollout was stopped, with the reason.
    stopped: Option<(&'a str, String)>,
    /// The number of the earliest overdue approval.
    oldest: u64,
    /// The time at which the next of the other differences becomes overdue.
    due: Option<Micros>,
}

impl<'a> DifferenceGroups<'a> {
    fn new(
        now: Micros,
        name: &Name,
        member: &'a Member,
        target: &MemberTarget,
        rollouts: &Rollouts,
        config: &Config,
        found: &'a [Difference],
    ) -> Self {
        let mut groups = DifferenceGroups {
            unable: Vec::new(),
            beyond_plan: Vec::new(),
            partly: Vec::new(),
            altered: Vec::new(),
            ahead: Vec::new(),
            lagging: Vec::new(),
            stopped: None,
            oldest: u64::MAX,
            due: None,
        };
        let in_rollout = |client: &str, phase: &Phase| {
            rollouts.get(client).is_some_and(|r| r.phase() == phase && r.is_reached(name))
        };
        for difference in found {
            let client = difference.client();
            let deviation = target.classify(client, difference.right.as_ref(), difference.left.as_ref());
            let approval = target.approval(client);
            let due = approval.map_or(member.joined, |approval| approval.at.max(member.joined));
            let due = due.saturating_add(config.rollout_for);
            if let Some((client, why)) = member.problems.get_key_value(client) {
                groups.unable.push((client, why));
                continue;
            }
            let partly = member.partly.get(client);
            match deviation {
                // While a rollout is in progress or holds the member back, its senders may differ as members
                // may.
                Deviation::Altered | Deviation::Ahead if partly.is_some() => {
                    groups.partly.extend(partly.map(|partly| (client, *partly)));
                }
                Deviation::Ahead => groups.ahead.push(client),
                Deviation::Altered => groups.altered.push(client),
                // The wave has its own deadline, after which the rollout gives the reason.
                Deviation::Lagging if in_rollout(client, &Phase::Running) => {}
                Deviation::Lagging | Deviation::BeyondPlanLimits if now <= due => {
                    groups.due = Some(groups.due.map_or(due, |other: Micros| other.min(due)));
                }
                Deviation::Lagging | Deviation::BeyondPlanLimits if partly.is_some() => {
                    groups.partly.extend(partly.map(|partly| (client, *partly)));
                }
                Deviation::BeyondPlanLimits => groups.beyond_plan.push(client),
                Deviation::Lagging => {
                    groups.oldest = groups.oldest.min(approval.map_or(u64::MAX, |approval| approval.seq));
                    groups.lagging.push(client);
                    if let Some(Phase::Stopped(why)) = rollouts.get(client).map(|rollout| rollout.phase()) {
                        groups.stopped.get_or_insert((client, why.to_string()));
                    }
                }
            }
        }
        groups
    }

    fn verdict(self, member: &Member, target: &MemberTarget) -> Assessment {
        let about = |client: &str, what: &str| Some(format!("{client}: {what}"));
        let (verdict, clients, reason) = if let Some((client, why)) = self.unable.first() {
            (Verdict::CantApply, self.unable.iter().map(|(client, _)| *client).collect(), about(client, why))
        } else if let Some((client, PartlyApplied { senders, of, .. })) = self.partly.first() {
            let target_version = target.tree.get(client).map_or(0, |leaf| leaf.version);
            let clients = self.partly.iter().map(|(client, _)| *client).collect();
            let what = format!("{senders} of {of} senders apply version {target_version}");
            (Verdict::PartlyApplied, clients, about(client, &what))
        } else if let Some(client) = self.beyond_plan.first() {
            (
                Verdict::BeyondPlan,
                self.beyond_plan.clone(),
                about(client, "applied as it was before its plan cut it"),
            )
        } else if let Some(client) = self.altered.first() {
            (
                Verdict::Altered,
                self.altered.clone(),
                about(client, "the approved version with another content"),
            )
        } else if let Some(client) = self.ahead.first() {
            (Verdict::Ahead, self.ahead.clone(), about(client, "a version that is not approved"))
        } else if let Some(client) = self.lagging.first() {
            let target_version = target.tree.get(client).map_or(0, |leaf| leaf.version);
            let reason = match self.stopped {
                Some((of, why)) if of == *client => about(client, &format!("its rollout was stopped: {why}")),
                _ => about(client, &format!("version {target_version} is not applied")),
            };
            // The member applies a later approval than one that it lacks, so its state was never the desired
            // one.
            let partly = member.newest_approval > self.oldest;
            let verdict = if partly { Verdict::PartlyApplied } else { Verdict::Lagging };
            (verdict, self.lagging.clone(), reason)
        } else {
            (Verdict::Converging, Vec::new(), None)
        };
        let mut assessment = Assessment::of(verdict, reason);
        assessment.repair = clients.into_iter().map(str::to_owned).collect();
        assessment.recheck_at = self.due.map(|due| due.saturating_add(1));
        assessment
    }
}

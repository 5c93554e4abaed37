//! Derives the verdict on a member from what is known about it.

use super::member::Member;
use super::wanted::{Class, Wanted};
use super::{Config, Rollouts};
use crate::Micros;
use crate::report::{Partly, Verdict};
use crate::rollout::Phase;
use crate::tree::{Difference, diff};
use heronroute_fleet::{Name, Standing};

/// The maximum number of differences examined for a verdict. It is enough to act on and bounds the cost.
pub(super) const MOST_DIFFERENCES: usize = 32;

/// The number of unanswered challenges from which a member no longer counts as in line.
const MOST_MISSED: u8 = 3;

#[derive(Clone, Debug)]
pub(super) struct Judgement {
    pub(super) verdict: Verdict,
    pub(super) reason: Option<String>,
    pub(super) client: Option<String>,
    pub(super) version: u64,
    /// The next time at which the verdict may change without an event.
    pub(super) again: Option<Micros>,
    /// The clients to repair.
    pub(super) mend: Vec<String>,
    /// The member differs, and not all of the differences are known.
    pub(super) unknown: bool,
}

impl Judgement {
    fn of(verdict: Verdict, reason: Option<String>) -> Self {
        Judgement { verdict, reason, client: None, version: 0, again: None, mend: Vec::new(), unknown: false }
    }
}

pub(super) fn judge(
    now: Micros,
    name: &Name,
    member: &Member,
    wanted: &Wanted,
    rollouts: &Rollouts,
    config: &Config,
) -> Judgement {
    let silent = |why: &str| Judgement::of(Verdict::NotHeardOf, Some(why.to_owned()));
    let mut until = Micros::MAX;
    match member.standing {
        Standing::Dead => return silent("it is gone"),
        Standing::Suspect => until = member.standing_since.saturating_add(config.suspect_for),
        Standing::Alive => {}
    }
    if now > until {
        return silent("it has been suspected for too long");
    }
    let Some(heard) = member.heard else { return silent("no report in this term yet") };
    let fresh = heard.saturating_add(config.fresh_for);
    if now > fresh {
        return silent("its last report is too old");
    }
    let mut judged = differing(now, name, member, wanted, rollouts, config);
    let until = until.min(fresh).saturating_add(1);
    judged.again = Some(judged.again.map_or(until, |again| again.min(until)));
    judged
}

fn differing(
    now: Micros,
    name: &Name,
    member: &Member,
    wanted: &Wanted,
    rollouts: &Rollouts,
    config: &Config,
) -> Judgement {
    let version = |client: &str| member.believed.get(client).map_or(0, |leaf| leaf.version);
    if member.root == Some(wanted.tree.root()) {
        // This concerns only members that claim to be in line: others are repaired according to their reports
        // and are not challenged.
        if member.proof.missed >= MOST_MISSED {
            let why = "it reports, but does not show what it applies";
            return Judgement::of(Verdict::NotHeardOf, Some(why.to_owned()));
        }
        let mut judged = Judgement::of(Verdict::InLine, None);
        judged.client = wanted.last.clone();
        judged.version = wanted.last_version;
        if let Some(client) = &member.proof.false_for {
            judged.verdict = Verdict::Altered;
            judged.reason = Some(format!("{client}: what it shows is not what it reports"));
            judged.client = Some(client.clone());
            judged.mend.push(client.clone());
            judged.version = version(client);
        }
        return judged;
    }
    let found = diff(&member.believed, wanted.tree, MOST_DIFFERENCES);
    let sorted = Sorted::new(now, name, member, wanted, rollouts, config, &found);
    let mut judged = sorted.verdict(member, wanted);
    judged.unknown = !member.accounted();
    if judged.unknown && judged.verdict == Verdict::Converging {
        let due = member.unknown_since.unwrap_or(now).saturating_add(config.rollout_for);
        if now <= due {
            judged.again = Some(judged.again.unwrap_or(due).min(due).saturating_add(1));
        } else if found.is_empty() {
            judged.verdict = Verdict::Lagging;
            judged.reason = Some("it differs, and it is not known yet where".to_owned());
        }
    }
    judged.client = judged.mend.first().cloned().or_else(|| found.first().map(|one| one.client().to_owned()));
    judged.version = judged.client.as_deref().map_or(0, version);
    judged
}

/// The differences, grouped by kind.
struct Sorted<'a> {
    cannot: Vec<(&'a str, &'a str)>,
    beyond: Vec<&'a str>,
    /// The clients for which the member's senders differ.
    partly: Vec<(&'a str, Partly)>,
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

impl<'a> Sorted<'a> {
    fn new(
        now: Micros,
        name: &Name,
        member: &'a Member,
        wanted: &Wanted,
        rollouts: &Rollouts,
        config: &Config,
        found: &'a [Difference],
    ) -> Self {
        let mut sorted = Sorted {
            cannot: Vec::new(),
            beyond: Vec::new(),
            partly: Vec::new(),
            altered: Vec::new(),
            ahead: Vec::new(),
            lagging: Vec::new(),
            stopped: None,
            oldest: u64::MAX,
            due: None,
        };
        let rolls = |client: &str, phase: &Phase| {
            rollouts.get(client).is_some_and(|r| r.phase() == phase && r.reached(name))
        };
        for one in found {
            let client = one.client();
            let class = wanted.class(client, one.right.as_ref(), one.left.as_ref());
            let want = wanted.want(client);
            let due = want.map_or(member.joined, |want| want.at.max(member.joined));
            let due = due.saturating_add(config.rollout_for);
            if let Some((client, why)) = member.troubles.get_key_value(client) {
                sorted.cannot.push((client, why));
                continue;
            }
            let partly = member.partly.get(client);
            match class {
                // While a rollout is in progress or holds the member back, its senders may differ as members
                // may.
                Class::Altered | Class::Ahead if partly.is_some() => {
                    sorted.partly.extend(partly.map(|partly| (client, *partly)));
                }
                Class::Ahead => sorted.ahead.push(client),
                Class::Altered => sorted.altered.push(client),
                // The wave has its own deadline, after which the rollout gives the reason.
                Class::Lagging if rolls(client, &Phase::Running) => {}
                Class::Lagging | Class::Beyond if now <= due => {
                    sorted.due = Some(sorted.due.map_or(due, |other: Micros| other.min(due)));
                }
                Class::Lagging | Class::Beyond if partly.is_some() => {
                    sorted.partly.extend(partly.map(|partly| (client, *partly)));
                }
                Class::Beyond => sorted.beyond.push(client),
                Class::Lagging => {
                    sorted.oldest = sorted.oldest.min(want.map_or(u64::MAX, |want| want.seq));
                    sorted.lagging.push(client);
                    if let Some(Phase::Stopped(why)) = rollouts.get(client).map(|rollout| rollout.phase()) {
                        sorted.stopped.get_or_insert((client, why.to_string()));
                    }
                }
            }
        }
        sorted
    }

    fn verdict(self, member: &Member, wanted: &Wanted) -> Judgement {
        let about = |client: &str, what: &str| Some(format!("{client}: {what}"));
        let (verdict, clients, reason) = if let Some((client, why)) = self.cannot.first() {
            (Verdict::CantApply, self.cannot.iter().map(|(client, _)| *client).collect(), about(client, why))
        } else if let Some((client, Partly { senders, of, .. })) = self.partly.first() {
            let wants = wanted.tree.get(client).map_or(0, |leaf| leaf.version);
            let clients = self.partly.iter().map(|(client, _)| *client).collect();
            let what = format!("{senders} of {of} senders apply version {wants}");
            (Verdict::Partly, clients, about(client, &what))
        } else if let Some(client) = self.beyond.first() {
            (
                Verdict::BeyondPlan,
                self.beyond.clone(),
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
            let wants = wanted.tree.get(client).map_or(0, |leaf| leaf.version);
            let reason = match self.stopped {
                Some((of, why)) if of == *client => about(client, &format!("its rollout was stopped: {why}")),
                _ => about(client, &format!("version {wants} is not applied")),
            };
            // The member applies a later approval than one that it lacks, so its state was never the desired
            // one.
            let partly = member.newest > self.oldest;
            let verdict = if partly { Verdict::Partly } else { Verdict::Lagging };
            (verdict, self.lagging.clone(), reason)
        } else {
            (Verdict::Converging, Vec::new(), None)
        };
        let mut judged = Judgement::of(verdict, reason);
        judged.mend = clients.into_iter().map(str::to_owned).collect();
        judged.again = self.due.map(|due| due.saturating_add(1));
        judged
    }
}

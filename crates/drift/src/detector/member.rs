//! The detector's state of one member. Its tree shares nodes with the desired tree, so it costs only the
//! differences.

use super::Config;
use super::assess::Assessment;
use super::challenge::ChallengeState;
use super::desired::MemberTarget;
use super::tree_walk::Walk;
use crate::actions::{Escalation, TokenBucket};
use crate::report::{AppliedRules, Health, MAX_CLIENTS_PER_REPORT, PartlyApplied, Verdict};
use crate::reporter::tree_entry;
use crate::tree::{EMPTY_DIGEST, Tree};
use crate::{Digest, MAX_CLIENT_NAME_BYTES, Micros, truncate_reason};
use heronroute_fleet::{Standing, Start};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of problems kept per member, and of clients whose senders differ; others show as
/// lagging.
const MAX_PROBLEMS: usize = 16;

/// The number of flaps beyond which the settling time grows no further: 2 to the 6th.
const MAX_FLAPS: u32 = 6;

#[derive(Debug)]
pub(super) struct Member {
    pub(super) start: Start,
    pub(super) zone: String,
    pub(super) standing: Standing,
    pub(super) standing_since: Micros,
    /// The time from which this start of the member is known.
    pub(super) joined: Micros,
    pub(super) number: u64,
    /// The newest report was written after this time, in this term.
    pub(super) written_after: Option<Micros>,
    pub(super) root: Option<Digest>,
    /// The assumed content of the member's tree; a guess while its root differs from `root`.
    pub(super) assumed: Tree,
    /// Whether the assumed tree is based on a report of this start and term.
    pub(super) based_on_report: bool,
    /// The time from which the assumed tree is a guess.
    pub(super) unknown_since: Option<Micros>,
    /// The number of the latest approval that the member was seen to apply.
    pub(super) newest_approval: u64,
    pub(super) problems: BTreeMap<String, String>,
    /// The clients for which the member's senders differ.
    pub(super) partly: BTreeMap<String, PartlyApplied>,
    pub(super) health: Health,
    pub(super) walk: Walk,
    pub(super) challenges: ChallengeState,
    pub(super) published: PublishedVerdict,
    pub(super) pending: Option<(Verdict, Micros)>,
    pub(super) flaps: u32,
    pub(super) escalation: Escalation,
    /// The earliest time of the next notification that the member is silent.
    pub(super) notify_after: Micros,
    pub(super) bucket: TokenBucket,
    /// The member's turn if the shared budget was used up.
    pub(super) turn: Option<Micros>,
    pub(super) fences: BTreeSet<String>,
    pub(super) wake_at: Option<Micros>,
}

#[derive(Clone, Debug)]
pub(super) struct PublishedVerdict {
    pub(super) verdict: Verdict,
    pub(super) since: Micros,
    pub(super) reason: Option<String>,
    pub(super) client: Option<String>,
    pub(super) version: u64,
    /// The member is at fault; an approval alone does not explain the verdict.
    pub(super) fault: bool,
}

impl Member {
    pub(super) fn new(now: Micros, start: Start, target: &MemberTarget) -> Self {
        Member {
            start,
            zone: String::new(),
            standing: Standing::Alive,
            standing_since: now,
            joined: now,
            number: 0,
            written_after: None,
            root: None,
            assumed: target.tree.clone(),
            based_on_report: false,
            unknown_since: None,
            newest_approval: 0,
            problems: BTreeMap::new(),
            partly: BTreeMap::new(),
            health: Health::default(),
            walk: Walk::default(),
            challenges: ChallengeState::default(),
            published: PublishedVerdict {
                verdict: Verdict::NotReporting,
                since: now,
                reason: None,
                client: None,
                version: 0,
                fault: false,
            },
            pending: None,
            flaps: 0,
            escalation: Escalation::default(),
            notify_after: Micros::MIN,
            bucket: TokenBucket::default(),
            turn: None,
            fences: BTreeSet::new(),
            wake_at: None,
        }
    }

    /// Handles a restart of the member: nothing it reported before holds. Until its first report it is
    /// assumed to apply the same rules. The action budgets and the flap count remain, since a member that
    /// restarts all the time would otherwise get a new budget each time.
    pub(super) fn handle_restart(&mut self, now: Micros, start: Start) {
        self.start = start;
        self.joined = now;
        self.number = 0;
        self.discard_reports();
        self.problems.clear();
        self.partly.clear();
    }

    /// Discards all reports.
    pub(super) fn discard_reports(&mut self) {
        self.written_after = None;
        self.root = None;
        self.based_on_report = false;
        self.unknown_since = None;
        self.walk = Walk::default();
        self.challenges = ChallengeState::default();
    }

    /// Returns whether the assumed tree has the reported root, so that the applied rules are known.
    pub(super) fn matches_root(&self) -> bool {
        self.root == Some(self.assumed.root())
    }

    /// Applies a reported root and the clients sent with it.
    pub(super) fn apply_report(
        &mut self,
        now: Micros,
        root: Digest,
        clients: &[AppliedRules],
        target: &MemberTarget,
    ) {
        if self.root != Some(root) {
            // Digests that were queried under another root prove nothing under this one.
            self.walk = Walk::default();
        }
        self.root = Some(root);
        if !self.based_on_report && !self.matches_root() {
            // The desired tree is the best guess: all further differences then come from reports, not from an
            // outdated guess.
            self.assumed = target.tree.clone();
        }
        self.based_on_report = true;
        if root == target.tree.root() {
            // The member is in line: it applies the desired tree, whatever was assumed before.
            self.assumed = target.tree.clone();
            self.newest_approval = target.seq();
            self.problems.clear();
            self.partly.clear();
        } else {
            if root == EMPTY_DIGEST {
                self.assumed = Tree::default();
            }
            for applied in clients
                .iter()
                .take(MAX_CLIENTS_PER_REPORT)
                .filter(|applied| applied.client.len() <= MAX_CLIENT_NAME_BYTES)
            {
                let tree_entry = tree_entry(applied.version, applied.digest);
                self.assumed.set_like(&applied.client, tree_entry, target.tree);
                self.record_client_status(applied, target);
            }
        }
        self.unknown_since = if self.matches_root() { None } else { Some(self.unknown_since.unwrap_or(now)) };
    }

    /// Records what a report says about one client besides its digest.
    pub(super) fn record_client_status(&mut self, applied: &AppliedRules, target: &MemberTarget) {
        let desired = target.tree.get(&applied.client).map(|leaf| (leaf.version, leaf.digest));
        if desired == tree_entry(applied.version, applied.digest)
            && let Some(approval) = target.approval(&applied.client)
        {
            self.newest_approval = self.newest_approval.max(approval.seq);
        }
        match applied.partly {
            Some(partly) if self.partly.len() < MAX_PROBLEMS || self.partly.contains_key(&applied.client) => {
                self.partly.insert(applied.client.clone(), partly);
            }
            _ => _ = self.partly.remove(&applied.client),
        }
        match &applied.problem {
            Some(why)
                if self.problems.len() < MAX_PROBLEMS || self.problems.contains_key(&applied.client) =>
            {
                self.problems.insert(applied.client.clone(), truncate_reason(why));
            }
            _ => {
                self.problems.remove(&applied.client);
            }
        }
    }

    /// Returns the time from which a verdict may be published. Leaving "in line", falling silent, and
    /// recovering from a state that was not the member's fault are published at once. Any other change has to
    /// last for some time, so that a member that alternates between states does not cause a message each
    /// time.
    fn publish_from(&self, since: Micros, verdict: Verdict, config: &Config) -> Micros {
        match (self.published.verdict, verdict) {
            (Verdict::InLine, _) | (_, Verdict::NotReporting) => Micros::MIN,
            (_, Verdict::InLine) if !self.published.fault => Micros::MIN,
            (_, Verdict::InLine) => {
                since.saturating_add(config.settle_for.saturating_mul(1 << self.flaps.min(MAX_FLAPS)))
            }
            (Verdict::NotReporting, _) if !self.published.fault => Micros::MIN,
            _ => since.saturating_add(config.confirm_for),
        }
    }

    /// Publishes an assessment if its time has come. Returns `Ok` if the verdict changed, and otherwise the
    /// time from which a pending verdict may be published.
    pub(super) fn publish(
        &mut self,
        now: Micros,
        assessment: &Assessment,
        approval: bool,
        config: &Config,
    ) -> Result<(), Option<Micros>> {
        let verdict = assessment.verdict;
        if verdict == self.published.verdict {
            self.pending = None;
            self.published.reason.clone_from(&assessment.reason);
            self.published.client.clone_from(&assessment.client);
            self.published.version = assessment.version;
            if verdict == Verdict::InLine && now.saturating_sub(self.published.since) >= config.forget_for {
                self.flaps = 0;
                self.escalation.reset();
            }
            return Err(None);
        }
        let since = match self.pending {
            Some((waiting, since)) if waiting == verdict => since,
            _ => now,
        };
        self.pending = Some((verdict, since));
        let from = self.publish_from(since, verdict, config);
        if now < from {
            return Err(Some(from));
        }
        self.pending = None;
        let fault = match verdict {
            Verdict::InLine => false,
            Verdict::Converging | Verdict::NotReporting => self.published.fault || !approval,
            _ => true,
        };
        if self.published.verdict == Verdict::InLine && fault {
            self.flaps = (self.flaps + 1).min(MAX_FLAPS);
        }
        self.published = PublishedVerdict {
            verdict,
            since: now,
            reason: assessment.reason.clone(),
            client: assessment.client.clone(),
            version: assessment.version,
            fault,
        };
        Ok(())
    }
}

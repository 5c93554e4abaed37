//! The detector's state of one member. Its tree shares nodes with the desired tree, so it costs only the
//! differences.

use super::Config;
use super::judge::Judgement;
use super::proof::Proof;
use super::walk::Walk;
use super::wanted::Wanted;
use crate::acts::{Bucket, Ladder};
use crate::report::{Applied, Health, MOST_CLIENTS, Partly, Verdict};
use crate::reporter::held;
use crate::tree::{NONE, Tree};
use crate::{Digest, MOST_NAME, Micros, cut};
use heronroute_fleet::{Standing, Start};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of problems kept per member, and of clients whose senders differ; others show as
/// lagging.
const MOST_TROUBLES: usize = 16;

/// The number of flaps beyond which the settling time grows no further: 2 to the 6th.
const MOST_FLAPS: u32 = 6;

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
    pub(super) heard: Option<Micros>,
    pub(super) root: Option<Digest>,
    /// The assumed content of the member's tree; a guess while its root differs from `root`.
    pub(super) believed: Tree,
    /// Whether the assumed tree is based on a report of this start and term.
    pub(super) grounded: bool,
    /// The time from which the assumed tree is a guess.
    pub(super) unknown_since: Option<Micros>,
    /// The number of the latest approval that the member was seen to apply.
    pub(super) newest: u64,
    pub(super) troubles: BTreeMap<String, String>,
    /// The clients for which the member's senders differ.
    pub(super) partly: BTreeMap<String, Partly>,
    pub(super) health: Health,
    pub(super) walk: Walk,
    pub(super) proof: Proof,
    pub(super) shown: Shown,
    pub(super) candidate: Option<(Verdict, Micros)>,
    pub(super) flaps: u32,
    pub(super) ladder: Ladder,
    /// The earliest time of the next notification that the member is silent.
    pub(super) tell_next: Micros,
    pub(super) bucket: Bucket,
    /// The member's turn if the shared budget was used up.
    pub(super) slot: Option<Micros>,
    pub(super) fences: BTreeSet<String>,
    pub(super) wake: Option<Micros>,
}

#[derive(Clone, Debug)]
pub(super) struct Shown {
    pub(super) verdict: Verdict,
    pub(super) since: Micros,
    pub(super) reason: Option<String>,
    pub(super) client: Option<String>,
    pub(super) version: u64,
    /// The member is at fault; an approval alone does not explain the verdict.
    pub(super) fault: bool,
}

impl Member {
    pub(super) fn new(now: Micros, start: Start, wanted: &Wanted) -> Self {
        Member {
            start,
            zone: String::new(),
            standing: Standing::Alive,
            standing_since: now,
            joined: now,
            number: 0,
            heard: None,
            root: None,
            believed: wanted.tree.clone(),
            grounded: false,
            unknown_since: None,
            newest: 0,
            troubles: BTreeMap::new(),
            partly: BTreeMap::new(),
            health: Health::default(),
            walk: Walk::default(),
            proof: Proof::default(),
            shown: Shown {
                verdict: Verdict::NotHeardOf,
                since: now,
                reason: None,
                client: None,
                version: 0,
                fault: false,
            },
            candidate: None,
            flaps: 0,
            ladder: Ladder::default(),
            tell_next: Micros::MIN,
            bucket: Bucket::default(),
            slot: None,
            fences: BTreeSet::new(),
            wake: None,
        }
    }

    /// Handles a restart of the member: nothing it reported before holds. Until its first report it is
    /// assumed to apply the same rules. The action budgets and the flap count remain, since a member that
    /// restarts all the time would otherwise get a new budget each time.
    pub(super) fn reborn(&mut self, now: Micros, start: Start) {
        self.start = start;
        self.joined = now;
        self.number = 0;
        self.unheard();
        self.troubles.clear();
        self.partly.clear();
    }

    /// Discards all reports.
    pub(super) fn unheard(&mut self) {
        self.heard = None;
        self.root = None;
        self.grounded = false;
        self.unknown_since = None;
        self.walk = Walk::default();
        self.proof = Proof::default();
    }

    /// Returns whether the assumed tree has the reported root, so that the applied rules are known.
    pub(super) fn accounted(&self) -> bool {
        self.root == Some(self.believed.root())
    }

    /// Applies a reported root and the clients sent with it.
    pub(super) fn learn(&mut self, now: Micros, root: Digest, clients: &[Applied], wanted: &Wanted) {
        if self.root != Some(root) {
            // Digests that were queried under another root prove nothing under this one.
            self.walk = Walk::default();
        }
        self.root = Some(root);
        if !self.grounded && !self.accounted() {
            // The desired tree is the best guess: all further differences then come from reports, not from an
            // outdated guess.
            self.believed = wanted.tree.clone();
        }
        self.grounded = true;
        if root == wanted.tree.root() {
            // The member is in line: it applies the desired tree, whatever was assumed before.
            self.believed = wanted.tree.clone();
            self.newest = wanted.seq();
            self.troubles.clear();
            self.partly.clear();
        } else {
            if root == NONE {
                self.believed = Tree::default();
            }
            for applied in
                clients.iter().take(MOST_CLIENTS).filter(|applied| applied.client.len() <= MOST_NAME)
            {
                let held = held(applied.version, applied.digest);
                self.believed.set_like(&applied.client, held, wanted.tree);
                self.note(applied, wanted);
            }
        }
        self.unknown_since = if self.accounted() { None } else { Some(self.unknown_since.unwrap_or(now)) };
    }

    /// Records what a report says about one client besides its digest.
    pub(super) fn note(&mut self, applied: &Applied, wanted: &Wanted) {
        let desired = wanted.tree.get(&applied.client).map(|leaf| (leaf.version, leaf.digest));
        if desired == held(applied.version, applied.digest)
            && let Some(want) = wanted.want(&applied.client)
        {
            self.newest = self.newest.max(want.seq);
        }
        match applied.partly {
            Some(partly)
                if self.partly.len() < MOST_TROUBLES || self.partly.contains_key(&applied.client) =>
            {
                self.partly.insert(applied.client.clone(), partly);
            }
            _ => _ = self.partly.remove(&applied.client),
        }
        match &applied.trouble {
            Some(why)
                if self.troubles.len() < MOST_TROUBLES || self.troubles.contains_key(&applied.client) =>
            {
                self.troubles.insert(applied.client.clone(), cut(why));
            }
            _ => {
                self.troubles.remove(&applied.client);
            }
        }
    }

    /// Returns the time from which a verdict may be published. Leaving "in line" and falling silent are
    /// published at once. Any other change has to last for some time, so that a member that alternates
    /// between states does not cause a message each time.
    fn shown_from(&self, since: Micros, verdict: Verdict, config: &Config) -> Micros {
        match (self.shown.verdict, verdict) {
            (Verdict::InLine, _) | (_, Verdict::NotHeardOf) => Micros::MIN,
            (_, Verdict::InLine) if !self.shown.fault => Micros::MIN,
            (_, Verdict::InLine) => {
                since.saturating_add(config.settle_for.saturating_mul(1 << self.flaps.min(MOST_FLAPS)))
            }
            (Verdict::NotHeardOf, _) if !self.shown.fault => Micros::MIN,
            _ => since.saturating_add(config.stands_for),
        }
    }

    /// Publishes an assessment if its time has come. Returns `Ok` if the verdict changed, and otherwise the
    /// time from which a pending verdict may be published.
    pub(super) fn show(
        &mut self,
        now: Micros,
        judged: &Judgement,
        approval: bool,
        config: &Config,
    ) -> Result<(), Option<Micros>> {
        let verdict = judged.verdict;
        if verdict == self.shown.verdict {
            self.candidate = None;
            self.shown.reason.clone_from(&judged.reason);
            self.shown.client.clone_from(&judged.client);
            self.shown.version = judged.version;
            if verdict == Verdict::InLine && now.saturating_sub(self.shown.since) >= config.forget_for {
                self.flaps = 0;
                self.ladder.reset();
            }
            return Err(None);
        }
        let since = match self.candidate {
            Some((waiting, since)) if waiting == verdict => since,
            _ => now,
        };
        self.candidate = Some((verdict, since));
        let from = self.shown_from(since, verdict, config);
        if now < from {
            return Err(Some(from));
        }
        self.candidate = None;
        let fault = match verdict {
            Verdict::InLine => false,
            Verdict::Converging | Verdict::NotHeardOf => self.shown.fault || !approval,
            _ => true,
        };
        if self.shown.verdict == Verdict::InLine && fault {
            self.flaps = (self.flaps + 1).min(MOST_FLAPS);
        }
        self.shown = Shown {
            verdict,
            since: now,
            reason: judged.reason.clone(),
            client: judged.client.clone(),
            version: judged.version,
            fault,
        };
        Ok(())
    }
}

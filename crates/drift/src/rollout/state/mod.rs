//! The state machine of a rollout at the leader.

mod decide;

use super::fare::{Since, Sum};
use super::passing::{Passing, WORD};
use super::{Baseline, MOST_MEMBERS, Phase, Plan, Progress, Reach, Why};
use crate::Micros;
use crate::report::Health;
use heronroute_fleet::{Name, Start};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
struct One {
    /// The wave that reaches the member.
    wave: usize,
    /// Whether the member was present when its wave started, and is waited for.
    waited: bool,
    /// Whether it applies the version, by its last report.
    applied: bool,
    /// Whether it reported so again after the soak time.
    soaked: bool,
    /// Its health since the current wave started.
    since: Option<Since>,
}

/// A rollout as the leader observes it.
#[derive(Clone, Debug)]
pub struct Rollout {
    plan: Plan,
    phase: Phase,
    /// The index of the wave that started last.
    wave: usize,
    members: BTreeMap<Name, One>,
    /// The time at which that wave started.
    left: Micros,
    /// The time from which all reached members that are waited for apply the version.
    all: Option<Micros>,
    /// The number of reached members that are waited for.
    awaited: usize,
    /// The number of those that do not apply the version.
    missing: usize,
    /// The number of those that have not confirmed the version after the soak time.
    unsoaked: usize,
    /// The latest health of the members not yet reached, since the last wave leaves no member to compare
    /// with.
    control: Sum,
    /// The logged baseline of the current wave.
    baseline: Baseline,
    /// The responses, and the members to be skipped.
    passing: Passing,
    /// The proposed log entry. It stays until the log changes.
    wish: Option<Progress>,
}

impl Rollout {
    /// Creates a rollout from its log state. Returns none if no wave has started, or if there are no members
    /// or more than [`MAX_MEMBERS`].
    pub fn begin(now: Micros, reach: &Reach) -> Option<Self> {
        let wave = reach.wave?;
        let one = |wave| One { wave, waited: true, applied: false, soaked: false, since: None };
        let members: BTreeMap<_, _> =
            reach.members.iter().map(|(name, wave)| (name.clone(), one(*wave))).collect();
        if members.is_empty() || members.len() > MOST_MEMBERS {
            return None;
        }
        let mut rollout = Rollout {
            plan: reach.plan.clone(),
            phase: Phase::Running,
            wave,
            members,
            left: now,
            all: None,
            awaited: 0,
            missing: 0,
            unsoaked: 0,
            control: reach.baseline.control,
            baseline: reach.baseline.clone(),
            passing: Passing::new(reach),
            wish: None,
        };
        rollout.leave(now, wave, &reach.without);
        rollout.halt(reach);
        Some(rollout)
    }

    /// Applies a new log state.
    pub fn reach(&mut self, now: Micros, reach: &Reach) {
        if let Some(wave) =
            reach.wave.filter(|wave| (*wave, reach.passes.0) > (self.wave, self.passing.total()))
        {
            // The replacement of a skipped first member was in a later wave until now.
            for (name, wave) in &reach.members {
                self.members.entry(name.clone()).and_modify(|one| one.wave = *wave);
            }
            self.baseline.clone_from(&reach.baseline);
            self.passing.left(now, reach);
            self.leave(now, wave, &reach.without);
        }
        self.passing.logged(now, &reach.heard);
        // One of the members has responded to another leader in the meantime, so the log would reject this
        // proposal for ever.
        if matches!(&self.wish, Some(Progress::Pass { members }) if !members.is_disjoint(&reach.heard)) {
            self.wish = None;
        }
        self.halt(reach);
    }

    fn halt(&mut self, reach: &Reach) {
        if let Some(why) = &reach.halted {
            self.phase = Phase::Stopped(Why::Told(why.clone()));
            self.wish = None;
        }
    }

    /// Returns the plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the phase.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the proposed log entry.
    pub fn wish(&self) -> Option<&Progress> {
        self.wish.as_ref()
    }

    /// Returns the index of the wave that started last.
    pub fn wave(&self) -> usize {
        self.wave
    }

    /// Returns the number of skips in all waves.
    pub fn passes(&self) -> usize {
        self.passing.total()
    }

    /// Returns the members whose response should be logged now. Without this entry, the next leader could not
    /// tell a member that the version killed from one that was already gone.
    pub fn news(&self, now: Micros) -> Option<BTreeSet<Name>> {
        let soon = self.wave == 0 || self.missing == 0;
        (self.phase == Phase::Running).then(|| self.passing.news(now, soon)).flatten()
    }

    /// Returns the latest health of the members not yet reached, to be logged with the next wave.
    pub(crate) fn control(&self) -> Sum {
        self.control
    }

    /// Returns whether the version was sent to the member.
    pub fn reached(&self, member: &Name) -> bool {
        self.members.get(member).is_some_and(|one| one.wave <= self.wave)
    }

    /// Handles a member's report: whether it applies the version, and its health. The cost does not depend on
    /// the number of members.
    pub fn report(&mut self, now: Micros, member: &Name, start: Start, applied: bool, health: Health) {
        if self.phase != Phase::Running {
            return;
        }
        let Some(one) = self.members.get_mut(member) else { return };
        match &mut one.since {
            Some(since) => since.report(now, start, health),
            None => {
                let since = Since::new(now, start, health).grown_from(self.baseline.memory(member));
                one.since = Some(since);
            }
        }
        if applied {
            self.word(member);
        }
        self.passing.back(member);
        self.mark(now, member, applied);
        let soaked = self.all.is_some_and(|all| now >= all.saturating_add(self.plan.soak));
        if let Some(one) = self.members.get_mut(member)
            && soaked
            && one.waited
            && one.wave <= self.wave
            && !std::mem::replace(&mut one.soaked, true)
        {
            self.unsoaked = self.unsoaked.saturating_sub(1);
        }
    }

    /// Handles the loss or silence of a member; it is then unknown what the member applies.
    pub fn lost(&mut self, now: Micros, member: &Name) {
        if self.phase == Phase::Running {
            self.mark(now, member, false);
            if self.awaits(member) {
                self.passing.gone(member);
            }
        }
    }

    /// Handles a response of a member since its wave started: it applies the version, cannot apply it, or
    /// sent any report so late that the version must have been delivered. From then on its silence is
    /// evidence against the version.
    pub fn word(&mut self, member: &Name) {
        if self.phase != Phase::Running || !self.awaits(member) {
            return;
        }
        if self.passing.word(member)
            && matches!(&self.wish, Some(Progress::Pass { members }) if members.contains(member))
        {
            self.wish = None;
        }
    }

    /// Returns whether a report that was written after this time proves that the version was delivered.
    pub fn late_word(&self, written: Micros) -> bool {
        written >= self.left.saturating_add(WORD)
    }

    fn awaits(&self, member: &Name) -> bool {
        self.members.get(member).is_some_and(|one| one.waited && one.wave <= self.wave)
    }

    /// Handles the start of this member's leadership. What it knew about the members may be out of date, so
    /// it waits for new reports. Findings of the previous leader that are not in the log do not count.
    pub fn resume(&mut self, now: Micros) {
        if matches!(self.phase, Phase::Stopped(Why::Told(_))) {
            return;
        }
        self.phase = Phase::Running;
        for one in self.members.values_mut() {
            (one.applied, one.since) = (false, None);
        }
        self.control = self.baseline.control;
        self.passing.resume();
        self.begin_wave(now);
    }

    fn leave(&mut self, now: Micros, wave: usize, without: &BTreeSet<Name>) {
        self.wave = wave;
        for (name, one) in &mut self.members {
            one.waited = !without.contains(name);
        }
        self.begin_wave(now);
    }

    fn begin_wave(&mut self, now: Micros) {
        (self.left, self.wish) = (now, None);
        let (mut awaited, mut unsoaked, mut missing) = (0, 0, 0);
        for one in self.members.values_mut() {
            one.soaked = false;
            if one.wave <= self.wave && one.waited {
                awaited += 1;
                unsoaked += 1;
                missing += usize::from(!one.applied);
            }
            // Reached and unreached members are compared over the same time.
            if let Some(since) = &mut one.since {
                since.rebase(now);
            }
        }
        (self.awaited, self.missing, self.unsoaked) = (awaited, missing, unsoaked);
        self.all = (missing == 0).then_some(now);
    }

    fn mark(&mut self, now: Micros, member: &Name, applied: bool) {
        let Some(one) = self.members.get_mut(member) else { return };
        let before = std::mem::replace(&mut one.applied, applied);
        if one.wave > self.wave || !one.waited || before == applied {
            return;
        }
        self.missing = if applied { self.missing.saturating_sub(1) } else { self.missing + 1 };
        self.all = (self.missing == 0).then_some(now);
        if self.missing > 0 {
            return;
        }
        // All of them have to confirm the version after the soak time that starts now.
        let mut unsoaked = 0;
        for one in self.members.values_mut().filter(|one| one.waited && one.wave <= self.wave) {
            one.soaked = false;
            unsoaked += 1;
        }
        self.unsoaked = unsoaked;
    }
}

//! The state machine of a rollout at the leader.

mod decide;

use super::health::{HealthTotals, HealthTracker};
use super::skipping::{DELIVERY_ASSUMED_AFTER, SkipTracker};
use super::{Baseline, LoggedRollout, MAX_MEMBERS, Phase, Plan, Progress, StopReason};
use crate::Micros;
use crate::report::Health;
use heronroute_fleet::{Name, Start};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
struct MemberState {
    /// The wave that reaches the member.
    wave: usize,
    /// Whether the member was present when its wave started, and is waited for.
    expected: bool,
    /// Whether it applies the version, by its last report.
    applied: bool,
    /// Whether it reported so again after the soak time.
    confirmed: bool,
    /// Its health since the current wave started.
    health: Option<HealthTracker>,
}

/// A rollout as the leader observes it.
#[derive(Clone, Debug)]
pub struct Rollout {
    plan: Plan,
    phase: Phase,
    /// The index of the wave that started last.
    wave: usize,
    members: BTreeMap<Name, MemberState>,
    /// The time at which that wave started.
    wave_started: Micros,
    /// The time from which all reached members that are waited for apply the version.
    all_applied_since: Option<Micros>,
    /// The number of reached members that are waited for.
    awaited: usize,
    /// The number of those that do not apply the version.
    missing: usize,
    /// The number of those that have not confirmed the version after the soak time.
    unconfirmed: usize,
    /// The latest health of the members not yet reached, since the last wave leaves no member to compare
    /// with.
    control: HealthTotals,
    /// The logged baseline of the current wave.
    baseline: Baseline,
    /// The responses, and the members to be skipped.
    skips: SkipTracker,
    /// The proposed log entry. It stays until the log changes.
    proposal: Option<Progress>,
}

impl Rollout {
    /// Creates a rollout from its log state. Returns none if no wave has started, or if there are no members
    /// or more than [`MAX_MEMBERS`].
    pub fn from_log(now: Micros, logged_rollout: &LoggedRollout) -> Option<Self> {
        let wave = logged_rollout.wave?;
        let member =
            |wave| MemberState { wave, expected: true, applied: false, confirmed: false, health: None };
        let members: BTreeMap<_, _> =
            logged_rollout.members.iter().map(|(name, wave)| (name.clone(), member(*wave))).collect();
        if members.is_empty() || members.len() > MAX_MEMBERS {
            return None;
        }
        let mut rollout = Rollout {
            plan: logged_rollout.plan.clone(),
            phase: Phase::Running,
            wave,
            members,
            wave_started: now,
            all_applied_since: None,
            awaited: 0,
            missing: 0,
            unconfirmed: 0,
            control: logged_rollout.baseline.control,
            baseline: logged_rollout.baseline.clone(),
            skips: SkipTracker::new(logged_rollout),
            proposal: None,
        };
        rollout.start_wave(now, wave, &logged_rollout.without);
        rollout.apply_logged_stop(logged_rollout);
        Some(rollout)
    }

    /// Applies a new log state.
    pub fn update(&mut self, now: Micros, logged_rollout: &LoggedRollout) {
        if let Some(wave) = logged_rollout
            .wave
            .filter(|wave| (*wave, logged_rollout.passes.0) > (self.wave, self.skips.total()))
        {
            // The replacement of a skipped first member was in a later wave until now.
            for (name, wave) in &logged_rollout.members {
                self.members.entry(name.clone()).and_modify(|state| state.wave = *wave);
            }
            self.baseline.clone_from(&logged_rollout.baseline);
            self.skips.wave_started(now, logged_rollout);
            self.start_wave(now, wave, &logged_rollout.without);
        }
        self.skips.record_logged(now, &logged_rollout.heard);
        // One of the members has responded to another leader in the meantime, so the log would reject this
        // proposal for ever.
        if matches!(&self.proposal, Some(Progress::Pass { members }) if !members.is_disjoint(&logged_rollout.heard))
        {
            self.proposal = None;
        }
        self.apply_logged_stop(logged_rollout);
    }

    fn apply_logged_stop(&mut self, logged_rollout: &LoggedRollout) {
        if let Some(why) = &logged_rollout.halted {
            self.phase = Phase::Stopped(StopReason::Told(why.clone()));
            self.proposal = None;
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
    pub fn proposal(&self) -> Option<&Progress> {
        self.proposal.as_ref()
    }

    /// Returns the index of the wave that started last.
    pub fn wave(&self) -> usize {
        self.wave
    }

    /// Returns the number of skips in all waves.
    pub fn total_skips(&self) -> usize {
        self.skips.total()
    }

    /// Returns the members whose response should be logged now. Without this entry, the next leader could not
    /// tell a member that the version killed from one that was already gone.
    pub fn unlogged_responses(&self, now: Micros) -> Option<BTreeSet<Name>> {
        let soon = self.wave == 0 || self.missing == 0;
        (self.phase == Phase::Running).then(|| self.skips.due_for_log(now, soon)).flatten()
    }

    /// Returns the latest health of the members not yet reached, to be logged with the next wave.
    pub(crate) fn control(&self) -> HealthTotals {
        self.control
    }

    /// Returns whether the version was sent to the member.
    pub fn is_reached(&self, member: &Name) -> bool {
        self.members.get(member).is_some_and(|state| state.wave <= self.wave)
    }

    /// Handles a member's report: whether it applies the version, and its health. The cost does not depend on
    /// the number of members.
    pub fn report(&mut self, now: Micros, member: &Name, start: Start, applied: bool, health: Health) {
        if self.phase != Phase::Running {
            return;
        }
        let Some(state) = self.members.get_mut(member) else { return };
        match &mut state.health {
            Some(tracker) => tracker.report(now, start, health),
            None => {
                let tracker =
                    HealthTracker::new(now, start, health).with_base_memory(self.baseline.memory(member));
                state.health = Some(tracker);
            }
        }
        if applied {
            self.record_response(member);
        }
        self.skips.member_returned(member);
        self.set_applied(now, member, applied);
        let soaked = self.all_applied_since.is_some_and(|since| now >= since.saturating_add(self.plan.soak));
        if let Some(state) = self.members.get_mut(member)
            && soaked
            && state.expected
            && state.wave <= self.wave
            && !std::mem::replace(&mut state.confirmed, true)
        {
            self.unconfirmed = self.unconfirmed.saturating_sub(1);
        }
    }

    /// Handles the loss or silence of a member; it is then unknown what the member applies.
    pub fn member_lost(&mut self, now: Micros, member: &Name) {
        if self.phase == Phase::Running {
            self.set_applied(now, member, false);
            if self.is_awaited(member) {
                self.skips.member_gone(member);
            }
        }
    }

    /// Handles a response of a member since its wave started: it applies the version, cannot apply it, or
    /// sent any report so late that the version must have been delivered. From then on its silence is
    /// evidence against the version.
    pub fn record_response(&mut self, member: &Name) {
        if self.phase != Phase::Running || !self.is_awaited(member) {
            return;
        }
        if self.skips.record_response(member)
            && matches!(&self.proposal, Some(Progress::Pass { members }) if members.contains(member))
        {
            self.proposal = None;
        }
    }

    /// Returns whether a report that was written after this time proves that the version was delivered.
    pub fn proves_delivery(&self, written: Micros) -> bool {
        written >= self.wave_started.saturating_add(DELIVERY_ASSUMED_AFTER)
    }

    fn is_awaited(&self, member: &Name) -> bool {
        self.members.get(member).is_some_and(|state| state.expected && state.wave <= self.wave)
    }

    /// Handles the start of this member's leadership. What it knew about the members may be out of date, so
    /// it waits for new reports. Findings of the previous leader that are not in the log do not count.
    pub fn resume(&mut self, now: Micros) {
        if matches!(self.phase, Phase::Stopped(StopReason::Told(_))) {
            return;
        }
        self.phase = Phase::Running;
        for state in self.members.values_mut() {
            (state.applied, state.health) = (false, None);
        }
        self.control = self.baseline.control;
        self.skips.resume();
        self.reset_wave(now);
    }

    fn start_wave(&mut self, now: Micros, wave: usize, without: &BTreeSet<Name>) {
        self.wave = wave;
        for (name, state) in &mut self.members {
            state.expected = !without.contains(name);
        }
        self.reset_wave(now);
    }

    fn reset_wave(&mut self, now: Micros) {
        (self.wave_started, self.proposal) = (now, None);
        let (mut awaited, mut unconfirmed, mut missing) = (0, 0, 0);
        for state in self.members.values_mut() {
            state.confirmed = false;
            if state.wave <= self.wave && state.expected {
                awaited += 1;
                unconfirmed += 1;
                missing += usize::from(!state.applied);
            }
            // Reached and unreached members are compared over the same time.
            if let Some(tracker) = &mut state.health {
                tracker.rebase(now);
            }
        }
        (self.awaited, self.missing, self.unconfirmed) = (awaited, missing, unconfirmed);
        self.all_applied_since = (missing == 0).then_some(now);
    }

    fn set_applied(&mut self, now: Micros, member: &Name, applied: bool) {
        let Some(state) = self.members.get_mut(member) else { return };
        let before = std::mem::replace(&mut state.applied, applied);
        if state.wave > self.wave || !state.expected || before == applied {
            return;
        }
        self.missing = if applied { self.missing.saturating_sub(1) } else { self.missing + 1 };
        self.all_applied_since = (self.missing == 0).then_some(now);
        if self.missing > 0 {
            return;
        }
        // All of them have to confirm the version after the soak time that starts now.
        let mut unconfirmed = 0;
        for state in self.members.values_mut().filter(|state| state.expected && state.wave <= self.wave) {
            state.confirmed = false;
            unconfirmed += 1;
        }
        self.unconfirmed = unconfirmed;
    }
}

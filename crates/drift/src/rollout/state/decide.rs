//! Decides over time which log entry to propose next for a rollout.

use super::{MemberState, Rollout};
use crate::Micros;
use crate::rollout::health::HealthTotals;
use crate::rollout::skipping::SKIP_DELAY;
use crate::rollout::{Phase, Progress, StopReason};

impl Rollout {
    /// Returns the next time at which [`Rollout::tick`] has something to decide.
    pub fn next(&self) -> Option<Micros> {
        let skipping = matches!(self.proposal, Some(Progress::Pass { .. }));
        if self.phase != Phase::Running || self.proposal.is_some() && !skipping {
            return None;
        }
        // A wave that was in line just before its deadline still gets its soak time.
        let deadline = self.wave_started.saturating_add(self.plan.wave_for).saturating_add(self.plan.soak);
        if skipping {
            // If no member can replace the first one, the wave is late nevertheless.
            return Some(self.skips.extend_deadline(deadline));
        }
        let soaked = self.all_applied_since.filter(|_| self.unconfirmed == 0);
        let soaked = soaked.map(|since| since.saturating_add(self.plan.soak));
        let skip_delay = SKIP_DELAY.min(self.plan.wave_for);
        let skip = self.can_skip_missing().then(|| self.wave_started.saturating_add(skip_delay));
        Some([soaked, skip].into_iter().flatten().fold(deadline, Micros::min))
    }

    /// Handles the passing of time and returns a new proposal, if there is one; [`Rollout::proposal`] keeps
    /// it. The cost is proportional to the number of members.
    pub fn tick(&mut self, now: Micros) -> Option<Progress> {
        if self.next().is_none_or(|next| now < next) {
            return None;
        }
        let soaked = self.all_applied_since.is_some_and(|since| now >= since.saturating_add(self.plan.soak));
        let skipping = matches!(self.proposal, Some(Progress::Pass { .. }));
        if now >= self.wave_started.saturating_add(self.plan.wave_for) {
            // A member that was silent for this long counts as gone, even if its death was not detected.
            let is_silent = |state: &MemberState| state.expected && state.wave <= self.wave && !state.applied;
            let silent = self.members.iter().filter(|(_, state)| is_silent(state)).map(|(name, _)| name);
            silent.for_each(|name| self.skips.member_gone(name));
        }
        let proposal = if soaked && self.unconfirmed == 0 {
            self.compare_health()
        } else if self.can_skip_missing() && !skipping {
            Progress::Pass { members: self.skips.propose(now) }
        } else {
            Progress::Stopped(self.late_reason())
        };
        match &proposal {
            Progress::Stopped(why) => self.phase = Phase::Stopped(why.clone()),
            Progress::Done => self.phase = Phase::Done,
            Progress::Next { .. } | Progress::Pass { .. } | Progress::Superseded => {}
        }
        self.proposal = Some(proposal.clone());
        Some(proposal)
    }

    /// Returns whether all missing members of the wave are gone without a response, and may be skipped.
    fn can_skip_missing(&self) -> bool {
        self.skips.may_skip(self.wave, self.missing, self.awaited)
    }

    fn late_reason(&self) -> StopReason {
        let is_late = |state: &MemberState| {
            state.expected && state.wave <= self.wave && !(state.applied && state.confirmed)
        };
        let unapplied = self.members.iter().find(|(_, state)| is_late(state) && !state.applied);
        let member = unapplied.or_else(|| self.members.iter().find(|(_, state)| is_late(state)));
        let members = if self.missing > 0 { self.missing } else { self.unconfirmed };
        match member {
            Some((name, _)) => StopReason::Late { wave: self.wave, member: name.clone(), members },
            None => StopReason::Told("it was not in line in time".to_owned()),
        }
    }

    fn compare_health(&mut self) -> Progress {
        let sum = |rollout: &Self, reached: bool| {
            let of = rollout.members.values().filter(|state| (state.wave <= rollout.wave) == reached);
            HealthTotals::of(of.filter_map(|state| state.health.as_ref()))
        };
        let rest = sum(self, false);
        if !rest.is_empty() {
            self.control = rest;
        }
        if let Some(what) = sum(self, true).worse_figure(&self.control, &self.plan.thresholds) {
            return Progress::Stopped(StopReason::Worse(what));
        }
        let next = self.members.values().map(|state| state.wave).filter(|wave| *wave > self.wave).min();
        next.map_or(Progress::Done, |wave| Progress::Next { wave })
    }
}

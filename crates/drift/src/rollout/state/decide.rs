//! Decides over time which log entry to propose next for a rollout.

use super::{One, Rollout};
use crate::Micros;
use crate::rollout::fare::Sum;
use crate::rollout::passing::PATIENCE;
use crate::rollout::{Phase, Progress, Why};

impl Rollout {
    /// Returns the next time at which [`Rollout::tick`] has something to decide.
    pub fn next(&self) -> Option<Micros> {
        let passing = matches!(self.wish, Some(Progress::Pass { .. }));
        if self.phase != Phase::Running || self.wish.is_some() && !passing {
            return None;
        }
        // A wave that was in line just before its deadline still gets its soak time.
        let late = self.left.saturating_add(self.plan.wave_for).saturating_add(self.plan.soak);
        if passing {
            // If no member can replace the first one, the wave is late nevertheless.
            return Some(self.passing.late(late));
        }
        let soaked = self.all.filter(|_| self.unsoaked == 0);
        let soaked = soaked.map(|all| all.saturating_add(self.plan.soak));
        let patience = PATIENCE.min(self.plan.wave_for);
        let pass = self.passable().then(|| self.left.saturating_add(patience));
        Some([soaked, pass].into_iter().flatten().fold(late, Micros::min))
    }

    /// Handles the passing of time and returns a new proposal, if there is one; [`Rollout::proposal`] keeps
    /// it. The cost is proportional to the number of members.
    pub fn tick(&mut self, now: Micros) -> Option<Progress> {
        if self.next().is_none_or(|next| now < next) {
            return None;
        }
        let soaked = self.all.is_some_and(|all| now >= all.saturating_add(self.plan.soak));
        let passing = matches!(self.wish, Some(Progress::Pass { .. }));
        if now >= self.left.saturating_add(self.plan.wave_for) {
            // A member that was silent for this long counts as gone, even if its death was not detected.
            let silent = |one: &One| one.waited && one.wave <= self.wave && !one.applied;
            let silent = self.members.iter().filter(|(_, one)| silent(one)).map(|(name, _)| name);
            silent.for_each(|name| self.passing.gone(name));
        }
        let wish = if soaked && self.unsoaked == 0 {
            self.compare()
        } else if self.passable() && !passing {
            Progress::Pass { members: self.passing.wish(now) }
        } else {
            Progress::Stopped(self.late())
        };
        match &wish {
            Progress::Stopped(why) => self.phase = Phase::Stopped(why.clone()),
            Progress::Done => self.phase = Phase::Done,
            Progress::Next { .. } | Progress::Pass { .. } | Progress::Superseded => {}
        }
        self.wish = Some(wish.clone());
        Some(wish)
    }

    /// Returns whether all missing members of the wave are gone without a response, and may be skipped.
    fn passable(&self) -> bool {
        self.passing.allows(self.wave, self.missing, self.awaited)
    }

    fn late(&self) -> Why {
        let late = |one: &One| one.waited && one.wave <= self.wave && !(one.applied && one.soaked);
        let worse = self.members.iter().find(|(_, one)| late(one) && !one.applied);
        let member = worse.or_else(|| self.members.iter().find(|(_, one)| late(one)));
        let members = if self.missing > 0 { self.missing } else { self.unsoaked };
        match member {
            Some((name, _)) => Why::Late { wave: self.wave, member: name.clone(), members },
            None => Why::Told("it was not in line in time".to_owned()),
        }
    }

    fn compare(&mut self) -> Progress {
        let sum = |rollout: &Self, reached: bool| {
            let of = rollout.members.values().filter(|one| (one.wave <= rollout.wave) == reached);
            Sum::of(of.filter_map(|one| one.since.as_ref()))
        };
        let rest = sum(self, false);
        if !rest.is_empty() {
            self.control = rest;
        }
        if let Some(what) = sum(self, true).worse_than(&self.control, &self.plan.worse) {
            return Progress::Stopped(Why::Worse(what));
        }
        let next = self.members.values().map(|one| one.wave).filter(|wave| *wave > self.wave).min();
        next.map_or(Progress::Done, |wave| Progress::Next { wave })
    }
}

//! The detector's handling of rollouts.

use super::{Desired, Detector, Output};
use crate::Micros;
use crate::rollout::{Baseline, Progress, Reach, Rollout};
use heronroute_fleet::{Name, Standing, Term};
use std::collections::BTreeSet;

/// The maximum number of known rollouts. The owner of the log starts no more at the same time.
pub const MOST_ROLLOUTS: usize = 16;

impl Detector {
    /// Applies the log state of a rollout. Must be called at every keeper whenever the log state changes, and
    /// before [`Detector::desired`] is called with the version. From then on each member is compared with
    /// what its wave is meant to apply.
    pub fn reach(&mut self, now: Micros, reach: &Reach) {
        let client = reach.plan.client.clone();
        if self.rollouts.get(&client).is_some_and(|one| one.plan().version != reach.plan.version) {
            self.say(&client, Progress::Superseded);
            self.rollouts.remove(&client);
        }
        let left = |one: &Rollout| (one.wave(), one.passes());
        let before = self.rollouts.get(&client).map(left);
        let room = self.rollouts.len() < MOST_ROLLOUTS;
        match self.rollouts.get_mut(&client) {
            Some(rollout) => rollout.reach(now, reach),
            None if room => {
                let begun = Rollout::begin(now, reach);
                self.rollouts.extend(begun.map(|rollout| (client.clone(), rollout)));
            }
            None => self.dropped.no_room += 1,
        }
        let mut changed = Vec::new();
        for (name, wave) in &reach.members {
            let meant = reach.meant.get(*wave).copied().filter(|meant| meant.0 != reach.plan.version);
            if self.wanted.hold(name, &client, meant) {
                changed.push(name.clone());
            }
        }
        if self.rollouts.get(&client).map(left) != before {
            // The members that it reaches get the full time for a rollout from now on.
            self.wanted.again(now, &client);
        }
        changed.iter().for_each(|name| self.look(now, name, true));
    }

    /// Records that a client's last version now applies to all members. Must be called after
    /// [`Detector::desired`].
    pub fn reached_all(&mut self, now: Micros, client: &str) {
        self.rollouts.remove(client);
        let changed = self.wanted.release(client);
        if !changed.is_empty() {
            self.wanted.again(now, client);
        }
        changed.iter().for_each(|name| self.look(now, name, true));
    }

    /// Returns the proposed log entry for a client's rollout.
    pub fn wish(&self, now: Micros, client: &str) -> Option<&Progress> {
        self.rollouts.get(client).filter(|_| self.acting(now))?.wish()
    }

    /// Returns the members whose response to a client's rollout should be logged now.
    pub fn news(&self, now: Micros, client: &str) -> Option<BTreeSet<Name>> {
        self.rollouts.get(client).filter(|_| self.acting(now))?.news(now)
    }

    /// Returns the baseline for the next wave of a client, to be logged. The cost is proportional to the
    /// number of members.
    pub fn baseline(&self, client: &str) -> Baseline {
        let control = self.rollouts.get(client).map(Rollout::control).unwrap_or_default();
        // It is unknown for members that have not reported in this term.
        let heard = self.members.iter().filter(|(_, member)| member.heard.is_some());
        Baseline::new(control, heard.map(|(name, member)| (name, member.health.memory)))
    }

    /// Returns whether a member is alive and has reported recently in this term, so that a rollout can count
    /// on it.
    pub fn heard(&self, now: Micros, name: &Name) -> bool {
        let fresh = |heard: Micros| now <= heard.saturating_add(self.config.suspect_for);
        self.lives(name) && self.members.get(name).and_then(|member| member.heard).is_some_and(fresh)
    }

    /// Returns whether a member is believed to be alive.
    pub fn lives(&self, name: &Name) -> bool {
        self.members.get(name).is_some_and(|member| member.standing == Standing::Alive)
    }

    pub(super) fn supersede(&mut self, desired: &Desired) {
        let newer = |one: &Rollout| desired.version != one.plan().version;
        if self.rollouts.get(&desired.client).is_some_and(newer) {
            self.say(&desired.client, Progress::Superseded);
            self.rollouts.remove(&desired.client);
        }
    }

    /// Handles a fresh report of a member.
    pub(super) fn roll_report(&mut self, now: Micros, name: &Name) {
        let Some(member) = self.members.get(name) else { return };
        for (client, rollout) in &mut self.rollouts {
            let desired = self.wanted.of(name).tree.get(client);
            let applied = member.accounted()
                && desired.is_some_and(|leaf| leaf.version == rollout.plan().version)
                && member.believed.get(client) == desired
                && member.proof.false_for.as_ref() != Some(client);
            let late = member.heard.is_some_and(|written| rollout.late_word(written));
            if late || member.troubles.contains_key(client) {
                rollout.word(name);
            }
            rollout.report(now, name, member.start, applied, member.health);
        }
    }

    pub(super) fn roll_tick(&mut self, now: Micros) {
        let due = |one: &Rollout| one.next().is_some_and(|next| next <= now);
        let clients: Vec<String> =
            self.rollouts.iter().filter(|(_, one)| due(one)).map(|(c, _)| c.clone()).collect();
        for client in clients {
            if let Some(progress) = self.rollouts.get_mut(&client).and_then(|rollout| rollout.tick(now)) {
                self.say(&client, progress);
            }
        }
    }

    /// Handles the start of this member's leadership.
    pub(super) fn roll_resume(&mut self, now: Micros) {
        self.rollouts.values_mut().for_each(|rollout| rollout.resume(now));
    }

    fn say(&mut self, client: &str, progress: Progress) {
        let term: Term = self.charge.term();
        let version = self.rollouts.get(client).map_or(0, |one| one.plan().version);
        self.push(Output::Rollout { term, client: client.to_owned(), version, progress });
    }
}

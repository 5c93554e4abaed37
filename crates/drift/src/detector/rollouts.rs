//! The detector's handling of rollouts.

use super::{Desired, Detector, Output};
use crate::Micros;
use crate::rollout::{Baseline, LoggedRollout, Progress, Rollout};
use heronroute_fleet::{Name, Standing, Term};
use std::collections::BTreeSet;

/// The maximum number of known rollouts. The owner of the log starts no more at the same time.
pub const MAX_ROLLOUTS: usize = 16;

impl Detector {
    /// Applies the log state of a rollout. Must be called at every keeper whenever the log state changes, and
    /// before [`Detector::desired`] is called with the version. From then on each member is compared with
    /// what its wave is meant to apply.
    pub fn logged_rollout(&mut self, now: Micros, logged_rollout: &LoggedRollout) {
        let client = logged_rollout.plan.client.clone();
        if self
            .rollouts
            .get(&client)
            .is_some_and(|rollout| rollout.plan().version != logged_rollout.plan.version)
        {
            self.push_progress(&client, Progress::Superseded);
            self.rollouts.remove(&client);
        }
        let progress_key = |rollout: &Rollout| (rollout.wave(), rollout.total_skips());
        let before = self.rollouts.get(&client).map(progress_key);
        let room = self.rollouts.len() < MAX_ROLLOUTS;
        match self.rollouts.get_mut(&client) {
            Some(rollout) => rollout.update(now, logged_rollout),
            None if room => {
                let new = Rollout::from_log(now, logged_rollout);
                self.rollouts.extend(new.map(|rollout| (client.clone(), rollout)));
            }
            None => self.dropped.no_room += 1,
        }
        let mut changed = Vec::new();
        for (name, wave) in &logged_rollout.members {
            let meant = logged_rollout
                .meant
                .get(*wave)
                .copied()
                .filter(|meant| meant.0 != logged_rollout.plan.version);
            if self.desired_state.pin(name, &client, meant) {
                changed.push(name.clone());
            }
        }
        if self.rollouts.get(&client).map(progress_key) != before {
            // The members that it reaches get the full time for a rollout from now on.
            self.desired_state.renew(now, &client);
        }
        changed.iter().for_each(|name| self.check_member(now, name, true));
    }

    /// Records that a client's last version now applies to all members. Must be called after
    /// [`Detector::desired`].
    pub fn finish_rollout(&mut self, now: Micros, client: &str) {
        self.rollouts.remove(client);
        let changed = self.desired_state.unpin_all(client);
        if !changed.is_empty() {
            self.desired_state.renew(now, client);
        }
        changed.iter().for_each(|name| self.check_member(now, name, true));
    }

    /// Returns the proposed log entry for a client's rollout.
    pub fn proposal(&self, now: Micros, client: &str) -> Option<&Progress> {
        self.rollouts.get(client).filter(|_| self.is_leading(now))?.proposal()
    }

    /// Returns the members whose response to a client's rollout should be logged now.
    pub fn unlogged_responses(&self, now: Micros, client: &str) -> Option<BTreeSet<Name>> {
        self.rollouts.get(client).filter(|_| self.is_leading(now))?.unlogged_responses(now)
    }

    /// Returns the baseline for the next wave of a client, to be logged. The cost is proportional to the
    /// number of members.
    pub fn baseline(&self, client: &str) -> Baseline {
        let control = self.rollouts.get(client).map(Rollout::control).unwrap_or_default();
        // It is unknown for members that have not reported in this term.
        let reporting = self.members.iter().filter(|(_, member)| member.written_after.is_some());
        Baseline::new(control, reporting.map(|(name, member)| (name, member.health.memory)))
    }

    /// Returns whether a member is alive and has reported recently in this term, so that a rollout can count
    /// on it.
    pub fn heard(&self, now: Micros, name: &Name) -> bool {
        let fresh = |written: Micros| now <= written.saturating_add(self.config.suspect_for);
        self.is_alive(name)
            && self.members.get(name).and_then(|member| member.written_after).is_some_and(fresh)
    }

    /// Returns whether a member is believed to be alive.
    pub fn is_alive(&self, name: &Name) -> bool {
        self.members.get(name).is_some_and(|member| member.standing == Standing::Alive)
    }

    pub(super) fn supersede(&mut self, desired: &Desired) {
        let newer = |rollout: &Rollout| desired.version != rollout.plan().version;
        if self.rollouts.get(&desired.client).is_some_and(newer) {
            self.push_progress(&desired.client, Progress::Superseded);
            self.rollouts.remove(&desired.client);
        }
    }

    /// Handles a fresh report of a member.
    pub(super) fn rollouts_report(&mut self, now: Micros, name: &Name) {
        let Some(member) = self.members.get(name) else { return };
        for (client, rollout) in &mut self.rollouts {
            let desired = self.desired_state.of(name).tree.get(client);
            let applied = member.matches_root()
                && desired.is_some_and(|leaf| leaf.version == rollout.plan().version)
                && member.assumed.get(client) == desired
                && member.challenges.disproved_client.as_ref() != Some(client);
            let late = member.written_after.is_some_and(|written| rollout.proves_delivery(written));
            if late || member.problems.contains_key(client) {
                rollout.record_response(name);
            }
            rollout.report(now, name, member.start, applied, member.health);
        }
    }

    pub(super) fn rollouts_tick(&mut self, now: Micros) {
        let due = |rollout: &Rollout| rollout.next().is_some_and(|next| next <= now);
        let clients: Vec<String> =
            self.rollouts.iter().filter(|(_, rollout)| due(rollout)).map(|(c, _)| c.clone()).collect();
        for client in clients {
            if let Some(progress) = self.rollouts.get_mut(&client).and_then(|rollout| rollout.tick(now)) {
                self.push_progress(&client, progress);
            }
        }
    }

    /// Handles the start of this member's leadership.
    pub(super) fn rollouts_resume(&mut self, now: Micros) {
        self.rollouts.values_mut().for_each(|rollout| rollout.resume(now));
    }

    fn push_progress(&mut self, client: &str, progress: Progress) {
        let term: Term = self.leadership.term();
        let version = self.rollouts.get(client).map_or(0, |rollout| rollout.plan().version);
        self.push(Output::Rollout { term, client: client.to_owned(), version, progress });
    }
}

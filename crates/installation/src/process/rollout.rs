//! Rollouts: changes in the log go to the detector and the nodes; the leader proposes the next steps.

use super::Installation;
use crate::Micros;
use crate::machine::Body;
use crate::waves::{Halt, PassOver, Rollout, Wave};
use heronroute_drift::rollout::HealthThresholds;
use heronroute_drift::{LoggedRollout, Progress, RolloutPlan, content};
use heronroute_fleet::{Name, Term};
use heronroute_journal::Storage;
use heronroute_rules::registry::Desired;
use std::collections::BTreeSet;

/// How long after the beginning of a term members without any report are taken for gone; more than two
/// reports are sent in it.
const REPORT_GRACE: Micros = 5_000_000;

impl<S: Storage> Installation<S> {
    /// Handles a change of what is desired for a client, or of its rollout.
    pub(super) fn handle_desired_change(&mut self, now: Micros, desired: &Desired) {
        self.applier.changed(&desired.client);
        let logged_rollout = self
            .machine
            .waves()
            .of(&desired.client)
            .map(|rollout| self.logged_rollout(&desired.client, rollout));
        let Some(drift_monitor) = &mut self.drift_monitor else { return };
        let detector = drift_monitor.detector_mut();
        // The members' targets first: otherwise all would be compared with the new version for a moment.
        if let Some(logged_rollout) = &logged_rollout {
            detector.logged_rollout(now, logged_rollout);
        }
        drift_monitor.set_desired(now, desired);
        if logged_rollout.is_none() {
            drift_monitor.detector_mut().finish_rollout(now, &desired.client);
        }
    }

    /// Handles the progress of a client's rollout.
    pub(super) fn update_rollout(&mut self, now: Micros, client: &str) {
        self.applier.changed(client);
        let logged_rollout =
            self.machine.waves().of(client).map(|rollout| self.logged_rollout(client, rollout));
        let Some(drift_monitor) = &mut self.drift_monitor else { return };
        match logged_rollout {
            Some(logged_rollout) => drift_monitor.detector_mut().logged_rollout(now, &logged_rollout),
            None => drift_monitor.detector_mut().finish_rollout(now, client),
        }
    }

    /// Handles new reports about a client's version: they change nothing of what members apply.
    pub(super) fn update_wave_reports(&mut self, now: Micros, client: &str) {
        let logged_rollout =
            self.machine.waves().of(client).map(|rollout| self.logged_rollout(client, rollout));
        if let (Some(drift_monitor), Some(logged_rollout)) = (&mut self.drift_monitor, logged_rollout) {
            drift_monitor.detector_mut().logged_rollout(now, &logged_rollout);
        }
    }

    fn logged_rollout(&self, client: &str, rollout: &Rollout) -> LoggedRollout {
        let Rollout { version, wave, without, halted, targets, trial, .. } = rollout;
        let of = |name: &Name| rollout.wave_of(name, &self.zones).unwrap_or(targets.len() - 1);
        LoggedRollout {
            plan: RolloutPlan {
                client: client.to_owned(),
                version: *version,
                wave_for: self.cfg.rollout.wave_for,
                soak: self.cfg.rollout.soak,
                thresholds: HealthThresholds::default(),
            },
            members: self.zones.keys().map(|name| (name.clone(), of(name))).collect(),
            meant: targets.iter().map(|set| (set.version, content::digest(&set.rules))).collect(),
            wave: *wave,
            without: without.clone(),
            heard: trial.heard.clone(),
            passes: trial.passes,
            baseline: trial.baseline.clone(),
            halted: halted.clone(),
        }
    }

    /// Proposes the next step of each rollout, as the leader. A step is proposed until the log has it, one
    /// entry of a client at a time.
    pub(super) fn propose_rollout_steps(&mut self, now: Micros, term: Term) {
        let Some(drift_monitor) = &self.drift_monitor else { return };
        let mut bodies = Vec::new();
        let mut waiting = BTreeSet::new();
        for (client, rollout) in self.machine.waves().all().filter(|(_, rollout)| rollout.halted.is_none()) {
            if self.proposals.has_rollout_of(client) {
                continue;
            }
            let version = rollout.version;
            let proposal = drift_monitor.detector().proposal(now, client);
            // First the members that reported: the wish may come from an earlier leader.
            if let Some(members) = drift_monitor.detector().unlogged_responses(now, client) {
                bodies.push(Body::MembersReported { term, client: client.clone(), version, members });
                continue;
            }
            let body = match (rollout.wave, proposal) {
                (None, _) => {
                    waiting.insert((client.clone(), version));
                    self.first_wave_proposal(now, term, client, rollout)
                }
                (_, Some(Progress::Next { wave })) => self.wave_proposal(now, term, client, rollout, *wave),
                (Some(wave), Some(Progress::Pass { members })) => {
                    self.pass_over_proposal(now, term, client, rollout, (wave, members))
                }
                (_, Some(Progress::Done)) => {
                    Some(Body::FinishRollout { term, client: client.clone(), version })
                }
                (_, Some(Progress::Stopped(why))) => {
                    let (client, why, back) = (client.clone(), why.to_string(), self.cfg.rollout.back);
                    Some(Body::Halt { term, halt: Halt { client, version, why, back } })
                }
                (_, Some(Progress::Superseded) | None) => None,
            };
            bodies.extend(body);
        }
        bodies.into_iter().for_each(|body| self.proposals.add(body));
        self.unstarted_since.retain(|key, _| waiting.contains(key));
        waiting.into_iter().for_each(|key| _ = self.unstarted_since.entry(key).or_insert(now));
    }

    /// Returns the proposal of the first wave: one member that reported lately, as one that is gone shows
    /// nothing.
    fn first_wave_proposal(&self, now: Micros, term: Term, client: &str, rollout: &Rollout) -> Option<Body> {
        let detector = self.drift_monitor.as_ref()?.detector();
        let mut reported = self.zones.keys().filter(|name| detector.heard(now, name));
        let chosen = rollout.first.as_ref().or_else(|| reported.next());
        let since = self.unstarted_since.get(&(client.to_owned(), rollout.version)).copied().unwrap_or(now);
        // If nobody reported for as long as a wave may take, this member is chosen, and the rollout reports
        // the problem.
        let late = now >= since.saturating_add(self.cfg.rollout.wave_for);
        let chosen = chosen.or_else(|| late.then_some(&self.cfg.own.name))?.clone();
        let rollout = Rollout { first: Some(chosen), ..rollout.clone() };
        self.wave_proposal(now, term, client, &rollout, 0)
    }

    /// Returns the proposal of a wave, once it is known which of its members are present.
    fn wave_proposal(
        &self,
        now: Micros,
        term: Term,
        client: &str,
        rollout: &Rollout,
        wave: usize,
    ) -> Option<Body> {
        let drift_monitor = self.drift_monitor.as_ref()?;
        let first = rollout.first.clone()?;
        let mut without = BTreeSet::new();
        for name in self.zones.keys().filter(|name| rollout.wave_of(name, &self.zones) == Some(wave)) {
            if !drift_monitor.is_present(now, name, REPORT_GRACE)? {
                without.insert(name.clone());
            }
        }
        let wave = Wave { client: client.to_owned(), version: rollout.version, first, wave, without };
        Some(Body::StartWave { term, wave, baseline: drift_monitor.detector().baseline(client) })
    }

    /// Returns the proposal to pass over these members. The first wave goes on with another member that
    /// reported lately, of the same zone if there is one; none where there is nobody.
    fn pass_over_proposal(
        &self,
        now: Micros,
        term: Term,
        client: &str,
        rollout: &Rollout,
        (wave, members): (usize, &BTreeSet<Name>),
    ) -> Option<Body> {
        let detector = self.drift_monitor.as_ref()?.detector();
        let mut next = None;
        if wave == 0 {
            let heard = |name: &&Name| {
                detector.heard(now, name) && rollout.wave_of(name, &self.zones).is_some_and(|wave| wave > 0)
            };
            let found = self.zones.keys().filter(heard).min_by_key(|name| rollout.wave_of(name, &self.zones));
            next = Some(found?.clone());
        }
        let (client, members) = (client.to_owned(), members.clone());
        Some(Body::PassOver {
            term,
            pass: PassOver { client, version: rollout.version, wave, members, next },
        })
    }
}

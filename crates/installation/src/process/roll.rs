//! Rollouts: what the log says goes to the detector and the nodes; in charge, what should come next goes to the log.

use super::Installation;
use crate::Micros;
use crate::machine::Body;
use crate::waves::{Halt, Pass, Spread, Wave};
use heronroute_drift::rollout::HealthThresholds;
use heronroute_drift::{LoggedRollout, Progress, RolloutPlan, content};
use heronroute_fleet::{Name, Term};
use heronroute_journal::Storage;
use heronroute_rules::registry::Desired;
use std::collections::BTreeSet;

/// A term has to be so old before members that no report came of are taken for gone: more than two reports come in it.
const UNKNOWN: Micros = 5_000_000;

impl<S: Storage> Installation<S> {
    /// What is desired for a client changed, or how far it has gone.
    pub(super) fn now_desired(&mut self, now: Micros, desired: &Desired) {
        self.applier.changed(&desired.client);
        let logged_rollout = self
            .machine
            .waves()
            .of(&desired.client)
            .map(|spread| self.logged_rollout(&desired.client, spread));
        let Some(watch) = &mut self.watch else { return };
        let detector = watch.detector_mut();
        // First what each is held at: else all would be held against the new version for a moment.
        if let Some(logged_rollout) = &logged_rollout {
            detector.logged_rollout(now, logged_rollout);
        }
        watch.desired(now, desired);
        if logged_rollout.is_none() {
            watch.detector_mut().finish_rollout(now, &desired.client);
        }
    }

    /// How far a client's version has gone changed.
    pub(super) fn now_reached(&mut self, now: Micros, client: &str) {
        self.applier.changed(client);
        let logged_rollout =
            self.machine.waves().of(client).map(|spread| self.logged_rollout(client, spread));
        let Some(watch) = &mut self.watch else { return };
        match logged_rollout {
            Some(logged_rollout) => watch.detector_mut().logged_rollout(now, &logged_rollout),
            None => watch.detector_mut().finish_rollout(now, client),
        }
    }

    /// Members gave word of a client's version: that changes nothing of what anybody applies.
    pub(super) fn now_heard(&mut self, now: Micros, client: &str) {
        let logged_rollout =
            self.machine.waves().of(client).map(|spread| self.logged_rollout(client, spread));
        if let (Some(watch), Some(logged_rollout)) = (&mut self.watch, logged_rollout) {
            watch.detector_mut().logged_rollout(now, &logged_rollout);
        }
    }

    fn logged_rollout(&self, client: &str, spread: &Spread) -> LoggedRollout {
        let Spread { version, wave, without, halted, meant, trial, .. } = spread;
        let of = |name: &Name| spread.place(name, &self.zones).unwrap_or(meant.len() - 1);
        LoggedRollout {
            plan: RolloutPlan {
                client: client.to_owned(),
                version: *version,
                wave_for: self.cfg.rollout.wave_for,
                soak: self.cfg.rollout.soak,
                thresholds: HealthThresholds::default(),
            },
            members: self.zones.keys().map(|name| (name.clone(), of(name))).collect(),
            meant: meant.iter().map(|set| (set.version, content::digest(&set.rules))).collect(),
            wave: *wave,
            without: without.clone(),
            heard: trial.heard.clone(),
            passes: trial.passes,
            baseline: trial.baseline.clone(),
            halted: halted.clone(),
        }
    }

    /// In charge: what should come next of each rollout. It is asked for until the log has it, one entry of a client at a time.
    pub(super) fn roll(&mut self, now: Micros, term: Term) {
        let Some(watch) = &self.watch else { return };
        let mut bodies = Vec::new();
        let mut waiting = BTreeSet::new();
        for (client, spread) in self.machine.waves().all().filter(|(_, spread)| spread.halted.is_none()) {
            if self.errands.rolls(client) {
                continue;
            }
            let version = spread.version;
            let proposal = watch.detector().proposal(now, client);
            // First who gave word: what is wished then may come from another one in charge.
            if let Some(members) = watch.detector().unlogged_responses(now, client) {
                bodies.push(Body::Heard { term, client: client.clone(), version, members });
                continue;
            }
            let body = match (spread.wave, proposal) {
                (None, _) => {
                    waiting.insert((client.clone(), version));
                    self.first_wave(now, term, client, spread)
                }
                (_, Some(Progress::Next { wave })) => self.wave(now, term, client, spread, *wave),
                (Some(wave), Some(Progress::Pass { members })) => {
                    self.pass_over(now, term, client, spread, (wave, members))
                }
                (_, Some(Progress::Done)) => Some(Body::Reached { term, client: client.clone(), version }),
                (_, Some(Progress::Stopped(why))) => {
                    let (client, why, back) = (client.clone(), why.to_string(), self.cfg.rollout.back);
                    Some(Body::Halt { term, halt: Halt { client, version, why, back } })
                }
                (_, Some(Progress::Superseded) | None) => None,
            };
            bodies.extend(body);
        }
        bodies.into_iter().for_each(|body| self.errands.add(body));
        self.unsent.retain(|key, _| waiting.contains(key));
        waiting.into_iter().for_each(|key| _ = self.unsent.entry(key).or_insert(now));
    }

    /// The first wave is one member that was heard of lately: one that is gone shows nothing.
    fn first_wave(&self, now: Micros, term: Term, client: &str, spread: &Spread) -> Option<Body> {
        let detector = self.watch.as_ref()?.detector();
        let mut heard = self.zones.keys().filter(|name| detector.heard(now, name));
        let chosen = spread.first.as_ref().or_else(|| heard.next());
        let since = self.unsent.get(&(client.to_owned(), spread.version)).copied().unwrap_or(now);
        // Where nobody was heard of for as long as a wave may take, it is this member, and the rollout says what is wrong.
        let late = now >= since.saturating_add(self.cfg.rollout.wave_for);
        let chosen = chosen.or_else(|| late.then_some(&self.cfg.own.name))?.clone();
        let spread = Spread { first: Some(chosen), ..spread.clone() };
        self.wave(now, term, client, &spread, 0)
    }

    /// Not before it is known who of them is there.
    fn wave(&self, now: Micros, term: Term, client: &str, spread: &Spread, wave: usize) -> Option<Body> {
        let watch = self.watch.as_ref()?;
        let first = spread.first.clone()?;
        let mut without = BTreeSet::new();
        for name in self.zones.keys().filter(|name| spread.place(name, &self.zones) == Some(wave)) {
            if !watch.there(now, name, UNKNOWN)? {
                without.insert(name.clone());
            }
        }
        let wave = Wave { client: client.to_owned(), version: spread.version, first, wave, without };
        Some(Body::Leave { term, wave, baseline: watch.detector().baseline(client) })
    }

    /// The wave goes on without these; the first one with another member that was heard of lately, of the same zone where there
    /// is one. None where there is nobody.
    fn pass_over(
        &self,
        now: Micros,
        term: Term,
        client: &str,
        spread: &Spread,
        (wave, members): (usize, &BTreeSet<Name>),
    ) -> Option<Body> {
        let detector = self.watch.as_ref()?.detector();
        let mut next = None;
        if wave == 0 {
            let heard = |name: &&Name| {
                detector.heard(now, name) && spread.place(name, &self.zones).is_some_and(|place| place > 0)
            };
            let found = self.zones.keys().filter(heard).min_by_key(|name| spread.place(name, &self.zones));
            next = Some(found?.clone());
        }
        let (client, members) = (client.to_owned(), members.clone());
        Some(Body::Pass { term, pass: Pass { client, version: spread.version, wave, members, next } })
    }
}

//! Outputs of the keepers: committed entries in order, and the results of requests.

use super::Installation;
use crate::Micros;
use crate::asks;
use crate::leader::term_start_proposals;
use crate::machine::{Body, Effect};
use crate::seam::Output;
use crate::wire::Wire;
use heronroute_fleet::replicas::{self, Answer, Lane};
use heronroute_fleet::{Decided, Name, Request};
use heronroute_journal::Storage;
use heronroute_rules::check::{Finding, Findings};
use heronroute_rules::registry::Reply;
use heronroute_rules::seam::ClientRequest;

impl<S: Storage> Installation<S> {
    pub(super) fn drain_keepers(&mut self, now: Micros) {
        while let Some(output) = self.replicas.poll() {
            match output {
                replicas::Output::Send { to, lane, bytes } if self.allows().agrees => {
                    let Some(peer) = self.peer_indexes.get(&to).copied() else { continue };
                    let wire = match lane {
                        Lane::Agreement => Wire::Agreement(&bytes),
                        Lane::Log => Wire::Log(&bytes),
                    };
                    self.send(peer, &wire);
                }
                replicas::Output::Send { .. } => {}
                replicas::Output::Decided(decided) => self.handle_decided(now, decided),
                replicas::Output::Restore { index, machine } => self.handle_restored(now, index, &machine),
                replicas::Output::WantSnapshot { index } => {
                    if index == self.machine.index() {
                        let machine = self.machine.snapshot();
                        self.replicas.snapshot(index, machine);
                    }
                }
                replicas::Output::Answer { request, answer } => self.handle_answer(now, &request, answer),
                replicas::Output::Participation(standing) => {
                    tracing::info!(?standing, "role in agreement changed")
                }
            }
        }
    }

    fn handle_decided(&mut self, now: Micros, decided: Decided) {
        let effect = self.machine.apply(&decided);
        self.outputs.push(Output::Decided(decided.clone()));
        let request = &decided.entry.request;
        let own = request.from == self.cfg.own;
        self.region_life_seen(now, &request.from);
        match effect {
            Effect::Rules(outcome) => {
                outcome.changed.iter().for_each(|desired| self.handle_desired_change(now, desired));
                if own && let Some((client_request, _)) = self.pending.take_request(request.number) {
                    self.outputs.push(Output::Told(asks::reply(&client_request, &outcome.reply)));
                }
            }
            Effect::Joined => {}
            // Only now: proposals that another leader made before this entry are committed too, or void.
            Effect::TermBegan(term) if own && self.in_charge(now).is_some_and(|lease| lease.term == term) => {
                let mut bodies = term_start_proposals(self.machine.registry(), &self.cfg.clients, term);
                let waves = self.cfg.rollout.waves && self.cfg.peers.len() > 1;
                bodies.extend(self.region_list_proposal(term));
                if waves != self.machine.waves().enabled() {
                    bodies.insert(0, Body::SetWaves { term, waves });
                }
                // Nobody else would lift the fences of a member that is no longer in the settings.
                let gone = self
                    .machine
                    .fences()
                    .all()
                    .filter(|(member, _)| !self.peer_indexes.contains_key(*member));
                bodies.extend(gone.map(|(member, client)| Body::fence(term, member, client, false)));
                self.proposals.replace(bodies);
                if let Some(drift_monitor) = &mut self.drift_monitor {
                    drift_monitor.load_fences(now, self.machine.fences());
                }
            }
            Effect::TermBegan(_) => {}
            Effect::RolloutsChanged { clients, changed } => {
                changed.iter().for_each(|desired| self.handle_desired_change(now, desired));
                clients.iter().for_each(|client| self.handle_rollout_change(now, client));
            }
            Effect::MembersReported { client } => self.update_wave_reports(now, &client),
            Effect::FindingsSaved => {
                if let Some(drift_monitor) = self.drift_monitor.as_mut().filter(|_| !own) {
                    drift_monitor.restore_findings(now, self.machine.findings());
                    drift_monitor.load_fences(now, self.machine.fences());
                }
            }
            Effect::Fenced { member, client, is_set } => self.handle_fence(now, &member, &client, is_set),
            Effect::Region(effect) => self.region_effect(&effect),
            Effect::Nothing => tracing::debug!(index = decided.index, "a log entry had no effect"),
        }
        if own && !self.incomplete {
            self.applier.entry_committed();
        }
    }

    /// Reports the progress of a client's rollout to the nodes, the detector and the event log.
    fn handle_rollout_change(&mut self, now: Micros, client: &str) {
        self.update_rollout(now, client);
        let waves = self.machine.waves();
        match (waves.of(client), waves.stop(client)) {
            (Some(one), _) => match &one.halted {
                Some(why) => tracing::warn!(
                    client,
                    version = one.version,
                    why,
                    "a rollout stopped, without a rollback"
                ),
                None => tracing::info!(
                    client,
                    version = one.version,
                    wave = one.wave.map(|w| w + 1),
                    passed_over = one.trial.passes.0,
                    "a wave leaves"
                ),
            },
            (None, Some(stop)) => {
                tracing::warn!(
                    client,
                    version = stop.version,
                    why = stop.why,
                    back = stop.back,
                    "a rollout stopped, and goes back"
                );
            }
            (None, None) => tracing::info!(client, "a rollout reached all members"),
        }
    }

    fn handle_restored(&mut self, now: Micros, index: u64, machine: &[u8]) {
        self.incomplete = !self.machine.restore(index, machine);
        // A log that diverged from the other keepers' was dropped, with everything in it.
        self.had_disk &= index > 0;
        if self.incomplete {
            // The snapshot is damaged or of a newer version of the program: the old state stays and is marked
            // as incomplete.
            tracing::error!(index, "the snapshot sent by the keepers can't be read");
            return;
        }
        let all: Vec<_> = self.machine.registry().all().collect();
        all.iter().for_each(|desired| self.handle_desired_change(now, desired));
        self.applier.replace_fences(self.machine.fences().of(&self.cfg.own.name));
        self.region_restored();
        if let Some(drift_monitor) = &mut self.drift_monitor {
            drift_monitor.restore_findings(now, self.machine.findings());
            drift_monitor.load_fences(now, self.machine.fences());
        }
    }

    /// Handles a fence that was set or lifted at a member.
    fn handle_fence(&mut self, now: Micros, member: &Name, client: &str, is_set: bool) {
        if *member == self.cfg.own.name {
            match is_set {
                true => self.applier.fence(client),
                false => self.applier.lift(client),
            }
        }
        if let Some(drift_monitor) = &mut self.drift_monitor {
            drift_monitor.detector_mut().fenced(now, member, client, is_set);
        }
    }

    fn handle_answer(&mut self, now: Micros, request: &Request, answer: Answer) {
        if matches!(answer, Answer::Decided(_)) && !self.incomplete {
            self.applier.entry_committed();
        }
        if request.from != self.cfg.own || self.proposals.answered(now, request.number, answer) {
            return;
        }
        let Some((client_request, command)) = self.pending.take_request(request.number) else { return };
        let reply = match answer {
            // The entry is part of a restored snapshot: the registry knows the request and gives the same
            // reply again.
            Answer::Decided(_) => {
                let again = self.machine.registry().preview(self.wall, &command);
                asks::reply(&client_request, &again.reply)
            }
            Answer::NoMajority | Answer::Superseded => asks::no_majority(&client_request),
            Answer::Busy => asks::busy(&client_request),
            Answer::Long => asks::reply(&client_request, &too_long_reply()),
        };
        self.outputs.push(Output::Told(reply));
    }

    pub(super) fn propose(
        &mut self,
        now: Micros,
        client_request: ClientRequest,
        command: heronroute_rules::registry::Command,
    ) {
        let number = self.next_number();
        let body = Body::Rules(command.clone()).pack();
        if let Some(evicted) = self.pending.add_request(number, client_request, command) {
            self.outputs.push(Output::Told(asks::busy(&evicted)));
        }
        let request = Request { from: self.cfg.own.clone(), number };
        self.replicas.propose(now, request, self.wall, body);
    }

    pub(super) fn propose_next(&mut self, now: Micros) {
        let number = self.last_number + 1;
        let leads = self.in_charge(now).is_some();
        if let Some(body) = self.proposals.next(now, number, leads) {
            self.last_number = number;
            let request = Request { from: self.cfg.own.clone(), number };
            self.replicas.propose(now, request, self.wall, body);
        }
    }
}

fn too_long_reply() -> Reply {
    let findings = Findings::one(Finding::new("", "rules", "", "48KiB", "too long to be agreed on"));
    Reply::Refused { version: None, findings }
}

//! What the keepers' part says: entries in their order, and what became of requests.

use super::Installation;
use crate::Micros;
use crate::asks;
use crate::charge::settings;
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
    pub(super) fn learn(&mut self, now: Micros) {
        while let Some(output) = self.replicas.poll() {
            match output {
                replicas::Output::Send { to, lane, bytes } if self.allows().agrees => {
                    let Some(peer) = self.places.get(&to).copied() else { continue };
                    let wire = match lane {
                        Lane::Agreement => Wire::Agreement(&bytes),
                        Lane::Log => Wire::Log(&bytes),
                    };
                    self.send(peer, &wire);
                }
                replicas::Output::Send { .. } => {}
                replicas::Output::Decided(decided) => self.decided(now, decided),
                replicas::Output::Restore { index, machine } => self.restored(now, index, &machine),
                replicas::Output::WantSnapshot { index } => {
                    if index == self.machine.index() {
                        let machine = self.machine.snapshot();
                        self.replicas.snapshot(index, machine);
                    }
                }
                replicas::Output::Answer { request, answer } => self.answered(now, &request, answer),
                replicas::Output::Participation(standing) => tracing::info!(?standing, "part in agreement"),
            }
        }
    }

    fn decided(&mut self, now: Micros, decided: Decided) {
        let effect = self.machine.apply(&decided);
        self.outputs.push(Output::Decided(decided.clone()));
        let request = &decided.entry.request;
        let own = request.from == self.cfg.own;
        self.region_heard(now, &request.from);
        match effect {
            Effect::Rules(outcome) => {
                outcome.changed.iter().for_each(|desired| self.now_desired(now, desired));
                if own && let Some((ask, _)) = self.open.answered(request.number) {
                    self.outputs.push(Output::Told(asks::reply(&ask, &outcome.reply)));
                }
            }
            Effect::Here => {}
            // Only now: what another one in charge had on the way before this is decided too, or void.
            Effect::Begun(term) if own && self.in_charge(now).is_some_and(|charge| charge.term == term) => {
                let mut bodies = settings(self.machine.registry(), &self.cfg.clients, term);
                let waves = self.cfg.rollout.waves && self.cfg.peers.len() > 1;
                bodies.extend(self.region_list(term));
                if waves != self.machine.waves().on() {
                    bodies.insert(0, Body::Pace { term, waves });
                }
                // Of a member that is no longer in the settings nobody else would lift them.
                let gone =
                    self.machine.fences().all().filter(|(member, _)| !self.places.contains_key(*member));
                bodies.extend(gone.map(|(member, client)| Body::fence(term, member, client, false)));
                self.errands.replace(bodies);
                if let Some(watch) = &mut self.watch {
                    watch.fences(now, self.machine.fences());
                }
            }
            Effect::Begun(_) => {}
            Effect::Spread { clients, changed } => {
                changed.iter().for_each(|desired| self.now_desired(now, desired));
                clients.iter().for_each(|client| self.spread(now, client));
            }
            Effect::Heard { client } => self.now_heard(now, &client),
            Effect::Found => {
                if let Some(watch) = self.watch.as_mut().filter(|_| !own) {
                    watch.found(now, self.machine.found());
                    watch.fences(now, self.machine.fences());
                }
            }
            Effect::Fenced { member, client, stands } => self.fenced(now, &member, &client, stands),
            Effect::Region(effect) => self.region_effect(&effect),
            Effect::Nothing => tracing::debug!(index = decided.index, "an entry that says nothing here"),
        }
        if own && !self.broken {
            self.applier.settle();
        }
    }

    /// How far a client's version has gone, for the nodes, the detector and the log.
    fn spread(&mut self, now: Micros, client: &str) {
        self.now_reached(now, client);
        let waves = self.machine.waves();
        match (waves.of(client), waves.stop(client)) {
            (Some(one), _) => match &one.halted {
                Some(why) => tracing::warn!(
                    client,
                    version = one.version,
                    why,
                    "a rollout stopped, and stays as it is"
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
            (None, None) => tracing::info!(client, "a version has reached all"),
        }
    }

    fn restored(&mut self, now: Micros, index: u64, machine: &[u8]) {
        self.broken = !self.machine.restore(index, machine);
        // A log that was not the other keepers' was given up: nothing that it said is left.
        self.disk &= index > 0;
        if self.broken {
            // Written by a newer version of the program, or broken: what is known stays, and is not called whole.
            tracing::error!(index, "the state that the keepers sent can't be read");
            return;
        }
        let all: Vec<_> = self.machine.registry().all().collect();
        all.iter().for_each(|desired| self.now_desired(now, desired));
        self.applier.fences(self.machine.fences().of(&self.cfg.own.name));
        self.region_restored();
        if let Some(watch) = &mut self.watch {
            watch.found(now, self.machine.found());
            watch.fences(now, self.machine.fences());
        }
    }

    /// A fence was set or lifted, here or at another member.
    fn fenced(&mut self, now: Micros, member: &Name, client: &str, stands: bool) {
        if *member == self.cfg.own.name {
            match stands {
                true => self.applier.fence(client),
                false => self.applier.lift(client),
            }
        }
        if let Some(watch) = &mut self.watch {
            watch.detector_mut().fenced(now, member, client, stands);
        }
    }

    fn answered(&mut self, now: Micros, request: &Request, answer: Answer) {
        if matches!(answer, Answer::Decided(_)) && !self.broken {
            self.applier.settle();
        }
        if request.from != self.cfg.own || self.errands.answered(now, request.number, answer) {
            return;
        }
        let Some((ask, command)) = self.open.answered(request.number) else { return };
        let told = match answer {
            // Its entry is in a state that was learnt as a whole: the registry knows the request, and says the same again.
            Answer::Decided(_) => {
                let again = self.machine.registry().preview(self.wall, &command);
                asks::reply(&ask, &again.reply)
            }
            Answer::NoMajority | Answer::Superseded => asks::no_majority(&ask),
            Answer::Busy => asks::busy(&ask),
            Answer::Long => asks::reply(&ask, &long()),
        };
        self.outputs.push(Output::Told(told));
    }

    pub(super) fn propose(
        &mut self,
        now: Micros,
        ask: ClientRequest,
        command: heronroute_rules::registry::Command,
    ) {
        let number = self.next_number();
        let body = Body::Rules(command.clone()).pack();
        if let Some(over) = self.open.request(number, ask, command) {
            self.outputs.push(Output::Told(asks::busy(&over)));
        }
        let request = Request { from: self.cfg.own.clone(), number };
        self.replicas.propose(now, request, self.wall, body);
    }

    pub(super) fn run_errand(&mut self, now: Micros) {
        let number = self.number + 1;
        let leads = self.in_charge(now).is_some();
        if let Some(body) = self.errands.next(now, number, leads) {
            self.number = number;
            let request = Request { from: self.cfg.own.clone(), number };
            self.replicas.propose(now, request, self.wall, body);
        }
    }
}

fn long() -> Reply {
    let findings = Findings::one(Finding::new("", "rules", "", "48KiB", "too long to be agreed on"));
    Reply::Refused { version: None, findings }
}

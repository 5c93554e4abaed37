//! The state machine of a member.
//!
//! Each input goes to its component; then the outputs of all components are passed on until none is left
//! ([`Installation::drain_components`]). Whether this member leads is checked before each input: a process
//! that was paused finds its lease expired before it looks at what its sockets received meanwhile.

mod answers;
mod drift;
mod dry_run;
mod inputs;
mod log;
mod membership;
mod region;
mod relay;
mod rollout;
mod start;
mod timers;

pub use start::StartError;

use crate::apply::Applier;
use crate::asks::PendingRequests;
use crate::asks::dry_runs::OpenDryRuns;
use crate::asks::rate::Rates;
use crate::condition::{Allowed, Condition, ConditionFacts};
use crate::config::Config;
use crate::leader::DriftMonitor;
use crate::machine::{Body, Machine};
use crate::proposals::PendingProposals;
use crate::relay::RelayRoutes;
use crate::report::Reports;
use crate::seam::{Input, Member, Output};
use crate::waves::Zones;
use crate::wire::{Piece, Wire};
use crate::{Micros, limits};
use heronroute_drift::Health;
use heronroute_fleet::members::Members;
use heronroute_fleet::replicas::{Leadership, Replicas};
use heronroute_fleet::{Name, Start, Term};
use heronroute_journal::Storage;
use heronroute_rules::registry::Registry;
use std::collections::BTreeMap;

/// Counts of what was dropped since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that can't be decoded or come from no peer.
    pub undecodable: u64,
    /// Messages in another member's name, or for another life.
    pub misrouted: u64,
    /// Orders of an older term, from a member that is not the leader, or received while none is taken.
    pub orders_refused: u64,
    /// Orders that answer a report sent too long ago.
    pub orders_late: u64,
    /// Messages too long to send.
    pub unsent: u64,
    /// Messages for members that are reachable neither by a link nor through a neighbour.
    pub no_route: u64,
    /// Messages relayed for others. Not dropped.
    pub relayed: u64,
    /// Messages of others that were not relayed, because their neighbour exceeded its quota.
    pub overloaded: u64,
}

/// One member of an installation. `S` stores a keeper's promises.
pub struct Installation<S: Storage> {
    cfg: Config,
    /// Indexes of the peers by name, with this member's own.
    peer_indexes: BTreeMap<Name, usize>,
    zones: Zones,
    members: Members,
    replicas: Replicas<S>,
    machine: Machine,
    applier: Applier,
    reports: Reports,
    /// None without regions in the settings.
    region_state: Option<region::RegionState>,
    /// Only at keepers: no other member ever leads.
    drift_monitor: Option<DriftMonitor>,
    pending: PendingRequests,
    dry_runs: OpenDryRuns,
    rates: Rates,
    proposals: PendingProposals,
    /// At the leader: versions whose first wave has not started, and since when that is known.
    unstarted_since: BTreeMap<(String, u64), Micros>,
    /// The number of the last request of this life.
    last_number: u64,
    /// The greatest term among accepted orders.
    obeyed_term: Term,
    health: Health,
    condition: Condition,
    linked: usize,
    relay_routes: RelayRoutes,
    had_disk: bool,
    outlived: Option<Start>,
    /// Whether it has stopped sending since a later start of its name became known.
    silenced: bool,
    /// Whether a snapshot sent by the keepers could not be read, so that the local state is incomplete.
    incomplete: bool,
    /// How often others declared this life dead, and until when that counts.
    declared_dead: (u64, Micros),
    report_at: Micros,
    report_soon: Micros,
    probe_at: Micros,
    latest_time: Micros,
    wall: Micros,
    /// Drift messages by peer, sent at the end of the turn.
    drift_outbox: BTreeMap<usize, Vec<Piece>>,
    outputs: Vec<Output>,
    counts: Counts,
}

impl<S: Storage + Send> Member for Installation<S> {
    fn handle(&mut self, now: Micros, wall: Micros, input: Input, out: &mut Vec<Output>) {
        self.latest_time = self.latest_time.max(now);
        self.wall = wall;
        let now = self.latest_time;
        // Before the input is read: it has to be known whether the process was paused and leads no more.
        self.members.tick(now);
        self.update_condition(now);
        self.handle_input(now, input);
        self.run_timers(now);
        for _ in 0..limits::MAX_ROUNDS_PER_INPUT {
            if !self.drain_components(now) {
                break;
            }
        }
        self.update_condition(now);
        self.emit_outputs(now);
        out.append(&mut self.outputs);
    }
}

impl<S: Storage> Installation<S> {
    /// Returns the member's condition.
    pub fn condition(&self) -> Condition {
        self.condition
    }

    /// Returns the clients' rules as far as they are known here.
    pub fn registry(&self) -> &Registry {
        self.machine.registry()
    }

    /// Returns the replicated state as far as it is known here.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Returns the lease if this member is the leader and may act.
    pub fn in_charge(&self, now: Micros) -> Option<Leadership> {
        self.replicas.in_charge(now).filter(|_| self.allows().leads)
    }

    /// Returns the membership.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the agreed log.
    pub fn replicas(&self) -> &Replicas<S> {
        &self.replicas
    }

    /// Returns what a keeper knows of all members while it leads.
    pub fn drift_monitor(&self) -> Option<&DriftMonitor> {
        self.drift_monitor.as_ref()
    }

    /// Returns the counts of what was dropped.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn allows(&self) -> Allowed {
        self.condition.allows()
    }

    /// Updates the condition and whether this member leads.
    fn update_condition(&mut self, now: Micros) {
        let renewed = self.members.counts().renewed;
        if renewed > self.declared_dead.0 {
            self.declared_dead = (renewed, now.saturating_add(timers::SUSPECTED_FOR));
        }
        let condition = Condition::of(ConditionFacts {
            majority: self.replicas.majority(now),
            linked: self.linked > 0,
            stale: self.members.stale(),
            suspected: now < self.declared_dead.1,
            settled: self.applier.is_settled(),
            disk: self.had_disk,
            outlived: self.outlived.is_some(),
        });
        if condition != self.condition {
            tracing::info!(from = self.condition.word(), to = condition.word(), "condition");
            self.condition = condition;
        }
        let lease = self.in_charge(now);
        if let Some(drift_monitor) = &mut self.drift_monitor
            && drift_monitor.update_leadership(
                now,
                lease.as_ref(),
                self.replicas.term(),
                self.machine.fences(),
            )
        {
            let term = drift_monitor.detector().current_term();
            self.proposals.replace(vec![Body::BeginTerm { term }]);
        }
        self.region_set_leader(now, lease.map(|lease| lease.term));
    }

    /// Passes the components' outputs on to others. Returns true where there may be more.
    fn drain_components(&mut self, now: Micros) -> bool {
        let before = self.last_number;
        self.drain_membership(now);
        self.replicas.flush(now);
        self.drain_keepers(now);
        self.propose_next(now);
        self.drain_drift_monitor(now);
        before != self.last_number
    }

    /// Emits what is sent at the end of a turn.
    fn emit_outputs(&mut self, now: Micros) {
        if self.allows().applies {
            let (fences, applies) = self.applier.take_due(&self.machine, &self.cfg.own.name, &self.zones);
            self.outputs.extend(fences.into_iter().map(Output::Fence));
            for apply in applies {
                let client = apply.client.clone();
                self.reports.expect_answers(now);
                self.outputs.push(Output::Apply(apply));
                self.reports.update(self.wall, &client, self.applier.sent(&client));
            }
        }
        self.region_emit_outputs(now);
        for (peer, pieces) in std::mem::take(&mut self.drift_outbox) {
            for chunk in pieces.chunks(crate::wire::MAX_DRIFT_PIECES) {
                self.send_or_relay(now, peer, None, &Wire::Drift(chunk.to_vec()));
            }
        }
        let wake = self.next_wake(now);
        self.outputs.push(Output::Wake(wake));
    }

    fn send(&mut self, peer: usize, wire: &Wire<'_>) {
        match wire.pack() {
            Some(payload) => self.outputs.push(Output::Send { peer, kind: wire.kind(), payload }),
            None => self.counts.unsent += 1,
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

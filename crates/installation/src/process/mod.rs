//! The state machine.
//!
//! Each input goes to the part that it is for; then all parts' outputs go to the parts that they are for, until none is left
//! ([`Installation::settle`]). Whether this member is in charge is asked anew before each input: a process that was paused
//! finds its lease over before it looks at what lay in its sockets.

mod answers;
mod carry;
mod drift;
mod inputs;
mod log;
mod region;
mod roll;
mod start;
mod swim;
mod time;
mod weigh;

pub use start::StartError;

use crate::apply::Applier;
use crate::asks::Open;
use crate::asks::rate::Rates;
use crate::asks::weighing::Weighings;
use crate::charge::Watch;
use crate::condition::{Allowed, Condition, Facts};
use crate::config::Config;
use crate::detour::Detour;
use crate::errands::Errands;
use crate::machine::{Body, Machine};
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

/// What was dropped, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that are none, or from no peer.
    pub undecodable: u64,
    /// What a peer said in another's name, or what is not for this life.
    pub misrouted: u64,
    /// Orders of an older term, from one that is not in charge, or while none is taken.
    pub orders_refused: u64,
    /// Orders that answer a report of too long ago.
    pub orders_late: u64,
    /// Messages too long to be sent.
    pub unsent: u64,
    /// Messages for members that neither a link nor a neighbour leads to.
    pub unreached: u64,
    /// Of others, that were handed on. Not dropped.
    pub carried: u64,
    /// Of others, that were not handed on: more came from one neighbour than it may have carried.
    pub overloaded: u64,
}

/// One process of an installation. `S` keeps a keeper's promises.
pub struct Installation<S: Storage> {
    cfg: Config,
    /// Places of the peers by name; the own one too.
    places: BTreeMap<Name, usize>,
    /// Zones of the peers by name.
    zones: Zones,
    members: Members,
    replicas: Replicas<S>,
    machine: Machine,
    applier: Applier,
    reports: Reports,
    /// Nothing without regions in the settings.
    custody: Option<region::Custody>,
    /// At keepers only: no other member is ever in charge.
    watch: Option<Watch>,
    open: Open,
    weighings: Weighings,
    rates: Rates,
    errands: Errands,
    /// In charge: versions whose first wave has not left, and since when that is known.
    unsent: BTreeMap<(String, u64), Micros>,
    /// Of the last request of this life.
    number: u64,
    /// The greatest term that an order taken bore.
    obeyed: Term,
    health: Health,
    condition: Condition,
    linked: usize,
    detour: Detour,
    disk: bool,
    outlived: Option<Start>,
    /// Since it was outlived it has kept still.
    still: bool,
    /// A state that the keepers sent could not be read: what is here is not whole.
    broken: bool,
    /// How often others declared this life dead, and until when that counts.
    renewed: (u64, Micros),
    report_at: Micros,
    report_soon: Micros,
    probe_at: Micros,
    last: Micros,
    wall: Micros,
    /// Of drift, to be sent at the end of the turn.
    pieces: BTreeMap<usize, Vec<Piece>>,
    outputs: Vec<Output>,
    counts: Counts,
}

impl<S: Storage + Send> Member for Installation<S> {
    fn handle(&mut self, now: Micros, wall: Micros, input: Input, out: &mut Vec<Output>) {
        self.last = self.last.max(now);
        self.wall = wall;
        let now = self.last;
        // Before the input: whether it was paused, and is in charge no more, has to be known when that is read.
        self.members.tick(now);
        self.stand(now);
        self.take(now, input);
        self.time(now);
        for _ in 0..limits::TURNS {
            if !self.settle(now) {
                break;
            }
        }
        self.stand(now);
        self.leave(now);
        out.append(&mut self.outputs);
    }
}

impl<S: Storage> Installation<S> {
    /// How this member stands.
    pub fn condition(&self) -> Condition {
        self.condition
    }

    /// Clients' rules as far as they are known here.
    pub fn registry(&self) -> &Registry {
        self.machine.registry()
    }

    /// What the log says, as far as it is known here.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Whether this member is in charge and may act.
    pub fn in_charge(&self, now: Micros) -> Option<Leadership> {
        self.replicas.in_charge(now).filter(|_| self.allows().leads)
    }

    /// Who is there.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The agreed log.
    pub fn replicas(&self) -> &Replicas<S> {
        &self.replicas
    }

    /// At keepers, what is known of all members while in charge.
    pub fn watch(&self) -> Option<&Watch> {
        self.watch.as_ref()
    }

    /// What was dropped.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn allows(&self) -> Allowed {
        self.condition.allows()
    }

    /// How it stands now, and whether it is in charge.
    fn stand(&mut self, now: Micros) {
        let renewed = self.members.counts().renewed;
        if renewed > self.renewed.0 {
            self.renewed = (renewed, now.saturating_add(time::DOUBTED));
        }
        let condition = Condition::of(Facts {
            majority: self.replicas.majority(now),
            linked: self.linked > 0,
            stale: self.members.stale(),
            suspected: now < self.renewed.1,
            settled: self.applier.settled(),
            disk: self.disk,
            outlived: self.outlived.is_some(),
        });
        if condition != self.condition {
            tracing::info!(from = self.condition.word(), to = condition.word(), "condition");
            self.condition = condition;
        }
        let charge = self.in_charge(now);
        if let Some(watch) = &mut self.watch
            && watch.confirm(now, charge.as_ref(), self.replicas.term(), self.machine.fences())
        {
            let term = watch.detector().current();
            self.errands.replace(vec![Body::Begin { term }]);
        }
        self.region_stand(now, charge.map(|charge| charge.term));
    }

    /// Outputs of the parts go on to others. True where there may be more.
    fn settle(&mut self, now: Micros) -> bool {
        let before = self.number;
        self.swim(now);
        self.replicas.flush(now);
        self.learn(now);
        self.run_errand(now);
        self.watch_out(now);
        before != self.number
    }

    /// What is to leave at the end of a turn.
    fn leave(&mut self, now: Micros) {
        if self.allows().applies {
            let (fences, applies) = self.applier.next(&self.machine, &self.cfg.own.name, &self.zones);
            self.outputs.extend(fences.into_iter().map(Output::Fence));
            for apply in applies {
                let client = apply.client.clone();
                self.reports.asked(now);
                self.outputs.push(Output::Apply(apply));
                self.reports.tell(self.wall, &client, self.applier.sent(&client));
            }
        }
        self.region_leave(now);
        for (peer, pieces) in std::mem::take(&mut self.pieces) {
            for some in pieces.chunks(crate::wire::MOST_PIECES) {
                self.pass(now, peer, None, &Wire::Drift(some.to_vec()));
            }
        }
        let wake = self.wake(now);
        self.outputs.push(Output::Wake(wake));
    }

    fn send(&mut self, peer: usize, wire: &Wire<'_>) {
        match wire.pack() {
            Some(payload) => self.outputs.push(Output::Send { peer, kind: wire.kind(), payload }),
            None => self.counts.unsent += 1,
        }
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}

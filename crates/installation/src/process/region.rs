//! Regions: leases requested, held and granted; takeovers written to the log and reported to nodes.
//!
//! Without regions in the settings nothing of this happens, except that the log's entries about regions are
//! applied as everywhere.

use super::Installation;
use crate::Micros;
use crate::config::Regions;
use crate::machine::Body;
use crate::seam::Output;
use crate::wire::Piece;
use heronroute_fleet::{Life, Standing, Term};
use heronroute_journal::Storage;
use heronroute_region::agreed::{Command, Effect};
use heronroute_region::homes::Partners;
use heronroute_region::list::{List, ListError, Place};
use heronroute_region::rights::{
    Ask, DeadMembers, LeaseGrant, LeaseGranter, LeaseHolder, MembersWithoutLease,
};
use heronroute_region::seam::{
    CancelTakeover, Copies, Fenced, SendLease, StartTakeover, TakeoverConfirmed, TakeoverStored,
};

/// The state of a member that has regions.
pub(super) struct RegionState {
    holder: LeaseHolder,
    giver: LeaseGranter,
    deaths: DeadMembers,
    partners: Partners,
    /// Whether nodes were told all that the log says of this member; from then on they are told of changes
    /// and leases.
    announced: bool,
    /// Whether this life was taken over.
    taken_over: bool,
    lease: Option<SendLease>,
    out: MembersWithoutLease,
}

impl RegionState {
    pub(super) fn new(now: Micros, own: &Life, regions: &Regions) -> Result<Self, ListError> {
        region_list(1, regions)?;
        Ok(RegionState {
            holder: LeaseHolder::new(now, own.clone(), regions.rights),
            giver: LeaseGranter::new(regions.rights),
            deaths: DeadMembers::default(),
            partners: Partners::default(),
            announced: false,
            taken_over: false,
            lease: None,
            out: MembersWithoutLease::default(),
        })
    }
}

fn region_list(number: u64, regions: &Regions) -> Result<List, ListError> {
    let regions_of = regions.of.iter();
    List::of(number, regions_of.map(|(name, region)| Place { name: name.clone(), region: region.clone() }))
}

impl<S: Storage> Installation<S> {
    /// Returns the lease that this life holds now.
    pub fn right(&self, now: Micros) -> Option<SendLease> {
        self.region_state.as_ref()?.holder.right(now)
    }

    /// Reports whether this member leads; called before each input and before dead members are examined.
    pub(super) fn region_set_leader(&mut self, now: Micros, lead_term: Option<Term>) {
        let begun = self.machine.term();
        if let Some(region_state) = &mut self.region_state {
            region_state.giver.set_leading_term(now, lead_term, begun);
        }
    }

    pub(super) fn region_standing(&mut self, now: Micros, life: &Life, standing: Standing) {
        if let Some(region_state) = &mut self.region_state {
            region_state.deaths.standing(now, life, standing);
        }
    }

    /// Records that an entry of this life was committed.
    pub(super) fn region_life_seen(&mut self, now: Micros, life: &Life) {
        if let Some(region_state) = &mut self.region_state {
            region_state.deaths.known(now, life);
        }
    }

    /// Returns the proposal of the list of regions at the beginning of an own term, if the settings differ
    /// from the log.
    pub(super) fn region_list_proposal(&self, term: Term) -> Option<Body> {
        let agreed = self.machine.agreed().list();
        let list = region_list(agreed.number.saturating_add(1), self.cfg.regions.as_ref()?).ok()?;
        (list.places != agreed.places).then_some(Body::Region(Command::List { term, list }))
    }

    pub(super) fn region_timers(&mut self, now: Micros) {
        let quiet = self.incomplete || self.outlived.is_some();
        let Some(region_state) = &mut self.region_state else { return };
        if let Some(ask) = region_state.holder.poll(now).filter(|_| !quiet) {
            self.send_to_leader(now, Piece::LeaseRequest(ask));
        }
        let Some(region_state) = &mut self.region_state else { return };
        let agreed = self.machine.agreed();
        for command in region_state.deaths.due(now, &mut region_state.giver, agreed, &region_state.partners) {
            tracing::warn!(?command, "proposing the takeover of a dead life");
            self.proposals.add(Body::Region(command));
        }
    }

    pub(super) fn region_wake(&self) -> Option<Micros> {
        let region_state = self.region_state.as_ref()?;
        let deaths = region_state.giver.term().map(|_| region_state.deaths.wake());
        region_state.holder.wake().into_iter().chain(deaths).min()
    }

    /// Handles a life's request for a lease.
    pub(super) fn handle_lease_request(&mut self, now: Micros, ask: &Ask) {
        let Some(region_state) = &mut self.region_state else { return };
        let Some(give) = region_state.giver.ask(now, self.machine.agreed(), ask) else { return };
        if give.to == self.cfg.own {
            self.handle_lease(now, &give);
        } else {
            self.queue_piece_to(&ask.life, Piece::LeaseGrant(give));
        }
    }

    pub(super) fn handle_lease(&mut self, now: Micros, give: &LeaseGrant) {
        if let Some(region_state) = &mut self.region_state
            && give.out.sound()
            && !self.incomplete
        {
            region_state.holder.given(now, give);
        }
    }

    /// Records that the nodes finished a takeover.
    pub(super) fn handle_takeover_done(&mut self, took: TakeoverStored) {
        let by = self.cfg.own.name.clone();
        self.proposals.add(Body::Region(Command::TakenOver { of: took.of, by, upto: took.upto }));
    }

    /// Records that other members than before have a copy.
    pub(super) fn handle_copies(&mut self, copies: Copies) {
        let of = self.cfg.own.clone();
        self.proposals.add(Body::Region(Command::Copies { of, by: copies.by }));
    }

    /// Handles the effect of an entry about regions.
    pub(super) fn region_effect(&mut self, effect: &Effect) {
        tracing::info!(?effect, "regions");
        let own = self.cfg.own.clone();
        let Some(region_state) = &mut self.region_state else { return };
        match effect {
            Effect::List => {
                region_state.partners = Partners::new(self.machine.agreed().list());
                if region_state.announced {
                    self.outputs.push(Output::List(self.machine.agreed().list().clone()));
                }
            }
            _ if !region_state.announced => {}
            Effect::TakeOver { of, by, before } => {
                if *by == own.name {
                    self.order_takeover(of.clone());
                }
                if before.as_ref() == Some(&own.name) {
                    self.outputs.push(Output::CancelTakeover(CancelTakeover { of: of.clone() }));
                }
                if of.name == own.name {
                    self.handle_own_takeover();
                }
            }
            Effect::TakenOver { of, by } => {
                if *by == own.name {
                    self.outputs.push(Output::TakeoverConfirmed(TakeoverConfirmed { of: of.clone() }));
                }
                if of.name == own.name {
                    self.handle_own_takeover();
                }
            }
            Effect::Copies { .. } | Effect::Nothing => {}
        }
    }

    /// Handles a restored state: nodes are told all of it anew.
    pub(super) fn region_restored(&mut self) {
        let Some(region_state) = &mut self.region_state else { return };
        region_state.partners = Partners::new(self.machine.agreed().list());
        region_state.announced = false;
    }

    fn order_takeover(&mut self, of: Life) {
        let from = self.machine.agreed().upto(&of.name).to_vec();
        self.outputs.push(Output::StartTakeover(StartTakeover { of, from }));
    }

    /// Handles a takeover of a life of this member's name: this one, which then starts anew, or an earlier
    /// one.
    fn handle_own_takeover(&mut self) {
        let own = self.cfg.own.clone();
        let agreed = self.machine.agreed();
        let Some(takeover) = agreed.takeover(&own.name) else { return };
        let upto = takeover.done.then(|| agreed.upto(&own.name).to_vec());
        let of = Life { name: own.name.clone(), start: takeover.start };
        let is_over = agreed.is_over(&own);
        self.outputs.push(Output::Fenced(Fenced { of: of.clone(), upto }));
        let Some(region_state) =
            self.region_state.as_mut().filter(|region_state| is_over && !region_state.taken_over)
        else {
            return;
        };
        region_state.taken_over = true;
        region_state.holder.end();
        tracing::warn!(start = own.start.0, "this life was taken over while it was away; starting a new one");
        self.outputs.push(Output::StartAbove(of.start));
    }

    /// Emits what nodes are told at the end of a turn.
    pub(super) fn region_emit_outputs(&mut self, now: Micros) {
        let settled = self.applier.is_settled() && !self.incomplete;
        let Some(region_state) = self.region_state.as_mut().filter(|_| settled) else { return };
        if !region_state.announced {
            region_state.announced = true;
            region_state.holder.own_entry_read();
            self.announce_all();
        }
        let Some(region_state) = &mut self.region_state else { return };
        if region_state.out != *region_state.holder.out() {
            region_state.out = region_state.holder.out().clone();
            self.outputs.push(Output::MembersWithoutLease(region_state.out.clone()));
        }
        let lease = region_state.holder.right(now).filter(|right| Some(*right) > region_state.lease);
        if let Some(lease) = lease {
            region_state.lease = Some(lease);
            self.outputs.push(Output::SendLease(lease));
        }
    }

    fn announce_all(&mut self) {
        let own = self.cfg.own.name.clone();
        if self.machine.agreed().list().number > 0 {
            self.outputs.push(Output::List(self.machine.agreed().list().clone()));
        }
        self.handle_own_takeover();
        let (taking, took) = (self.machine.agreed().taking(&own), self.machine.agreed().took(&own));
        self.outputs.extend(took.into_iter().map(|of| Output::TakeoverConfirmed(TakeoverConfirmed { of })));
        taking.into_iter().for_each(|of| self.order_takeover(of));
    }
}

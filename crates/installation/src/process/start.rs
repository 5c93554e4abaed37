//! Creation of a member from its settings.

use super::region::RegionState;
use super::{Counts, Installation};
use crate::Micros;
use crate::apply::Applier;
use crate::asks::PendingRequests;
use crate::asks::dry_runs::OpenDryRuns;
use crate::asks::rate::Rates;
use crate::condition::Condition;
use crate::config::Config;
use crate::leader::DriftMonitor;
use crate::machine::{Body, Machine};
use crate::proposals::PendingProposals;
use crate::relay::RelayRoutes;
use crate::report::Reports;
use heronroute_drift::Health;
use heronroute_fleet::members::{Members, MembersError};
use heronroute_fleet::replicas::{self, Replicas};
use heronroute_fleet::{Life, Standing, Start, Term};
use heronroute_journal::Storage;
use std::collections::BTreeMap;

/// Why a member can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings contradict each other.
    #[error(transparent)]
    Members(#[from] MembersError),
    /// The keepers' component can't start.
    #[error(transparent)]
    Replicas(#[from] replicas::StartError),
    /// The list of regions is not valid.
    #[error(transparent)]
    Regions(#[from] heronroute_region::list::ListError),
}

impl<S: Storage> Installation<S> {
    /// Creates a member. `storage` is given at keepers and nowhere else; the number of this life was raised
    /// on disk before ([`heronroute_fleet::start::raise`]). What is on a keeper's disk comes with the first
    /// input.
    ///
    /// # Errors
    /// Returns an error where the settings don't fit together or the keeper's file can't be used.
    pub fn new(now: Micros, wall: Micros, cfg: Config, storage: Option<S>) -> Result<Self, StartError> {
        let peer_indexes: BTreeMap<_, _> =
            cfg.peers.iter().enumerate().map(|(at, peer)| (peer.name.clone(), at)).collect();
        let members = Members::new(now, cfg.own.clone(), &cfg.peers, cfg.seed, cfg.members.clone())?;
        let keeper = storage.is_some();
        let own = cfg.own.clone();
        let replicas =
            Replicas::new(now, own, &cfg.installation, &cfg.peers, storage, cfg.seed ^ 0x6B65, cfg.replicas)?;
        let lease = cfg.replicas.lease;
        let drift_monitor = keeper.then(|| DriftMonitor::new(now, wall, cfg.detector.clone(), lease));
        let drift_monitor = drift_monitor.map(|mut drift_monitor| {
            for peer in &cfg.peers {
                // Members of whom nothing was received are registered too, to be listed as not heard of.
                let own = peer.name == cfg.own.name;
                let unknown = Life { name: peer.name.clone(), start: Start(0) };
                let (life, standing) =
                    if own { (cfg.own.clone(), Standing::Alive) } else { (unknown, Standing::Dead) };
                drift_monitor.detector_mut().members(now, &life, &peer.zone, standing);
            }
            drift_monitor
        });
        // By the order of names, which is the same at all members whatever the order of their settings.
        let index = peer_indexes.keys().position(|name| *name == cfg.own.name).unwrap_or(0);
        let applier = Applier::new(index, peer_indexes.len(), cfg.senders.len());
        let reports = Reports::new(cfg.own.clone(), cfg.senders.clone());
        let mut proposals = PendingProposals::default();
        proposals.add(Body::Joined);
        let region_state =
            cfg.regions.as_ref().map(|regions| RegionState::new(now, &cfg.own, regions)).transpose()?;
        let zones = cfg.peers.iter().map(|peer| (peer.name.clone(), peer.zone.clone())).collect();
        Ok(Installation {
            peer_indexes,
            zones,
            members,
            had_disk: replicas.sizes().0 > 0,
            replicas,
            machine: Machine::default(),
            applier,
            reports,
            region_state,
            drift_monitor,
            pending: PendingRequests::default(),
            dry_runs: OpenDryRuns::default(),
            rates: Rates::default(),
            proposals,
            unstarted_since: BTreeMap::new(),
            last_number: 0,
            obeyed_term: Term(0),
            health: Health::default(),
            condition: Condition::Alone,
            linked: 0,
            relay_routes: RelayRoutes::default(),
            outlived: None,
            silenced: false,
            incomplete: false,
            declared_dead: (0, Micros::MIN),
            // Members that start at the same moment must not all report at the same moment.
            report_at: now.saturating_add((cfg.seed % cfg.timing.report_interval.max(1) as u64) as Micros),
            report_soon: now,
            probe_at: now.saturating_add(cfg.timing.probe_interval),
            latest_time: now,
            wall,
            drift_outbox: BTreeMap::new(),
            outputs: Vec::new(),
            counts: Counts::default(),
            cfg,
        })
    }
}

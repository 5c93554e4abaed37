//! From the settings to a member that runs.

use super::region::Custody;
use super::{Counts, Installation};
use crate::Micros;
use crate::apply::Applier;
use crate::asks::Open;
use crate::asks::rate::Rates;
use crate::asks::weighing::Weighings;
use crate::charge::Watch;
use crate::condition::Condition;
use crate::config::Config;
use crate::detour::Detour;
use crate::errands::Errands;
use crate::machine::{Body, Machine};
use crate::report::Reports;
use heronroute_drift::Health;
use heronroute_fleet::members::{Members, MembersError};
use heronroute_fleet::replicas::{self, Replicas};
use heronroute_fleet::{Life, Standing, Start, Term};
use heronroute_journal::Storage;
use std::collections::BTreeMap;

/// Why a member can't begin.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings contradict themselves.
    #[error(transparent)]
    Members(#[from] MembersError),
    /// The keepers' part can't begin.
    #[error(transparent)]
    Replicas(#[from] replicas::StartError),
    /// The regions are none.
    #[error(transparent)]
    Regions(#[from] heronroute_region::list::ListError),
}

impl<S: Storage> Installation<S> {
    /// A member that starts now. `storage` is a keeper's, and none at all others; its life's number was raised on disk
    /// before ([`heronroute_fleet::start::raise`]). What is on a keeper's disk comes with the first input.
    ///
    /// # Errors
    /// Where the settings don't fit together or the keeper's file can't be used.
    pub fn new(now: Micros, wall: Micros, cfg: Config, storage: Option<S>) -> Result<Self, StartError> {
        let places: BTreeMap<_, _> =
            cfg.peers.iter().enumerate().map(|(at, peer)| (peer.name.clone(), at)).collect();
        let members = Members::new(now, cfg.own.clone(), &cfg.peers, cfg.seed, cfg.members.clone())?;
        let keeper = storage.is_some();
        let own = cfg.own.clone();
        let replicas =
            Replicas::new(now, own, &cfg.installation, &cfg.peers, storage, cfg.seed ^ 0x6B65, cfg.replicas)?;
        let lease = cfg.replicas.lease;
        let watch = keeper.then(|| Watch::new(now, wall, cfg.detector.clone(), lease));
        let watch = watch.map(|mut watch| {
            for peer in &cfg.peers {
                // Those of whom nothing was heard are told of as well: as not heard of.
                let own = peer.name == cfg.own.name;
                let unknown = Life { name: peer.name.clone(), start: Start(0) };
                let (life, standing) =
                    if own { (cfg.own.clone(), Standing::Alive) } else { (unknown, Standing::Dead) };
                watch.detector_mut().members(now, &life, &peer.zone, standing);
            }
            watch
        });
        // By the order of names, the same at all members whatever the order of their settings.
        let place = places.keys().position(|name| *name == cfg.own.name).unwrap_or(0);
        let applier = Applier::new(place, places.len(), cfg.senders.len());
        let reports = Reports::new(cfg.own.clone(), cfg.senders.clone());
        let mut errands = Errands::default();
        errands.add(Body::Here);
        let custody = cfg.regions.as_ref().map(|regions| Custody::new(now, &cfg.own, regions)).transpose()?;
        let zones = cfg.peers.iter().map(|peer| (peer.name.clone(), peer.zone.clone())).collect();
        Ok(Installation {
            places,
            zones,
            members,
            disk: replicas.sizes().0 > 0,
            replicas,
            machine: Machine::default(),
            applier,
            reports,
            custody,
            watch,
            open: Open::default(),
            weighings: Weighings::default(),
            rates: Rates::default(),
            errands,
            unsent: BTreeMap::new(),
            number: 0,
            obeyed: Term(0),
            health: Health::default(),
            condition: Condition::Alone,
            linked: 0,
            detour: Detour::default(),
            outlived: None,
            still: false,
            broken: false,
            renewed: (0, Micros::MIN),
            // Members started at one moment do not all report at one moment.
            report_at: now.saturating_add((cfg.seed % cfg.pace.report.max(1) as u64) as Micros),
            report_soon: now,
            probe_at: now.saturating_add(cfg.pace.probe),
            last: now,
            wall,
            pieces: BTreeMap::new(),
            outputs: Vec::new(),
            counts: Counts::default(),
            cfg,
        })
    }
}

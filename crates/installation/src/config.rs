//! What the settings gave, as plain values.

use crate::Micros;
use heronroute_fleet::{Life, Name, Peer, members, replicas};
use heronroute_region::{Region, rights};
use heronroute_rules::Plan;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A member of an installation, before it runs.
#[derive(Clone, Debug)]
pub struct Config {
    /// The installation's name, the same at all members.
    pub installation: String,
    /// This member, in the life that begins now ([`heronroute_fleet::start::raise`]).
    pub own: Life,
    /// This life began because the one before was outlived ([`crate::seam::Output::StartAbove`]). Outlived again, there are two
    /// processes of one name, and this one keeps still: else the two would raise their numbers above each other for ever.
    pub raised: bool,
    /// All members as the settings name them, this one included; messages name them by their places here.
    pub peers: Vec<Peer>,
    /// Clients by system_id.
    pub clients: BTreeMap<String, Client>,
    /// Numbers of the process's senders, as [`heronroute_rules::seam::Live`] bears them.
    pub senders: Vec<usize>,
    /// New at each start.
    pub seed: u64,
    /// Figures of agreement.
    pub replicas: replicas::Tuning,
    /// Figures of membership.
    pub members: members::Tuning,
    /// Figures of the detector, which runs at the keeper in charge. Its `wall` and `lease` are set from here on.
    pub detector: heronroute_drift::Config,
    /// Figures of what joins them.
    pub pace: Pace,
    /// How approved versions are rolled out. Those of the member in charge count.
    pub rollout: Rolling,
    /// Members stand in regions. Nothing: none of that is done.
    pub regions: Option<Regions>,
}

/// Members in regions. Those of the member in charge count.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    /// Each member's.
    pub of: BTreeMap<Name, Region>,
    /// Figures of rights, the same at all members.
    pub rights: rights::Tuning,
}

/// How approved versions are rolled out. Spans in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rolling {
    /// In waves; else all members apply a version at once.
    pub waves: bool,
    /// A wave must have been in line for so long before the next one leaves.
    pub soak: Micros,
    /// A wave has so long to be in line; it stops the rollout else.
    pub wave_for: Micros,
    /// A rollout that stopped goes back: the rules from before are a new version, for all.
    pub back: bool,
}

impl Default for Rolling {
    fn default() -> Self {
        Rolling { waves: true, soak: 1_000_000, wave_for: 30_000_000, back: true }
    }
}

/// A client as the settings name it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Client {
    /// It approves and refuses others' versions, and sees `fleet/drift`.
    pub operator: bool,
    /// What it may set for itself.
    pub plan: Planned,
}

/// A client's plan in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Planned {
    /// None: it sets nothing.
    #[default]
    Nothing,
    /// It names one that can't be read: what is approved stays.
    Unreadable,
    /// This one.
    Plan(Arc<Plan>),
}

/// Figures, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Between two reports to the member in charge.
    pub report: Micros,
    /// Between two reports at the least, where something changed.
    pub report_soon: Micros,
    /// The same while a version goes in waves: the next one waits for word from the last one.
    pub report_rolling: Micros,
    /// Every so often the nodes are told one client's rules again, so that they read back what they apply.
    pub probe: Micros,
    /// A node that has not answered for so long is hung: nothing is reported, as what is known of it may be no more so.
    pub hung: Micros,
    /// An order counts so long after the report that it answers was sent.
    pub order: Micros,
    /// An answer that another member has to give is waited for so long.
    pub patience: Micros,
    /// What the member in charge has found is written to the log no more often than this.
    pub save: Micros,
}

impl Default for Pace {
    fn default() -> Self {
        const S: Micros = 1_000_000;
        Pace {
            report: 2 * S,
            report_soon: S / 10,
            report_rolling: S / 2,
            probe: 5 * S,
            hung: 15 * S,
            order: 5 * S,
            patience: S,
            save: 5 * S,
        }
    }
}

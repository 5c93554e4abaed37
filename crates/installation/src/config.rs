//! The settings of a member as plain values.

use crate::Micros;
use heronroute_fleet::{Life, Name, Peer, members, replicas};
use heronroute_region::{Region, rights};
use heronroute_rules::Plan;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct Config {
    /// The installation's name, the same at all members.
    pub installation: String,
    /// This member, in the life that begins now ([`heronroute_fleet::start::raise`]).
    pub own: Life,
    /// Whether this life began because a later start than the one before was known
    /// ([`crate::seam::Output::StartAbove`]). If that happens again, there are two processes of one name, and
    /// this one stays silent: otherwise the two would raise their numbers above each other's for ever.
    pub raised: bool,
    /// All members as the settings name them, with this one; messages name members by their index here.
    pub peers: Vec<Peer>,
    /// The clients by system_id.
    pub clients: BTreeMap<String, Client>,
    /// The numbers of the process's senders, as used in [`heronroute_rules::seam::Live`].
    pub senders: Vec<usize>,
    /// The random seed, new at each start.
    pub seed: u64,
    /// The tuning of agreement.
    pub replicas: replicas::Tuning,
    /// The tuning of membership.
    pub members: members::Tuning,
    /// The tuning of the drift detector, which runs at the leader. Its `wall` and `lease` are replaced by the
    /// member.
    pub detector: heronroute_drift::Config,
    /// The intervals and timeouts of the member itself.
    pub timing: Timing,
    /// How approved versions are rolled out. The leader's settings count.
    pub rollout: RolloutSettings,
    /// The members' regions; none switches regions off.
    pub regions: Option<Regions>,
}

/// The members' regions. The leader's settings count.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    /// The region of each member.
    pub of: BTreeMap<Name, Region>,
    /// The tuning of leases, the same at all members.
    pub rights: rights::Tuning,
}

/// How approved versions are rolled out. Durations are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Whether they go in waves; otherwise all members apply a version at once.
    pub waves: bool,
    /// How long a wave must be in line before the next one starts.
    pub soak: Micros,
    /// How long a wave may take to be in line before the rollout stops.
    pub wave_for: Micros,
    /// Whether a stopped rollout is rolled back: the rules from before become a new version, for all members.
    pub back: bool,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        RolloutSettings { waves: true, soak: 1_000_000, wave_for: 30_000_000, back: true }
    }
}

/// A client in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Client {
    /// Whether it approves and refuses others' versions, and sees `fleet/drift`.
    pub operator: bool,
    /// What it may set for itself.
    pub plan: PlanSetting,
}

/// A client's plan in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PlanSetting {
    /// No plan: the client may set nothing.
    #[default]
    Nothing,
    /// The plan can't be read: what is approved stays.
    Unreadable,
    /// The plan.
    Plan(Arc<Plan>),
}

/// Intervals and timeouts, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The interval of reports to the leader.
    pub report_interval: Micros,
    /// The shortest interval of reports, used when something changed.
    pub min_report_interval: Micros,
    /// The interval of reports while a version goes in waves: the next wave waits for reports of the last
    /// one.
    pub rollout_report_interval: Micros,
    /// The interval after which the nodes are sent the next client's rules again, so that they report what
    /// they apply.
    pub probe_interval: Micros,
    /// How long a node may take to answer before it counts as hung: then nothing is reported, as what is
    /// known of it may be outdated.
    pub hung_after: Micros,
    /// How long after the report that it answers an order still counts.
    pub order_valid_for: Micros,
    /// How long another member's answer is waited for.
    pub peer_timeout: Micros,
    /// The shortest interval between two saves of the leader's findings to the log.
    pub save_interval: Micros,
}

impl Default for Timing {
    fn default() -> Self {
        const S: Micros = 1_000_000;
        Timing {
            report_interval: 2 * S,
            min_report_interval: S / 10,
            rollout_report_interval: S / 2,
            probe_interval: 5 * S,
            hung_after: 15 * S,
            order_valid_for: 5 * S,
            peer_timeout: S,
            save_interval: 5 * S,
        }
    }
}

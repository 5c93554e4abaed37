//! Distributes a version to the members in waves: first one member, then its zone, then all.
//!
//! The state of a rollout is kept in the keepers' log ([`LoggedRollout`]), so that a change of the leader, a
//! network partition or a restart loses nothing. The leader observes the reached members ([`Rollout`]) and
//! proposes the next log entry ([`Progress`]).
//!
//! The next wave starts once all members of the current wave have been in line for the soak time and are no
//! less healthy than the members not yet reached. Otherwise the rollout is stopped with a reason. A member
//! that died after its first response since its wave started counts as not in line, since the version may
//! have killed it. A member that was already gone when its wave started is not waited for. A member that has
//! not responded since its wave started and is gone is no evidence against the version: it is skipped
//! ([`Progress::Pass`]). This happens at most [`MAX_SKIPS_PER_WAVE`] times per wave, because a version may
//! also kill a member before its first response.

mod baseline;
mod health;
mod phase;
mod skipping;
mod state;

pub use baseline::Baseline;
pub use health::HealthThresholds;
pub use phase::{Phase, StopReason};
pub use skipping::{DELIVERY_ASSUMED_AFTER, MAX_LOGGED_RESPONSES, MAX_SKIPS_PER_WAVE, SKIP_DELAY};
pub use state::Rollout;

use crate::{Digest, Micros};
use heronroute_fleet::Name;
use std::collections::BTreeSet;

/// The maximum number of members of a rollout; with more members it is not started.
pub const MAX_MEMBERS: usize = 1024;

/// The plan of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The client whose rules change.
    pub client: String,
    /// The target version.
    pub version: u64,
    /// The time within which a wave must be in line, in microseconds.
    pub wave_for: Micros,
    /// The time that a wave must have been in line before its health is compared and the next one starts, in
    /// microseconds.
    pub soak: Micros,
    /// The thresholds for worse health.
    pub thresholds: HealthThresholds,
}

/// The state of a rollout according to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedRollout {
    /// The plan.
    pub plan: Plan,
    /// The members, each with the index of the wave that reaches it.
    pub members: Vec<(Name, usize)>,
    /// For each wave, the version and content digest that its members are meant to apply now.
    pub meant: Vec<(u64, Digest)>,
    /// The index of the wave that started last; none if no wave has started.
    pub wave: Option<usize>,
    /// The members that were not reporting when their wave started, or were skipped since.
    pub without: BTreeSet<Name>,
    /// The members that responded to any leader since their wave started.
    pub heard: BTreeSet<Name>,
    /// The number of skips: in all waves, and in the current wave.
    pub passes: (usize, usize),
    /// The baseline that the current wave is compared with.
    pub baseline: Baseline,
    /// The reason why the rollout was stopped, if it was.
    pub halted: Option<String>,
}

/// The next log entry that the leader proposes for a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Start a wave.
    Next {
        /// The index of the wave.
        wave: usize,
    },
    /// Continue without these members of the current wave, which have not responded since it started and are
    /// gone. If this concerns the first wave, another member takes their place.
    Pass {
        /// The skipped members.
        members: BTreeSet<Name>,
    },
    /// Stop the rollout.
    Stopped(StopReason),
    /// All waves are in line.
    Done,
    /// Another version of this client was approved; the rest of this rollout is dropped, and nothing is
    /// logged.
    Superseded,
}

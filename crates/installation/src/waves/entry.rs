//! The parts of log entries that are about rollouts.

use heronroute_fleet::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The start of a wave of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The client whose version it is.
    pub client: String,
    /// The version.
    pub version: u64,
    /// The member of the first wave; ignored if the rollout already has one.
    pub first: Name,
    /// The wave, counted from 0.
    pub wave: usize,
    /// The wave's members that are gone.
    pub without: BTreeSet<Name>,
}

/// The stop of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halt {
    /// The client whose rollout it is.
    pub client: String,
    /// The version.
    pub version: u64,
    /// The reason.
    pub why: String,
    /// Whether this entry also rolls it back.
    pub back: bool,
}

/// The passing over of members that are gone and have not reported since their wave started: the wave goes on
/// without them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassOver {
    /// The client whose version it is.
    pub client: String,
    /// The version.
    pub version: u64,
    /// Their wave, which is the one that started last.
    pub wave: usize,
    /// The members that are passed over.
    pub members: BTreeSet<Name>,
    /// For the first wave: the member that replaces the one passed over.
    pub next: Option<Name>,
}

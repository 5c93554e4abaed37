//! A member's condition, and what it goes on doing, refuses and says of itself in each one: the table "While
//! they disagree or are cut off" of `docs/fleet.md`.
//!
//! All code asks [`Condition::allows`] before it does one of these things; the decision is made nowhere else.

use serde::Serialize;

/// The condition of a member in its installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Condition {
    /// It reaches a majority of the keepers, or a keeper that does.
    #[serde(rename = "with majority")]
    Majority,
    /// Others suspected it lately, and it reaches a majority.
    #[serde(rename = "suspected")]
    Suspected,
    /// It reaches others, and no majority.
    #[serde(rename = "without majority")]
    Minority,
    /// It reaches no other member.
    #[serde(rename = "alone")]
    Alone,
    /// Its clock jumped: it was paused, and its knowledge may be outdated. Or it has just started and
    /// received nothing.
    #[serde(rename = "awake again")]
    Awake,
    /// It started with data on disk, and does not know yet what was committed since.
    #[serde(rename = "old disk")]
    OldDisk,
    /// It started without data, and does not know yet what was committed.
    #[serde(rename = "empty disk")]
    EmptyDisk,
    /// Another process has its name with a later start.
    #[serde(rename = "outlived")]
    Outlived,
}

/// The facts that the condition follows from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConditionFacts {
    /// Whether a majority of the keepers was reached lately.
    pub majority: bool,
    /// Whether any link is up.
    pub linked: bool,
    /// Whether the membership is stale: [`heronroute_fleet::members::Members::stale`].
    pub stale: bool,
    /// Whether others suspected it lately.
    pub suspected: bool,
    /// Whether an entry of this life was committed and seen.
    pub settled: bool,
    /// Whether its disk had any part of the log when it started.
    pub disk: bool,
    /// Whether a later start of its name is known.
    pub outlived: bool,
}

/// What a member may do. Delivery of messages is not among it, as it never stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowed {
    /// Sends edits, approvals and refusals to the keepers. Otherwise it answers `no majority` at once.
    pub edits: bool,
    /// Presents what it shows as the current state. Otherwise it marks it as uncertain.
    pub certain: bool,
    /// Has its nodes apply what was committed, also what drops messages.
    pub applies: bool,
    /// Accepts orders of the leader.
    pub obeys: bool,
    /// Gives orders, if it is the leader.
    pub leads: bool,
    /// Reports what it applies.
    pub reports: bool,
    /// Takes part in agreement, requests and serves the log, and relays between two members without a link.
    pub agrees: bool,
}

impl Condition {
    /// All conditions, in the table's order.
    pub const ALL: [Condition; 8] = [
        Condition::Majority,
        Condition::Minority,
        Condition::Alone,
        Condition::Suspected,
        Condition::Awake,
        Condition::OldDisk,
        Condition::EmptyDisk,
        Condition::Outlived,
    ];

    /// Returns the condition for these facts: of several the one that allows least.
    pub fn of(facts: ConditionFacts) -> Condition {
        if facts.outlived {
            Condition::Outlived
        } else if !facts.linked && !facts.majority {
            Condition::Alone
        } else if facts.stale && facts.linked {
            Condition::Awake
        } else if !facts.majority {
            Condition::Minority
        } else if !facts.settled {
            if facts.disk { Condition::OldDisk } else { Condition::EmptyDisk }
        } else if facts.suspected {
            Condition::Suspected
        } else {
            Condition::Majority
        }
    }

    /// Returns what a member may do.
    pub fn allows(self) -> Allowed {
        let all = Allowed {
            edits: true,
            certain: true,
            applies: true,
            obeys: true,
            leads: true,
            reports: true,
            agrees: true,
        };
        match self {
            Condition::Majority | Condition::Suspected => all,
            // Its entries pass through the log before its answers do, so an edit is as safe here as anywhere.
            Condition::OldDisk | Condition::EmptyDisk => {
                Allowed { certain: false, applies: false, obeys: false, leads: false, ..all }
            }
            // What it committed already stays committed. Its reports go to the last known leader and do no
            // harm.
            Condition::Minority => {
                Allowed { edits: false, certain: false, obeys: false, leads: false, ..all }
            }
            Condition::Alone | Condition::Awake => {
                Allowed { edits: false, certain: false, obeys: false, leads: false, reports: false, ..all }
            }
            Condition::Outlived => Allowed {
                edits: false,
                certain: false,
                applies: false,
                obeys: false,
                leads: false,
                reports: false,
                agrees: false,
            },
        }
    }

    /// Returns the name that is shown to clients and operators.
    pub fn word(self) -> &'static str {
        match self {
            Condition::Majority => "with majority",
            Condition::Suspected => "suspected",
            Condition::Minority => "without majority",
            Condition::Alone => "alone",
            Condition::Awake => "awake again",
            Condition::OldDisk => "old disk",
            Condition::EmptyDisk => "empty disk",
            Condition::Outlived => "outlived",
        }
    }
}

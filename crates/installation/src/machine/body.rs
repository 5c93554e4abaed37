//! The bodies of the log's entries.

use crate::waves::{Halt, PassOver, Wave};
use heronroute_drift::rollout::Baseline;
use heronroute_fleet::{Name, Term};
use heronroute_region::agreed;
use heronroute_rules::registry::Command;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The body of an entry. Variants and fields are only ever added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A command about clients' rules.
    Rules(Command),
    /// A member joined: once it sees this entry, it knows all that was committed before it started.
    Joined,
    /// A term begins: proposals of earlier leaders that are committed only after this are void.
    BeginTerm {
        /// The term.
        term: Term,
    },
    /// What the leader's settings say of a client.
    Settings {
        /// The leader's term.
        term: Term,
        /// [`Command::Plan`] or [`Command::Drop`].
        command: Command,
    },
    /// The leader's findings ([`heronroute_drift::Detector::snapshot`]), for the next leader.
    Findings {
        /// The leader's term.
        term: Term,
        /// The encoded findings, at most [`MAX_FINDINGS_BYTES`](super::MAX_FINDINGS_BYTES).
        saved: Vec<u8>,
    },
    /// Whether versions are rolled out in waves, by the leader's settings.
    SetWaves {
        /// The leader's term.
        term: Term,
        /// True for waves.
        waves: bool,
    },
    /// A wave of a version starts, without a baseline.
    StartWaveWithoutBaseline {
        /// The leader's term.
        term: Term,
        /// The wave.
        wave: Wave,
    },
    /// All members that a version is for are in line with it.
    FinishRollout {
        /// The leader's term.
        term: Term,
        /// The client whose version it is.
        client: String,
        /// The version.
        version: u64,
    },
    /// A rollout stops, and is rolled back if so planned.
    Halt {
        /// The leader's term.
        term: Term,
        /// The rollout and the reason.
        halt: Halt,
    },
    /// A client's changes are fenced off at a member, or accepted again.
    Fence {
        /// The leader's term.
        term: Term,
        /// The member with the fence.
        member: Name,
        /// The client whose changes are fenced.
        client: String,
        /// True to set the fence, false to lift it.
        is_set: bool,
    },
    /// A wave of a version starts, with a baseline.
    StartWave {
        /// The leader's term.
        term: Term,
        /// The wave.
        wave: Wave,
        /// How the members that were not reached fare, and how much memory members use.
        baseline: Baseline,
    },
    /// Members reported since their wave started: from here on their silence is evidence.
    MembersReported {
        /// The leader's term.
        term: Term,
        /// The client whose version it is.
        client: String,
        /// The version.
        version: u64,
        /// The members that reported.
        members: BTreeSet<Name>,
    },
    /// Members that are gone and have not reported since their wave started are passed over.
    PassOver {
        /// The leader's term.
        term: Term,
        /// The members and their wave.
        pass: PassOver,
    },
    /// A command about regions.
    Region(agreed::Command),
}

impl Body {
    /// Returns the client whose rollout it is about.
    pub fn rolls(&self) -> Option<&str> {
        match self {
            Body::StartWaveWithoutBaseline { wave, .. } | Body::StartWave { wave, .. } => Some(&wave.client),
            Body::MembersReported { client, .. } => Some(client),
            Body::PassOver { pass, .. } => Some(&pass.client),
            Body::FinishRollout { client, .. } => Some(client),
            Body::Halt { halt, .. } => Some(&halt.client),
            _ => None,
        }
    }

    /// Returns the term that it is valid in, if a leader proposed it.
    pub(super) fn term(&self) -> Option<Term> {
        match self {
            Body::Rules(_) | Body::Joined => None,
            Body::Region(command) => command.term(),
            Body::BeginTerm { term }
            | Body::Settings { term, .. }
            | Body::Findings { term, .. }
            | Body::SetWaves { term, .. }
            | Body::StartWaveWithoutBaseline { term, .. }
            | Body::FinishRollout { term, .. }
            | Body::Halt { term, .. }
            | Body::Fence { term, .. }
            | Body::StartWave { term, .. }
            | Body::MembersReported { term, .. }
            | Body::PassOver { term, .. } => Some(*term),
        }
    }

    /// Returns whether a member proposes it only as the leader.
    pub fn is_leaders(&self) -> bool {
        let own = |command: &agreed::Command| command.term().is_none();
        !matches!(self, Body::Joined) && !matches!(self, Body::Region(command) if own(command))
    }

    /// Encodes the body.
    pub fn pack(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Returns the body that sets or lifts a fence in a term.
    pub fn fence(term: Term, member: &Name, client: &str, is_set: bool) -> Body {
        Body::Fence { term, member: member.clone(), client: client.to_owned(), is_set }
    }

    pub(super) fn unpack(bytes: &[u8]) -> Option<Body> {
        let (body, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(body)
    }
}

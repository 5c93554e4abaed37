//! The reply of `fleet/drift`.

use crate::report::{PartlyApplied, Verdict};
use crate::{Detector, Micros};
use heronroute_fleet::{Name, Term};
use serde::{Deserialize, Serialize};

/// The verdicts of all members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The term of the answering member.
    pub term: Term,
    /// Whether the answering member is the leader and has a majority. If not, none of the following is known.
    pub known: bool,
    /// The reason why nothing is known.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub why: Option<String>,
    /// The members, sorted by name.
    pub members: Vec<MemberLine>,
    /// The running and the stopped rollouts.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub rollouts: Vec<RolloutLine>,
}

/// The verdict on one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLine {
    /// The member.
    pub name: Name,
    /// The verdict.
    pub verdict: Verdict,
    /// The version that the member applies for `client`.
    pub version: u64,
    /// The client that shows the verdict; for a member in line, the client with the latest approval.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub client: Option<String>,
    /// The time from which the verdict holds, as wall time in microseconds.
    pub since: Micros,
    /// The member that reached the verdict.
    pub seen_by: Name,
    /// The term in which it was reached.
    pub term: Term,
    /// The reason.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub reason: Option<String>,
    /// If the member's senders differ for `client`: how many of them apply the version, and since when they
    /// differ.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub partly: Option<PartlyApplied>,
}

/// The state of one rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutLine {
    /// The client whose rules change.
    pub client: String,
    /// The target version.
    pub version: u64,
    /// `running` or `stopped`.
    pub state: String,
    /// The reason for a stop.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub reason: Option<String>,
}

impl View {
    /// Returns the view as JSON.
    pub fn json(&self) -> String {
        // Serializing these types cannot fail.
        serde_json::to_string(self).unwrap_or_else(|_| r#"{"known":false,"members":[]}"#.to_owned())
    }
}

impl Detector {
    /// Returns the current view. Without a majority nothing is known: no member is reported as in line
    /// because of an earlier verdict.
    pub fn view(&self, now: Micros) -> View {
        let known = self.is_leading(now);
        let why = (!known).then(|| "not known: no majority, or another member is in charge".to_owned());
        View {
            term: self.current_term(),
            known,
            why,
            members: self.member_lines(now, known),
            rollouts: self.rollout_lines(),
        }
    }
}

//! What is shown of the registry, and to whom.

use super::Registry;
use super::client::{Client, Stage};
use super::command::Command;
use crate::Micros;
use crate::check;
use crate::limits;
use crate::model::RuleSet;
use serde::Serialize;
use std::sync::Arc;

/// The client that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Viewer<'a> {
    /// Its system_id.
    pub client: &'a str,
    /// Whether the settings make it an operator.
    pub operator: bool,
}

/// A message to a client about the state of its rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Notice {
    /// The rule; empty: the plan as a whole.
    pub rule: String,
    /// The field of the rule.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub field: String,
    /// The plan's maximum.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub plan: String,
    /// A value that would be accepted.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub fits: String,
    /// The reason in words.
    pub why: String,
    /// When it will be cut (time of day in microseconds).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub until: Option<Micros>,
}

/// A kept version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionInfo {
    /// Its number.
    pub version: u64,
    /// `waiting`, `approved` (in effect), `superseded`, `joined` (merged into a later one) or `refused`.
    pub state: &'static str,
    /// When it was created.
    pub at: Micros,
    /// The operator who decided.
    pub by: String,
    /// The reason for a rejection.
    pub why: String,
}

/// The contents of `rules/show`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The rules in effect.
    pub set: Arc<RuleSet>,
    /// The name of the plan.
    pub plan: String,
    /// The versions that wait for an operator.
    pub waiting: Vec<u64>,
    /// Messages to the client.
    pub notices: Vec<Notice>,
    /// The kept versions, in order.
    pub versions: Vec<VersionInfo>,
}

impl Registry {
    /// Returns a client's rules to those who may see them: the client itself and operators. Returns none for
    /// an unknown client and likewise for one that the viewer may not see; a client's own view always exists.
    pub fn view(&self, viewer: Viewer<'_>, client: &str) -> Option<View> {
        if !viewer.operator && viewer.client != client {
            return None;
        }
        match self.clients.get(client).filter(|c| c.dropped.is_none()) {
            Some(found) => Some(found.view()),
            None => (viewer.client == client).then(View::default),
        }
    }

    /// Returns whether the viewer may give a command. If not, the answer is [`super::Reply::Unknown`], as for
    /// a client or version that does not exist. Plans, drops and ticks come from members only.
    pub fn is_permitted(viewer: Viewer<'_>, command: &Command) -> bool {
        match command {
            Command::Submit { client, .. } | Command::RollBack { client, .. } => client == viewer.client,
            Command::Approve { by, .. } | Command::Refuse { by, .. } => {
                viewer.operator && by == viewer.client
            }
            Command::Plan { .. } | Command::Drop { .. } | Command::Tick => false,
        }
    }

    /// Returns what a client should know about its rules: what exceeds its plan and until when it stays in
    /// effect, what was cut, and whether the plan can't be read. At most [`limits::MAX_FINDINGS`] of each.
    pub fn notices(&self, client: &str) -> Vec<Notice> {
        self.clients.get(client).filter(|c| c.dropped.is_none()).map(Client::notices).unwrap_or_default()
    }

    /// Returns the versions that wait for an operator, with their clients; at most `most`.
    pub fn waiting(&self, most: usize) -> Vec<(&str, u64)> {
        let mut out = Vec::new();
        for (name, client) in &self.clients {
            let waits = client.versions.iter().filter(|(_, v)| v.stage == Stage::Waiting);
            out.extend(waits.map(|(number, _)| (name.as_str(), *number)));
            if out.len() >= most {
                break;
            }
        }
        out.truncate(most);
        out
    }
}

impl Client {
    fn view(&self) -> View {
        let waits = self.versions.iter().filter(|(_, v)| v.stage == Stage::Waiting);
        View {
            set: self.set(),
            plan: self.plan.name.clone(),
            waiting: waits.map(|(number, _)| *number).collect(),
            notices: self.notices(),
            versions: self.versions.iter().map(|(number, v)| version_info(*number, v)).collect(),
        }
    }

    fn notices(&self) -> Vec<Notice> {
        let mut out = Vec::new();
        let plain = |rule: &str, why: &str| Notice {
            rule: rule.into(),
            field: String::new(),
            plan: String::new(),
            fits: String::new(),
            why: why.into(),
            until: None,
        };
        if !self.plan_usable {
            out.push(plain(
                "",
                "the plan can't be read: what is approved stays, and nothing can be approved",
            ));
        }
        if self.cut_at.is_some() {
            for finding in check::plan_violations(&self.set().rules, &self.plan).list {
                let check::Finding { rule, field, plan, fits, why } = finding;
                out.push(Notice { rule, field, plan, fits, why, until: self.due() });
            }
        }
        let reduced = self.reduced.iter().map(|r| plain(&r.name, "cut to the plan; comes back with it"));
        let removed =
            self.removed.iter().map(|r| plain(&r.name, "taken out by the plan; comes back with it"));
        out.extend(reduced.take(limits::MAX_FINDINGS));
        out.extend(removed.take(limits::MAX_FINDINGS));
        out
    }
}

fn version_info(version: u64, kept: &super::client::Version) -> VersionInfo {
    let (state, why) = match &kept.stage {
        Stage::Waiting => ("waiting", ""),
        Stage::Desired => ("approved", ""),
        Stage::Superseded => ("superseded", ""),
        Stage::Merged(_) => ("joined", ""),
        Stage::Rejected(why) => ("refused", why.as_str()),
    };
    VersionInfo { version, state, at: kept.at, by: kept.by.clone(), why: why.into() }
}

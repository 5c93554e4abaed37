//! What is shown, and to whom.

use super::Registry;
use super::client::{Client, Stage};
use super::command::Command;
use crate::Micros;
use crate::check;
use crate::limits;
use crate::model::RuleSet;
use serde::Serialize;
use std::sync::Arc;

/// Who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Viewer<'a> {
    /// Its system_id.
    pub client: &'a str,
    /// The settings call it an operator.
    pub operator: bool,
}

/// What a client is told of its own accord.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Notice {
    /// The rule; empty: the plan as a whole.
    pub rule: String,
    /// Which part of it.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub field: String,
    /// The plan's figure.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub plan: String,
    /// What would fit.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub fits: String,
    /// In words.
    pub why: String,
    /// It is cut then (time of day in microseconds).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub until: Option<Micros>,
}

/// A version that is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionInfo {
    /// Its number.
    pub version: u64,
    /// `waiting`, `approved` (it holds), `superseded`, `joined` (into a later one), `refused`.
    pub state: &'static str,
    /// When it was made.
    pub at: Micros,
    /// The operator who decided.
    pub by: String,
    /// Why it was turned down.
    pub why: String,
}

/// What `rules/show` tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// What holds.
    pub set: Arc<RuleSet>,
    /// The plan's name.
    pub plan: String,
    /// Versions that wait for an operator.
    pub waiting: Vec<u64>,
    /// What the client should know.
    pub notices: Vec<Notice>,
    /// Versions kept, in order.
    pub versions: Vec<VersionInfo>,
}

impl Registry {
    /// What a client has, for whoever may see it: itself and operators. None for a client that does not exist and for one
    /// that is not the viewer's alike; a client's own view always exists.
    pub fn view(&self, viewer: Viewer<'_>, client: &str) -> Option<View> {
        if !viewer.operator && viewer.client != client {
            return None;
        }
        match self.clients.get(client).filter(|c| c.dropped.is_none()) {
            Some(found) => Some(found.view()),
            None => (viewer.client == client).then(View::default),
        }
    }

    /// Whether a command is the viewer's to give. Where not, the answer is [`super::Reply::Unknown`], as it is for a client or
    /// version that does not exist. Plans, drops and ticks come from members alone.
    pub fn may(viewer: Viewer<'_>, command: &Command) -> bool {
        match command {
            Command::Submit { client, .. } | Command::Back { client, .. } => client == viewer.client,
            Command::Approve { by, .. } | Command::Refuse { by, .. } => {
                viewer.operator && by == viewer.client
            }
            Command::Plan { .. } | Command::Drop { .. } | Command::Tick => false,
        }
    }

    /// What a client should know of its rules: what is beyond its plan and until when it holds, what was cut, and whether
    /// the plan can't be read. At most [`limits::MAX_FINDINGS`] of each.
    pub fn notices(&self, client: &str) -> Vec<Notice> {
        self.clients.get(client).filter(|c| c.dropped.is_none()).map(Client::notices).unwrap_or_default()
    }

    /// Versions that wait for an operator, with their clients; at most `most`.
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
            versions: self.versions.iter().map(|(number, v)| past(*number, v)).collect(),
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
            for finding in check::beyond(&self.set().rules, &self.plan).list {
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

fn past(version: u64, kept: &super::client::Version) -> VersionInfo {
    let (state, why) = match &kept.stage {
        Stage::Waiting => ("waiting", ""),
        Stage::Desired => ("approved", ""),
        Stage::Superseded => ("superseded", ""),
        Stage::Merged(_) => ("joined", ""),
        Stage::Rejected(why) => ("refused", why.as_str()),
    };
    VersionInfo { version, state, at: kept.at, by: kept.by.clone(), why: why.into() }
}

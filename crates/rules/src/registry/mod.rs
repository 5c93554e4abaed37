//! Clients' rules from draft to desired version: a state machine over agreed commands.
//!
//! The same commands in the same order, with the same times, produce the same registry on every member. All
//! collections are ordered, all numbers are integers, and the only time is that of the commands.

mod client;
mod command;
mod decide;
mod merge;
mod outcome;
mod replan;
mod snapshot;
mod submit;
mod view;

pub use command::{Command, rollback_request_id};
pub use merge::merge;
pub use outcome::{Desired, Outcome, Reply};
pub use snapshot::SnapshotError;
pub use view::{Notice, VersionInfo, View, Viewer};

use crate::Micros;
use crate::digest::{self, Digest};
use crate::limits;
use crate::model::RuleSet;
use client::Client;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use submit::ChangeContext;

/// The rules of all clients.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    /// The greatest time seen; the clock never goes back.
    clock: Micros,
    /// A new client gets version numbers above this one.
    version_floor: u64,
    clients: BTreeMap<String, Client>,
    #[serde(skip)]
    index: Index,
}

/// Data derived from the clients.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Index {
    /// When which client is to be cut.
    due: BTreeSet<(Micros, String)>,
    /// When which client was dropped.
    dropped: BTreeSet<(Micros, String)>,
    bytes: u64,
}

impl Registry {
    /// Creates a registry without clients.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one command at a time of day (in microseconds; a time before the latest one counts as the
    /// latest). Due cuts are made first: that of the command's client, then at most
    /// [`limits::MAX_CUTS_PER_COMMAND`] others.
    pub fn apply(&mut self, wall: Micros, command: &Command) -> Outcome {
        self.clock = self.clock.max(wall);
        let mut changed = Vec::new();
        if let Some(name) = command.client() {
            self.update(name, &mut changed, |client, context| client.cut_if_due(context));
        }
        for _ in 0..limits::MAX_CUTS_PER_COMMAND {
            let Some((at, name)) = self.index.due.first().cloned().filter(|(at, _)| *at <= self.clock) else {
                break;
            };
            self.update(&name, &mut changed, |client, context| client.cut_if_due(context));
            // A cut always clears its time; this keeps the loop from repeating if it ever did not.
            self.index.due.remove(&(at, name));
        }
        let reply = self.execute(command, &mut changed);
        Outcome { reply, changed }
    }

    /// Rolls a client back when a rollout stopped: from the version in effect to rules that were in effect
    /// before, as a new version. Returns what is now desired; nothing if another version is in effect or the
    /// plan no longer allows the rules.
    pub fn undo_rollout(&mut self, wall: Micros, client: &str, version: u64, to: &RuleSet) -> Vec<Desired> {
        self.clock = self.clock.max(wall);
        let mut changed = Vec::new();
        self.update(client, &mut changed, |client, context| client.undo_rollout(version, to, context));
        changed
    }

    fn execute(&mut self, command: &Command, changed: &mut Vec<Desired>) -> Reply {
        let no_plan = || Reply::refused("plan", "none", "", "the settings give this client no plan");
        match command {
            Command::Submit { request, client, base, rules } => self
                .update(client, changed, |c, context| c.submit(*request, *base, rules, context))
                .unwrap_or_else(no_plan),
            Command::RollBack { client, version, request } => {
                let reply =
                    self.update(client, changed, |c, context| c.roll_back(*request, *version, context));
                reply.unwrap_or_else(no_plan)
            }
            Command::Approve { client, version, by } => self
                .update(client, changed, |c, context| c.approve(*version, by, context))
                .unwrap_or(Reply::Unknown),
            Command::Refuse { client, version, by, why } => {
                self.update(client, changed, |c, _| c.refuse(*version, by, why)).unwrap_or(Reply::Unknown)
            }
            Command::Plan { client, plan, digest } => {
                if let Some(reply) = self.add_client(client) {
                    return reply;
                }
                self.update(client, changed, |c, context| c.replan(plan.as_deref(), *digest, context))
                    .unwrap_or(Reply::Unknown)
            }
            Command::Drop { client } => {
                self.update(client, changed, |c, context| c.drop_all(context)).unwrap_or(Reply::Unknown)
            }
            Command::Tick => Reply::Done,
        }
    }

    /// Returns the outcome that a command would have now, without applying it. It serves `rules/check` and
    /// the check before a command is proposed to the fleet.
    pub fn preview(&self, wall: Micros, command: &Command) -> Outcome {
        self.dry_run(wall, command).0
    }

    /// Returns the same, together with the rules that would be in effect at once or after an operator's
    /// approval.
    pub fn dry_run(&self, wall: Micros, command: &Command) -> (Outcome, Option<Arc<RuleSet>>) {
        let mut scratch =
            Registry { clock: self.clock, version_floor: self.version_floor, ..Registry::default() };
        if let Some((name, client)) = command.client().and_then(|name| self.clients.get_key_value(name)) {
            scratch.clients.insert(name.clone(), client.clone());
        }
        scratch.rebuild_index();
        scratch.index.bytes = self.index.bytes;
        let outcome = scratch.apply(wall, command);
        let version = match &outcome.reply {
            Reply::Approved { version } | Reply::Waiting { version } => Some(version),
            _ => None,
        };
        let set = command.client().and_then(|name| scratch.clients.get(name)).zip(version).and_then(
            |(c, version)| {
                let found = c.versions.get(version)?;
                // A version that another one has replaced will not be applied again.
                (*version == c.current || found.stage == client::Stage::Waiting).then(|| found.set.clone())
            },
        );
        (outcome, set)
    }

    /// Returns when a [`Command::Tick`] next has something to do; a time in the past means now.
    pub fn due(&self) -> Option<Micros> {
        self.index.due.first().map(|(at, _)| *at)
    }

    /// Returns what is desired for a client.
    pub fn desired(&self, client: &str) -> Option<Desired> {
        self.clients.get_key_value(client).map(|(name, c)| c.desired(name, false))
    }

    /// Returns what is desired for all clients, by name. After a restart it is unknown what a member applies,
    /// so every entry counts as destructive.
    pub fn all(&self) -> impl Iterator<Item = Desired> {
        self.clients.iter().map(|(name, c)| c.desired(name, true))
    }

    /// Returns the digest of everything desired. The cost grows with the number of clients.
    pub fn digest(&self) -> Digest {
        let each = self.clients.iter().map(|(name, c)| {
            let set = c.set();
            (name.as_str(), set.version, digest::digest(&set, &c.plan))
        });
        digest::all_clients_digest(each)
    }

    /// Returns the number of known clients, including dropped ones.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Returns whether no client is known.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Returns the size of all versions kept.
    pub fn bytes(&self) -> u64 {
        self.index.bytes
    }

    /// Adds a client if it is unknown; if the registry is full, it replaces the client that was dropped
    /// first.
    fn add_client(&mut self, name: &str) -> Option<Reply> {
        if self.clients.contains_key(name) {
            return None;
        }
        if name.is_empty() || name.len() > limits::MAX_CLIENT_NAME_BYTES {
            return Some(Reply::refused("client", "", "1 to 64 octets", "a name of a client that can't be"));
        }
        if self.clients.len() >= limits::MAX_CLIENTS {
            let Some((_, oldest)) = self.index.dropped.pop_first() else {
                return Some(Reply::refused("client", "", "", "as many clients as may have rules"));
            };
            if let Some(removed) = self.clients.remove(&oldest) {
                // If the client returns, its version numbers must not be reused with other contents.
                self.version_floor = self.version_floor.max(removed.last_version);
                self.index.bytes = self.index.bytes.saturating_sub(removed.bytes());
            }
        }
        self.clients.insert(name.into(), Client { last_version: self.version_floor, ..Client::default() });
        None
    }

    /// Runs a change of one client and updates the index.
    fn update<R>(
        &mut self,
        name: &str,
        changed: &mut Vec<Desired>,
        change: impl FnOnce(&mut Client, ChangeContext<'_>) -> R,
    ) -> Option<R> {
        let client = self.clients.get_mut(name)?;
        let index = &mut self.index;
        let before = client.bytes();
        let others = index.bytes.saturating_sub(before);
        client.due().map(|at| index.due.remove(&(at, name.into())));
        client.dropped.map(|at| index.dropped.remove(&(at, name.into())));
        let bytes_available = limits::MAX_TOTAL_BYTES.saturating_sub(others);
        let out = change(client, ChangeContext { name, clock: self.clock, bytes_available, changed });
        client.due().map(|at| index.due.insert((at, name.into())));
        client.dropped.map(|at| index.dropped.insert((at, name.into())));
        index.bytes = others + client.bytes();
        Some(out)
    }

    fn rebuild_index(&mut self) {
        self.index = Index::default();
        for (name, client) in &self.clients {
            client.due().map(|at| self.index.due.insert((at, name.clone())));
            client.dropped.map(|at| self.index.dropped.insert((at, name.clone())));
            self.index.bytes += client.bytes();
        }
    }
}

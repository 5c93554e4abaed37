//! The commands of the agreed log, as the registry reads them.

use crate::digest::{Digest, digest_parts};
use crate::model::{Plan, Rule};
use serde::{Deserialize, Serialize};

/// One agreed command, encoded with postcard into a log entry: variants and fields may only be added at the
/// end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Submits a client's draft.
    Submit {
        /// Identifies the request ([`crate::json::Draft::request`]); a repeated request has the same one.
        request: Digest,
        /// The client's system_id.
        client: String,
        /// The version that was edited.
        base: u64,
        /// All rules of the client.
        rules: Vec<Rule>,
    },
    /// Approves a waiting version.
    Approve {
        /// The client's system_id.
        client: String,
        /// The version to approve.
        version: u64,
        /// The operator.
        by: String,
    },
    /// Rejects a waiting version.
    Refuse {
        /// The client's system_id.
        client: String,
        /// The version to reject.
        version: u64,
        /// The operator.
        by: String,
        /// The reason, which the client is given.
        why: String,
    },
    /// Restores the rules of an earlier version as a new version.
    RollBack {
        /// The client's system_id.
        client: String,
        /// The version to restore.
        version: u64,
        /// Identifies the request.
        request: Digest,
    },
    /// Sets a client's plan to what the settings now have.
    Plan {
        /// The client's system_id.
        client: String,
        /// The plan; none: it can't be read, and approved rules stay.
        plan: Option<Box<Plan>>,
        /// Digest of the plan ([`crate::digest::plan_digest`]); a command with the same digest as before
        /// changes nothing.
        digest: Digest,
    },
    /// Drops a client that is no longer in the settings.
    Drop {
        /// The client's system_id.
        client: String,
    },
    /// Lets time pass; see [`super::Registry::due`].
    Tick,
}

/// Returns the digest that identifies a rollback of a client to a version, requested while `current` was
/// desired. A rollback to the same version that is requested later therefore counts as a new one.
pub fn rollback_request_id(client: &str, version: u64, current: u64) -> Digest {
    digest_parts("back", &[client.as_bytes(), &version.to_be_bytes(), &current.to_be_bytes()])
}

impl Command {
    /// Returns the client that the command is about.
    pub fn client(&self) -> Option<&str> {
        match self {
            Command::Submit { client, .. }
            | Command::Approve { client, .. }
            | Command::Refuse { client, .. }
            | Command::RollBack { client, .. }
            | Command::Plan { client, .. }
            | Command::Drop { client } => Some(client),
            Command::Tick => None,
        }
    }

    /// Encodes the command for a log entry.
    pub fn pack(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a command; returns none if the bytes are not exactly one command.
    pub fn unpack(body: &[u8]) -> Option<Command> {
        let (command, rest) = postcard::take_from_bytes(body).ok()?;
        rest.is_empty().then_some(command)
    }
}

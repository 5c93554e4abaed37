//! What the keepers agree on, as the registry reads it.

use crate::digest::{Digest, digest_parts};
use crate::model::{Plan, Rule};
use serde::{Deserialize, Serialize};

/// One agreed command. Packed with postcard into an entry of the log: a variant or a field is only ever added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A client's draft.
    Submit {
        /// Names the request ([`crate::json::Draft::request`]): asked again, it is the same.
        request: Digest,
        /// Whose.
        client: String,
        /// The version that was edited.
        base: u64,
        /// All rules.
        rules: Vec<Rule>,
    },
    /// An operator approves a version that waits.
    Approve {
        /// Whose.
        client: String,
        /// Which.
        version: u64,
        /// The operator.
        by: String,
    },
    /// An operator turns one down.
    Refuse {
        /// Whose.
        client: String,
        /// Which.
        version: u64,
        /// The operator.
        by: String,
        /// The reason, told to the client.
        why: String,
    },
    /// A client wants an earlier version's rules again, as a new version.
    Back {
        /// Whose.
        client: String,
        /// Which.
        version: u64,
        /// See [`back_request`].
        request: Digest,
    },
    /// A client's plan as the settings have it now.
    Plan {
        /// Whose.
        client: String,
        /// None: it can't be read, and what is approved stays.
        plan: Option<Box<Plan>>,
        /// [`crate::digest::plan_digest`]; the same as before changes nothing.
        digest: Digest,
    },
    /// The settings have the client no more.
    Drop {
        /// Whose.
        client: String,
    },
    /// Time went on; see [`super::Registry::due`].
    Tick,
}

/// Names a roll-back: of a client, to a version, asked for while `current` held, so that the same wish later is another.
pub fn back_request(client: &str, version: u64, current: u64) -> Digest {
    digest_parts("back", &[client.as_bytes(), &version.to_be_bytes(), &current.to_be_bytes()])
}

impl Command {
    /// Whose it is.
    pub fn client(&self) -> Option<&str> {
        match self {
            Command::Submit { client, .. }
            | Command::Approve { client, .. }
            | Command::Refuse { client, .. }
            | Command::Back { client, .. }
            | Command::Plan { client, .. }
            | Command::Drop { client } => Some(client),
            Command::Tick => None,
        }
    }

    /// Packed for an entry.
    pub fn pack(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Read back; none where the octets are no command, or more than one.
    pub fn unpack(body: &[u8]) -> Option<Command> {
        let (command, rest) = postcard::take_from_bytes(body).ok()?;
        rest.is_empty().then_some(command)
    }
}

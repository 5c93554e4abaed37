//! Encoding of a registry as a snapshot.

use super::Registry;
use super::client::{Client, Stage};
use crate::check;
use crate::digest::Digest;
use crate::limits;
use sha2::{Digest as _, Sha256};

const MAGIC: &[u8; 8] = b"hrules\x00\x01";
const HEADER_LEN: usize = MAGIC.len() + 32;

/// Why bytes are rejected as a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// Another kind of file, or another format version.
    #[error("this is no snapshot of rules, or one of another version")]
    UnknownFormat,
    /// The checksum or the encoding is wrong.
    #[error("the snapshot of rules is damaged")]
    Damaged,
    /// The encoding is intact, but the contents exceed a bound or are inconsistent.
    #[error("the snapshot of rules is beyond what a registry can be")]
    OutOfBounds,
}

impl Registry {
    /// Encodes the registry: magic, SHA-256 of the rest, and the state in postcard. Equal registries have
    /// equal encodings.
    pub fn snapshot(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let checksum: Digest = Sha256::digest(&body).into();
        let mut out = Vec::with_capacity(HEADER_LEN + body.len());
        out.extend_from_slice(MAGIC);
        out.extend_from_slice(&checksum);
        out.extend_from_slice(&body);
        out
    }

    /// Decodes a snapshot into a registry equal to the encoded one.
    ///
    /// # Errors
    /// Returns an error if the bytes were not written by [`Registry::snapshot`] or the contents exceed the
    /// bounds.
    pub fn restore(bytes: &[u8]) -> Result<Registry, SnapshotError> {
        let (header, body) = bytes.split_at_checked(HEADER_LEN).ok_or(SnapshotError::UnknownFormat)?;
        let checksum = header.strip_prefix(MAGIC).ok_or(SnapshotError::UnknownFormat)?;
        if bytes.len() > limits::MAX_SNAPSHOT_BYTES {
            return Err(SnapshotError::OutOfBounds);
        }
        let actual: Digest = Sha256::digest(body).into();
        if checksum != actual {
            return Err(SnapshotError::Damaged);
        }
        let (mut registry, rest) =
            postcard::take_from_bytes::<Registry>(body).map_err(|_| SnapshotError::Damaged)?;
        let is_valid = registry.version_floor < 1 << 62
            && registry.clients.len() <= limits::MAX_CLIENTS
            && registry
                .clients
                .iter()
                .all(|(name, client)| name.len() <= limits::MAX_CLIENT_NAME_BYTES && client.is_valid());
        if !rest.is_empty() || !is_valid {
            return Err(SnapshotError::OutOfBounds);
        }
        registry.rebuild_index();
        Ok(registry)
    }
}

impl Client {
    /// Checks the invariants that commands preserve.
    fn is_valid(&self) -> bool {
        let number = |n: u64| n <= self.last_version;
        let rules = |rules: &[crate::Rule]| {
            rules.len() <= limits::MAX_RULES && check::octets(rules) <= limits::MAX_RULES_BYTES
        };
        let version = |(n, v): (&u64, &super::client::Version)| {
            let stage_matches = (v.stage == Stage::Desired) == (*n == self.current);
            v.set.version == *n
                && number(*n)
                && stage_matches
                && rules(&v.set.rules)
                && v.bytes == check::octets(&v.set.rules) + 64
        };
        // Counting up from here must never overflow.
        self.last_version < 1 << 62
            && number(self.current)
            && (self.current == 0 || self.versions.contains_key(&self.current))
            && self.versions.len() <= limits::MAX_VERSIONS + 2 * limits::MAX_WAITING_VERSIONS + 2
            && self.waiting() <= limits::MAX_WAITING_VERSIONS
            && self.versions.iter().all(version)
            && rules(&self.reduced)
            && rules(&self.removed)
            && self.changes.len() <= limits::MAX_CHANGES_AN_HOUR
            && self.requests.len() <= limits::MAX_REMEMBERED_REQUESTS
            && check::is_usable(&self.plan)
    }
}

//! A registry as octets, and back.

use super::Registry;
use super::client::{Client, Stage};
use crate::check;
use crate::digest::Digest;
use crate::limits;
use sha2::{Digest as _, Sha256};

const MAGIC: &[u8; 8] = b"hrules\x00\x01";
const HEADER_LEN: usize = MAGIC.len() + 32;

/// Octets that are no snapshot of a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// Another kind of file, or of another version.
    #[error("this is no snapshot of rules, or one of another version")]
    UnknownFormat,
    /// Not as it was written.
    #[error("the snapshot of rules is damaged")]
    Damaged,
    /// It was written so, but no registry can be so.
    #[error("the snapshot of rules is beyond what a registry can be")]
    OutOfBounds,
}

impl Registry {
    /// As octets: magic, SHA-256 of what follows, the state with postcard. Equal registries give equal octets.
    pub fn snapshot(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let checksum: Digest = Sha256::digest(&body).into();
        let mut out = Vec::with_capacity(HEADER_LEN + body.len());
        out.extend_from_slice(MAGIC);
        out.extend_from_slice(&checksum);
        out.extend_from_slice(&body);
        out
    }

    /// Back from octets; equal to the one it was taken of.
    ///
    /// # Errors
    /// Where the octets are not as [`Registry::snapshot`] wrote them, or tell of what is beyond all bounds.
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
            && registry.clients.len() <= limits::CLIENTS
            && registry
                .clients
                .iter()
                .all(|(name, client)| name.len() <= limits::CLIENT && client.is_valid());
        if !rest.is_empty() || !is_valid {
            return Err(SnapshotError::OutOfBounds);
        }
        registry.rebuild_index();
        Ok(registry)
    }
}

impl Client {
    /// All that commands keep to.
    fn is_valid(&self) -> bool {
        let number = |n: u64| n <= self.last_version;
        let rules = |rules: &[crate::Rule]| {
            rules.len() <= limits::MAX_RULES && check::octets(rules) <= limits::SET_OCTETS
        };
        let version = |(n, v): (&u64, &super::client::Version)| {
            let holds = (v.stage == Stage::Desired) == (*n == self.current);
            v.set.version == *n
                && number(*n)
                && holds
                && rules(&v.set.rules)
                && v.bytes == check::octets(&v.set.rules) + 64
        };
        // Counting on from there must never overflow.
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

//! The members of the installation, as one member knows them.

use crate::key::Key;
use crate::name::{Life, Name, Peer, Start};
use std::collections::BTreeMap;

/// The maximum number of bytes in an installation's id.
pub const MAX_ID_BYTES: usize = 64;

/// The reason why a roster is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// The installation's id doesn't have 1 to 64 bytes.
    #[error("an installation's id has 1 to {MAX_ID_BYTES} octets")]
    InvalidId,
    /// Two members have the same name.
    #[error("two members are named {0}")]
    DuplicateName(Name),
    /// This member isn't listed.
    #[error("{0} is not among the members")]
    NotListed(Name),
}

/// The installation's members, and the latest life of each that is known here.
#[derive(Clone, Debug)]
pub struct Roster {
    /// The installation's id.
    pub(crate) installation: String,
    /// This member.
    pub(crate) me: Life,
    pub(crate) key: Key,
    members: BTreeMap<Name, (usize, Start)>,
}

impl Roster {
    /// Returns the roster of these members; `me` must be one of them.
    ///
    /// # Errors
    /// Fails when the id or the names aren't valid.
    pub fn new(installation: &str, me: Life, key: Key, peers: &[Peer]) -> Result<Self, RosterError> {
        if installation.is_empty() || installation.len() > MAX_ID_BYTES {
            return Err(RosterError::InvalidId);
        }
        let mut members = BTreeMap::new();
        for (index, peer) in peers.iter().enumerate() {
            if members.insert(peer.name.clone(), (index, Start(0))).is_some() {
                return Err(RosterError::DuplicateName(peer.name.clone()));
            }
        }
        if !members.contains_key(&me.name) {
            return Err(RosterError::NotListed(me.name));
        }
        Ok(Roster { installation: installation.to_string(), me, key, members })
    }

    /// Returns a member's index in the settings, and its latest start known here.
    pub fn member(&self, name: &Name) -> Option<(usize, Start)> {
        self.members.get(name).copied()
    }

    /// Returns the latest start of a member that is known here, or 0.
    pub fn latest_start(&self, name: &Name) -> Start {
        self.member(name).map_or(Start(0), |(_, start)| start)
    }

    /// Records the start of a life that was authenticated.
    pub fn record_start(&mut self, life: &Life) {
        if let Some((_, start)) = self.members.get_mut(&life.name) {
            *start = (*start).max(life.start);
        }
    }
}

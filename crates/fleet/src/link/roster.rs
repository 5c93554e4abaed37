//! Who belongs to the installation, as one member knows it.

use crate::key::Key;
use crate::name::{Life, Name, Peer, Start};
use std::collections::BTreeMap;

/// Octets of an installation's id at most.
pub const MAX_ID_BYTES: usize = 64;

/// Why members can't be linked as they are named.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// An installation's id has 1 to 64 octets.
    #[error("an installation's id has 1 to {MAX_ID_BYTES} octets")]
    InvalidId,
    /// Two bear one name.
    #[error("two members are named {0}")]
    DuplicateName(Name),
    /// This member is not among them.
    #[error("{0} is not among the members")]
    NotListed(Name),
}

/// The installation's members, and which life of each is the latest known here.
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
    /// Of these members, `me` among them.
    ///
    /// # Errors
    /// Where the id or the names can't be.
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

    /// A member's place in the settings, and its latest start known here.
    pub fn member(&self, name: &Name) -> Option<(usize, Start)> {
        self.members.get(name).copied()
    }

    /// The latest start of a member that is known here; 0 where none is.
    pub fn latest_start(&self, name: &Name) -> Start {
        self.member(name).map_or(Start(0), |(_, start)| start)
    }

    /// A life was proved.
    pub fn record_start(&mut self, life: &Life) {
        if let Some((_, start)) = self.members.get_mut(&life.name) {
            *start = (*start).max(life.start);
        }
    }
}

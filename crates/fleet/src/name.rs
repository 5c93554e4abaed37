//! Names of members, and the identity of each process that runs under a name.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A member's name: 1 to 32 of `a-z`, `0-9`, `-`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Box<str>);

/// The text isn't a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a member's name has 1 to 32 of a-z, 0-9 and -")]
pub struct NameError;

impl Name {
    /// Parses a name.
    ///
    /// # Errors
    /// Fails when the text isn't a valid name.
    pub fn new(text: &str) -> Result<Self, NameError> {
        let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if text.is_empty() || text.len() > 32 || !text.chars().all(fits) {
            return Err(NameError);
        }
        Ok(Name(text.into()))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;
    fn try_from(text: String) -> Result<Self, NameError> {
        Name::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.into()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The start number of a process. It is kept on disk and raised before the process sends anything, so that it
/// never repeats. Where the disk was lost, it begins at the time of day in microseconds, which is above every
/// earlier number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Start(pub u64);

/// One life of a member: the process that a particular start of it began.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// The member's name.
    pub name: Name,
    /// The start number.
    pub start: Start,
}

/// A member as the settings describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The name, unique within the installation.
    pub name: Name,
    /// The zone.
    pub zone: String,
    /// The address at which it accepts links.
    pub address: SocketAddr,
    /// Whether it is a voting replica of the log. An installation has 1, 3 or 5 of them.
    pub keeper: bool,
}

/// The state of a member as another member believes it to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It answers probes.
    Alive,
    /// It didn't answer, and can still refute the suspicion.
    Suspect,
    /// It is considered dead. Only a process with a later start can return under its name.
    Dead,
}

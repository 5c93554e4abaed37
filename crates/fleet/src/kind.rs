//! Kinds of messages between members.

use serde::{Deserialize, Serialize};

/// The kind of a message between members. Each peer has a queue for each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Messages of the consensus protocol: in order, none left out while the link is up.
    Agreement,
    /// Membership gossip: newer messages may replace older ones.
    Gossip,
    /// Decided entries for members that lack them, and requests forwarded to a replica: in order, none left
    /// out while the link is up.
    Log,
    /// Drift reports and verdicts: newer messages may replace older ones.
    Drift,
    /// Messages relayed through a third member because two members have no link between them: newer messages
    /// may replace older ones. They have a queue of their own, so that relayed traffic takes no room from
    /// other kinds.
    Relayed,
}

impl Kind {
    /// The number of kinds.
    pub const COUNT: usize = 5;

    /// All kinds, in the order of [`Kind::index`].
    pub const ALL: [Kind; Kind::COUNT] =
        [Kind::Agreement, Kind::Gossip, Kind::Log, Kind::Drift, Kind::Relayed];

    /// Returns the index of the kind in tables by kind.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns whether messages of this kind are delivered in order with none left out while a link is up.
    /// For the other kinds, newer messages may replace older ones.
    pub fn ordered(self) -> bool {
        matches!(self, Kind::Agreement | Kind::Log)
    }
}

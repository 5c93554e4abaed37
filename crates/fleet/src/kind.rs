//! Kinds of messages between members.

use serde::{Deserialize, Serialize};

/// Kinds of messages between members; for each peer they are queued by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Of the keepers' agreement, in order, none left out while the link stands.
    Agreement,
    /// Who is there: the newest counts.
    Gossip,
    /// Decided entries for those who lack them, and requests sent on to a keeper; in order.
    Log,
    /// Reports and verdicts: the newest counts.
    Drift,
    /// What goes through a third member, as two have no link: the newest counts, in a room of its own, so that what is carried
    /// for others takes nobody's place.
    Relayed,
}

impl Kind {
    /// How many there are.
    pub const COUNT: usize = 5;

    /// All, in the order of [`Kind::index`].
    pub const ALL: [Kind; Kind::COUNT] =
        [Kind::Agreement, Kind::Gossip, Kind::Log, Kind::Drift, Kind::Relayed];

    /// Its place in tables by kind.
    pub fn index(self) -> usize {
        self as usize
    }

    /// In order and none left out while a link stands; of the others the newest counts.
    pub fn ordered(self) -> bool {
        matches!(self, Kind::Agreement | Kind::Log)
    }
}

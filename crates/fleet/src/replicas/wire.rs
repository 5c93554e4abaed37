//! What members say to each other about the log, as octets: postcard, [`MOST_MESSAGE`] at most.

use super::chain::Chain;
use super::item::Item;
use super::record::{Mark, Seen};
use super::tuning::MOST_MESSAGE;
use crate::Micros;
use crate::entry::{Entry, Request, Term};
use crate::name::Start;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

/// Which of two ways a message goes; each keeps its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// Between keepers.
    Agreement,
    /// Of the decided log, and requests: between any member and a keeper.
    Log,
}

/// Said with each message between keepers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The installation and its keepers, as a checksum.
    pub group: u32,
    /// The sender's start.
    pub start: Start,
    /// The sender's life, by the number it drew.
    pub nonce: u64,
    /// The receiver's life that the sender knows; 0: none.
    pub to: u64,
    /// Its number on this way, from 1, for each pair of lives.
    pub number: u64,
    /// The sender takes part in agreement.
    pub voting: bool,
    /// The sender's mark when it started, and now.
    pub opened: Mark,
    /// See [`Head::opened`].
    pub mark: Mark,
    /// Greatest marks that the sender heard of, for each keeper.
    pub seen: Vec<Seen>,
    /// See [`super::state::State::epochs`].
    pub epochs: Vec<u64>,
    /// The sender's clock.
    pub sent: Micros,
    /// The receiver's clock, as the sender last heard it.
    pub echo: Micros,
}

/// How a keeper's log stands, for another that holds its own against it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spot {
    /// Slots decided.
    pub decided: u64,
    /// Slots in all.
    pub end: u64,
    /// As many slots as sender and receiver have decided, as far as the sender knows.
    pub at: u64,
    /// The chain's head up to there; none where the sender's log begins later.
    pub head: Option<Chain>,
    /// The receiver is asked for the same.
    pub ask: bool,
}

/// What is said between keepers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Said {
    /// That the sender is there, and how its log stands.
    Hello(Spot),
    /// A message of yours is missing.
    Gap,
    /// You lack more than agreement can bring: so many slots are decided.
    Behind(u64),
    /// Agreement.
    Paxos(Message<Item>),
    /// Whoever leads asks to stay in charge.
    Renew {
        /// The term.
        term: Term,
        /// When it asked, on its own clock.
        sent: Micros,
        /// A majority has it in charge already. One that was replaced out of its hearing goes on asking, and is told nothing.
        held: bool,
    },
    /// The sender gives no other member a term before the lease has run out.
    Grant {
        /// The term.
        term: Term,
        /// As it was asked.
        sent: Micros,
    },
    /// You may take part from here on.
    Admit {
        /// Which life may.
        nonce: u64,
        /// The slot that says so.
        slot: u64,
        /// The leader's ballot; nothing below it may be followed.
        ballot: Ballot,
    },
}

/// What is said of the decided log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    /// What comes from this slot on? A part of a snapshot where one is being fetched: its slot, and octets there are.
    Pull {
        /// The next slot wanted.
        from: u64,
        /// Snapshot in the making.
        part: Option<(u64, u64)>,
        /// The asker's clock.
        sent: Micros,
    },
    /// Decided items from a slot on; perhaps none.
    Items {
        /// The slot of the first.
        from: u64,
        /// The items.
        items: Vec<Item>,
        /// How it stands.
        tip: Tip,
    },
    /// A part of a snapshot.
    Part {
        /// The slot that it stands for.
        slot: u64,
        /// Octets of all.
        total: u64,
        /// Where this part begins.
        at: u64,
        /// The part.
        octets: Vec<u8>,
        /// How it stands.
        tip: Tip,
    },
    /// Somebody asks for an entry.
    Ask {
        /// It.
        entry: Entry,
        /// How often it was sent on.
        hops: u8,
    },
    /// It can't be decided now.
    Refuse {
        /// Which.
        request: Request,
        /// There is a majority, but no room.
        busy: bool,
    },
}

/// How the log stands at a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tip {
    /// Slots decided.
    pub decided: u64,
    /// It has a majority.
    pub majority: bool,
    /// Agreement passes it by, and it has news for nobody: whoever learns from it is to ask another one.
    pub adrift: bool,
    /// It follows nothing below this ballot.
    pub ballot: Option<Ballot>,
    /// The asker's clock when it asked.
    pub echo: Micros,
}

/// Packs. Nothing comes back where it would be longer than may be sent.
pub fn pack<T: Serialize>(said: &T) -> Option<Vec<u8>> {
    postcard::to_stdvec(said).ok().filter(|octets| octets.len() <= MOST_MESSAGE)
}

/// Unpacks; nothing where the octets are no such message, are too long or have something behind it.
pub fn unpack<T: for<'a> Deserialize<'a>>(octets: &[u8]) -> Option<T> {
    if octets.len() > MOST_MESSAGE {
        return None;
    }
    let (said, rest) = postcard::take_from_bytes(octets).ok()?;
    rest.is_empty().then_some(said)
}

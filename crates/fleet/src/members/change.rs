//! The outputs, errors and counters of [`Members`](super::Members).

use crate::Micros;
use crate::name::{Life, Name, Standing, Start};

/// The reason why the settings or a start number are refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembersError {
    /// The own name isn't among the members.
    #[error("{0} is not among the members")]
    NotListed(Name),
    /// A name is listed more than once.
    #[error("{0} is listed twice")]
    Twice(Name),
    /// There are more than 65,535 members.
    #[error("too many members")]
    TooMany,
    /// [`Members::continue_as`](super::Members::continue_as) was called with a start that isn't greater than
    /// all others.
    #[error("start {0:?} is not greater than every start seen under this member's name")]
    NotAbove(Start),
}

/// An event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The believed state of a member has changed. When it changes again before this is taken, only the last
    /// change is reported. A `life` with another start than before means that the member was replaced.
    Standing {
        /// The member's index in the settings.
        peer: usize,
        /// The member's life.
        life: Life,
        /// The state.
        standing: Standing,
        /// The time of the change.
        since: Micros,
    },
    /// The view has become stale, or is no longer; see [`Members::stale`](super::Members::stale).
    Stale(bool),
    /// Another running process claims the name of this `life`; reported once for each. If the name is this
    /// member's own and the other life is the greater one, this member stays silent until the other is gone.
    SharedName(Life),
    /// The last life under this member's own name had this start number, which isn't less than the own one,
    /// and is dead: this process was restored from an old disk. Raise the start above it on disk, then call
    /// [`Members::continue_as`](super::Members::continue_as).
    Behind(Start),
}

/// An action for the caller, or an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send these bytes to the peer with this index in the settings. They may be lost.
    Send(usize, Vec<u8>),
    /// An event.
    Change(Change),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages sent.
    pub sent: u64,
    /// Bytes of the messages sent.
    pub sent_octets: u64,
    /// Messages not sent because no link was up or the outbox was full.
    pub unsent: u64,
    /// Messages received.
    pub received: u64,
    /// Messages dropped because they couldn't be decoded or were too long.
    pub undecoded: u64,
    /// Messages dropped because they named another sender than the link's peer, or weren't for this member.
    pub misrouted: u64,
    /// Messages dropped, or entries removed from a message, because the settings don't list the name.
    pub unknown: u64,
    /// Messages refused by the protocol.
    pub refused: u64,
    /// How often this life was declared dead and refuted it.
    pub renewed: u64,
    /// Gaps of the own clock longer than the lease.
    pub pauses: u64,
}

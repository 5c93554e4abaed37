//! Figures of the keepers.

use crate::Micros;

/// Octets of a message between keepers at most; longer ones are dropped unread.
pub const MOST_MESSAGE: usize = 4 * 1024 * 1024;
/// Octets of undecided entries at most; beyond them an asker hears that the keepers are busy.
pub const MOST_UNDECIDED: u64 = 512 * 1024;
/// Octets of log that one keeper sends another within agreement; one that lacks more learns the decided prefix first.
pub const MOST_SYNC: u64 = 1024 * 1024;
/// Octets of log in memory at which nothing more is taken on until the caller has given a snapshot.
pub const MAX_LOG_BYTES: u64 = 16 * 1024 * 1024;
/// Octets of a snapshot at most.
pub const MOST_SNAPSHOT: usize = 16 * 1024 * 1024;
/// Octets of a piece of log or snapshot for those who learn.
pub const PIECE: usize = 192 * 1024;
/// Requests of this member that wait for their answer, at most.
pub const MOST_PENDING: usize = 64;

/// Figures that a caller may choose. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Between two ticks.
    pub tick: Micros,
    /// Ticks in a round of heartbeats; an answer must be back within it.
    pub election: u64,
    /// Ticks until what agreement has sent is sent again.
    pub resend: u64,
    /// A member that has not answered for so long is not counted into a majority.
    pub fresh: Micros,
    /// A request that is not decided within it is answered: no majority.
    pub patience: Micros,
    /// Until a request is sent on again.
    pub again: Micros,
    /// Between two questions of one that learns, when there is no news.
    pub pull: Micros,
    /// How long a lease lasts, from when its renewal was asked for, on the clock of whoever is in charge.
    pub lease: Micros,
    /// How far two members' clocks may differ in rate, in thousandths; a lease is honoured by so much longer.
    pub drift: Micros,
    /// How long a keeper that starts waits to hear from all others whether its disk is an old one.
    pub hear_all: Micros,
    /// The operator says that keepers with empty disks may begin without having heard from all others.
    pub found: bool,
    /// A keeper that lost its disk is let in again by decision of a majority of the others.
    pub readmit: bool,
    /// Octets of decided log after which a snapshot is asked for.
    pub compact: u64,
    /// Decided slots kept behind a snapshot for keepers that lag a little.
    pub keep: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            tick: 50_000,
            election: 4,
            resend: 6,
            fresh: 800_000,
            patience: 1_000_000,
            again: 250_000,
            pull: 500_000,
            lease: 2_000_000,
            drift: 50,
            hear_all: 3_000_000,
            found: false,
            readmit: true,
            compact: 1024 * 1024,
            keep: 256,
        }
    }
}

//! The limits and parameters of the replicated log.

use crate::Micros;

/// The maximum number of bytes in a message between replicas; longer ones are dropped undecoded.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// The maximum number of bytes of undecided entries; above it, requests are answered as busy.
pub const MAX_UNDECIDED_BYTES: u64 = 512 * 1024;
/// The maximum number of bytes of log that one replica sends another within the consensus protocol. A replica
/// that lacks more learns the decided prefix first.
pub const MAX_SYNC_BYTES: u64 = 1024 * 1024;
/// The number of bytes of log in memory above which requests are refused until the caller has provided a
/// snapshot.
pub const MAX_LOG_BYTES: u64 = 16 * 1024 * 1024;
/// The maximum number of bytes in a snapshot.
pub const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;
/// The number of bytes in a piece of log or snapshot for learners.
pub const PIECE_BYTES: usize = 192 * 1024;
/// The maximum number of this member's requests that wait for an answer.
pub const MAX_PENDING: usize = 64;

/// Parameters that a caller may choose. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// The interval between ticks.
    pub tick: Micros,
    /// The number of ticks in a round of heartbeats; an answer must arrive within it.
    pub election: u64,
    /// The number of ticks after which consensus messages are sent again.
    pub resend: u64,
    /// A member that hasn't answered for this long doesn't count towards a majority.
    pub fresh: Micros,
    /// A request that isn't decided within this time is answered with "no majority".
    pub request_timeout: Micros,
    /// The time after which a pending request is forwarded again.
    pub again: Micros,
    /// The interval between a learner's requests when there is nothing new.
    pub pull: Micros,
    /// The duration of a lease from when its renewal was requested, on the leader's clock.
    pub lease: Micros,
    /// The maximum difference between the rates of two members' clocks, in thousandths; a granting replica
    /// honours a lease for that much longer.
    pub drift: Micros,
    /// How long a starting replica waits for all others to tell whether its disk is an old one.
    pub startup_wait: Micros,
    /// Whether the operator allows replicas with empty disks to begin without an answer from all others.
    pub found: bool,
    /// Whether a replica that lost its disk is readmitted by decision of a majority of the others.
    pub readmit: bool,
    /// The number of bytes of decided log after which a snapshot is requested.
    pub compact: u64,
    /// The number of decided slots kept before a snapshot for replicas that lag a little.
    pub keep: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            tick: 50_000,
            election: 4,
            resend: 6,
            fresh: 800_000,
            request_timeout: 1_000_000,
            again: 250_000,
            pull: 500_000,
            lease: 2_000_000,
            drift: 50,
            startup_wait: 3_000_000,
            found: false,
            readmit: true,
            compact: 1024 * 1024,
            keep: 256,
        }
    }
}

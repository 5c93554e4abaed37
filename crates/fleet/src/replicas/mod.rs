//! The replicated log of decisions: a majority of 1, 3 or 5 replicas decides its entries, and every other
//! member learns them.
//!
//! **Why `omnipaxos`.** The candidates were `raft` 0.7 and `omnipaxos` 0.2. The deciding case is a chain: A
//! reaches B, B reaches C, A doesn't reach C, and C leads. Under Raft, A misses C's heartbeats, increments
//! its term and gets B's vote; C, which doesn't hear from A, then does the same, and the leadership
//! alternates for as long as the partition lasts. Pre-vote and sticky leaders prevent that, as B doesn't vote
//! while it hears from C; but Raft elects only a replica with the newest log, and where the one member that
//! still reaches a majority lacks an entry, nobody can be elected (the constrained election of the OmniPaxos
//! paper, EuroSys 2023). `omnipaxos` elects a replica that reaches a majority, whatever its log (it fetches
//! what it lacks before it leads). Its heartbeats say whether the sender is satisfied with its leader: A sees
//! that B is, and doesn't stand for election. It also avoids `protobuf` 2, which has a known advisory. In the
//! test of the chain (`tests/keepers/cases.rs`) all three replicas go on deciding, with at most one change of
//! term; the replica that doesn't reach the leader learns from the middle one ([`learn`]).
//!
//! `omnipaxos` leaves these things to its user, and they are done here: storage that is durable before a
//! promise is sent ([`log`], [`store`]); ordered delivery without repeats, with detection and repair of gaps
//! ([`peers`]); rejecting messages that would make it panic ([`check`]); catching up with messages of bounded
//! size ([`learn`]); lost and restored disks (`voting.rs`); a single replica, which it doesn't support; two
//! cases in which a replica stays excluded for good after messages or a process were lost (`receive.rs`);
//! repeated requests (`applied_state.rs`); and leases ([`crate::lease`]).
//!
//! **Use.** Inputs change memory only. [`Replicas::flush`] makes their effects durable with one sync and then
//! releases the messages that depend on them, so a batch of inputs costs one sync. After each flush the
//! caller takes every [`Output`], in order.

pub mod applied_state;
pub mod chain;
pub mod check;
mod compare;
pub mod item;
pub mod learn;
pub mod log;
mod member;
pub mod peers;
pub mod pending_requests;
mod progress;
mod receive;
pub mod record;
mod replica;
pub mod state;
pub mod store;
pub mod tuning;
mod view;
mod voting;
pub mod wire;

pub use log::LogError;
pub use member::Replicas;
pub use pending_requests::Answer;
pub use tuning::Tuning;
pub use wire::Lane;

use crate::entry::{Decided, Request, Term};
use crate::name::{Life, Name};
use crate::{Micros, entry};

/// An action for the caller, or an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send bytes to a member.
    Send {
        /// The receiver.
        to: Name,
        /// The lane to send them on.
        lane: Lane,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The next entry was decided.
    Decided(Decided),
    /// The state after entry `index` replaces everything applied so far; entries continue with the next one.
    /// With index 0 there is no state, `machine` is empty, and everything delivered before is revoked.
    Restore {
        /// The last entry that the state includes.
        index: u64,
        /// The state as it was passed to [`Replicas::snapshot`].
        machine: Vec<u8>,
    },
    /// The log has grown: call [`Replicas::snapshot`] once everything up to this entry is applied.
    WantSnapshot {
        /// The last entry delivered.
        index: u64,
    },
    /// A request of this member was answered.
    Answer {
        /// The request.
        request: Request,
        /// The answer.
        answer: Answer,
    },
    /// This member's participation has changed.
    Participation(Participation),
}

/// A member's participation in consensus.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Participation {
    /// It holds no replica and only learns decisions.
    Learner,
    /// The replica has just started, and waits to learn from the others whether its disk is up to date.
    Starting,
    /// The replica votes.
    Voting,
    /// The replica may vote, but lacks so much of the log that it learns that part first.
    CatchingUp,
    /// The replica's log differed from the others' and was discarded; from there on as
    /// [`Participation::Amnesiac`].
    Altered,
    /// The replica's disk is empty, or older than what the replica once sent. It learns, and doesn't vote
    /// until it is readmitted.
    Amnesiac,
    /// The replica's disk failed. It takes no part until it is restarted.
    Halted(String),
}

/// The leadership of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// The term.
    pub term: Term,
    /// The leading life.
    pub life: Life,
    /// The time, on its own clock, after which it must not act as leader.
    pub until: Micros,
}

/// Counters of dropped messages and repaired gaps since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that couldn't be decoded.
    pub undecodable: u64,
    /// Messages of a group with other replicas.
    pub foreign: u64,
    /// Messages that no correct peer sends, or not in that state.
    pub refused: u64,
    /// Messages that were repeated, late, or from a life that has ended.
    pub late: u64,
    /// Messages from a replica whose disk has lost its promises.
    pub stale: u64,
    /// How often messages were found missing.
    pub gaps: u64,
    /// How often another replica's log was found to differ from this one's.
    pub differ: u64,
}

/// The reason why this member can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The replica's file can't be used.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The number of replicas isn't 1, 3 or 5.
    #[error("{0} members are keepers; 1, 3 or 5 may be")]
    Replicas(usize),
    /// A replica has no storage, or a member without a replica has some.
    #[error("a keeper needs storage, and other members must have none")]
    Storage,
    /// The snapshot on disk can't be decoded.
    #[error("the snapshot in the keepers' log can't be read")]
    Base,
    /// The entries before the snapshot don't match it, and there is no other replica to learn them from.
    #[error(
        "the keepers' log was altered: its snapshot was made of other entries, and no other keeper has them"
    )]
    Altered,
}

/// The replicas of an installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// A checksum of the installation's name and the replicas' names. Replicas with another digest are
    /// ignored.
    pub digest: u32,
    /// The number of replicas.
    pub count: usize,
}

const _: () = assert!(entry::MAX_BODY_BYTES < tuning::PIECE_BYTES);

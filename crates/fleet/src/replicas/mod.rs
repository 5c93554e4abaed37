//! The ordered log of decisions: agreed on by a majority of 1, 3 or 5 keepers, learnt by every other member.
//!
//! **Why `omnipaxos`.** Candidates were `raft` 0.7 and `omnipaxos` 0.2. What decided is the chain: A sees B, B sees C, A does
//! not see C, and C leads. Under Raft, A misses C's heartbeats, counts up its term and gets B's vote; C, which can't hear
//! A, does the same in turn, and leadership goes to and fro for as long as the cut lasts. Pre-vote and sticky leaders
//! stop that, as B won't vote while it hears C; but Raft elects only who has the newest log, and where the one member
//! that still reaches a majority lacks an entry, nobody can be elected (the constrained election of the OmniPaxos
//! paper, EuroSys 2023). `omnipaxos` elects whoever reaches a majority, whatever its log (it fetches what it lacks before it leads), and
//! a heartbeat says whether its sender is content with its leader: A sees that B is, and stays. Nor does `omnipaxos` bring
//! `protobuf` 2, which has a known advisory. In the test of the chain (`tests/keepers/cases.rs`) all three go on deciding, in
//! one change of term at most; the end that does not see the leader learns from the middle ([`learn`]).
//!
//! What `omnipaxos` leaves to its user, and is done here: storage that is durable before a promise is heard ([`log`],
//! [`store`]); messages in order and each once, gaps found and mended ([`peers`]); messages that would make it panic
//! ([`check`]); messages of bounded size to those that lag ([`learn`]); disks that were lost or put back ([`office`]); a
//! keeper alone, which it does not allow; two ways in which one keeper stays out for good after messages or a process
//! were lost (`hear.rs`); requests that are asked twice ([`fold`]); leases ([`crate::lease`]).
//!
//! **Use.** Inputs change memory only; [`Keepers::flush`] makes what they did durable with one sync and lets out what may be
//! said then, so a round of inputs costs one sync. After each flush the caller takes every [`Output`], in order.

#[path = "pending_requests.rs"]
pub mod asks;
pub mod chain;
pub mod check;
mod compare;
#[path = "applied_state.rs"]
pub mod fold;
pub mod item;
pub mod learn;
pub mod log;
mod member;
pub mod peers;
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

pub use asks::Answer;
pub use log::LogError;
pub use member::Keepers;
pub use tuning::Tuning;
pub use wire::Lane;

use crate::entry::{Decided, Request, Term};
use crate::name::{Life, Name};
use crate::{Micros, entry};

/// What the caller does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send octets to a member.
    Send {
        /// To whom.
        to: Name,
        /// Which way.
        lane: Lane,
        /// What.
        octets: Vec<u8>,
    },
    /// The next entry.
    Decided(Decided),
    /// What was applied is replaced by the state after entry `index`; entries go on from the next. At 0 there is no state and
    /// `machine` is empty: all that was told before is taken back.
    Restore {
        /// The last entry in it.
        index: u64,
        /// As [`Keepers::snapshot`] was given it.
        machine: Vec<u8>,
    },
    /// The log has grown: [`Keepers::snapshot`] is wanted when all up to here is applied.
    WantSnapshot {
        /// The last entry delivered.
        index: u64,
    },
    /// What became of a request of this member.
    Answer {
        /// Which.
        request: Request,
        /// What.
        answer: Answer,
    },
    /// How this member takes part has changed.
    Standing(Standing),
}

/// How this member takes part in agreement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is no keeper.
    Learner,
    /// It has only just started, and hears from the others whether its disk is the newest.
    Starting,
    /// It votes.
    Voting,
    /// It votes, and lacks so much of the log that it learns it first.
    CatchingUp,
    /// Its log was not the others', and was given up: as [`Standing::Amnesiac`].
    Altered,
    /// Its disk is empty, or older than what it said once: it learns and does not vote until it is let in again.
    Amnesiac,
    /// Its disk failed: it takes no part until it is started again.
    Halted(String),
}

/// Who is in charge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The term.
    pub term: Term,
    /// The life.
    pub life: Life,
    /// On its own clock, the time after which it must not act.
    pub until: Micros,
}

/// What was dropped or mended, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Octets that are no message.
    pub undecodable: u64,
    /// Messages among other keepers than ours.
    pub foreign: u64,
    /// Messages that no correct peer sends, or sends in that state.
    pub refused: u64,
    /// Messages that came twice, too late, or from a life that is over.
    pub late: u64,
    /// Messages from a disk that has forgotten what it promised.
    pub stale: u64,
    /// Times that messages were found missing.
    pub gaps: u64,
    /// Times that another keeper's log was found not to be this one's.
    pub differ: u64,
}

/// Why this member can't begin.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The keepers' log can't be used.
    #[error(transparent)]
    Log(#[from] LogError),
    /// There are not 1, 3 or 5 keepers.
    #[error("{0} members are keepers; 1, 3 or 5 may be")]
    Keepers(usize),
    /// A keeper without storage, or storage at a member that is none.
    #[error("a keeper needs storage, and only a keeper")]
    Storage,
    /// The base on disk can't be read.
    #[error("the snapshot in the keepers' log can't be read")]
    Base,
    /// What is before the snapshot is not what it was made of, and there is no other keeper to learn it from.
    #[error(
        "the keepers' log was altered: its snapshot was made of other entries, and no other keeper has them"
    )]
    Altered,
}

/// The keepers of an installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// Installation and keepers, as a checksum: with others than these nothing is agreed.
    pub digest: u32,
    /// How many keepers.
    pub count: usize,
}

const _: () = assert!(entry::MAX_BODY_BYTES < tuning::PIECE);

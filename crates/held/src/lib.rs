//! Trails of all messages, and storage of undelivered messages for their owners.
//!
//! The [`Store`] keeps a trail for each message: when and how it was accepted, each attempt and what is known
//! of it, restarts, answers and resubmissions. Trails are found by identity, client, destination, key and
//! time. The store also holds messages that ended undelivered until their owner resubmits or drops them.
//!
//! [`Grants`] decides who may see a held message or act on it; [`decide`] whether a message may be
//! resubmitted and until when it must be sent; [`Room`] limits what is kept, the oldest messages being
//! dropped first; [`Release`] paces the resubmission of a backlog.
//!
//! The library reads no clock, writes no file and sends nothing: a resubmitted message is an ordinary message
//! again, subject to the decision library and all its limits.

#![forbid(unsafe_code)]

mod decide;
mod grants;
mod partitions;
mod prediction;
mod release;
mod store;
mod trail;

pub use decide::{Ask, Decision, DeliveryHistory, Effect, Refusal, decide};
pub use grants::{Grants, Operation, Party};
pub use partitions::{MessagePartitions, PartitionLimits};
pub use prediction::PredictedDrops;
pub use release::{Pace, Release};
pub use store::{Dropped, MessageRecord, Page, Query, Room, Store};
pub use trail::{KnownOutcome, Step, Trail, What};

/// Time of day in microseconds since 1970 UTC, as trails outlive processes.
pub type Micros = i64;

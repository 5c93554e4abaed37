//! Membership and failure detection: SWIM with suspicion and incarnations.
//!
//! [`Members`] probes the other members, directly and through others, spreads what it learns by gossip, and
//! reports changes of a member's state, two processes that claim one name, and an own start number that is
//! less than one already seen. Of the lives under one name, the one with the greatest start counts, then the
//! one with the greatest nonce. It uses no socket or clock, never chooses a start number, and stores no name
//! that the settings don't list.
//!
//! `foca` implements the protocol. The modules around it add what it lacks: a filter for the members that it
//! may learn of (`receive`), a view that is stale after a start or a pause (`view_request`), and processes
//! that share a name (`name_conflicts`).
//!
//! An event costs at most one pass over the members of the settings, because `foca` searches them linearly.
//! No state grows with time or traffic.

mod change;
mod freshness;
mod member_id;
mod name_claim;
mod name_conflicts;
mod outbox;
mod probe_retry;
mod receive;
mod rows;
mod schedule;
mod state;
mod timers;
mod tuning;
mod view_request;
mod wire;

pub use change::{Change, Counts, MembersError, Output};
pub use rows::Row;
pub use state::Members;
pub use tuning::{MAX_MESSAGE_BYTES, Tuning};

//! Who is there, who is suspected, gone, come back, replaced: SWIM with suspicion and incarnations.
//!
//! Does: probes one member after another, by itself and through others; spreads what it hears; tells changes of
//! standing, two processes that claim one name, and that its own start number is behind one that was seen.
//! Decides: which life of a name counts (the greatest start, then the greatest nonce); when what it believes is stale.
//! Never: touches a socket or a clock; makes up a start number; remembers a name that the settings don't list.
//!
//! `foca` runs the protocol. Around it stands what it has no words for: whom it may learn of (`receive`), a view that
//! is stale after a start or a pause (`ask`), and processes that share a name (`twins`).
//!
//! An event costs at most one pass over the members of the settings (`foca` looks them up one by one); nothing grows
//! with time or traffic.

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
pub use tuning::{MOST_MESSAGE, Tuning};

//! Reservation of names. A client's name of a message that is submitted at two members is reserved at its
//! home, and is new for only one of them.
//!
//! A name falls into a slot ([`crate::homes`]). One member at a time has the *authority* over a slot: it
//! alone may declare names of that slot new, and it transfers the authority with all its entries when the
//! list assigns the slot to another member. So members may have different lists meanwhile. Whether a
//! reserved name was used is asked of the member that reserved it, never concluded from elapsed time.

mod key;
mod log;
mod message;
mod registry;
mod requester;
mod store;

pub use key::ReservationKey;
pub use log::{LogError, LogStore};
pub use message::{Entry, MAX_PART_ENTRIES, Message, Reply};
pub use registry::{Limits, Registry};
pub use requester::{Options, Output, Requester};
pub use store::{MemoryStore, Op, Slot, Store};

//! Where a client or the name of a message has its home, and which member keeps whose copy: rendezvous
//! hashing over the approved list, with bounded load. All members with the same list get the same result,
//! in every build and on every machine.

mod hash;
mod partners;
mod slots;

pub use hash::{client_key, named_key};
pub use partners::Partners;
pub use slots::{Homes, SLOTS};

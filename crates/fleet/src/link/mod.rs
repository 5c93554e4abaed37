//! Links between members.
//!
//! [`hello`] authenticates the peer on a connection under the installation's key, [`session`] carries
//! messages on one connection, by kind, and [`switch`] manages all links of a member: it decides which
//! connection is a peer's link, and when and why a link ends. [`redial`] computes the delays between dials.
//! None of them interprets the messages, or uses a socket or a clock.
//!
//! The member with the lower name dials. So two members never open connections to each other on purpose at
//! the same time, and of two connections that exist at once, one is left over from before. The connection
//! that was authenticated later is used, unless it belongs to an earlier life: the dialler dials again only
//! after its own end of the old connection is closed, and an authentication can't be replayed, as its nonce
//! is new.

pub mod hello;
mod output;
mod pieces;
pub mod reason;
pub mod redial;
pub mod roster;
pub mod session;
pub mod switch;

pub use output::{Conn, Output, Settings, Stats, VERSION_REPORT_INTERVAL};
pub use reason::Reason;
pub use roster::{Roster, RosterError};
pub use session::{HANDSHAKE_TIMEOUT, IDLE_TIMEOUT, KEEPALIVE_INTERVAL, Link, LinkEvent, MAX_SEALED_BYTES};
pub use switch::{MAX_UNAUTHENTICATED, Switch};

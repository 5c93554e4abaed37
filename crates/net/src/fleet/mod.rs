//! The thread that runs this process's member of an installation. It exists only if the settings contain
//! `fleet`.
//!
//! The thread listens for and connects to other members (mio), and passes received bytes to a
//! [`Switch`](heronroute_fleet::link::Switch). It passes messages of other members, client requests, the
//! senders' reports and, once a second, the health of this process to a
//! [`Member`](heronroute_installation::seam::Member). It passes the member's answers and rules to the
//! senders. It limits how much is read and written in a turn.
//!
//! It never delays a sender: requests that don't fit its queue are answered as busy, and its failure stops no
//! delivery.

mod health;
mod member_handle;
mod start;
mod thread;

pub use member_handle::{MemberHandle, SenderMemberHandle};
pub use start::{BoundMember, MemberAnswer, MemberFactory, MemberSetup, RunningMember};

//! The inputs and outputs of a member, exchanged with the process's thread.

use crate::config::Client;
pub use heronroute_drift::Health;
pub use heronroute_fleet::Kind;
use heronroute_fleet::{Decided, Life};
use heronroute_region::List;
use heronroute_region::rights::MembersWithoutLease;
use heronroute_region::seam::{
    CancelTakeover, Copies, Fenced, SendLease, StartTakeover, TakeoverConfirmed, TakeoverStored,
};
use heronroute_rules::seam::{Apply, ClientRequest, DryRun, DryRunResult, Fence, Live, Told};
use std::collections::BTreeMap;
use std::sync::Arc;

/// An event for the member.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time passed; see [`Output::Wake`].
    Tick,
    /// A link to a peer is up, after both sides identified themselves.
    Linked {
        /// The peer's index in the settings.
        peer: usize,
        /// The peer's life.
        life: Life,
    },
    /// The link to a peer is down.
    Unlinked {
        /// The peer's index in the settings.
        peer: usize,
    },
    /// A whole message arrived, already authenticated with the installation's key.
    Message {
        /// The sending peer's index in the settings.
        peer: usize,
        /// The message's bytes.
        payload: Vec<u8>,
    },
    /// Others know a later start of this member than its own: its folder was restored from an older copy, or
    /// another process has its name. They don't link with it until it starts with a greater number.
    Outlived(heronroute_fleet::Start),
    /// A client's request at one of the nodes.
    ClientRequest(ClientRequest),
    /// A node's report of what it really applies.
    Live(Live),
    /// A node's answer to [`Output::DryRun`].
    DryRunResult(DryRunResult),
    /// The health of the process; the newest counts.
    Health(Health),
    /// The settings were reloaded: what they say of clients now. The leader proposes plans that changed; at
    /// other members they count from when they lead.
    Clients(BTreeMap<String, Client>),
    /// Nodes took over what [`Output::StartTakeover`] named; repeated until [`Output::TakeoverConfirmed`] or
    /// [`Output::CancelTakeover`].
    TakeoverStored(TakeoverStored),
    /// Other members than before have a copy of this member's journals; repeated after each start of the
    /// member.
    Copies(Copies),
}

/// An action for the thread; actions are done in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this to a peer if its link is up; otherwise it is dropped.
    Send {
        /// The peer's index in the settings.
        peer: usize,
        /// The kind, which decides the order and what is dropped in the queue of a slow peer.
        kind: Kind,
        /// The message's bytes.
        payload: Vec<u8>,
    },
    /// Give [`Input::Tick`] at this time at the latest.
    Wake(crate::Micros),
    /// An answer for a client.
    Told(Told),
    /// Rules to be applied by all nodes.
    Apply(Apply),
    /// Ask all nodes what applying this would drop.
    DryRun(DryRun),
    /// A fence to be set or lifted at all nodes; repeated after each start of the member.
    Fence(Fence),
    /// An entry was committed, reported in log order; for event logs and tests.
    Decided(Decided),
    /// This life of the member is over, as a later start of its name is known, and it sends nothing more. The
    /// process raises the start number on disk above this one and starts the member anew
    /// ([`heronroute_fleet::start::raise`]). Nodes go on.
    StartAbove(heronroute_fleet::Start),
    /// With regions, as all that follows: the lease, until when nodes may begin attempts and report final
    /// answers. It is preceded, in each life, by the life's fence and all takeovers under way; earlier
    /// takeovers that are not named by then were given up.
    SendLease(SendLease),
    /// By the newest lease: the members whose duties are others'.
    MembersWithoutLease(MembersWithoutLease),
    /// The list of regions changed, or is known now.
    List(Arc<List>),
    /// Nodes stop sending and answering what was taken over from this member.
    Fenced(Fenced),
    /// Nodes take over what another member left.
    StartTakeover(StartTakeover),
    /// The takeover is complete.
    TakeoverConfirmed(TakeoverConfirmed),
    /// The takeover is given up.
    CancelTakeover(CancelTakeover),
}

/// The state machine of one member of an installation, driven by the thread that owns its sockets.
pub trait Member: Send {
    /// Handles an event and appends the actions, in order. `now` is on the thread's clock and never goes
    /// back, `wall` is the time of day; both in microseconds. Must not block: links and other members'
    /// messages wait meanwhile.
    fn handle(&mut self, now: crate::Micros, wall: crate::Micros, input: Input, out: &mut Vec<Output>);
}

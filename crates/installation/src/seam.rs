//! What the process's thread gives to an installation's member and takes from it.

use crate::config::Client;
pub use heronroute_drift::Health;
pub use heronroute_fleet::Kind;
use heronroute_fleet::{Decided, Life};
use heronroute_region::List;
use heronroute_region::rights::Out;
use heronroute_region::seam::{Copies, Fenced, GiveUp, Right, TakeUp, TakenUp, TookUp};
use heronroute_rules::seam::{Apply, ClientRequest, DryRun, DryRunResult, Fence, Live, Told};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time went on; see [`Output::Wake`].
    Tick,
    /// A link to a peer (by its place in the settings) stands, after both sides said who they are.
    Linked {
        /// The peer.
        peer: usize,
        /// Which life of it.
        life: Life,
    },
    /// It stands no more.
    Unlinked {
        /// The peer.
        peer: usize,
    },
    /// A whole message came, already proved by the installation's key.
    Message {
        /// From whom.
        peer: usize,
        /// Its octets.
        payload: Vec<u8>,
    },
    /// Others heard this member under this later start than its own: its folder was put back from before, or another
    /// process bears its name. They don't link with it until it starts above that.
    Outlived(heronroute_fleet::Start),
    /// A client asks at one of the nodes.
    ClientRequest(ClientRequest),
    /// A node says what it really applies.
    Live(Live),
    /// A node answers [`Output::Weigh`].
    DryRunResult(DryRunResult),
    /// How the process fares; the newest counts.
    Health(Health),
    /// The settings were read again: what they say of clients now. Where this member is in charge, plans that changed are put
    /// to the keepers; elsewhere they count from when it is.
    Clients(BTreeMap<String, Client>),
    /// Nodes took on what [`Output::TakeUp`] said; said again until [`Output::TakenUp`] or [`Output::GiveUp`].
    TookUp(TookUp),
    /// Others have a copy of this member's journals than before; said again after each start of the member.
    Copies(Copies),
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this to a peer, if its link stands; else it is dropped.
    Send {
        /// The peer.
        peer: usize,
        /// Of those that wait for a slow peer, the order and what is given up go by kind.
        kind: Kind,
        /// Its octets.
        payload: Vec<u8>,
    },
    /// Give [`Input::Tick`] at this time at the latest.
    Wake(crate::Micros),
    /// An answer for a client.
    Told(Told),
    /// To be applied by all nodes.
    Apply(Apply),
    /// What would applying this let go? Asked of all nodes.
    DryRun(DryRun),
    /// A fence is set or lifted, to be told to all nodes; again after each start of the member.
    Fence(Fence),
    /// For the log and the tests: an entry was decided, seen here in its order.
    Decided(Decided),
    /// This life of the member is over, as a later start of its name is known: it says nothing more. The process raises its
    /// number on disk above this one and begins the member anew ([`heronroute_fleet::start::raise`]). Nodes go on.
    StartAbove(heronroute_fleet::Start),
    /// With regions, as all that follows: until when nodes may begin attempts and tell final answers. Before the first of a life come
    /// its fence and whatever it has to take up: what was taken on and is not named by then was given up.
    Right(Right),
    /// By the newest right: whose duties are others'.
    Out(Out),
    /// The list changed, or is known now.
    List(Arc<List>),
    /// Of what was taken on before, nodes send and answer nothing any more.
    Fenced(Fenced),
    /// Nodes take on what another member left.
    TakeUp(TakeUp),
    /// It is theirs.
    TakenUp(TakenUp),
    /// It is not.
    GiveUp(GiveUp),
}

/// The state machine of one process of an installation, driven by the thread that holds its sockets.
pub trait Member: Send {
    /// Takes what happened and says what is to be done, in order. `now` is on the thread's clock and never goes back, `wall`
    /// is the time of day; both in microseconds. Must not block: links and other members' messages wait meanwhile.
    fn handle(&mut self, now: crate::Micros, wall: crate::Micros, input: Input, out: &mut Vec<Output>);
}

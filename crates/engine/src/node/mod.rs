//! One sender: what it holds, and the ways in and out. `desk` has the clients' side, `carry` the receivers',
//! `hold` what is kept for clients.

mod answer;
mod api;
mod conns;
mod forget;
mod inputs;
mod leave;
mod members;
mod remotes;
mod round;
mod start;
mod state;

pub use api::{Gone, Output, Start};
use remotes::Remotes;
pub(crate) use state::{Client, Conn, Effect, Ended, Key, LinkEvents, Message, Releasing, Use};

use crate::Micros;
use crate::calls::Calls;
use crate::directory::Directory;
use crate::front::FRONTS;
use crate::ids::ConnId;
use crate::keeping::Keeping;
use crate::ledger::Ledger;
use crate::limits::Limits;
use crate::mailboxes::Mailboxes;
use crate::read_budget::ReadBudgets;
use crate::routes::Trie;
use crate::standing::Standing;
use crate::stats::Stats;
use crate::timers::Timers;
use crate::unconfirmed::UnconfirmedOutcomes;
use heronroute::{Action, DestId, Dispatcher, Event, MsgId};
use heronroute_config::Config;
use heronroute_held::Store;
use heronroute_mqtt::session as mqtt;
use heronroute_platform::notice::Notices;
use heronroute_seen::Seen;
use heronroute_smpp::server;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// One sender, without its sockets.
pub struct Node {
    pub(crate) cfg: Arc<Config>,
    pub(crate) session_limits: server::Limits,
    pub(crate) mqtt_limits: Option<mqtt::Limits>,
    pub(crate) index: usize,
    pub(crate) now: Micros,
    /// What must be added to the clock to have the time of day.
    pub(crate) wall: Micros,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) events: Vec<Event>,
    actions: Vec<Action>,
    last_round: Micros,
    pub(crate) timers: Timers<Key>,
    pub(crate) conns: BTreeMap<ConnId, Conn>,
    next_conn: ConnId,
    /// Connections of clients, by front.
    pub(crate) sessions: [usize; FRONTS],
    /// Messages without an answer, by front.
    pub(crate) open_of: [usize; FRONTS],
    pub(crate) mailboxes: Mailboxes,
    /// Names that clients gave their messages.
    pub(crate) seen: Option<Seen>,
    pub(crate) read_budgets: ReadBudgets,
    /// What is held for clients, and trails.
    pub(crate) held: Option<Store>,
    /// Held messages whose answer was not taken yet.
    pub(crate) unheard: BTreeSet<u64>,
    /// Backlogs that are being let go, by client.
    pub(crate) releasing: BTreeMap<usize, Releasing>,
    /// Names that trails have by number.
    pub(crate) trail_names: Vec<String>,
    pub(crate) trail_numbers: BTreeMap<String, u32>,
    pub(crate) messages: BTreeMap<MsgId, Message>,
    pub(crate) ended: BTreeMap<MsgId, Ended>,
    ended_order: VecDeque<MsgId>,
    pub(crate) next_id: u64,
    pub(crate) calls: Calls,
    /// Outcomes by doubtful answers, which wait to be believed.
    pub(crate) unconfirmed: UnconfirmedOutcomes,
    pub(crate) remotes: Remotes,
    /// When it is looked next for endpoints that are gone.
    forget_at: Micros,
    zones: Vec<String>,
    pub(crate) clients: Vec<Client>,
    pub(crate) client_names: BTreeMap<String, usize>,
    pub(crate) class_names: BTreeMap<String, usize>,
    pub(crate) limits: Limits,
    pub(crate) routes: Trie<DestId>,
    pub(crate) directory: Box<dyn Directory>,
    pub(crate) directory_conn: Option<ConnId>,
    /// Notices to the platform, where that is spoken.
    pub(crate) notices: Option<Notices<MsgId>>,
    pub(crate) notices_conn: Option<ConnId>,
    /// Submitted since the last round, with their destinations: not accepted yet.
    pub(crate) fresh: Vec<(MsgId, i64)>,
    /// Octets of their bodies.
    pub(crate) fresh_octets: usize,
    /// Open messages by the identity that the client's side gave them.
    pub(crate) by_identity: BTreeMap<String, MsgId>,
    /// About to end: nothing is decided any more, only what is out is waited for.
    pub(crate) frozen: bool,
    /// Clients' own rules, on a node of a fleet.
    pub(crate) keeping: Option<Keeping>,
    /// Where members stand in regions.
    pub(crate) region: Option<Standing<Effect>>,
    pub(crate) ledger: Ledger<Effect>,
    pub(crate) outputs: Vec<Output>,
    pub(crate) stats: Stats,
    pub(crate) leaving: bool,
    left: bool,
}

impl Node {
    /// What was done so far.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Messages without a final answer.
    pub fn open(&self) -> usize {
        self.messages.len()
    }

    /// Messages held for their clients.
    pub fn kept_for_clients(&self) -> usize {
        let of = |c: usize| self.held.as_ref().map_or(0, |s| s.of(c as u32).0);
        (0..self.clients.len()).map(of).sum()
    }

    /// What is kept of endpoints and destinations here and by the decision library, for those who watch a sender's memory.
    pub fn kept(&self) -> usize {
        self.remotes.kept() + self.dispatcher.kept()
    }

    /// Receipts that wait for their client.
    pub fn owed(&self) -> usize {
        self.clients.iter().map(|c| c.owed).sum()
    }

    /// The time of day.
    pub(crate) fn wall(&self) -> Micros {
        self.now + self.wall
    }

    /// What is asked of the sockets since the last call.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// When [`Node::settle`] is next needed without anything having happened.
    pub fn wake(&self) -> Option<Micros> {
        let region = self.region.as_ref().and_then(Standing::wake);
        [self.timers.next(), self.ledger.wake(), region].into_iter().flatten().min()
    }
}

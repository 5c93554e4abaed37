//! The core of a sender: its state, its inputs and its outputs. `admission` implements the client side,
//! `carry` the receiver side, and `held` the messages held for clients.

mod address_claims;
mod answer;
mod api;
mod connections;
mod endpoints;
mod inputs;
mod listing;
mod prune;
mod round;
mod shutdown;
mod start;
mod state;

pub use api::{CloseReason, Output, Start};
use endpoints::EndpointTable;
pub(crate) use state::{
    BacklogRelease, Client, Conn, ConnRole, Effect, FinishedMessage, LinkEvents, Message, TimerKey,
};

use crate::Micros;
use crate::attempts::OpenAttempts;
use crate::calls::Calls;
use crate::closing_links::ClosingLinks;
use crate::directory::Directory;
use crate::failover::Failover;
use crate::front::FRONT_COUNT;
use crate::identities::Identities;
use crate::ids::ConnId;
use crate::ledger::Ledger;
use crate::limits::Limits;
use crate::mailboxes::Mailboxes;
use crate::memory::{MemoryBudget, MemoryCount};
use crate::read_budget::ReadBudgets;
use crate::routes::Trie;
use crate::rule_tables::RuleTables;
use crate::stats::Stats;
use crate::submitted::SubmittedMessages;
use crate::timers::Timers;
use crate::unconfirmed::UnconfirmedOutcomes;
use heronroute::{Action, DestId, Dispatcher, EndpointId, Event, MsgId};
use heronroute_config::Config;
use heronroute_held::Store;
use heronroute_mqtt::session as mqtt;
use heronroute_platform::notice::Notices;
use heronroute_seen::SeenNames;
use heronroute_smpp::server;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// One sender, without its sockets.
pub struct Node {
    pub(crate) cfg: Arc<Config>,
    pub(crate) smpp_limits: server::Limits,
    pub(crate) mqtt_limits: Option<mqtt::Limits>,
    /// The index of this sender within the process.
    pub(crate) index: usize,
    /// The time of the latest input, on the caller's clock.
    pub(crate) now: Micros,
    /// The offset from the clock to the time of day.
    pub(crate) wall: Micros,
    pub(crate) dispatcher: Dispatcher,
    /// Events for the next round of the decision library.
    pub(crate) events: Vec<Event>,
    actions: Vec<Action>,
    last_round: Micros,
    /// All input that arrived until then has been handled. Timers that are due later wait.
    inputs_until: Micros,
    pub(crate) timers: Timers<TimerKey>,
    pub(crate) conns: BTreeMap<ConnId, Conn>,
    next_conn: ConnId,
    /// The number of client connections, by front.
    pub(crate) sessions: [usize; FRONT_COUNT],
    /// The number of open messages, by front.
    pub(crate) open_by_front: [usize; FRONT_COUNT],
    /// The number of senders of the process, among which clients have their homes.
    pub(crate) senders: usize,
    pub(crate) mailboxes: Mailboxes,
    /// The names that clients gave their messages, with the messages' ids.
    pub(crate) seen: Option<SeenNames>,
    pub(crate) read_budgets: ReadBudgets,
    /// The memory that peers make this sender hold.
    pub(crate) memory: MemoryBudget,
    /// The memory that is counted for entries of the journal that are not durable.
    journal_memory: MemoryCount,
    /// The memory that is counted for notices that were not acknowledged.
    pub(crate) notices_memory: MemoryCount,
    /// Messages held for clients, and trails.
    pub(crate) held: Option<Store>,
    /// Held messages whose answer was not acknowledged yet.
    pub(crate) unacknowledged: BTreeSet<u64>,
    /// The running releases of backlogs, by client.
    pub(crate) releases: BTreeMap<usize, BacklogRelease>,
    /// The names that trails refer to by number.
    pub(crate) trail_names: Vec<String>,
    /// The numbers of these names.
    pub(crate) trail_numbers: BTreeMap<String, u32>,
    pub(crate) messages: BTreeMap<MsgId, Message>,
    /// The latest messages with a final answer.
    pub(crate) finished: BTreeMap<MsgId, FinishedMessage>,
    finished_order: VecDeque<MsgId>,
    pub(crate) next_id: u64,
    pub(crate) calls: Calls,
    /// The attempts whose end is not proved.
    pub(crate) attempts: OpenAttempts,
    /// Connections to receivers that this side closes, until they are closed.
    pub(crate) closing_links: ClosingLinks,
    /// Calls that wait until a connection is closed, because one of their messages may be out on it.
    pub(crate) delayed_calls: BTreeMap<ConnId, Vec<(u64, EndpointId)>>,
    /// Outcomes reported by unconfirmed answers.
    pub(crate) unconfirmed: UnconfirmedOutcomes,
    pub(crate) endpoints: EndpointTable,
    /// When to check next for endpoints to remove.
    prune_at: Micros,
    zones: Vec<String>,
    /// The number of directory lists applied.
    lists_applied: u64,
    pub(crate) clients: Vec<Client>,
    pub(crate) client_names: BTreeMap<String, usize>,
    pub(crate) class_names: BTreeMap<String, usize>,
    pub(crate) limits: Limits,
    pub(crate) routes: Trie<DestId>,
    pub(crate) directory: Box<dyn Directory>,
    pub(crate) directory_conn: Option<ConnId>,
    /// Notices to the platform, if the sender serves one.
    pub(crate) notices: Option<Notices<MsgId>>,
    pub(crate) notices_conn: Option<ConnId>,
    /// Messages submitted since the last round; not accepted yet.
    pub(crate) submitted: SubmittedMessages,
    /// The ids that platform clients gave their messages.
    pub(crate) identities: Identities,
    /// Set while the sender shuts down: no decisions are made any more, and it only waits for calls in
    /// flight.
    pub(crate) frozen: bool,
    /// The clients' own rules, on a node of a fleet.
    pub(crate) rule_tables: Option<RuleTables>,
    /// The state of the regions that members belong to.
    pub(crate) region: Option<Failover<Effect>>,
    pub(crate) ledger: Ledger<Effect>,
    /// The number of replies to commands that wait for the journal.
    pub(crate) pending_replies: usize,
    /// Operations requested from the owner of the sockets.
    pub(crate) outputs: Vec<Output>,
    pub(crate) stats: Stats,
    /// Whether the shutdown has started.
    pub(crate) leaving: bool,
    /// Whether the shutdown is complete.
    left: bool,
}

impl Node {
    /// Returns the counters since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Returns the number of messages without a final answer.
    pub fn open(&self) -> usize {
        self.messages.len()
    }

    /// Returns the number of messages held for their clients.
    pub fn held_for_clients(&self) -> usize {
        let of = |c: usize| self.held.as_ref().map_or(0, |s| s.of(c as u32).0);
        (0..self.clients.len()).map(of).sum()
    }

    /// Returns the number of records of endpoints and destinations, here and in the decision library, for
    /// monitoring a sender's memory.
    pub fn kept(&self) -> usize {
        self.endpoints.record_count() + self.dispatcher.kept()
    }

    /// Returns the number of receipts that wait for their client.
    pub fn owed(&self) -> usize {
        self.clients.iter().map(|c| c.owed).sum()
    }

    /// Returns the time of day.
    pub(crate) fn wall(&self) -> Micros {
        self.now + self.wall
    }

    /// Takes the operations requested since the last call.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns when [`Node::settle`] is next needed if nothing happens before.
    pub fn wake(&self) -> Option<Micros> {
        let region = self.region.as_ref().and_then(Failover::wake);
        [self.timers.next(), self.ledger.wake(), region].into_iter().flatten().min()
    }
}

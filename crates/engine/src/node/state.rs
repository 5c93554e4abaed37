//! The state of a node, as plain data: connections, messages, endpoints, clients, timers, deferred effects.

use crate::Micros;
use crate::answer_variety::AnswerVariety;
use crate::failover::Suspension;
use crate::front::{Front, Speaks};
use crate::ids::ConnId;
use crate::link::{Link, LinkEvent};
use crate::mailboxes::MailboxId;
use crate::memory::MemoryCount;
use crate::outbox::ReplyAddress;
use crate::pool::Pool;
use crate::stream::Stream;
use heronroute::{DestId, EndpointEntry, EndpointId, MsgId};
use heronroute_held::{Release, Trail};
use heronroute_journal::entry;
use heronroute_rules::seam::Apply;
use heronroute_smpp::receipt::Answer;
use heronroute_smpp::submission::Submission;
use std::net::SocketAddr;

/// A timer of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKey {
    /// A timer that the decision library set.
    Dispatcher,
    /// The next round may begin.
    Round,
    /// The own timer of a session or link.
    Conn(ConnId),
    /// The time by which a connection has to be established.
    Connect(ConnId),
    /// The time at which a connection without calls is closed.
    Idle(ConnId),
    /// The time at which unconfirmed answers on a connection are handled as ones that may have run.
    Confirm(ConnId),
    /// The time at which a connection takes no more calls, or is closed, because a call on it may still be out
    /// at its message's deadline.
    Expiry(ConnId),
    /// The time by which a message of a call has to be answered.
    Part(u64, usize),
    /// The time by which a probe has to be answered.
    Probe(u32),
    /// The time from which a mailbox's answers may be sent again.
    Outbox(MailboxId),
    /// The expiry of a session without a connection, or the time of its client's will.
    Mailbox(MailboxId),
    /// The next step in the release of a client's backlog.
    Release(usize),
    /// The expiry of what is kept under clients' rules.
    RuleTables,
    /// The directory's timer.
    Directory,
    /// Notices are due, or were not answered.
    Notices,
    /// The end of the time for the shutdown.
    Leave,
}

/// An effect that is deferred until the journal entries it depends on are durable.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Report an acceptance to the client.
    ReportAcceptance { conn: ConnId, token: u32, id: MsgId },
    /// Acknowledge a change of a session's stored notes.
    AcknowledgeNotes { conn: ConnId, reply: Vec<u8> },
    /// Start a call.
    Place { call: u64, endpoint: EndpointId },
    /// Report a final answer to the client.
    ReportAnswer { id: MsgId, message: Box<Message>, answer: Answer, done: Micros },
    /// Put a client's rules in force.
    Apply(Box<Apply>),
    /// Report that a dead member's work is written to the journal as a whole.
    Inherited { origin: String },
    /// Reply to a command of a client about its held messages.
    ReplyToCommand { conn: ConnId, token: u32, text: String, state: &'static str },
    /// Send a kept answer again.
    RepeatAnswer { mailbox: MailboxId, id: MsgId, reply_to: Box<ReplyAddress> },
}

impl Effect {
    /// Returns the message whose final answer it reports.
    pub fn about(&self) -> Option<MsgId> {
        match self {
            Effect::ReportAnswer { id, .. } | Effect::RepeatAnswer { id, .. } => Some(*id),
            _ => None,
        }
    }
}

/// The role of a connection.
#[derive(Debug)]
pub(crate) enum ConnRole {
    /// A client's connection.
    Client {
        front: Box<dyn Front>,
        speaks: Speaks,
        /// The client and the mailbox for its answers, once the client is admitted.
        owner: Option<(usize, MailboxId)>,
        /// The number of open messages submitted on this connection.
        open: usize,
        /// Whether it was last refused for exceeding its share of its client's room.
        shedding: bool,
    },
    /// A connection to an endpoint.
    Receiver { endpoint: EndpointId, link: Box<dyn Link> },
    /// The connection to the directory.
    Directory,
    /// Notices to the platform.
    Notices,
    /// Closing once everything is written.
    Finishing,
}

/// A connection of a node.
#[derive(Debug)]
pub(crate) struct Conn {
    pub stream: Stream,
    pub role: ConnRole,
    /// Whether a write has been requested for it.
    pub write_requested: bool,
    /// The memory that is counted for it.
    pub memory: MemoryCount,
}

/// An accepted message without a final answer.
#[derive(Debug)]
pub(crate) struct Message {
    pub client: usize,
    /// The mailbox for its answer.
    pub mailbox: MailboxId,
    /// The connection and protocol by which it came.
    pub conn: ConnId,
    pub speaks: Speaks,
    pub class: usize,
    pub submission: Submission,
    /// The address for its answer in the client's protocol.
    pub reply_to: ReplyAddress,
    /// When it was accepted, as time of day.
    pub taken: Micros,
    /// When it expires, on the node's clock.
    pub deadline: Micros,
    /// The connection and request that wait for the answer in forward mode, or for the first reply to a
    /// platform's message.
    pub reply: Option<(ConnId, u32)>,
    /// The connection and request that withdrew it, and wait for its answer to be durable.
    pub withdrawn_by: Option<(ConnId, u32)>,
    /// The number of attempts so far.
    pub attempts: u32,
    /// The attempt in flight, as call and part.
    pub out: Option<(u64, usize)>,
    /// Since when it may have run: an attempt began to be written and was not proved to have had no effect.
    pub may_have_run_since: Option<Micros>,
    /// Its history, where trails are kept.
    pub trail: Option<Box<Trail>>,
    /// How long its answer is kept to be sent again; 0 if it is not kept.
    pub answer_for: Micros,
    /// Whether it is suspended.
    pub still: Suspension,
    /// The memory that is counted for it.
    pub _memory: MemoryCount,
}

/// A finished message, kept for queries.
#[derive(Clone, Debug)]
pub(crate) struct FinishedMessage {
    pub client: usize,
    pub source: String,
    pub answer: Answer,
    pub done: Micros,
}

/// One endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub address: SocketAddr,
    pub name: String,
    /// The number that stands for it in trails.
    pub number: u32,
    pub kind: usize,
    pub dest: DestId,
    /// The last call that was decided before the endpoint started draining or announced a wait.
    pub cancelled_up_to: u64,
    /// What the journal records of it.
    pub place: entry::Place,
    pub pool: Pool,
    /// When the process that runs as it started, in milliseconds since 1970 UTC; 0 for long ago.
    pub started_ms: u64,
    /// What the directory last said of it.
    pub listed_as: Option<EndpointEntry>,
    /// Whether another endpoint has its address now.
    pub displaced: bool,
    /// The connection with a probe in flight.
    pub probe: Option<ConnId>,
    /// Whether that probe counts as a call on its connection.
    pub probe_counted: bool,
    /// Whether a probe is under way.
    pub probing: bool,
    /// Whether its answers to deliveries differ from one another.
    pub answer_variety: AnswerVariety,
}

impl Endpoint {
    /// Creates an endpoint without any history.
    pub fn new(name: &str, address: SocketAddr, kind: usize, dest: DestId) -> Self {
        let place = entry::Place { endpoint: name.to_string(), ..entry::Place::default() };
        Endpoint {
            address,
            name: name.to_string(),
            number: 0,
            kind,
            dest,
            cancelled_up_to: 0,
            place,
            started_ms: 0,
            listed_as: None,
            displaced: false,
            pool: Pool::default(),
            probe: None,
            probe_counted: false,
            probing: false,
            answer_variety: AnswerVariety::default(),
        }
    }
}

/// One client.
#[derive(Debug)]
pub(crate) struct Client {
    /// The number of its open messages.
    pub open: usize,
    /// Answers that were not acknowledged yet, in all its mailboxes.
    pub owed: usize,
    /// The number of admitted connections.
    pub admitted_conns: usize,
    /// The mailbox that its unnamed sessions share.
    pub mailbox: MailboxId,
}

/// The running release of a client's backlog.
#[derive(Debug)]
pub(crate) struct BacklogRelease {
    pub release: Release,
    /// The destination that it is limited to, if any.
    pub destination: Option<i64>,
    /// Messages up to this id were handled once.
    pub after: Option<u64>,
    /// The number of messages resubmitted.
    pub resubmitted: u64,
    /// The number of messages that could not be resubmitted.
    pub skipped: u64,
}

/// Events of a link, handled in order.
pub(crate) type LinkEvents = Vec<LinkEvent>;

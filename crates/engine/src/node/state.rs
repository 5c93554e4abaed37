//! What a node holds, as plain data: connections, messages, endpoints, clients, timers, effects that wait.

use crate::Micros;
use crate::failover::Suspension;
use crate::front::{Front, Speaks};
use crate::ids::ConnId;
use crate::link::{Link, LinkEvent};
use crate::mailboxes::BoxId;
use crate::outbox::Reply;
use crate::pool::Pool;
use crate::stream::Stream;
use heronroute::{DestId, EndpointId, MsgId};
use heronroute_held::{Release, Trail};
use heronroute_journal::entry;
use heronroute_rules::seam::Apply;
use heronroute_smpp::receipt::Answer;
use heronroute_smpp::submission::Submission;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Key {
    /// The decision library asked for it.
    Module,
    /// The next round may begin.
    Round,
    /// A session's or link's own timers.
    Conn(ConnId),
    /// A connection must stand by then.
    Connect(ConnId),
    /// A connection without calls is closed then.
    Idle(ConnId),
    /// Doubtful answers on a connection are believed then.
    Confirm(ConnId),
    /// A message of a call must be answered by then.
    Part(u64, usize),
    /// A probe must be answered by then.
    Probe(u32),
    /// A mailbox's answers may go on.
    Outbox(BoxId),
    /// A session without a connection ends, or its client's will is due.
    Mailbox(BoxId),
    /// A client's backlog may go on.
    Release(usize),
    /// What has become too old under clients' rules.
    RuleTables,
    /// The directory's timer.
    Directory,
    /// Notices are owed, or were not answered.
    Notices,
    /// Leaving takes no longer than this.
    Leave,
}

/// What waits until the entries it rests on are durable.
#[derive(Debug)]
pub(crate) enum Effect {
    /// An acceptance is told.
    Accept { conn: ConnId, token: u32, id: MsgId },
    /// A change of what a session keeps is acknowledged.
    Noted { conn: ConnId, told: Vec<u8> },
    /// A call may leave.
    Place { call: u64, endpoint: EndpointId },
    /// A final answer is told.
    Tell { id: MsgId, message: Box<Message>, answer: Answer, done: Micros },
    /// A client's rules are in force.
    Apply(Box<Apply>),
    /// A dead member's work is written down whole.
    Inherited { origin: String },
    /// A kept answer is told again.
    Again { mailbox: BoxId, id: MsgId, to: Box<Reply> },
}

impl Effect {
    /// The message whose final answer it tells.
    pub fn about(&self) -> Option<MsgId> {
        match self {
            Effect::Tell { id, .. } | Effect::Again { id, .. } => Some(*id),
            _ => None,
        }
    }
}

/// What a connection is for.
#[derive(Debug)]
pub(crate) enum Use {
    Client {
        front: Box<dyn Front>,
        speaks: Speaks,
        /// Whose it is and where its answers go, once it is let in.
        place: Option<(usize, BoxId)>,
        /// Messages submitted here that have no answer.
        open: usize,
        /// It was refused last for its part of its client's room.
        shedding: bool,
    },
    Receiver {
        endpoint: EndpointId,
        link: Box<dyn Link>,
    },
    Directory,
    /// Notices to the platform.
    Notices,
    /// Being closed once all is written.
    Finishing,
}

#[derive(Debug)]
pub(crate) struct Conn {
    pub stream: Stream,
    pub what: Use,
    /// It is in the list of those to be written.
    pub told: bool,
}

/// An accepted message without a final answer.
#[derive(Debug)]
pub(crate) struct Message {
    pub client: usize,
    /// Where its answer goes.
    pub mailbox: BoxId,
    /// The connection and front that it came by.
    pub conn: ConnId,
    pub speaks: Speaks,
    pub class: usize,
    pub submission: Submission,
    /// Where in the client's protocol.
    pub to: Reply,
    pub taken: Micros,
    pub deadline: Micros,
    /// Forward mode: the session and request that wait for the answer.
    pub reply: Option<(ConnId, u32)>,
    pub attempts: u32,
    /// The attempt out.
    pub out: Option<(u64, usize)>,
    /// Since when it may have run: some attempt began to leave and was not proved to have had no effect.
    pub ran_at: Option<Micros>,
    /// What happened to it, where trails are kept.
    pub trail: Option<Box<Trail>>,
    /// Its answer is kept so long, to be told again; 0: it is not.
    pub answer_for: Micros,
    /// Whether it goes on.
    pub still: Suspension,
}

/// A final answer, kept for those who ask.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    pub client: usize,
    pub source: String,
    pub answer: Answer,
    pub done: Micros,
}

/// One endpoint.
#[derive(Debug)]
pub(crate) struct Remote {
    pub address: SocketAddr,
    pub name: String,
    /// Its number in trails.
    pub number: u32,
    pub kind: usize,
    pub dest: DestId,
    /// Calls up to this one were decided before the endpoint drained or announced a wait.
    pub cancelled_up_to: u64,
    /// What the journal knows of it.
    pub place: entry::Place,
    pub pool: Pool,
    /// A probe is out on this connection.
    pub probe: Option<ConnId>,
    pub probing: bool,
}

impl Remote {
    /// An endpoint of which nothing is known yet.
    pub fn new(name: &str, address: SocketAddr, kind: usize, dest: DestId) -> Self {
        let place = entry::Place { endpoint: name.to_string(), ..entry::Place::default() };
        Remote {
            address,
            name: name.to_string(),
            number: 0,
            kind,
            dest,
            cancelled_up_to: 0,
            place,
            pool: Pool::default(),
            probe: None,
            probing: false,
        }
    }
}

/// One client.
#[derive(Debug)]
pub(crate) struct Client {
    pub open: usize,
    /// Answers that were not taken yet, of all its mailboxes.
    pub owed: usize,
    /// Connections that are let in.
    pub conns: usize,
    /// The mailbox that its sessions without a name share.
    pub mailbox: BoxId,
}

/// A client's backlog that is being let go.
#[derive(Debug)]
pub(crate) struct Releasing {
    pub release: Release,
    pub destination: Option<i64>,
    /// All up to here was asked for once.
    pub after: Option<u64>,
    pub went: u64,
    pub passed_over: u64,
}

/// Events of a link are handled in order.
pub(crate) type LinkEvents = Vec<LinkEvent>;

//! The server side of one connection.
//!
//! The session handles by itself what the specifications define (order, windows, pings, subscriptions,
//! malformed packets). It reports the rest as events; the caller answers each under its token.

mod connect;
mod deliver;
mod publish;
mod receive;
mod types;

pub use types::{Event, OutgoingAnswer, SubmittedMessage, submitted_message};

use crate::Micros;
use crate::codec::{self, Decoder, Version, Will};
use bytes::BytesMut;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MICROS_PER_SECOND: Micros = 1_000_000;
/// The maximum number of filters of a session.
const MAX_FILTERS: usize = 16;
/// The maximum number of unacknowledged answers: half the packet identifiers, so that one is always free.
const MAX_IN_FLIGHT: u16 = 32_767;
/// The maximum number of topic aliases in each direction.
const MAX_TOPIC_ALIASES: u16 = 16;

/// The limits of a session.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The time within which a CONNECT must arrive after the connection is made.
    pub connect_within: Micros,
    /// The longest keep-alive in seconds, set for clients that request a longer one or none (5.0 only).
    pub keep_alive: u16,
    /// The longest time in seconds for which a session is kept without a connection.
    pub expiry: u32,
    /// The number of unacknowledged publications of quality of service 1 and 2 in each direction.
    pub window: u16,
    /// The maximum size of a packet in bytes.
    pub max_packet: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No CONNECT has been received.
    AwaitingConnect,
    /// A CONNECT was received; the caller decides on it.
    AwaitingAdmission,
    /// The client is admitted.
    Open,
    /// The connection is over.
    Closed,
}

/// A publication that is not acknowledged yet.
#[derive(Debug)]
struct Pending {
    token: u32,
    packet: u16,
    qos: u8,
    /// The reason code and message identity of its acknowledgement, once the request is decided.
    outcome: Option<(u8, String)>,
    /// The topic and correlation data for the answer to a query.
    reply: Option<(String, Vec<u8>)>,
}

/// The session of one connection.
#[derive(Debug)]
pub struct Session {
    limits: Limits,
    decoder: Decoder,
    state: State,
    version: Version,
    client_id: String,
    opened_at: Micros,
    last_received: Micros,
    /// The time without a packet after which the connection ends; 0 for none.
    keep_alive: Micros,
    next_token: u32,
    pending: VecDeque<Pending>,
    /// The number of pending publications of quality of service 1.
    unacknowledged_qos1: usize,
    /// Packet identifiers of publications of quality of service 2 that wait for their PUBREL.
    unreleased_qos2: BTreeSet<u16>,
    filters: BTreeMap<String, u8>,
    /// Topics of the client's aliases, from alias 1.
    client_aliases: Vec<String>,
    /// Topics of the server's aliases, from alias 1.
    server_aliases: Vec<String>,
    client_alias_maximum: u16,
    /// Unacknowledged answers by packet identifier; true if the acknowledgement is reported to the caller.
    in_flight: BTreeMap<u16, bool>,
    /// Packet identifiers acknowledged in the bytes being processed. They are not reused yet, because the
    /// caller has not handled their acknowledgements: a second answer would take the place of the first.
    just_acknowledged: BTreeSet<u16>,
    last_packet_id: u16,
    receive_maximum: u16,
    maximum_packet: u32,
    problem_information: bool,
    will: Option<Will>,
    expiry: u32,
    /// Whether topics about rules and the fleet are valid.
    serves_rules_topics: bool,
    /// Topics and correlation data for the answers to queries that are already acknowledged, by token.
    /// Bounded only by the number of queries that the caller leaves unanswered.
    reply_addresses: BTreeMap<u32, (String, Vec<u8>)>,
}

impl Session {
    /// Creates a session on a new connection.
    pub fn new(now: Micros, limits: Limits) -> Self {
        Session {
            limits,
            decoder: Decoder::new(limits.max_packet),
            state: State::AwaitingConnect,
            version: Version::V3,
            client_id: String::new(),
            opened_at: now,
            last_received: now,
            keep_alive: 0,
            next_token: 0,
            pending: VecDeque::new(),
            unacknowledged_qos1: 0,
            unreleased_qos2: BTreeSet::new(),
            filters: BTreeMap::new(),
            client_aliases: Vec::new(),
            server_aliases: Vec::new(),
            client_alias_maximum: 0,
            in_flight: BTreeMap::new(),
            just_acknowledged: BTreeSet::new(),
            last_packet_id: 0,
            receive_maximum: 0,
            maximum_packet: u32::MAX,
            problem_information: false,
            will: None,
            expiry: 0,
            serves_rules_topics: false,
            reply_addresses: BTreeMap::new(),
        }
    }

    /// Sets whether topics about rules and the fleet are valid.
    pub fn fleet(mut self, enabled: bool) -> Self {
        self.serves_rules_topics = enabled;
        self
    }

    /// Returns whether the client is admitted and the connection is open.
    pub fn open(&self) -> bool {
        self.state == State::Open
    }

    /// Returns the client identifier.
    pub fn client_id(&self) -> &str {
        &self.client_id
    }

    /// Returns whether the client's protocol version can refuse a single publication.
    pub fn refuses(&self) -> bool {
        self.version == Version::V5
    }

    /// Returns the seconds for which the session is kept after the connection.
    pub fn expiry(&self) -> u32 {
        self.expiry
    }

    /// Takes the will once the connection is over; returns `None` if the client disconnected normally.
    pub fn will(&mut self) -> Option<Will> {
        self.will.take()
    }

    /// Returns the filters of the subscriptions with their quality of service.
    pub fn filters(&self) -> Vec<(String, u8)> {
        self.filters.iter().map(|(filter, qos)| (filter.clone(), *qos)).collect()
    }

    fn unacknowledged(&self) -> usize {
        self.unacknowledged_qos1 + self.unreleased_qos2.len()
    }

    /// Returns whether the client has used up its receive maximum. A publication counts until the last step
    /// of its exchange.
    fn receive_window_full(&self) -> bool {
        self.unacknowledged() >= usize::from(self.limits.window)
    }

    /// Returns whether the caller should read from the client now. Version 3.1.1 has no receive maximum, so
    /// reading stops while the server owes a window of acknowledgements. Publications that wait for the
    /// client's PUBREL don't count: otherwise the releases of a client with more than a window of quality of
    /// service 2 would never be read.
    pub fn listens(&self) -> bool {
        self.pending.len() < usize::from(self.limits.window)
    }

    /// Closes the connection from the server side with a code of version 5.0.
    pub fn leave(&mut self, code: u8, out: &mut BytesMut) {
        if self.state == State::Open {
            codec::write_disconnect(self.version, code, None, out);
        }
        // 0x8B: a server shutdown does not mean that the client is gone, so its will is not published.
        if code == 0x8B {
            self.will = None;
        }
        self.state = State::Closed;
    }
}

//! The settings, outputs and counters of a switch.

use super::reason::Reason;
use crate::Micros;
use crate::key::Key;
use crate::kind::Kind;
use crate::name::{Life, Peer, Start};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The minimum time between two reports of another protocol version. Reports are limited because anybody can
/// send a version number.
pub const VERSION_REPORT_INTERVAL: Micros = 60_000_000;

/// The number of a connection. Numbers are never reused.
pub type Conn = u64;

/// The settings of a switch.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The installation's id.
    pub installation: String,
    /// This member.
    pub me: Life,
    /// All members, including this one. A peer is identified by its index here.
    pub peers: Vec<Peer>,
    /// The installation's key.
    pub key: Key,
    /// The seed for nonces and dialling delays. It must differ at every start.
    pub seed: u64,
}

/// An action for the caller, or an event, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Open a connection, then call [`connected`](super::Switch::connected) or
    /// [`closed`](super::Switch::closed).
    Connect {
        /// The connection's number.
        conn: Conn,
        /// The address to connect to.
        address: SocketAddr,
    },
    /// Bytes are ready to be written; see [`pending`](super::Switch::pending).
    Write(Conn),
    /// Close the connection at once. It needs no further call.
    Drop(Conn),
    /// A link is up.
    Linked {
        /// The peer.
        peer: usize,
        /// The life of the peer.
        life: Life,
    },
    /// A link is down; messages queued for it are lost.
    Unlinked {
        /// The peer.
        peer: usize,
        /// The reason.
        why: Reason,
    },
    /// A whole message arrived.
    Message {
        /// The peer that sent it.
        peer: usize,
        /// The kind of the message.
        kind: Kind,
        /// The content.
        payload: Vec<u8>,
    },
    /// Another member knows a later start of this member.
    Outlived(Start),
    /// A peer uses another version of the protocol. Reported for the first such peer, and then at most once
    /// in [`VERSION_REPORT_INTERVAL`].
    OtherVersion {
        /// The peer's version, which differs from [`VERSION`](super::hello::VERSION).
        theirs: u32,
        /// The number of connections refused for this reason so far.
        refused: u64,
    },
}

/// Counters over all links since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Links that came up.
    pub linked: u64,
    /// Connections that ended, by reason, including those of strangers and of other installations.
    pub ended: BTreeMap<Reason, u64>,
    /// Messages discarded for newer ones of their kind.
    pub given_up: u64,
    /// Messages discarded because they were too long.
    pub long: u64,
    /// Messages discarded because no link was up.
    pub unlinked: u64,
    /// Frames that arrived twice.
    pub duplicates: u64,
}

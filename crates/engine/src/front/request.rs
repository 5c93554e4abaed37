//! The requests that fronts read from their clients, and the answers to some of them, whatever the protocol.

use crate::Micros;
use crate::outbox::ReplyAddress;
use heronroute_platform::add::Add;
use heronroute_seen::RequestKey;
use heronroute_smpp::submission::Submission;

/// A named session that a client requests. It outlives its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionRequest {
    /// The name of the session; empty if the sender assigns one.
    pub name: String,
    /// Whether an earlier session with this name is discarded.
    pub clean: bool,
    /// How long the session is kept without a connection.
    pub expiry: Micros,
}

/// The session state reported to an admitted client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmittedSession {
    /// The name assigned to its session, if it gave none.
    pub assigned_name: Option<String>,
    /// The front's stored notes, if an earlier session is resumed.
    pub notes: Option<Vec<u8>>,
}

/// What a protocol adds to a submission.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SubmissionContext {
    /// The address for the answer.
    pub reply: ReplyAddress,
    /// Identifies the message within its session, to detect a repeated submission.
    pub handle: Option<RequestKey>,
    /// The client's own name for the message. Within the time that it is remembered, a name stands for one
    /// message.
    pub name: Option<String>,
    /// Whether the message may be lost (MQTT QoS 0). Such messages are refused before others.
    pub may_be_lost: bool,
}

/// What remains of a closed connection.
#[derive(Debug, Default)]
pub struct DisconnectState {
    /// How long its session is kept.
    pub expiry: Micros,
    /// The client's will: a delay, and the message to submit after it.
    pub will: Option<(Micros, Box<Submission>, ReplyAddress)>,
}

/// A request of a client. The token is the front's own number for the request; the reply carries it too.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientRequest {
    /// Asks to be admitted; answered with [`super::Front::admitted`].
    Admit {
        /// The client's name.
        name: String,
        /// The client's password.
        password: String,
        /// The request's token.
        token: u32,
        /// The named session that the client requests.
        session: Option<SessionRequest>,
    },
    /// Submits a message; answered with [`super::Front::accepted`] or [`super::Front::refused`], or, in forward mode, with
    /// [`super::Front::answered`].
    Submit {
        /// The request's token.
        token: u32,
        /// The message.
        submission: Box<Submission>,
        /// What the protocol adds to it.
        context: Box<SubmissionContext>,
    },
    /// Submits a message for the tenant that it names; answered with [`super::Front::accepted`] or
    /// [`super::Front::refused`], or with [`super::Front::answered`] if the first round of decisions refuses it.
    SubmitForTenant {
        /// The request's token.
        token: u32,
        /// The message.
        add: Box<Add>,
    },
    /// Queries the state of a message; answered with [`super::Front::queried`] or [`super::Front::refused`].
    Query {
        /// The request's token.
        token: u32,
        /// The id of the message.
        id: String,
        /// The source address that has to match, if any.
        source: String,
    },
    /// Withdraws a message; answered with [`super::Front::withdrawn`] or [`super::Front::refused`].
    Withdraw {
        /// The request's token.
        token: u32,
        /// The id of the message.
        id: String,
        /// The source address that has to match, if any.
        source: String,
    },
    /// A command about the messages held for the client; answered with [`super::Front::told`].
    Held {
        /// The request's token.
        token: u32,
        /// The command and its arguments, such as `list` or `show` and an id.
        words: Vec<String>,
    },
    /// A request about the client's rules or the fleet; answered with [`super::Front::told`].
    Rules {
        /// The request's token.
        token: u32,
        /// The levels of the topic.
        words: Vec<String>,
        /// JSON, or empty.
        body: Vec<u8>,
    },
    /// The client's reply to an answer that was sent with [`super::Front::deliver`].
    Heard {
        /// The token of the answer.
        token: u32,
        /// Whether the client took the answer; otherwise it is sent again.
        taken: bool,
    },
    /// The stored notes of the session have changed.
    SaveNotes {
        /// The new notes.
        notes: Vec<u8>,
        /// Bytes to send to the client once the change is durable.
        reply: Vec<u8>,
    },
    /// The connection is over, with the reason unless it ended in good order.
    Over(Option<&'static str>),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The client is not admitted.
    NotEntered,
    /// The client exceeds its accepted rate.
    Rate,
    /// The client already uses its fair share of the room.
    Share,
    /// There is no room, or the sender is shutting down.
    Room,
    /// The class is unknown.
    Class,
    /// No route leads to the address.
    Address,
    /// The message has expired already.
    Time,
    /// The client has no such message.
    Message,
    /// The message was sent already.
    TooLate,
    /// The message may have been submitted before, but the record that would show it is gone.
    Unsure,
    /// The message's id was used for an earlier message.
    Used,
}

/// Why a client is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The client's name is unknown.
    Name,
    /// The password is wrong.
    Password,
    /// The sender is shutting down.
    Leaving,
    /// The limit of named sessions is reached.
    Busy,
    /// Another sender of the process is the client's home. A new connection leads there.
    Elsewhere,
}

//! One client connection, whatever protocol it uses.
//!
//! A front translates received bytes into client requests, and replies into bytes of its protocol. It keeps
//! the protocol's session (states, windows, timers) and decides nothing about messages: `admission` decides
//! for all fronts whether a message is accepted, which client it belongs to, and how it is answered.
//! Adding a protocol means adding a front here and a listener in the settings.

mod mqtt;
mod resp;
mod smpp;

pub use mqtt::MqttFront;
pub use resp::RespFront;
pub use smpp::SmppFront;

use crate::Micros;
use crate::outbox::{OwedAnswer, ReplyAddress};
use bytes::BytesMut;
use heronroute_platform::add::Add;
use heronroute_seen::RequestKey;
use heronroute_smpp::receipt::Answer;
use heronroute_smpp::submission::Submission;
use rusmpp_core::values::MessageState;

/// The protocols that clients speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Speaks {
    /// SMPP 3.4.
    Smpp,
    /// MQTT 5.0 and 3.1.1.
    Mqtt,
    /// RESP2, the protocol of platform clients.
    Resp,
}

/// The number of client protocols.
pub const FRONT_COUNT: usize = 3;

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

/// The result of handing an answer to a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The answer was sent, and the client acknowledges it with this token.
    Sent(u32),
    /// The answer was sent and needs no acknowledgement.
    Done,
    /// The client has not subscribed to the answer's topic.
    NotSubscribed,
}

/// A request of a client. The token is the front's own number for the request; the reply carries it too.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientRequest {
    /// Asks to be admitted; answered with [`Front::admitted`].
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
    /// Submits a message; answered with [`Front::accepted`] or [`Front::refused`], or, in forward mode, with
    /// [`Front::answered`].
    Submit {
        /// The request's token.
        token: u32,
        /// The message.
        submission: Box<Submission>,
        /// What the protocol adds to it.
        context: Box<SubmissionContext>,
    },
    /// Submits a message for the tenant that it names; answered with [`Front::accepted`] or
    /// [`Front::refused`], or with [`Front::answered`] if the first round of decisions refuses it.
    SubmitForTenant {
        /// The request's token.
        token: u32,
        /// The message.
        add: Box<Add>,
    },
    /// Queries the state of a message; answered with [`Front::queried`] or [`Front::refused`].
    Query {
        /// The request's token.
        token: u32,
        /// The id of the message.
        id: String,
        /// The source address that has to match, if any.
        source: String,
    },
    /// Withdraws a message; answered with [`Front::withdrawn`] or [`Front::refused`].
    Withdraw {
        /// The request's token.
        token: u32,
        /// The id of the message.
        id: String,
        /// The source address that has to match, if any.
        source: String,
    },
    /// A command about the messages held for the client; answered with [`Front::told`].
    Held {
        /// The request's token.
        token: u32,
        /// The command and its arguments, such as `list` or `show` and an id.
        words: Vec<String>,
    },
    /// A request about the client's rules or the fleet; answered with [`Front::told`].
    Rules {
        /// The request's token.
        token: u32,
        /// The levels of the topic.
        words: Vec<String>,
        /// JSON, or empty.
        body: Vec<u8>,
    },
    /// The client's reply to an answer that was sent with [`Front::deliver`].
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
}

/// One client's connection.
pub trait Front: std::fmt::Debug + Send {
    /// Handles received bytes.
    fn receive(
        &mut self,
        now: Micros,
        wall: Micros,
        bytes: &[u8],
        out: &mut BytesMut,
        requests: &mut Vec<ClientRequest>,
    );
    /// Returns when [`Front::tick`] is next needed.
    fn wake(&self) -> Micros;
    /// Handles the protocol's own timers.
    fn tick(&mut self, now: Micros, out: &mut BytesMut, requests: &mut Vec<ClientRequest>);
    /// Reports whether the client is admitted.
    fn admitted(
        &mut self,
        now: Micros,
        token: u32,
        result: Result<AdmittedSession, Denied>,
        out: &mut BytesMut,
    );
    /// Returns whether the client is admitted.
    fn entered(&self) -> bool;
    /// Returns whether the client receives answers on this connection.
    fn receives(&self) -> bool;
    /// Reports that a message was accepted under this id.
    fn accepted(&mut self, token: u32, id: &str, out: &mut BytesMut);
    /// Reports that a request is refused.
    fn refused(&mut self, token: u32, reason: RejectReason, out: &mut BytesMut);
    /// Sends the final answer as the response to a submission. Returns false if that is no longer possible.
    fn answered(&mut self, token: u32, id: &str, answer: Answer, out: &mut BytesMut) -> bool;
    /// Reports the state of a message.
    fn queried(
        &mut self,
        token: u32,
        id: &str,
        state: MessageState,
        done: Option<Micros>,
        out: &mut BytesMut,
    );
    /// Replies to a command or a request about rules.
    fn told(&mut self, _token: u32, _text: String, _state: &'static str, _out: &mut BytesMut) {}
    /// Reports that a message was withdrawn.
    fn withdrawn(&mut self, token: u32, out: &mut BytesMut);
    /// Returns how many more answers may be sent before one is acknowledged.
    fn room(&self) -> usize;
    /// Sends an answer.
    fn deliver(&mut self, now: Micros, owed: &OwedAnswer, out: &mut BytesMut) -> Delivery;
    /// Asks the client to disconnect.
    fn leave(&mut self, now: Micros, out: &mut BytesMut, requests: &mut Vec<ClientRequest>);
    /// Reports, where the protocol can, that another connection has taken over the session.
    fn session_taken_over(&mut self, _out: &mut BytesMut) {}
    /// Returns whether the protocol can refuse a single message. If it can't, a refused message is
    /// acknowledged, and its refusal is sent as its answer.
    fn refuses(&self) -> bool {
        true
    }
    /// Returns since when the connection has been idle, if it is. An idle connection may be closed to make
    /// room.
    fn idle_since(&self) -> Option<Micros> {
        None
    }
    /// Returns whether more may be read from the client.
    fn listens(&self) -> bool {
        true
    }
    /// Takes what remains of the closed connection.
    fn disconnect_state(&mut self) -> DisconnectState {
        DisconnectState::default()
    }
}

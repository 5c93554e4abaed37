//! One client connection, whatever protocol it uses.
//!
//! A front translates received bytes into client requests, and replies into bytes of its protocol. It keeps
//! the protocol's session (states, windows, timers) and decides nothing about messages: `admission` decides
//! for all fronts whether a message is accepted, which client it belongs to, and how it is answered.
//! Adding a protocol means adding a front here and a listener in the settings.

mod mqtt;
mod reply_queue;
mod request;
mod resp;
mod resp_errors;
mod smpp;

pub use mqtt::MqttFront;
pub use request::{
    AdmittedSession, ClientRequest, Denied, DisconnectState, RejectReason, SessionRequest, SubmissionContext,
};
pub use resp::{RespFront, SMALL_CLIENT_BYTES};
pub use smpp::SmppFront;

use crate::Micros;
use crate::outbox::OwedAnswer;
use bytes::BytesMut;
use heronroute_smpp::receipt::Answer;
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
    fn entered(&self) -> bool {
        false
    }
    /// Returns whether the client receives answers on this connection.
    fn receives(&self) -> bool {
        false
    }
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
    fn room(&self) -> usize {
        0
    }
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
    /// Returns how many bytes may be read from the client at once.
    fn read_quota(&self) -> usize {
        usize::MAX
    }
    /// Returns how many bytes of memory the connection holds or has promised, without what is to be written.
    fn held_bytes(&self) -> usize {
        0
    }
    /// Sets how many further bytes of memory a request that begins may take.
    fn set_input_room(&mut self, _bytes: usize) {}
    /// Sets since when there have been unread bytes of the client all the time, if there have.
    fn set_unread_since(&mut self, _since: Option<Micros>) {}
    /// Reports that replies were written, and how many bytes of them are left. Returns whether the front may go
    /// on with requests that waited for this.
    fn output_written(&mut self, _now: Micros, _unwritten: usize) -> bool {
        false
    }
    /// Takes what remains of the closed connection.
    fn disconnect_state(&mut self) -> DisconnectState {
        DisconnectState::default()
    }
}

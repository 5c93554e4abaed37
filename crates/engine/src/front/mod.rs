//! One client's connection, whatever it speaks.
//!
//! A front turns octets into what a client asks for, and what the sender says into octets, in its protocol's own
//! words. It keeps the protocol's session (states, windows, timers) and decides nothing about messages: whether one
//! is accepted, whose it is and what it is told stands in `desk`, the same for all fronts. Adding a protocol
//! means adding a front here and a listener in the settings.

mod mqtt;
mod resp;
mod smpp;

pub use mqtt::MqttFront;
pub use resp::RespFront;
pub use smpp::SmppFront;

use crate::Micros;
use crate::outbox::{Owed, Reply};
use bytes::BytesMut;
use heronroute_platform::add::Add;
use heronroute_seen::Handle;
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
    /// RESP2, as the platform's clients speak it.
    Resp,
}

/// How many there are.
pub const FRONTS: usize = 3;

/// A session with a name, which outlives its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// Its name; empty where one is to be given.
    pub name: String,
    /// An earlier session of the name is over.
    pub clean: bool,
    /// For how long it is kept without a connection.
    pub expiry: Micros,
}

/// What a client that is let in has there already.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entered {
    /// The name given to its session.
    pub given: Option<String>,
    /// An earlier session goes on, with these notes of the front.
    pub notes: Option<Vec<u8>>,
}

/// What a protocol says of a message beside the submission itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Handing {
    /// Where its answer goes.
    pub reply: Reply,
    /// What tells whether it came before in this session.
    pub handle: Option<Handle>,
    /// The client's own name for it: for a span there is one message of a name.
    pub name: Option<String>,
    /// It may be lost: it is turned away before others.
    pub light: bool,
}

/// What is left of a connection that is gone.
#[derive(Debug, Default)]
pub struct Parting {
    /// For how long its session is kept.
    pub expiry: Micros,
    /// A message to be submitted for the client, after a while.
    pub will: Option<(Micros, Box<Submission>, Reply)>,
}

/// What became of an answer that was given to a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It is out, and will be heard under this token.
    Out(u32),
    /// It was told and needs no more.
    Done,
    /// The client did not ask for it.
    Unwanted,
}

/// What a client asks for. A token is the front's own name for a request, given back with the answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// To be let in; to be answered with [`Front::admitted`].
    Enter {
        /// Who it says it is.
        name: String,
        /// What it says for proof.
        proof: String,
        /// See above.
        token: u32,
        /// The session with a name that it wants.
        session: Option<Wanted>,
    },
    /// To take a message on; to be answered with [`Front::accepted`] or [`Front::refused`], or, in forward mode, with
    /// [`Front::answered`].
    Submit {
        /// See above.
        token: u32,
        /// The message.
        submission: Box<Submission>,
        /// The rest.
        handing: Box<Handing>,
    },
    /// To take a message on for the tenant that it names; to be answered with [`Front::accepted`] or
    /// [`Front::refused`], or with [`Front::answered`] where it is refused in the first round of decisions.
    HandIn {
        /// See above.
        token: u32,
        /// The message.
        add: Box<Add>,
    },
    /// What became of a message; to be answered with [`Front::queried`] or [`Front::refused`].
    Query {
        /// See above.
        token: u32,
        /// The message.
        id: String,
        /// The source address that must fit, if any.
        source: String,
    },
    /// To withdraw a message; to be answered with [`Front::withdrawn`] or [`Front::refused`].
    Withdraw {
        /// See above.
        token: u32,
        /// The message.
        id: String,
        /// The source address that must fit, if any.
        source: String,
    },
    /// About what is held for it, in words; to be answered with [`Front::told`].
    Held {
        /// See above.
        token: u32,
        /// `list`, `show`, `again` or `drop`, and what about.
        words: Vec<String>,
    },
    /// About its rules or the fleet; to be answered with [`Front::told`].
    Rules {
        /// See above.
        token: u32,
        /// The levels of the topic.
        words: Vec<String>,
        /// JSON, or nothing.
        body: Vec<u8>,
    },
    /// It has heard an answer that [`Front::deliver`] gave this token.
    Heard {
        /// See above.
        token: u32,
        /// It took it; else it is to be told again.
        taken: bool,
    },
    /// What its session keeps has changed.
    Notes {
        /// To this.
        notes: Vec<u8>,
        /// To be written as it is once that is durable.
        told: Vec<u8>,
    },
    /// The connection is over. Says why, where not in good order.
    Over(Option<&'static str>),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum No {
    /// It is not let in.
    NotEntered,
    /// Over its accepted rate.
    Rate,
    /// It holds its fair part of the room.
    Share,
    /// No room, or going out of service.
    Room,
    /// Its class is unknown.
    Class,
    /// No route leads to its address.
    Address,
    /// Its time is up already.
    Time,
    /// No such message of this client's.
    Message,
    /// It has left already.
    TooLate,
    /// It may have been submitted before; what would tell was forgotten.
    Unsure,
}

/// Why a client is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// Its name is unknown.
    Name,
    /// Its proof is wrong.
    Proof,
    /// The sender is going out of service.
    Leaving,
    /// It has all the sessions that it can hold.
    Busy,
}

/// One client's connection.
pub trait Front: std::fmt::Debug + Send {
    /// Octets came.
    fn receive(&mut self, now: Micros, wall: Micros, octets: &[u8], out: &mut BytesMut, asks: &mut Vec<Ask>);
    /// When [`Front::tick`] is next needed.
    fn wake(&self) -> Micros;
    /// Acts on the protocol's own timers.
    fn tick(&mut self, now: Micros, out: &mut BytesMut, asks: &mut Vec<Ask>);
    /// Lets a client in, or not.
    fn admitted(&mut self, now: Micros, token: u32, result: Result<Entered, Denied>, out: &mut BytesMut);
    /// Whether the client is in.
    fn entered(&self) -> bool;
    /// Whether it takes answers.
    fn receives(&self) -> bool;
    /// A message was accepted, under this identity.
    fn accepted(&mut self, token: u32, id: &str, out: &mut BytesMut);
    /// A request is refused.
    fn refused(&mut self, token: u32, no: No, out: &mut BytesMut);
    /// The final answer, as the response to a submission. False where it can't be told so any more.
    fn answered(&mut self, token: u32, id: &str, answer: Answer, out: &mut BytesMut) -> bool;
    /// What became of a message.
    fn queried(
        &mut self,
        token: u32,
        id: &str,
        state: MessageState,
        done: Option<Micros>,
        out: &mut BytesMut,
    );
    /// The answer to a question in words.
    fn told(&mut self, _token: u32, _text: String, _state: &'static str, _out: &mut BytesMut) {}
    /// A message was withdrawn.
    fn withdrawn(&mut self, token: u32, out: &mut BytesMut);
    /// Answers that may be under way before one is heard.
    fn room(&self) -> usize;
    /// Tells an answer.
    fn deliver(&mut self, now: Micros, owed: &Owed, out: &mut BytesMut) -> Delivery;
    /// Asks the client to go.
    fn leave(&mut self, now: Micros, out: &mut BytesMut, asks: &mut Vec<Ask>);
    /// Another connection has taken its session: says so, where the protocol can.
    fn supplanted(&mut self, _out: &mut BytesMut) {}
    /// Whether the protocol has a word for refusing a single message. Where it has none, a message that is refused is
    /// acknowledged, and its refusal told as its answer.
    fn refuses(&self) -> bool {
        true
    }
    /// Since when nothing is asked, where that is so: whose connection may be closed to make room.
    fn rests(&self) -> Option<Micros> {
        None
    }
    /// Whether more may be read from the client.
    fn listens(&self) -> bool {
        true
    }
    /// The connection is gone.
    fn parting(&mut self) -> Parting {
        Parting::default()
    }
}

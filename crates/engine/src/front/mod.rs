//! One client's connection, whatever it speaks.
//!
//! A front turns octets into what a client asks for, and what the sender says into octets, in its protocol's own
//! words. It keeps the protocol's session (states, windows, timers) and decides nothing about messages: whether one
//! is taken on, whose it is and what it is told stands in `desk.rs`, the same for all fronts. Adding a protocol
//! means adding a front here and a listener in the settings.

mod smpp;

pub use smpp::SmppFront;

use crate::Micros;
use bytes::BytesMut;
use heronroute_smpp::receipt::{Answer, Receipt};
use heronroute_smpp::submission::Submission;
use rusmpp_core::values::MessageState;

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
    },
    /// To take a message on; to be answered with [`Front::accepted`] or [`Front::refused`], or, in forward mode, with
    /// [`Front::answered`].
    Submit {
        /// See above.
        token: u32,
        /// The message.
        submission: Box<Submission>,
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
    /// It has heard an answer that [`Front::deliver`] gave this token.
    Heard {
        /// See above.
        token: u32,
        /// It took it; else it is to be told again.
        taken: bool,
    },
    /// The session is over. Says why, where not in good order.
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
    fn admitted(&mut self, now: Micros, token: u32, result: Result<(), Denied>, out: &mut BytesMut);
    /// Whether the client is in.
    fn entered(&self) -> bool;
    /// Whether it takes answers.
    fn receives(&self) -> bool;
    /// A message was taken on, under this identity.
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
    /// A message was withdrawn.
    fn withdrawn(&mut self, token: u32, out: &mut BytesMut);
    /// Answers that may be under way before one is heard.
    fn room(&self) -> usize;
    /// Tells an answer; gives the token under which it will be heard.
    fn deliver(&mut self, now: Micros, receipt: &Receipt, out: &mut BytesMut) -> u32;
    /// Asks the client to go.
    fn leave(&mut self, now: Micros, out: &mut BytesMut);
}

//! The contract of links: one connection to a receiver in any protocol.

mod calls;
mod clauses;
mod connection;
mod copies;
mod ends;
mod faulty;
mod http;
mod platform;
mod smpp;

pub use clauses::CLAUSES;
pub use connection::Connection;
pub use faulty::{Fault, FaultyReceiver};
pub use http::Http;
pub use platform::Platform;
pub use smpp::Smpp;

use heronroute_engine::Micros;
use heronroute_engine::link::Link;

/// How a receiver answers a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call is delivered.
    Done,
    /// The call is refused unprocessed, with this wait.
    Busy(Micros),
    /// The call failed.
    Error,
    /// The messages are over for the receiver. Only of receivers that can end messages.
    Gone,
    /// The messages have had all their attempts. Only of receivers that can end messages.
    Exhausted,
}

/// A receiver that talks to a link.
pub trait Receiver {
    /// Returns the link of a new connection.
    fn link(&self) -> Box<dyn Link>;
    /// Returns the reply to the link's first bytes, if calls have to wait for one.
    fn opening_reply(&self, sent: &[u8]) -> Option<Vec<u8>>;
    /// Returns the answers to all calls and probes in the bytes sent, in order.
    fn answers(&self, sent: &[u8], how: CallOutcome) -> Vec<Vec<u8>>;
    /// Returns an answer to no request.
    fn unrequested_answer(&self) -> Vec<u8>;
    /// Returns an answer of the wrong type to the bytes sent, if the protocol has types.
    fn mismatch(&self, _sent: &[u8]) -> Option<Vec<u8>> {
        None
    }
    /// Returns the maximum number of open calls on one connection.
    fn max_open_calls(&self) -> usize;
    /// Returns whether answers may arrive in another order than the calls.
    fn may_reorder(&self) -> bool;
    /// Returns the maximum number of messages in a call.
    fn batch(&self) -> usize;
    /// Returns whether the protocol has answers after which a message may not be sent again.
    fn can_end_messages(&self) -> bool {
        false
    }
}

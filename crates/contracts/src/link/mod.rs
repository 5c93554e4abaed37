//! Links: one connection to a receiver, whatever it speaks.

mod calls;
mod clauses;
mod copies;
mod http;
mod platform;
mod smpp;
mod wire;
mod wrong;

pub use clauses::CLAUSES;
pub use http::Http;
pub use platform::Platform;
pub use smpp::Smpp;
pub use wire::Wire;
pub use wrong::{Fault, Planted};

use heronroute_engine::Micros;
use heronroute_engine::link::Link;

/// How a receiver ends a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// It took it.
    Done,
    /// It turned it away unseen, and tells this wait.
    Busy(Micros),
    /// It failed.
    Error,
}

/// How a receiver speaks to a link.
pub trait Receiver {
    /// The link of a new connection.
    fn link(&self) -> Box<dyn Link>;
    /// What it says to the link's first octets, where calls wait for that.
    fn greet(&self, sent: &[u8]) -> Option<Vec<u8>>;
    /// Its answers to all calls and probes in what was sent, in order, each by itself.
    fn answers(&self, sent: &[u8], how: How) -> Vec<Vec<u8>>;
    /// An answer to nothing.
    fn stray(&self) -> Vec<u8>;
    /// An answer of another kind to what was sent, where the protocol can tell one.
    fn mismatch(&self, _sent: &[u8]) -> Option<Vec<u8>> {
        None
    }
    /// Calls on one connection at once.
    fn at_once(&self) -> usize;
    /// Its answers may come in another order than the calls.
    fn reorders(&self) -> bool;
    /// Messages that a call may carry.
    fn batch(&self) -> usize;
}

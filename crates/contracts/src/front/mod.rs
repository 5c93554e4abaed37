//! Fronts: one client's connection, whatever it speaks.

mod clauses;
mod client;
mod mqtt;
mod resp;
mod smpp;
mod times;
mod wrong;

pub use clauses::CLAUSES;
pub use client::Client;
pub use mqtt::Mqtt;
pub use resp::Resp;
pub use smpp::{LIMITS as SMPP_LIMITS, Smpp, frames};
pub use wrong::{Fault, Planted};

use heronroute_engine::Micros;
use heronroute_engine::front::Front;

/// How a client speaks to a front.
pub trait Dialect {
    /// The front of a new connection.
    fn front(&self, now: Micros) -> Box<dyn Front>;
    /// Asks to be let in; nothing where the protocol has no entry.
    fn enter(&self) -> Option<Vec<u8>>;
    /// What a client that is in says first, to be told answers.
    fn settle(&self) -> Vec<u8>;
    /// Hands in its `n`th message, from 1.
    fn hand_in(&self, n: u16) -> Vec<u8>;
    /// Says that it is there, no more.
    fn ping(&self) -> Vec<u8>;
    /// Octets after which the connection can't go on.
    fn bad(&self) -> Vec<Bad>;
    /// The answers to hand-ins in all that a front has written, in order: which, and whether it was taken on.
    fn answers(&self, out: &[u8]) -> Vec<(u16, bool)>;
    /// Acknowledges each final answer in what a front wrote.
    fn acknowledge(&self, out: &[u8]) -> Vec<u8>;
    /// Requests without an answer at once, at most.
    fn at_once(&self) -> usize;
}

/// Octets after which a connection can't go on.
#[derive(Clone, Debug)]
pub struct Bad {
    /// They come after the client was let in.
    pub entered: bool,
    /// They.
    pub octets: Vec<u8>,
    /// What the protocol has for it; nothing where it has no word.
    pub words: Vec<u8>,
}

//! The directory, whatever it speaks. A directory that fails changes nothing else: the last list holds. Free of I/O.

mod listing;
mod polled;
mod versions;
mod watched;

pub use listing::listing;
pub use polled::Polled;
pub use watched::Watched;

use crate::Micros;
use crate::stream::Stream;
use heronroute_config::Listing;
use std::net::SocketAddr;

/// What was heard.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// The whole list, or changes to it.
    List(Listing),
    /// A question failed. Says why.
    Failed(String),
}

/// What is wanted of the sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    /// Nothing.
    Nothing,
    /// A connection to there.
    Connect(SocketAddr),
    /// The connection at hand is abandoned.
    Drop,
}

/// A connection to the directory.
pub trait Directory: std::fmt::Debug + Send {
    /// The list that is known from before.
    fn known(&mut self, listing: &Listing);
    /// The decision library wants to hear of changes; whether that is possible.
    fn subscribe(&mut self, now: Micros) -> bool;
    /// The list at hand, as text to be kept, where it is the sender's own job to keep it.
    fn text(&self) -> Option<String>;
    /// It is elsewhere from now on.
    fn moved(&mut self, now: Micros, address: SocketAddr);
    /// When [`Directory::tick`] is next needed.
    fn wake(&self) -> Micros;
    /// Acts on time.
    fn tick(&mut self, now: Micros, heard: &mut Vec<Heard>) -> Want;
    /// The connection stands.
    fn connected(&mut self, now: Micros, stream: &mut Stream);
    /// Octets came. False where the connection is of no more use.
    fn receive(&mut self, now: Micros, octets: &[u8], stream: &mut Stream, heard: &mut Vec<Heard>) -> bool;
    /// The connection is gone.
    fn ended(&mut self, now: Micros, heard: &mut Vec<Heard>);
}

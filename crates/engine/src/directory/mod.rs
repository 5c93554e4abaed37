//! Clients of the directory, independent of its protocol. They perform no I/O. If a directory fails, nothing
//! else changes: the last list stays in use.

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

/// An event from the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryEvent {
    /// The whole list, or changes to it.
    List(Listing),
    /// A request failed. Contains the reason.
    Failed(String),
}

/// What the directory client needs from the sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Nothing.
    Nothing,
    /// Open a connection to this address.
    Connect(SocketAddr),
    /// Drop the current connection.
    Drop,
}

/// A client of the directory.
pub trait Directory: std::fmt::Debug + Send {
    /// Starts with a list that is known from before.
    fn known(&mut self, listing: &Listing);
    /// Requests changes for the decision library. Returns false if there is no directory to ask.
    fn subscribe(&mut self, now: Micros) -> bool;
    /// Returns the current list as text to be stored, if storing it is the sender's task.
    fn text(&self) -> Option<String>;
    /// Changes the directory's address.
    fn moved(&mut self, now: Micros, address: SocketAddr);
    /// Returns the time at which [`Directory::tick`] must be called next.
    fn wake(&self) -> Micros;
    /// Handles timers. Returns what is needed from the sockets.
    fn tick(&mut self, now: Micros, events: &mut Vec<DirectoryEvent>) -> ConnectionAction;
    /// Handles an established connection.
    fn connected(&mut self, now: Micros, stream: &mut Stream);
    /// Handles received bytes. Returns false if the connection can't be used any more.
    fn receive(
        &mut self,
        now: Micros,
        bytes: &[u8],
        stream: &mut Stream,
        events: &mut Vec<DirectoryEvent>,
    ) -> bool;
    /// Handles the end of the connection, or a failure to establish it.
    fn ended(&mut self, now: Micros, events: &mut Vec<DirectoryEvent>);
}

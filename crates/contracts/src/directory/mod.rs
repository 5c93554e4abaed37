//! Directories: where the list of endpoints comes from.

mod clauses;
mod follower;
mod polled;
mod times;
mod watched;
mod wrong;

pub use clauses::CLAUSES;
pub use follower::Follower;
pub use polled::Polled;
pub use watched::Watched;
pub use wrong::{Fault, Planted};

use heronroute::Status;
use heronroute_engine::Micros;
use heronroute_engine::directory::Directory;
use std::net::{Ipv4Addr, SocketAddr};

/// Where the directory is.
pub const HERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 4001);
/// Where it moves to.
pub const THERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 4002);

/// How a catalog speaks to a directory's client.
pub trait Catalog {
    /// A client that follows the catalog at [`HERE`] from now on.
    fn directory(&self, now: Micros) -> Box<dyn Directory>;
    /// What is said first on each connection.
    fn head(&self) -> Vec<u8>;
    /// A list, or changes to it.
    fn list(&self, version: u64, whole: bool, endpoints: &[(&str, Status)]) -> Vec<u8>;
    /// Nothing has changed.
    fn nothing(&self) -> Vec<u8>;
    /// What can't be read, in the place of a list.
    fn broken(&self) -> Vec<Vec<u8>>;
}

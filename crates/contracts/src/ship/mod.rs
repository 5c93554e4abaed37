//! A journal's copy in another region: what the sending and the receiving side are relied on for, over a network that delays,
//! loses connections, and brings what is of older ones late or twice; with disks that lose power.

mod clauses;
mod power;
mod trouble;
mod world;
mod wrong;

pub use clauses::CLAUSES;
pub use power::POWER;
pub use trouble::TROUBLE;
pub use world::{Real, World};
pub use wrong::{Fault, Planted};

use crate::ledger::real::On;
use heronroute_journal::disk::Disk;
use heronroute_journal::{Journal, Limits};
use heronroute_ship::{Origin, ReplicationLimits, ReplicationSource, ReplicationTarget};
use std::cell::RefCell;
use std::rc::Rc;

/// A disk that outlives who uses it.
pub type Shelf = Rc<RefCell<Disk>>;

/// An implementation.
pub trait Shipping {
    /// The sending side for a journal.
    fn shipper(
        &self,
        origin: Origin,
        bounds: ReplicationLimits,
        journal: &Journal<On>,
        promised: u64,
    ) -> Box<dyn ReplicationSource>;
    /// The receiving side for the copy of member `a`'s sender 0.
    ///
    /// # Errors
    /// Where it can't be opened.
    fn receiver(
        &self,
        shelf: Shelf,
        limits: Limits,
        window: usize,
    ) -> Result<Box<dyn ReplicationTarget>, String>;
}

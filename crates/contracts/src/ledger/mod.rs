//! The keepers' log: what a keeper has promised, taken and decided is found again, whole or not at all, or the file is
//! refused. Nothing may be told before [`Ledger::commit`] has said that it is durable.

mod clauses;
mod power;
pub(crate) mod real;
mod wrong;

pub use clauses::CLAUSES;
pub use power::POWER;
pub use real::Real;
pub use wrong::{Fault, Planted};

use heronroute_fleet::replicas::LogError;
use heronroute_journal::Storage;
use std::cell::RefCell;
use std::rc::Rc;

/// A folder that outlives the log that uses it.
pub type Shelf = Rc<RefCell<dyn Storage>>;

/// What a log holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Number of the ballot promised; 0: none.
    pub promised: u32,
    /// Number of the ballot in which the log was taken; 0: none.
    pub accepted: u32,
    /// Slots decided.
    pub decided: usize,
    /// Slots that are not kept any more.
    pub trimmed: usize,
    /// The items behind them, by their bodies.
    pub items: Vec<Vec<u8>>,
}

/// A keeper's log, as agreement uses it.
pub trait Ledger {
    /// Follows nothing below this ballot.
    fn promise(&mut self, ballot: u32);
    /// From this slot on the log is this, taken in a ballot.
    fn take(&mut self, ballot: u32, from: usize, bodies: &[&[u8]]);
    /// So many slots are decided.
    fn decide(&mut self, slots: usize);
    /// The log before this slot is not kept.
    fn trim(&mut self, slot: usize);
    /// Makes all of it durable; false where it is not, and never will be.
    fn commit(&mut self) -> bool;
    /// What it holds, changes that wait for their commit included.
    fn held(&self) -> Held;
    /// How much it has made durable: a keeper whose mark is below what others have heard of it has an old folder.
    fn mark(&self) -> u64;
}

/// An implementation.
pub trait Keeping {
    /// An empty folder.
    fn shelf(&self) -> Shelf;
    /// Opens the log of a keeper in a folder.
    ///
    /// # Errors
    /// Where it is broken, or another keeper's.
    fn open(&self, shelf: Shelf, keeper: u8) -> Result<Box<dyn Ledger>, LogError>;
}

//! Contract tests of the traits between the crates. Used by tests alone.
//!
//! For each trait there is a table of clauses, each of which states one property that users of the trait rely on:
//! [`storage`], [`names`], [`held`], [`front`], [`link`], [`directory`], [`transport`], [`ledger`], [`member`],
//! [`ship`]. [`suite`] runs them against an implementation and names those that it breaks. Implementations with a
//! planted fault (`faulty` or `wrong` in each module) break one clause each, which shows that the clause can fail.
//!
//! To add a suite, write a module with a subject (how to create an implementation, and how to play its peer), a table
//! of [`Clause`]s, and a wrapper with a fault for each clause. Its tests call [`suite::kept`] for each implementation
//! and [`suite::planted`] for each fault.

#![forbid(unsafe_code)]

pub mod directory;
pub mod front;
pub mod random;

pub mod held;
pub mod ledger;
pub mod link;
pub mod member;
pub mod names;
pub mod ship;
pub mod storage;
pub mod suite;
pub mod transport;

pub use suite::{Broken, Clause, kept, kept_but, planted, run_all};

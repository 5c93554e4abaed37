//! Suites written against the traits between the parts.
//!
//! Does: for each trait a table of clauses, each one thing that users of the trait rely on ([`storage`], [`names`],
//! [`held`], [`front`], [`link`], [`directory`], [`transport`], [`ledger`], [`member`], [`ship`]); runs them against an implementation and names those that it breaks
//! ([`suite`]). Planted implementations (`wrong` in each suite) break one clause each and show that the suite can fail.
//! Decides: nothing.
//! Never: is part of the program; it is used by tests alone.
//!
//! A further suite is a module with a subject (how a fresh implementation is had, and how its other side speaks), a table
//! of [`Clause`]s over it, and a `wrong` wrapper with a fault for each; its tests call [`suite::kept`] for each
//! implementation and [`suite::planted`] for each fault.

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

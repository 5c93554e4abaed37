//! What clients may have kept on their behalf, and for how long.
//!
//! Does: holds plans and each client's rules ([`model`]), reads and writes them as JSON ([`json`], [`span`]); checks
//! rules against a plan and against each other, with findings, and says what a change would let go ([`check`]); carries
//! edits from a draft to a version that is desired ([`registry`]), the same on every member from the same commands in the
//! same order; finds what holds for one message ([`table`]); makes digests by which members are compared ([`mod@digest`]).
//! Decides: what a plan allows, which of two editors is told to begin again, what a lowered plan cuts and when, which rule
//! a message falls under, what one member's share of a figure is and which of its senders has it ([`share`],
//! [`home`]), which of two figures counts while a client is fenced ([`strict`]), which part of a figure
//! that all members hold together is whose ([`parts`]).
//! Never: touches a socket, a file or a clock, or applies anything to live tables (the engine does).

#![forbid(unsafe_code)]

pub mod check;
pub mod digest;
pub mod field;
pub mod home;
pub mod json;
pub mod limits;
pub mod model;
pub mod quota_shares;
pub mod registry;
pub mod seam;
pub mod share;
pub mod span;
pub mod strict;
pub mod table;
mod trie;

pub use check::{Finding, Findings};
pub use digest::{Digest, digest};
pub use field::Field;
pub use model::{Figures, Plan, Rule, RuleSet};
pub use registry::{Command, Desired, Outcome, Registry, Reply};
pub use share::Turn;
pub use table::{Effective, Table};

/// Time of day in microseconds, or a span of it.
pub type Micros = i64;

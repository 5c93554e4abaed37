//! Clients' rules: what the service keeps for a client, how much of it, and for how long.
//!
//! Responsibilities: holds plans and each client's rules ([`model`]) and converts them from and to JSON
//! ([`json`], [`units`]); checks rules against a plan and against each other, with findings, and counts what
//! a change would drop ([`check`]); takes drafts through to the desired version ([`registry`]), identically
//! on every member that applies the same commands in the same order; looks up the limits for one message
//! ([`table`]); computes the digests by which members are compared ([`mod@digest`]).
//!
//! Decisions: what a plan allows, which of two concurrent edits is a conflict, what a lowered plan cuts and
//! when, which rule applies to a message, the share of each member and which of its senders has it
//! ([`share`], [`home`]), which of two limits applies while a client is fenced ([`strict`]), how members
//! share a quota by leases ([`quota_shares`]).
//!
//! Out of scope: sockets, files and clocks, and applying rules to live tables, which the engine does.

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
pub mod strict;
pub mod table;
mod trie;
pub mod units;

pub use check::{Finding, Findings};
pub use digest::{Digest, digest};
pub use field::Field;
pub use model::{Plan, Rule, RuleLimits, RuleSet};
pub use registry::{Command, Desired, Outcome, Registry, Reply};
pub use share::Turn;
pub use table::{EffectiveLimits, Table};

/// A time of day or a duration, in microseconds.
pub type Micros = i64;

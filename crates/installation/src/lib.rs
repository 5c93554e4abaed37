//! One member of an installation (a fleet of processes that agree on clients' rules).
//!
//! [`Installation`] joins the membership and the replicated log of `heronroute_fleet` with the rules of
//! `heronroute_rules` and the detector of `heronroute_drift` into one state machine: inputs and a time in,
//! outputs out. [`seam`] has the types by which nodes (a process's senders) ask and are answered. It answers
//! `rules/...` and `fleet/...` ([`asks`]), has approved versions applied by the process's nodes ([`apply`]),
//! reports what they really apply ([`report`]), and monitors all members while this one is the leader
//! ([`leader`]). Approved versions are rolled out in waves ([`waves`]). Drift messages between two members
//! without a link go through a third one ([`relay`]).
//!
//! A *life* of a member is one run of its process, with its name and a start number that grows with each
//! start. *Keepers* are the members that store the log and vote on it; the *leader* is the keeper that holds
//! the lease of the current term. *Nodes* are the process's senders, which apply rules to messages.
//!
//! It decides what a member goes on doing, refuses and says of itself while it is cut off ([`condition`], the
//! table in `docs/fleet.md`), and whether an order of the leader counts. It never touches a socket, a thread,
//! a clock or a random source of the machine, decides nothing about a message, and applies only rules that it
//! read from the log.

#![forbid(unsafe_code)]

pub mod apply;
pub mod asks;
pub mod condition;
pub mod config;
pub mod fences;
pub mod leader;
pub mod limits;
pub mod machine;
pub mod page;
mod process;
pub mod proposals;
pub mod relay;
pub mod report;
pub mod rollout_view;
pub mod seam;
pub mod waves;
pub mod wire;

pub use condition::{Allowed, Condition};
pub use config::{Client, Config, PlanSetting, RolloutSettings, Timing};
pub use process::{Counts, Installation, StartError};

/// Time in microseconds on the caller's clock.
pub type Micros = i64;
